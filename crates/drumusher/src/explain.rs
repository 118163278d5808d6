//! What log lines tell of one request, for engineers who look for a cause afterwards.
//!
//! Lines of any number of instances are read from files or standard input. Those that name the
//! request are put in order of time; the last one gives the outcome, and the attempts before it the
//! cause. Lines that are not of drumusher are passed over and counted.

use std::fmt::{self, Write};

use serde_json::{Map, Value};

/// One log line that names the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// When, as it is written.
    pub time: String,
    /// What happened.
    pub message: String,
    /// The inputs, in the order of their names.
    pub facts: Vec<(String, String)>,
}

/// Why a request ended as it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It got its answer.
    Delivered,
    /// A backend server's own failure was delivered.
    FailureDelivered,
    /// Turned away before it was handed over; the status says why.
    TurnedAway,
    /// No backend server had room or could be reached.
    NotRun,
    /// A backend server failed after it may have run.
    BackendFailed,
    /// The time that the caller or the route allows ran out.
    TimedOut,
    /// A stream broke off after it began.
    BrokenOff,
    /// The caller left before there was an answer.
    CallerGone,
    /// The lines do not tell: the instance ended.
    Unknown,
}

impl Step {
    /// A line, if it names a request.
    pub fn new(line: &Map<String, Value>) -> Option<Step> {
        let attributes = line.get("attributes")?.as_object()?;
        attributes.get("request")?;
        let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), String::from);
        let facts = attributes.iter().filter(|(name, _)| *name != "request");
        let mut facts: Vec<(String, String)> = facts.map(|(n, v)| (n.clone(), text(v))).collect();
        facts.sort();
        Some(Step {
            time: line.get("time").map(text).unwrap_or_default(),
            message: line.get("message").map(text).unwrap_or_default(),
            facts,
        })
    }

    /// The value of an input.
    pub fn fact(&self, name: &str) -> Option<&str> {
        self.facts.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

impl Cause {
    /// A word or two for tables.
    pub fn word(self) -> &'static str {
        match self {
            Cause::Delivered => "delivered",
            Cause::FailureDelivered => "failures delivered",
            Cause::TurnedAway => "turned away",
            Cause::NotRun => "not run",
            Cause::BackendFailed => "failed",
            Cause::TimedOut => "timed out",
            Cause::BrokenOff => "broken off",
            Cause::CallerGone => "left by callers",
            Cause::Unknown => "untold",
        }
    }

    /// The cause by the last of some lines, in order of time, that tells an end.
    pub fn of(steps: &[Step]) -> Cause {
        let end = steps.iter().rev().find_map(|step| {
            let ended = step.message.strip_prefix("request ended: ");
            let away = || step.message.strip_prefix("request turned away: ").map(|_| "turned away");
            ended.or_else(away)
        });
        let failed = |step: &Step| step.fact("status").is_some_and(|text| text.starts_with('5'));
        match end {
            Some("delivered") if steps.last().is_some_and(failed) => Cause::FailureDelivered,
            Some("delivered") => Cause::Delivered,
            Some("caller gone") => Cause::CallerGone,
            Some("turned away") => Cause::TurnedAway,
            Some("backend_failed") => Cause::BackendFailed,
            Some("timed_out") => Cause::TimedOut,
            Some("broken off") => Cause::BrokenOff,
            Some(_) => Cause::NotRun,
            None => Cause::Unknown,
        }
    }

    /// A sentence for people.
    pub fn sentence(self) -> &'static str {
        match self {
            Cause::Delivered => "it got its answer",
            Cause::FailureDelivered => {
                "a backend server ran it and answered with a failure of its own"
            }
            Cause::TurnedAway => "it was turned away before anything ran",
            Cause::NotRun => "no backend server took it; it did not run",
            Cause::BackendFailed => "a backend server failed; it may have run",
            Cause::TimedOut => "its time ran out while a backend server had it",
            Cause::BrokenOff => "its stream broke off after it began",
            Cause::CallerGone => "the caller left before there was an answer",
            Cause::Unknown => "no line tells its end: the instance ended, or its lines are missing",
        }
    }
}

/// What the lines tell of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The request.
    pub id: String,
    /// Its steps in order of time.
    pub steps: Vec<Step>,
    /// Why it ended as it did.
    pub cause: Cause,
    /// Lines that could not be read.
    pub unread: usize,
}

impl Explanation {
    /// Reads the story of request `id` from log lines.
    pub fn new<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Explanation {
        let mut explanation =
            Explanation { id: id.into(), steps: Vec::new(), cause: Cause::Unknown, unread: 0 };
        for line in lines.filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str::<Map<String, Value>>(line) {
                Ok(line) => explanation.steps.extend(step(id, &line)),
                Err(_) => explanation.unread += 1,
            }
        }
        explanation.steps.sort_by(|a, b| a.time.cmp(&b.time));
        explanation.cause = Cause::of(&explanation.steps);
        explanation
    }

    /// The same as JSON.
    pub fn to_json(&self) -> Value {
        let steps = self.steps.iter().map(|step| {
            let facts = step.facts.iter().map(|(name, value)| (name.clone(), value.clone().into()));
            serde_json::json!({
                "time": step.time,
                "message": step.message,
                "facts": facts.collect::<Map<String, Value>>(),
            })
        });
        serde_json::json!({
            "request": self.id,
            "cause": self.cause.sentence(),
            "steps": steps.collect::<Vec<Value>>(),
            "unread": self.unread,
        })
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            let mut facts = String::new();
            for (name, value) in &step.facts {
                write!(facts, " {name}={value}")?;
            }
            writeln!(f, "{}  {}{facts}", step.time, step.message)?;
        }
        if self.unread > 0 {
            writeln!(f, "({} lines could not be read)", self.unread)?;
        }
        writeln!(f, "request {}: {}", self.id, self.cause.sentence())
    }
}

/// A line as a step, if it names the request.
fn step(id: &str, line: &Map<String, Value>) -> Option<Step> {
    let named = line.get("attributes")?.get("request").and_then(Value::as_str);
    if named == Some(id) { Step::new(line) } else { None }
}
