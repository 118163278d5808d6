//! The configuration state, and the application of a record to it.

use std::collections::{BTreeMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{
    Change, Class, Engine, Field, Kind, Object, Record, Service, Value, Verb, Verdict, Workspace,
};

/// Number of commands remembered, for deduplication and as the audit trail. Limited by count and not by age, so
/// that all instances remember the same ones.
const MAX_COMMANDS: usize = 8_192;

/// An object with the command that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The offset of that command.
    pub version: u64,
    /// The author of that command.
    pub author: String,
    /// The object.
    pub object: T,
}

/// An applied command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Its offset.
    pub offset: u64,
    /// When the platform accepted it, in Unix milliseconds.
    pub time_ms: u64,
    /// Its nonce.
    pub nonce: String,
    /// Name of the operator's key.
    pub author: String,
    /// The requested change.
    pub change: Change,
    /// Its outcome.
    pub verdict: Verdict,
}

/// The configuration after all records before [`State::next`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// The offset of the next record to apply.
    pub next: u64,
    /// Request classes by name.
    pub classes: BTreeMap<String, Versioned<Class>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Versioned<Workspace>>,
    /// Engines by name.
    pub engines: BTreeMap<String, Versioned<Engine>>,
    /// Services by name.
    pub services: BTreeMap<String, Versioned<Service>>,
    /// The latest commands, oldest first.
    pub commands: VecDeque<Command>,
    /// The nonces of those commands; rebuilt after deserialization.
    #[serde(skip)]
    nonces: HashSet<String>,
}

impl PartialEq for State {
    /// Ignores the index of nonces, which follows from the commands.
    fn eq(&self, other: &State) -> bool {
        self.next == other.next
            && self.classes == other.classes
            && self.workspaces == other.workspaces
            && self.engines == other.engines
            && self.services == other.services
            && self.commands == other.commands
    }
}

impl State {
    /// The state before any record.
    pub fn new() -> Self {
        State::default()
    }

    /// The command with `nonce`, if it is remembered.
    pub fn command(&self, nonce: &str) -> Option<&Command> {
        self.commands.iter().rev().find(|command| command.nonce == nonce)
    }

    /// Whether a command with this nonce is remembered.
    fn has_nonce(&mut self, nonce: &str) -> bool {
        if self.nonces.len() != self.commands.len() {
            self.nonces = self.commands.iter().map(|command| command.nonce.clone()).collect();
        }
        self.nonces.contains(nonce)
    }

    /// An object by kind and name.
    pub fn object(&self, kind: Kind, name: &str) -> Option<Versioned<Object>> {
        fn wrap<T: Clone>(v: &Versioned<T>, object: fn(T) -> Object) -> Versioned<Object> {
            let Versioned { version, author, object: inner } = v.clone();
            Versioned { version, author, object: object(inner) }
        }
        match kind {
            Kind::Class => self.classes.get(name).map(|v| wrap(v, Object::Class)),
            Kind::Workspace => self.workspaces.get(name).map(|v| wrap(v, Object::Workspace)),
            Kind::Engine => self.engines.get(name).map(|v| wrap(v, Object::Engine)),
            Kind::Service => self.services.get(name).map(|v| wrap(v, Object::Service)),
        }
    }

    fn insert(&mut self, name: String, version: u64, author: String, object: Object) {
        match object {
            Object::Class(object) => {
                self.classes.insert(name, Versioned { version, author, object });
            }
            Object::Workspace(object) => {
                self.workspaces.insert(name, Versioned { version, author, object });
            }
            Object::Engine(object) => {
                self.engines.insert(name, Versioned { version, author, object });
            }
            Object::Service(object) => {
                self.services.insert(name, Versioned { version, author, object });
            }
        }
    }

    fn remove(&mut self, kind: Kind, name: &str) {
        match kind {
            Kind::Class => drop(self.classes.remove(name)),
            Kind::Workspace => drop(self.workspaces.remove(name)),
            Kind::Engine => drop(self.engines.remove(name)),
            Kind::Service => drop(self.services.remove(name)),
        }
    }
}

/// Applies a record to `state`. Records before [`State::next`] have no effect, so that a record may be applied
/// repeatedly or late; a malformed record is skipped by all instances alike.
///
/// Returns the verdict if the record was a new command.
pub fn apply(state: &mut State, offset: u64, time_ms: u64, body: &[u8]) -> Option<Verdict> {
    if offset < state.next {
        return None;
    }
    state.next = offset + 1;
    let record: Record = serde_json::from_slice(body).ok()?;
    let Record::Command { nonce, author, change } = record else {
        return None;
    };
    if state.has_nonce(&nonce) {
        return None;
    }
    let verdict = match validate(state, &change) {
        Ok(after) => {
            apply_change(state, offset, &author, &change, after);
            Verdict::Accepted
        }
        Err(verdict) => verdict,
    };
    record_command(
        state,
        Command { offset, time_ms, nonce, author, change, verdict: verdict.clone() },
    );
    Some(verdict)
}

/// Validates a change. Returns the changed object, `None` if it is removed, or the verdict that rejects the change.
fn validate(state: &State, change: &Change) -> Result<Option<Object>, Verdict> {
    let before = state.object(change.kind, &change.name);
    check_name(&change.name)?;
    check_version(change, before.as_ref())?;
    let object = match (change.verb, before) {
        (Verb::Create, Some(object)) => return Err(conflict(Some(&object))),
        // A backend server may be known only from the platform's list.
        (Verb::Set, None) if is_platform_listed(change.kind) => default_object(change.kind),
        (Verb::Set | Verb::Drop, None) => return Err(conflict(None)),
        (Verb::Drop, Some(_)) => {
            check_unused(state, change)?;
            return Ok(None);
        }
        (Verb::Create, None) => default_object(change.kind),
        (Verb::Set, Some(versioned)) => versioned.object,
    };
    let object = with_fields(object, &change.fields)?;
    check_references(state, &object)?;
    Ok(Some(object))
}

fn apply_change(
    state: &mut State,
    offset: u64,
    author: &str,
    change: &Change,
    after: Option<Object>,
) {
    match after {
        Some(object) => state.insert(change.name.clone(), offset, author.into(), object),
        None => state.remove(change.kind, &change.name),
    }
}

fn record_command(state: &mut State, command: Command) {
    if state.commands.len() == MAX_COMMANDS {
        let oldest = state.commands.pop_front();
        oldest.map(|oldest| state.nonces.remove(&oldest.nonce));
    }
    state.nonces.insert(command.nonce.clone());
    state.commands.push_back(command);
}

fn invalid(reason: impl Into<String>) -> Verdict {
    Verdict::Invalid { reason: reason.into() }
}

fn conflict(object: Option<&Versioned<Object>>) -> Verdict {
    Verdict::Conflict {
        version: object.map(|object| object.version),
        author: object.map(|object| object.author.clone()),
    }
}

fn check_name(name: &str) -> Result<(), Verdict> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_./:".contains(&b);
    let valid = !name.is_empty() && name.len() <= 128 && name.bytes().all(allowed);
    if valid { Ok(()) } else { Err(invalid(format!("{name:?} is not a name"))) }
}

fn check_version(change: &Change, before: Option<&Versioned<Object>>) -> Result<(), Verdict> {
    let Some(expected) = change.if_version else {
        return Ok(());
    };
    match before {
        Some(object) if object.version == expected => Ok(()),
        other => Err(conflict(other)),
    }
}

fn check_unused(state: &State, change: &Change) -> Result<(), Verdict> {
    if change.kind != Kind::Class {
        return Ok(());
    }
    let mut workspaces = state.workspaces.iter();
    let user = workspaces.find(|(_, w)| w.object.class.as_deref() == Some(&change.name));
    match user {
        Some((name, _)) => Err(invalid(format!("class is the default of workspace {name}"))),
        None => Ok(()),
    }
}

fn check_references(state: &State, object: &Object) -> Result<(), Verdict> {
    let Object::Workspace(Workspace { class: Some(class), .. }) = object else {
        return Ok(());
    };
    if state.classes.contains_key(class) {
        return Ok(());
    }
    Err(invalid(format!("there is no class {class}")))
}

/// Whether objects of a kind may also come from the platform's list.
fn is_platform_listed(kind: Kind) -> bool {
    matches!(kind, Kind::Engine | Kind::Service)
}

fn default_object(kind: Kind) -> Object {
    match kind {
        Kind::Class => Object::Class(Class::default()),
        Kind::Workspace => Object::Workspace(Workspace::default()),
        Kind::Engine => Object::Engine(Engine::default()),
        Kind::Service => Object::Service(Service::default()),
    }
}

fn with_fields(mut object: Object, fields: &BTreeMap<String, Value>) -> Result<Object, Verdict> {
    for (name, value) in fields {
        let set = match &mut object {
            Object::Class(class) => class.set(name, value),
            Object::Workspace(workspace) => workspace.set(name, value),
            Object::Engine(engine) => engine.set(name, value),
            Object::Service(service) => service.set(name, value),
        };
        set.map_err(invalid)?;
    }
    Ok(object)
}
