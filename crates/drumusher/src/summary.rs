//! Summarises the outcomes of all requests from log lines of any number of instances, by route and by second, and
//! compares the dispatchers' estimates for the first event with the measured times.
//!
//! Causes are those of [`Cause`], as in the explanation of a single request.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
};

use serde_json::{Map, Value};

use crate::explain::{Cause, Step};

/// Length of a timestamp up to the whole second.
const SECOND_PREFIX_LEN: usize = "2026-01-01T00:00:00".len();

/// Counts of the requests in a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Number of requests by cause of the outcome.
    pub ends: BTreeMap<Cause, u32>,
    /// Number of requests with more than one attempt.
    pub retried: u32,
    /// Number of requests whose engine fetched cached prompt state from another engine.
    pub cache_sourced: u32,
    /// Estimated times to the first event in milliseconds, for requests that have both an estimate and a first event.
    pub expected_ms: Vec<u64>,
    /// Measured times to the first event of the same requests in milliseconds, in the same order.
    pub actual_ms: Vec<u64>,
}

/// Summary of the outcomes of all requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Groups by route.
    pub routes: BTreeMap<String, Group>,
    /// Groups by the second in which the requests ended.
    pub seconds: BTreeMap<String, Group>,
    /// Number of lines that could not be parsed.
    pub unread: usize,
}

impl Group {
    fn add(&mut self, step: &Step, cause: Cause) {
        *self.ends.entry(cause).or_default() += 1;
        let number = |name| step.fact(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        self.retried += u32::from(number("attempts") > 1);
        self.cache_sourced +=
            u32::from(step.fact("source").is_some_and(|source| !source.is_empty()));
        let (expected, actual) = (number("expected_ms"), number("handed_ms"));
        if expected > 0 && actual > 0 {
            self.expected_ms.push(expected);
            self.actual_ms.push(actual);
        }
    }

    /// Returns the number of requests in the group.
    pub fn total(&self) -> u32 {
        self.ends.values().sum()
    }
}

impl Summary {
    /// Summarises log lines; anything before the first brace of a line is ignored.
    pub fn new<'a>(lines: impl Iterator<Item = &'a str>) -> Summary {
        let mut summary = Summary::default();
        for line in lines.filter(|line| !line.trim().is_empty()) {
            let start = line.find('{').unwrap_or(line.len());
            match serde_json::from_str::<Map<String, Value>>(&line[start..]) {
                Ok(line) => summary.add(&line),
                Err(_) => summary.unread += 1,
            }
        }
        summary
    }

    fn add(&mut self, line: &Map<String, Value>) {
        let Some(step) = Step::new(line) else {
            return;
        };
        let cause = Cause::from_steps(std::slice::from_ref(&step));
        if cause == Cause::Unknown {
            return;
        }
        let route = step.fact("route").unwrap_or("(none)").to_string();
        let second = step.time.get(..SECOND_PREFIX_LEN).unwrap_or(&step.time).to_string();
        self.routes.entry(route).or_default().add(&step, cause);
        self.seconds.entry(second).or_default().add(&step, cause);
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (title, groups) in [("route", &self.routes), ("second", &self.seconds)] {
            writeln!(f, "by {title}")?;
            for (name, group) in groups {
                writeln!(f, "  {name}: {}", format_group(group)?)?;
            }
        }
        if self.unread > 0 {
            writeln!(f, "({} lines could not be read)", self.unread)?;
        }
        Ok(())
    }
}

fn format_group(group: &Group) -> Result<String, fmt::Error> {
    let mut row = format!("{} requests", group.total());
    for (cause, count) in &group.ends {
        write!(row, ", {count} {}", cause.as_str())?;
    }
    write!(row, "; {} tried again, {} with a source", group.retried, group.cache_sourced)?;
    if let Some((expected, actual)) = median(&group.expected_ms).zip(median(&group.actual_ms)) {
        write!(row, "; first event expected in {expected} ms, came in {actual} ms (medians)")?;
    }
    Ok(row)
}

fn median(values: &[u64]) -> Option<u64> {
    let mut values = values.to_vec();
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}
