//! Detection of slow and failing backend servers by comparison with the others of the pool.

use super::Pool;
use crate::{
    ask::{Key, State},
    order::{Order, Preemption},
    outlier,
    server::{Baseline, Health, Sensitivity},
    time::Micros,
};

/// A mean gap up to this fraction of the target of delay-sensitive streams is never slow.
const SENSITIVE_GAP_FRACTION: f64 = 0.5;
/// The same for delay-tolerant streams: the long prompts beside them make gaps differ between
/// engines that are equally fast. With half of the target, engines became slow and healthy again
/// several times a second during a burst of long prompts, and the others had to prefill their
/// prompts too.
const TOLERANT_GAP_FRACTION: f64 = 1.0;

impl Pool {
    /// Finds backend servers much slower than the pool's median and moves their repeatable attempts
    /// elsewhere, as far as there are free slots. Delay-tolerant and delay-sensitive streams are
    /// compared separately: long prompts lengthen the gaps of delay-tolerant ones, and their
    /// classes allow that.
    pub(super) fn relieve_slow(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if !self.policy.switches.slow {
            return;
        }
        for sensitivity in Sensitivity::ALL {
            let baseline = self.baseline(now, sensitivity);
            let Some(baseline) = baseline else { continue };
            let servers = self.servers.iter_mut().enumerate();
            let updated = servers.filter_map(|(at, server)| {
                Some((at, server.as_mut()?.check_slow(now, sensitivity, baseline)))
            });
            let slow: Vec<usize> = updated.filter(|(_, slow)| *slow).map(|(at, _)| at).collect();
            for at in slow {
                self.preempt_movable(now, at, orders);
            }
        }
    }

    /// The median time between the events of streams of one sensitivity over the backend servers with
    /// recent samples.
    pub(super) fn typical_gap(&self, now: Micros, sensitivity: Sensitivity) -> Option<f64> {
        let known = self.servers().filter_map(|(_, server)| server.recent_gap(now, sensitivity));
        let known: Vec<f64> = known.collect();
        (!known.is_empty()).then(|| outlier::median(known.into_iter()))
    }

    /// Baseline of the token gaps of streams of one sensitivity; `None` if fewer than two backend
    /// servers have recent samples.
    fn baseline(&self, now: Micros, sensitivity: Sensitivity) -> Option<Baseline> {
        let known = self.servers().filter_map(|(_, server)| server.recent_gap(now, sensitivity));
        let gaps: Vec<f64> = known.collect();
        if gaps.len() < 2 {
            return None;
        }
        let median = outlier::median(gaps.into_iter());
        let of_sensitivity =
            self.recent_classes(now).filter(|class| self.sensitivity(now, *class) == sensitivity);
        let targets = of_sensitivity.map(|class| self.policy.class(class).token_gap);
        let target = targets.filter(|gap| *gap > 0).min().unwrap_or(0);
        let fraction = match sensitivity {
            Sensitivity::Sensitive => SENSITIVE_GAP_FRACTION,
            Sensitivity::Tolerant => TOLERANT_GAP_FRACTION,
        };
        Some(Baseline { median, acceptable: target as f64 * fraction })
    }

    /// Preempts the repeatable attempts on a backend server, as many as there are free slots
    /// elsewhere.
    fn preempt_movable(&mut self, now: Micros, server: usize, orders: &mut Vec<Order>) {
        let free = self.free(now) as usize;
        let movable = |(key, state): (usize, &State)| match state {
            State::Running(r) if usize::from(r.server.0) == server => {
                let is_movable = r.ask.repeatable && !r.stopping;
                is_movable.then_some((r.tier, Key(key as u32)))
            }
            _ => None,
        };
        let mut attempts: Vec<(u8, Key)> = self.requests.iter().filter_map(movable).collect();
        attempts.sort();
        for (_, key) in attempts.into_iter().take(free) {
            self.order_preemption(key, Preemption::SlowServer, orders);
        }
    }

    /// Marks backend servers that fail a much larger share of their requests than the others as
    /// outliers, as far as the pool can spare them.
    pub(super) fn update_outliers(&mut self, now: Micros) {
        if !self.policy.switches.outliers {
            return;
        }
        let serving = self.servers().filter(|(_, server)| !server.leaving());
        let (mut all, mut outliers) = (0, 0);
        let mut rates = Vec::new();
        for (_, server) in serving {
            all += 1;
            outliers += usize::from(matches!(server.health(), Health::Erring(_)));
            rates.extend(server.failure_rate(now));
        }
        let median = outlier::median(rates.into_iter());
        for server in self.servers.iter_mut().flatten() {
            let can_spare = outliers < all / outlier::MIN_SERVERS_PER_OUTLIER;
            let before = server.health();
            server.update_outlier(now, median, can_spare);
            outliers += usize::from(before == Health::Good && server.health() != before);
        }
    }
}
