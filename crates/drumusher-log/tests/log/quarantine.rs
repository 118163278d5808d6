//! What is known of requests that end backend servers.

use drumusher_log::quarantine::{Crash, Digest, MOST, Record, Table, Verdict};
use rstest::rstest;

fn end(start: &str, alone: bool, at_ms: u64) -> Crash<'static> {
    Crash { start: start.into(), alone, at_ms, workspace: "w", route: "r" }
}

/// A table in which a request was at ends of these starts, on trial or not.
fn table(digest: Digest, ends: &[(&str, bool)]) -> Table {
    let mut table = Table::new();
    for (start, alone) in ends {
        table.record_crash(digest, end(start, *alone, 1_000));
    }
    table
}

#[rstest]
#[case(&[], Verdict::Free)]
#[case(&[("a", false)], Verdict::Free)]
#[case(&[("a", false), ("a", false)], Verdict::Free)]
#[case(&[("a", false), ("b", false)], Verdict::Trial)]
#[case(&[("a", false), ("b", false), ("c", false), ("d", false), ("e", false)], Verdict::Trial)]
#[case(&[("a", false), ("b", false), ("c", true)], Verdict::Trial)]
#[case(&[("a", false), ("b", false), ("c", true), ("d", true)], Verdict::Held)]
fn what_was_beside_others_is_tried_and_what_was_alone_is_held(
    #[case] ends: &[(&str, bool)],
    #[case] verdict: Verdict,
) {
    assert_eq!(table(Digest(1), ends).verdict(Digest(1)), verdict);
    assert_eq!(table(Digest(1), ends).verdict(Digest(2)), Verdict::Free);
}

/// The store is told of a request that is cleared, also of one whose record it is not known to have: it may have been
/// written and not read back. Where it was not told, the record came back, and the request was a suspect again at all
/// instances although it had been answered.
#[test]
fn an_answer_clears_a_request() {
    let mut table = table(Digest(1), &[("a", false), ("b", false), ("c", false)]);
    assert!(table.clear(Digest(1)), "the store is told");
    assert_eq!(table.verdict(Digest(1)), Verdict::Free);
    assert!(!table.clear(Digest(1)), "nothing is known of it any more");
}

/// Two instances that note different ends of one request, and read each other's record, know the same.
#[test]
fn what_two_wrote_is_joined() {
    let of = |ends| table(Digest(1), ends);
    let (mut one, mut two) = (of(&[("a", false), ("b", false)]), of(&[("b", true), ("c", true)]));
    let (first, second) =
        (one.get(Digest(1)).cloned().expect("it is"), two.get(Digest(1)).cloned().expect("it is"));
    one.merge(Digest(1), second);
    two.merge(Digest(1), first);
    for table in [&one, &two] {
        let record = table.get(Digest(1)).expect("it is known");
        assert_eq!((record.ends.len(), record.verdict()), (3, Verdict::Held));
    }
}

/// A whole table of the store drops what it no longer has, and not what was never written there.
#[test]
fn what_is_not_written_yet_stays() {
    let mut table = table(Digest(1), &[("a", false)]);
    table.merge(Digest(2), Record::default());
    table.only(&Default::default());
    assert!(table.get(Digest(1)).is_some() && table.get(Digest(2)).is_none());
}

/// A workspace whose made-up requests are at the ends of backend servers by the thousand drives out its own, and
/// neither another's nor what is held back.
#[test]
fn a_flood_drives_out_nothing_that_matters() {
    let mut table = table(Digest(1), &[("a", false), ("b", false), ("c", true), ("d", true)]);
    let other = Crash { workspace: "other", ..end("a", false, 1) };
    table.record_crash(Digest(2), other);
    for number in 0..20_000 {
        let end = Crash { workspace: "flood", ..end("a", false, 2_000 + number as u64) };
        table.record_crash(Digest(100 + number), end);
    }
    assert_eq!(table.len(), MOST);
    assert_eq!(table.verdict(Digest(1)), Verdict::Held);
    assert!(table.get(Digest(2)).is_some());
}

#[rstest]
#[case(&[("a", false)], 10 * 60_000)]
#[case(&[("a", false), ("b", false), ("c", true), ("d", true)], 60 * 60_000)]
fn a_record_is_over_some_time_after_its_latest_end(
    #[case] ends: &[(&str, bool)],
    #[case] kept: u64,
) {
    let table = table(Digest(1), ends);
    assert_eq!(table.over(1_000 + kept), Vec::new());
    assert_eq!(table.over(1_001 + kept), vec![Digest(1)]);
}

#[rstest]
#[case("000000000000000000000000000000ff", Some(Digest(255)))]
#[case("ff", None)]
#[case("+00000000000000000000000000000ff", None)]
fn digests_are_read_as_they_are_shown(#[case] text: &str, #[case] digest: Option<Digest>) {
    assert_eq!(Digest::parse(text), digest);
}
