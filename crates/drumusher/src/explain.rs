//! Explains the outcome of one request from log lines, for engineers who investigate a failure.
//!
//! Lines of any number of instances are read from files or standard input. The lines that name the request are sorted
//! by time; the last one gives the outcome, and the attempts before it show the cause. Lines that are not drumusher
//! log lines are skipped and counted.

use std::fmt::{self, Write};

use serde_json::{Map, Value};

/// A log line that names the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Timestamp, as logged.
    pub time: String,
    /// Message.
    pub message: String,
    /// Attributes, sorted by name.
    pub facts: Vec<(String, String)>,
}

/// Cause of a request's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The response was delivered.
    Delivered,
    /// An error response of a backend server was delivered.
    FailureDelivered,
    /// Rejected before it was sent to a backend server; the status tells why.
    TurnedAway,
    /// No backend server had capacity or was reachable.
    NotRun,
    /// A backend server failed; the request may have run.
    BackendFailed,
    /// The deadline of the client or route expired.
    TimedOut,
    /// A stream was cut off after it began.
    BrokenOff,
    /// The client disconnected before the response was complete.
    CallerGone,
    /// The log lines do not show the end, for example because the instance crashed.
    Unknown,
}

impl Step {
    /// Converts a log line, if it names a request.
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

    /// Returns the value of an attribute.
    pub fn fact(&self, name: &str) -> Option<&str> {
        self.facts.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

impl Cause {
    /// Label used in tables.
    pub fn as_str(self) -> &'static str {
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

    /// Determines the cause from the last of the steps, in order of time, that logs an end.
    pub fn from_steps(steps: &[Step]) -> Cause {
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

    /// Describes the cause in a sentence.
    pub fn describe(self) -> &'static str {
        match self {
            Cause::Delivered => "the response was delivered",
            Cause::FailureDelivered => "a backend server ran it and responded with an error",
            Cause::TurnedAway => "it was turned away before anything ran",
            Cause::NotRun => "no backend server accepted it; it did not run",
            Cause::BackendFailed => "a backend server failed; it may have run",
            Cause::TimedOut => "its time ran out while a backend server had it",
            Cause::BrokenOff => "its stream was cut off after it began",
            Cause::CallerGone => "the client disconnected before the response was complete",
            Cause::Unknown => {
                "no log line shows its end: the instance crashed, or log lines are missing"
            }
        }
    }
}

/// The log lines of one request, and the cause of its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Request ID.
    pub id: String,
    /// Steps, sorted by time.
    pub steps: Vec<Step>,
    /// Cause of the outcome.
    pub cause: Cause,
    /// Number of lines that could not be parsed.
    pub unread: usize,
}

impl Explanation {
    /// Collects the steps of request `id` from log lines.
    pub fn new<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Explanation {
        let mut explanation =
            Explanation { id: id.into(), steps: Vec::new(), cause: Cause::Unknown, unread: 0 };
        for line in lines.filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str::<Map<String, Value>>(line) {
                Ok(line) => explanation.steps.extend(matching_step(id, &line)),
                Err(_) => explanation.unread += 1,
            }
        }
        explanation.steps.sort_by(|a, b| a.time.cmp(&b.time));
        explanation.cause = Cause::from_steps(&explanation.steps);
        explanation
    }

    /// Converts it to JSON.
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
            "cause": self.cause.describe(),
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
        writeln!(f, "request {}: {}", self.id, self.cause.describe())
    }
}

/// Converts a log line to a step, if it names request `id`.
fn matching_step(id: &str, line: &Map<String, Value>) -> Option<Step> {
    let request = line.get("attributes")?.get("request").and_then(Value::as_str);
    if request == Some(id) { Step::new(line) } else { None }
}
