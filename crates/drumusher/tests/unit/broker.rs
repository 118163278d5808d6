//! The asks an instance owns: who is asked, and what happens when the role moves.

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

/// A moment.
const NOW: u64 = 1_000_000;
const NAMES: [&str; 4] = ["suva-0", "suva-1", "suva-2", "suva-3"];

fn directory(listed: &[&str]) -> Arc<Directory> {
    let instances = listed.iter().map(|name| {
        let instance = Instance {
            name: (*name).into(),
            area: "suva".into(),
            address: "127.0.0.1:1".into(),
            leaving: false,
            capacity: 1_000,
        };
        (Arc::from(*name), instance)
    });
    Arc::new(Directory { instances: instances.collect(), pools: BTreeMap::new() })
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
        parts: Vec::new(),
        replies,
    };
    let mut sends = Vec::new();
    table.handle(Input::Open(Box::new(own)), &mut sends);
    (sends, receiver)
}

fn asked(sends: &[Outgoing]) -> Option<(Arc<str>, peer::Ask)> {
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
    );
    table.answer(from, Message::Grant(grant), &mut sends);
    sends
}

#[test]
fn a_waiting_ask_moves_to_the_next_in_rank() {
    let mut table = table();
    let (sends, _replies) = open(&mut table, 1);
    let (first, _) = asked(&sends).expect("it is asked");
    let mut sends = Vec::new();
    table.set_reachable(&first, false, &mut sends);
    let (second, ask) = asked(&sends).expect("the next is asked");
    assert_ne!(first, second);
    assert_eq!(ask.server, None);
    // Back again: it is asked again and the other is told to forget.
    let mut sends = Vec::new();
    table.set_reachable(&first, true, &mut sends);
    assert_eq!(asked(&sends).map(|(to, _)| to), Some(first));
    let forgets =
        |send: &Outgoing| matches!(send.message, Message::Withdraw(_)) && send.to == second;
    assert!(sends.iter().any(forgets));
}

#[test]
fn a_running_grant_is_declared_to_the_next_in_rank() {
    let mut table = table();
    let (sends, replies) = open(&mut table, 1);
    let (first, _) = asked(&sends).expect("it is asked");
    grant(&mut table, &first, 1);
    assert!(matches!(replies.try_recv(), Ok(Reply::Grant(_))));
    table.handle(Input::Progress(1, Report { produced: 7, ..Report::default() }), &mut Vec::new());
    let mut sends = Vec::new();
    table.set_reachable(&first, false, &mut sends);
    let (_, ask) = asked(&sends).expect("it is declared");
    assert_eq!((ask.server.as_deref(), ask.produced), (Some("engine-1"), Some(7)));
}

#[test]
fn an_answer_of_one_no_longer_in_charge_is_passed_over() {
    let mut table = table();
    let (sends, replies) = open(&mut table, 1);
    let (first, _) = asked(&sends).expect("it is asked");
    table.set_reachable(&first, false, &mut Vec::new());
    grant(&mut table, &first, 1);
    assert!(replies.try_recv().is_err());
}

#[test]
fn a_second_grant_is_passed_over() {
    let mut table = table();
    let (sends, replies) = open(&mut table, 1);
    let (first, _) = asked(&sends).expect("it is asked");
    grant(&mut table, &first, 1);
    grant(&mut table, &first, 1);
    assert!(replies.try_recv().is_ok());
    assert!(replies.try_recv().is_err());
}

#[test]
fn a_redirect_is_followed_once() {
    let mut table = table();
    let (sends, _replies) = open(&mut table, 1);
    let (first, _) = asked(&sends).expect("it is asked");
    let other: Arc<str> = NAMES.into_iter().find(|name| **name != *first).expect("four").into();
    let redirect = peer::Redirect::new(id::to_wire(1), other.to_string());
    let mut sends = Vec::new();
    table.answer(&first, Message::Redirect(redirect), &mut sends);
    let (to, ask) = asked(&sends).expect("it is asked there");
    assert_eq!((to, ask.redirected), (other, Some(true)));
}

#[test]
fn alone_an_instance_dispatches_itself_and_knows_it() {
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
fn a_stopping_instance_hands_its_role_over() {
    let mut table = table();
    for name in &NAMES[2..] {
        table.set_reachable(&Arc::from(*name), false, &mut Vec::new());
    }
    table.stop(&mut Vec::new());
    assert_eq!(table.view().dispatcher(&pool(), "suva").as_deref(), Some("suva-1"));
}

proptest! {
    /// Whatever instances come, go, leave and return: each open request is with the dispatcher
    /// that the table names, and was asked there last.
    #[test]
    fn every_ask_is_with_the_dispatcher_in_charge(
        steps in proptest::collection::vec((0u8..5, 0usize..4), 0..60),
    ) {
        let mut table = table();
        let mut with: BTreeMap<u128, Arc<str>> = BTreeMap::new();
        let mut receivers = Vec::new();
        for (at, (what, who)) in steps.into_iter().enumerate() {
            let name: Arc<str> = NAMES[who].into();
            let mut sends = Vec::new();
            match what {
                0 => {
                    let (opened, receiver) = open(&mut table, at as u128 + 1);
                    sends = opened;
                    receivers.push(receiver);
                }
                1 if who > 0 => table.set_reachable(&name, false, &mut sends),
                2 => table.set_reachable(&name, true, &mut sends),
                3 if who > 0 => table.set_leaving(&name, true, &mut sends),
                4 => table.set_leaving(&name, false, &mut sends),
                _ => {}
            }
            for send in sends {
                if let Message::Ask(ask) = &send.message {
                    with.insert(id::from_wire(&ask.id).expect("an identity"), send.to.clone());
                }
            }
            let dispatcher = table.view().dispatcher(&pool(), "suva").expect("oneself at least");
            prop_assert!(with.values().all(|to| *to == dispatcher));
        }
    }
}

/// A dispatcher that does not answer is passed over: the own dispatcher decides at once.
#[test]
fn an_ask_that_is_not_answered_goes_to_the_own_dispatcher() {
    let (mut table, id, first) = asked_of_another();
    assert!(table.reassign_overdue(&mut Vec::new()).is_empty(), "it has a little time");
    let mut sends = Vec::new();
    drumusher_bench::fleet::wait_for("it is overdue", || {
        table.reassign_overdue(&mut sends).contains(&first)
    });
    let (to, ask) = asked(&sends).expect("it is asked again");
    assert_eq!((&*to, id::from_wire(&ask.id)), ("suva-0", Some(id)));
    let withdrawn =
        |send: &Outgoing| matches!(send.message, Message::Withdraw(_)) && send.to == first;
    assert!(sends.iter().any(withdrawn), "the silent one is told to forget");
    assert!(table.reassign_overdue(&mut Vec::new()).is_empty(), "the own one owes nothing");
}

/// One that says that the ask waits is not passed over, and a pause of the own process is nobody's
/// silence.
#[test]
fn an_ask_that_waits_stays() {
    let (mut table, id, first) = asked_of_another();
    let queued = peer::Queued::new(id::to_wire(id));
    table.answer(&first, Message::Queued(queued), &mut Vec::new());
    let (mut other, ..) = asked_of_another();
    let mut overdue = Vec::new();
    drumusher_bench::fleet::wait_for("the other ask is overdue", || {
        other.restart_answer_timers();
        let forgiven = other.reassign_overdue(&mut Vec::new()).is_empty();
        assert!(forgiven);
        overdue.push(());
        overdue.len() > 20
    });
    assert!(table.reassign_overdue(&mut Vec::new()).is_empty());
}

/// A table with an ask that another instance was asked.
fn asked_of_another() -> (Table, u128, Arc<str>) {
    let mut table = table();
    for id in 1.. {
        let (sends, _replies) = open(&mut table, id);
        let (first, _) = asked(&sends).expect("it is asked");
        if &*first != "suva-0" {
            return (table, id, first);
        }
        table.handle(Input::Finish(id, 1, 0), &mut Vec::new());
    }
    unreachable!("one of many is asked of another instance")
}

/// Those that are told of the store are spread over the four that read it, and all agree who those
/// are; when one of the four is gone, its share goes to the others.
#[test]
fn readers_share_the_telling() {
    let names: Vec<String> = (0..40).map(|number| format!("suva-{number}")).collect();
    let listed: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut told: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut readers = Vec::new();
    for name in &listed {
        let mut table = Table::new(View::new((*name).into(), "suva".into()));
        table.set_directory(directory(&listed), &mut Vec::new());
        readers.push(table.view().readers());
        let Some(teller) = table.view().assigned_reader(NOW) else {
            assert!(table.view().readers().iter().any(|reader| &**reader == *name));
            continue;
        };
        assert!(table.view().readers().contains(&teller));
        table.set_reachable(&teller, false, &mut Vec::new());
        assert_ne!(table.view().assigned_reader(NOW), Some(teller.clone()));
        *told.entry(teller).or_default() += 1;
    }
    assert!(readers.windows(2).all(|pair| pair[0] == pair[1]));
    assert_eq!(told.len(), 4);
    assert!(told.values().all(|count| (4..=16).contains(count)), "{told:?}");
}

/// An instance that is out of reach is tried soon at first, and rarely after a long time; it counts as
/// lost after the time that is set, and not any more once it was reached.
#[test]
fn absent_instances_are_tried_more_and_more_rarely() {
    const SECOND: u64 = 1_000_000;
    let mut view = View::new("suva-0".into(), "suva".into());
    view.set_directory(directory(&NAMES));
    let other: Arc<str> = "suva-1".into();
    assert!(view.set_reachable(0, &other, false));
    assert!(!view.set_reachable(SECOND, &other, false), "it is known; the time of its loss stays");
    let mut tried = |from: u64, to: u64| -> usize {
        (from * 10..to * 10).map(|tenth| view.due_reconnects(tenth * SECOND / 10).len()).sum()
    };
    assert_eq!(tried(0, 3), 7, "each 0.4 s");
    assert!((20..=40).contains(&tried(3, 120)));
    assert_eq!(tried(1_000, 1_060), 4, "each 15 s");
    assert_eq!(view.unreachable_for(600 * SECOND, 600 * SECOND), []);
    assert_eq!(view.unreachable_for(601 * SECOND, 600 * SECOND), std::slice::from_ref(&other));
    assert!(view.set_reachable(602 * SECOND, &other, true));
    assert_eq!(view.unreachable_for(9_999 * SECOND, 600 * SECOND), []);
    assert_eq!(view.due_reconnects(9_999 * SECOND), []);
}

/// An instance that starts among few others, or before it knows of any, as all do at the first start of a
/// fleet, does not read the store for the others before it is listed.
#[test]
fn an_instance_that_is_not_listed_reads_for_nobody() {
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
    assert_eq!(view.readers(), [Arc::from("suva-9")], "nobody else can be reached");
}

/// Whoever is to tell an instance and gets no answers of the store is passed over for a while, or until it says that
/// it does, if there is another one; if none gets any, the first is as good as before.
#[test]
fn a_reader_without_answers_is_passed_over() {
    let names: Vec<String> = (0..40).map(|number| format!("suva-{number}")).collect();
    let listed: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut view = View::new("suva-none".into(), "suva".into());
    view.set_directory(directory(&listed));
    let first = view.assigned_reader(NOW).expect("a teller");
    view.set_store_readable(NOW, &first, false);
    let second = view.assigned_reader(NOW).expect("another teller");
    assert_ne!(second, first);
    assert_eq!(view.assigned_reader(NOW + 10_000_000).as_ref(), Some(&first), "it is asked again");
    view.set_store_readable(NOW, &first, true);
    assert_eq!(view.assigned_reader(NOW).as_ref(), Some(&first));
    view.readers().iter().for_each(|reader| view.set_store_readable(NOW, reader, false));
    assert_eq!(view.assigned_reader(NOW), Some(first));
}

/// What a backend server said is brought to a dispatcher with the first ask that it gets, and told at once to the one that
/// is asked already.
#[test]
fn a_new_dispatcher_is_brought_what_servers_said() {
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
        spot: false,
    };
    let notice = Notice { leaving: true, ..Notice::default() };
    let (pool, known_limit) = (pool(), KnownLimit::default());
    let answer = Answer { pool: &pool, server: &server, sent: 0, known_limit, notice: &notice };
    let record = notices.record_answer(clock::now(), &answer).expect("it is new");
    let brought = |sends: &[Outgoing]| {
        let (to, ask) = asked(sends).expect("it is asked");
        (to, ask.notices.iter().flatten().map(|notice| notice.server.clone()).collect::<Vec<_>>())
    };
    let (sends, _replies) = open(&mut table, 1);
    let (first, names) = brought(&sends);
    assert_eq!(names, ["engine-1"]);
    grant(&mut table, &first, 1);
    let (sends, _replies) = open(&mut table, 2);
    assert_eq!(brought(&sends), (first.clone(), Vec::new()), "it knows");
    let mut sends = Vec::new();
    table.handle(Input::Notice(Box::new(record)), &mut sends);
    assert!(matches!(&sends[..], [Outgoing { to, message: Message::Notice(_) }] if *to == first));
    let mut sends = Vec::new();
    table.set_reachable(&first, false, &mut sends);
    let (second, names) = brought(&sends);
    assert_ne!(second, first);
    assert_eq!(names, ["engine-1"]);
}
