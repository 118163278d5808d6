//! What log lines of any number of instances tell of all requests: how they ended, by route and by
//! second, and how far what dispatchers expected was from what came.
//!
//! The causes are those of [`Cause`], the same by which a single request is explained.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
};

use serde_json::{Map, Value};

use crate::explain::{Cause, Step};

/// Characters of a line's time up to the whole second.
const SECOND: usize = "2026-01-01T00:00:00".len();

/// Requests that ended, with what their lines tell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// How many ended by each cause.
    pub ends: BTreeMap<Cause, u32>,
    /// Those that needed more than one attempt.
    pub retried: u32,
    /// Those whose engine took over part of the prompt from another.
    pub cache_sourced: u32,
    /// Milliseconds that first events were expected to take, for those that had one and an expectation.
    pub expected_ms: Vec<u64>,
    /// Milliseconds that these first events took, in the same order.
    pub came_ms: Vec<u64>,
}

/// What log lines tell of all requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// By route.
    pub routes: BTreeMap<String, Group>,
    /// By the second in which they ended.
    pub seconds: BTreeMap<String, Group>,
    /// Lines that could not be read.
    pub unread: usize,
}

impl Group {
    fn add(&mut self, step: &Step, cause: Cause) {
        *self.ends.entry(cause).or_default() += 1;
        let number = |name| step.fact(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        self.retried += u32::from(number("attempts") > 1);
        self.cache_sourced +=
            u32::from(step.fact("source").is_some_and(|source| !source.is_empty()));
        let (expected, came) = (number("expected_ms"), number("handed_ms"));
        if expected > 0 && came > 0 {
            self.expected_ms.push(expected);
            self.came_ms.push(came);
        }
    }

    /// All requests of the group.
    pub fn total(&self) -> u32 {
        self.ends.values().sum()
    }
}

impl Summary {
    /// Sums up log lines; what stands before the first brace of a line is passed over.
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
        let cause = Cause::of(std::slice::from_ref(&step));
        if cause == Cause::Unknown {
            return;
        }
        let route = step.fact("route").unwrap_or("(none)").to_string();
        let second = step.time.get(..SECOND).unwrap_or(&step.time).to_string();
        self.routes.entry(route).or_default().add(&step, cause);
        self.seconds.entry(second).or_default().add(&step, cause);
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (title, groups) in [("route", &self.routes), ("second", &self.seconds)] {
            writeln!(f, "by {title}")?;
            for (name, group) in groups {
                writeln!(f, "  {name}: {}", row(group)?)?;
            }
        }
        if self.unread > 0 {
            writeln!(f, "({} lines could not be read)", self.unread)?;
        }
        Ok(())
    }
}

fn row(group: &Group) -> Result<String, fmt::Error> {
    let mut row = format!("{} requests", group.total());
    for (cause, count) in &group.ends {
        write!(row, ", {count} {}", cause.word())?;
    }
    write!(row, "; {} tried again, {} with a source", group.retried, group.cache_sourced)?;
    if let Some((expected, came)) = median(&group.expected_ms).zip(median(&group.came_ms)) {
        write!(row, "; first event expected in {expected} ms, came in {came} ms (medians)")?;
    }
    Ok(row)
}

fn median(values: &[u64]) -> Option<u64> {
    let mut values = values.to_vec();
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}
