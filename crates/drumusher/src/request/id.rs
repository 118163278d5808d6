//! Request IDs: 128 random bits.

use drumusher_schedule::ask::Id;

/// Generates an ID.
pub fn random() -> Id {
    rand::random()
}

/// Encodes an ID as 16 bytes for messages between instances.
pub fn to_wire(id: Id) -> Vec<u8> {
    id.to_be_bytes().to_vec()
}

/// Decodes an ID; `None` unless there are exactly 16 bytes.
pub fn from_wire(bytes: &[u8]) -> Option<Id> {
    Some(Id::from_be_bytes(bytes.try_into().ok()?))
}

/// Formats an ID as 32 hexadecimal digits, as clients and operators see it.
pub fn to_text(id: Id) -> String {
    format!("{id:032x}")
}

/// Parses an ID in that format.
pub fn from_text(text: &str) -> Option<Id> {
    (text.len() == 32).then(|| Id::from_str_radix(text, 16).ok())?
}
