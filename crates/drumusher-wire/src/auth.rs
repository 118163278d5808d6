//! Proof of knowing the fleet secret, by HMAC-SHA256 over the other side's nonce.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// Which side of a connection proves itself. Keeps one side's proof from serving as the other's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that connected.
    Connecting,
    /// The side that accepted.
    Accepting,
}

/// The proof that `instance` on `side` gives for `nonce`.
pub fn proof(secret: &[u8], side: Side, nonce: &[u8], instance: &str) -> Vec<u8> {
    mac(secret, side, nonce, instance).finalize().into_bytes().to_vec()
}

/// Whether `proof` is right, compared in constant time.
pub fn verify(secret: &[u8], side: Side, nonce: &[u8], instance: &str, proof: &[u8]) -> bool {
    mac(secret, side, nonce, instance).verify_slice(proof).is_ok()
}

fn mac(secret: &[u8], side: Side, nonce: &[u8], instance: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length is taken");
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
