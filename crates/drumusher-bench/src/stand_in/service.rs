//! Stand-in for a plain service that records every call it executed.

use std::{cell::RefCell, rc::Rc};

use ntex::{
    time::{Millis, sleep},
    util::Bytes,
    web::{self, HttpRequest, HttpResponse, types},
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Routes, apply_switches, merge_switches};

/// Behaviour of the service and the faults it injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Switches {
    /// Duration of a call, in milliseconds.
    pub delay_ms: u64,
    /// Number of bytes with which each response is padded.
    pub pad_bytes: usize,
    /// Executes each call and then closes the connection before the response is complete.
    pub lose_answers: bool,
}

/// A call that was executed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// Request ID; empty if the call had none.
    pub request: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Path.
    pub path: String,
    /// Body.
    pub body: String,
}

#[derive(Clone, Default)]
struct State {
    switches: Rc<RefCell<Switches>>,
    calls: Rc<RefCell<Vec<Call>>>,
}

/// Returns the HTTP routes of a plain service.
pub fn routes() -> Routes {
    let state = State::default();
    Box::new(move |config: &mut web::ServiceConfig| {
        config
            .state(state)
            .route("/calls", web::get().to(calls))
            .route("/switch", web::post().to(update_switches))
            .route("/{path}*", web::route().to(run));
    })
}

async fn update_switches(state: types::State<State>, body: Bytes) -> HttpResponse {
    let switches = merge_switches(&*state.switches.borrow(), &body);
    apply_switches(switches, |switches| *state.switches.borrow_mut() = switches)
}

async fn calls(state: types::State<State>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.calls.borrow())
}

async fn run(request: HttpRequest, state: types::State<State>, body: Bytes) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers().get(name)?.to_str().ok()?;
        Some(value.to_string())
    };
    let call = Call {
        request: header("x-request-id").unwrap_or_default(),
        key: header("idempotency-key"),
        path: request.path().to_string(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let number = {
        let mut calls = state.calls.borrow_mut();
        calls.push(call.clone());
        calls.len()
    };
    let switches = state.switches.borrow().clone();
    if switches.delay_ms > 0 {
        sleep(Millis(switches.delay_ms as u32)).await;
    }
    if switches.lose_answers {
        return aborted();
    }
    let mut response = HttpResponse::Ok();
    response.set_header("X-Request-Id", call.request.as_str());
    let padding = ".".repeat(switches.pad_bytes);
    response.json(&json!({"ran": number, "path": call.path, "body": call.body, "pad": padding}))
}

/// A response whose body is aborted before its end.
fn aborted() -> HttpResponse {
    let (sender, receiver) = ntex::channel::mpsc::channel::<Result<Bytes, std::io::Error>>();
    let _ = sender.send(Ok(Bytes::from_static(b"{")));
    let _ = sender.send(Err(std::io::Error::other("lost")));
    HttpResponse::Ok().streaming(receiver)
}
