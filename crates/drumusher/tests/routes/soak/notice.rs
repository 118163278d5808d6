//! What backend servers say of themselves, among the faults of the soak, and whether instances keep to it.

use std::time::{Duration, Instant};

use drumusher_adapter_stand_in::{
    Arrival, Notice, Server,
    server::notice::{
        MAX_REQUESTS_DURING_REST, max_requests_during_rest, over_limit, requests_after_leaving,
    },
};
use rand::{RngExt, rngs::StdRng};

use super::journal::Journal;

/// Limits that a server may name, some of them none that can be read.
const LIMITS: [&str; 9] = ["0", "0.2", "1.4", "5", "20", "1000", "abc", "NaN", "1e30"];
/// Rests for which it may ask, some of them none that can be read.
const RESTS: [&str; 5] = ["0", "0.25", "1.5", "3", "soon"];
/// Within this after a limit is first named it is to be kept.
const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// Within this after an instance was told that a server leaves it is to send nothing more there.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Draws what a server says of itself. A rest is asked for only by one that turns requests away.
pub fn random_notice(random: &mut StdRng) -> Notice {
    let limit = LIMITS[random.random_range(0..LIMITS.len())];
    let rest = RESTS[random.random_range(0..RESTS.len())];
    match random.random_range(0..3) {
        0 => Notice::limit(limit),
        1 => Notice::rest(rest),
        _ => Notice { limit: Some(limit.into()), ..Notice::rest(rest) },
    }
}

/// The promises on what servers say that were broken. A process that was killed, paused or cut off from others since it
/// was told counts as another one, which was not.
pub fn violations(servers: &[Server], journal: &Journal) -> Vec<String> {
    let sender = |arrival: &Arrival| journal.sender(&arrival.id, arrival.at);
    let mut violations = Vec::new();
    for server in servers {
        let arrivals = server.arrivals();
        let late = requests_after_leaving(&arrivals, sender, LEAVING_GRACE);
        if late > 0 {
            violations.push(format!(
                "{} got {late} requests though it had said that it leaves",
                server.id
            ));
        }
        let within = max_requests_during_rest(&arrivals, sender);
        if within > MAX_REQUESTS_DURING_REST {
            violations
                .push(format!("{} got {within} requests of one instance in a rest", server.id));
        }
        violations.extend(limits(server).into_iter().filter_map(|(rate, since, until)| {
            let within = |arrival: &&Arrival| arrival.at >= since && arrival.at < until;
            let arrivals: Vec<Arrival> = arrivals.iter().filter(within).cloned().collect();
            let over = over_limit(&arrivals, sender, (rate, LIMIT_GRACE));
            (over > 0.0)
                .then(|| format!("{} got {over} more than {rate} a second allow", server.id))
        }));
    }
    violations
}

/// The limits that a server named and that can be read, each with when it did.
fn limits(server: &Server) -> Vec<(f64, Instant, Instant)> {
    let said = server.announcements();
    let ends = said.iter().skip(1).map(|(at, _)| *at).chain([Instant::now()]);
    let limits = said.iter().zip(ends).filter_map(|((since, notice), until)| {
        let rate: f64 = notice.limit.as_ref()?.parse().ok()?;
        (rate.is_finite() && rate >= 0.0).then_some((rate, *since, until))
    });
    limits.collect()
}
