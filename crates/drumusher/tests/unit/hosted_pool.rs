//! The events that tell the scheduler of a pool about its backend servers.
//!
//! Guards against engines that keep a learned window after a configuration that disables it. A dispatcher that
//! restarted under a burst, four seconds after it lost power, got the backend servers a millisecond before the
//! configuration, and (as inferred) the first requests in between. So it added the engines with learned windows,
//! which begin at 16 of 48 slots, and updated an engine only if its number of slots or its leaving changed. Urgent
//! requests waited while less urgent ones ran: 456 of 1,111 requests of an urgent route got no grant within five
//! seconds, while 12 to 43 of the 48 slots were in use. With windows that follow the configuration 830 were delivered
//! in that time, and none was left without a grant.

use std::{collections::BTreeMap, sync::Arc};

use drumusher::{
    process::dispatch::{Bound, HostedPool},
    settings::Regions,
    version::Backend,
};
use drumusher_schedule::{event::Event, policy::Policy};

/// A backend server with 48 slots.
fn backend() -> Backend {
    Backend {
        name: "e1".into(),
        area: "z".into(),
        address: "127.0.0.1:1".into(),
        leaving: false,
        started_ms: None,
        availability_zone: "z".into(),
        version: "v1".into(),
        spot: false,
        warm_at: 0,
        evacuated: false,
        slots: 48,
    }
}

/// The windows that the events set: the initial number of slots, and whether the window is learned.
fn windows(events: &[Event]) -> Vec<(u32, bool)> {
    let windows = events.iter().filter_map(|event| match event {
        Event::Server(_, options) => Some((options.first_slots, options.learned)),
        _ => None,
    });
    windows.collect()
}

/// A configuration that arrives after the servers still decides whether their windows are learned.
#[test]
fn windows_follow_the_configuration() {
    let bound = Bound { ratio: 0.2, slack: 1.0, window: 1 };
    let mut pool = HostedPool::new(Arc::new(Policy::new(Vec::new(), Vec::new())), 0, bound);
    let backend = backend();
    let wanted = BTreeMap::from([(backend.name.clone(), &backend)]);
    assert_eq!(windows(&pool.refresh("p", &wanted, &Regions::default(), true, 1)), [(16, true)]);
    assert_eq!(windows(&pool.refresh("p", &wanted, &Regions::default(), false, 1)), [(48, false)]);
    assert_eq!(
        windows(&pool.refresh("p", &wanted, &Regions::default(), false, 1)),
        [],
        "nothing has changed"
    );
}

/// Keys of the servers in the events, and whether the event removes the server.
fn keys(events: &[Event]) -> Vec<(u16, bool)> {
    let keys = events.iter().filter_map(|event| match event {
        Event::Server(key, _) => Some((key.0, false)),
        Event::Leave(key) => Some((key.0, true)),
        _ => None,
    });
    keys.collect()
}

/// A server that restarts under its name gets a new key: cached prefixes, pace, failures and running requests belong
/// to the key from before the restart.
#[test]
fn a_restarted_server_gets_a_new_key() {
    let bound = Bound { ratio: 0.2, slack: 1.0, window: 1 };
    let mut pool = HostedPool::new(Arc::new(Policy::new(Vec::new(), Vec::new())), 0, bound);
    let started_at = |started_ms| Backend { started_ms, ..backend() };
    let mut refresh = |backend: &Backend| {
        let wanted = BTreeMap::from([(backend.name.clone(), backend)]);
        keys(&pool.refresh("p", &wanted, &Regions::default(), false, 1))
    };
    assert_eq!(refresh(&started_at(Some(1_000))), [(0, false)]);
    assert_eq!(refresh(&started_at(Some(2_000))), [(0, true), (1, false)]);
    assert_eq!(refresh(&Backend { leaving: true, ..started_at(Some(2_000)) }), [(1, true)]);
    assert_eq!(
        refresh(&Backend { leaving: true, ..started_at(Some(3_000)) }),
        [(1, true), (2, true)]
    );
}

/// A rate limit is removed together with the entry of its server. Guards against a limit that stays in the scheduler,
/// where nothing lifts it: a server whose entry returned after an outage kept the old rate until it announced another
/// limit.
#[test]
fn a_rate_limit_is_removed_with_the_entry_of_its_server() {
    let bound = Bound { ratio: 0.2, slack: 1.0, window: 1 };
    let mut pool = HostedPool::new(Arc::new(Policy::new(Vec::new(), Vec::new())), 0, bound);
    let backend = backend();
    let wanted = BTreeMap::from([(backend.name.clone(), &backend)]);
    pool.refresh("p", &wanted, &Regions::default(), true, 1);
    let events = pool.refresh("p", &BTreeMap::new(), &Regions::default(), true, 1);
    assert!(events.iter().any(|event| matches!(event, Event::RateLimit(_, None))), "{events:?}");
}
