//! A configuration of routes as operators write it: a whole version at once.

use std::net::SocketAddr;

/// One whole version. A higher number is newer; numbers need not follow one another.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its number.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// The workspaces; `None` if callers need no key.
    pub workspaces: Option<Vec<Workspace>>,
}

/// What a route promises of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may go on elsewhere after its last whole event.
    Resumable,
}

impl Kind {
    /// Whether a request may be handed over again although it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Repeatable | Kind::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Stream | Kind::Resumable)
    }
}

/// A rule that sends requests of a host and path to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it holds for, in lower case.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// Services with their weights; at least one.
    pub targets: Vec<Target>,
    /// What may be done with its requests.
    pub kind: Kind,
    /// Longest time to hold a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the answer or its first event, in milliseconds.
    pub first_ms: u64,
    /// Target for the pause between two events, in milliseconds; 0 for none.
    pub gap_ms: u64,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Most backend servers to which one request may be sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// One service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Its part of the requests, relative to the other targets.
    pub weight: u32,
}

/// A group of backend servers that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Most connections a backend server takes from all instances together.
    pub connections: u32,
    /// Whether its backend servers are engines that run language models.
    pub engine: bool,
    /// Within which bounds its backend servers may be ordered, if they may.
    pub scaling: Option<Scaling>,
}

/// Bounds on ordering backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Fewest in an availability zone.
    pub least: u32,
    /// Most in an availability zone.
    pub most: u32,
    /// Time until a new one serves, in milliseconds.
    pub boot_ms: u64,
    /// The price of one that may be taken away, as a part of another's; 1 where there are none.
    pub spot_price: f64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head in bytes.
    pub header_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
}

/// A customer with its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank before that of the route; 0 is the highest.
    pub priority: u8,
}

/// A backend server as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its identity.
    pub id: String,
    /// The service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it started, in Unix milliseconds by its own clock, if it tells that. One that starts again may keep
    /// its identity; it then holds and knows nothing of before.
    pub started_ms: Option<u64>,
    /// Whether it may be taken away, with a short notice.
    pub spot: bool,
}
