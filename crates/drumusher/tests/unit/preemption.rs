//! A preemption that crosses the end of its attempt: the dispatcher ordered it before it learned of that end.

use std::sync::Arc;

use drumusher::{
    process::{
        broker::{Attempt, DispatchRequest, Input, Outgoing, Reply, Table, View},
        clock,
    },
    request::id,
    version::{Directory, Instance, Pool},
};
use drumusher_schedule::ask::Outcome;
use drumusher_wire::peer::{self, Message};

const ID: u128 = 1;
const NAME: &str = "suva-0";

/// The table of an instance that is its own dispatcher.
fn table() -> Table {
    let instance = Instance {
        name: NAME.into(),
        area: "suva".into(),
        availability_zone: "suva".into(),
        address: "127.0.0.1:1".into(),
        leaving: false,
        capacity: 1_000,
    };
    let mut directory = Directory::default();
    directory.set_instances(std::iter::once(instance));
    let mut table = Table::new(View::new(NAME.into(), "suva".into()));
    table.set_directory(Arc::new(directory), &mut Vec::new());
    table
}

/// Submits the request, with some of its tokens delivered. Returns what is sent.
fn open(table: &mut Table, replies: &async_channel::Sender<Reply>) -> Vec<Outgoing> {
    let request = DispatchRequest {
        attempt: Attempt::First,
        digest: None,
        stream: None,
        id: ID,
        pool: Pool::Model("draft".into()),
        area: "suva".into(),
        workspace: "vanua".into(),
        class: "summary".into(),
        arrived: clock::now(),
        prompt: 10,
        prefix: 0,
        produced: 1,
        repeatable: true,
        preemptions: 0,
        avoid: None,
        output: 0,
        deadline: None,
        parts: Vec::new(),
        replies: replies.clone(),
    };
    let mut sends = Vec::new();
    table.handle(Input::Open(Box::new(request)), &mut sends);
    sends
}

fn answer(table: &mut Table, message: Message) {
    table.answer(&Arc::from(NAME), message, &mut Vec::new());
}

fn grant() -> Message {
    let wire = id::to_wire(ID);
    let (engine, none) = ("engine-0".to_string(), None);
    Message::Grant(peer::Grant::new(
        wire, engine, 0, 0, none, None, None, None, None, None, None, None,
    ))
}

fn preempt() -> Message {
    Message::Preempt(peer::Preempt::new(id::to_wire(ID), 0))
}

/// Guards against a preemption of an ended attempt that is taken for one of the next attempt, which has no grant yet.
#[test]
fn a_preemption_of_an_ended_attempt_is_not_passed_on() {
    let mut table = table();
    let (sender, replies) = async_channel::bounded(8);
    open(&mut table, &sender);
    answer(&mut table, grant());
    assert!(matches!(replies.try_recv(), Ok(Reply::Grant(_))));
    let failed = Outcome::Failed as i16;
    table.handle(Input::Finish(ID, failed, 1), &mut Vec::new());
    open(&mut table, &sender);
    answer(&mut table, preempt());
    assert!(replies.is_empty(), "{:?}", replies.try_recv());
}

/// Guards against a request that is submitted again while its grant is on the way to it, and loses that grant.
#[test]
fn a_grant_on_the_way_survives_another_submission() {
    let mut table = table();
    let (sender, replies) = async_channel::bounded(8);
    assert!(!open(&mut table, &sender).is_empty(), "an ask is sent");
    answer(&mut table, grant());
    assert_eq!(open(&mut table, &sender), []);
    assert!(matches!(replies.try_recv(), Ok(Reply::Grant(_))));
    assert!(replies.is_empty(), "{:?}", replies.try_recv());
}

/// Guards against a request that is submitted again and counts as a new one, or leaves its dispatcher without a word.
#[test]
fn a_request_that_is_submitted_again_is_asked_for_again() {
    let mut table = table();
    let (sender, _replies) = async_channel::bounded(8);
    let attempts = |sends: &[Outgoing]| -> Vec<Option<i16>> {
        let asks = sends.iter().filter_map(|send| match &send.message {
            Message::Ask(ask) => Some(ask.attempt),
            _ => None,
        });
        asks.collect()
    };
    let first = attempts(&open(&mut table, &sender));
    let second = attempts(&open(&mut table, &sender));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first, second, "the second ask counts as one of a request that was sent before");
    assert_eq!(table.len(), 1);
}
