//! Pool of the idle connections of one HTTP worker.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use ntex::time::Millis;

use super::{Conn, Error, Incarnation, Key, incarnation};
use crate::version::Backend;

/// Maximum number of idle connections to one backend server.
const MAX_IDLE: usize = 32;

/// What a request needs of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// The request.
    pub request: Key,
    /// Whether it runs at most once, see [`Conn::is_usable`].
    pub at_most_once: bool,
}

/// Tells the backend servers of idle connections apart: by name and start, so that a connection is never used for another
/// server that took over the address, and by address, which a server may change under its name.
type Server = (Incarnation, Option<SocketAddr>);

/// Idle connections of one HTTP worker, by backend server.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<Server, Vec<Conn>>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Pool::default()
    }

    /// Returns a connection to a backend server: the most recently used idle one that has not just carried an attempt of
    /// the request, or a new one.
    ///
    /// # Errors
    ///
    /// [`Error::NotConnected`] if no connection is established within `timeout`.
    pub async fn take(
        &self,
        server: &Backend,
        address: SocketAddr,
        need: Need,
        timeout: Millis,
    ) -> Result<Conn, Error> {
        if let Some(conns) = self.idle.borrow_mut().get_mut(&key(server)) {
            conns.retain(|conn| !conn.is_tunnel());
        }
        if let Some(conn) = self.take_idle(server, need) {
            return Ok(conn);
        }
        Conn::connect(address, timeout).await
    }

    /// Returns an idle tunnel to a backend server. The idle connections over its path, which is lost, are closed.
    pub fn take_tunnel(&self, server: &Backend, need: Need) -> Option<Conn> {
        if let Some(conns) = self.idle.borrow_mut().get_mut(&key(server)) {
            conns.retain(Conn::is_tunnel);
        }
        self.take_idle(server, need)
    }

    fn take_idle(&self, server: &Backend, need: Need) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&key(server))?;
        conns.retain(|conn| conn.is_usable(false));
        let last = conns.iter().rposition(|conn| !conn.has_carried(need.request))?;
        let usable = conns[last].is_usable(need.at_most_once);
        usable.then(|| conns.remove(last))
    }

    /// Returns a connection to the pool after a complete response; it is closed if it can't be reused or the pool is
    /// full.
    pub fn put(&self, server: &Backend, mut conn: Conn) {
        if !conn.finish() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(key(server)).or_default();
        if conns.len() < MAX_IDLE {
            conns.push(conn);
        }
    }

    /// Closes connections that were idle for too long, including those to backend servers that are gone.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(|_, conns| {
            conns.retain(|conn| conn.is_usable(false));
            !conns.is_empty()
        });
    }
}

fn key(server: &Backend) -> Server {
    (incarnation(server), server.address.parse().ok())
}
