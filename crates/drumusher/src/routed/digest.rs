//! What tells a request from others when it comes anew.

use drumusher_log::quarantine::Digest;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use super::exchange::Request;

/// Bytes of the hash that are kept: 128 bits, so that no two requests of a deployment share a digest by chance.
const BYTES: usize = 16;

/// The digest of a request: a hash of workspace, method, host, path, query and body, keyed by the fleet's secret so that
/// nobody can make up a request with another's digest. A caller without a workspace is told by its key. What differs from
/// one attempt of a caller to the next, such as the identity and the time left, is not in it.
pub fn of(secret: &str, request: &Request) -> Digest {
    let caller = request.found.workspace.as_deref().or(request.head.key.as_deref());
    let host = request.headers.get("host").map_or(&b""[..], |host| host.as_bytes());
    let mut hash =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("a key may have any length");
    let parts = [
        caller.unwrap_or_default().as_bytes(),
        request.method.as_str().as_bytes(),
        host,
        request.path.as_bytes(),
        &request.body,
    ];
    for part in parts {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let whole = hash.finalize().into_bytes();
    let mut kept = [0; BYTES];
    kept.copy_from_slice(&whole[..BYTES]);
    Digest(u128::from_be_bytes(kept))
}
