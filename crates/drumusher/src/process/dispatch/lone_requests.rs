//! Crashes that one request alone explains: no evidence against the parts of its prompt, which others share. Without I/O.

use std::collections::HashMap;

use drumusher_log::quarantine::Digest;
use drumusher_wire::peer;

/// Maximum number of parts remembered.
const MAX_PARTS: usize = 1_024;
/// Maximum number of crashes kept for a part.
const MAX_CRASHES: usize = 16;

/// A crash, with whether its request was the only trial on the server.
type Crashed = (bool, peer::Crash);

#[derive(Debug)]
enum Requests {
    /// One request only, with its crashes.
    One(Digest, Vec<Crashed>),
    Several,
}

/// The requests during which servers crashed, by the parts of their prompts.
#[derive(Debug, Default)]
pub struct LoneRequests {
    parts: HashMap<Digest, Requests>,
}

impl LoneRequests {
    /// Adds a crash during a request with a part. Returns the crashes that are evidence against the part by now: none as
    /// long as all of them happened during one request, which is sent again and again.
    pub fn add(&mut self, part: Digest, request: Digest, crashed: Crashed) -> Vec<Crashed> {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            log::warn!(
                "too many parts of prompts are suspected: the requests that crashed servers are forgotten"
            );
            self.parts.clear();
        }
        let first = || Requests::One(request, Vec::new());
        let requests = self.parts.entry(part).or_insert_with(first);
        match requests {
            Requests::Several => vec![crashed],
            Requests::One(one, crashes) if *one == request => {
                if crashes.len() < MAX_CRASHES {
                    crashes.push(crashed);
                }
                Vec::new()
            }
            Requests::One(_, crashes) => {
                let mut evidence = std::mem::take(crashes);
                evidence.push(crashed);
                *requests = Requests::Several;
                evidence
            }
        }
    }

    /// Forgets the crashes of a part that was answered.
    pub fn answered(&mut self, part: Digest) {
        self.parts.remove(&part);
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
