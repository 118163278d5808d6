//! Crashes of servers that one request alone explains.

use drumusher::process::dispatch::LoneRequests;
use drumusher_log::quarantine::Digest;
use drumusher_wire::peer::Crash;

fn crash(server: &str) -> (bool, Crash) {
    let (id, digest) = (vec![0; 16], vec![0; 16]);
    let (pool, server) = ("service/m".into(), server.into());
    (false, Crash::new(id, pool, digest, server, None, None, "a".into(), "r".into(), None))
}

/// A request that is sent again and again is no evidence against a part that its prompt shares with others.
#[test]
fn crashes_of_one_request_are_no_evidence_against_its_parts() {
    let mut requests = LoneRequests::default();
    let (part, request, other) = (Digest(1), Digest(2), Digest(3));
    for server in ["s1", "s2", "s3"] {
        assert!(requests.add(part, request, crash(server)).is_empty());
    }
    let evidence = requests.add(part, other, crash("s4"));
    let servers: Vec<&str> = evidence.iter().map(|(_, crash)| crash.server.as_str()).collect();
    assert_eq!(servers, ["s1", "s2", "s3", "s4"], "a second request makes all of them count");
    assert_eq!(requests.add(part, request, crash("s5")).len(), 1);
    requests.answered(part);
    assert!(requests.is_empty());
}
