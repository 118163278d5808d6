//! One version of the routing configuration, indexed for lookups by requests.

use std::{collections::HashMap, sync::Arc};

use drumusher_platform::routing::{
    Configuration, Kind, Limits, Profile, Route, Service, Workspace,
};
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::xxh3_64;

use super::{digest, policy::class_name};

/// Index of a route in its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RouteIndex(u32);

/// Index of a workspace in its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WorkspaceIndex(u32);

/// Index of a service in its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServiceIndex(u32);

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires an API key, and the client's is missing or unknown.
    NoKey,
}

/// The routing configuration that applies to one request.
#[derive(Clone, Debug)]
pub struct Match {
    /// Configuration version.
    pub version: u64,
    /// Name of the route.
    pub route: Arc<str>,
    /// Service that the request is sent to.
    pub service: Arc<str>,
    /// Whether the service's backend servers are engines that run language models.
    pub engine: bool,
    /// Workspace; `None` on a public route without a known key.
    pub workspace: Option<Arc<str>>,
    /// Class in the dispatcher's policy: the route combined with the workspace's priority.
    pub class: Arc<str>,
    /// Delivery guarantee of the route: repeatable, at most once, or streaming.
    pub kind: Kind,
    /// Timeout in milliseconds.
    pub timeout_ms: u64,
    /// Latency target for the response or its first event, in milliseconds.
    pub first_ms: u64,
    /// Target for the gap between events, in milliseconds; 0 for none.
    pub gap_ms: u64,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Maximum number of attempts at backend servers.
    pub attempts: u32,
    /// The regions to which the route and the workspace restrict the request, each of which binds.
    pub regions: Vec<Arc<[String]>>,
}

impl Match {
    /// Whether the request may run in a region; `None` if the region is not known.
    pub fn allows_region(&self, region: Option<&str>) -> bool {
        let is_in = |allowed: &Arc<[String]>| {
            region.is_some_and(|region| allowed.iter().any(|name| name == region))
        };
        self.regions.iter().all(is_in)
    }
}

/// One immutable version of the routing configuration.
#[derive(Debug)]
pub struct Routing {
    /// The configuration as operators wrote it.
    pub configuration: Configuration,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<RouteIndex>>,
    keys: HashMap<[u8; 32], WorkspaceIndex>,
    services: HashMap<String, ServiceIndex>,
}

impl Routing {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<RouteIndex>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(RouteIndex(index as u32));
        }
        for keys in hosts.values_mut() {
            keys.sort_by_key(|key| {
                std::cmp::Reverse(configuration.routes[key.0 as usize].prefix.len())
            });
        }
        let services = configuration.services.iter().enumerate();
        let services = services.map(|(index, s)| (s.name.clone(), ServiceIndex(index as u32)));
        let services = services.collect();
        let keys = workspace_keys(configuration.workspaces.as_deref());
        Routing { hosts, keys, services, configuration }
    }

    /// Returns the version number.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns whether the backend servers of a service are engines.
    pub fn is_engine(&self, service: &str) -> bool {
        self.service(service).is_some_and(|service| service.engine)
    }

    /// Returns the sizes of a service's engines, if they are known.
    pub fn profile(&self, service: &str) -> Option<Profile> {
        self.service(service)?.profile
    }

    /// Returns the path at which the backend servers of a service answer health checks, if they do.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        self.service(service)?.health_path.as_deref()
    }

    /// Returns the requests per second that each backend server of a service accepts while it warms up, from all
    /// instances together; `None` if there is no such limit.
    pub fn warm_up_rate(&self, service: &str) -> Option<f64> {
        self.service(service)?.warm_up_rate
    }

    fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        self.configuration.services.get(index.0 as usize)
    }

    /// Returns the limits on requests.
    pub fn limits(&self) -> Limits {
        self.configuration.limits
    }

    /// Finds the route, workspace and service of a request. `id` selects the service of a route with several weighted
    /// targets, so that the same request always goes to the same one.
    ///
    /// # Errors
    ///
    /// A [`Denial`] if no route matches or a required key is missing or unknown.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        id: &str,
    ) -> Result<Match, Denial> {
        let route = self.route(host, path).ok_or(Denial::NoRoute)?;
        let workspace = key.and_then(|key| self.workspace(key));
        let needs_key = self.configuration.workspaces.is_some() && !route.public;
        if needs_key && workspace.is_none() {
            return Err(Denial::NoKey);
        }
        let service = pick_service(route, id);
        let workspace_priority = workspace.map_or(0, |workspace| workspace.priority);
        Ok(Match {
            version: self.version(),
            route: route.name.as_str().into(),
            service: service.into(),
            engine: self.is_engine(service),
            workspace: workspace.map(|workspace| workspace.name.as_str().into()),
            class: class_name(&route.name, workspace_priority).into(),
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            first_ms: route.first_ms,
            gap_ms: route.gap_ms,
            priority: route.priority,
            attempts: route.attempts,
            regions: restrictions(route, workspace),
        })
    }

    /// Returns the route with the longest matching path prefix. Host names are compared case-insensitively and without
    /// a port.
    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let keys = self.hosts.get(&host)?;
        let mut routes = keys.iter().map(|key| &self.configuration.routes[key.0 as usize]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the workspace of an API key. The digest selects the candidate; the comparison that decides takes
    /// constant time.
    fn workspace(&self, key: &str) -> Option<&Workspace> {
        let given = digest(key);
        let (found, workspace) = self.keys.get_key_value(&given)?;
        let same = bool::from(found.ct_eq(&given));
        let workspaces = self.configuration.workspaces.as_deref()?;
        same.then(|| &workspaces[workspace.0 as usize])
    }
}

/// The regions to which a route and a workspace restrict requests.
fn restrictions(route: &Route, workspace: Option<&Workspace>) -> Vec<Arc<[String]>> {
    let of_workspace = workspace.and_then(|workspace| workspace.regions.as_ref());
    route.regions.iter().chain(of_workspace).map(|allowed| allowed.as_slice().into()).collect()
}

fn workspace_keys(workspaces: Option<&[Workspace]>) -> HashMap<[u8; 32], WorkspaceIndex> {
    let mut keys = HashMap::new();
    for (index, workspace) in workspaces.unwrap_or_default().iter().enumerate() {
        for key in &workspace.keys {
            keys.insert(digest(key), WorkspaceIndex(index as u32));
        }
    }
    keys
}

/// Picks the service of a route for a request, by weight and a hash of its ID.
fn pick_service<'a>(route: &'a Route, id: &str) -> &'a str {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut offset = if total == 0 { 0 } else { xxh3_64(id.as_bytes()) % total };
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if offset < weight {
            return &target.service;
        }
        offset -= weight;
    }
    route.targets.first().map_or("", |target| &target.service)
}
