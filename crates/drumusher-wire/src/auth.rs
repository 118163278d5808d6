//! Mutual authentication with the fleet secret: each side sends an HMAC-SHA256 over the other side's nonce.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// The side of a connection that authenticates. Part of the authenticated data, so that one side's proof
/// cannot be replayed as the other's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Connecting,
    /// The side that accepted the connection.
    Accepting,
}

/// Computes the proof of `instance` on `side` for the other side's `nonce`.
pub fn proof(secret: &[u8], side: Side, nonce: &[u8], instance: &str) -> Vec<u8> {
    mac(secret, side, nonce, instance).finalize().into_bytes().to_vec()
}

/// Whether `proof` is valid; compares in constant time.
pub fn verify(secret: &[u8], side: Side, nonce: &[u8], instance: &str, proof: &[u8]) -> bool {
    mac(secret, side, nonce, instance).verify_slice(proof).is_ok()
}

fn mac(secret: &[u8], side: Side, nonce: &[u8], instance: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts keys of any length");
    let label: &[u8] = match side {
        Side::Connecting => b"drumusher connecting",
        Side::Accepting => b"drumusher accepting",
    };
    mac.update(label);
    mac.update(&[0]);
    mac.update(nonce);
    mac.update(&[0]);
    mac.update(instance.as_bytes());
    mac
}
