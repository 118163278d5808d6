//! Notices of backend servers among the faults of the soak, and checks that instances comply with them.

use std::time::{Duration, Instant};

use drumusher_adapter_stand_in::{
    Arrival, Notice, Server,
    server::notice::{
        MAX_REQUESTS_DURING_REST, max_requests_during_rest, over_limit, requests_after_leaving,
    },
};
use rand::{RngExt, rngs::StdRng};

use super::journal::Journal;

/// Limits that a server may announce, in requests per second; some are invalid.
const LIMITS: [&str; 9] = ["0", "0.2", "1.4", "5", "20", "1000", "abc", "NaN", "1e30"];
/// Rest periods that a server may ask for, in seconds; some are invalid.
const RESTS: [&str; 5] = ["0", "0.25", "1.5", "3", "soon"];
/// A limit has to be kept from this time after it is first announced.
const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// An instance may send no more requests from this time after a server told it that it is leaving.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Draws a notice. One with a rest is only valid for a server that refuses requests meanwhile.
pub fn random_notice(random: &mut StdRng) -> Notice {
    let limit = LIMITS[random.random_range(0..LIMITS.len())];
    let rest = RESTS[random.random_range(0..RESTS.len())];
    match random.random_range(0..3) {
        0 => Notice::limit(limit),
        1 => Notice::rest(rest),
        _ => Notice { limit: Some(limit.into()), ..Notice::rest(rest) },
    }
}

/// Violations of notices. A process that was killed, paused or cut off from other instances after it was
/// told counts as another sender, which was not told.
pub fn violations(servers: &[Server], journal: &Journal) -> Vec<String> {
    let sender = |arrival: &Arrival| journal.sender(&arrival.id, arrival.at);
    let mut violations = Vec::new();
    for server in servers {
        let arrivals = server.arrivals();
        let late = requests_after_leaving(&arrivals, sender, LEAVING_GRACE);
        if late > 0 {
            violations.push(format!(
                "{} got {late} requests after it had announced that it is leaving",
                server.id
            ));
        }
        let within = max_requests_during_rest(&arrivals, sender);
        if within > MAX_REQUESTS_DURING_REST {
            violations.push(format!(
                "{} got {within} requests from one instance during a rest",
                server.id
            ));
        }
        violations.extend(limits(server).into_iter().filter_map(|(rate, since, until)| {
            let within = |arrival: &&Arrival| arrival.at >= since && arrival.at < until;
            let arrivals: Vec<Arrival> = arrivals.iter().filter(within).cloned().collect();
            let over = over_limit(&arrivals, sender, (rate, LIMIT_GRACE));
            (over > 0.0).then(|| {
                format!("{} got {over} requests more than {rate} per second allow", server.id)
            })
        }));
    }
    violations
}

/// The valid limits that a server announced, each with the times from and until which it held.
fn limits(server: &Server) -> Vec<(f64, Instant, Instant)> {
    let announced = server.announcements();
    let ends = announced.iter().skip(1).map(|(at, _)| *at).chain([Instant::now()]);
    let limits = announced.iter().zip(ends).filter_map(|((since, notice), until)| {
        let rate: f64 = notice.limit.as_ref()?.parse().ok()?;
        (rate.is_finite() && rate >= 0.0).then_some((rate, *since, until))
    });
    limits.collect()
}
