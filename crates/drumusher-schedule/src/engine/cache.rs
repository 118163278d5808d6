//! What an engine has in its memory: running requests and cached prompt parts.
//!
//! With a capacity, the least recently used parts are evicted when running requests and parts
//! together exceed it, as in the engine itself. Without one, the number of parts is bounded.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
};

use crate::{
    ask::{Id, Part},
    time::Micros,
};

/// Maximum prompt parts remembered of an engine without a known capacity.
const MAX_PARTS: usize = 8_192;

/// A cached prompt part.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Length in tokens; 0 until a request or a report tells it.
    tokens: u32,
    /// When a request with this part was last placed on the engine or ended there.
    last_used: Micros,
    /// Whether the part is known to be completely prefilled.
    complete: bool,
    /// When it is expected to be complete; [`Micros::MAX`] if that counts only once it is known.
    ready: Micros,
    /// Its index in the prompt that used it last.
    index: u16,
    /// Number of running requests that have it.
    users: u32,
}

/// Order of eviction: least recently used first, and of one prompt the last part first.
type Position = (Micros, Reverse<u16>, u64);

/// A running request.
#[derive(Clone, Debug)]
struct Running {
    parts: Vec<u64>,
    /// Tokens of its prompt outside its parts, and its output so far.
    other: u64,
    /// Its output so far, in tokens.
    output: u64,
}

/// The memory of one engine.
#[derive(Debug, Default)]
pub struct Cache {
    /// Memory for running requests and parts, in tokens.
    capacity: Option<u64>,
    parts: HashMap<u64, Entry>,
    /// The parts that no running request has.
    unused: BTreeSet<Position>,
    running: HashMap<Id, Running>,
    /// Tokens of all parts.
    part_tokens: u64,
    /// Tokens of the parts that no running request has.
    unused_tokens: u64,
    /// Tokens of running requests outside parts.
    other_tokens: u64,
}

impl Entry {
    fn position(&self, part: u64) -> Position {
        (self.last_used, Reverse(self.index), part)
    }
}

impl Cache {
    /// Sets its memory in tokens; `None` bounds the number of parts instead.
    pub fn set_capacity(&mut self, capacity: Option<u64>) {
        if self.capacity != capacity {
            self.capacity = capacity;
            self.evict();
        }
    }

    /// Whether its memory is known.
    pub fn has_capacity(&self) -> bool {
        self.capacity.is_some()
    }

    /// Tokens that running requests hold, with their output so far. Shared parts count once.
    pub fn held_tokens(&self) -> u64 {
        self.part_tokens - self.unused_tokens + self.other_tokens
    }

    /// Tokens of running requests and cached parts.
    pub fn tokens(&self) -> u64 {
        self.part_tokens + self.other_tokens
    }

    /// Whether a part is cached or being prefilled.
    pub fn contains(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }

    /// Whether a part is known to be completely prefilled.
    pub fn is_known(&self, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|entry| entry.complete)
    }

    /// Whether a part counts as completely prefilled, so that another engine can copy it.
    pub fn is_complete(&self, now: Micros, part: u64) -> bool {
        self.ready_at(part).is_some_and(|ready| ready <= now)
    }

    /// When a part is expected to be complete; 0 if it is.
    pub fn ready_at(&self, part: u64) -> Option<Micros> {
        self.parts.get(&part).map(|entry| if entry.complete { 0 } else { entry.ready })
    }

    /// When a request with a part was last placed here or ended.
    pub fn last_used(&self, part: u64) -> Option<Micros> {
        self.parts.get(&part).map(|entry| entry.last_used)
    }

    /// The parts, with their last use.
    pub fn iter(&self) -> impl Iterator<Item = (u64, Micros)> {
        self.parts.iter().map(|(part, entry)| (*part, entry.last_used))
    }

    /// Records that a request with a prompt of `tokens` tokens was placed here. `ready` tells when
    /// a part, by the number of tokens after it, is expected to be complete.
    pub fn place(
        &mut self,
        now: Micros,
        id: Id,
        parts: &[Part],
        tokens: u32,
        ready: impl Fn(u32) -> Micros,
    ) {
        self.end(now, id);
        let mut tokens_after = tokens;
        for (index, part) in parts.iter().enumerate() {
            tokens_after = tokens_after.saturating_sub(part.tokens);
            let ready = ready(tokens_after);
            self.update(*part, |entry| {
                entry.last_used = now;
                entry.ready = entry.ready.min(ready);
                entry.index = index as u16;
                entry.users += 1;
            });
        }
        let other = u64::from(tokens_after);
        let parts = parts.iter().map(|part| part.id).collect();
        self.running.insert(id, Running { parts, other, output: 0 });
        self.other_tokens += other;
        self.evict();
    }

    /// Records that a part is completely prefilled, and was used by a request placed at `used`.
    pub fn complete(&mut self, used: Micros, part: Part) {
        let latest = self.has_capacity();
        self.update(part, |entry| {
            entry.complete = true;
            entry.last_used = if latest { used.max(entry.last_used) } else { used };
        });
        if latest {
            self.evict();
        }
    }

    /// Sets when a part that is being prefilled is expected to be complete.
    pub fn set_ready(&mut self, part: u64, ready: Micros) {
        if let Some(entry) = self.parts.get_mut(&part) {
            entry.ready = ready;
        }
    }

    /// Records how many tokens a running request has produced so far.
    pub fn record_output(&mut self, id: Id, tokens: u64) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        let new = tokens.saturating_sub(running.output);
        running.output += new;
        running.other += new;
        self.other_tokens += new;
        if new > 0 {
            self.evict();
        }
    }

    /// Records the end of a request. Its parts stay cached, with the end as their last use if the
    /// memory is known.
    pub fn end(&mut self, now: Micros, id: Id) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        self.other_tokens -= running.other;
        for part in running.parts {
            let Some(entry) = self.parts.get_mut(&part) else {
                continue;
            };
            if entry.users == 0 {
                continue;
            }
            entry.users -= 1;
            if self.capacity.is_some() {
                entry.last_used = entry.last_used.max(now);
            }
            if entry.users == 0 {
                self.unused_tokens += u64::from(entry.tokens);
                self.unused.insert(entry.position(part));
            }
        }
        self.evict();
    }

    /// Records that the engine reported a part as cached. A length of 0 is an unknown one.
    pub fn add_reported(&mut self, now: Micros, part: Part) {
        self.update(part, |entry| {
            entry.complete = true;
            entry.last_used = entry.last_used.max(now);
        });
        self.evict();
    }

    /// Records that the engine reported a part as evicted. It stays while a running request has it,
    /// since reports lag behind placements.
    pub fn remove_reported(&mut self, part: u64) {
        if self.parts.get(&part).is_some_and(|entry| entry.users == 0) {
            self.remove(part);
        }
    }

    /// Records a complete list of what the engine has cached. Parts that running requests have
    /// stay.
    pub fn replace_reported(&mut self, now: Micros, parts: &[Part]) {
        let listed: BTreeSet<u64> = parts.iter().map(|part| part.id).collect();
        let gone: Vec<u64> =
            self.parts.keys().copied().filter(|part| !listed.contains(part)).collect();
        for part in gone {
            self.remove_reported(part);
        }
        for part in parts {
            let known = self.is_known(part.id);
            let last_used = self.last_used(part.id).filter(|_| known);
            self.add_reported(last_used.unwrap_or(now), *part);
        }
    }

    /// Removes a part.
    pub fn remove(&mut self, part: u64) {
        let Some(entry) = self.parts.remove(&part) else {
            return;
        };
        self.part_tokens -= u64::from(entry.tokens);
        if entry.users == 0 {
            self.unused_tokens -= u64::from(entry.tokens);
            self.unused.remove(&entry.position(part));
        }
    }

    /// Records that the engine lost its memory, with the requests that ran there.
    pub fn clear(&mut self) {
        *self = Cache { capacity: self.capacity, ..Cache::default() };
    }

    /// Changes a part, which is added if it is missing. A known length replaces an unknown one.
    fn update(&mut self, part: Part, change: impl FnOnce(&mut Entry)) {
        let missing = Entry {
            tokens: 0,
            last_used: 0,
            complete: false,
            ready: Micros::MAX,
            index: 0,
            users: 0,
        };
        let entry = self.parts.entry(part.id).or_insert(missing);
        if entry.users == 0 && self.unused.remove(&entry.position(part.id)) {
            self.unused_tokens -= u64::from(entry.tokens);
        }
        let before = entry.tokens;
        if part.tokens > 0 {
            entry.tokens = part.tokens;
        }
        self.part_tokens = self.part_tokens - u64::from(before) + u64::from(entry.tokens);
        change(entry);
        if entry.users == 0 {
            self.unused_tokens += u64::from(entry.tokens);
            self.unused.insert(entry.position(part.id));
        }
    }

    fn evict(&mut self) {
        match self.capacity {
            Some(capacity) => self.evict_beyond(capacity),
            None if self.parts.len() > MAX_PARTS => self.evict_older_than_mean(),
            None => {}
        }
    }

    /// Evicts unused parts, the least recently used first, until the rest fits.
    fn evict_beyond(&mut self, capacity: u64) {
        while self.tokens() > capacity {
            let Some((.., part)) = self.unused.first().copied() else {
                return;
            };
            self.remove(part);
        }
    }

    fn evict_older_than_mean(&mut self) {
        let sum: u128 = self.parts.values().map(|entry| u128::from(entry.last_used)).sum();
        let mean_use = (sum / self.parts.len() as u128) as Micros;
        let old = self.parts.iter().filter(|(_, entry)| entry.last_used < mean_use);
        let old: Vec<u64> = old.map(|(part, _)| *part).collect();
        for part in old {
            self.remove(part);
        }
    }
}
