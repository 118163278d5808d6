//! Making connections, and sending over them.

use std::{collections::hash_map, sync::Arc};

use drumusher_wire::peer::{self, Message};
use ntex::{rt, time::sleep};

use super::{Link, PENDING, Peers, TRIAL_LOOK, messages::queue_full};
use crate::{
    connection::{self, Codec},
    process::{broker, clock, dispatch},
    version::Instance,
};

/// Instances that are asked for the configuration at once.
const SOUGHT: usize = 3;

impl Peers {
    pub(super) fn send_all(&self, sends: Vec<broker::Outgoing>) {
        for send in sends {
            self.send(&send.to, send.message);
        }
    }

    /// Sends to an instance, over a new connection if there is none.
    pub(super) fn send(&self, to: &Arc<str>, message: Message) {
        if *to == self.shared.name {
            self.send_own(message);
            return;
        }
        let up = match self.inner.borrow_mut().links.entry(to.clone()) {
            hash_map::Entry::Occupied(mut link) => match link.get_mut() {
                Link::Up(number) => Some(*number),
                Link::Connecting(_, pending) => {
                    if pending.len() < PENDING {
                        pending.push(message);
                    }
                    return;
                }
            },
            hash_map::Entry::Vacant(vacant) => {
                let only_ends = matches!(message, Message::Withdraw(_) | Message::Finish(_));
                if only_ends {
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

    fn send_own(&self, message: Message) {
        let id = match &message {
            Message::Ask(ask) => Some(ask.id.clone()),
            _ => None,
        };
        if self.dispatch(dispatch::Input::Message(dispatch::LOCAL_ENTRY, Box::new(message))) {
            return;
        }
        if let Some(id) = id {
            let name = self.shared.name.clone();
            let table = &mut self.inner.borrow_mut().table;
            table.answer(&name, queue_full(id), &mut Vec::new());
        }
    }

    /// Sends over a connection, if it is still there. Reports that a slow connection cannot take
    /// are dropped; the next ones say more.
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
            log::error!("a message to {} cannot be written: {error}", conn.instance);
        }
    }

    async fn connect(self, to: Arc<str>) {
        if self.try_connect(&to).await {
            return;
        }
        self.inner.borrow_mut().links.remove(&to);
        self.unreachable(&to);
    }

    /// Connects to a listed instance. Returns whether it is up.
    async fn try_connect(&self, to: &Arc<str>) -> bool {
        let address = {
            let directory = self.shared.directory.load();
            directory.instances.get(to).map(|instance| instance.address.clone())
        };
        let Some(address) = address else {
            return false;
        };
        let secret = self.shared.settings.fleet_secret.as_bytes();
        let (name, area) = (&self.shared.name, &self.shared.area);
        match connection::connect(&address, Some(to), name, area, secret).await {
            Ok((io, instance)) => {
                rt::spawn(self.clone().serve(io, instance));
                true
            }
            Err(error) => {
                log::debug!("no connection to {to}: {error}");
                false
            }
        }
    }

    /// Asks a few other instances for the configuration, those of the own area first, and the seeds
    /// if no instance is listed.
    pub(super) fn seek(&self) {
        let directory = self.shared.directory.load_full();
        let others = directory.instances.values().filter(|other| other.name != self.shared.name);
        let mut others: Vec<&Instance> = others.collect();
        others.sort_by_key(|other| other.area != self.shared.area);
        for other in others.iter().take(SOUGHT) {
            self.send(
                &other.name,
                Message::StateRequest(peer::StateRequest::new(0, None, true, None)),
            );
        }
        if !others.is_empty() {
            return;
        }
        for seed in self.shared.settings.seeds.iter().take(SOUGHT) {
            rt::spawn(self.clone().seek_at(seed.to_string()));
        }
    }

    async fn seek_at(self, address: String) {
        let secret = self.shared.settings.fleet_secret.as_bytes();
        let (name, area) = (&self.shared.name, &self.shared.area);
        let connected = connection::connect(&address, None, name, area, secret).await;
        if let Ok((io, instance)) = connected {
            let request = Message::StateRequest(peer::StateRequest::new(0, None, true, None));
            let _ = io.get_ref().encode(request, &Codec);
            rt::spawn(self.serve(io, instance));
        }
    }

    /// Tries to reach again the instances that could not be reached.
    pub(super) async fn trials(self) {
        loop {
            sleep(TRIAL_LOOK).await;
            let due = self.inner.borrow_mut().table.due_reconnects();
            for instance in due {
                rt::spawn(self.clone().trial(instance));
            }
        }
    }

    async fn trial(self, instance: Arc<str>) {
        self.try_connect(&instance).await;
    }
}
