//! Outgoing TCP connections without Nagle's algorithm.
//!
//! The I/O library disables it on accepted connections only. On an outgoing one, a request whose head and
//! body are two writes waits for a delayed acknowledgement (40 ms measured). Connections are therefore made
//! here, on the library's thread pool for blocking work, and handed to it.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    time::Duration,
};

use ntex::{
    SharedCfg,
    client::error::{self, ClientError},
    connect::{Connect, ConnectError, ConnectServiceError},
    http::Uri,
    io::Io,
    rt,
    service::{Service, ServiceFactory, fn_factory_with_config, fn_service},
    time::{Millis, sleep},
};

use crate::{
    clock::{self, Micros},
    unread,
};

/// Connects to `address` within `limit`.
///
/// # Errors
///
/// Any I/O error of connecting; nothing was sent.
pub async fn connect(address: SocketAddr, limit: Millis, config: SharedCfg) -> io::Result<Io> {
    rt::from_tcp_stream(stream(address, limit).await?, config)
}

/// Like [`connect`], and returns a second handle of the socket, from which the caller learns how the
/// connection ended: the I/O library reports a reset and an orderly close alike.
///
/// # Errors
///
/// Any I/O error of connecting; nothing was sent.
pub async fn connect_watched(
    address: SocketAddr,
    limit: Millis,
    config: SharedCfg,
) -> io::Result<(Io, TcpStream)> {
    let stream = stream(address, limit).await?;
    let watch = stream.try_clone()?;
    Ok((rt::from_tcp_stream(stream, config)?, watch))
}

async fn stream(address: SocketAddr, limit: Millis) -> io::Result<TcpStream> {
    let limit = Duration::from_millis(u64::from(limit.0).max(1));
    let connecting = rt::spawn_blocking(move || {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        io::Result::Ok(stream)
    });
    connecting.await.map_err(|_| io::Error::other("the thread pool is closed"))?
}

/// Number of bytes that are sent at the start of a connection before the peer confirms any: ten segments (RFC 6928).
pub const INITIAL_WINDOW_BYTES: usize = 14_600;
/// Longest wait for the peer to confirm what was sent to it.
const CONFIRM_TIMEOUT: Micros = 500_000;
/// Interval at which it is checked whether the peer has.
const CONFIRM_INTERVAL: Millis = Millis(2);

/// Returns whether the peer has received everything that was sent to it, on a connection of which it has closed its side;
/// `false` if that is not known at `until`. Ends the connection: once the peer confirms our end of it, it has confirmed all
/// before. A peer that has closed the socket resets the connection when more of the request arrives.
pub async fn is_received(socket: &TcpStream, until: Micros) -> bool {
    // It may be closed already.
    let _ = socket.shutdown(Shutdown::Write);
    let until = until.min(clock::now() + CONFIRM_TIMEOUT);
    loop {
        // The order matters: a reset ends the connection too.
        let is_ended = socket.peer_addr().is_err();
        if !matches!(socket.take_error(), Ok(None)) {
            return false;
        }
        if is_ended || clock::now() > until {
            return is_ended;
        }
        sleep(CONFIRM_INTERVAL).await;
    }
}

/// Whether a request certainly was not sent. The library reports a connection that ends after the request was written
/// as a failure to connect without a cause.
pub fn is_unsent(error: &ClientError) -> bool {
    matches!(error, ClientError::Connect(cause) if !matches!(cause, error::ConnectError::Disconnected(None)))
}

/// Connector for the HTTP client, whose URLs name hosts by IP address and port.
pub fn connector(
    limit: Millis,
) -> impl ServiceFactory<
    Connect<Uri>,
    SharedCfg,
    Response = Io,
    Error = ConnectError,
    InitError = ConnectServiceError,
    Service = impl Service<Connect<Uri>, Response = Io, Error = ConnectError>,
> {
    fn_factory_with_config(async move |config: SharedCfg| {
        Ok::<_, ConnectServiceError>(fn_service(move |request: Connect<Uri>| {
            let config = config.clone();
            async move {
                let address = request.host().trim_matches(['[', ']']).parse();
                let address = address.map_err(|_| ConnectError::Unresolved)?;
                let address = SocketAddr::new(address, request.port());
                let connected = connect(address, limit, config).await;
                connected.map(unread::limit).map_err(ConnectError::Io)
            }
        }))
    })
}
