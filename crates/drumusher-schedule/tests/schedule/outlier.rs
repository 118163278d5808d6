//! Backend servers that fail part of their requests.

use drumusher_schedule::{
    ask::Outcome,
    server::{Health, Key},
    time::MILLISECOND,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{BULK, Harness, ask, granted, policy};

/// Sends `count` requests, eight at a time; `outcome` maps request and server to the outcome.
/// Returns the number of requests of each server.
fn send(
    harness: &mut Harness,
    from: u128,
    count: u128,
    outcome: impl Fn(u128, u16) -> Outcome,
) -> Vec<u32> {
    let mut got = vec![0; harness.pool.servers().count()];
    let ids: Vec<u128> = (from..from + count).collect();
    for batch in ids.chunks(8) {
        let now = harness.now;
        let orders = batch.iter().flat_map(|id| granted(&harness.ask(ask(*id, BULK, now))));
        let orders: Vec<(u128, u16)> = orders.collect();
        harness.advance(200 * MILLISECOND);
        for (id, server) in orders {
            got[usize::from(server)] += 1;
            harness.finish(id, outcome(id, server));
        }
    }
    got
}

fn health(harness: &Harness, server: u16) -> Health {
    let mut servers = harness.pool.servers();
    servers.find(|(key, _)| *key == Key(server)).expect("there is one").1.health()
}

/// A backend server that fails half of its requests, by error responses or by cutting streams, gets
/// only probes; once they succeed it serves like the others again.
#[rstest]
#[case(Outcome::ErrorResponse)]
#[case(Outcome::Failed)]
fn a_backend_server_that_fails_half_of_its_requests_gets_only_probes(#[case] outcome: Outcome) {
    let mut harness = Harness::new(policy(), 4, 8);
    let half = |id, server| if server == 0 && id % 8 < 4 { outcome } else { Outcome::Done };
    send(&mut harness, 0, 120, half);
    assert!(matches!(health(&harness, 0), Health::Erring(_)), "{:?}", health(&harness, 0));
    let got = send(&mut harness, 200, 60, half);
    assert!(got[0] <= 4, "one probe per second: {got:?}");
    send(&mut harness, 300, 200, |_, _| Outcome::Done);
    assert_eq!(health(&harness, 0), Health::Good);
    let got = send(&mut harness, 600, 40, |_, _| Outcome::Done);
    assert!(got[0] >= 6, "it serves again: {got:?}");
}

/// Requests that fail wherever they run do not count against a backend server.
#[test]
fn requests_that_fail_everywhere_make_no_outlier() {
    let mut harness = Harness::new(policy(), 4, 8);
    let some = |id: u128, _| if id % 5 < 2 { Outcome::ErrorResponse } else { Outcome::Done };
    send(&mut harness, 0, 300, some);
    for server in 0..4 {
        assert_eq!(health(&harness, server), Health::Good);
    }
}

proptest! {
    /// At most a third of the backend servers are outliers at once, whatever the outcomes.
    #[test]
    fn at_most_a_third_of_the_backend_servers_are_outliers(
        servers in 1..7_u16,
        fails in proptest::collection::vec(0..10_u32, 7),
        rolls in proptest::collection::vec(0..10_u32, 200),
    ) {
        let mut harness = Harness::new(policy(), servers, 8);
        for (id, roll) in rolls.iter().enumerate() {
            let fails = fails.clone();
            send(&mut harness, id as u128 * 10, 1, move |_, server| {
                if *roll < fails[usize::from(server)] { Outcome::ErrorResponse } else { Outcome::Done }
            });
            let erring = (0..servers).filter(|s| matches!(health(&harness, *s), Health::Erring(_)));
            prop_assert!(erring.count() <= usize::from(servers) / 3);
        }
    }
}
