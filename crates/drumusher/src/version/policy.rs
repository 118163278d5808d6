//! One version of the configuration, in the forms that requests and decisions use.

use std::{collections::HashMap, sync::Arc};

use drumusher_log::config::{self, State};
use drumusher_platform::routing::{Configuration, Route};
use drumusher_schedule::{
    policy::{self, ClassKey, Policy, Switches, WorkspaceKey},
    time::MILLISECOND,
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Ranks of routes within one rank of workspaces.
const ROUTE_RANKS: u8 = 16;
/// A request waits at most for this part of the time that its route may hold it, so that it can
/// still run in what is left.
const WAIT_PART: f64 = 0.6;

/// The SHA-256 of a key.
pub fn digest(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

/// One immutable version of the configuration.
#[derive(Debug)]
pub struct Version {
    /// The folded state.
    pub state: Arc<State>,
    /// The same for the decisions.
    pub policy: Arc<Policy>,
    class_keys: HashMap<String, ClassKey>,
    workspace_keys: HashMap<String, WorkspaceKey>,
    api_keys: HashMap<[u8; 32], String>,
}

impl Version {
    /// The version for `state`. Keys of names known to `previous` stay the same, so that requests
    /// that outlive a change keep theirs.
    pub fn new(previous: Option<&Version>, state: State, queue: usize) -> Self {
        let (classes, class_keys) = classes(previous, &state);
        let (workspaces, workspace_keys) = workspaces(previous, &state);
        let mut policy = Policy::new(classes, workspaces);
        policy.queue = queue;
        let api_keys = api_keys(&state);
        Version {
            state: Arc::new(state),
            policy: Arc::new(policy),
            class_keys,
            workspace_keys,
            api_keys,
        }
    }

    /// The version for a configuration of routes: one class for each route and rank of workspaces.
    pub fn from_routes(
        previous: Option<&Version>,
        configuration: &Configuration,
        queue: usize,
    ) -> Self {
        let (classes, class_keys) = route_classes(previous, configuration);
        let (workspaces, workspace_keys) = named_workspaces(previous, configuration);
        let mut policy = Policy::new(classes, workspaces);
        policy.queue = queue;
        policy.switches.windows = false;
        Version {
            state: Arc::new(State::new()),
            policy: Arc::new(policy),
            class_keys,
            workspace_keys,
            api_keys: HashMap::new(),
        }
    }

    /// Decides with these mechanisms.
    pub fn with_switches(mut self, switches: Switches) -> Self {
        let policy = Arc::make_mut(&mut self.policy);
        let windows = switches.windows && policy.switches.windows;
        policy.switches = Switches { windows, ..switches };
        self
    }

    /// The workspace that `key` opens. The digest finds the candidate; the comparison that decides
    /// takes the same time whatever the key.
    pub fn workspace_of(&self, key: &str) -> Option<&str> {
        let given = digest(key);
        let (found, name) = self.api_keys.get_key_value(&given)?;
        bool::from(found.ct_eq(&given)).then_some(name.as_str())
    }

    /// The key of a class name.
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        self.class_keys.get(name).copied()
    }

    /// The key of a workspace name.
    pub fn workspace(&self, name: &str) -> Option<WorkspaceKey> {
        self.workspace_keys.get(name).copied()
    }
}

fn api_keys(state: &State) -> HashMap<[u8; 32], String> {
    let with_key = state.workspaces.iter().filter_map(|(name, workspace)| {
        let mut digest = [0; 32];
        hex::decode_to_slice(workspace.object.key_sha256.as_ref()?, &mut digest).ok()?;
        Some((digest, name.clone()))
    });
    with_key.collect()
}

fn classes(
    previous: Option<&Version>,
    state: &State,
) -> (Vec<policy::Class>, HashMap<String, ClassKey>) {
    let named = state.classes.iter();
    with_classes(previous, named.map(|(name, class)| class_of(name, &class.object)))
}

/// The classes of `previous` and `classes`, which replace those of the same names. There is at least
/// one, so that a request whose class is not known has one.
fn with_classes(
    previous: Option<&Version>,
    classes: impl Iterator<Item = policy::Class>,
) -> (Vec<policy::Class>, HashMap<String, ClassKey>) {
    let mut list = previous.map_or_else(Vec::new, |p| p.policy.classes.clone());
    let mut keys = previous.map_or_else(HashMap::new, |p| p.class_keys.clone());
    for class in classes {
        match keys.get(&class.name) {
            Some(ClassKey(at)) => list[usize::from(*at)] = class,
            None => {
                keys.insert(class.name.clone(), ClassKey(list.len() as u16));
                list.push(class);
            }
        }
    }
    if list.is_empty() {
        list.push(policy::Class::new("none", u8::MAX - 1));
    }
    (list, keys)
}

fn workspaces(
    previous: Option<&Version>,
    state: &State,
) -> (Vec<policy::Workspace>, HashMap<String, WorkspaceKey>) {
    let mut list = previous.map_or_else(Vec::new, |p| p.policy.workspaces.clone());
    let mut keys = previous.map_or_else(HashMap::new, |p| p.workspace_keys.clone());
    for (name, workspace) in &state.workspaces {
        let workspace = workspace_of(name, &workspace.object);
        match keys.get(name) {
            Some(WorkspaceKey(at)) => list[usize::from(*at)] = workspace,
            None => {
                keys.insert(name.clone(), WorkspaceKey(list.len() as u16));
                list.push(workspace);
            }
        }
    }
    (list, keys)
}

fn class_of(name: &str, class: &config::Class) -> policy::Class {
    policy::Class {
        name: name.into(),
        tier: class.tier,
        first_token: class.first_token_ms * MILLISECOND,
        token_gap: class.token_gap_ms * MILLISECOND,
        wait: class.wait_ms * MILLISECOND,
        floor_every: class.floor_every,
        floor_queue: class.floor_queue as usize,
    }
}

fn workspace_of(name: &str, workspace: &config::Workspace) -> policy::Workspace {
    policy::Workspace {
        name: name.into(),
        weight: workspace.weight,
        concurrency: workspace.concurrency,
        tokens_per_second: workspace.tokens_per_second,
        queue: workspace.queue,
    }
}

/// The class of a route's requests from workspaces of a rank.
pub(super) fn class_name(route: &str, rank: u8) -> String {
    format!("{route}/{rank}")
}

fn route_classes(
    previous: Option<&Version>,
    configuration: &Configuration,
) -> (Vec<policy::Class>, HashMap<String, ClassKey>) {
    let workspaces = configuration.workspaces.iter().flatten();
    let mut ranks: Vec<u8> = workspaces.map(|workspace| workspace.priority).chain([0]).collect();
    ranks.sort_unstable();
    ranks.dedup();
    let routes = configuration.routes.iter();
    let of_route = |route| ranks.iter().map(move |rank| route_class(route, *rank));
    with_classes(previous, routes.flat_map(of_route))
}

fn route_class(route: &Route, rank: u8) -> policy::Class {
    let tier = rank.min(ROUTE_RANKS - 1) * ROUTE_RANKS + route.priority.min(ROUTE_RANKS - 1);
    policy::Class {
        first_token: route.first_ms * MILLISECOND,
        token_gap: route.gap_ms * MILLISECOND,
        wait: (route.timeout_ms as f64 * WAIT_PART) as u64 * MILLISECOND,
        ..policy::Class::new(class_name(&route.name, rank), tier)
    }
}

fn named_workspaces(
    previous: Option<&Version>,
    configuration: &Configuration,
) -> (Vec<policy::Workspace>, HashMap<String, WorkspaceKey>) {
    let mut list = previous.map_or_else(Vec::new, |p| p.policy.workspaces.clone());
    let mut keys = previous.map_or_else(HashMap::new, |p| p.workspace_keys.clone());
    for workspace in configuration.workspaces.iter().flatten() {
        if !keys.contains_key(&workspace.name) {
            keys.insert(workspace.name.clone(), WorkspaceKey(list.len() as u16));
            list.push(policy::Workspace::new(workspace.name.as_str()));
        }
    }
    (list, keys)
}
