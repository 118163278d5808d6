//! Scheduling policy: the operators' configuration in the form that decisions use.

use std::collections::BTreeMap;

use crate::{
    region,
    time::{MILLISECOND, Micros, SECOND},
};

/// Index of a class in [`Policy::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassKey(pub u16);

/// Index of a workspace in [`Policy::workspaces`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkspaceKey(pub u16);

/// Summary of a policy's tiers, computed once for each policy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tiers {
    /// The highest tier of any class.
    pub highest: u8,
    /// Longest `wait` of the classes of each tier.
    waits: BTreeMap<u8, Micros>,
}

impl Tiers {
    /// The number of tiers above this one. Tiers are not consecutive: each priority of a workspace
    /// has its own range.
    pub fn rank(&self, tier: u8) -> u8 {
        self.waits.range(..tier).count().min(usize::from(u8::MAX)) as u8
    }

    /// The longest wait that any class of a tier allows.
    pub fn longest_wait(&self, tier: u8) -> Option<Micros> {
        self.waits.get(&tier).copied()
    }
}

/// A request class: latency targets, priority and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name, for diagnostics only.
    pub name: String,
    /// Priority; 0 is the highest.
    pub tier: u8,
    /// Target for the time from arrival to the first token.
    pub first_token: Micros,
    /// Target for the mean time between tokens.
    pub token_gap: Micros,
    /// Longest time a request may wait before it is refused.
    pub wait: Micros,
    /// One token in this many is reserved for the class while it has waiting requests; 0 for none.
    pub floor_every: u32,
    /// Queue slots reserved for the class.
    pub floor_queue: usize,
    /// Regions in which its requests may run.
    pub regions: region::Set,
}

impl Class {
    /// A class of `tier` with moderate targets.
    pub fn new(name: impl Into<String>, tier: u8) -> Self {
        Class {
            name: name.into(),
            tier,
            first_token: 1_500 * MILLISECOND,
            token_gap: 45 * MILLISECOND,
            wait: 30 * SECOND,
            floor_every: 32,
            floor_queue: 8,
            regions: region::Set::All,
        }
    }

    /// Sets the first-token target.
    pub fn with_first_token(mut self, first_token: Micros) -> Self {
        self.first_token = first_token;
        self
    }

    /// Sets the longest wait.
    pub fn with_wait(mut self, wait: Micros) -> Self {
        self.wait = wait;
        self
    }

    /// Sets the share of tokens reserved for the class.
    pub fn with_floor_every(mut self, floor_every: u32) -> Self {
        self.floor_every = floor_every;
        self
    }
}

/// A workspace: its share and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, for diagnostics only.
    pub name: String,
    /// Share relative to other workspaces of the same tier.
    pub weight: f64,
    /// Maximum requests running at once in a pool; 0 for no limit.
    pub concurrency: u32,
    /// Tokens per second over all its requests in a pool; 0 for no limit.
    pub tokens_per_second: u32,
    /// Maximum requests waiting at once in a pool; 0 for no limit.
    pub queue: u32,
    /// Regions in which its requests may run.
    pub regions: region::Set,
}

impl Workspace {
    /// A workspace of weight one without limits.
    pub fn new(name: impl Into<String>) -> Self {
        Workspace {
            name: name.into(),
            weight: 1.0,
            concurrency: 0,
            tokens_per_second: 0,
            queue: 0,
            regions: region::Set::All,
        }
    }
}

/// Scheduling mechanisms that can be disabled, to measure what each contributes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Switches {
    /// Strict tiers; otherwise all requests are of one tier.
    pub tiers: bool,
    /// Fair shares between workspaces; otherwise earliest deadline first over all of them.
    pub fairness: bool,
    /// Earliest deadline first among requests that can still meet theirs; otherwise order of
    /// arrival.
    pub deadlines: bool,
    /// Preemption of lower tiers.
    pub preemption: bool,
    /// Server health learned from this dispatcher's own streams.
    pub learning: bool,
    /// Concurrency windows learned from this dispatcher's own streams; otherwise as configured.
    pub windows: bool,
    /// Preference for the backend server that has the prefix cached.
    pub affinity: bool,
    /// Refusal of requests that would wait longer than their class allows.
    pub shedding: bool,
    /// Capacity reserved for each class.
    pub floor: bool,
    /// Transfer of cached prompt parts from another engine.
    pub sources: bool,
    /// Partition of the engines between delay-tolerant and delay-sensitive requests.
    pub sides: bool,
    /// A delay-tolerant prompt that is prefilled soon counts as harmless to the delay-sensitive
    /// streams beside it.
    pub harm: bool,
    /// Grants tell entry instances how long the first event is expected to take.
    pub expected: bool,
    /// A prompt that no engine has cached goes to the engine that all dispatchers would choose.
    pub usual_engine: bool,
    /// Backend servers with long token gaps are relieved of requests.
    pub slow: bool,
    /// Backend servers that fail far more often than the others are relieved of requests.
    pub outliers: bool,
    /// The model of an engine's cache is bounded by its memory and follows what the engine reports;
    /// otherwise it is bounded by the number of parts.
    pub memory: bool,
    /// Requests wait for a prompt part that an engine is prefilling, to be copied to another one.
    pub await_copies: bool,
    /// An engine is given a limited time of prompts ahead; the other requests wait at the dispatcher.
    pub read_ahead: bool,
    /// Requests that cannot end before their callers stop waiting are refused at once.
    pub unmeetable: bool,
    /// Engines are chosen by how long the rest of an answer takes on them.
    pub pace: bool,
    /// Streams that continue after a failure are admitted before new ones inside an engine.
    pub resume_first: bool,
}

/// No switch has the given name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownSwitch;

impl Switches {
    /// Names of the switches as operators write them.
    pub const NAMES: [&str; 22] = [
        "tiers",
        "fairness",
        "deadlines",
        "preemption",
        "learning",
        "windows",
        "affinity",
        "shedding",
        "floor",
        "sources",
        "sides",
        "harm",
        "expected",
        "usual_engine",
        "slow",
        "outliers",
        "memory",
        "await_copies",
        "read_ahead",
        "unmeetable",
        "pace",
        "resume_first",
    ];

    /// Disables a mechanism.
    ///
    /// # Errors
    ///
    /// [`UnknownSwitch`] if no switch has the name.
    pub fn turn_off(&mut self, name: &str) -> Result<(), UnknownSwitch> {
        let switch = match name {
            "tiers" => &mut self.tiers,
            "fairness" => &mut self.fairness,
            "deadlines" => &mut self.deadlines,
            "preemption" => &mut self.preemption,
            "learning" => &mut self.learning,
            "windows" => &mut self.windows,
            "affinity" => &mut self.affinity,
            "shedding" => &mut self.shedding,
            "floor" => &mut self.floor,
            "sources" => &mut self.sources,
            "sides" => &mut self.sides,
            "harm" => &mut self.harm,
            "expected" => &mut self.expected,
            "usual_engine" => &mut self.usual_engine,
            "slow" => &mut self.slow,
            "outliers" => &mut self.outliers,
            "memory" => &mut self.memory,
            "await_copies" => &mut self.await_copies,
            "read_ahead" => &mut self.read_ahead,
            "unmeetable" => &mut self.unmeetable,
            "pace" => &mut self.pace,
            "resume_first" => &mut self.resume_first,
            _ => return Err(UnknownSwitch),
        };
        *switch = false;
        Ok(())
    }
}

impl Default for Switches {
    fn default() -> Self {
        Switches {
            tiers: true,
            fairness: true,
            deadlines: true,
            preemption: true,
            learning: true,
            windows: true,
            affinity: true,
            shedding: true,
            floor: true,
            sources: true,
            sides: true,
            harm: true,
            expected: true,
            usual_engine: true,
            slow: true,
            outliers: true,
            memory: true,
            await_copies: true,
            read_ahead: true,
            unmeetable: true,
            pace: true,
            resume_first: true,
        }
    }
}

/// One immutable version of a pool's policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Classes by [`ClassKey`].
    pub classes: Vec<Class>,
    /// Workspaces by [`WorkspaceKey`].
    pub workspaces: Vec<Workspace>,
    /// Maximum requests waiting in the pool.
    pub queue: usize,
    /// Maximum preemptions of one request.
    pub preemptions: u8,
    /// How long a new dispatcher neither refuses nor preempts.
    pub settle: Micros,
    /// How long a grant is held for an entry instance that does not report a start.
    pub grant_expiry: Micros,
    /// Enabled mechanisms.
    pub switches: Switches,
}

impl Policy {
    /// A policy with the given classes and workspaces and default limits.
    pub fn new(classes: Vec<Class>, workspaces: Vec<Workspace>) -> Self {
        Policy {
            classes,
            workspaces,
            queue: 10_000,
            preemptions: 2,
            settle: 300 * MILLISECOND,
            grant_expiry: 500 * MILLISECOND,
            switches: Switches::default(),
        }
    }

    /// The tier of a class; all are of tier 0 when tiers are disabled.
    pub fn tier(&self, class: ClassKey) -> u8 {
        if !self.switches.tiers {
            return 0;
        }
        self.class(class).tier
    }

    /// Computes the summary of the tiers that each decision needs.
    pub fn tiers(&self) -> Tiers {
        let mut waits = BTreeMap::new();
        for class in &self.classes {
            let tier = if self.switches.tiers { class.tier } else { 0 };
            let longest: &mut Micros = waits.entry(tier).or_default();
            *longest = class.wait.max(*longest);
        }
        Tiers { highest: waits.keys().next().copied().unwrap_or(0), waits }
    }

    /// A class. An unknown key yields the last class, so that a concurrent removal cannot cause a
    /// panic.
    pub fn class(&self, key: ClassKey) -> &Class {
        let last = self.classes.len() - 1;
        &self.classes[usize::from(key.0).min(last)]
    }

    /// A workspace, if the key is known.
    pub fn workspace(&self, key: WorkspaceKey) -> Option<&Workspace> {
        self.workspaces.get(usize::from(key.0))
    }

    /// The regions in which requests of a class and a workspace may run: those that both allow.
    pub fn regions(&self, class: ClassKey, workspace: WorkspaceKey) -> region::Set {
        let allowed = self.workspace(workspace).map_or(region::Set::All, |w| w.regions);
        self.class(class).regions.intersection(allowed)
    }

    /// The share of a workspace; 1 for an unknown key.
    pub fn weight(&self, key: WorkspaceKey) -> f64 {
        self.workspace(key).map_or(1.0, |w| w.weight.max(0.001))
    }

    /// The smallest token gap target of all classes.
    pub fn tightest_gap(&self) -> Micros {
        let gaps = self.classes.iter().map(|c| c.token_gap).filter(|gap| *gap > 0);
        gaps.min().unwrap_or(45 * MILLISECOND)
    }
}
