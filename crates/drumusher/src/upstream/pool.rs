//! The idle connections of one HTTP worker.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use drumusher_schedule::time::{MILLISECOND, Micros};

use ntex::time::Millis;

use super::{Conn, Error, trust::Trust};
use crate::process::clock;

/// Most idle connections kept to one backend server.
const MOST_IDLE: usize = 32;

/// The idle connections of one HTTP worker, by backend server. A backend server has a new identity
/// at each start, so that a connection is never used for another one at the same address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<Arc<str>, Vec<Conn>>>>,
    trust: Rc<Cell<Trust>>,
}

impl Pool {
    /// No connections yet.
    pub fn new() -> Self {
        Pool::default()
    }

    /// A connection to a backend server: the one used last, or a new one. `once` tells that the request
    /// is handed over at most once, so that it goes on no connection that may have been forgotten.
    ///
    /// # Errors
    ///
    /// [`Error::NotConnected`].
    pub async fn take(
        &self,
        server: &Arc<str>,
        address: SocketAddr,
        once: bool,
        limit: Millis,
    ) -> Result<Conn, Error> {
        if let Some(conn) = self.kept(server, once) {
            return Ok(conn);
        }
        Conn::connect(address, limit).await
    }

    fn kept(&self, server: &Arc<str>, once: bool) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(server)?;
        conns.retain(|conn| conn.usable(Micros::MAX));
        let mut last = conns.pop()?;
        let trust = self.trust.get();
        let most = if once { trust.limit() } else { trust.limit_repeatable(clock::now()) };
        if last.usable(most) {
            last.take();
            return Some(last);
        }
        conns.push(last);
        None
    }

    /// A connection brought the beginning of an answer.
    pub fn answered(&self, conn: &Conn) {
        if let Some(rested) = conn.rested() {
            let mut trust = self.trust.get();
            trust.answered(rested);
            self.trust.set(trust);
        }
    }

    /// A connection broke before any answer: if it had rested, it may have been forgotten.
    pub fn broke(&self, conn: &Conn) {
        if let Some(rested) = conn.rested() {
            let mut trust = self.trust.get();
            trust.forgotten(clock::now(), rested);
            log::info!(
                rested_ms = rested / MILLISECOND, limit_ms = trust.limit() / MILLISECOND;
                "a connection that had rested broke before an answer"
            );
            self.trust.set(trust);
        }
    }

    /// Gives a connection back after a whole answer.
    pub fn give(&self, server: &Arc<str>, mut conn: Conn) {
        if !conn.finish() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry(server.clone()).or_default();
        if conns.len() < MOST_IDLE {
            conns.push(conn);
        }
    }

    /// Closes connections that were idle for too long, those of backend servers that are gone among
    /// them.
    pub fn prune(&self) {
        self.idle.borrow_mut().retain(|_, conns| {
            conns.retain(|conn| conn.usable(Micros::MAX));
            !conns.is_empty()
        });
    }
}
