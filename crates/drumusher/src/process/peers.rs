//! The peers thread: connections to other instances, and the asks this instance owns.
//!
//! | module | duty |
//! |---|---|
//! | `link` | makes connections, and sends over them |
//! | `session` | a connection from its beginning to its end |
//! | `messages` | what each message of another instance leads to |
//! | `alive` | heartbeats, and what follows when another instance is silent |
//! | `follows` | how far another instance has followed the store |
//! | `store` | tells other instances what was read of the platform's store |
//! | `pieces` | sends and takes in pieces what is long of it |
//! | `fetch` | whom this instance asks for which piece |
//! | `turns` | whose pieces are sent next |
//! | `query` | operators' queries, asked of all instances and answered for others |

mod alive;
mod fetch;
mod follows;
mod link;
mod messages;
mod pieces;
mod query;
mod session;
mod store;
mod turns;

pub use fetch::{Fetch, Peer, Piece, Request, Step};
pub use follows::Follows;
pub use turns::Turns;

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

use super::{Shared, broker, catalog::TABLES, dispatch, ring};
use crate::operator::rows::Row;

/// Time between two batches of reports.
const REPORTS: Millis = Millis(50);
/// Time between two looks for instances that are to be tried again; the shortest time between trials.
const TRIAL_LOOK: Millis = Millis(400);
/// Places in the ring of operators' queries.
const RING: usize = 1_024;
/// Places in the ring from the dispatch thread.
const REPLIES: usize = 16_384;
/// Most messages held for a connection that is being made.
const PENDING: usize = 65_536;

/// What the peers thread is told by operators' requests and the platform thread.
pub enum Input {
    /// Run a statement at all instances; each answers with its name and rows, or without rows if
    /// it did not answer.
    Gather(String, Answers),
    /// Ask other instances for the configuration, because the log cannot be read.
    Seek,
}

/// Where the answers to a statement go: an instance with its rows, or without if it gave none.
pub type Answers = async_channel::Sender<(Arc<str>, Option<Vec<Row>>)>;
/// The sending end of the peers ring.
pub type Sender = async_channel::Sender<Input>;
/// The receiving end of the peers ring.
pub type Receiver = async_channel::Receiver<Input>;
/// The receiving end of the ring from the dispatch thread.
pub type Replies = ring::TaskReceiver<(Entry, Message)>;

/// The peers ring.
pub fn ring() -> (Sender, Receiver) {
    async_channel::bounded(RING)
}

/// The ring from the dispatch thread.
pub fn replies() -> (dispatch::Replies, Replies) {
    ring::to_task(REPLIES)
}

/// The receiving ends of the rings that end in the peers thread.
#[derive(Clone)]
pub struct Rings {
    /// From the requests.
    pub broker: broker::Receiver,
    /// From operators' queries.
    pub peers: Receiver,
    /// From the decisions.
    pub replies: Replies,
}

/// A connection that is up.
struct Conn {
    instance: Arc<str>,
    io: IoRef,
    heard: u64,
    /// The other's configuration offset was behind in the last heartbeat.
    behind: bool,
    /// How far the other has followed the store.
    follows: Follows,
    /// The updates whose pieces it is sent, by table.
    sending: [Option<Rc<pieces::Encoded>>; TABLES.len()],
}

/// How to reach an instance.
enum Link {
    /// A connection is being made since a moment; what to send then.
    Connecting(Micros, Vec<Message>),
    /// Over this connection.
    Up(u32),
}

/// What the tasks of the peers thread share.
struct Inner {
    table: broker::Table,
    links: HashMap<Arc<str>, Link>,
    conns: HashMap<u32, Conn>,
    next_conn: u32,
    gathers: HashMap<i64, query::Gather>,
    next_gather: i64,
    /// By how much capacity is divided, as the decisions were told last.
    divide: u32,
    /// The instances that were asked to tell this one what they read of the store.
    tellers: Vec<Arc<str>>,
    /// The latest update that another instance was told.
    update: Option<(store::Told, Vec<u8>)>,
    /// The latest updates that were made to be fetched, by table.
    latest: [pieces::Latest; TABLES.len()],
    /// Who is sent pieces, and who waits for that.
    turns: Turns<peer::PieceRequest>,
    /// What this instance fetches, by table.
    fetches: [Fetch; TABLES.len()],
}

/// The connections to other instances and the asks, as the tasks of the peers thread hold them.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
    inner: Rc<RefCell<Inner>>,
}

impl Peers {
    /// Begins on the current thread, which has a runtime.
    pub fn start(shared: Arc<Shared>, rings: Rings) -> Peers {
        let view = broker::View::new(shared.name.clone(), shared.area.clone())
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
            divide: 1,
            tellers: Vec::new(),
            update: None,
            latest: Default::default(),
            turns: Turns::new(),
            fetches: Default::default(),
        };
        let peers = Peers { shared, inner: Rc::new(RefCell::new(inner)) };
        rt::spawn(peers.clone().own_asks(rings.broker));
        rt::spawn(peers.clone().replies(rings.replies));
        rt::spawn(peers.clone().reports());
        rt::spawn(peers.clone().watch());
        rt::spawn(peers.clone().heartbeats());
        rt::spawn(peers.clone().trials());
        rt::spawn(peers.clone().queries(rings.peers));
        peers
    }

    /// Takes what the own requests say, and changes of the directory.
    async fn own_asks(self, receiver: broker::Receiver) {
        while let Ok(input) = receiver.recv().await {
            let mut sends = Vec::new();
            if let broker::Input::Changed = input {
                let directory = self.shared.directory.load_full();
                self.inner.borrow_mut().table.set_directory(directory, &mut sends);
                self.keep_reader();
                self.keep_dispatchers();
                self.tell_all();
            } else {
                self.inner.borrow_mut().table.handle(input, &mut sends);
            }
            self.send_all(sends);
            self.divide();
        }
    }

    /// Hands the answers of the own dispatcher to the entries that asked.
    async fn replies(self, receiver: Replies) {
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

    /// Sends the reports on running attempts in batches.
    async fn reports(self) {
        loop {
            sleep(REPORTS).await;
            let mut sends = Vec::new();
            self.inner.borrow_mut().table.reports(&mut sends);
            self.send_all(sends);
        }
    }

    /// Tells the decisions something. Returns whether their ring had room for it.
    fn dispatch(&self, input: dispatch::Input) -> bool {
        let taken = self.shared.dispatch.try_send(input).is_ok();
        if !taken {
            self.shared.telemetry.count("drumusher.ring.full", &[("ring", "dispatch")]);
        }
        taken
    }

    /// Tells the decisions by how much to divide capacity: by the instances of the area while none
    /// of the others can be reached, else not.
    fn divide(&self) {
        let (listed, alone) = self.inner.borrow().table.view().isolation();
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
        self.dispatch(dispatch::Input::SetDivisor(divide));
    }
}
