//! Outgoing TCP connections.

use std::net::TcpListener;

use drumusher_platform::tcp;
use ntex::{SharedCfg, time::Millis};
use socket2::SockRef;

/// A user timeout would also end connections whose keep-alive probes are not answered for that long.
#[ntex::test]
async fn connections_have_no_user_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let config = SharedCfg::new("test").build();
    let connected = tcp::connect_watched(address, Millis(5_000), config).await;
    let (_io, socket) = connected.expect("a connection");
    assert_eq!(SockRef::from(&socket).tcp_user_timeout().expect("an option"), None);
}
