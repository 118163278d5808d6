//! Reading the keys of a settings file one by one, with all faults.

use std::{collections::BTreeMap, net::SocketAddr};

use drumusher_schedule::policy::Switches;
use toml::Value;

use super::{Fault, Settings, is_name};

/// Takes keys one by one and collects faults; what is left at the end is unknown.
///
/// After a fault some value stands in, so that reading goes on to the next one.
pub(super) struct Reader {
    left: BTreeMap<String, Value>,
    faults: Vec<Fault>,
}

impl Reader {
    pub(super) fn new(table: toml::Table) -> Self {
        let mut left = BTreeMap::new();
        flatten("", table, &mut left);
        Reader { left, faults: Vec::new() }
    }

    /// The settings, unless there was a fault or a key that nobody took.
    pub(super) fn finish(mut self, settings: Settings) -> Result<Settings, Vec<Fault>> {
        let unknown: Vec<String> = self.left.keys().cloned().collect();
        for key in unknown {
            self.fault(&key, "unknown key");
        }
        if self.faults.is_empty() { Ok(settings) } else { Err(self.faults) }
    }

    fn fault(&mut self, key: &str, reason: impl Into<String>) {
        self.faults.push(Fault { key: key.into(), reason: reason.into() });
    }

    /// A text, if the key is there.
    fn text(&mut self, key: &str) -> Option<String> {
        match self.left.remove(key) {
            None => None,
            Some(Value::String(text)) => Some(text),
            Some(_) => {
                self.fault(key, "takes a text");
                None
            }
        }
    }

    /// A text that must be there.
    fn required(&mut self, key: &str) -> String {
        let present = self.left.contains_key(key);
        let text = self.text(key);
        if !present {
            self.fault(key, "is missing");
        }
        text.unwrap_or_default()
    }

    /// A name that must be there: letters, digits, '-', '_' and '.'.
    pub(super) fn name(&mut self, key: &str) -> String {
        let text = self.required(key);
        if !text.is_empty() && !is_name(&text) {
            self.fault(key, "takes letters, digits, '-', '_' and '.'");
        }
        text
    }

    /// A name, if the key is there.
    pub(super) fn optional_name(&mut self, key: &str) -> Option<String> {
        self.left.contains_key(key).then(|| self.name(key))
    }

    /// An address, if the key is there.
    pub(super) fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        self.left.contains_key(key).then(|| self.address(key))
    }

    /// An address that is required unless something else takes its place.
    pub(super) fn address_unless(&mut self, key: &str, replaced: bool) -> SocketAddr {
        if replaced && !self.left.contains_key(key) {
            return SocketAddr::from(([0, 0, 0, 0], 0));
        }
        self.address(key)
    }

    /// A number with or without a fraction.
    pub(super) fn number(&mut self, key: &str, default: f64, least: f64, most: f64) -> f64 {
        let value = match self.left.remove(key) {
            None => return default,
            Some(Value::Integer(value)) => value as f64,
            Some(Value::Float(value)) => value,
            Some(_) => {
                self.fault(key, "takes a number");
                return default;
            }
        };
        if !(least..=most).contains(&value) {
            self.fault(key, format!("takes a number from {least} to {most}"));
            return default;
        }
        value
    }

    /// An address that must be there; an unusable one stands in after a fault.
    pub(super) fn address(&mut self, key: &str) -> SocketAddr {
        let text = self.required(key);
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                self.fault(key, "takes ip:port");
            }
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// The items of a list, none unless the key is there; `takes` says what it should be.
    fn list(&mut self, key: &str, takes: &str) -> Vec<Value> {
        match self.left.remove(key) {
            None => Vec::new(),
            Some(Value::Array(items)) => items,
            Some(_) => {
                self.fault(key, takes);
                Vec::new()
            }
        }
    }

    /// A list of addresses, empty unless the key is there.
    pub(super) fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let items = self.list(key, "takes a list of ip:port");
        let parsed: Vec<Option<SocketAddr>> =
            items.iter().map(|item| item.as_str()?.parse().ok()).collect();
        if parsed.iter().any(Option::is_none) {
            self.fault(key, "takes a list of ip:port");
        }
        parsed.into_iter().flatten().collect()
    }

    /// A list of names, empty unless the key is there.
    pub(super) fn names(&mut self, key: &str) -> Vec<String> {
        let items = self.list(key, "takes a list of names");
        let names: Vec<Option<String>> =
            items.iter().map(|item| item.as_str().map(String::from)).collect();
        if names.iter().any(Option::is_none) {
            self.fault(key, "takes a list of names");
        }
        names.into_iter().flatten().collect()
    }

    /// True or false.
    pub(super) fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.left.remove(key) {
            None => default,
            Some(Value::Boolean(value)) => value,
            Some(_) => {
                self.fault(key, "takes true or false");
                default
            }
        }
    }

    /// The mechanisms of the decisions less those in a list of names.
    pub(super) fn switches(&mut self, key: &str) -> Switches {
        let mut switches = Switches::default();
        for name in self.list(key, "takes a list of names") {
            let known = name.as_str().is_some_and(|name| switches.turn_off(name).is_ok());
            if !known {
                let all = Switches::NAMES.join(", ");
                self.fault(key, format!("takes names of {all}, not {name}"));
            }
        }
        switches
    }

    /// A whole number within bounds.
    pub(super) fn count(&mut self, key: &str, default: u64, least: u64, most: u64) -> u64 {
        let value = match self.left.remove(key) {
            None => return default,
            Some(Value::Integer(value)) => value,
            Some(_) => {
                self.fault(key, "takes a whole number");
                return default;
            }
        };
        match u64::try_from(value) {
            Ok(value) if (least..=most).contains(&value) => value,
            _ => {
                self.fault(key, format!("takes a whole number from {least} to {most}"));
                default
            }
        }
    }

    /// A number from 0 to 1.
    pub(super) fn share(&mut self, key: &str, default: f64) -> f64 {
        match self.left.remove(key) {
            None => default,
            Some(Value::Float(value)) if (0.0..=1.0).contains(&value) => value,
            Some(_) => {
                self.fault(key, "takes a number from 0.0 to 1.0");
                default
            }
        }
    }

    /// A secret that must be there, of at least 16 characters.
    pub(super) fn secret(&mut self, key: &str) -> String {
        let text = self.required(key);
        if !text.is_empty() && text.len() < 16 {
            self.fault(key, "takes at least 16 characters");
        }
        text
    }

    /// The digests of operators' keys by operator, one key of the settings each.
    pub(super) fn operators(&mut self, key: &str) -> BTreeMap<String, String> {
        let prefix = format!("{key}.");
        let keys: Vec<String> =
            self.left.keys().filter(|k| k.starts_with(&prefix)).cloned().collect();
        let mut operators = BTreeMap::new();
        for key in keys {
            let digest = self.text(&key).unwrap_or_default().to_ascii_lowercase();
            let valid = digest.len() == 64 && hex::decode(&digest).is_ok();
            if !valid {
                self.fault(&key, "takes the SHA-256 of a key in 64 hexadecimal digits");
            }
            operators.insert(key[prefix.len()..].to_string(), digest);
        }
        operators
    }

    /// A level of log lines.
    pub(super) fn level(&mut self, key: &str) -> String {
        let text = self.text(key).unwrap_or_else(|| "info".into());
        if text.parse::<log::LevelFilter>().is_err() {
            self.fault(key, "takes off, error, warn, info, debug or trace");
        }
        text
    }

    /// A URL, if the key is there.
    pub(super) fn url(&mut self, key: &str) -> Option<String> {
        let text = self.text(key)?;
        if !text.starts_with("http://") {
            self.fault(key, "takes a URL that begins with http://");
        }
        Some(text)
    }
}

/// Enters the values of a table and of those inside it by their dotted keys.
fn flatten(prefix: &str, table: toml::Table, left: &mut BTreeMap<String, Value>) {
    for (key, value) in table {
        let key = if prefix.is_empty() { key } else { format!("{prefix}.{key}") };
        match value {
            Value::Table(inner) => flatten(&key, inner, left),
            value => {
                left.insert(key, value);
            }
        }
    }
}
