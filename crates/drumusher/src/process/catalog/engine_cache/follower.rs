//! Which call about the cache of an engine comes next, and when. Without I/O.

use drumusher_platform::{
    dialect,
    engine::{self, Content, Position},
};
use drumusher_schedule::{
    ask::Part,
    event::Changes,
    time::{Micros, SECOND},
};

/// Interval between calls to one engine. Calls that are answered within 200 ms cost as much as health checks.
pub const CALL_INTERVAL: Micros = SECOND;
/// Least interval between queries of the whole content of an engine, which delay its work.
pub const LIST_INTERVAL: Micros = 5 * SECOND;
/// First pause after a failed call, doubled after each further one.
const FIRST_PAUSE: Micros = SECOND;
/// Longest pause after a failed call.
const MAX_PAUSE: Micros = 8 * SECOND;

/// A call to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Queries the whole content of the cache.
    Content,
    /// Waits for the changes from this number on.
    Changes(u64),
    /// No call is possible yet.
    None,
}

/// The state of following the cache of one engine.
#[derive(Clone, Debug)]
pub struct Follower {
    /// The position of the next change; `None` before the first content.
    position: Option<Position>,
    /// Whether changes were missed since the latest content.
    incomplete: bool,
    /// When the whole content was queried last.
    listed_at: Option<Micros>,
    /// Pause after the latest call, which failed; 0 if it did not.
    pause: Micros,
    /// Whether the latest response had malformed rows.
    malformed: bool,
}

impl Follower {
    /// An engine of which no position is known, with the time of an earlier query of its content.
    pub fn new(listed_at: Option<Micros>) -> Self {
        Follower { position: None, incomplete: true, listed_at, pause: 0, malformed: false }
    }

    /// The time from which the whole content may be queried.
    fn content_at(&self) -> Micros {
        self.listed_at.map_or(0, |at| at + LIST_INTERVAL)
    }

    /// The next call.
    pub fn next_call(&self, now: Micros) -> Call {
        match &self.position {
            _ if self.incomplete && now >= self.content_at() => Call::Content,
            Some(position) => Call::Changes(position.next),
            None => Call::None,
        }
    }

    /// The time of the next call, after one that lasted from `began` until `now`.
    pub fn next_at(&self, began: Micros, now: Micros) -> Micros {
        let at = (began + CALL_INTERVAL).max(now + self.pause);
        if self.position.is_none() { at.max(self.content_at()) } else { at }
    }

    /// Records that the whole content is queried.
    pub fn query_content(&mut self, now: Micros) {
        self.listed_at = Some(now);
    }

    /// Requires a query of the whole content, since changes were missed.
    pub fn require_content(&mut self) {
        self.incomplete = true;
    }

    /// Advances to the position of a content. Returns it as changes.
    pub fn apply_content(&mut self, content: Content) -> Changes {
        self.pause = 0;
        self.incomplete = false;
        self.position = Some(content.position);
        Changes { complete: true, added: parts(content.parts), removed: Vec::new() }
    }

    /// Advances to the position after changes. Returns them, and whether changes before them are missing: the engine
    /// has lost some, it restarted, or it does not know the position. What it reports is right in each case.
    pub fn apply_changes(&mut self, changes: engine::Changes) -> (Changes, bool) {
        self.pause = 0;
        let engine::Changes { position, lost, added, removed, .. } = changes;
        let follows =
            |known: &Position| known.epoch == position.epoch && known.next <= position.next;
        let gap = lost || !self.position.as_ref().is_some_and(follows);
        self.incomplete |= gap;
        self.position = Some(position);
        (Changes { complete: false, added: parts(added), removed }, gap)
    }

    /// Records a failed call. Returns whether it is the first since a successful one.
    pub fn fail(&mut self) -> bool {
        let is_first = self.pause == 0;
        self.pause = if is_first { FIRST_PAUSE } else { (self.pause * 2).min(MAX_PAUSE) };
        is_first
    }

    /// Records whether a response had malformed rows. Returns whether it is the first such one in a row.
    pub fn note_malformed(&mut self, malformed: bool) -> bool {
        !std::mem::replace(&mut self.malformed, malformed) && malformed
    }
}

fn parts(parts: Vec<dialect::Part>) -> Vec<Part> {
    parts.into_iter().map(|part| Part { id: part.id, tokens: part.tokens }).collect()
}
