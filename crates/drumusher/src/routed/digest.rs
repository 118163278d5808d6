//! Digest that recognises a request when a client submits it again.

use drumusher_log::quarantine::Digest;
use drumusher_schedule::ask::Part;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use super::exchange::Request;
use crate::process::streams;

/// Digest length in bytes. 128 bits are enough that no two requests of a deployment collide by chance.
const DIGEST_BYTES: usize = 16;

/// The parts of a prompt that other requests may share. The last one is a request's own.
pub fn shared_parts(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Computes the digest of a part of a prompt in a workspace, under which crashes of backend servers are recorded.
pub fn of_part(secret: &str, workspace: &str, part: u64) -> Digest {
    hash(secret, &[b"part", workspace.as_bytes(), &part.to_be_bytes()])
}

/// Computes the key of a stream from the workspace and the caller's attempt that began it. It is keyed, so that nobody
/// can name the stream of another workspace.
pub fn of_stream(secret: &str, workspace: &str, attempt: &str) -> streams::Key {
    let digest = hash(secret, &[b"stream", workspace.as_bytes(), attempt.as_bytes()]);
    streams::Key(digest.0 as u64)
}

/// Computes the digest of a request: an HMAC over workspace, method, host, path with query, and body, keyed by the
/// fleet secret so that nobody can craft a request with the digest of another one. A client without a workspace is
/// identified by its API key. Values that differ between submissions, such as the request ID and the remaining time,
/// are left out.
pub fn compute(secret: &str, request: &Request) -> Digest {
    let client = request.route_match.workspace.as_deref().or(request.head.key.as_deref());
    let host = request.headers.get("host").map_or(&b""[..], |host| host.as_bytes());
    let parts = [
        client.unwrap_or_default().as_bytes(),
        request.method.as_str().as_bytes(),
        host,
        request.path.as_bytes(),
        &request.body,
    ];
    hash(secret, &parts)
}

fn hash(secret: &str, parts: &[&[u8]]) -> Digest {
    let mut hash =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("a key may have any length");
    for part in parts {
        hash.update(&(part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let full = hash.finalize().into_bytes();
    let mut truncated = [0; DIGEST_BYTES];
    truncated.copy_from_slice(&full[..DIGEST_BYTES]);
    Digest(u128::from_be_bytes(truncated))
}
