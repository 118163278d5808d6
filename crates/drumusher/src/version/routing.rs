//! One version of the routes in force, in the form that requests use.

use std::{collections::HashMap, sync::Arc};

use drumusher_platform::routing::{Configuration, Kind, Limits, Route, Workspace};
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::xxh3_64;

use super::{digest, policy::class_name};

/// A route's place in its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RouteKey(u32);

/// A workspace's place in its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WorkspaceKey(u32);

/// Why a caller is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route for the host and path.
    NoRoute,
    /// The route needs a key, and the caller's is missing or not known.
    NoKey,
}

/// What the configuration says about one request.
#[derive(Clone, Debug)]
pub struct Match {
    /// The version that said so.
    pub version: u64,
    /// The route's name.
    pub route: Arc<str>,
    /// The service that the request goes to.
    pub service: Arc<str>,
    /// Whether the service's backend servers are engines.
    pub engine: bool,
    /// The workspace; `None` on a public route without a known key.
    pub workspace: Option<Arc<str>>,
    /// The class in the dispatcher's policy: the route at the workspace's rank.
    pub class: Arc<str>,
    /// What may be done with the request.
    pub kind: Kind,
    /// Longest time to hold it, in milliseconds.
    pub timeout_ms: u64,
    /// Target for its answer or first event, in milliseconds.
    pub first_ms: u64,
    /// Target for the pause between events, in milliseconds; 0 for none.
    pub gap_ms: u64,
    /// The route's rank; 0 is the highest.
    pub priority: u8,
    /// Most backend servers it may be sent to.
    pub attempts: u32,
}

/// One immutable version.
#[derive(Debug)]
pub struct Routing {
    /// As the operators wrote it.
    pub configuration: Configuration,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<RouteKey>>,
    keys: HashMap<[u8; 32], WorkspaceKey>,
    engines: HashMap<String, bool>,
}

impl Routing {
    /// Builds the lookups of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<RouteKey>> = HashMap::new();
        for (at, route) in configuration.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(RouteKey(at as u32));
        }
        for keys in hosts.values_mut() {
            keys.sort_by_key(|key| {
                std::cmp::Reverse(configuration.routes[key.0 as usize].prefix.len())
            });
        }
        let engines = configuration.services.iter().map(|s| (s.name.clone(), s.engine)).collect();
        let keys = workspace_keys(configuration.workspaces.as_deref());
        Routing { hosts, keys, engines, configuration }
    }

    /// Its number.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Whether the backend servers of a service are engines.
    pub fn is_engine(&self, service: &str) -> bool {
        self.engines.get(service).copied().unwrap_or(false)
    }

    /// Bounds on callers.
    pub fn limits(&self) -> Limits {
        self.configuration.limits
    }

    /// Finds the route, the workspace and the service of a request. `id` draws the service where
    /// the route has several, so that the same request always goes to the same one.
    ///
    /// # Errors
    ///
    /// [`Denial`].
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
        let service = draw(route, id);
        let rank = workspace.map_or(0, |workspace| workspace.priority);
        Ok(Match {
            version: self.version(),
            route: route.name.as_str().into(),
            service: service.into(),
            engine: self.is_engine(service),
            workspace: workspace.map(|workspace| workspace.name.as_str().into()),
            class: class_name(&route.name, rank).into(),
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            first_ms: route.first_ms,
            gap_ms: route.gap_ms,
            priority: route.priority,
            attempts: route.attempts,
        })
    }

    /// The route with the longest prefix of the path. Host names have no case, and a port that the
    /// caller adds is not part of them.
    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let keys = self.hosts.get(&host)?;
        let mut routes = keys.iter().map(|key| &self.configuration.routes[key.0 as usize]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// The workspace of a key. The digest finds the candidate; the comparison that decides takes
    /// the same time whatever the key.
    fn workspace(&self, key: &str) -> Option<&Workspace> {
        let given = digest(key);
        let (found, workspace) = self.keys.get_key_value(&given)?;
        let same = bool::from(found.ct_eq(&given));
        let workspaces = self.configuration.workspaces.as_deref()?;
        same.then(|| &workspaces[workspace.0 as usize])
    }
}

fn workspace_keys(workspaces: Option<&[Workspace]>) -> HashMap<[u8; 32], WorkspaceKey> {
    let mut keys = HashMap::new();
    for (at, workspace) in workspaces.unwrap_or_default().iter().enumerate() {
        for key in &workspace.keys {
            keys.insert(digest(key), WorkspaceKey(at as u32));
        }
    }
    keys
}

/// The service of a route that a request goes to, by weight.
fn draw<'a>(route: &'a Route, id: &str) -> &'a str {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut place = if total == 0 { 0 } else { xxh3_64(id.as_bytes()) % total };
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if place < weight {
            return &target.service;
        }
        place -= weight;
    }
    route.targets.first().map_or("", |target| &target.service)
}
