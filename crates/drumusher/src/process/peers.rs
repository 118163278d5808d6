//! The peers thread: connections to other instances, and the asks made by this instance.
//!
//! | module | responsibility |
//! |---|---|
//! | `link` | opens connections and sends messages over them |
//! | `session` | lifecycle of a connection |
//! | `messages` | handles the messages of other instances |
//! | `heartbeat` | heartbeats, and detection of unresponsive instances |
//! | `replica` | how much of the store's tables another instance has |
//! | `report` | what a heartbeat says about the store |
//! | `store` | relays what was read from the platform's store |
//! | `pieces` | transfers large updates in pieces |
//! | `fetch` | from which instance to request which piece |
//! | `uploads` | which instances are sent pieces concurrently |
//! | `referral` | sends instances on to others that receive the same update |
//! | `tunnel` | passes the bytes between another instance and a backend server |
//! | `query` | operators' queries, distributed to all instances and answered for others |

mod fetch;
mod heartbeat;
mod link;
mod messages;
mod pieces;
mod query;
mod referral;
mod replica;
mod report;
mod session;
mod store;
mod tunnel;
mod uploads;

pub use fetch::{Fetch, PeerKind, Piece, Request, Step};
pub use replica::Replica;
pub use report::Report;
pub use uploads::Uploads;

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc};

use drumusher_schedule::{
    ask::Entry,
    time::{MILLISECOND, Micros},
};
use drumusher_wire::peer::{self, Message};
use ntex::{
    io::IoRef,
    rt,
    time::{Millis, sleep},
};

use super::{Shared, broker, catalog::TABLES, clock, dispatch, ring};
use crate::operator::rows::Row;

/// Interval between batches of reports.
const REPORT_INTERVAL: Millis = Millis(50);
/// Interval between checks for unreachable instances to retry, and thereby the shortest time between attempts.
const RETRY_CHECK_INTERVAL: Millis = Millis(400);
/// Capacity of the channel of operators' queries.
const QUERY_CAPACITY: usize = 1_024;
/// Capacity of the channel from the dispatch thread.
const REPLY_CAPACITY: usize = 16_384;
/// Most messages held for a connection that is being opened.
const MAX_PENDING: usize = 65_536;

/// Input of the peers thread from operators' requests and the platform thread.
pub enum Input {
    /// Runs a statement on all instances. Each yields its name and rows, or no rows if it did not answer.
    Gather(String, Answers),
    /// Requests the configuration from other instances, because the log cannot be read.
    FetchConfiguration,
}

/// Receives the answers to a statement: an instance and its rows, or none if it did not answer.
pub type Answers = async_channel::Sender<(Arc<str>, Option<Vec<Row>>)>;
/// The sending end of the peers channel.
pub type Sender = async_channel::Sender<Input>;
/// The receiving end of the peers channel.
pub type Receiver = async_channel::Receiver<Input>;
/// The receiving end of the channel from the dispatch thread.
pub type Replies = ring::TaskReceiver<(Entry, Message)>;

/// Creates the peers channel.
pub fn ring() -> (Sender, Receiver) {
    async_channel::bounded(QUERY_CAPACITY)
}

/// Creates the channel from the dispatch thread.
pub fn replies() -> (dispatch::Replies, Replies) {
    ring::to_task(REPLY_CAPACITY)
}

/// The receiving ends of the channels into the peers thread.
#[derive(Clone)]
pub struct Rings {
    /// From requests.
    pub broker: broker::Receiver,
    /// From operators' queries.
    pub peers: Receiver,
    /// From the dispatch thread.
    pub replies: Replies,
}

/// An established connection.
struct Conn {
    instance: Arc<str>,
    io: IoRef,
    heard_at: u64,
    /// Whether the other instance was behind in its last heartbeat.
    behind: bool,
    /// How much of the store's tables the other instance has.
    replica: Replica,
    /// The updates whose pieces are being sent to the other instance, by table.
    sending: [Option<Rc<pieces::Encoded>>; TABLES.len()],
    /// Whether it carries only pieces of updates: no heartbeats and no asks.
    transfers_only: bool,
}

impl Conn {
    fn new(io: IoRef, instance: Arc<str>) -> Self {
        Conn {
            instance,
            io,
            heard_at: clock::now(),
            behind: false,
            replica: Replica::new(),
            sending: Default::default(),
            transfers_only: false,
        }
    }
}

/// State of the connection to an instance.
enum Link {
    /// A connection is being opened since this time; with the messages to send then.
    Connecting(Micros, Vec<Message>),
    /// Established, with the number of the connection.
    Up(u32),
}

/// State shared by the tasks of the peers thread.
struct Inner {
    table: broker::Table,
    links: HashMap<Arc<str>, Link>,
    conns: HashMap<u32, Conn>,
    next_conn: u32,
    gathers: HashMap<i64, query::Gather>,
    next_gather: i64,
    /// The divisor of this instance's capacity last sent to the dispatch thread.
    capacity_divisor: u32,
    /// The readers of the store, by rank, as of the latest heartbeat interval.
    readers: Vec<Arc<str>>,
    /// The readers whose latest word was that the store has answered all their calls, and when it came.
    steady: HashMap<Arc<str>, Micros>,
    /// The readers that this instance subscribed to.
    sources: Vec<Arc<str>>,
    /// The latest encoded update that was relayed, with what it was made from.
    cached_state: Option<(store::UpdateKey, Vec<u8>)>,
    /// The latest encoded updates to be fetched in pieces, by table.
    cached_updates: [pieces::CachedUpdate; TABLES.len()],
    /// The instances that are sent pieces, and the waiting requests.
    uploads: Uploads<pieces::Place, peer::PieceRequest>,
    /// The instances to which others are referred.
    receivers: referral::Receivers,
    /// Requests for pieces that this instance does not have yet.
    parked: Vec<(pieces::Place, peer::PieceRequest)>,
    /// The updates received last, by table, which others may be fetching.
    received: [Option<pieces::Received>; TABLES.len()],
    /// What this instance fetches, by table.
    fetches: [Fetch; TABLES.len()],
    /// Number of open tunnels.
    tunnels: usize,
}

impl Inner {
    /// Adds a connection. Returns its number.
    fn add_conn(&mut self, conn: Conn) -> u32 {
        let number = self.next_conn;
        self.next_conn += 1;
        self.conns.insert(number, conn);
        number
    }

    /// Removes a closed connection and its transfers.
    fn remove_conn(&mut self, number: u32) {
        self.conns.remove(&number);
        self.uploads.drop_where(|place| place.conn == number);
        self.parked.retain(|(place, _)| place.conn != number);
        self.receivers.remove(number);
        self.fetches.iter_mut().for_each(|fetch| fetch.connection_closed(number));
    }
}

/// Handle of the peers thread's tasks to the connections and asks.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
    inner: Rc<RefCell<Inner>>,
}

impl Peers {
    /// Starts the tasks on the current thread, which has a runtime.
    pub fn start(shared: Arc<Shared>, rings: Rings) -> Peers {
        let view = broker::View::new(shared.name.clone(), shared.area.clone())
            .with_availability_zone(shared.settings.availability_zone.as_str().into())
            .with_capacity(shared.settings.capacity);
        let window = shared.settings.repeats.window_ms * MILLISECOND;
        let table =
            broker::Table::new(view).with_window(window).with_notices(shared.notices.clone());
        let inner = Inner {
            table,
            links: HashMap::new(),
            conns: HashMap::new(),
            next_conn: 1,
            gathers: HashMap::new(),
            next_gather: 1,
            capacity_divisor: 1,
            readers: Vec::new(),
            steady: HashMap::new(),
            sources: Vec::new(),
            cached_state: None,
            cached_updates: Default::default(),
            uploads: Uploads::new(),
            receivers: referral::Receivers::default(),
            parked: Vec::new(),
            received: Default::default(),
            fetches: Default::default(),
            tunnels: 0,
        };
        let peers = Peers { shared, inner: Rc::new(RefCell::new(inner)) };
        rt::spawn(peers.clone().handle_inputs(rings.broker));
        rt::spawn(peers.clone().forward_replies(rings.replies));
        rt::spawn(peers.clone().send_reports());
        rt::spawn(peers.clone().watch_unanswered());
        rt::spawn(peers.clone().run_heartbeats());
        rt::spawn(peers.clone().retry_unreachable());
        rt::spawn(peers.clone().handle_queries(rings.peers));
        peers
    }

    /// Handles input from this instance's requests, and changes of the directory.
    async fn handle_inputs(self, receiver: broker::Receiver) {
        while let Ok(input) = receiver.recv().await {
            let mut sends = Vec::new();
            if let broker::Input::Changed = input {
                let directory = self.shared.directory.load_full();
                self.inner.borrow_mut().table.set_directory(directory, &mut sends);
                self.update_sources();
                self.connect_dispatchers();
                self.relay_to_subscribers();
            } else {
                self.inner.borrow_mut().table.handle(input, &mut sends);
            }
            self.send_all(sends);
            self.update_capacity_divisor();
        }
    }

    /// Delivers the answers of this instance's dispatcher to the entries that asked.
    async fn forward_replies(self, receiver: Replies) {
        while let Ok((entry, message)) = receiver.recv().await {
            if entry == dispatch::LOCAL_ENTRY {
                let mut sends = Vec::new();
                let name = self.shared.name.clone();
                self.inner.borrow_mut().table.answer(&name, message, &mut sends);
                self.send_all(sends);
            } else {
                self.send_on(entry.0, message);
            }
        }
    }

    /// Sends reports on running attempts in batches.
    async fn send_reports(self) {
        loop {
            sleep(REPORT_INTERVAL).await;
            let mut sends = Vec::new();
            self.inner.borrow_mut().table.reports(&mut sends);
            self.send_all(sends);
        }
    }

    /// Sends an input to the dispatch thread. Returns whether its queue had room.
    fn try_dispatch(&self, input: dispatch::Input) -> bool {
        let taken = self.shared.dispatch.try_send(input).is_ok();
        if !taken {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "dispatch")]);
        }
        taken
    }

    /// Updates the divisor of this instance's capacity: the number of instances in the area while none of the
    /// others can be reached, otherwise 1.
    fn update_capacity_divisor(&self) {
        let (listed, alone) = self.inner.borrow().table.view().isolation();
        let divisor = if alone { listed as u32 } else { 1 };
        let before = std::mem::replace(&mut self.inner.borrow_mut().capacity_divisor, divisor);
        if before == divisor {
            return;
        }
        if alone {
            log::warn!(
                "no other instance of the zone is reachable: deciding alone, with 1/{listed} of each window"
            );
            self.shared.telemetry.count("drumusher.dispatch.alone", &[]);
        }
        self.try_dispatch(dispatch::Input::SetDivisor(divisor));
    }
}
