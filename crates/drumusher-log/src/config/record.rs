//! Records of the configuration stream.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use super::State;

/// The kind of object that a command changes.
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
    /// Its keyword in the operators' language.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Class => "class",
            Kind::Workspace => "workspace",
            Kind::Engine => "engine",
            Kind::Service => "service",
        }
    }
}

/// The operation of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verb {
    /// Creates the object; a conflict if it exists.
    Create,
    /// Changes some fields of the object. An engine or service that is known only from the platform's list is
    /// created.
    Set,
    /// Removes the object.
    Drop,
}

/// The value of a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A boolean.
    Flag(bool),
    /// A number; times are in milliseconds.
    Number(f64),
    /// A string.
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

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The operation.
    pub verb: Verb,
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object.
    pub name: String,
    /// The fields to set.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<String, Value>,
    /// The version of the object that the command expects.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub if_version: Option<u64>,
}

/// A record: a command, or a snapshot of the state at an earlier offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// An operator's command.
    Command {
        /// Chosen by the sender; a record with a known nonce is ignored.
        nonce: String,
        /// Name of the operator's key.
        author: String,
        /// The requested change.
        change: Change,
    },
    /// The whole state up to an earlier offset.
    Snapshot {
        /// The state.
        state: Box<State>,
    },
}

/// Outcome of a command, which depends only on the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// In force from the command's offset on.
    Accepted,
    /// The object is not in the state that the command expects.
    Conflict {
        /// The object's version, if it exists.
        version: Option<u64>,
        /// Who last changed the object.
        author: Option<String>,
    },
    /// The command is invalid.
    Invalid {
        /// Why; names the field.
        reason: String,
    },
}
