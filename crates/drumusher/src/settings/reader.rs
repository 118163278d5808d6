//! Reads a settings file key by key and collects all errors.

use std::{collections::BTreeMap, net::SocketAddr};

use drumusher_schedule::policy::Switches;
use toml::Value;

use super::{Error, Settings, is_name};

/// Takes keys one by one and collects errors. Keys that remain at the end are unknown.
///
/// After an error, a placeholder value is returned, so that reading continues with the next key.
pub(super) struct Reader {
    remaining: BTreeMap<String, Value>,
    errors: Vec<Error>,
}

impl Reader {
    pub(super) fn new(table: toml::Table) -> Self {
        let mut remaining = BTreeMap::new();
        flatten("", table, &mut remaining);
        Reader { remaining, errors: Vec::new() }
    }

    /// Returns the settings, unless there was an error or a key that was not read.
    pub(super) fn finish(mut self, settings: Settings) -> Result<Settings, Vec<Error>> {
        let unknown: Vec<String> = self.remaining.keys().cloned().collect();
        for key in unknown {
            self.error(&key, "unknown key");
        }
        if self.errors.is_empty() { Ok(settings) } else { Err(self.errors) }
    }

    fn error(&mut self, key: &str, reason: impl Into<String>) {
        self.errors.push(Error { key: key.into(), reason: reason.into() });
    }

    /// Reads an optional string.
    fn text(&mut self, key: &str) -> Option<String> {
        match self.remaining.remove(key) {
            None => None,
            Some(Value::String(text)) => Some(text),
            Some(_) => {
                self.error(key, "takes a text");
                None
            }
        }
    }

    /// Reads a required string.
    fn required(&mut self, key: &str) -> String {
        let present = self.remaining.contains_key(key);
        let text = self.text(key);
        if !present {
            self.error(key, "is missing");
        }
        text.unwrap_or_default()
    }

    /// Reads a required name: letters, digits, '-', '_' and '.'.
    pub(super) fn name(&mut self, key: &str) -> String {
        let text = self.required(key);
        if !text.is_empty() && !is_name(&text) {
            self.error(key, "takes letters, digits, '-', '_' and '.'");
        }
        text
    }

    /// Reads an optional name.
    pub(super) fn optional_name(&mut self, key: &str) -> Option<String> {
        self.remaining.contains_key(key).then(|| self.name(key))
    }

    /// Reads an optional address.
    pub(super) fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        self.remaining.contains_key(key).then(|| self.address(key))
    }

    /// Reads an address that is required unless `replaced` is set, which means that another setting takes its place.
    pub(super) fn address_unless(&mut self, key: &str, replaced: bool) -> SocketAddr {
        if replaced && !self.remaining.contains_key(key) {
            return SocketAddr::from(([0, 0, 0, 0], 0));
        }
        self.address(key)
    }

    /// Reads a number, with or without a fraction.
    pub(super) fn number(&mut self, key: &str, default: f64, min: f64, max: f64) -> f64 {
        let value = match self.remaining.remove(key) {
            None => return default,
            Some(Value::Integer(value)) => value as f64,
            Some(Value::Float(value)) => value,
            Some(_) => {
                self.error(key, "takes a number");
                return default;
            }
        };
        if !(min..=max).contains(&value) {
            self.error(key, format!("takes a number from {min} to {max}"));
            return default;
        }
        value
    }

    /// Reads a required address; after an error, an unspecified address is returned.
    pub(super) fn address(&mut self, key: &str) -> SocketAddr {
        let text = self.required(key);
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                self.error(key, "takes ip:port");
            }
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Reads an optional list, empty by default; `takes` is the error message if the value is no list.
    fn list(&mut self, key: &str, takes: &str) -> Vec<Value> {
        match self.remaining.remove(key) {
            None => Vec::new(),
            Some(Value::Array(items)) => items,
            Some(_) => {
                self.error(key, takes);
                Vec::new()
            }
        }
    }

    /// Reads an optional list of addresses, empty by default.
    pub(super) fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let items = self.list(key, "takes a list of ip:port");
        let parsed: Vec<Option<SocketAddr>> =
            items.iter().map(|item| item.as_str()?.parse().ok()).collect();
        if parsed.iter().any(Option::is_none) {
            self.error(key, "takes a list of ip:port");
        }
        parsed.into_iter().flatten().collect()
    }

    /// Reads an optional list of names, empty by default.
    pub(super) fn names(&mut self, key: &str) -> Vec<String> {
        let items = self.list(key, "takes a list of names");
        let names: Vec<Option<String>> =
            items.iter().map(|item| item.as_str().map(String::from)).collect();
        if names.iter().any(Option::is_none) {
            self.error(key, "takes a list of names");
        }
        names.into_iter().flatten().collect()
    }

    /// Reads a boolean.
    pub(super) fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.remaining.remove(key) {
            None => default,
            Some(Value::Boolean(value)) => value,
            Some(_) => {
                self.error(key, "takes true or false");
                default
            }
        }
    }

    /// Reads the scheduling mechanisms: all except those in a list of names.
    pub(super) fn switches(&mut self, key: &str) -> Switches {
        let mut switches = Switches::default();
        for name in self.list(key, "takes a list of names") {
            let known = name.as_str().is_some_and(|name| switches.turn_off(name).is_ok());
            if !known {
                let all = Switches::NAMES.join(", ");
                self.error(key, format!("takes names of {all}, not {name}"));
            }
        }
        switches
    }

    /// Reads an integer within bounds.
    pub(super) fn count(&mut self, key: &str, default: u64, min: u64, max: u64) -> u64 {
        let value = match self.remaining.remove(key) {
            None => return default,
            Some(Value::Integer(value)) => value,
            Some(_) => {
                self.error(key, "takes a whole number");
                return default;
            }
        };
        match u64::try_from(value) {
            Ok(value) if (min..=max).contains(&value) => value,
            _ => {
                self.error(key, format!("takes a whole number from {min} to {max}"));
                default
            }
        }
    }

    /// Reads a number from 0 to 1.
    pub(super) fn share(&mut self, key: &str, default: f64) -> f64 {
        match self.remaining.remove(key) {
            None => default,
            Some(Value::Float(value)) if (0.0..=1.0).contains(&value) => value,
            Some(_) => {
                self.error(key, "takes a number from 0.0 to 1.0");
                default
            }
        }
    }

    /// Reads a required secret of at least 16 characters.
    pub(super) fn secret(&mut self, key: &str) -> String {
        let text = self.required(key);
        if !text.is_empty() && text.len() < 16 {
            self.error(key, "takes at least 16 characters");
        }
        text
    }

    /// Reads the key digests of operators; each operator has a settings key of its own.
    pub(super) fn operators(&mut self, key: &str) -> BTreeMap<String, String> {
        let prefix = format!("{key}.");
        let keys: Vec<String> =
            self.remaining.keys().filter(|k| k.starts_with(&prefix)).cloned().collect();
        let mut operators = BTreeMap::new();
        for key in keys {
            let digest = self.text(&key).unwrap_or_default().to_ascii_lowercase();
            let valid = digest.len() == 64 && hex::decode(&digest).is_ok();
            if !valid {
                self.error(&key, "takes the SHA-256 of a key in 64 hexadecimal digits");
            }
            operators.insert(key[prefix.len()..].to_string(), digest);
        }
        operators
    }

    /// Reads a table whose values are names.
    pub(super) fn names_by_key(&mut self, key: &str) -> BTreeMap<String, String> {
        let prefix = format!("{key}.");
        let keys: Vec<String> =
            self.remaining.keys().filter(|k| k.starts_with(&prefix)).cloned().collect();
        keys.iter().map(|key| (key[prefix.len()..].to_string(), self.name(key))).collect()
    }

    /// Reads a log level.
    pub(super) fn level(&mut self, key: &str) -> String {
        let text = self.text(key).unwrap_or_else(|| "info".into());
        if text.parse::<log::LevelFilter>().is_err() {
            self.error(key, "takes off, error, warn, info, debug or trace");
        }
        text
    }

    /// Reads an optional URL.
    pub(super) fn url(&mut self, key: &str) -> Option<String> {
        let text = self.text(key)?;
        if !text.starts_with("http://") {
            self.error(key, "takes a URL that begins with http://");
        }
        Some(text)
    }
}

/// Flattens a table and its nested tables into values by dotted key.
fn flatten(prefix: &str, table: toml::Table, remaining: &mut BTreeMap<String, Value>) {
    for (key, value) in table {
        let key = if prefix.is_empty() { key } else { format!("{prefix}.{key}") };
        match value {
            Value::Table(inner) => flatten(&key, inner, remaining),
            value => {
                remaining.insert(key, value);
            }
        }
    }
}
