//! The asks that an instance sends to dispatchers: which dispatcher gets them, and what happens when it changes.

use std::{collections::BTreeMap, sync::Arc};

use drumusher::{
    process::{
        broker::{Attempt, DispatchRequest, Input, Outgoing, Reply, Report, Table, View},
        clock,
        notices::{Answer, KnownLimit, Notices},
    },
    request::id,
    version::{Backend, Directory, Instance, Pool},
};
use drumusher_platform::dialect::Notice;
use drumusher_wire::peer::{self, Message};
use proptest::prelude::*;

/// A time, in microseconds.
const NOW: u64 = 1_000_000;
const NAMES: [&str; 4] = ["suva-0", "suva-1", "suva-2", "suva-3"];

fn directory(listed: &[&str]) -> Arc<Directory> {
    in_zones(listed.iter().map(|name| (*name, "suva")))
}

/// A directory of instances in the area `suva`, by name and availability zone.
fn in_zones<'a>(listed: impl Iterator<Item = (&'a str, &'a str)>) -> Arc<Directory> {
    let mut directory = Directory::default();
    directory.set_instances(listed.map(|(name, zone)| Instance {
        name: name.into(),
        area: "suva".into(),
        availability_zone: zone.into(),
        address: "127.0.0.1:1".into(),
        leaving: false,
        capacity: 1_000,
    }));
    Arc::new(directory)
}

/// The dispatcher of a cell is in the cell's zone, the same for all instances; if none of the zone is reachable, another
/// instance has the role.
#[test]
fn a_cell_is_dispatched_in_its_zone() {
    let listed: Vec<(String, String)> =
        (0..40).map(|number| (format!("i{number}"), format!("z{}", number % 4))).collect();
    let directory = in_zones(listed.iter().map(|(name, zone)| (name.as_str(), zone.as_str())));
    let zone_of = |name: &str| directory.instances[name].availability_zone.to_string();
    for cell in 0..8 {
        let pool = Pool::parse(&format!("cell:{cell}/8/z{}/s", cell % 4)).expect("a cell");
        let mut dispatchers = listed.iter().map(|(name, zone)| {
            let view = View::new(name.as_str().into(), "suva".into());
            let mut view = view.with_availability_zone(zone.as_str().into());
            view.set_directory(directory.clone());
            view.dispatcher(&pool, "suva").expect("a dispatcher")
        });
        let first = dispatchers.next().expect("there are instances");
        assert!(dispatchers.all(|dispatcher| dispatcher == first));
        assert_eq!(zone_of(&first), format!("z{}", cell % 4));
        let mut view = View::new("i0".into(), "suva".into()).with_availability_zone("z0".into());
        view.set_directory(directory.clone());
        for (name, zone) in &listed {
            if *zone == zone_of(&first) {
                view.set_reachable(NOW, &name.as_str().into(), false);
            }
        }
        let other = view.dispatcher(&pool, "suva").expect("a dispatcher");
        assert!(&*other == "i0" || zone_of(&other) != zone_of(&first));
    }
}

fn table() -> Table {
    let mut table = Table::new(View::new("suva-0".into(), "suva".into()));
    table.set_directory(directory(&NAMES), &mut Vec::new());
    table
}

fn pool() -> Pool {
    Pool::Model("draft".into())
}

fn open(table: &mut Table, id: u128) -> (Vec<Outgoing>, async_channel::Receiver<Reply>) {
    let (replies, receiver) = async_channel::bounded(8);
    let own = DispatchRequest {
        attempt: Attempt::First,
        digest: None,
        stream: None,
        id,
        pool: pool(),
        area: "suva".into(),
        workspace: "vanua".into(),
        class: "pickup".into(),
        arrived: drumusher::process::clock::now(),
        prompt: 10,
        prefix: 0,
        produced: 0,
        repeatable: true,
        preemptions: 0,
        avoid: None,
        output: 0,
        deadline: None,
        parts: Vec::new(),
        replies,
    };
    let mut sends = Vec::new();
    table.handle(Input::Open(Box::new(own)), &mut sends);
    (sends, receiver)
}

/// The first ask among the messages, with its recipient.
fn sent_ask(sends: &[Outgoing]) -> Option<(Arc<str>, peer::Ask)> {
    sends.iter().find_map(|send| match &send.message {
        Message::Ask(ask) => Some((send.to.clone(), ask.clone())),
        _ => None,
    })
}

fn grant(table: &mut Table, from: &Arc<str>, id: u128) -> Vec<Outgoing> {
    let mut sends = Vec::new();
    let grant = peer::Grant::new(
        id::to_wire(id),
        "engine-1".into(),
        0,
        0,
        None,
        None,
        None,
        None,
        None,
        None,
        None,
        None,
    );
    table.answer(from, Message::Grant(grant), &mut sends);
    sends
}

#[test]
fn a_waiting_ask_moves_to_the_next_dispatcher() {
    let mut table = table();
    let (sends, _replies) = open(&mut table, 1);
    let (first, _) = sent_ask(&sends).expect("an ask is sent");
    let mut sends = Vec::new();
    table.set_reachable(&first, false, &mut sends);
    let (second, ask) = sent_ask(&sends).expect("an ask to the next dispatcher");
    assert_ne!(first, second);
    assert_eq!(ask.server, None);
    // The first dispatcher is reachable again: it gets the ask, and the second one a withdrawal.
    let mut sends = Vec::new();
    table.set_reachable(&first, true, &mut sends);
    assert_eq!(sent_ask(&sends).map(|(to, _)| to), Some(first));
    let forgets =
        |send: &Outgoing| matches!(send.message, Message::Withdraw(_)) && send.to == second;
    assert!(sends.iter().any(forgets));
}

#[test]
fn a_running_request_is_reported_to_the_next_dispatcher() {
    let mut table = table();
    let (sends, replies) = open(&mut table, 1);
    let (first, _) = sent_ask(&sends).expect("an ask is sent");
    grant(&mut table, &first, 1);
    assert!(matches!(replies.try_recv(), Ok(Reply::Grant(_))));
    table.handle(Input::Progress(1, Report { produced: 7, ..Report::default() }), &mut Vec::new());
    let mut sends = Vec::new();
    table.set_reachable(&first, false, &mut sends);
    let (_, ask) = sent_ask(&sends).expect("the running request is reported");
    assert_eq!((ask.server.as_deref(), ask.produced), (Some("engine-1"), Some(7)));
}

#[test]
fn an_answer_of_a_former_dispatcher_is_ignored() {
    let mut table = table();
    let (sends, replies) = open(&mut table, 1);
    let (first, _) = sent_ask(&sends).expect("an ask is sent");
    table.set_reachable(&first, false, &mut Vec::new());
    grant(&mut table, &first, 1);
    assert!(replies.try_recv().is_err());
}

#[test]
fn a_second_grant_is_ignored() {
    let mut table = table();
    let (sends, replies) = open(&mut table, 1);
    let (first, _) = sent_ask(&sends).expect("an ask is sent");
    grant(&mut table, &first, 1);
    grant(&mut table, &first, 1);
    assert!(replies.try_recv().is_ok());
    assert!(replies.try_recv().is_err());
}

#[test]
fn a_redirect_is_followed_once() {
    let mut table = table();
    let (sends, _replies) = open(&mut table, 1);
    let (first, _) = sent_ask(&sends).expect("an ask is sent");
    let other: Arc<str> = NAMES.into_iter().find(|name| **name != *first).expect("four").into();
    let redirect = peer::Redirect::new(id::to_wire(1), other.to_string());
    let mut sends = Vec::new();
    table.answer(&first, Message::Redirect(redirect), &mut sends);
    let (to, ask) = sent_ask(&sends).expect("the other instance is asked");
    assert_eq!((to, ask.redirected), (other, Some(true)));
}

#[test]
fn an_isolated_instance_dispatches_for_itself() {
    let mut table = table();
    assert_eq!(table.view().isolation(), (4, false));
    for name in &NAMES[1..] {
        table.set_reachable(&Arc::from(*name), false, &mut Vec::new());
    }
    assert_eq!(table.view().isolation(), (4, true));
    assert_eq!(table.view().dispatcher(&pool(), "suva").as_deref(), Some("suva-0"));
    assert_eq!(table.view().dispatcher(&pool(), "nadi"), None);
}

#[test]
fn a_stopping_instance_gives_up_its_role() {
    let mut table = table();
    for name in &NAMES[2..] {
        table.set_reachable(&Arc::from(*name), false, &mut Vec::new());
    }
    table.stop(&mut Vec::new());
    assert_eq!(table.view().dispatcher(&pool(), "suva").as_deref(), Some("suva-1"));
}

proptest! {
    /// However instances become reachable, unreachable and leaving, the latest ask of each open request went to the
    /// current dispatcher.
    #[test]
    fn every_ask_is_with_the_current_dispatcher(
        steps in proptest::collection::vec((0u8..5, 0usize..4), 0..60),
    ) {
        let mut table = table();
        let mut recipients: BTreeMap<u128, Arc<str>> = BTreeMap::new();
        let mut receivers = Vec::new();
        for (at, (action, index)) in steps.into_iter().enumerate() {
            let name: Arc<str> = NAMES[index].into();
            let mut sends = Vec::new();
            match action {
                0 => {
                    let (opened, receiver) = open(&mut table, at as u128 + 1);
                    sends = opened;
                    receivers.push(receiver);
                }
                1 if index > 0 => table.set_reachable(&name, false, &mut sends),
                2 => table.set_reachable(&name, true, &mut sends),
                3 if index > 0 => table.set_leaving(&name, true, &mut sends),
                4 => table.set_leaving(&name, false, &mut sends),
                _ => {}
            }
            for send in sends {
                if let Message::Ask(ask) = &send.message {
                    recipients.insert(id::from_wire(&ask.id).expect("a request ID"), send.to.clone());
                }
            }
            let dispatcher = table.view().dispatcher(&pool(), "suva").expect("at least this instance itself");
            prop_assert!(recipients.values().all(|to| *to == dispatcher));
        }
    }
}

/// If a dispatcher doesn't answer in time, its asks move to the dispatch thread of this instance.
#[test]
fn an_unanswered_ask_moves_to_the_local_dispatcher() {
    let (mut table, id, first) = table_with_remote_ask();
    assert!(table.reassign_overdue(&mut Vec::new()).is_empty(), "the answer is not overdue yet");
    let mut sends = Vec::new();
    drumusher_bench::fleet::wait_for("the ask is overdue", || {
        table.reassign_overdue(&mut sends).contains(&first)
    });
    let (to, ask) = sent_ask(&sends).expect("the ask is sent again");
    assert_eq!((&*to, id::from_wire(&ask.id)), ("suva-0", Some(id)));
    let withdrawn =
        |send: &Outgoing| matches!(send.message, Message::Withdraw(_)) && send.to == first;
    assert!(sends.iter().any(withdrawn), "the ask is withdrawn from the unresponsive dispatcher");
    assert!(
        table.reassign_overdue(&mut Vec::new()).is_empty(),
        "the local dispatcher has no timeout"
    );
}

/// An ask that its dispatcher reported as queued stays there, and a pause of this process doesn't make answers
/// overdue.
#[test]
fn a_queued_ask_stays() {
    let (mut table, id, first) = table_with_remote_ask();
    let queued = peer::Queued::new(id::to_wire(id));
    table.answer(&first, Message::Queued(queued), &mut Vec::new());
    let (mut other, ..) = table_with_remote_ask();
    let mut overdue = Vec::new();
    drumusher_bench::fleet::wait_for("the other ask is overdue", || {
        other.restart_answer_timers();
        let in_time = other.reassign_overdue(&mut Vec::new()).is_empty();
        assert!(in_time);
        overdue.push(());
        overdue.len() > 20
    });
    assert!(table.reassign_overdue(&mut Vec::new()).is_empty());
}

/// A table with one ask, sent to another instance, with the ID of the request and that instance.
fn table_with_remote_ask() -> (Table, u128, Arc<str>) {
    let mut table = table();
    for id in 1.. {
        let (sends, _replies) = open(&mut table, id);
        let (first, _) = sent_ask(&sends).expect("an ask is sent");
        if &*first != "suva-0" {
            return (table, id, first);
        }
        table.handle(Input::Finish(id, 1, 0), &mut Vec::new());
    }
    unreachable!("one of many is asked of another instance")
}

/// All instances agree on the four readers of the store, and the other instances are spread evenly over them. If a
/// reader is unreachable another one takes its place.
#[test]
fn readers_share_the_other_instances() {
    let names: Vec<String> = (0..40).map(|number| format!("suva-{number}")).collect();
    let listed: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut instances_by_reader: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut readers = Vec::new();
    for name in &listed {
        let mut table = Table::new(View::new((*name).into(), "suva".into()));
        table.set_directory(directory(&listed), &mut Vec::new());
        readers.push(table.view().readers());
        let Some(assigned) = table.view().assigned_reader(NOW) else {
            assert!(table.view().readers().iter().any(|reader| &**reader == *name));
            continue;
        };
        assert!(table.view().readers().contains(&assigned));
        table.set_reachable(&assigned, false, &mut Vec::new());
        assert_ne!(table.view().assigned_reader(NOW), Some(assigned.clone()));
        *instances_by_reader.entry(assigned).or_default() += 1;
    }
    assert!(readers.windows(2).all(|pair| pair[0] == pair[1]));
    assert_eq!(instances_by_reader.len(), 4);
    assert!(
        instances_by_reader.values().all(|count| (4..=16).contains(count)),
        "{instances_by_reader:?}"
    );
}

/// Connections to an unreachable instance are retried every 0.4 s at first and every 15 s after a long time. It is
/// reported as unreachable after the configured time, until it is reached again.
#[test]
fn reconnects_to_unreachable_instances_back_off() {
    const SECOND: u64 = 1_000_000;
    let mut view = View::new("suva-0".into(), "suva".into());
    view.set_directory(directory(&NAMES));
    let other: Arc<str> = "suva-1".into();
    assert!(view.set_reachable(0, &other, false));
    assert!(
        !view.set_reachable(SECOND, &other, false),
        "it is known already, and the time of its loss stays"
    );
    let mut reconnects = |from: u64, to: u64| -> usize {
        (from * 10..to * 10).map(|tenth| view.due_reconnects(tenth * SECOND / 10).len()).sum()
    };
    assert_eq!(reconnects(0, 3), 7, "each 0.4 s");
    assert!((20..=40).contains(&reconnects(3, 120)));
    assert_eq!(reconnects(1_000, 1_060), 4, "each 15 s");
    assert_eq!(view.unreachable_for(600 * SECOND, 600 * SECOND), []);
    assert_eq!(view.unreachable_for(601 * SECOND, 600 * SECOND), std::slice::from_ref(&other));
    assert!(view.set_reachable(602 * SECOND, &other, true));
    assert_eq!(view.unreachable_for(9_999 * SECOND, 600 * SECOND), []);
    assert_eq!(view.due_reconnects(9_999 * SECOND), []);
}

/// An instance is no reader before it is listed, even if there are few others or, as at the first start of a fleet, it
/// doesn't know of any yet.
#[test]
fn an_unlisted_instance_is_no_reader() {
    let mut view = View::new("suva-9".into(), "suva".into());
    assert!(view.readers().is_empty());
    view.set_directory(directory(&NAMES[..2]));
    assert_eq!(view.readers().len(), 2);
    assert!(view.assigned_reader(NOW).is_some());
    view.set_directory(directory(&["suva-0", "suva-1", "suva-9"]));
    assert_eq!(view.readers().len(), 3);
    for name in &NAMES[..2] {
        view.set_reachable(0, &Arc::from(*name), false);
    }
    assert_eq!(view.readers(), [Arc::from("suva-9")], "no other instance is reachable");
}

/// A reader that gets no answers from the store is skipped for a while, or until it reports answers again. If no
/// reader gets answers, the first one is assigned as before.
#[test]
fn a_reader_without_answers_is_skipped() {
    let names: Vec<String> = (0..40).map(|number| format!("suva-{number}")).collect();
    let listed: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut view = View::new("suva-none".into(), "suva".into());
    view.set_directory(directory(&listed));
    let first = view.assigned_reader(NOW).expect("a reader");
    view.set_store_readable(NOW, &first, false);
    let second = view.assigned_reader(NOW).expect("another reader");
    assert_ne!(second, first);
    assert_eq!(
        view.assigned_reader(NOW + 10_000_000).as_ref(),
        Some(&first),
        "the first reader is asked again"
    );
    let later = NOW + 1_900_000;
    view.set_store_readable(later, &first, false);
    assert_eq!(
        view.assigned_reader(NOW + 2_100_000).as_ref(),
        Some(&second),
        "the first reader still gets no answers"
    );
    view.set_store_readable(NOW, &first, true);
    assert_eq!(view.assigned_reader(NOW).as_ref(), Some(&first));
    view.readers().iter().for_each(|reader| view.set_store_readable(NOW, reader, false));
    assert_eq!(view.assigned_reader(NOW), Some(first));
}

/// A new dispatcher gets the known notices of backend servers with its first ask; the current one gets new notices at
/// once.
#[test]
fn a_new_dispatcher_gets_the_known_notices() {
    let notices = Arc::new(Notices::default());
    let mut table = table().with_notices(notices.clone());
    let server = Backend {
        name: "engine-1".into(),
        area: "suva".into(),
        address: "127.0.0.1:1".into(),
        slots: 8,
        leaving: false,
        started_ms: None,
        availability_zone: "suva".into(),
        version: "v1".into(),
        spot: false,
        warm_at: 0,
        evacuated: false,
    };
    let notice = Notice { leaving: true, ..Notice::default() };
    let (pool, known_limit) = (pool(), KnownLimit::default());
    let answer = Answer { pool: &pool, server: &server, sent: 0, known_limit, notice: &notice };
    let record = notices.record_answer(clock::now(), &answer).expect("it is new");
    let ask_with_notices = |sends: &[Outgoing]| {
        let (to, ask) = sent_ask(sends).expect("an ask is sent");
        (to, ask.notices.iter().flatten().map(|notice| notice.server.clone()).collect::<Vec<_>>())
    };
    let (sends, _replies) = open(&mut table, 1);
    let (first, names) = ask_with_notices(&sends);
    assert_eq!(names, ["engine-1"]);
    grant(&mut table, &first, 1);
    let (sends, _replies) = open(&mut table, 2);
    assert_eq!(
        ask_with_notices(&sends),
        (first.clone(), Vec::new()),
        "the dispatcher has the notice"
    );
    let mut sends = Vec::new();
    table.handle(Input::Notice(Box::new(record)), &mut sends);
    assert!(matches!(&sends[..], [Outgoing { to, message: Message::Notice(_) }] if *to == first));
    let mut sends = Vec::new();
    table.set_reachable(&first, false, &mut sends);
    let (second, names) = ask_with_notices(&sends);
    assert_ne!(second, first);
    assert_eq!(names, ["engine-1"]);
}
