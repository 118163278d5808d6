//! Scenarios: the requests that arrive in a run and the faults that occur.

use drumusher_schedule::{
    policy::{Class, ClassKey, Policy, Workspace, WorkspaceKey},
    time::{MILLISECOND, Micros, SECOND},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of arrival at its entry.
    pub arrives: Micros,
    /// Class.
    pub class: ClassKey,
    /// Workspace.
    pub workspace: WorkspaceKey,
    /// Instance that receives the request.
    pub entry: u32,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens. The scheduler doesn't know their number in advance.
    pub tokens: u32,
    /// Prompt prefix that the request shares with others; 0 for none.
    pub prefix: u64,
    /// Number of prompt tokens in the shared prefix.
    pub shared: u32,
}

/// A fault of an engine.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Multiplies the duration of an engine's steps by a factor. Its load reports don't show this.
    Slow(usize, f64),
    /// Crashes an engine. The member list removes it after the given time.
    Crash(usize, Micros),
}

/// A source of requests with Poisson arrivals.
#[derive(Clone, Debug)]
struct Source {
    class: u16,
    workspaces: std::ops::Range<u16>,
    /// Arrival rate in requests per second, outside and inside the burst.
    rate: (f64, f64),
    prompt: u32,
    /// Log-normal distribution of output tokens: median, and standard deviation of the logarithm.
    tokens: (f64, f64),
    /// Number of distinct prompt prefixes; 0 for none.
    prefixes: u64,
}

/// The conditions of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in tables.
    pub name: &'static str,
    /// Number of instances.
    pub instances: u32,
    /// Number of engines.
    pub engines: usize,
    /// Time during which requests arrive.
    pub duration: Micros,
    /// Delay of load reports.
    pub lag: Micros,
    /// Faults, each with its time.
    pub faults: Vec<(Micros, Fault)>,
    /// Whether the demand of the highest tier alone fits the capacity.
    pub top_fits: bool,
    burst: std::ops::Range<Micros>,
    workspaces: u16,
    sources: Vec<Source>,
}

/// Maximum number of sequences in an engine's batch.
pub const BATCH: usize = 32;
/// Duration of an engine's step with an empty batch.
pub const STEP: Micros = 4 * MILLISECOND;

/// Classes of all scenarios, highest tier first.
pub fn classes() -> Vec<Class> {
    let ms = MILLISECOND;
    vec![
        Class::new("pickup", 0)
            .with_first_token(500 * ms)
            .with_wait(8 * SECOND)
            .with_floor_every(0),
        Class::new("ruling", 1).with_first_token(1_500 * ms).with_wait(12 * SECOND),
        Class::new("summary", 2).with_first_token(5 * SECOND).with_wait(20 * SECOND),
        Class::new("bulk", 3).with_first_token(15 * SECOND).with_wait(30 * SECOND),
    ]
}

impl Scenario {
    fn new(name: &'static str) -> Self {
        Scenario {
            name,
            instances: 9,
            engines: 8,
            duration: 20 * SECOND,
            lag: 250 * MILLISECOND,
            faults: Vec::new(),
            top_fits: true,
            burst: 5 * SECOND..12 * SECOND,
            workspaces: 10,
            sources: mix(1.0),
        }
    }

    /// Scheduling policy of the run.
    pub fn policy(&self) -> Policy {
        let names = 0..self.workspaces;
        let workspaces = names.map(|number| Workspace::new(format!("w{number}"))).collect();
        let mut policy = Policy::new(classes(), workspaces);
        policy.settle = 0;
        policy
    }

    /// Tokens per second that all engines together generate with full batches.
    pub fn capacity(&self) -> f64 {
        let step = STEP as f64 * 1.5 / SECOND as f64;
        self.engines as f64 * BATCH as f64 / step
    }

    /// Generates all requests in order of arrival.
    pub fn requests(&self, seed: u64) -> Vec<Request> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        for source in &self.sources {
            self.arrivals(source, &mut random, &mut requests);
        }
        requests.sort_by_key(|request| request.arrives);
        requests
    }

    /// Generates the requests of one source.
    fn arrivals(&self, source: &Source, random: &mut StdRng, requests: &mut Vec<Request>) {
        let lengths = LogNormal::new(source.tokens.0.ln(), source.tokens.1).expect("valid");
        let mut now = 0;
        while now < self.duration {
            let rate = if self.burst.contains(&now) { source.rate.1 } else { source.rate.0 };
            if rate == 0.0 {
                now = if now < self.burst.start { self.burst.start } else { self.duration };
                continue;
            }
            let interval = Exp::new(rate).expect("valid").sample(random);
            now += (interval * SECOND as f64) as Micros;
            let prefix = match source.prefixes {
                0 => 0,
                count => 1 + random.random_range(0..count) + u64::from(source.class) * 1_000,
            };
            requests.push(Request {
                arrives: now,
                class: ClassKey(source.class),
                workspace: WorkspaceKey(random.random_range(source.workspaces.clone())),
                entry: random.random_range(0..self.instances),
                prompt: source.prompt,
                tokens: (lengths.sample(random) as u32).clamp(1, 4_000),
                prefix,
                shared: source.prompt * 3 / 4,
            });
        }
    }
}

/// Requests of all four classes that use about 75% of the capacity of eight engines at `load` 1.
fn mix(load: f64) -> Vec<Source> {
    let source = |class, rate: f64, prompt, tokens| {
        let rate = (rate * load, rate * load);
        Source { class, workspaces: 0..10, rate, prompt, tokens, prefixes: 0 }
    };
    vec![
        source(0, 60.0, 200, (30.0, 0.4)),
        source(1, 60.0, 400, (90.0, 0.6)),
        source(2, 42.0, 800, (250.0, 0.6)),
        source(3, 18.0, 400, (500.0, 0.6)),
    ]
}

/// The mix at load 1, in which the rate of one class rises by `factor` during the burst.
fn bursting(class: usize, factor: f64) -> Vec<Source> {
    let mut sources = mix(1.0);
    sources[class].rate.1 *= factor;
    sources
}

/// Returns all scenarios.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::new;
    let crash = (7 * SECOND, Fault::Crash(2, 3 * SECOND));
    let slow = (4 * SECOND, Fault::Slow(1, 5.0));
    let mut heavy = mix(1.0);
    heavy.iter_mut().for_each(|source| source.tokens.1 = 1.4);
    let mut flood = mix(1.0);
    flood.push(Source {
        class: 1,
        workspaces: 3..4,
        rate: (0.0, 600.0),
        prompt: 400,
        tokens: (90.0, 0.6),
        prefixes: 0,
    });
    let mut prefixed = mix(1.25);
    prefixed.iter_mut().for_each(|source| {
        source.prompt = 24_000;
        source.prefixes = 60;
    });
    let mut marathon = mix(1.0);
    marathon[1].rate = (90.0, 240.0);
    marathon[3].rate = (40.0, 75.0);
    let mut large = mix(12.0);
    large.iter_mut().for_each(|source| source.workspaces = 0..770);
    large[1].rate.1 *= 4.0;
    vec![
        base("steady"),
        Scenario { sources: bursting(0, 10.0), ..base("discharge wave") },
        Scenario { sources: bursting(2, 10.0), ..base("summaries burst") },
        Scenario { sources: marathon, ..base("marathon desk") },
        Scenario { faults: vec![slow], sources: mix(1.2), ..base("one engine slow") },
        Scenario { lag: 2 * SECOND, sources: bursting(2, 8.0), ..base("reports 2 s late") },
        Scenario { sources: heavy, ..base("heavy tails") },
        Scenario { sources: flood, ..base("one workspace floods") },
        Scenario { faults: vec![crash], sources: bursting(0, 8.0), ..base("engine crash") },
        Scenario { sources: bursting(0, 40.0), top_fits: false, ..base("top tier overload") },
        Scenario { sources: prefixed, ..base("shared prefixes") },
        Scenario {
            instances: 360,
            engines: 96,
            workspaces: 770,
            duration: 8 * SECOND,
            burst: 2 * SECOND..6 * SECOND,
            sources: large,
            ..base("360 instances")
        },
    ]
}
