//! The idle connections of one HTTP worker.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc};

use ntex::time::Millis;

use super::{Conn, Error};
use crate::version::Backend;

/// Most idle connections kept to one backend server.
const MOST_IDLE: usize = 32;

/// One start of a backend server: its name, and when it started, if that is known.
type Start = (Arc<str>, Option<u64>);

/// The idle connections of one HTTP worker, by backend server and its start, so that a connection is never
/// used for another one at the same address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<Start, Vec<Conn>>>>,
}

impl Pool {
    /// No connections yet.
    pub fn new() -> Self {
        Pool::default()
    }

    /// A connection to a backend server: the one used last, or a new one. `fresh` asks for one that
    /// was not idle for long, as [`Conn::usable`] has it.
    ///
    /// # Errors
    ///
    /// [`Error::NotConnected`].
    pub async fn take(
        &self,
        server: &Backend,
        address: SocketAddr,
        fresh: bool,
        limit: Millis,
    ) -> Result<Conn, Error> {
        if let Some(conn) = self.kept(server, fresh) {
            return Ok(conn);
        }
        Conn::connect(address, limit).await
    }

    fn kept(&self, server: &Backend, fresh: bool) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&start(server))?;
        conns.retain(|conn| conn.usable(false));
        let last = conns.pop()?;
        if last.usable(fresh) {
            return Some(last);
        }
        conns.push(last);
        None
    }

    /// Gives a connection back after a whole answer.
    pub fn give(&self, server: &Backend, mut conn: Conn) {
        if !conn.finish() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(start(server)).or_default();
        if conns.len() < MOST_IDLE {
            conns.push(conn);
        }
    }

    /// Closes connections that were idle for too long, those of backend servers that are gone among
    /// them.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(|_, conns| {
            conns.retain(|conn| conn.usable(false));
            !conns.is_empty()
        });
    }
}

fn start(server: &Backend) -> Start {
    (server.name.clone(), server.started_ms)
}
