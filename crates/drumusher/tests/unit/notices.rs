//! What an instance keeps of what backend servers say of themselves, and what it lets through.

use std::{sync::Arc, time::Instant};

use drumusher::{
    process::notices::{Answer, KnownLimit, Limit, Notices, Record, Withheld},
    version::{Backend, Directory, Pool},
};
use drumusher_platform::dialect::{Notice, Rate};
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use rstest::rstest;

/// A moment of the process's clock.
const NOW: Micros = 1_000 * SECOND;
/// A grant of a dispatcher that knows nothing.
const UNAWARE: KnownLimit = KnownLimit { limited: false, lifted: None };
/// One that is counted among those that a limit allows.
const COUNTED: KnownLimit = KnownLimit { limited: true, lifted: None };

fn pool() -> Pool {
    Pool::Service("desk".into())
}

fn server(name: &str, started_ms: Option<u64>) -> Backend {
    Backend {
        name: name.into(),
        area: "r".into(),
        address: "127.0.0.1:1".into(),
        slots: 8,
        leaving: false,
        started_ms,
        availability_zone: "z".into(),
        spot: false,
    }
}

fn limit(milli: u32) -> Notice {
    Notice { limit: Some(Rate(milli)), ..Notice::default() }
}

fn leaving() -> Notice {
    Notice { leaving: true, ..Notice::default() }
}

fn rest(rest_ms: u64) -> Notice {
    Notice { rest_ms: Some(rest_ms), ..Notice::default() }
}

/// Hears the answer to a request that was sent 20 ms before on an unaware grant.
fn hear(notices: &Notices, at: Micros, server: &Backend, notice: Notice) -> Option<Record> {
    hear_answer(notices, at, server, (at - 20 * MILLISECOND, UNAWARE), notice)
}

/// Hears the answer to a request that was sent at a time on a grant.
fn hear_answer(
    notices: &Notices,
    at: Micros,
    server: &Backend,
    (sent, known_limit): (Micros, KnownLimit),
    notice: Notice,
) -> Option<Record> {
    notices.record_answer(at, &Answer { pool: &pool(), server, sent, known_limit, notice: &notice })
}

fn why(
    notices: &Notices,
    at: Micros,
    server: &Backend,
    known_limit: KnownLimit,
) -> Option<Withheld> {
    notices.withheld(at, server, known_limit).map(|(why, _)| why)
}

/// An answer that says nothing leaves nothing behind.
#[test]
fn silence_is_not_kept() {
    let notices = Notices::default();
    assert!(hear(&notices, NOW, &server("a", None), Notice::default()).is_none());
    assert!(notices.all_in_force(NOW).is_empty());
    assert_eq!(why(&notices, NOW, &server("a", None), UNAWARE), None);
}

/// A server that leaves gets nothing more, whatever it says later, until it starts again.
#[test]
fn one_that_leaves_does_so_until_it_starts_again() {
    let (notices, old, new) = (Notices::default(), server("a", Some(7)), server("a", Some(8)));
    assert!(hear(&notices, NOW, &old, leaving()).is_some(), "the dispatcher is told");
    hear(&notices, NOW + SECOND, &old, Notice::default());
    assert_eq!(why(&notices, NOW + 600 * SECOND, &old, COUNTED), Some(Withheld::Leaving));
    assert_eq!(why(&notices, NOW, &new, UNAWARE), None);
    hear(&notices, NOW + SECOND, &new, limit(1_000));
    assert_eq!(why(&notices, NOW + SECOND, &new, COUNTED), None);
    assert!(hear(&notices, NOW + 2 * SECOND, &old, leaving()).is_none(), "the old start is over");
    assert_eq!(why(&notices, NOW + 2 * SECOND, &new, COUNTED), None);
}

/// It is remembered although its entry lapses and comes back as if it were ready.
#[test]
fn one_that_leaves_is_remembered_while_its_entry_is_away() {
    let (notices, server) = (Notices::default(), server("a", None));
    hear(&notices, NOW, &server, leaving());
    notices.keep_listed(NOW + 60 * SECOND, &Directory::default());
    assert_eq!(why(&notices, NOW + 60 * SECOND, &server, UNAWARE), Some(Withheld::Leaving));
    notices.keep_listed(NOW + 3_600 * SECOND, &Directory::default());
    assert!(notices.all_in_force(NOW).is_empty(), "and forgotten when it has been gone for long");
}

/// A rest holds for its time, and of two ends the later one.
#[rstest]
#[case(&[3_000], 3_000)]
#[case(&[250], 250)]
#[case(&[0], 0)]
#[case(&[3_000, 1_000], 3_000)]
#[case(&[1_000, 3_000], 3_000)]
#[case(&[86_400_000], 86_400_000)]
fn a_rest_holds_for_its_time(#[case] rests: &[u64], #[case] holds_ms: u64) {
    let (notices, server) = (Notices::default(), server("a", None));
    for rest_ms in rests {
        hear(&notices, NOW, &server, rest(*rest_ms));
    }
    let end = NOW + holds_ms * MILLISECOND;
    let before = why(&notices, end - 1, &server, COUNTED);
    assert_eq!(before, (holds_ms > 0).then_some(Withheld::Resting(1)));
    assert_eq!(why(&notices, end, &server, UNAWARE), None);
}

/// A grant that was not counted among those that the limit allows is not obeyed; one of a dispatcher that knows of the
/// limit's end, which this instance does not, is.
#[test]
fn a_limit_lets_counted_grants_through() {
    let (notices, server) = (Notices::default(), server("a", None));
    hear(&notices, NOW, &server, limit(1_400));
    assert_eq!(why(&notices, NOW, &server, UNAWARE), Some(Withheld::Limited));
    assert_eq!(why(&notices, NOW, &server, COUNTED), None);
    let before = KnownLimit { limited: false, lifted: Some(NOW - SECOND) };
    assert_eq!(why(&notices, NOW, &server, before), Some(Withheld::Limited));
    let after = KnownLimit { limited: false, lifted: Some(NOW + 2 * SECOND) };
    assert_eq!(why(&notices, NOW + 3 * SECOND, &server, after), None);
    assert!(notices.all_in_force(NOW + 3 * SECOND).is_empty(), "it is known here from now on");
}

/// An answer without a limit lifts it, unless its request was sent before or just after the limit was named: answers
/// overtake each other. What cannot be read lifts nothing.
#[rstest]
#[case(Notice::default(), NOW - SECOND, false)]
#[case(Notice::default(), NOW + 500 * MILLISECOND, false)]
#[case(Notice::default(), NOW + 1_500 * MILLISECOND, true)]
#[case(Notice { malformed: true, ..Notice::default() }, NOW + 1_500 * MILLISECOND, false)]
fn what_lifts_a_limit(#[case] notice: Notice, #[case] sent: Micros, #[case] lifted: bool) {
    let (notices, server) = (Notices::default(), server("a", None));
    hear(&notices, NOW, &server, limit(0));
    let told = hear_answer(&notices, NOW + 2 * SECOND, &server, (sent, COUNTED), notice);
    assert_eq!(why(&notices, NOW + 2 * SECOND, &server, UNAWARE).is_none(), lifted);
    assert!(!lifted || told.is_some_and(|record| record.limit.lifted() == Some(sent)));
}

/// An instance that never heard of a limit tells its dispatcher, which counted its grant, that it is not named.
#[test]
fn the_dispatcher_is_told_that_a_limit_is_not_named() {
    let (notices, server) = (Notices::default(), server("a", None));
    let told = hear_answer(&notices, NOW, &server, (NOW - SECOND, COUNTED), Notice::default());
    assert_eq!(told.and_then(|record| record.limit.lifted()), Some(NOW - SECOND));
}

/// A header that comes a thousand times a second is told a few times.
#[test]
fn a_limit_that_is_named_all_the_time_is_told_now_and_then() {
    let (notices, server) = (Notices::default(), server("a", None));
    let told = (0..1_000)
        .filter(|at| hear(&notices, NOW + at * MILLISECOND, &server, limit(5_000)).is_some());
    assert!(told.count() <= 4);
    let changed = hear(&notices, NOW + SECOND, &server, limit(200));
    assert!(changed.is_some(), "a change is told at once");
}

/// What is known is bounded, and the oldest gives way.
#[test]
fn what_is_known_is_bounded() {
    let notices = Notices::default();
    for number in 0..20_000 {
        hear(&notices, NOW + number, &server(&format!("s{number}"), None), leaving());
    }
    let known = notices.in_force_for(NOW, &pool());
    assert!(known.len() <= 8_192, "{}", known.len());
    assert!(notices.leaves(&server("s19999", None)));
    assert!(notices.in_force_for(NOW, &Pool::Service(Arc::from("other"))).is_empty());
}

/// Two limits as two instances know them, told in any order, end as the later word has it.
#[rstest]
#[case(true)]
#[case(false)]
fn the_later_word_holds_in_any_order(#[case] in_order: bool) {
    let mut known = Limit::default();
    let mut words = [(NOW, Rate(1_000)), (NOW + SECOND, Rate(2_000))];
    if !in_order {
        words.reverse();
    }
    for (at, rate) in words {
        known.announce(at, rate);
    }
    assert_eq!(known.rate(), Some(Rate(2_000)));
    assert!(known.lift(NOW + 3 * SECOND));
    assert!(!known.announce(NOW + 2 * SECOND, Rate(500)), "it was heard before the end");
    assert_eq!(known.rate(), None);
    assert!(known.announce(NOW + 4 * SECOND, Rate(500)));
}

/// What hearing and looking cost where no server says anything and where a thousand do. Prints the figures; for ones that
/// count, run it in release with `--nocapture`. Without any of it a request cost neither.
#[test]
fn what_it_costs_is_told() {
    const ROUNDS: u64 = 100_000;
    for servers in [0, 1, 1_000] {
        let notices = Notices::default();
        for number in 0..servers {
            hear(&notices, NOW, &server(&format!("s{number}"), None), limit(5_000));
        }
        let (one, said) = (server("s0", None), limit(5_000));
        let said = if servers == 0 { Notice::default() } else { said };
        let began = Instant::now();
        for round in 0..ROUNDS {
            hear(&notices, NOW + round, &one, said);
        }
        let hearing = began.elapsed();
        let began = Instant::now();
        let free = (0..ROUNDS).filter(|round| why(&notices, NOW + round, &one, COUNTED).is_none());
        assert_eq!(free.count() as u64, ROUNDS);
        println!(
            "{servers} servers: {hearing:?} to hear, {:?} to look, {ROUNDS} times",
            began.elapsed()
        );
    }
}
