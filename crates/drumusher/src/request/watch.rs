//! Watches an engine on connections of its own while a request that may have broken it is not there.

use std::net::SocketAddr;

use drumusher_platform::load;
use drumusher_schedule::time::{MILLISECOND, Micros};
use ntex::{
    time::{Millis, sleep},
    util::Bytes,
};

use crate::{
    process::clock,
    upstream::{self, Conn, Probe, response::Part},
};

/// Time that an engine has to accept a connection.
const CONNECT_TIMEOUT: Millis = Millis(200);
/// Time that an engine has to answer the query. Some answer it between two steps.
const ANSWER_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// Longest time for which one connection is held. Servers close idle connections after some seconds.
const HOLD_TIME: Micros = 1_000 * MILLISECOND;
/// Pause before an engine that failed is asked again.
const RETRY_PAUSE: Millis = Millis(100);
/// How long an engine has to work before a failure is one of its own. An engine that is ending may answer for a moment.
const MIN_SERVICE_TIME: Micros = 200 * MILLISECOND;

/// An engine that is watched.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    address: SocketAddr,
}

/// What one connection showed of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Observation {
    /// It answered and kept the connection open.
    Steady,
    /// It answered, and closed the connection later.
    Closed,
    /// It did not answer.
    Away,
}

impl Watch {
    /// Watches the engine at an address.
    pub fn new(address: SocketAddr) -> Self {
        Watch { address }
    }

    /// Whether the engine answers the query for its load, whatever the answer.
    pub async fn responds(self) -> bool {
        self.observe(0).await == Observation::Steady
    }

    /// Waits until the engine has been steady for `time`, or until `deadline`. Returns whether it failed after it had
    /// worked, so that its outages come in series.
    pub async fn until_steady(self, time: Micros, deadline: Micros) -> bool {
        let (mut steady_since, mut relapsed) = (None, false);
        while clock::now() < deadline {
            let now = clock::now();
            let left = (steady_since.unwrap_or(now) + time).saturating_sub(now);
            let observation = self.observe(left.min(HOLD_TIME)).await;
            if observation != Observation::Away {
                steady_since.get_or_insert(now);
            }
            if observation != Observation::Steady {
                let failed_at = clock::now();
                let worked = |since| failed_at >= since + MIN_SERVICE_TIME;
                relapsed |= steady_since.take().is_some_and(worked);
                sleep(RETRY_PAUSE).await;
            } else if left <= HOLD_TIME {
                break;
            }
        }
        relapsed
    }

    /// Asks the engine for its load, and holds the connection for `time`.
    async fn observe(self, time: Micros) -> Observation {
        let Probe::Connected(mut conn) = upstream::probe(self.address, CONNECT_TIMEOUT).await
        else {
            return Observation::Away;
        };
        if self.query(&mut conn).await.is_err() {
            return Observation::Away;
        }
        let time = Millis((time / MILLISECOND) as u32);
        if !conn.finish() {
            // It closes each connection after its answer.
            sleep(time).await;
        } else if time > Millis(0) && conn.is_closed_within(time).await {
            return Observation::Closed;
        }
        Observation::Steady
    }

    /// Sends the query for the load and reads the answer to its end.
    async fn query(self, conn: &mut Conn) -> Result<(), upstream::Error> {
        let until = clock::now() + ANSWER_TIMEOUT;
        let head = format!("GET {} HTTP/1.1\r\nhost: {}\r\n\r\n", load::PATH, self.address);
        conn.send(head.as_bytes(), &Bytes::new(), false)?;
        while !matches!(conn.next_part(until, || false).await?, Part::End) {}
        Ok(())
    }
}
