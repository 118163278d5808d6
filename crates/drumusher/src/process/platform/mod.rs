//! The platform thread: the log, the member list, load reports.

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

/// Capacity of the platform thread's input queue, in messages.
const QUEUE_MESSAGES: usize = 16_384;
/// Timeout of a request to the platform.
const TIMEOUT: Millis = Millis(3_000);

/// Input of the platform thread.
pub enum Input {
    /// Append an operator's command, and send its verdict once it is read back from the log.
    Command {
        /// Its nonce.
        nonce: String,
        /// The record, as JSON.
        body: Vec<u8>,
        /// Receives the offset and the verdict.
        reply: async_channel::Sender<(u64, Verdict)>,
    },
    /// Claim a request that must not be repeated.
    Claim {
        /// The claimed key.
        key: claim::Key,
        /// The attempt that claims it.
        attempt: claim::Attempt,
        /// Hash of the request.
        request: u64,
        /// Receives the result of the claim.
        reply: async_channel::Sender<Claimed>,
    },
    /// Release a claim whose request was not sent.
    Release(claim::Key, claim::Attempt),
    /// A claimed request ran; its response.
    Done(claim::Key, claim::Attempt, claim::Answer),
    /// Configuration records relayed by another instance.
    Records(peer::Records),
    /// Name of another instance and its state: the configuration, or with a store an update of its tables.
    State(Arc<str>, Vec<u8>),
    /// Another instance asks to be registered in the store: its name and its entry.
    Register(String, String),
    /// The quarantine of these requests changed and is to be written to the store.
    Quarantine(Vec<Digest>),
    /// Check with the store that the known software versions of the backend servers are the present ones.
    CheckVersions,
}

/// Sending end of the platform thread's input queue.
pub type Sender = ring::TaskSender<Input>;
/// Receiving end of the platform thread's input queue.
pub type Receiver = ring::TaskReceiver<Input>;

/// Creates the platform thread's input queue.
pub fn ring() -> (Sender, Receiver) {
    ring::to_task(QUEUE_MESSAGES)
}

/// State shared by the tasks of the platform thread.
#[derive(Clone)]
struct Context {
    shared: Arc<Shared>,
    http: Http,
    configuration: Rc<RefCell<configuration::Follower>>,
    claims: Rc<RefCell<claims::Claims>>,
    appends: append::Queue,
}

/// Runs the platform thread's tasks on the current thread until the input queue is closed.
pub async fn run(shared: Arc<Shared>, receiver: Receiver) {
    let http = match Http::new(TIMEOUT).await {
        Ok(http) => http,
        Err(error) => {
            log::error!("cannot create a client for the platform: {error}");
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
    rt::spawn(configuration::write_snapshots(context.clone()));
    rt::spawn(claims::follow(context.clone()));
    rt::spawn(append::run(context.clone()));
    rt::spawn(members::follow(context.clone()));
    rt::spawn(load::follow(context.clone()));
    while let Ok(input) = receiver.recv().await {
        handle(&context, input);
    }
}

fn handle(context: &Context, input: Input) {
    match input {
        Input::Command { nonce, body, reply } => {
            context.configuration.borrow_mut().notify_when_read(nonce, reply);
            context.appends.push(CONFIGURATION, body);
        }
        Input::Claim { key, attempt, request, reply } => {
            claims::claim(context, key, attempt, request, reply);
        }
        Input::Release(key, attempt) => claims::release(context, key, attempt),
        Input::Done(key, attempt, answer) => claims::done(context, key, attempt, answer),
        Input::Records(records) => configuration::relayed(context, records),
        Input::State(_, snapshot) => configuration::offered(context, &snapshot),
        // Only sent with a store, where `catalog::run` reads this queue instead.
        Input::Register(..) | Input::Quarantine(_) | Input::CheckVersions => {}
    }
}
