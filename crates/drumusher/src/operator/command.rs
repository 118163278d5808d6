//! Operator commands. They are appended to the log; folding the log decides whether they are accepted.

use std::{collections::BTreeMap, sync::Arc};

use drumusher_log::{
    config::{Change, Kind, Record, Value, Verb, Verdict},
    quarantine::Digest,
};
use ntex::{
    http::HeaderMap,
    time::{Millis, sleep, timeout},
};
use serde_json::{Value as Json, json};

use super::rows::{self, Row};
use crate::{
    process::{Shared, platform::Input},
    version::digest,
};

/// Header with a nonce, with which an operator can safely repeat a command.
pub const NONCE_HEADER: &str = "Drumusher-Nonce";
/// Maximum wait for the verdict on a command.
const VERDICT_TIMEOUT: Millis = Millis(6_000);
/// Maximum wait until a command is in force at every instance that responds.
const IN_FORCE_TIMEOUT: Millis = Millis(8_000);
/// Interval at which the instances are polled.
const POLL_INTERVAL: Millis = Millis(50);
/// Number of random bytes in a new key.
const KEY_BYTES: usize = 24;

/// Executes a change and returns its verdict.
pub(super) async fn run(
    shared: &Arc<Shared>,
    author: &str,
    change: Change,
    headers: &HeaderMap,
) -> Vec<Row> {
    vec![verdict(shared, author, change, headers).await]
}

/// Gives a workspace a new key. The key is shown once, to the operator who requested it; the log holds only its
/// digest.
pub(super) async fn rotate(
    shared: &Arc<Shared>,
    author: &str,
    workspace: String,
    if_version: Option<u64>,
    headers: &HeaderMap,
) -> Vec<Row> {
    let key = format!("dk_{}", hex::encode(rand::random::<[u8; KEY_BYTES]>()));
    let sha256 = hex::encode(digest(&key));
    let fields = BTreeMap::from([("key_sha256".to_string(), Value::Text(sha256))]);
    let change =
        Change { verb: Verb::Set, kind: Kind::Workspace, name: workspace, fields, if_version };
    let mut row = verdict(shared, author, change, headers).await;
    let refused = matches!(row.get("answer").and_then(Json::as_str), Some("conflict" | "invalid"));
    if !refused {
        row.insert("key".into(), json!(key));
    }
    vec![row]
}

/// Releases a quarantined request. It is released at this instance immediately, and at the others as soon as the store
/// notifies them.
pub(super) fn release(shared: &Arc<Shared>, text: &str) -> Vec<Row> {
    let digest = Digest::parse(text);
    let Some(digest) = digest.filter(|digest| shared.quarantine().clear(*digest)) else {
        return vec![rows::row(json!({"answer": "invalid", "reason": "no such request is known"}))];
    };
    shared.update_held_count();
    let queued = shared.platform.try_send(Input::Quarantine(vec![digest])).is_ok();
    let answer = if queued { "accepted" } else { "unknown" };
    vec![rows::row(json!({"answer": answer, "request": text}))]
}

async fn verdict(shared: &Arc<Shared>, author: &str, change: Change, headers: &HeaderMap) -> Row {
    let requested = headers.get(NONCE_HEADER).and_then(|value| value.to_str().ok());
    let nonce = requested.map_or_else(|| hex::encode(rand::random::<[u8; 12]>()), str::to_string);
    let record = Record::Command { nonce: nonce.clone(), author: author.into(), change };
    let body = serde_json::to_vec(&record).expect("records can be written");
    let (reply, receiver) = async_channel::bounded(1);
    let input = Input::Command { nonce: nonce.clone(), body, reply };
    let sent = shared.platform.try_send(input).is_ok();
    let verdict = if sent { timeout(VERDICT_TIMEOUT, receiver.recv()).await.ok() } else { None };
    match verdict {
        Some(Ok((offset, Verdict::Accepted))) => await_in_force(shared, offset, &nonce).await,
        Some(Ok((offset, Verdict::Conflict { version, author }))) => rows::row(json!({
            "answer": "conflict",
            "offset": offset,
            "version": version,
            "changed_by": author,
            "nonce": nonce,
        })),
        Some(Ok((offset, Verdict::Invalid { reason }))) => rows::row(json!({
            "answer": "invalid",
            "offset": offset,
            "reason": reason,
            "nonce": nonce,
        })),
        Some(Err(_)) | None => rows::row(json!({
            "answer": "unknown",
            "reason": "the log has not shown the command yet; asking again with the nonce is safe",
            "nonce": nonce,
        })),
    }
}

/// Polls until the command is in force at all instances or the timeout elapses.
async fn await_in_force(shared: &Arc<Shared>, offset: u64, nonce: &str) -> Row {
    let counted = timeout(IN_FORCE_TIMEOUT, async {
        loop {
            let counts = count_in_force(shared, offset).await;
            if counts.0 >= counts.1 {
                return counts;
            }
            sleep(POLL_INTERVAL).await;
        }
    });
    let counts = match counted.await {
        Ok(counts) => counts,
        Err(_) => count_in_force(shared, offset).await,
    };
    rows::row(json!({
        "answer": "accepted",
        "offset": offset,
        "in_force": counts.0,
        "instances": counts.1,
        "nonce": nonce,
    }))
}

/// Returns the number of instances that have the record at `offset` in force, and the number of all instances.
async fn count_in_force(shared: &Arc<Shared>, offset: u64) -> (usize, usize) {
    let rows = super::gather(shared, "show instances").await;
    let in_force = rows.iter().filter(|row| {
        let next = row.get("next_offset").and_then(Json::as_u64);
        next.is_some_and(|next| next > offset)
    });
    (in_force.count(), rows.len())
}
