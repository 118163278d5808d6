//! The pools to which a request may turn: the cells of its service, or the service itself.

use drumusher_schedule::ask::{Id, Part};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    process::Shared,
    version::{Match, Pool},
};

/// The pools of a request that it did not turn to yet, the next one last.
#[derive(Clone, Debug)]
pub(super) struct Pools {
    untried: Vec<Pool>,
}

impl Pools {
    /// The pools of a request with this identity and prompt, and the one to turn to first.
    pub(super) fn new(
        shared: &Shared,
        route_match: &Match,
        id: Id,
        parts: &[Part],
    ) -> (Pool, Self) {
        let service = &route_match.service;
        let directory = shared.directory.load();
        let zone = &shared.settings.availability_zone;
        let candidates = directory
            .cells(service)
            .map_or_else(Vec::new, |cells| cells.candidates(service, zone, key(id, parts)));
        let mut pools = Pools { untried: candidates.into_iter().rev().collect() };
        let first = pools.untried.pop().unwrap_or_else(|| Pool::Service(service.clone()));
        (first, pools)
    }

    /// The pool to turn to after `refused` refused.
    pub(super) fn after(
        &mut self,
        refused: &Pool,
        shared: &Shared,
        route_match: &Match,
        id: Id,
        parts: &[Part],
    ) -> Option<Pool> {
        if shared.directory.load().is_divided(refused) {
            let (first, pools) = Pools::new(shared, route_match, id, parts);
            *self = pools;
            return Some(first);
        }
        self.untried.pop()
    }
}

/// The key by which requests share a cell: what their prompt has in common with others, or their identity. The last part
/// of a prompt is its own, unless there is no other.
fn key(id: Id, parts: &[Part]) -> u64 {
    let shared = match parts {
        [] => return id as u64,
        [only] => std::slice::from_ref(only),
        [shared @ .., _] => shared,
    };
    let mut hasher = Xxh3::new();
    shared.iter().for_each(|part| hasher.update(&part.id.to_le_bytes()));
    hasher.digest()
}
