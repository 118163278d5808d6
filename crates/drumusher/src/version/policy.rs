//! One version of the configuration, in the forms used by requests and by the dispatcher.

use std::{collections::HashMap, sync::Arc};

use drumusher_log::config::{self, State};
use drumusher_platform::routing::{Configuration, Route};
use drumusher_schedule::{
    policy::{self, ClassKey, Policy, Switches, WorkspaceKey},
    region,
    time::MILLISECOND,
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::settings::Regions;

/// Number of route priorities within one workspace priority.
const ROUTE_PRIORITIES: u8 = 16;
/// Maximum share of the route's timeout that a request may wait in the queue, so that it can still run in the
/// remaining time.
const MAX_WAIT_SHARE: f64 = 0.6;

/// Returns the SHA-256 digest of a key.
pub fn digest(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

/// One immutable version of the configuration.
#[derive(Debug)]
pub struct Version {
    /// State folded from the configuration log.
    pub state: Arc<State>,
    /// The same as a scheduling policy.
    pub policy: Arc<Policy>,
    class_keys: HashMap<String, ClassKey>,
    workspace_keys: HashMap<String, WorkspaceKey>,
    api_keys: HashMap<[u8; 32], String>,
}

impl Version {
    /// Builds the version for `state`. Names that `previous` knows keep their keys, so that requests that outlive a
    /// change keep theirs.
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

    /// Builds the version for a routing configuration, with one class for each route and workspace priority.
    pub fn from_routes(
        previous: Option<&Version>,
        configuration: &Configuration,
        regions: &Regions,
        queue: usize,
    ) -> Self {
        let (classes, class_keys) = route_classes(previous, configuration, regions);
        let (workspaces, workspace_keys) = named_workspaces(previous, configuration, regions);
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

    /// Sets the scheduling mechanisms to use.
    pub fn with_switches(mut self, switches: Switches) -> Self {
        let policy = Arc::make_mut(&mut self.policy);
        let windows = switches.windows && policy.switches.windows;
        policy.switches = Switches { windows, ..switches };
        self
    }

    /// Returns the workspace of an API key. The digest selects the candidate; the comparison that decides takes
    /// constant time.
    pub fn workspace_of(&self, key: &str) -> Option<&str> {
        let given = digest(key);
        let (found, name) = self.api_keys.get_key_value(&given)?;
        bool::from(found.ct_eq(&given)).then_some(name.as_str())
    }

    /// Returns the key of a class by its name.
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        self.class_keys.get(name).copied()
    }

    /// Returns the key of a workspace by its name.
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
    merge_classes(previous, named.map(|(name, class)| class_policy(name, &class.object)))
}

/// Merges `classes` into those of `previous`, replacing classes of the same name. The result has at least one class,
/// which requests of an unknown class fall back to.
fn merge_classes(
    previous: Option<&Version>,
    classes: impl Iterator<Item = policy::Class>,
) -> (Vec<policy::Class>, HashMap<String, ClassKey>) {
    let mut list = previous.map_or_else(Vec::new, |p| p.policy.classes.clone());
    let mut keys = previous.map_or_else(HashMap::new, |p| p.class_keys.clone());
    for class in classes {
        match keys.get(&class.name) {
            Some(ClassKey(index)) => list[usize::from(*index)] = class,
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
        let workspace = workspace_policy(name, &workspace.object);
        match keys.get(name) {
            Some(WorkspaceKey(index)) => list[usize::from(*index)] = workspace,
            None => {
                keys.insert(name.clone(), WorkspaceKey(list.len() as u16));
                list.push(workspace);
            }
        }
    }
    (list, keys)
}

fn class_policy(name: &str, class: &config::Class) -> policy::Class {
    policy::Class {
        name: name.into(),
        tier: class.tier,
        first_token: class.first_token_ms * MILLISECOND,
        token_gap: class.token_gap_ms * MILLISECOND,
        wait: class.wait_ms * MILLISECOND,
        floor_every: class.floor_every,
        floor_queue: class.floor_queue as usize,
        regions: region::Set::All,
    }
}

fn workspace_policy(name: &str, workspace: &config::Workspace) -> policy::Workspace {
    policy::Workspace {
        name: name.into(),
        weight: workspace.weight,
        concurrency: workspace.concurrency,
        tokens_per_second: workspace.tokens_per_second,
        queue: workspace.queue,
        regions: region::Set::All,
    }
}

/// Returns the name of the class for a route's requests from workspaces of priority `rank`.
pub(super) fn class_name(route: &str, rank: u8) -> String {
    format!("{route}/{rank}")
}

fn route_classes(
    previous: Option<&Version>,
    configuration: &Configuration,
    regions: &Regions,
) -> (Vec<policy::Class>, HashMap<String, ClassKey>) {
    let workspaces = configuration.workspaces.iter().flatten();
    let mut priorities: Vec<u8> =
        workspaces.map(|workspace| workspace.priority).chain([0]).collect();
    priorities.sort_unstable();
    priorities.dedup();
    let routes = configuration.routes.iter();
    let classes_of_route = |route| {
        let class = move |workspace_priority: &u8| route_class(route, regions, *workspace_priority);
        priorities.iter().map(class)
    };
    merge_classes(previous, routes.flat_map(classes_of_route))
}

fn route_class(route: &Route, regions: &Regions, workspace_priority: u8) -> policy::Class {
    let tier = workspace_priority.min(ROUTE_PRIORITIES - 1) * ROUTE_PRIORITIES
        + route.priority.min(ROUTE_PRIORITIES - 1);
    policy::Class {
        first_token: route.first_ms * MILLISECOND,
        token_gap: route.gap_ms * MILLISECOND,
        regions: regions.set(route.regions.as_deref()),
        wait: (route.timeout_ms as f64 * MAX_WAIT_SHARE) as u64 * MILLISECOND,
        ..policy::Class::new(class_name(&route.name, workspace_priority), tier)
    }
}

fn named_workspaces(
    previous: Option<&Version>,
    configuration: &Configuration,
    regions: &Regions,
) -> (Vec<policy::Workspace>, HashMap<String, WorkspaceKey>) {
    let mut list = previous.map_or_else(Vec::new, |p| p.policy.workspaces.clone());
    let mut keys = previous.map_or_else(HashMap::new, |p| p.workspace_keys.clone());
    for workspace in configuration.workspaces.iter().flatten() {
        let named = policy::Workspace {
            regions: regions.set(workspace.regions.as_deref()),
            ..policy::Workspace::new(workspace.name.as_str())
        };
        match keys.get(&workspace.name) {
            Some(WorkspaceKey(index)) => list[usize::from(*index)] = named,
            None => {
                keys.insert(workspace.name.clone(), WorkspaceKey(list.len() as u16));
                list.push(named);
            }
        }
    }
    (list, keys)
}
