//! Backend servers that fail part of their requests.

use drumusher_schedule::{
    ask::Outcome,
    server::{Health, Key},
    time::MILLISECOND,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{BULK, Bench, ask, granted, policy};

/// Sends `count` requests, eight at a time; `outcome` tells how the nth ends on which server.
/// Returns how many each server got.
fn send(
    bench: &mut Bench,
    from: u128,
    count: u128,
    outcome: impl Fn(u128, u16) -> Outcome,
) -> Vec<u32> {
    let mut got = vec![0; bench.pool.servers().count()];
    let ids: Vec<u128> = (from..from + count).collect();
    for batch in ids.chunks(8) {
        let now = bench.now;
        let orders = batch.iter().flat_map(|id| granted(&bench.ask(ask(*id, BULK, now))));
        let orders: Vec<(u128, u16)> = orders.collect();
        bench.pass(200 * MILLISECOND);
        for (id, server) in orders {
            got[usize::from(server)] += 1;
            bench.finish(id, outcome(id, server));
        }
    }
    got
}

fn health(bench: &Bench, server: u16) -> Health {
    let mut servers = bench.pool.servers();
    servers.find(|(key, _)| *key == Key(server)).expect("there is one").1.health()
}

/// A backend server that fails half of its requests, by an error of its own or by breaking off, gets
/// probes alone; once they go well it is one among the others again.
#[rstest]
#[case(Outcome::ErrorResponse)]
#[case(Outcome::Failed)]
fn a_backend_server_that_fails_half_of_its_requests_gets_probes(#[case] outcome: Outcome) {
    let mut bench = Bench::new(policy(), 4, 8);
    let half = |id, server| if server == 0 && id % 8 < 4 { outcome } else { Outcome::Done };
    send(&mut bench, 0, 120, half);
    assert!(matches!(health(&bench, 0), Health::Erring(_)), "{:?}", health(&bench, 0));
    let got = send(&mut bench, 200, 60, half);
    assert!(got[0] <= 4, "a probe a second: {got:?}");
    send(&mut bench, 300, 200, |_, _| Outcome::Done);
    assert_eq!(health(&bench, 0), Health::Good);
    let got = send(&mut bench, 600, 40, |_, _| Outcome::Done);
    assert!(got[0] >= 6, "it serves again: {got:?}");
}

/// Requests that fail wherever they run say nothing about a backend server.
#[test]
fn what_fails_everywhere_blames_nobody() {
    let mut bench = Bench::new(policy(), 4, 8);
    let some = |id: u128, _| if id % 5 < 2 { Outcome::ErrorResponse } else { Outcome::Done };
    send(&mut bench, 0, 300, some);
    for server in 0..4 {
        assert_eq!(health(&bench, server), Health::Good);
    }
}

proptest! {
    /// However outcomes fall, at most a third of the backend servers is taken for outliers at once.
    #[test]
    fn most_backend_servers_stay_in_use(
        servers in 1..7_u16,
        fails in proptest::collection::vec(0..10_u32, 7),
        luck in proptest::collection::vec(0..10_u32, 200),
    ) {
        let mut bench = Bench::new(policy(), servers, 8);
        for (id, luck) in luck.iter().enumerate() {
            let fails = fails.clone();
            send(&mut bench, id as u128 * 10, 1, move |_, server| {
                if *luck < fails[usize::from(server)] { Outcome::ErrorResponse } else { Outcome::Done }
            });
            let erring = (0..servers).filter(|s| matches!(health(&bench, *s), Health::Erring(_)));
            prop_assert!(erring.count() <= usize::from(servers) / 3);
        }
    }
}
