//! One record of the configuration stream.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use super::State;

/// What a command is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A request class.
    Class,
    /// A workspace.
    Workspace,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

impl Kind {
    /// Its word in the operators' language.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Class => "class",
            Kind::Workspace => "workspace",
            Kind::Engine => "engine",
            Kind::Service => "service",
        }
    }
}

/// What a command does to its object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verb {
    /// Creates it; a conflict if it is there.
    Create,
    /// Changes some of its fields; an engine or service that only the platform's list has is
    /// created.
    Set,
    /// Removes it.
    Drop,
}

/// The value of a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A truth value.
    Flag(bool),
    /// A number; times are in milliseconds.
    Number(f64),
    /// A text.
    Text(String),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Flag(flag) => write!(f, "{flag}"),
            Value::Number(number) => write!(f, "{number}"),
            Value::Text(text) => write!(f, "{text}"),
        }
    }
}

/// A change to one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// What to do.
    pub verb: Verb,
    /// The kind of object.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// The fields to set.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<String, Value>,
    /// The version of the object that the command was made against.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub if_version: Option<u64>,
}

/// One record: a command, or a snapshot of the state at an earlier offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// An operator's command.
    Command {
        /// Chosen by the sender; a record with a nonce seen before is ignored.
        nonce: String,
        /// Name of the operator key.
        author: String,
        /// What to change.
        change: Change,
    },
    /// The whole state up to an earlier offset.
    Snapshot {
        /// That state.
        state: Box<State>,
    },
}

/// What became of a command. It follows from the log alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// It is in force from its offset on.
    Accepted,
    /// The object is not as the command expected.
    Conflict {
        /// The object's version, if it exists.
        version: Option<u64>,
        /// Who changed it last.
        author: Option<String>,
    },
    /// The command makes no sense.
    Invalid {
        /// Why, naming the field.
        reason: String,
    },
}
