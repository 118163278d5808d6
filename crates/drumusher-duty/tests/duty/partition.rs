//! Usage reports while some instances are partitioned from the others and from the store, in simulated time.

use std::collections::BTreeMap;

use drumusher_duty::usage::{Aggregate, Instances, Options, Progress, ReadSpan, Tally, Update};
use rstest::rstest;

const OPTIONS: Options =
    Options { window_ms: 5_000, due_ms: 10_000, settle_ms: 3_200, send_ms: 1_000 };
const STEP_MS: u64 = 50;
/// Start of the traffic, at the start of a window.
const START_MS: u64 = 1_000_000;
const END_MS: u64 = START_MS + 40_000;
/// Duration of the partition.
const PARTITION_MS: u64 = 12_000;
/// Writers, of which the last two are partitioned.
const WRITERS: usize = 6;
const PARTITIONED: std::ops::Range<usize> = 4..6;
/// Interval of the updates of a writer that dispatches for itself only.
const PUBLISH_MS: u64 = 2_500;
/// Time between two attempts to publish while the store does not answer, with its timeout.
const RETRY_MS: u64 = 750;
/// Time after which an instance counts as unreachable, and after which it is reached again.
const DETECTION_MS: u64 = 1_000;
/// The lease of a partitioned holder is taken over after this time.
const TAKEOVER_MS: u64 = 4_500;

struct Writer {
    name: String,
    tally: Tally,
    publish_at: u64,
}

impl Writer {
    /// Publishes the counts if that is due and the store answers.
    fn publish(&mut self, now: u64, partitioned: bool) -> Option<Update> {
        if now < self.publish_at {
            return None;
        }
        self.publish_at = now + PUBLISH_MS;
        self.tally.close_ended(OPTIONS.window(now));
        let update = self.tally.take_update(&self.name, 1)?;
        if partitioned {
            self.tally.mark_unpublished(&update);
            self.publish_at = now + RETRY_MS;
            return None;
        }
        Some(Update { through_ms: now, ..update })
    }
}

/// The requests of the windows, and when and with how many of them each was reported.
#[derive(Default)]
struct Outcome {
    requests: BTreeMap<u64, u64>,
    reports: BTreeMap<u64, (u64, u64)>,
}

/// Runs a partition from `from_ms`, which the holder is behind or not.
fn run(from_ms: u64, holder_partitioned: bool) -> Outcome {
    let name = |number| format!("i{number}");
    let writer = |number| Writer {
        name: name(number),
        tally: Tally::new(),
        publish_at: START_MS + number as u64 * 400,
    };
    let mut writers: Vec<Writer> = (0..WRITERS).map(writer).collect();
    let names: Vec<String> = (0..WRITERS).map(name).collect();
    let until_ms = from_ms + PARTITION_MS;
    let (mut outcome, mut published) = (Outcome::default(), Vec::new());
    let (mut counts, mut instances) = (Aggregate::new(), Instances::new());
    let mut progress =
        Progress { reported: Some(OPTIONS.window(START_MS) - 1), ..Progress::default() };
    let (mut span, mut read_count): (Option<ReadSpan>, usize) = (None, 0);
    for now in (START_MS..END_MS).step_by(STEP_MS as usize) {
        let window = OPTIONS.window(now);
        let cut = |at: usize| PARTITIONED.contains(&at) && (from_ms..until_ms).contains(&now);
        for (at, writer) in writers.iter_mut().enumerate() {
            if now < END_MS - 20_000 {
                writer.tally.count_started(window, "a");
                *outcome.requests.entry(window).or_default() += 1;
            }
            published.extend(writer.publish(now, cut(at)));
        }
        let seen = |at: usize| {
            let unseen = from_ms + DETECTION_MS..until_ms + DETECTION_MS;
            !(PARTITIONED.contains(&at) && unseen.contains(&now))
        };
        instances.record(now, names.iter().enumerate().map(|(at, name)| (name.as_str(), seen(at))));
        if holder_partitioned && (from_ms..from_ms + TAKEOVER_MS).contains(&now) {
            // The next holder reads all updates again.
            (counts, span, read_count) = (Aggregate::new(), None, 0);
            continue;
        }
        let interval = if counts.is_urgent(&progress, &OPTIONS, now) { 250 } else { 1_000 };
        if span.is_none_or(|span| now >= span.until_ms + interval) {
            published[read_count..].iter().for_each(|update| counts.add(update));
            read_count = published.len();
            let since_ms = span.map_or(now, |span| span.since_ms);
            span = Some(ReadSpan { since_ms, until_ms: now });
        }
        let read = span.expect("the updates were read");
        if let Some(window) = counts.due(&progress, &OPTIONS, read, &instances) {
            let report = counts.report(window);
            outcome.reports.insert(window, (now, report.counts.values().sum()));
            progress = progress.with_fixed(report).accepted();
        }
    }
    outcome
}

/// Guards against reports that are fixed before partitioned instances have published: a third of the instances was
/// partitioned from second 1 to 13, and two windows were reported without 941 of 2,451 and 243 of 2,791 requests.
/// Whenever the partition ends two seconds before a report is due, all its requests are in it, and it is fixed with
/// time left to send it.
#[rstest]
fn reports_include_the_requests_of_partitioned_instances(
    #[values(false, true)] holder_partitioned: bool,
) {
    for offset_ms in (0..5_000).step_by(50) {
        let from_ms = START_MS + offset_ms;
        let outcome = run(from_ms, holder_partitioned);
        for (window, requests) in outcome.requests {
            let due_ms = (window + 1) * OPTIONS.window_ms + OPTIONS.due_ms;
            let (at, reported) = outcome.reports[&window];
            assert!(at + 700 <= due_ms, "+{offset_ms}: window {window} {} ms before", due_ms - at);
            if from_ms + PARTITION_MS + 2_000 <= due_ms {
                assert_eq!(reported, requests, "+{offset_ms}: window {window} is incomplete");
            }
        }
    }
}
