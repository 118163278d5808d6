//! The objects that operators configure, and setting their fields by name.

use serde::{Deserialize, Serialize};

use super::Value;

/// Setting a field of an object by its name in the operators' language.
pub trait Field {
    /// Sets the field `name`.
    ///
    /// # Errors
    ///
    /// A message that names the field and the values it accepts.
    fn set(&mut self, name: &str, value: &Value) -> Result<(), String>;
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Priority; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    pub token_gap_ms: u64,
    /// Longest wait before a refusal, in milliseconds.
    pub wait_ms: u64,
    /// One of this many tokens is reserved for the class; 0 for none.
    pub floor_every: u32,
    /// Number of queue slots reserved for the class.
    pub floor_queue: u32,
    /// Whether its requests may be run more than once.
    pub repeatable: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            tier: 1,
            first_token_ms: 1_500,
            token_gap_ms: 45,
            wait_ms: 30_000,
            floor_every: 32,
            floor_queue: 8,
            repeatable: true,
        }
    }
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Fair-share weight relative to the other workspaces.
    pub weight: f64,
    /// Default class of its requests.
    pub class: Option<String>,
    /// Most concurrently running requests in a pool; 0 for no limit.
    pub concurrency: u32,
    /// Most queued requests in a pool; 0 for no limit.
    pub queue: u32,
    /// Rate limit in tokens per second in a pool; 0 for no limit.
    pub tokens_per_second: u32,
    /// SHA-256 of its API key, in hexadecimal.
    pub key_sha256: Option<String>,
}

impl Default for Workspace {
    fn default() -> Self {
        Workspace {
            weight: 1.0,
            class: None,
            concurrency: 0,
            queue: 0,
            tokens_per_second: 0,
            key_sha256: None,
        }
    }
}

/// A model engine, with what the platform's list lacks or leaves open.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// `ip:port`, if the platform's list does not have it.
    pub address: Option<String>,
    /// Its availability zone, if the platform's list does not have it.
    pub availability_zone: Option<String>,
    /// The model it serves, if the platform's list does not have it.
    pub model: Option<String>,
    /// Most concurrent requests.
    pub slots: u32,
    /// Whether it gets no new requests.
    pub drained: bool,
}

impl Default for Engine {
    fn default() -> Self {
        Engine { address: None, availability_zone: None, model: None, slots: 64, drained: false }
    }
}

/// A plain service: all its servers together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Most concurrent requests on one of its servers.
    pub slots: u32,
    /// Whether its calls may be run more than once.
    pub repeatable: bool,
    /// Whether it gets no new requests.
    pub drained: bool,
    /// Longest wait for an answer, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for Service {
    fn default() -> Self {
        Service { slots: 32, repeatable: false, drained: false, timeout_ms: 30_000 }
    }
}

/// An object of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Object {
    /// A class.
    Class(Class),
    /// A workspace.
    Workspace(Workspace),
    /// An engine.
    Engine(Engine),
    /// A service.
    Service(Service),
}

impl Field for Class {
    fn set(&mut self, name: &str, value: &Value) -> Result<(), String> {
        match name {
            "tier" => self.tier = integer(name, value, 15)? as u8,
            "first_token" => self.first_token_ms = integer(name, value, MAX_MS)?,
            "token_gap" => self.token_gap_ms = integer(name, value, MAX_MS)?,
            "wait" => self.wait_ms = integer(name, value, MAX_MS)?,
            "floor_every" => self.floor_every = integer(name, value, MAX_COUNT)? as u32,
            "floor_queue" => self.floor_queue = integer(name, value, MAX_COUNT)? as u32,
            "repeatable" => self.repeatable = boolean(name, value)?,
            _ => return Err(unknown_field(name, "class")),
        }
        Ok(())
    }
}

impl Field for Workspace {
    fn set(&mut self, name: &str, value: &Value) -> Result<(), String> {
        match name {
            "weight" => self.weight = positive(name, value)?,
            "class" => self.class = Some(string(name, value)?),
            "concurrency" => self.concurrency = integer(name, value, MAX_COUNT)? as u32,
            "queue" => self.queue = integer(name, value, MAX_COUNT)? as u32,
            "tokens_per_second" => self.tokens_per_second = integer(name, value, MAX_COUNT)? as u32,
            "key_sha256" => self.key_sha256 = Some(digest(name, value)?),
            _ => return Err(unknown_field(name, "workspace")),
        }
        Ok(())
    }
}

impl Field for Engine {
    fn set(&mut self, name: &str, value: &Value) -> Result<(), String> {
        match name {
            "address" => self.address = Some(address(name, value)?),
            "availability_zone" => self.availability_zone = Some(string(name, value)?),
            "model" => self.model = Some(string(name, value)?),
            "slots" => self.slots = integer(name, value, MAX_COUNT)?.max(1) as u32,
            "drained" => self.drained = boolean(name, value)?,
            _ => return Err(unknown_field(name, "engine")),
        }
        Ok(())
    }
}

impl Field for Service {
    fn set(&mut self, name: &str, value: &Value) -> Result<(), String> {
        match name {
            "slots" => self.slots = integer(name, value, MAX_COUNT)?.max(1) as u32,
            "repeatable" => self.repeatable = boolean(name, value)?,
            "drained" => self.drained = boolean(name, value)?,
            "timeout" => self.timeout_ms = integer(name, value, MAX_MS)?,
            _ => return Err(unknown_field(name, "service")),
        }
        Ok(())
    }
}

/// The longest time a field accepts: a day, in milliseconds.
const MAX_MS: u64 = 86_400_000;
/// The largest count a field accepts.
const MAX_COUNT: u64 = 1_000_000;

fn unknown_field(name: &str, kind: &str) -> String {
    format!("a {kind} has no field {name}")
}

fn integer(name: &str, value: &Value, limit: u64) -> Result<u64, String> {
    match value {
        Value::Number(n) if n.fract() == 0.0 && *n >= 0.0 && *n <= limit as f64 => Ok(*n as u64),
        other => Err(format!("{name} takes a whole number from 0 to {limit}, not {other}")),
    }
}

fn positive(name: &str, value: &Value) -> Result<f64, String> {
    match value {
        Value::Number(n) if *n > 0.0 && *n <= MAX_COUNT as f64 => Ok(*n),
        other => Err(format!("{name} takes a number above 0, not {other}")),
    }
}

fn boolean(name: &str, value: &Value) -> Result<bool, String> {
    match value {
        Value::Flag(flag) => Ok(*flag),
        other => Err(format!("{name} takes true or false, not {other}")),
    }
}

fn string(name: &str, value: &Value) -> Result<String, String> {
    match value {
        Value::Text(text) => Ok(text.clone()),
        other => Err(format!("{name} takes a word, not {other}")),
    }
}

fn digest(name: &str, value: &Value) -> Result<String, String> {
    let text = string(name, value)?;
    let valid = text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !valid {
        return Err(format!("{name} takes 64 hexadecimal digits"));
    }
    Ok(text.to_ascii_lowercase())
}

fn address(name: &str, value: &Value) -> Result<String, String> {
    let text = string(name, value)?;
    match text.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(text),
        Err(_) => Err(format!("{name} takes ip:port, not {text}")),
    }
}
