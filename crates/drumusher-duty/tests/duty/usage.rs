//! Usage counts of workspaces, and their reports.

use drumusher_duty::usage::{
    Aggregate, Counts, Instances, Options, Progress, ReadSpan, Tally, Update,
};
use proptest::prelude::*;
use rstest::rstest;

const OPTIONS: Options =
    Options { window_ms: 5_000, due_ms: 10_000, settle_ms: 2_000, send_ms: 800 };

fn counts(of: &[(&str, u64)]) -> Counts {
    of.iter().map(|(name, count)| (name.to_string(), *count)).collect()
}

#[test]
fn counts_of_two_processes_are_added_up() {
    let (mut one, mut two, mut aggregate) = (Tally::new(), Tally::new(), Aggregate::new());
    for workspace in ["a", "a", "b"] {
        one.count_started(7, workspace);
    }
    two.count_started(7, "a");
    let first = one.take_update("i1", 1).expect("counts changed");
    assert_eq!(one.take_update("i1", 1), None, "nothing changed");
    aggregate.add(&first);
    aggregate.add(&two.take_update("i2", 1).expect("counts changed"));
    assert_eq!(aggregate.counts(7), counts(&[("a", 3), ("b", 1)]));
    one.count_started(7, "b");
    aggregate.add(&one.take_update("i1", 1).expect("counts changed"));
    aggregate.add(&first);
    assert_eq!(aggregate.counts(7), counts(&[("a", 3), ("b", 2)]), "a late update is ignored");
}

/// Counts that may not have arrived are published again, and count once.
#[test]
fn counts_that_may_not_have_arrived_are_published_again() {
    let (mut tally, mut aggregate) = (Tally::new(), Aggregate::new());
    tally.count_started(7, "a");
    let update = tally.take_update("i1", 1).expect("counts changed");
    aggregate.add(&update);
    tally.mark_unpublished(&update);
    let again = tally.take_update("i1", 1).expect("it is published again");
    aggregate.add(&again);
    assert_eq!(aggregate.counts(7), counts(&[("a", 1)]));
}

#[rstest]
#[case::not_yet_due(None, 44_999, None)]
#[case::the_first_window_with_counts(None, 45_000, Some(7))]
#[case::the_next_window_though_empty(Some(7), 50_000, Some(8))]
#[case::the_next_window_not_yet_due(Some(8), 54_999, None)]
#[case::a_small_lag_skips_no_window(Some(1), 45_000, Some(2))]
fn windows_are_due_in_order(
    #[case] reported: Option<u64>,
    #[case] unix_ms: u64,
    #[case] due: Option<u64>,
) {
    let (mut tally, mut aggregate) = (Tally::new(), Aggregate::new());
    tally.count_started(7, "a");
    aggregate.add(&tally.take_update("i1", 1).expect("counts changed"));
    let progress = Progress { reported, ..Progress::default() };
    let read = ReadSpan { since_ms: 0, until_ms: unix_ms };
    assert_eq!(aggregate.due(&progress, &OPTIONS, read, &Instances::new()), due);
}

/// Guards against a report that is fixed before the dispatchers have published again after an outage of the store: two
/// dispatchers could not publish their counts, and 6 of 8 requests were reported.
#[rstest]
#[case::updates_may_still_arrive(46_000, 46_500, false)]
#[case::updates_have_arrived(44_000, 46_000, true)]
#[case::waiting_would_be_late(47_500, 48_000, true)]
#[case::late_already(48_500, 49_000, false)]
#[case::late_but_complete(48_500, 50_500, true)]
fn dispatchers_get_time_to_publish_after_an_outage(
    #[case] since_ms: u64,
    #[case] until_ms: u64,
    #[case] due: bool,
) {
    let (mut tally, mut aggregate) = (Tally::new(), Aggregate::new());
    tally.count_started(7, "a");
    aggregate.add(&tally.take_update("i1", 1).expect("counts changed"));
    let progress = Progress { reported: Some(6), ..Progress::default() };
    let read = ReadSpan { since_ms, until_ms };
    let instances = Instances::new();
    assert_eq!(aggregate.due(&progress, &OPTIONS, read, &instances).is_some(), due);
}

#[test]
fn a_report_is_fixed_until_it_is_accepted() {
    let (mut tally, mut aggregate) = (Tally::new(), Aggregate::new());
    tally.count_started(7, "a");
    aggregate.add(&tally.take_update("i1", 1).expect("counts changed"));
    let fixed = Progress::default().with_fixed(aggregate.report(7));
    tally.count_started(7, "a");
    aggregate.add(&tally.take_update("i1", 1).expect("counts changed"));
    assert_eq!(fixed.fixed.as_ref().map(|report| &report.counts), Some(&counts(&[("a", 1)])));
    assert_eq!(fixed.accepted(), Progress { reported: Some(7), ..Progress::default() });
}

proptest! {
    /// Each request counts once, however often and in whatever order updates arrive, as long as the last one arrives.
    #[test]
    fn each_request_counts_once(
        requests in proptest::collection::vec((0_u64..4, 0_usize..3, any::<bool>()), 1..120)
    ) {
        let names = ["a", "b", "c"];
        let (mut tally, mut aggregate) = (Tally::new(), Aggregate::new());
        let mut updates = Vec::new();
        let mut sums = [(); 4].map(|()| Counts::new());
        for (window, workspace, tell) in requests {
            tally.count_started(window, names[workspace]);
            *sums[window as usize].entry(names[workspace].into()).or_default() += 1;
            if tell && let Some(update) = tally.take_update("i1", 1) {
                // Every other update is lost, and published again.
                if updates.len() % 2 == 0 { aggregate.add(&update) } else { tally.mark_unpublished(&update) }
                updates.push(update);
            }
        }
        if let Some(last) = tally.take_update("i1", 1) {
            updates.push(last);
        }
        updates.iter().rev().for_each(|update| aggregate.add(update));
        for (window, sum) in sums.iter().enumerate() {
            prop_assert_eq!(&aggregate.counts(window as u64), sum);
        }
    }
}

/// A restored store may have lost updates. All kept windows are published again, and count once.
#[test]
fn all_windows_are_published_again() {
    let (mut tally, mut aggregate) = (Tally::new(), Aggregate::new());
    tally.count_started(7, "a");
    aggregate.add(&tally.take_update("i1", 1).expect("counts changed"));
    tally.count_started(8, "a");
    aggregate.add(&tally.take_update("i1", 1).expect("counts changed"));
    tally.republish_all();
    let again = tally.take_update("i1", 1).expect("it is published again");
    assert_eq!(again.windows.keys().copied().collect::<Vec<u64>>(), [7, 8]);
    aggregate.add(&again);
    assert_eq!(
        (aggregate.counts(7), aggregate.counts(8)),
        (counts(&[("a", 1)]), counts(&[("a", 1)]))
    );
}

/// A holder that does not know the latest reports skips each window that another holder may have reported.
#[test]
fn windows_that_may_have_been_reported_are_skipped() {
    let progress = Progress { reported: Some(5), ..Progress::default() }.after_loss();
    let latest = OPTIONS.latest_sent(46_000);
    assert!(latest >= 7, "window 7 ends at 40 s and may be reported from 45 s on");
    let resumed = progress.resume_after(latest);
    assert_eq!((resumed.reported, resumed.lost), (Some(latest), false));
}

/// The published counts of a writer that counted one request in a window.
fn update(writer: &str, window: u64, through_ms: u64) -> Update {
    let mut tally = Tally::new();
    tally.count_started(window, "a");
    let update = tally.take_update(writer, 1).expect("counts changed");
    Update { through_ms, ..update }
}

/// Whether window 7 is due after the report of window 6.
fn is_seventh_due(aggregate: &Aggregate, now_ms: u64, instances: &Instances) -> bool {
    let progress = Progress { reported: Some(6), ..Progress::default() };
    let read = ReadSpan { since_ms: 0, until_ms: now_ms };
    aggregate.due(&progress, &OPTIONS, read, instances).is_some()
}

/// Guards against a report without the counts of unreachable instances: a third of the instances was partitioned for
/// 12 s, and 941 of 2,451 requests of a window were not reported.
#[rstest]
#[case::unreachable(36_000, None, 45_000, false)]
#[case::unreachable_until_the_report_has_to_be_sent(36_000, None, 49_200, true)]
#[case::may_not_have_published_yet(36_000, Some(47_000), 48_500, false)]
#[case::has_had_time_to_publish(36_000, Some(47_000), 49_000, true)]
#[case::was_unreachable_before_the_window(26_000, Some(34_000), 45_000, true)]
#[case::unreachable_for_so_long_that_it_has_ended(10_000, None, 45_000, true)]
fn reports_wait_for_unreachable_instances(
    #[case] since_ms: u64,
    #[case] returned_ms: Option<u64>,
    #[case] now_ms: u64,
    #[case] due: bool,
) {
    let mut aggregate = Aggregate::new();
    aggregate.add(&update("i1", 7, now_ms));
    let mut instances = Instances::new();
    let mut record =
        |at, reachable| instances.record(at, [("i1", true), ("i2", reachable)].into_iter());
    record(since_ms, false);
    returned_ms.into_iter().for_each(|at| record(at, true));
    assert_eq!(is_seventh_due(&aggregate, now_ms, &instances), due);
}

/// Guards against a report without the counts of an instance that was removed as lost while it was partitioned.
#[test]
fn reports_wait_for_instances_that_were_removed_while_unreachable() {
    let mut aggregate = Aggregate::new();
    aggregate.add(&update("i1", 7, 45_000));
    let mut instances = Instances::new();
    instances.record(36_000, [("i1", true), ("i2", false), ("i3", true)].into_iter());
    instances.record(44_000, [("i1", true)].into_iter());
    let missing = aggregate.missing(7, &OPTIONS, 45_000, &instances);
    assert_eq!(missing.into_iter().collect::<Vec<&str>>(), ["i2"], "i3 left while reachable");
}

/// Guards against a report without the counts of a writer that reaches the other instances but not the store.
#[rstest]
#[case::silent_writer(6, 36_000, true, 45_000, false)]
#[case::silent_until_the_report_has_to_be_sent(6, 36_000, true, 49_200, true)]
#[case::published_after_the_window(6, 40_000, true, 45_000, true)]
#[case::no_counts_for_long(5, 36_000, true, 45_000, true)]
#[case::removed_instance(6, 36_000, false, 45_000, true)]
#[case::software_that_sends_no_time(6, 0, true, 45_000, true)]
fn reports_wait_for_recent_writers(
    #[case] counted: u64,
    #[case] through_ms: u64,
    #[case] listed: bool,
    #[case] now_ms: u64,
    #[case] due: bool,
) {
    let mut aggregate = Aggregate::new();
    aggregate.add(&update("i1", 7, now_ms));
    aggregate.add(&update("i2", counted, through_ms));
    let mut instances = Instances::new();
    let names = if listed { vec![("i1", true), ("i2", true)] } else { vec![("i1", true)] };
    instances.record(36_000, names.into_iter());
    assert_eq!(is_seventh_due(&aggregate, now_ms, &instances), due);
}

/// A writer that counts nothing more publishes once more, so that no report waits for it.
#[test]
fn a_writer_that_has_become_idle_closes_its_windows() {
    let mut tally = Tally::new();
    tally.count_started(7, "a");
    assert!(tally.take_update("i1", 1).is_some());
    tally.close_ended(8);
    assert_eq!(tally.take_update("i1", 1), None, "window 8 has not ended");
    tally.close_ended(9);
    assert!(tally.take_update("i1", 1).is_some_and(|update| update.windows.contains_key(&7)));
    tally.close_ended(10);
    assert_eq!(tally.take_update("i1", 1), None, "it is closed");
}
