//! An instance is stopped while requests that it has read wait for a worker.

use std::{
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::http::ConnectionAction;
use serde_json::json;

use crate::{
    Verdict,
    client::{Answer, Request},
    configuration,
    deployment::{Deployment, wait_until},
    model_service,
    record::Record,
    trouble, worker,
};

const SLOTS: usize = 4;
const WORKERS: usize = 2;
/// Requests beyond the slots of all workers.
const BEYOND: usize = 6;
const EVENT_MS: u64 = 150;
/// Events of the streams that take the slots: ten seconds and a half.
const LONG: u64 = 70;
const SHORT: u64 = 4;
const GRACE: Duration = Duration::from_secs(8);

fn request(id: &str, path: &str, events: u64, deadline_ms: u64) -> Request {
    Request::new("POST", path, id, deadline_ms)
        .with("Drumusher-Model", "m")
        .with("Drumusher-Token-Usage", &format!("1460,{}", events * 6))
        .with("Drumusher-Length-Hint", &format!("{}", events * 6))
        .with("Drumusher-Prompt-Prefix", &format!("5c1e07a2:800,91bd3f06:410,{id}:250"))
        .with_body(b"draft")
}

pub fn run(record: &Record) -> Verdict {
    let mut deployment = Deployment::new(record);
    let shared = worker::Shared::new(record);
    let route = json!({
        "Name": "manifest-draft", "Host": crate::HOST, "PathPrefix": "/lohu930/", "RouteType": "streaming",
        "TimeoutMs": 15000, "TargetLatencyMs": 2000, "Priority": 2, "Service": "drafting-llm", "MaxAttempts": 1,
        "Public": false, "Sticky": true, "Resumable": false, "TargetGapMs": 600
    });
    deployment.store.put("keyed.op", "config", &configuration(&[route], &[model_service(SLOTS)]));
    for number in 0..WORKERS {
        let name = (&*format!("i-7f3a91c{number}"), "drafting-llm", "suva-hall");
        worker::start(&deployment.store, &shared, name, SLOTS, |context, request, stream| {
            if request.path() == "/health" {
                return worker::healthy(context, stream);
            }
            let id = worker::attempt(request);
            let Some(_slot) = context.take_slot() else { return worker::shed(stream, &id) };
            context.begin(&id);
            let usage = request.header("drumusher-token-usage").unwrap_or("0,6");
            let events =
                usage.split_once(',').and_then(|(_, out)| out.parse::<u64>().ok()).unwrap_or(6) / 6;
            worker::stream_head(stream, &id, "Transfer-Encoding: chunked\r\n")?;
            for number in 1..=events {
                thread::sleep(Duration::from_millis(EVENT_MS));
                worker::chunk(stream, &worker::event(number))?;
            }
            worker::chunk(stream, "")?;
            Ok(ConnectionAction::Keep)
        });
    }
    for (name, zone) in
        [("edge-1", "suva-hall"), ("edge-2", "nausori-hall"), ("edge-3", "lautoka-hall")]
    {
        deployment.start(name, zone);
    }
    if !deployment.wait_ready() {
        return Verdict::NotRun("the instances are not ready".into());
    }
    // Calm for ContactMs, with a few short requests.
    for number in 0..6 {
        let id = format!("{:016x}", 0xa000 + number);
        let answer =
            request(&id, "/lohu930/2f", 2, 3_000).send(deployment.instances[number % 3].clients);
        record
            .line(format!("warm-up {id}: {}", answer.map_or_else(|e| e.to_string(), |a| a.text())));
    }
    thread::sleep(Duration::from_millis(3_500));
    let long: Vec<_> = (0..SLOTS * WORKERS)
        .map(|number| {
            let to = deployment.instances[1 + number % 2].clients;
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("{:016x}", 0xb000 + number);
                let answer = request(&id, "/lohu930/2f", LONG, 15_000).send(to);
                record.line(format!(
                    "long {id}: {}",
                    answer.map_or_else(|e| e.to_string(), |a| a.text())
                ));
            })
        })
        .collect();
    let running = wait_until(Duration::from_secs(5), || {
        (0..SLOTS * WORKERS)
            .all(|number| !shared.runs(&format!("{:016x}", 0xb000 + number)).is_empty())
    });
    if !running {
        return Verdict::NotRun("the workers are not full".into());
    }
    thread::sleep(Duration::from_millis(500));
    let (sender, receiver) = mpsc::channel::<(String, Option<Answer>, Instant)>();
    let to = deployment.instances[0].clients;
    for number in 0..BEYOND {
        let (sender, record) = (sender.clone(), record.clone());
        thread::spawn(move || {
            let id = format!("{:016x}", 0xc000 + number);
            record.line(format!("client sends {id} to edge-1"));
            let answer = request(&id, "/lohu930/2f", SHORT, 15_000).send(to).ok();
            let text = answer.as_ref().map_or("no connection".into(), Answer::text);
            record.line(format!("client of {id}: {text}"));
            let _ = sender.send((id, answer, Instant::now()));
        });
    }
    drop(sender);
    thread::sleep(Duration::from_millis(500));
    let stopped = trouble().then(|| {
        deployment.signal(0, "TERM");
        Instant::now()
    });
    let mut lost = Vec::new();
    let mut ended = 0;
    for (id, answer, at) in receiver {
        ended += 1;
        let whole = answer.as_ref().is_some_and(|answer| answer.whole);
        let lasted = answer.map_or(Duration::ZERO, |answer| answer.lasted);
        let in_span = stopped.is_none_or(|stopped| at < stopped + GRACE + Duration::from_secs(1));
        let arrivals = shared.arrivals(&id).len();
        if !whole
            && in_span
            && arrivals == 0
            && lasted > Duration::from_millis(200)
            && lasted < Duration::from_secs(14)
        {
            lost.push(id);
        }
    }
    if stopped.is_some() {
        let ends = wait_until(Duration::from_secs(4), || {
            deployment.instances[0].child.try_wait().is_ok_and(|status| status.is_some())
        });
        record.line(format!("edge-1 ended: {ends}"));
    }
    long.into_iter().for_each(|client| drop(client.join()));
    record.line(format!("{ended} requests ended, {} without an answer", lost.len()));
    if ended < BEYOND {
        return Verdict::NotRun("not all requests ended".into());
    }
    match lost.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!(
            "LOST: {count} of {BEYOND} requests that edge-1 had read, and no worker had, got no answer: {}",
            lost.join(", ")
        )),
    }
}
