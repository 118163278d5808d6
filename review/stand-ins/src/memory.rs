//! Requests with bodies as long as the configuration allows come at the same time. The platform kills a process whose
//! memory is over its limit, and starts it again.

use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::http::ConnectionAction;
use serde_json::json;

use crate::{
    Verdict,
    client::Request,
    configuration,
    deployment::{Deployment, wait_until},
    model_service,
    record::Record,
    trouble, worker,
};

/// `MaxBodyBytes` of the configuration.
const BODY: usize = 4_194_304;
/// `MemoryMb` of the settings, as kilobytes of 1,024 bytes.
const LIMIT_KB: u64 = 260 * 1_024;
const REQUESTS: usize = 60;
/// How long a client takes to send its request.
const UPLOAD: Duration = Duration::from_millis(3_000);
const BURSTS: usize = 3;
/// Requests at the same time without the burst.
const CALM: usize = 6;

/// The memory of a process in kilobytes; 0 if it is gone.
fn resident_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Sends a request little by little. The status of its answer.
fn upload(request: &Request, to: std::net::SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let bytes = request.bytes();
    let start = Instant::now();
    let parts = bytes.chunks(65_536);
    let pause = UPLOAD / parts.len() as u32;
    for (number, part) in parts.enumerate() {
        thread::sleep((pause * number as u32).saturating_sub(start.elapsed()));
        stream.write_all(part).ok()?;
    }
    stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}

pub fn run(record: &Record) -> Verdict {
    let mut deployment = Deployment::new(record);
    let shared = worker::Shared::new(record);
    let route = json!({
        "Name": "manifest-draft", "Host": crate::HOST, "PathPrefix": "/lohu930/", "RouteType": "streaming",
        "TimeoutMs": 15000, "TargetLatencyMs": 2000, "Priority": 2, "Service": "drafting-llm", "MaxAttempts": 1,
        "Public": false, "Sticky": true, "Resumable": false, "TargetGapMs": 600
    });
    deployment.store.put("keyed.op", "config", &configuration(&[route], &[model_service(48)]));
    for id in ["i-7f3a91c0", "i-7f3a91c1"] {
        worker::start(
            &deployment.store,
            &shared,
            (id, "drafting-llm", "suva-hall"),
            48,
            |context, request, stream| {
                if request.path() == "/health" {
                    return worker::healthy(context, stream);
                }
                let id = worker::attempt(request);
                worker::stream_head(stream, &id, "Transfer-Encoding: chunked\r\n")?;
                worker::chunk(stream, &worker::event(1))?;
                worker::chunk(stream, "")?;
                Ok(ConnectionAction::Keep)
            },
        );
    }
    for (name, zone) in [("edge-1", "suva-hall"), ("edge-2", "nausori-hall")] {
        deployment.start(name, zone);
    }
    if !deployment.wait_ready() {
        return Verdict::NotRun("the instances are not ready".into());
    }
    thread::sleep(Duration::from_millis(3_500));
    let mut kills = [0; 2];
    for burst in 0..BURSTS {
        for number in 0..2 {
            let process = deployment.instances[number].child.id();
            let to = deployment.instances[number].clients;
            let done = Arc::new(AtomicBool::new(false));
            let platform = {
                let (record, done, name) =
                    (record.clone(), done.clone(), deployment.instances[number].name.clone());
                thread::spawn(move || {
                    let mut most = 0;
                    while !done.load(Ordering::Acquire) {
                        let resident = resident_kb(process);
                        most = resident.max(most);
                        if resident > LIMIT_KB {
                            record.line(format!("{name} has {resident} KB in memory, over {LIMIT_KB}: the platform kills it"));
                            let _ = std::process::Command::new("kill")
                                .args(["-s", "KILL", &process.to_string()])
                                .status();
                            return (most, true);
                        }
                        thread::sleep(Duration::from_millis(10));
                    }
                    (most, false)
                })
            };
            let at_once = if trouble() { REQUESTS } else { CALM };
            let mut statuses = Vec::new();
            let ids: Vec<usize> = (0..if trouble() { REQUESTS } else { 2 * CALM }).collect();
            for group in ids.chunks(at_once) {
                let clients: Vec<_> = group
                    .iter()
                    .map(|client| {
                        let id = format!("{:016x}", 0x1000 * (10 * burst + number + 1) + client);
                        thread::spawn(move || {
                            let request = Request::new("POST", "/lohu930/2f", &id, 15_000)
                                .with("Drumusher-Model", "m")
                                .with("Drumusher-Token-Usage", "12000,6")
                                .with(
                                    "Drumusher-Prompt-Prefix",
                                    &format!("5c1e07a2:5382,{id}:6610"),
                                )
                                .with_body(&vec![b'x'; BODY]);
                            upload(&request, to)
                        })
                    })
                    .collect();
                statuses.extend(clients.into_iter().map(|client| client.join().ok().flatten()));
            }
            done.store(true, Ordering::Release);
            let (most, killed) = platform.join().unwrap_or_default();
            let served = statuses.iter().filter(|status| **status == Some(200)).count();
            let none = statuses.iter().filter(|status| status.is_none()).count();
            record.line(format!(
                "{} requests to {}: {served} served, {none} without an answer; at most {most} KB in memory",
                statuses.len(), deployment.instances[number].name
            ));
            if killed {
                kills[number] += 1;
                let _ = deployment.instances[number].child.wait();
                thread::sleep(Duration::from_millis(500));
                deployment.again(number);
                if !wait_until(Duration::from_secs(10), || deployment.instances[number].is_ready())
                {
                    return Verdict::NotRun("an instance does not start again".into());
                }
            }
        }
    }
    if kills.iter().all(|kills| *kills >= 3) {
        return Verdict::Broken(format!(
            "Fault: the processes of both machines went over their memory, {kills:?} times"
        ));
    }
    Verdict::Held
}
