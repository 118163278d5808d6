//! Stops instances in turn and lets other things happen meanwhile, drawn from a seed.

use std::{
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::record::Journal;
use crate::support::{Deployment, configuration};

/// Time between two stops, in milliseconds. A stop takes longer, so that some overlap.
const STOP_INTERVAL_MS: Range<u64> = 1_500..5_000;
/// Time that a process has to end.
const GRACE: Duration = Duration::from_secs(8);
/// Time from the end of a process until it is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Period of a shortage of processor time.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
/// How long a process gets none in each period, in milliseconds.
const WITHOUT_QUOTA_MS: Range<u64> = 40..85;
/// How long a backend server is silent, in milliseconds.
const SILENCE_MS: Range<u64> = 400..2_500;
/// Interval at which what is due is done.
const POLL: Duration = Duration::from_millis(20);

/// An instance that was told to stop.
struct Stop {
    instance: usize,
    since: Instant,
    /// When the process ended.
    ended: Option<Instant>,
    /// When a second signal is sent.
    repeat_at: Option<Instant>,
    /// How long the process gets no processor time in each period.
    without_quota: Option<Duration>,
}

/// Stops the instances of a deployment.
pub struct Stopper<'a> {
    random: StdRng,
    deployment: &'a mut Deployment,
    journal: &'a Journal,
    stops: Vec<Stop>,
    version: u64,
}

/// The configuration with timeouts that are longer than a stop.
pub fn with_long_timeouts(configuration: &str) -> String {
    configuration.replace("\"TimeoutMs\":3000", "\"TimeoutMs\":15000")
}

impl<'a> Stopper<'a> {
    /// A stopper whose random sequence follows from a seed.
    pub fn new(seed: u64, deployment: &'a mut Deployment, journal: &'a Journal) -> Stopper<'a> {
        let random = StdRng::seed_from_u64(seed);
        Stopper { random, deployment, journal, stops: Vec::new(), version: 1 }
    }

    /// Stops an instance that serves, and waits until the next stop is due.
    pub fn step(&mut self) {
        let instance = self.random.random_range(0..self.deployment.instances.len());
        let is_free = self.stops.iter().all(|stop| stop.instance != instance);
        // One instance has to be left, as the load balancer has to send requests somewhere.
        if is_free && self.stops.len() + 1 < self.deployment.instances.len() {
            self.stop(instance);
        }
        self.disturb();
        let until =
            Instant::now() + Duration::from_millis(self.random.random_range(STOP_INTERVAL_MS));
        while Instant::now() < until {
            self.proceed();
        }
    }

    /// Waits until all stopped instances serve again.
    pub fn finish(mut self) {
        while !self.stops.is_empty() {
            self.proceed();
        }
    }

    fn stop(&mut self, instance: usize) {
        let random = &mut self.random;
        let repeats = random.random_bool(0.4);
        let repeat_ms = random.random_range(0..7_000);
        let is_short = random.random_bool(0.4);
        let without_ms = random.random_range(WITHOUT_QUOTA_MS);
        if random.random_bool(0.3) {
            self.deployment.instances[instance].signal("HUP");
        }
        self.journal.record_stop(instance);
        let since = Instant::now();
        self.deployment.instances[instance].signal("TERM");
        self.stops.push(Stop {
            instance,
            since,
            ended: None,
            repeat_at: repeats.then(|| since + Duration::from_millis(repeat_ms)),
            without_quota: is_short.then(|| Duration::from_millis(without_ms)),
        });
    }

    /// Changes the configuration or lets a backend server fall silent.
    fn disturb(&mut self) {
        if self.random.random_bool(0.3) {
            self.version += 1;
            let routes = with_long_timeouts(&configuration(self.version, ""));
            self.deployment.store.put("keyed.op", "config", &routes);
        }
        if self.random.random_bool(0.5) {
            let at = self.random.random_range(0..self.deployment.servers.len());
            let silence = Duration::from_millis(self.random.random_range(SILENCE_MS));
            self.deployment.servers[at].pause(silence);
        }
    }

    /// Does what is due: repeats signals, takes processor time away, and starts ended processes again.
    fn proceed(&mut self) {
        let began = Instant::now();
        let mut suspended = Vec::new();
        for stop in &mut self.stops {
            let instance = &mut self.deployment.instances[stop.instance];
            if stop.ended.is_none() && instance.ended().is_some() {
                stop.ended = Some(Instant::now());
            }
            if stop.ended.is_some() {
                continue;
            }
            if stop.since.elapsed() > GRACE {
                self.journal.record_kill(stop.instance);
                instance.kill();
                continue;
            }
            if stop.repeat_at.take_if(|at| *at <= Instant::now()).is_some() {
                instance.signal("TERM");
            }
            if let Some(without) = stop.without_quota {
                instance.signal("STOP");
                suspended.push((without, stop.instance));
            }
        }
        suspended.sort();
        for (without, instance) in &suspended {
            thread::sleep(without.saturating_sub(began.elapsed()));
            self.deployment.instances[*instance].signal("CONT");
        }
        let period = if suspended.is_empty() { POLL } else { QUOTA_PERIOD };
        thread::sleep(period.saturating_sub(began.elapsed()));
        let deployment = &mut self.deployment;
        self.stops.retain(|stop| {
            let due = stop.ended.is_some_and(|ended| ended.elapsed() > RESTART_PAUSE);
            if due {
                deployment.instances[stop.instance].respawn();
            }
            !due
        });
    }
}
