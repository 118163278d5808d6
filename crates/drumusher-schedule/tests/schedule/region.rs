//! Requests that may only run in some regions.

use drumusher_schedule::{
    event::Event,
    order::Order,
    policy::Policy,
    region::{self, Set},
    server::{Key, Options},
};

use crate::support::{BULK, Harness, URGENT, ask, ask_in_workspace, granted, policy, refused};

const WEST: region::Key = region::Key::new(0);
const EAST: region::Key = region::Key::new(1);

/// A policy that restricts the urgent class to the west, and workspace 1 to the east.
fn restricted() -> Policy {
    let mut policy = policy();
    policy.classes[usize::from(URGENT)].regions = Set::only([WEST].into_iter());
    policy.workspaces[1].regions = Set::only([EAST].into_iter());
    policy
}

/// A pool with a server of one slot in each of these regions.
fn pool(regions: &[region::Key]) -> Harness {
    let mut harness = Harness::new(restricted(), 0, 1);
    for (key, region) in regions.iter().enumerate() {
        let options = Options { slots: 1, first_slots: 1, region: *region, ..Options::default() };
        harness.handle(Event::Server(Key(key as u16), options));
    }
    harness
}

/// A restricted request waits for its region although another one is free, and does not hold up requests behind it.
#[test]
fn a_restricted_request_waits_for_its_region() {
    let mut harness = pool(&[EAST, WEST, EAST]);
    let now = harness.now;
    assert_eq!(granted(&harness.ask(ask(1, URGENT, now))), [(1, 1)]);
    assert_eq!(granted(&harness.ask(ask(2, URGENT, now))), []);
    assert_eq!(granted(&harness.ask(ask(3, BULK, now))), [(3, 0)]);
    assert_eq!(granted(&harness.ask(ask_in_workspace(1, 4, BULK, now))), [(4, 2)]);
}

/// Both restrictions bind, and a server of unknown region serves unrestricted requests alone.
#[test]
fn requests_without_a_region_are_refused() {
    let mut harness = pool(&[EAST, WEST, region::Key::UNKNOWN]);
    let now = harness.now;
    let orders: Vec<Order> = harness.ask(ask_in_workspace(1, 1, URGENT, now));
    assert_eq!(refused(&orders), [1]);
    let mut unknown = pool(&[region::Key::UNKNOWN]);
    assert_eq!(refused(&unknown.ask(ask(2, URGENT, now))), [2]);
    assert_eq!(granted(&unknown.ask(ask(3, BULK, now))), [(3, 0)]);
}
