//! Metrics of a run, whose bounds the tests check, and tables of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
};

use drumusher_schedule::{
    policy::Class,
    time::{Micros, SECOND},
};
use serde::Serialize;

use super::{
    Decider,
    scenario::{Scenario, classes},
    simulation::{self, RunResult},
};

/// Random seed of all measurements, also of the published results.
pub const SEED: u64 = 20_261_202;

/// Metrics of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Metrics {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the scheduler.
    pub decider: String,
    /// Percentage of requests that met the targets of their class, by class.
    pub attainment: BTreeMap<String, f64>,
    /// Requests per second that were completed within the targets of their class.
    pub goodput: f64,
    /// Goodput of a clairvoyant scheduler that serves tiers in order.
    pub best: f64,
    /// Percentage of engine work whose output was not delivered.
    pub wasted: f64,
    /// Longest time to first token of a served request of the lowest class, in seconds.
    pub worst_wait: f64,
    /// Percentage of requests within target among workspaces whose demand is below an equal share of what their class
    /// was served; `None` if there are no such workspaces.
    pub modest: Option<f64>,
    /// Jain's index of served tokens against the max-min fair shares of the workspaces, in the
    /// class where it is lowest.
    pub jain: f64,
    /// Number of refused requests.
    pub refused: usize,
    /// Number of refusals of a higher tier while a lower one could have yielded capacity.
    pub inversions: u32,
    /// Number of attempts preempted for a higher tier.
    pub preemptions: u32,
}

/// Runs a scenario with a scheduler and computes the metrics.
pub fn measure(scenario: &Scenario, decider: Decider) -> Metrics {
    let run = simulation::run(scenario, decider, SEED);
    let classes = classes();
    let mut attainment = BTreeMap::new();
    for (number, class) in classes.iter().enumerate() {
        attainment.insert(class.name.clone(), attained_of(&run, number, class));
    }
    let seconds = scenario.duration as f64 / SECOND as f64;
    let met = (0..run.requests.len()).filter(|number| met(&run, *number, &classes));
    Metrics {
        scenario: scenario.name,
        decider: decider.name(),
        attainment,
        goodput: met.count() as f64 / seconds,
        best: best(scenario, &run) / seconds,
        wasted: 100.0 * run.wasted as f64 / run.work.max(1) as f64,
        worst_wait: worst_wait(&run, classes.len() - 1),
        modest: modest(&run),
        jain: jain(&run),
        refused: run.results.iter().filter(|result| result.refused.is_some()).count(),
        inversions: run.inversions,
        preemptions: run.preemptions,
    }
}

/// Whether a request was completed within the targets of its class for time to first token and token gap.
fn met(run: &RunResult, number: usize, classes: &[Class]) -> bool {
    let (request, result) = (&run.requests[number], &run.results[number]);
    let class = &classes[usize::from(request.class.0)];
    let (Some(first), Some(done)) = (result.first, result.done) else {
        return false;
    };
    let gap = (done - first) / u64::from(request.tokens.max(2) - 1);
    first - request.arrives <= class.first_token && gap <= class.token_gap
}

fn attained_of(run: &RunResult, number: usize, class: &Class) -> f64 {
    let classes = classes();
    let of_class = |at: &usize| usize::from(run.requests[*at].class.0) == number;
    let all: Vec<usize> = (0..run.requests.len()).filter(of_class).collect();
    let met = all.iter().filter(|at| met(run, **at, &classes)).count();
    debug_assert_eq!(classes[number], *class);
    100.0 * met as f64 / all.len().max(1) as f64
}

/// Time step of the clairvoyant bound.
const BOUND_STEP: Micros = SECOND / 50;

/// Number of requests that a clairvoyant scheduler would complete within target. It knows every length, starts the
/// shortest request of the highest tier first, has no batching overhead and drops late requests.
fn best(scenario: &Scenario, run: &RunResult) -> f64 {
    let classes = classes();
    let mut arriving = run.requests.iter().peekable();
    let mut open: BTreeSet<(u16, u32, Micros, u32)> = BTreeSet::new();
    let (mut now, mut left, mut count, mut number) = (0, 0.0, 0.0, 0);
    let each = scenario.capacity() * BOUND_STEP as f64 / SECOND as f64;
    while arriving.peek().is_some() || !open.is_empty() {
        now += BOUND_STEP;
        left = each + f64::min(left, 0.0);
        while let Some(request) = arriving.next_if(|request| request.arrives <= now) {
            let class = request.class.0;
            let due = request.arrives + classes[usize::from(class)].first_token;
            number += 1;
            open.insert((class, request.tokens + request.prompt / 512, due, number));
        }
        open.retain(|(_, _, due, _)| *due >= now);
        while left > 0.0 {
            let Some((_, cost, _, _)) = open.pop_first() else { break };
            left -= f64::from(cost);
            count += 1.0;
        }
    }
    count
}

fn worst_wait(run: &RunResult, class: usize) -> f64 {
    let results = run.requests.iter().zip(&run.results);
    let waits = results.filter(|(request, _)| usize::from(request.class.0) == class);
    let waits = waits.filter_map(|(request, result)| Some(result.first? - request.arrives));
    waits.max().unwrap_or(Micros::MAX) as f64 / SECOND as f64
}

/// Tokens of one class by workspace: demanded, and delivered while requests still arrived.
fn by_workspace(run: &RunResult, class: usize) -> (BTreeMap<u16, f64>, BTreeMap<u16, f64>) {
    let (mut demand, mut served) = (BTreeMap::new(), BTreeMap::new());
    for (request, result) in run.requests.iter().zip(&run.results) {
        if usize::from(request.class.0) != class {
            continue;
        }
        *demand.entry(request.workspace.0).or_default() += f64::from(request.tokens);
        *served.entry(request.workspace.0).or_default() += f64::from(result.in_time);
    }
    (demand, served)
}

/// Jain's fairness index of the tokens served to each workspace relative to its max-min fair share of what its class
/// was served, in the class where the index is lowest.
fn jain(run: &RunResult) -> f64 {
    let indices = (0..classes().len()).map(|class| jain_of(run, class));
    indices.fold(1.0, f64::min)
}

fn jain_of(run: &RunResult, class: usize) -> f64 {
    let (demand, served) = by_workspace(run, class);
    let fair = max_min(&demand, served.values().sum());
    let shares = demand.keys().map(|workspace| served[workspace] / fair[workspace].max(1.0));
    let shares: Vec<f64> = shares.collect();
    let (sum, squares): (f64, f64) = shares
        .iter()
        .fold((0.0, 0.0), |(sum, squares), share| (sum + share, squares + share * share));
    sum * sum / (shares.len() as f64 * squares.max(f64::MIN_POSITIVE))
}

/// Percentage of requests within target among workspaces that demanded no more than nine tenths of an equal share of
/// what their class was served; `None` if there are none.
fn modest(run: &RunResult) -> Option<f64> {
    let classes = classes();
    let (mut all, mut met) = (0, 0);
    for class in 0..classes.len() {
        let (demand, served) = by_workspace(run, class);
        let equal_share = served.values().sum::<f64>() / demand.len().max(1) as f64;
        for number in 0..run.requests.len() {
            let request = &run.requests[number];
            let of_class = usize::from(request.class.0) == class;
            if of_class && demand[&request.workspace.0] <= 0.9 * equal_share {
                all += 1;
                met += usize::from(self::met(run, number, &classes));
            }
        }
    }
    (all > 0).then(|| 100.0 * met as f64 / f64::from(all))
}

/// Distributes `total` over the workspaces by max-min fairness.
fn max_min(demand: &BTreeMap<u16, f64>, total: f64) -> BTreeMap<u16, f64> {
    let mut sorted: Vec<(u16, f64)> = demand.iter().map(|(key, tokens)| (*key, *tokens)).collect();
    sorted.sort_by(|a, b| a.1.total_cmp(&b.1));
    let (mut remaining, mut fair) = (total, BTreeMap::new());
    for (at, (key, demand)) in sorted.iter().enumerate() {
        let share = (remaining / (sorted.len() - at) as f64).min(*demand);
        fair.insert(*key, share);
        remaining -= share;
    }
    fair
}

/// Formats metrics as a table in Markdown.
pub fn table(metrics: &[Metrics]) -> String {
    let mut text = String::from(
        "| scenario | decider | pickup % | ruling % | summary % | bulk % | goodput/s | best/s | \
         wasted % | worst bulk wait s | modest % | Jain | refused | inversions | preemptions |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for f in metrics {
        let of = |class: &str| f.attainment.get(class).copied().unwrap_or(0.0);
        let _ = writeln!(
            text,
            "| {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2} | {:.1} | {} | {:.3} | \
             {} | {} | {} |",
            f.scenario,
            f.decider,
            of("pickup"),
            of("ruling"),
            of("summary"),
            of("bulk"),
            f.goodput,
            f.best,
            f.wasted,
            f.worst_wait,
            f.modest.map_or("-".into(), |modest| format!("{modest:.1}")),
            f.jain,
            f.refused,
            f.inversions,
            f.preemptions,
        );
    }
    text
}
