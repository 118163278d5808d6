//! The other instances as seen from here: which of them can be reached, and which have a role.
//! Without I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use drumusher_schedule::{
    rank::{self, Candidate},
    time::{MILLISECOND, Micros, SECOND},
};

use crate::version::{Directory, Instance, Pool};

/// What instances are ranked for that read the store.
const STORE: &str = "store";
/// Instances that read the store. The store may turn a third of today's eight or nine instances away
/// at once, and those that read it before others: with four, one is left that tells the rest.
const READERS: usize = 4;
/// Shortest time between two trials to reach an instance: it is back within it after a short cut.
const TRIAL_LEAST: Micros = 400 * MILLISECOND;
/// Longest time between two trials. Instances that were replaced are listed for a while.
const TRIAL_MOST: Micros = 15 * SECOND;
/// The time between two trials is this part of the time that the instance has been out of reach.
const TRIAL_PART: Micros = 8;

/// One that got no answers of the store is asked again after this: it tries the store every 0.4 s.
const UNREAD_FOR: Micros = 2 * SECOND;

/// Since when an instance cannot be reached, and when that was tried last.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since: Micros,
    tried: Micros,
}

/// The instances as one of them sees them.
pub struct View {
    name: Arc<str>,
    area: Arc<str>,
    /// The own processor time, in thousandths of a core.
    capacity: u32,
    directory: Arc<Directory>,
    /// Instances that cannot be reached now, by own experience.
    absent: BTreeMap<Arc<str>, Absence>,
    /// Instances that said they are leaving.
    leaving: BTreeSet<Arc<str>>,
    /// Instances that said they get no answers of the store, and when.
    unread: BTreeMap<Arc<str>, Micros>,
    stopping: bool,
}

impl View {
    /// The view of the instance `name`, which knows of no others.
    pub fn new(name: Arc<str>, area: Arc<str>) -> Self {
        View {
            name,
            area,
            capacity: rank::DEFAULT_CAPACITY,
            directory: Arc::default(),
            absent: BTreeMap::new(),
            leaving: BTreeSet::new(),
            unread: BTreeMap::new(),
            stopping: false,
        }
    }

    /// Sets the own processor time, in thousandths of a core.
    pub fn with_capacity(mut self, capacity: u32) -> Self {
        self.capacity = capacity;
        self
    }

    /// The own name.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Takes a new directory.
    pub fn adopt(&mut self, directory: Arc<Directory>) {
        let listed = &directory.instances;
        self.absent.retain(|name, _| listed.contains_key(name));
        self.leaving.retain(|name| listed.contains_key(name));
        self.unread.retain(|name, _| listed.contains_key(name));
        self.directory = directory;
    }

    /// An instance cannot be reached, or can again. Returns whether that is new.
    pub fn reachable(&mut self, now: Micros, instance: &Arc<str>, reachable: bool) -> bool {
        if reachable {
            return self.absent.remove(instance).is_some();
        }
        let absence = Absence { since: now, tried: now };
        let known = self.absent.contains_key(instance);
        self.absent.entry(instance.clone()).or_insert(absence);
        !known
    }

    /// An instance says whether it is leaving. Returns whether that is new.
    pub fn leaves(&mut self, instance: &Arc<str>, leaving: bool) -> bool {
        if leaving { self.leaving.insert(instance.clone()) } else { self.leaving.remove(instance) }
    }

    /// The own instance is stopping: it has no role any more.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether an instance cannot be reached now.
    pub fn is_absent(&self, instance: &str) -> bool {
        self.absent.contains_key(instance)
    }

    /// The absent instances that are to be tried now. The longer one was out of reach, the rarer.
    pub fn trials(&mut self, now: Micros) -> Vec<Arc<str>> {
        let mut due = Vec::new();
        for (name, absence) in &mut self.absent {
            let pause = ((now - absence.since) / TRIAL_PART).clamp(TRIAL_LEAST, TRIAL_MOST);
            if now >= absence.tried + pause {
                absence.tried = now;
                due.push(name.clone());
            }
        }
        due
    }

    /// The instances that have been out of reach for longer than `time`.
    pub fn lost(&self, now: Micros, time: Micros) -> Vec<Arc<str>> {
        let lost = self.absent.iter().filter(|(_, absence)| now > absence.since + time);
        lost.map(|(name, _)| name.clone()).collect()
    }

    /// The other instances of an area that are listed.
    fn others<'a>(&'a self, area: &'a str) -> impl Iterator<Item = &'a Instance> {
        let listed = self.directory.instances.values();
        listed.filter(move |instance| &*instance.area == area && instance.name != self.name)
    }

    /// The instances that may have a role in an area.
    fn eligible<'a>(&'a self, area: &'a str) -> impl Iterator<Item = Candidate<'a>> {
        let others = self.others(area).filter(|instance| {
            let gone = self.is_absent(&instance.name) || self.leaving.contains(&instance.name);
            !instance.leaving && !gone
        });
        let others =
            others.map(|instance| Candidate { name: &instance.name, capacity: instance.capacity });
        let own = Candidate { name: &self.name, capacity: self.capacity };
        others.chain((area == &*self.area && !self.stopping).then_some(own))
    }

    /// The dispatcher of a pool in an area.
    pub fn dispatcher(&self, pool: &Pool, area: &str) -> Option<Arc<str>> {
        let pool = pool.to_string();
        let first = rank::first(&pool, self.eligible(area)).map(Arc::from);
        let own_area = area == &*self.area;
        first.or_else(|| own_area.then(|| self.name.clone()))
    }

    /// The instances that read the store and tell the others, first one first. One that is not listed
    /// itself is none of them: where 295 instances start at once, the first ones of them see fewer than
    /// [`READERS`] others, or nobody yet, and 250 read the store for nobody.
    pub fn readers(&self) -> Vec<Arc<str>> {
        let listed = self.directory.instances.contains_key(&self.name);
        let candidates = self.eligible(&self.area);
        let candidates = candidates.filter(|candidate| listed || candidate.name != &*self.name);
        let ranked = rank::order(STORE, candidates);
        ranked.into_iter().take(READERS).map(Arc::from).collect()
    }

    /// The instance that reads the store and is to tell this one, unless this one reads it itself. The
    /// readers share the work: telling all others at their start is more than one of them can send.
    /// One that gets no answers is passed over while there is one that may.
    pub fn teller(&self, now: Micros) -> Option<Arc<str>> {
        let readers = self.readers();
        if readers.contains(&self.name) {
            return None;
        }
        let names = readers.iter().map(|reader| &**reader);
        let with_answers = names.clone().filter(|reader| !self.is_unread(now, reader));
        let first = rank::first(&self.name, with_answers);
        first.or_else(|| rank::first(&self.name, names)).map(Arc::from)
    }

    /// Whether an instance said a short time ago that it gets no answers of the store.
    fn is_unread(&self, now: Micros, instance: &str) -> bool {
        self.unread.get(instance).is_some_and(|at| now < at + UNREAD_FOR)
    }

    /// An instance says whether it reads the store and gets answers.
    pub fn reads(&mut self, now: Micros, instance: &Arc<str>, reads: bool) {
        if reads {
            self.unread.remove(instance);
        } else {
            self.unread.insert(instance.clone(), now);
        }
    }

    /// How many instances of the own area are listed, and whether none of the others is reachable.
    pub fn alone(&self) -> (usize, bool) {
        let listed = 1 + self.others(&self.area).count();
        let reachable = self.others(&self.area).any(|other| !self.is_absent(&other.name));
        (listed, listed > 1 && !reachable)
    }
}
