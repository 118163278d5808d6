//! Connections to backend servers through other instances, which reach them.

use std::sync::Arc;

use drumusher_schedule::rank::{self, Candidate};
use drumusher_wire::peer;
use ntex::time::Millis;

use super::Conn;
use crate::{
    connection::{
        self,
        tunnel::{self, Outcome},
    },
    process::{Shared, clock},
    version::{Backend, Instance, Pool},
};

/// Time limit for opening a tunnel. Six round trips of 2 ms between availability zones, and the connect timeout of the
/// other instance.
const OPEN_TIMEOUT: Millis = Millis(160);
/// Number of instances that are asked for a path to one backend server in turn.
const MAX_ASKED: usize = 3;
/// Number of instances that did not reach a backend server after which no other one is asked, unless this instance is
/// isolated.
const WITNESSES: usize = 2;
/// Number of instances of one availability zone that may offer no path before those of other zones are preferred.
const MAX_PAUSED_IN_ZONE: usize = 2;

/// Why no other instance connected this one to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The backend server refused the connection of another instance: its process is not running.
    Refused,
    /// The backend server did not answer another instance.
    NoAnswer,
    /// No instance offered a path.
    NoPath,
}

/// Connects to a backend server through another instance.
///
/// # Errors
///
/// What the other instances found, the best known if they differ.
pub async fn connect(shared: &Shared, pool: &Pool, backend: &Backend) -> Result<Conn, Error> {
    let mut found = Error::NoPath;
    let mut failed = Vec::new();
    for instance in candidates(shared, backend) {
        if failed.len() >= WITNESSES && !shared.paths.is_isolated() {
            break;
        }
        let now = clock::now();
        let tunnel = peer::Tunnel {
            pool: pool.to_string(),
            server: backend.name.to_string(),
            born: backend.started_ms.map(|started| started as i64),
        };
        let (address, name) = (&instance.address, &instance.name);
        let opened =
            connection::open_tunnel(address, name, shared.identity(), tunnel, OPEN_TIMEOUT).await;
        match opened {
            Ok(Ok((io, socket))) => {
                shared.telemetry.count("drumusher.tunnels.opened", &[]);
                // The server answers, so the path of those that did not reach it is lost too.
                failed.iter().for_each(|name| shared.paths.pause_instance(now, name));
                return Ok(Conn::tunnelled(io, socket));
            }
            Ok(Err(Outcome::Refused)) => {
                found = Error::Refused;
                failed.push(name.clone());
            }
            Ok(Err(Outcome::NoAnswer)) => {
                found = if found == Error::Refused { found } else { Error::NoAnswer };
                failed.push(name.clone());
            }
            Ok(Err(_)) => shared.paths.pause_instance(now, name),
            Err(error) => {
                log::debug!("no tunnel through instance {name}: {error}");
                shared.paths.pause_instance(now, name);
            }
        }
    }
    Err(found)
}

/// The instances to ask for a path to a backend server, in order: those of this availability zone first, unless several
/// of them offered none.
fn candidates(shared: &Shared, backend: &Backend) -> Vec<Instance> {
    let (now, directory) = (clock::now(), shared.directory.load());
    let lost = shared.lost.load();
    let usable = directory.instances.values().filter(|instance| {
        instance.name != shared.name && !instance.leaving && !lost.contains(&instance.name)
    });
    let usable: Vec<&Instance> = usable.collect();
    let zone = &shared.settings.availability_zone;
    let is_near = |instance: &Instance| *instance.availability_zone == **zone;
    let is_paused = |instance: &Instance| shared.paths.is_instance_paused(now, &instance.name);
    let paused_near = usable.iter().filter(|other| is_near(other) && is_paused(other)).count();
    let prefers_near = paused_near < MAX_PAUSED_IN_ZONE;
    let role = format!("{} {}", shared.name, backend.name);
    let weighted =
        usable.iter().map(|other| Candidate { name: &other.name, capacity: other.capacity });
    let ranked: Vec<Arc<str>> = rank::order(&role, weighted).into_iter().map(Arc::from).collect();
    let ranked = ranked.iter().filter_map(|name| directory.instances.get(name));
    let mut ranked: Vec<&Instance> = ranked.collect();
    ranked.sort_by_cached_key(|other| (is_paused(other), is_near(other) != prefers_near));
    // The second one is in another availability zone: a whole zone may have lost its paths.
    let first = ranked.first().map(|first| first.availability_zone.clone());
    let elsewhere =
        ranked.iter().position(|other| Some(&other.availability_zone) != first.as_ref());
    if let Some(index) = elsewhere.filter(|index| *index > 1) {
        ranked[1..=index].rotate_right(1);
    }
    ranked.into_iter().take(MAX_ASKED).cloned().collect()
}

impl From<tunnel::Malformed> for super::Error {
    fn from(_: tunnel::Malformed) -> Self {
        super::Error::Malformed
    }
}
