//! Watches engines on connections of their own while a request that may have broken one is not there.

use std::net::SocketAddr;

use drumusher_platform::load;
use drumusher_schedule::time::{MILLISECOND, Micros};
use ntex::{
    time::{Millis, sleep},
    util::Bytes,
};

use crate::{
    process::clock,
    upstream::{self, Conn, Error, Probe, response::Part},
};

/// Time that an engine has to answer the query. One that is silent for longer may just be slow.
const ANSWER_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// Longest time for which one connection is held. Servers close idle connections after some seconds.
const HOLD_TIME: Micros = 1_000 * MILLISECOND;
/// Pause before an engine is asked after another failed.
const RETRY_PAUSE: Millis = Millis(100);

/// Engines that are watched one at a time, beginning with that of the latest failure.
#[derive(Clone, Debug)]
pub struct Watch {
    engines: Vec<SocketAddr>,
    connect_timeout: Millis,
}

impl Watch {
    /// Watches engines, each of which has `connect_timeout` to accept a connection.
    pub fn new(engines: Vec<SocketAddr>, connect_timeout: Millis) -> Self {
        Watch { engines, connect_timeout }
    }

    /// Whether all engines may get a request: none of them is known to be away.
    pub async fn responds(&self) -> bool {
        for engine in &self.engines {
            if !self.is_available(*engine, 0).await {
                return false;
            }
        }
        true
    }

    /// Waits until one engine has been steady for `time`, or until `deadline`.
    pub async fn until_steady(&self, time: Micros, deadline: Micros) {
        for engine in self.engines.iter().cycle() {
            if self.is_steady(*engine, time, deadline).await {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Whether an engine is steady for `time`, or until `deadline`.
    async fn is_steady(&self, engine: SocketAddr, time: Micros, deadline: Micros) -> bool {
        let until = deadline.min(clock::now() + time);
        loop {
            let left = until.saturating_sub(clock::now());
            if left == 0 {
                return true;
            }
            if !self.is_available(engine, left.min(HOLD_TIME)).await {
                return false;
            }
        }
    }

    /// Whether an engine answers the query for its load and keeps the connection open for `time`. One that does not
    /// answer in time may be slow, and is not known to be away.
    async fn is_available(&self, engine: SocketAddr, time: Micros) -> bool {
        let until = clock::now() + time;
        let Probe::Connected(mut conn) = upstream::probe(engine, self.connect_timeout).await else {
            return false;
        };
        match query(engine, &mut conn).await {
            Ok(status) if is_missing(status) => return false,
            Ok(_) => {}
            Err(error) => return error == Error::TimedOut,
        }
        let left = Millis((until.saturating_sub(clock::now()) / MILLISECOND) as u32);
        if left == Millis(0) {
            return true;
        }
        if !conn.finish() {
            // It closes each connection after its answer.
            sleep(left).await;
            return true;
        }
        !conn.is_closed_within(left).await
    }
}

/// Sends the query for the load and reads the answer to its end. Returns its status.
async fn query(engine: SocketAddr, conn: &mut Conn) -> Result<u16, Error> {
    let until = clock::now() + ANSWER_TIMEOUT;
    let head = format!("GET {} HTTP/1.1\r\nhost: {engine}\r\n\r\n", load::PATH);
    conn.send(None, head.as_bytes(), &Bytes::new(), false)?;
    let mut status = 0;
    loop {
        match conn.next_part(until, || false).await? {
            Part::Head(head) => status = head.status,
            Part::Data(_) => {}
            Part::End => return Ok(status),
        }
    }
}

/// Whether a proxy says by a status that the engine behind it is missing.
fn is_missing(status: u16) -> bool {
    matches!(status, 502 | 504)
}
