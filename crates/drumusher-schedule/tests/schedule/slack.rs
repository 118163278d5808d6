//! Which pools hold requests back at the dispatcher.

use drumusher_schedule::{
    engine::Profile,
    event::Event,
    policy::{Class, Policy},
    server,
    time::{MILLISECOND, Micros, SECOND},
};
use rstest::rstest;

use crate::support::{Harness, ask};

const PROFILE: Profile =
    Profile { tokens: 500_000, token_bytes: 100_000, link_mbps: 200_000.0, event_tokens: 4 };

/// A pool with one class for each target, after the given number of requests of each.
fn pool(profile: Option<Profile>, demand: &[(Micros, u16)]) -> Harness {
    let class = |(target, _): &(Micros, u16)| Class::new("class", 0).with_first_token(*target);
    let policy = Policy::new(demand.iter().map(class).collect(), Vec::new());
    let mut harness = Harness::new(policy, 0, 0);
    let options = server::Options { profile, ..server::Options::default() };
    harness.handle(Event::Server(server::Key(0), options));
    for (class, (_, requests)) in demand.iter().enumerate() {
        for request in 0..*requests {
            let id = class as u128 * 1_000 + u128::from(request);
            harness.ask(ask(id, class as u16, harness.now));
        }
    }
    harness
}

/// Guards against holding back requests whose targets leave no time for it, and against a few
/// requests on an unused route that change the scheduling of a pool.
#[rstest]
#[case::all_long(Some(PROFILE), &[(2 * SECOND, 10), (1_200 * MILLISECOND, 10)], true)]
#[case::one_short(Some(PROFILE), &[(2 * SECOND, 10), (600 * MILLISECOND, 10)], false)]
#[case::one_short_but_hardly_used(Some(PROFILE), &[(2 * SECOND, 100), (600 * MILLISECOND, 1)], true)]
#[case::sizes_unknown(None, &[(2 * SECOND, 10)], false)]
#[case::no_requests(Some(PROFILE), &[(2 * SECOND, 0)], false)]
fn requests_wait_only_where_all_targets_allow_it(
    #[case] profile: Option<Profile>,
    #[case] demand: &[(Micros, u16)],
    #[case] expected: bool,
) {
    let harness = pool(profile, demand);
    assert_eq!(harness.pool.has_slack(harness.now), expected);
}
