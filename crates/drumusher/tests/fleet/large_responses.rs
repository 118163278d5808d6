//! Memory for responses of the product's own interface: what does not fit is left at its backend server, so that the
//! process stays within its limit.

use std::{io::Read, net::TcpStream, thread};

use drumusher_bench::{client, fleet::wait_for};

use crate::support::{address_of, call_slowly, fleet, switch};

/// The limit of the process, of which half is for bodies.
const MEMORY: &str = "[limits]\nmemory_mb = 48\n";
const RESERVABLE: f64 = 24.0 * 1024.0 * 1024.0;
/// Length of a large response. The buffers of the operating system don't hold it where the caller's is small.
const RESPONSE_BYTES: usize = 7 * 1024 * 1024;
/// Number of calls; three of their responses fit.
const CALLS: usize = 6;

fn metric(address: &str, name: &str) -> f64 {
    let text = client::get(address, "/metrics", &[]).expect("metrics").body;
    let line = text.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}

/// Responses that callers are slow to read stay within the memory, and each of them arrives whole. Guards against
/// responses of services that nothing counts.
#[test]
fn responses_beyond_the_memory_wait() {
    let fleet = fleet(&["suva"], 1, 1, MEMORY);
    let desk = address_of(&fleet, "suva-desk");
    switch(&desk, &format!(r#"{{"pad_bytes": {RESPONSE_BYTES}}}"#));
    let http = &fleet.instances[0].http;
    let conns: Vec<TcpStream> = (0..CALLS).map(|_| call_slowly(http)).collect();
    wait_for("a response waits for memory", || metric(http, "drumusher_responses_held") > 0.0);
    assert!(metric(http, "drumusher_bodies_reserved") <= RESERVABLE);
    thread::scope(|scope| {
        for mut conn in conns {
            scope.spawn(move || {
                let mut response = Vec::new();
                conn.read_to_end(&mut response).expect("a response");
                assert!(response.starts_with(b"HTTP/1.1 200"));
                let is_whole = response.len() > RESPONSE_BYTES && response.ends_with(b"}");
                assert!(is_whole, "a body of {} bytes", response.len());
            });
        }
    });
    wait_for("the memory is free again", || metric(http, "drumusher_bodies_reserved") == 0.0);
}
