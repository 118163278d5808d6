//! The peers thread: connections to other instances, and the asks this instance owns.

mod link;
mod query;
mod store;

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};

use drumusher_schedule::{ask::Entry, order::Refusal, time::MILLISECOND};
use drumusher_wire::peer::{self, Message};
use ntex::{
    io::{Io, IoRef},
    rt,
    time::{Millis, sleep},
};

use super::{Shared, broker, clock, dispatch, platform};
use crate::{
    connection::{self, Codec},
    operator::{self, rows::Row},
    version::Pool,
};

/// Time between two heartbeats on a connection.
const HEARTBEAT: u64 = 250 * MILLISECOND;
/// A connection on which nothing was heard for so long is dead.
const SILENCE: u64 = 800 * MILLISECOND;
/// Time between two batches of reports.
const REPORTS: Millis = Millis(50);
/// Time between two looks for asks that are not answered.
const WATCH: Millis = Millis(32);
/// A look that comes so late shows that the own process was paused.
const WATCH_PAUSED: u64 = 100 * MILLISECOND;
/// Time between two trials to reach an instance again.
const TRIAL: Millis = Millis(400);
/// Places in the ring.
const RING: usize = 1_024;
/// Places in the ring from the dispatch thread.
const REPLIES: usize = 16_384;
/// Most messages held for a connection that is being made.
const PENDING: usize = 65_536;

/// What the peers thread is told by operators' requests and the platform thread.
pub enum Input {
    /// Run a statement at all instances; each answers with its name and rows, or without rows if
    /// it did not answer.
    Gather(String, async_channel::Sender<(Arc<str>, Option<Vec<Row>>)>),
    /// Ask other instances for the configuration, because the log cannot be read.
    Seek,
}

/// The sending end of the peers ring.
pub type Sender = async_channel::Sender<Input>;
/// The receiving end of the peers ring.
pub type Receiver = async_channel::Receiver<Input>;

/// The peers ring.
pub fn ring() -> (Sender, Receiver) {
    async_channel::bounded(RING)
}

/// The ring from the dispatch thread.
pub fn replies() -> (dispatch::Replies, async_channel::Receiver<(Entry, Message)>) {
    async_channel::bounded(REPLIES)
}

/// The receiving ends of the rings that end in the peers thread.
pub struct Rings {
    /// From the requests.
    pub broker: broker::Receiver,
    /// From operators' queries.
    pub peers: Receiver,
}

/// A connection that is up.
struct Conn {
    instance: Arc<str>,
    io: IoRef,
    heard: u64,
    /// The other's configuration offset was behind in the last heartbeat.
    behind: bool,
}

/// How to reach an instance.
enum Link {
    /// A connection is being made; what to send then.
    Connecting(Vec<Message>),
    /// Over this connection.
    Up(u32),
}

struct Inner {
    table: broker::Table,
    links: HashMap<Arc<str>, Link>,
    conns: HashMap<u32, Conn>,
    next_conn: u32,
    gathers: HashMap<i64, query::Gather>,
    next_gather: i64,
    divide: u32,
}

/// All of it, on the peers thread.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
    inner: Rc<RefCell<Inner>>,
}

impl Peers {
    /// Begins on the current thread, which has a runtime.
    pub fn start(
        shared: Arc<Shared>,
        rings: Rings,
        replies: async_channel::Receiver<(Entry, Message)>,
    ) -> Peers {
        let table = broker::Table::new(shared.name.clone(), shared.area.clone());
        let inner = Inner {
            table,
            links: HashMap::new(),
            conns: HashMap::new(),
            next_conn: 1,
            gathers: HashMap::new(),
            next_gather: 1,
            divide: 1,
        };
        let peers = Peers { shared, inner: Rc::new(RefCell::new(inner)) };
        rt::spawn(peers.clone().own_asks(rings.broker));
        rt::spawn(peers.clone().replies(replies));
        rt::spawn(peers.clone().reports());
        rt::spawn(peers.clone().watch());
        rt::spawn(peers.clone().heartbeats());
        rt::spawn(peers.clone().trials());
        rt::spawn(peers.clone().queries(rings.peers));
        peers
    }

    async fn own_asks(self, receiver: broker::Receiver) {
        while let Ok(input) = receiver.recv().await {
            let mut sends = Vec::new();
            if let broker::Input::Changed = input {
                let directory = self.shared.directory.load_full();
                self.inner.borrow_mut().table.adopt(directory, &mut sends);
                self.keep_reader();
            } else {
                self.inner.borrow_mut().table.take(input, &mut sends);
            }
            self.send_all(sends);
            self.divide();
        }
    }

    async fn replies(self, receiver: async_channel::Receiver<(Entry, Message)>) {
        while let Ok((entry, message)) = receiver.recv().await {
            if entry == dispatch::OWN {
                let mut sends = Vec::new();
                let name = self.shared.name.clone();
                self.inner.borrow_mut().table.answer(&name, message, &mut sends);
                self.send_all(sends);
            } else {
                self.send_on(entry.0, message);
            }
        }
    }

    /// Takes over the asks that another instance does not answer, and gives its connection up.
    async fn watch(self) {
        let mut last = clock::now();
        loop {
            sleep(WATCH).await;
            let now = clock::now();
            let paused = now > last + WATCH_PAUSED;
            last = now;
            if paused {
                self.inner.borrow_mut().table.forgive();
                continue;
            }
            let mut sends = Vec::new();
            let silent = self.inner.borrow_mut().table.silent(&mut sends);
            self.send_all(sends);
            for instance in silent {
                self.give_up(&instance);
            }
        }
    }

    /// Closes the connection to an instance that does not answer; it is tried again later.
    fn give_up(&self, instance: &Arc<str>) {
        log::warn!(instance = &**instance; "an instance does not answer asks");
        let up = match self.inner.borrow().links.get(instance) {
            Some(Link::Up(number)) => Some(*number),
            _ => None,
        };
        let Some(number) = up else {
            self.unreachable(instance);
            return;
        };
        if let Some(conn) = self.inner.borrow().conns.get(&number) {
            conn.io.terminate();
        }
    }

    async fn reports(self) {
        loop {
            sleep(REPORTS).await;
            let mut sends = Vec::new();
            self.inner.borrow_mut().table.reports(&mut sends);
            self.send_all(sends);
        }
    }

    /// Sends heartbeats and closes silent connections. After a pause of the own process nothing
    /// was heard because nothing was listening, so all get another chance.
    async fn heartbeats(self) {
        let mut last = clock::now();
        let mut stopped = false;
        loop {
            sleep(Millis((HEARTBEAT / MILLISECOND) as u32)).await;
            let now = clock::now();
            let paused = now > last + SILENCE / 2;
            last = now;
            if self.shared.stopping() && !stopped {
                stopped = true;
                self.stop();
            }
            self.heartbeat(now, paused);
            self.keep_reader();
        }
    }

    fn heartbeat(&self, now: u64, paused: bool) {
        let offset = self.shared.position() as i64;
        let leaving = self.shared.stopping().then_some(true);
        let heartbeat = Message::Heartbeat(peer::Heartbeat {
            offset,
            leaving,
            ends: self.ends(),
            reads: self.reads().then_some(true),
        });
        let mut inner = self.inner.borrow_mut();
        for conn in inner.conns.values_mut() {
            if paused {
                conn.heard = now;
            }
            if now > conn.heard + SILENCE {
                conn.io.terminate();
                continue;
            }
            let _ = conn.io.encode(heartbeat.clone(), &Codec);
        }
    }

    fn stop(&self) {
        let mut sends = Vec::new();
        self.inner.borrow_mut().table.stop(&mut sends);
        self.send_all(sends);
    }

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
    async fn serve(self, io: Io, instance: Arc<str>) {
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
            };
            inner.conns.insert(number, conn);
            let before = inner.links.insert(instance.clone(), Link::Up(number));
            inner.table.reachable(instance, true, &mut sends);
            let pending = match before {
                Some(Link::Connecting(pending)) => pending,
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
        let _ = self.shared.dispatch.try_send(dispatch::Input::Gone(Entry(number)));
        let other = {
            let mut inner = self.inner.borrow_mut();
            inner.conns.remove(&number);
            let used = matches!(inner.links.get(instance), Some(Link::Up(up)) if *up == number);
            if !used {
                return;
            }
            inner.links.remove(instance);
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
            inner.table.repeat(instance, &mut sends);
        }
        self.send_all(sends);
    }

    fn unreachable(&self, instance: &Arc<str>) {
        self.shared.telemetry.count("drumusher.peer.lost", &[]);
        log::warn!("instance {instance} cannot be reached");
        let mut sends = Vec::new();
        self.inner.borrow_mut().table.reachable(instance, false, &mut sends);
        self.query_lost(instance);
        self.send_all(sends);
        self.divide();
    }

    fn received(&self, number: u32, instance: &Arc<str>, message: Message) {
        if let Some(conn) = self.inner.borrow_mut().conns.get_mut(&number) {
            conn.heard = clock::now();
        }
        match message {
            Message::Ask(ask) => self.asked(number, ask),
            Message::Withdraw(_) | Message::Progress(_) | Message::Finish(_) => {
                let input = dispatch::Input::Message(Entry(number), message);
                self.dispatch(input);
            }
            Message::Grant(_)
            | Message::Refuse(_)
            | Message::Preempt(_)
            | Message::Redirect(_)
            | Message::Queued(_) => {
                let mut sends = Vec::new();
                self.inner.borrow_mut().table.answer(instance, message, &mut sends);
                self.send_all(sends);
            }
            Message::Heartbeat(heartbeat) => self.heard(number, instance, &heartbeat),
            Message::Records(records) => {
                let _ = self.shared.platform.try_send(platform::Input::Records(records));
            }
            Message::StateRequest(request) => {
                self.tell(number, request.ends.as_deref());
                self.state_requested(number, request.offset);
            }
            Message::State(state) => {
                let _ = self.shared.platform.try_send(platform::Input::State(state.snapshot));
            }
            Message::Query(query) => self.queried(number, query),
            Message::Answer(answer) => self.answered(instance, &answer),
            Message::Hello(_) | Message::Challenge(_) | Message::Proof(_) => {}
        }
    }

    /// Another entry asks for a pool. An instance that does not believe to be its dispatcher
    /// redirects, once.
    fn asked(&self, number: u32, ask: peer::Ask) {
        if let Some(owner) = self.other_owner(&ask) {
            let redirect = peer::Redirect::new(ask.id, owner.to_string());
            self.send_on(number, Message::Redirect(redirect));
            return;
        }
        let id = ask.id.clone();
        let input = dispatch::Input::Message(Entry(number), Message::Ask(ask));
        if !self.dispatch(input) {
            let second = 1_000 * MILLISECOND as i64;
            let refuse = peer::Refuse::new(id, Refusal::QueueFull as i16, second);
            self.send_on(number, Message::Refuse(refuse));
        }
    }

    fn other_owner(&self, ask: &peer::Ask) -> Option<Arc<str>> {
        if ask.redirected == Some(true) || ask.server.is_some() {
            return None;
        }
        let pool = Pool::parse(&ask.pool)?;
        let inner = self.inner.borrow();
        let owner = inner.table.dispatcher(&pool, &self.shared.area)?;
        (owner != self.shared.name).then_some(owner)
    }

    fn dispatch(&self, input: dispatch::Input) -> bool {
        let taken = self.shared.dispatch.try_send(input).is_ok();
        if !taken {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "dispatch")]);
        }
        taken
    }

    /// A heartbeat: whether the other is leaving, and whether it lags behind in configuration for
    /// longer than the log would explain.
    fn heard(&self, number: u32, instance: &Arc<str>, heartbeat: &peer::Heartbeat) {
        let mut sends = Vec::new();
        let behind = heartbeat.offset < self.shared.position() as i64;
        let before = {
            let mut inner = self.inner.borrow_mut();
            let leaving = heartbeat.leaving.unwrap_or(false);
            inner.table.leaves(instance, leaving, &mut sends);
            let conn = inner.conns.get_mut(&number);
            conn.is_some_and(|conn| std::mem::replace(&mut conn.behind, behind))
        };
        self.send_all(sends);
        if self.shared.settings.store.is_some() {
            self.store_heard(number, heartbeat, behind, before);
        } else if behind && before {
            self.state_requested(number, heartbeat.offset);
        }
    }

    /// Sends the records from `offset` on, or the whole state if they are no longer at hand.
    fn state_requested(&self, number: u32, offset: i64) {
        if !self.shared.configured.load(Ordering::Acquire) || self.shared.settings.store.is_some() {
            return;
        }
        let recent = platform::recent_from(offset.max(0) as u64);
        let message = match recent {
            Some(records) => Message::Records(records),
            None => {
                let state = self.shared.version.load().state.clone();
                let Ok(snapshot) = serde_json::to_vec(&*state) else { return };
                Message::State(peer::State::new(state.next as i64, snapshot))
            }
        };
        self.send_on(number, message);
    }

    /// Tells the decisions by how much to divide capacity: by the instances of the area while none
    /// of the others can be reached, else not.
    fn divide(&self) {
        let (listed, alone) = self.inner.borrow().table.alone();
        let divide = if alone { listed as u32 } else { 1 };
        let before = std::mem::replace(&mut self.inner.borrow_mut().divide, divide);
        if before == divide {
            return;
        }
        if alone {
            log::warn!(
                "no other instance of the zone can be reached: deciding alone, with 1/{listed} of each window"
            );
            self.shared.telemetry.count("drumusher.dispatch.alone", &[]);
        }
        self.dispatch(dispatch::Input::Divide(divide));
    }
}
