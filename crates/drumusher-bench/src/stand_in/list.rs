//! Stand-in for the platform's member list of instances and backend servers, with stale answers and outages.

use std::{
    cell::RefCell,
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use drumusher_platform::clock;
use ntex::{
    util::Bytes,
    web::{self, HttpRequest, HttpResponse, types},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::{Routes, apply_switches, merge_switches, unavailable};

/// Behaviour of the member list and the faults it injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Switches {
    /// Answers queries with status 503.
    pub down: bool,
    /// Staleness of its answers, in milliseconds.
    pub lag_ms: u64,
}

/// Versions of the list, each with the time at which it was set, oldest first.
type Versions = VecDeque<(Instant, Vec<Value>)>;

#[derive(Clone, Default)]
struct State {
    switches: Rc<RefCell<Switches>>,
    versions: Rc<RefCell<Versions>>,
}

/// Maximum number of versions kept for stale answers.
const MAX_VERSIONS: usize = 64;

/// Returns the HTTP routes of the member list.
pub fn routes() -> Routes {
    let state = State::default();
    Box::new(move |config: &mut web::ServiceConfig| {
        config
            .state(state)
            .route("/members", web::get().to(members))
            .route("/members", web::put().to(replace))
            .route("/switch", web::post().to(update_switches));
    })
}

async fn update_switches(state: types::State<State>, body: Bytes) -> HttpResponse {
    let switches = merge_switches(&*state.switches.borrow(), &body);
    apply_switches(switches, |switches| *state.switches.borrow_mut() = switches)
}

/// Replaces the whole list with a JSON array of members.
async fn replace(state: types::State<State>, body: Bytes) -> HttpResponse {
    let Ok(members) = serde_json::from_slice::<Vec<Value>>(&body) else {
        return HttpResponse::BadRequest().body("the body must be a JSON array of members\n");
    };
    let mut versions = state.versions.borrow_mut();
    if versions.len() == MAX_VERSIONS {
        versions.pop_front();
    }
    versions.push_back((Instant::now(), members));
    HttpResponse::Ok().body("replaced\n")
}

async fn members(request: HttpRequest, state: types::State<State>) -> HttpResponse {
    let switches = state.switches.borrow().clone();
    if switches.down {
        return unavailable();
    }
    let versions = state.versions.borrow();
    let lag = Duration::from_millis(switches.lag_ms);
    let current = versions.iter().rev().find(|(at, _)| at.elapsed() >= lag);
    let members = current.map(|(_, members)| members.clone()).unwrap_or_default();
    let zone = request.query_string().strip_prefix("availability_zone=").map(str::to_string);
    let in_zone = |member: &Value| {
        zone.as_deref().is_none_or(|zone| member["availability_zone"].as_str() == Some(zone))
    };
    let members: Vec<Value> = members.into_iter().filter(in_zone).collect();
    HttpResponse::Ok().json(&json!({"as_of_ms": clock::unix_ms(), "members": members}))
}
