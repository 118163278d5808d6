//! Helpers shared by the tests.

use std::collections::BTreeMap;

use drumusher_log::config::{Change, Kind, Record, Value, Verb};

/// The serialized record of a command.
pub fn command(nonce: &str, change: Change) -> Vec<u8> {
    let record = Record::Command { nonce: nonce.into(), author: "desk".into(), change };
    serde_json::to_vec(&record).expect("records can be written")
}

/// A change to a class's wait.
pub fn class(verb: Verb, name: &str, wait: f64, if_version: Option<u64>) -> Change {
    let fields = match verb {
        Verb::Drop => BTreeMap::new(),
        _ => BTreeMap::from([("wait".to_string(), Value::Number(wait))]),
    };
    Change { verb, kind: Kind::Class, name: name.into(), fields, if_version }
}
