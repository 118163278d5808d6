//! Finding backend servers that are slow or fail, by comparing each with the others of the pool.

use super::Pool;
use crate::{
    ask::{Key, State},
    order::{Order, Preemption},
    outlier,
    server::{Baseline, Health, Sensitivity},
    time::Micros,
};

/// A mean pause up to this part of the target of pressing streams is not slow, whatever others need.
const SENSITIVE_GAP_FRACTION: f64 = 0.5;
/// The same for patient streams: the long prompts beside them make pauses differ between engines
/// that are equally fast. With half of the target, engines were taken for slow and good again several
/// times a second while a burst of long prompts lasted, and the others had to read theirs too.
const TOLERANT_GAP_FRACTION: f64 = 1.0;

impl Pool {
    /// Finds backend servers much slower than the pool's median and moves their repeatable attempts
    /// elsewhere, as far as there is room. Patient and pressing streams are compared apart: long
    /// prompts beside them make the pauses of patient ones longer, and their classes bear that.
    pub(super) fn judge(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if !self.policy.switches.slow {
            return;
        }
        for sensitivity in Sensitivity::ALL {
            let baseline = self.baseline(now, sensitivity);
            let Some(baseline) = baseline else { continue };
            let servers = self.servers.iter_mut().enumerate();
            let judged = servers.filter_map(|(at, server)| {
                Some((at, server.as_mut()?.check_slow(now, sensitivity, baseline)))
            });
            let slow: Vec<usize> = judged.filter(|(_, slow)| *slow).map(|(at, _)| at).collect();
            for at in slow {
                self.move_off(now, at, orders);
            }
        }
    }

    /// What is usual between the tokens of streams of a kind; `None` if fewer than two backend
    /// servers had some lately.
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

    /// Orders the repeatable attempts on a backend server stopped, as many as have room elsewhere.
    fn move_off(&mut self, now: Micros, server: usize, orders: &mut Vec<Order>) {
        let room = self.free(now) as usize;
        let movable = |(key, state): (usize, &State)| match state {
            State::Running(r) if usize::from(r.server.0) == server => {
                let moves = r.ask.repeatable && !r.stopping;
                moves.then_some((r.tier, Key(key as u32)))
            }
            _ => None,
        };
        let mut attempts: Vec<(u8, Key)> = self.asks.iter().filter_map(movable).collect();
        attempts.sort();
        for (_, key) in attempts.into_iter().take(room) {
            self.stop(key, Preemption::SlowServer, orders);
        }
    }

    /// Takes backend servers that fail far more of their requests than the others for outliers, as
    /// far as the pool can do without them.
    pub(super) fn compare(&mut self, now: Micros) {
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
