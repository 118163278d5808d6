//! Opening connections, and sending over them.

use std::{collections::hash_map, sync::Arc};

use drumusher_wire::peer::{self, Message};
use ntex::{rt, time::sleep};

use super::{Link, MAX_PENDING, Peers, RETRY_CHECK_INTERVAL, messages::queue_full};
use crate::{
    connection::{self, Codec},
    process::{broker, clock, dispatch},
    version::Instance,
};

/// Number of instances asked for the configuration at the same time.
const MAX_ASKED: usize = 3;

impl Peers {
    pub(super) fn send_all(&self, sends: Vec<broker::Outgoing>) {
        for send in sends {
            self.send(&send.to, send.message);
        }
    }

    /// Sends a message to an instance, over a new connection if there is none.
    pub(super) fn send(&self, to: &Arc<str>, message: Message) {
        if *to == self.shared.name {
            self.send_to_self(message);
            return;
        }
        let up = match self.inner.borrow_mut().links.entry(to.clone()) {
            hash_map::Entry::Occupied(mut link) => match link.get_mut() {
                Link::Up(number) => Some(*number),
                Link::Connecting(_, pending) => {
                    if pending.len() < MAX_PENDING {
                        pending.push(message);
                    }
                    return;
                }
            },
            hash_map::Entry::Vacant(vacant) => {
                let needs_no_connection =
                    matches!(message, Message::Withdraw(_) | Message::Finish(_));
                if needs_no_connection {
                    return;
                }
                vacant.insert(Link::Connecting(clock::now(), vec![message]));
                rt::spawn(self.clone().connect(to.clone()));
                return;
            }
        };
        if let Some(number) = up {
            self.send_on(number, message);
        }
    }

    fn send_to_self(&self, message: Message) {
        let id = match &message {
            Message::Ask(ask) => Some(ask.id.clone()),
            _ => None,
        };
        if self.try_dispatch(dispatch::Input::Message(dispatch::LOCAL_ENTRY, Box::new(message))) {
            return;
        }
        if let Some(id) = id {
            let name = self.shared.name.clone();
            let table = &mut self.inner.borrow_mut().table;
            table.answer(&name, queue_full(id), &mut Vec::new());
        }
    }

    /// Sends a message over a connection if it is still open. Progress reports are dropped while the connection is
    /// congested; later ones supersede them.
    pub(super) fn send_on(&self, number: u32, message: Message) {
        let inner = self.inner.borrow();
        let Some(conn) = inner.conns.get(&number) else {
            return;
        };
        let droppable = matches!(message, Message::Progress(_));
        if droppable && conn.io.is_wr_backpressure() {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "peer")]);
            return;
        }
        if let Err(error) = conn.io.encode(message, &Codec) {
            log::error!("cannot encode a message to {}: {error}", conn.instance);
        }
    }

    async fn connect(self, to: Arc<str>) {
        if self.try_connect(&to).await {
            return;
        }
        self.inner.borrow_mut().links.remove(&to);
        self.note_unreachable(&to);
    }

    /// Connects to a listed instance. Returns whether that succeeded.
    async fn try_connect(&self, to: &Arc<str>) -> bool {
        let address = {
            let directory = self.shared.directory.load();
            directory.instances.get(to).map(|instance| instance.address.clone())
        };
        let Some(address) = address else {
            return false;
        };
        match connection::connect(&address, Some(to), self.shared.identity()).await {
            Ok((io, instance)) => {
                rt::spawn(self.clone().serve(io, instance));
                true
            }
            Err(error) => {
                log::debug!("cannot connect to instance {to}: {error}");
                false
            }
        }
    }

    /// Requests the configuration from a few other instances, those of this area first, or from the seeds if no
    /// instance is listed.
    pub(super) fn fetch_configuration(&self) {
        let directory = self.shared.directory.load_full();
        let others = directory.instances.values().filter(|other| other.name != self.shared.name);
        let mut others: Vec<&Instance> = others.collect();
        others.sort_by_key(|other| other.area != self.shared.area);
        for other in others.iter().take(MAX_ASKED) {
            self.send(
                &other.name,
                Message::StateRequest(peer::StateRequest::new(0, None, true, None, None)),
            );
        }
        if !others.is_empty() {
            return;
        }
        for seed in self.shared.settings.seeds.iter().take(MAX_ASKED) {
            rt::spawn(self.clone().fetch_configuration_from(seed.to_string()));
        }
    }

    async fn fetch_configuration_from(self, address: String) {
        let connected = connection::connect(&address, None, self.shared.identity()).await;
        if let Ok((io, instance)) = connected {
            let request = Message::StateRequest(peer::StateRequest::new(0, None, true, None, None));
            let _ = io.get_ref().encode(request, &Codec);
            rt::spawn(self.serve(io, instance));
        }
    }

    /// Retries the connections to unreachable instances.
    pub(super) async fn retry_unreachable(self) {
        loop {
            sleep(RETRY_CHECK_INTERVAL).await;
            let due = self.inner.borrow_mut().table.due_reconnects();
            for instance in due {
                rt::spawn(self.clone().retry(instance));
            }
        }
    }

    async fn retry(self, instance: Arc<str>) {
        self.try_connect(&instance).await;
    }
}
