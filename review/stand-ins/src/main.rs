//! Stand-ins and clients of the review's scripts: `review-stand-ins CASE RECORD`, run in the root of the project. With
//! `TROUBLE=0` in the environment a case does the same without the disruption.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod client;
mod deployment;
mod memory;
mod record;
mod stop;
mod surplus;
mod template;
mod unframed;
mod watchdog;
mod worker;

use std::{path::Path, process::ExitCode};

use record::Record;
use serde_json::{Value, json};

/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A configuration with these routes and services.
pub fn configuration(routes: &[Value], services: &[Value]) -> String {
    json!({
        "Version": 7, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}]
    })
    .to_string()
}

/// The booking desk's service.
pub fn desk_service() -> Value {
    json!({"Name": "booking-api", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false})
}

/// The model workers' service.
pub fn model_service(slots: usize) -> Value {
    json!({
        "Name": "drafting-llm", "HealthPath": "/health", "MaxConns": 310, "Protocol": "h1", "Tls": false,
        "Engine": {
            "Slots": slots, "KvCapacityTokens": 532839, "KvBytes": 163840, "LinkMbps": 260000.0, "Moves": true,
            "Backups": true, "Stride": 6, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleTtlS": 5.0,
            "Models": [{"Name": "m"}]
        }
    })
}

/// The route of confirmations, as the sheet has it.
pub fn confirm_route(attempts: u32) -> Value {
    json!({
        "Name": "booking-confirm", "Host": HOST, "PathPrefix": "/puxa403/", "RouteType": "non_idempotent",
        "TimeoutMs": 2000, "TargetLatencyMs": 300, "Priority": 2, "Service": "booking-api",
        "MaxAttempts": attempts, "Public": false
    })
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new(Path::new(path));
    watchdog::start();
    record.line(format!("case {case}, trouble: {}", trouble()));
    let verdict = match case.as_str() {
        "stop" => stop::run(&record),
        "late-refusal" => surplus::refusal_of_probe(&record),
        "repeated-refusal" => surplus::refusal_of_same_request(&record),
        "unframed" => unframed::run(&record),
        "memory" => memory::run(&record),
        _ => Verdict::NotRun("no such case".into()),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_string(), 0),
        Verdict::Broken(why) => (format!("the rule was broken: {why}"), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
