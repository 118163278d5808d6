//! Mutual challenge-response authentication with the fleet secret.

use std::{net::TcpStream, sync::Arc};

use drumusher_platform::tcp;
use drumusher_wire::{
    auth::{self, Side},
    peer::{Challenge, Hello, Message, Proof, Tunnel},
};
use ntex::{
    SharedCfg,
    io::Io,
    time::{Millis, timeout},
    util::Either,
};

use super::{Codec, Error, tunnel};

/// Timeout of the handshake.
const HANDSHAKE_TIMEOUT: Millis = Millis(1_000);
/// Timeout of the TCP connect.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// The other side of an accepted connection.
#[derive(Debug)]
pub struct Peer {
    /// Its name.
    pub name: Arc<str>,
    /// What the connection is for.
    pub purpose: Purpose,
}

/// What a connection with another instance is for.
#[derive(Clone, Debug, Default)]
pub enum Purpose {
    /// All messages between instances.
    #[default]
    Messages,
    /// Only the pieces of updates, so that these delay no other message.
    Transfer,
    /// The bytes of a connection with a backend server.
    Tunnel(Tunnel),
}

impl Purpose {
    /// The purpose that an instance states when it connects.
    fn of(hello: &Hello) -> Purpose {
        match &hello.tunnel {
            Some(tunnel) => Purpose::Tunnel(tunnel.clone()),
            None if hello.transfer == Some(true) => Purpose::Transfer,
            None => Purpose::Messages,
        }
    }
}

/// This instance, as it introduces itself when it connects.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its area.
    pub area: &'a str,
    /// The secret of the fleet.
    pub secret: &'a [u8],
}

/// Authenticates an accepted connection: proves knowledge of the secret first, then verifies the peer.
///
/// # Errors
///
/// Any [`Error`]; the connection has to be closed then.
pub async fn accept(io: &Io, name: &str, secret: &[u8]) -> Result<Peer, Error> {
    with_timeout(HANDSHAKE_TIMEOUT, async {
        let Message::Hello(hello) = receive(io).await? else {
            return Err(Error::Refused);
        };
        let nonce = new_nonce();
        let proof = auth::proof(secret, Side::Accepting, &hello.nonce, name);
        let challenge = Challenge::new(name.to_string(), nonce.clone(), proof);
        send(io, Message::Challenge(challenge)).await?;
        let Message::Proof(proof) = receive(io).await? else {
            return Err(Error::Refused);
        };
        let valid = auth::verify(secret, Side::Connecting, &nonce, &hello.instance, &proof.proof);
        let peer = Peer { name: hello.instance.as_str().into(), purpose: Purpose::of(&hello) };
        if valid { Ok(peer) } else { Err(Error::Refused) }
    })
    .await
}

/// Connects to the instance at `address` and authenticates both sides. If `expected_peer` is given, the peer has to
/// have that name. Returns the connection and the peer's name.
///
/// # Errors
///
/// Any [`Error`].
pub async fn connect(
    address: &str,
    expected_peer: Option<&str>,
    identity: Identity<'_>,
) -> Result<(Io, Arc<str>), Error> {
    connect_for(Purpose::Messages, address, expected_peer, identity).await
}

/// Like [`connect`], for a connection that carries only the pieces of updates.
///
/// # Errors
///
/// Any [`Error`].
pub async fn connect_for_transfer(
    address: &str,
    peer: &str,
    identity: Identity<'_>,
) -> Result<(Io, Arc<str>), Error> {
    connect_for(Purpose::Transfer, address, Some(peer), identity).await
}

async fn connect_for(
    purpose: Purpose,
    address: &str,
    expected_peer: Option<&str>,
    identity: Identity<'_>,
) -> Result<(Io, Arc<str>), Error> {
    let address = address.parse().map_err(|_| Error::Closed)?;
    let config = SharedCfg::new("peer").build();
    let io = tcp::connect(address, CONNECT_TIMEOUT, config).await.map_err(Error::Io)?;
    let peer = with_timeout(HANDSHAKE_TIMEOUT, authenticate(&io, identity, purpose)).await?;
    let matches = expected_peer.is_none_or(|name| name == &*peer);
    if matches { Ok((io, peer)) } else { Err(Error::Refused) }
}

/// Opens a tunnel through the instance at `address`, which has to have the name `peer`, within `limit`. Returns the
/// connection, with a second handle of its socket if the instance is connected to the backend server.
///
/// # Errors
///
/// Any [`Error`] of the connection with the other instance.
pub async fn open_tunnel(
    address: &str,
    peer: &str,
    identity: Identity<'_>,
    tunnel: Tunnel,
    limit: Millis,
) -> Result<Result<(Io, TcpStream), tunnel::Outcome>, Error> {
    let address = address.parse().map_err(|_| Error::Closed)?;
    with_timeout(limit, async {
        let config = SharedCfg::new("tunnel").build();
        let (io, socket) = tcp::connect_watched(address, limit, config).await.map_err(Error::Io)?;
        if *authenticate(&io, identity, Purpose::Tunnel(tunnel)).await? != *peer {
            return Err(Error::Refused);
        }
        let Message::TunnelReply(reply) = receive(&io).await? else {
            return Err(Error::Refused);
        };
        Ok(match tunnel::Outcome::from_wire(reply.outcome) {
            tunnel::Outcome::Connected => Ok((io, socket)),
            outcome => Err(outcome),
        })
    })
    .await
}

async fn authenticate(
    io: &Io,
    identity: Identity<'_>,
    purpose: Purpose,
) -> Result<Arc<str>, Error> {
    let Identity { name, area, secret } = identity;
    let nonce = new_nonce();
    let (tunnel, transfer) = match purpose {
        Purpose::Messages => (None, None),
        Purpose::Transfer => (None, Some(true)),
        Purpose::Tunnel(tunnel) => (Some(tunnel), None),
    };
    let hello = Hello::new(name.to_string(), area.to_string(), nonce.clone(), tunnel, transfer);
    send(io, Message::Hello(hello)).await?;
    let Message::Challenge(challenge) = receive(io).await? else {
        return Err(Error::Refused);
    };
    let instance = challenge.instance;
    if !auth::verify(secret, Side::Accepting, &nonce, &instance, &challenge.proof) {
        return Err(Error::Refused);
    }
    let proof = auth::proof(secret, Side::Connecting, &challenge.nonce, name);
    send(io, Message::Proof(Proof::new(proof))).await?;
    Ok(instance.as_str().into())
}

async fn with_timeout<T>(
    limit: Millis,
    future: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    timeout(limit, future).await.unwrap_or(Err(Error::Timeout))
}

async fn receive(io: &Io) -> Result<Message, Error> {
    match io.recv(&Codec).await {
        Ok(Some(message)) => Ok(message),
        Ok(None) => Err(Error::Closed),
        Err(Either::Left(error)) => Err(Error::Frame(error)),
        Err(Either::Right(error)) => Err(Error::Io(error)),
    }
}

async fn send(io: &Io, message: Message) -> Result<(), Error> {
    io.send(message, &Codec).await.map_err(|error| match error {
        Either::Left(error) => Error::Frame(error),
        Either::Right(error) => Error::Io(error),
    })
}

fn new_nonce() -> Vec<u8> {
    rand::random::<[u8; auth::NONCE_BYTES]>().to_vec()
}
