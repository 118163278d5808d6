//! The platform thread: the log, the list of instances, load reports.

mod append;
mod claims;
mod configuration;
mod load;
mod members;

use std::{cell::RefCell, rc::Rc, sync::Arc};

use drumusher_log::{claim, config::Verdict, quarantine::Digest};
use drumusher_platform::Http;
use drumusher_wire::peer;
use ntex::{rt, time::Millis};

pub use claims::Claimed;
pub use configuration::{CONFIGURATION, recent_from};

use super::{Shared, ring};

/// Places in the ring.
const RING: usize = 16_384;
/// Longest time of one request to the platform.
const TIMEOUT: Millis = Millis(3_000);

/// What the platform thread is told.
pub enum Input {
    /// Append an operator's command and tell its verdict when it is read back.
    Command {
        /// Its nonce.
        nonce: String,
        /// The record.
        body: Vec<u8>,
        /// Told the offset and the verdict.
        reply: async_channel::Sender<(u64, Verdict)>,
    },
    /// Claim a request that may not be repeated.
    Claim {
        /// What is claimed.
        key: claim::Key,
        /// By which attempt.
        attempt: claim::Attempt,
        /// Hash of the request.
        request: u64,
        /// Told how the claim ended.
        reply: async_channel::Sender<Claimed>,
    },
    /// Give a claim back: nothing was handed over.
    Release(claim::Key, claim::Attempt),
    /// A claimed request ran.
    Done(claim::Key, claim::Attempt, claim::Answer),
    /// Configuration records from another instance.
    Records(peer::Records),
    /// The configuration state of another instance, after its name.
    State(Arc<str>, Vec<u8>),
    /// Another instance wants to be entered in the store: its name and its entry.
    Register(String, String),
    /// What is known of requests that end backend servers changed: the store is to be told.
    Quarantine(Vec<Digest>),
}

/// The sending end of the platform ring.
pub type Sender = ring::TaskSender<Input>;
/// The receiving end of the platform ring.
pub type Receiver = ring::TaskReceiver<Input>;

/// The platform ring.
pub fn ring() -> (Sender, Receiver) {
    ring::to_task(RING)
}

/// What the tasks of the platform thread share.
#[derive(Clone)]
struct Context {
    shared: Arc<Shared>,
    http: Http,
    configuration: Rc<RefCell<configuration::Follower>>,
    claims: Rc<RefCell<claims::Claims>>,
    appends: append::Queue,
}

/// Runs the platform thread's tasks on the current thread until the ring is closed.
pub async fn run(shared: Arc<Shared>, receiver: Receiver) {
    let http = match Http::new(TIMEOUT).await {
        Ok(http) => http,
        Err(error) => {
            log::error!("no client for the platform: {error}");
            return;
        }
    };
    let context = Context {
        shared,
        http,
        configuration: Rc::default(),
        claims: Rc::default(),
        appends: append::Queue::new(),
    };
    rt::spawn(configuration::follow(context.clone()));
    rt::spawn(configuration::snapshots(context.clone()));
    rt::spawn(claims::follow(context.clone()));
    rt::spawn(append::run(context.clone()));
    rt::spawn(members::follow(context.clone()));
    rt::spawn(load::follow(context.clone()));
    while let Ok(input) = receiver.recv().await {
        take(&context, input);
    }
}

fn take(context: &Context, input: Input) {
    match input {
        Input::Command { nonce, body, reply } => {
            context.configuration.borrow_mut().wait(nonce, reply);
            context.appends.push(CONFIGURATION, body);
        }
        Input::Claim { key, attempt, request, reply } => {
            claims::claim(context, key, attempt, request, reply);
        }
        Input::Release(key, attempt) => claims::release(context, key, attempt),
        Input::Done(key, attempt, answer) => claims::done(context, key, attempt, answer),
        Input::Records(records) => configuration::relayed(context, records),
        Input::State(_, snapshot) => configuration::offered(context, &snapshot),
        // Only with a store, whose tasks take the other end of this ring.
        Input::Register(..) | Input::Quarantine(_) => {}
    }
}
