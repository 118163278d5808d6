//! Commands: appended to the log, judged by the fold.

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

/// The header by which an operator asks again with the same nonce.
pub const NONCE_HEADER: &str = "Drumusher-Nonce";
/// Longest wait for a command's verdict.
const VERDICT: Millis = Millis(6_000);
/// Longest wait until a command is in force at every instance that answers.
const IN_FORCE: Millis = Millis(8_000);
/// Time between two looks at the instances.
const LOOK: Millis = Millis(50);
/// Random bytes in a new key.
const KEY_BYTES: usize = 24;

/// Runs a change to its verdict.
pub(super) async fn run(
    shared: &Arc<Shared>,
    author: &str,
    change: Change,
    headers: &HeaderMap,
) -> Vec<Row> {
    vec![verdict(shared, author, change, headers).await]
}

/// Gives a workspace a new key, told once to the operator who asked; the log has only its digest.
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

/// Lets a request go that ended backend servers. It is free here at once, and at the other instances as soon as the store
/// tells them.
pub(super) fn release(shared: &Arc<Shared>, text: &str) -> Vec<Row> {
    let digest = Digest::parse(text);
    let Some(digest) = digest.filter(|digest| shared.quarantine().clear(*digest)) else {
        return vec![rows::row(json!({"answer": "invalid", "reason": "no such request is known"}))];
    };
    shared.update_held_count();
    let told = shared.platform.try_send(Input::Quarantine(vec![digest])).is_ok();
    let answer = if told { "accepted" } else { "unknown" };
    vec![rows::row(json!({"answer": answer, "request": text}))]
}

async fn verdict(shared: &Arc<Shared>, author: &str, change: Change, headers: &HeaderMap) -> Row {
    let asked = headers.get(NONCE_HEADER).and_then(|value| value.to_str().ok());
    let nonce = asked.map_or_else(|| hex::encode(rand::random::<[u8; 12]>()), str::to_string);
    let record = Record::Command { nonce: nonce.clone(), author: author.into(), change };
    let body = serde_json::to_vec(&record).expect("records can be written");
    let (reply, answer) = async_channel::bounded(1);
    let input = Input::Command { nonce: nonce.clone(), body, reply };
    let sent = shared.platform.try_send(input).is_ok();
    let verdict = if sent { timeout(VERDICT, answer.recv()).await.ok() } else { None };
    match verdict {
        Some(Ok((offset, Verdict::Accepted))) => accepted(shared, offset, &nonce).await,
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

/// Looks until the command is in force at all instances, or long enough.
async fn accepted(shared: &Arc<Shared>, offset: u64, nonce: &str) -> Row {
    let counted = timeout(IN_FORCE, async {
        loop {
            let counts = count(shared, offset).await;
            if counts.0 >= counts.1 {
                return counts;
            }
            sleep(LOOK).await;
        }
    });
    let counts = match counted.await {
        Ok(counts) => counts,
        Err(_) => count(shared, offset).await,
    };
    rows::row(json!({
        "answer": "accepted",
        "offset": offset,
        "in_force": counts.0,
        "instances": counts.1,
        "nonce": nonce,
    }))
}

/// How many instances have the record at `offset` in force, and how many there are.
async fn count(shared: &Arc<Shared>, offset: u64) -> (usize, usize) {
    let rows = super::gather(shared, "show instances").await;
    let in_force = rows.iter().filter(|row| {
        let next = row.get("next_offset").and_then(Json::as_u64);
        next.is_some_and(|next| next > offset)
    });
    (in_force.count(), rows.len())
}
