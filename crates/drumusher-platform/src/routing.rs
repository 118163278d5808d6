//! The configuration of routes, which operators write as a whole version at once.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// A version of the configuration. A higher number is newer; numbers need not be consecutive.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version number.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// All workspaces; `None` if callers need no API key.
    pub workspaces: Option<Vec<Workspace>>,
}

/// Delivery guarantee of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Runs at most once and responds with a stream of events.
    Stream,
    /// Responds with a stream of events that can be resumed on another backend server after its last complete
    /// event.
    Resumable,
}

impl Kind {
    /// Whether a request may be sent again although it may have run.
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Repeatable | Kind::Resumable)
    }

    /// Whether the response is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Stream | Kind::Resumable)
    }
}

/// A rule that sends requests for a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that it matches, in lower case.
    pub host: String,
    /// Path prefix that it matches.
    pub prefix: String,
    /// Services with their weights; at least one.
    pub targets: Vec<Target>,
    /// Delivery guarantee of its requests.
    pub kind: Kind,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of the response, or of the first event of a stream, in milliseconds.
    pub first_ms: u64,
    /// Target time between two events of a stream, in milliseconds; 0 for none.
    pub gap_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of backend servers to which one request may be sent.
    pub attempts: u32,
    /// Whether callers need no API key.
    pub public: bool,
    /// The regions in which its requests may run; `None` for all.
    pub regions: Option<Vec<String>>,
}

/// A service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its share of the requests, relative to the other targets.
    pub weight: u32,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Maximum number of connections that a backend server accepts from all instances together.
    pub connections: u32,
    /// Path at which its backend servers answer health checks, if they do.
    pub health_path: Option<String>,
    /// Whether its backend servers are engines, which run language models.
    pub engine: bool,
    /// What is known of these engines; `None` if there are none, or if a value is missing or makes no sense.
    pub profile: Option<Profile>,
    /// Requests per second that each backend server accepts while it warms up, from all instances together; `None` if
    /// there is no such limit.
    pub warm_up_rate: Option<f64>,
    /// Bounds for ordering backend servers; `None` if they must not be ordered.
    pub scaling: Option<Scaling>,
}

/// Sizes of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Memory for running requests and cached parts of prompts, in tokens.
    pub tokens: u64,
    /// Memory of a token, in bytes.
    pub token_bytes: u64,
    /// Rate of an engine's link to other engines, in Mbit/s.
    pub link_mbps: f64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// Bounds for ordering backend servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Minimum number in each availability zone.
    pub least: u32,
    /// Maximum number in each availability zone.
    pub most: u32,
    /// Time until a new server accepts requests, in milliseconds.
    pub boot_ms: u64,
    /// Price of a spot server relative to an ordinary one; 1 where there are no spot servers.
    pub spot_price: f64,
    /// Price of a server by availability zone, relative to one in a zone that is not listed. Prices that
    /// are not positive and finite are left out.
    pub zone_prices: BTreeMap<String, f64>,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum length of a request's body, in bytes.
    pub body_bytes: usize,
}

/// A workspace with its API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// API keys.
    pub keys: Vec<String>,
    /// Priority; 0 is the highest. Requests are ranked by this first and by the priority of their route
    /// second.
    pub priority: u8,
    /// The regions in which its requests may run; `None` for all. Those of the route bind too.
    pub regions: Option<Vec<String>>,
}

/// A backend server, as it describes itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// ID.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: Arc<str>,
    /// Version of its software. Versions have no order.
    pub version: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Start time in Unix milliseconds by its own clock, if it reports one. A restarted server may keep its
    /// ID, but has lost all requests and cached data of before.
    pub started_ms: Option<u64>,
    /// Whether it is a spot server, which the platform may reclaim at short notice.
    pub spot: bool,
    /// How much longer it warms up, in milliseconds from when it wrote this; 0 if it is warm.
    pub warm_up_ms: u64,
}
