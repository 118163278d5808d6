//! Costs at several sizes that a single process can measure.

use std::{collections::BTreeMap, hint::black_box, sync::Arc, time::Instant};

use drumusher_log::{
    claim,
    config::{Change, Kind, Record, State, Value, Verb, apply},
};
use drumusher_schedule::{
    ask::{Ask, Entry, Id, Outcome},
    event::{Event, Progress},
    policy::{Class, ClassKey, Policy, Workspace, WorkspaceKey},
    pool::Pool,
    server,
};
use drumusher_wire::{
    frame,
    peer::{self, Message},
};

use super::{memory::Held, size};

/// A cost measured at three or more sizes.
#[derive(Clone, Debug)]
pub struct Slope {
    /// Name of the cost.
    pub name: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Measured points: size and cost.
    pub points: Vec<(f64, f64)>,
    /// Size in the design, at which the cost is extrapolated.
    pub target: f64,
    /// Item that the size counts.
    pub item: &'static str,
}

impl Slope {
    /// Formats the slope of the least-squares line as cost per item.
    pub fn per_item(&self) -> String {
        let (slope, _) = self.line();
        format!("{slope:.6} per {}", self.item)
    }

    /// Formats the value of the least-squares line at the design size.
    pub fn at_target(&self) -> String {
        let (slope, base) = self.line();
        format!("{:.3} at {:.0}", base + slope * self.target, self.target)
    }

    /// Slope and intercept of the least-squares line.
    fn line(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = self.points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        (slope, mean_y - slope * mean_x)
    }
}

/// Measures all costs.
pub fn measure() -> Vec<Slope> {
    vec![
        decisions_by_waiting(),
        decisions_by_servers(),
        progress(),
        memory(
            Held::Waiting,
            "dispatcher: memory of waiting requests",
            "waiting request",
            10_000.0,
        ),
        apply_time(),
        memory(
            Held::Commands,
            "configuration follower: memory of the state",
            "command remembered (at most 8,192)",
            8_192.0,
        ),
        snapshot(),
        claim_time(),
        memory(Held::Claims, "claim index: memory", "claim (100 a second for an hour)", 360_000.0),
        wire(),
    ]
}

/// Cost at each size: the minimum of three runs, to reduce the influence of other processes on the machine.
fn best(sizes: &[usize], mut cost: impl FnMut(usize) -> f64) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    for size in sizes {
        let runs = (0..3).map(|_| cost(*size));
        points.push((*size as f64, runs.fold(f64::INFINITY, f64::min)));
    }
    points
}

fn memory(held: Held, name: &'static str, item: &'static str, target: f64) -> Slope {
    let sizes = held.sizes();
    let points = sizes.map(|size| (size as f64, held.measure_in_process(size).unwrap_or(f64::NAN)));
    Slope { name, unit: "kB", points: points.to_vec(), target, item }
}

/// A pool with the given backend servers, without shedding and without the initial period in which a dispatcher
/// neither refuses nor preempts.
pub(super) fn pool(servers: u16, slots: u32) -> Pool {
    let classes = (0..4).map(|tier| Class::new(format!("class-{tier}"), tier)).collect();
    let workspaces = (0..770).map(|number| Workspace::new(format!("w{number}"))).collect();
    let mut policy = Policy::new(classes, workspaces);
    policy.queue = 1_000_000;
    policy.settle = 0;
    policy.switches.shedding = false;
    let mut pool = Pool::new(Arc::new(policy), 0);
    for key in 0..servers {
        let options = server::Options { slots, first_slots: slots, ..server::Options::default() };
        pool.handle(0, Event::Server(server::Key(key), options), &mut Vec::new());
    }
    pool
}

/// A request whose properties vary with its ID.
pub(super) fn ask(id: Id) -> Ask {
    Ask {
        id,
        entry: Entry((id % 360) as u32),
        class: ClassKey((id % 4) as u16),
        workspace: WorkspaceKey((id % 770) as u16),
        arrived: 1_000_000 + id as u64,
        prompt: 400,
        prefix: 1 + id as u64 % 500,
        produced: 0,
        repeatable: true,
        preemptions: 2,
        avoid: None,
        migrated: false,
        anti_affinity: Vec::new(),
        versions: drumusher_schedule::version::Set::All,
        deadline: None,
        output: 0,
        parts: Vec::new(),
    }
}

/// Microseconds to handle a request's ask, grant and finish while `waiting` other requests wait.
fn decision(servers: u16, waiting: usize) -> f64 {
    const ROUNDS: u128 = 20_000;
    let slots = 16;
    let mut pool = pool(servers, slots);
    let mut orders = Vec::new();
    let capacity = u128::from(servers) * u128::from(slots);
    let now = 2_000_000;
    for id in 0..capacity + waiting as u128 {
        pool.handle(now, Event::Ask(ask(id)), &mut orders);
    }
    let mut running: Vec<Id> = pool.iter_running().map(|running| running.ask.id).collect();
    orders.clear();
    let since = Instant::now();
    for round in 0..ROUNDS {
        let at = (round as usize * 7) % running.len();
        pool.handle(now, Event::Finish(running[at], Outcome::Done, 100), &mut orders);
        for order in orders.drain(..) {
            if let drumusher_schedule::order::Order::Grant { id, .. } = order {
                running[at] = id;
            }
        }
        let id = capacity + waiting as u128 + round;
        pool.handle(now, Event::Ask(ask(id)), &mut orders);
        orders.clear();
    }
    black_box(&pool);
    since.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}

fn decisions_by_waiting() -> Slope {
    Slope {
        name: "dispatcher: ask, grant and finish with 100 servers",
        unit: "µs",
        points: best(&[100, 1_000, 10_000], |waiting| decision(100, waiting)),
        target: 10_000.0,
        item: "waiting request",
    }
}

fn decisions_by_servers() -> Slope {
    Slope {
        name: "dispatcher: ask, grant and finish with 1,000 waiting",
        unit: "µs",
        points: best(&[10, 50, 200], |servers| decision(servers as u16, 1_000)),
        target: size::SERVERS / size::ZONES / size::MODELS,
        item: "server of the pool",
    }
}

fn progress() -> Slope {
    let cost = |running: usize| {
        let mut pool = pool(100, 64);
        let mut orders = Vec::new();
        for id in 0..running as u128 {
            pool.handle(2_000_000, Event::Ask(ask(id)), &mut orders);
        }
        let since = Instant::now();
        let rounds = 50_000 / running as u32 + 1;
        for round in 0..rounds {
            for id in 0..running as u128 {
                let produced = round * 10;
                let report = Progress { id, produced, first_token: None, gap: 5_000 };
                pool.handle(2_000_000, Event::Progress(report), &mut orders);
            }
        }
        since.elapsed().as_secs_f64() * 1e6 / f64::from(rounds * running as u32)
    };
    Slope {
        name: "dispatcher: one progress report on a running attempt",
        unit: "µs",
        points: best(&[100, 1_000, 6_000], cost),
        target: 6_000.0,
        item: "running request",
    }
}

/// A log record with a command that creates or changes a workspace.
fn command(number: usize) -> Vec<u8> {
    let fields = BTreeMap::from([("weight".to_string(), Value::Number(1.0 + number as f64))]);
    let verb = if number < 770 { Verb::Create } else { Verb::Set };
    let name = format!("workspace-{}", number % 770);
    let change = Change { verb, kind: Kind::Workspace, name, fields, if_version: None };
    let nonce = format!("nonce-{number}");
    let record = Record::Command { nonce, author: "operator".into(), change };
    serde_json::to_vec(&record).expect("records can be written")
}

/// Configuration after `count` commands.
pub(super) fn configuration(count: usize) -> State {
    let mut state = State::new();
    for number in 0..count {
        apply(&mut state, number as u64, 0, &command(number));
    }
    state
}

/// Milliseconds to apply `count` log records to an empty state, in order and with their offsets.
fn apply_ms<S>(
    count: usize,
    record: impl Fn(usize) -> Vec<u8>,
    empty: impl FnOnce() -> S,
    apply: impl Fn(&mut S, u64, &[u8]),
) -> f64 {
    let bodies: Vec<Vec<u8>> = (0..count).map(record).collect();
    let since = Instant::now();
    let mut state = empty();
    for (offset, body) in bodies.iter().enumerate() {
        apply(&mut state, offset as u64, body);
    }
    black_box(&state);
    since.elapsed().as_secs_f64() * 1e3
}

fn apply_time() -> Slope {
    let cost = |count: usize| {
        apply_ms(count, command, State::new, |state, offset, body| {
            apply(state, offset, 0, body);
        })
    };
    Slope {
        name: "configuration follower: applying a log",
        unit: "ms",
        points: best(&[500, 2_000, 8_000], cost),
        target: size::CHANGES,
        item: "command",
    }
}

fn snapshot() -> Slope {
    let cost = |count: usize| {
        let state = Box::new(configuration(count));
        let record = Record::Snapshot { state };
        serde_json::to_vec(&record).map_or(0.0, |body| body.len() as f64 / 1_024.0)
    };
    Slope {
        name: "configuration: size of a snapshot",
        unit: "kB",
        points: best(&[500, 2_000, 8_000], cost),
        target: 8_192.0,
        item: "command remembered (at most 8,192)",
    }
}

/// A log record with a claim.
pub(super) fn claim(number: usize) -> Vec<u8> {
    let key = claim::Key(number as u128 * 0x9e37_79b9_7f4a_7c15_0123_4567_89ab_cdef);
    let attempt = claim::Attempt(key.0 ^ 1);
    let record = claim::Record::Claim { key, attempt, instance: "suva-hall-1".into(), request: 7 };
    serde_json::to_vec(&record).expect("records can be written")
}

fn claim_time() -> Slope {
    let cost = |count: usize| {
        let empty = || claim::Index::new(0);
        apply_ms(count, claim, empty, |index, offset, body| {
            index.apply(offset, 0, body);
        })
    };
    Slope {
        name: "claim index: applying claims",
        unit: "ms",
        points: best(&[25_000, 50_000, 100_000], cost),
        target: 360_000.0,
        item: "claim (100 a second for an hour)",
    }
}

/// Bytes between entry and dispatcher for one request, by the number of its progress reports.
fn wire() -> Slope {
    let length = |message: Message| {
        let mut buffer = Vec::new();
        frame::write(&message, &mut buffer).expect("the message fits");
        buffer.len()
    };
    let id = vec![0xab; 16];
    let pool = "model:draft-large".to_string();
    let cost = |reports: usize| {
        let ask = peer::Ask {
            id: id.clone(),
            pool: pool.clone(),
            workspace: "workspace-123".into(),
            traffic_class: "pickup-confirmation".into(),
            age: 1_200,
            prompt: 800,
            prefix: Some(i64::MAX / 3),
            produced: None,
            unrepeatable: None,
            preemptions: None,
            avoid: None,
            server: None,
            redirected: None,
            output: None,
            attempt: Some(0),
            lent: Some(1_000_000),
            spent: None,
            digest: Some(id.clone()),
            sent: None,
            notices: None,
            parts: None,
            stream: None,
            patience: None,
            resumed: None,
            version: None,
            left: Some(15_000_000),
        };
        let grant = peer::Grant::new(
            id.clone(),
            "suva-hall-engine-1234".to_string(),
            180,
            0,
            None,
            None,
            None,
            None,
            None,
            None,
            None,
            None,
        );
        let finish = peer::Finish::new(id.clone(), pool.clone(), 0, 210, None, Some(9_000));
        let report = peer::Progress::new(id.clone(), 210, None, Some(9_000));
        let per_report =
            length(Message::Progress(peer::ProgressBatch::new(pool.clone(), vec![report])));
        let fixed = length(Message::Ask(ask))
            + length(Message::Grant(grant))
            + length(Message::Finish(finish));
        (fixed + reports * per_report) as f64
    };
    Slope {
        name: "entry and dispatcher: bytes of one request, reports not batched",
        unit: "bytes",
        points: best(&[1, 10, 40], cost),
        target: 10.0,
        item: "report (two a second)",
    }
}
