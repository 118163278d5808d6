//! A connection with another instance from its beginning to its end.

use std::sync::Arc;

use drumusher_schedule::ask::Entry;
use ntex::io::Io;

use super::{Conn, Follows, Link, Peers};
use crate::{
    connection::{self, Codec},
    process::{clock, dispatch},
};

impl Peers {
    /// Handles an accepted connection until it ends.
    pub async fn accepted(self, io: Io) {
        let secret = self.shared.settings.fleet_secret.clone();
        match connection::accept(&io, &self.shared.name, secret.as_bytes()).await {
            Ok(instance) => self.serve(io, instance).await,
            Err(error) => {
                self.shared.telemetry.count("drumusher.peer.refused", &[]);
                log::warn!("a connection from another instance was refused: {error}");
            }
        }
    }

    /// Reads a connection until it ends.
    pub(super) async fn serve(self, io: Io, instance: Arc<str>) {
        let number = self.enter(&io, &instance);
        loop {
            match io.recv(&Codec).await {
                Ok(Some(message)) => self.received(number, &instance, message),
                Ok(None) => break,
                Err(error) => {
                    log::debug!("connection with {instance} broke: {error:?}");
                    break;
                }
            }
        }
        self.leave(number, &instance);
    }

    /// Enters a connection that is up and sends what waited for it. Returns its number.
    fn enter(&self, io: &Io, instance: &Arc<str>) -> u32 {
        let mut sends = Vec::new();
        let (number, pending) = {
            let mut inner = self.inner.borrow_mut();
            let number = inner.next_conn;
            inner.next_conn += 1;
            let conn = Conn {
                instance: instance.clone(),
                io: io.get_ref(),
                heard: clock::now(),
                behind: false,
                follows: Follows::new(),
                sending: Default::default(),
            };
            inner.conns.insert(number, conn);
            let before = inner.links.insert(instance.clone(), Link::Up(number));
            inner.table.set_reachable(instance, true, &mut sends);
            let pending = match before {
                Some(Link::Connecting(_, pending)) => pending,
                _ => Vec::new(),
            };
            (number, pending)
        };
        for message in pending {
            self.send_on(number, message);
        }
        self.send_all(sends);
        self.divide();
        number
    }

    /// A connection ended: its asks are dropped here, and the own ones are asked of the next.
    fn leave(&self, number: u32, instance: &Arc<str>) {
        let _ = self.shared.dispatch.try_send(dispatch::Input::Disconnected(Entry(number)));
        let other = {
            let mut inner = self.inner.borrow_mut();
            inner.conns.remove(&number);
            inner.turns.end(number);
            inner.fetches.iter_mut().for_each(|fetch| fetch.gone(number));
            let used = matches!(inner.links.get(instance), Some(Link::Up(up)) if *up == number);
            if !used {
                return;
            }
            inner.links.remove(instance);
            inner.tellers.retain(|teller| teller != instance);
            let mut others = inner.conns.iter();
            others.find(|(_, conn)| conn.instance == *instance).map(|(number, _)| *number)
        };
        let Some(other) = other else {
            self.unreachable(instance);
            return;
        };
        let mut sends = Vec::new();
        {
            let mut inner = self.inner.borrow_mut();
            inner.links.insert(instance.clone(), Link::Up(other));
            inner.table.resend(instance, &mut sends);
        }
        self.send_all(sends);
    }

    /// Notes that an instance has no connection: its asks and queries go on without it.
    pub(super) fn unreachable(&self, instance: &Arc<str>) {
        self.shared.telemetry.count("drumusher.peer.lost", &[]);
        log::warn!("instance {instance} cannot be reached");
        let mut sends = Vec::new();
        self.inner.borrow_mut().table.set_reachable(instance, false, &mut sends);
        self.query_lost(instance);
        self.send_all(sends);
        self.divide();
    }
}
