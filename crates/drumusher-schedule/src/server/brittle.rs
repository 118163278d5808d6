//! Brittle backend servers, which fall over when they have to reject too many requests in a second.
//!
//! Room is found out by rejections, so these are rationed: no more grants are unproven at once than may be rejected, and
//! after a rejection nothing is granted for the time over which the server counts.

use std::collections::VecDeque;

use super::Server;
use crate::time::{MILLISECOND, Micros, SECOND};

/// Time over which a brittle server counts its rejections, with a margin for the way there.
const REJECTION_WINDOW: Micros = 1_100 * MILLISECOND;
/// A grant is unproven for this long: a rejection arrives sooner.
const PROOF_TIME: Micros = 25 * MILLISECOND;
/// The number of requests given to it at once grows by one after this time without a rejection.
const GROWTH_INTERVAL: Micros = 10 * SECOND;
/// How long a server counts as brittle after it last said so. All its answers do.
const RETENTION: Micros = 5 * SECOND;

/// What is known of a brittle server.
#[derive(Debug)]
pub(super) struct Brittle {
    until: Micros,
    /// Rejections in a second that it bears.
    bearable: u32,
    /// Requests given to it at once.
    room: u32,
    /// When `room` last changed.
    changed: Micros,
    /// Times of the grants that may still be rejected.
    unproven: VecDeque<Micros>,
}

impl Server {
    /// Records that it said it bears `bearable` rejections in a second.
    pub fn set_brittle(&mut self, now: Micros, bearable: u32) {
        let room = self.window();
        let brittle = self.brittle.get_or_insert_with(|| Brittle {
            until: now,
            bearable,
            room,
            changed: now,
            unproven: VecDeque::new(),
        });
        brittle.until = now + RETENTION;
        brittle.bearable = bearable;
    }

    /// Grants that it may be given now.
    pub(super) fn brittle_allowance(&self, now: Micros) -> u32 {
        let Some(brittle) = self.brittle.as_ref().filter(|brittle| now < brittle.until) else {
            return u32::MAX;
        };
        let recent = brittle.unproven.iter().filter(|at| now < **at + PROOF_TIME);
        let unproven = brittle.bearable.max(1).saturating_sub(recent.count() as u32);
        let grown = (now.saturating_sub(brittle.changed) / GROWTH_INTERVAL) as u32;
        let room = brittle.room.saturating_add(grown);
        unproven.min(room.saturating_sub(self.running + self.foreign))
    }

    /// Records a grant.
    pub(super) fn record_brittle_grant(&mut self, now: Micros) {
        if self.brittle.as_ref().is_some_and(|brittle| now >= brittle.until) {
            self.brittle = None;
        }
        if let Some(brittle) = &mut self.brittle {
            brittle.unproven.retain(|at| now < *at + PROOF_TIME);
            brittle.unproven.push_back(now);
        }
    }

    /// Records that it rejected a request while the others ran.
    pub(super) fn record_brittle_rejection(&mut self, now: Micros) {
        let running = self.running + self.foreign;
        if let Some(brittle) = self.brittle.as_mut().filter(|brittle| now < brittle.until) {
            self.full_until = self.full_until.max(now + REJECTION_WINDOW);
            brittle.room = running.max(1);
            brittle.changed = now;
        }
    }
}
