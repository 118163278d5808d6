//! Workers crash one after the other. Some of them send streams in chunks, the others without a length.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use drumusher_adapter_stand_in::http::ConnectionAction;
use serde_json::json;

use crate::{
    Verdict, client::Request, configuration, deployment::Deployment, model_service, record::Record,
    trouble, worker,
};

/// Events of a whole stream: four seconds.
const EVENTS: u64 = 100;
const EVENT: Duration = Duration::from_millis(40);
const STREAMS: usize = 48;
/// Workers, in the order of their crashes. The first and the third send chunks.
const WORKERS: [&str; 4] = ["i-7f3a91c0", "i-7f3a91c1", "i-7f3a91c2", "i-7f3a91c3"];

pub fn run(record: &Record) -> Verdict {
    let mut deployment = Deployment::new(record);
    let shared = worker::Shared::new(record);
    let route = json!({
        "Name": "mobility-summary", "Host": crate::HOST, "PathPrefix": "/pufi791/", "RouteType": "streaming",
        "TimeoutMs": 12000, "TargetLatencyMs": 250, "Priority": 0, "Service": "drafting-llm", "MaxAttempts": 2,
        "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": 150
    });
    deployment.store.put("keyed.op", "config", &configuration(&[route], &[model_service(48)]));
    let crashed: Vec<Arc<AtomicBool>> = WORKERS.iter().map(|_| Arc::default()).collect();
    for (number, id) in WORKERS.into_iter().enumerate() {
        let is_framed = number.is_multiple_of(2);
        let is_down = crashed[number].clone();
        let name = (id, "drafting-llm", if is_framed { "suva-hall" } else { "nausori-hall" });
        worker::start(&deployment.store, &shared, name, 48, move |context, request, stream| {
            if is_down.load(Ordering::Acquire) {
                return Ok(ConnectionAction::Reset);
            }
            if request.path() == "/health" {
                return worker::healthy(context, stream);
            }
            let id = worker::attempt(request);
            context.begin(&id);
            let last = worker::last_event(request);
            worker::stream_head(
                stream,
                &id,
                if is_framed { "Transfer-Encoding: chunked\r\n" } else { "" },
            )?;
            for number in last + 1..=EVENTS {
                thread::sleep(EVENT);
                let event = worker::event(number);
                let ends = is_down.load(Ordering::Acquire);
                let bytes = if ends { &event[..event.len() / 2] } else { &event };
                match is_framed {
                    true => worker::chunk(stream, bytes)?,
                    false => stream.write_all(bytes.as_bytes())?,
                }
                if ends {
                    context.line(format!("crashes partway through event {number} of {id}"));
                    return Ok(ConnectionAction::Close);
                }
            }
            if !is_framed {
                return Ok(ConnectionAction::Close);
            }
            worker::chunk(stream, "")?;
            Ok(ConnectionAction::Keep)
        });
    }
    for (name, zone) in [("edge-1", "suva-hall"), ("edge-2", "nausori-hall")] {
        deployment.start(name, zone);
    }
    if !deployment.wait_ready() {
        return Verdict::NotRun("the instances are not ready".into());
    }
    thread::sleep(Duration::from_millis(3_500));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (to, record) = (deployment.instances[number % 2].clients, record.clone());
            thread::spawn(move || {
                let id = format!("{:016x}", 0xd00 + number);
                let request = Request::new("POST", "/pufi791/2f", &id, 12_000)
                    .with("Drumusher-Model", "m")
                    .with("Drumusher-Token-Usage", "828,600")
                    .with("Drumusher-Prompt-Prefix", &format!("{id}:828"))
                    .with_body(b"summarise");
                let answer = request.send(to).ok()?;
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let end = text[text.len().saturating_sub(24)..].to_string();
                record.line(format!("client of {id}: {}, ends with {end:?}", answer.text()));
                let whole: String = (1..=EVENTS).map(worker::event).collect();
                let is_false = answer.whole && answer.status == Some(200) && text != whole;
                Some((id, is_false))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    for (id, is_down) in WORKERS.iter().zip(&crashed).take(2).filter(|_| trouble()) {
        record.line(format!("worker {id} crashes"));
        is_down.store(true, Ordering::Release);
        thread::sleep(Duration::from_millis(1_200));
    }
    let ended: Vec<Option<(String, bool)>> =
        clients.into_iter().map(|client| client.join().ok().flatten()).collect();
    if ended.iter().any(Option::is_none) {
        return Verdict::NotRun("a client got no connection".into());
    }
    let broken: Vec<String> =
        ended.into_iter().flatten().filter(|(_, is_false)| *is_false).map(|(id, _)| id).collect();
    if broken.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "ORDER: {} streams ended as complete before their last piece: {}",
        broken.len(),
        broken.join(", ")
    ))
}
