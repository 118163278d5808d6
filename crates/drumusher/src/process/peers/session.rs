//! Lifecycle of a connection with another instance.

use std::sync::Arc;

use drumusher_schedule::ask::Entry;
use ntex::io::Io;

use super::{Conn, Link, Peers};
use crate::{
    connection::{self, Codec, Peer, Purpose},
    process::dispatch,
};

impl Peers {
    /// Handles an accepted connection until it ends.
    pub async fn accepted(self, io: Io) {
        let secret = self.shared.settings.fleet_secret.clone();
        match connection::accept(&io, &self.shared.name, secret.as_bytes()).await {
            Ok(Peer { purpose: Purpose::Tunnel(tunnel), .. }) => {
                self.serve_tunnel(io, &tunnel).await
            }
            Ok(Peer { name, purpose: Purpose::Messages }) => self.serve(io, name).await,
            Ok(Peer { name, purpose: Purpose::Transfer }) => {
                let number = self.register_transfer(&io, &name);
                self.serve_transfer(io, name, number).await;
            }
            Err(error) => {
                self.shared.telemetry.count("drumusher.peer.refused", &[]);
                log::warn!("refused a connection from another instance: {error}");
            }
        }
    }

    /// Reads messages from a connection until it ends.
    pub(super) async fn serve(self, io: Io, instance: Arc<str>) {
        let number = self.register(&io, &instance);
        loop {
            match io.recv(&Codec).await {
                Ok(Some(message)) => self.on_message(number, &instance, message),
                Ok(None) => break,
                Err(error) => {
                    log::debug!("connection with {instance} failed: {error:?}");
                    break;
                }
            }
        }
        self.unregister(number, &instance);
    }

    /// Registers an established connection and sends the messages waiting for it. Returns its number.
    fn register(&self, io: &Io, instance: &Arc<str>) -> u32 {
        let mut sends = Vec::new();
        let (number, pending) = {
            let mut inner = self.inner.borrow_mut();
            let number = inner.add_conn(Conn::new(io.get_ref(), instance.clone()));
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
        self.update_capacity_divisor();
        self.try_dispatch(dispatch::Input::Connected(Entry(number), instance.clone()));
        number
    }

    /// Removes a closed connection: the asks received over it are dropped, and this instance's asks are repeated
    /// over another connection if there is one.
    fn unregister(&self, number: u32, instance: &Arc<str>) {
        let _ = self.shared.dispatch.try_send(dispatch::Input::Disconnected(Entry(number)));
        let other = {
            let mut inner = self.inner.borrow_mut();
            inner.remove_conn(number);
            let used = matches!(inner.links.get(instance), Some(Link::Up(up)) if *up == number);
            if !used {
                return;
            }
            inner.links.remove(instance);
            inner.sources.retain(|source| source != instance);
            let mut others = inner.conns.iter();
            let is_other = |conn: &Conn| conn.instance == *instance && !conn.transfers_only;
            others.find(|(_, conn)| is_other(conn)).map(|(number, _)| *number)
        };
        let Some(other) = other else {
            self.note_unreachable(instance);
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

    /// Records that there is no connection to an instance: asks and queries continue without it.
    pub(super) fn note_unreachable(&self, instance: &Arc<str>) {
        self.shared.telemetry.count("drumusher.peer.lost", &[]);
        log::warn!("instance {instance} cannot be reached");
        let mut sends = Vec::new();
        self.inner.borrow_mut().table.set_reachable(instance, false, &mut sends);
        // It may have lost the store just before it became unreachable.
        self.note_steadiness(instance, false);
        self.query_unreachable(instance);
        self.send_all(sends);
        self.update_capacity_divisor();
    }
}
