//! Shares of workspaces of engines that are too few for all requests.

use drumusher_schedule::{
    ask::{Ask, Id, Part},
    event::{Event, Progress},
    policy::WorkspaceKey,
    server,
    time::{Micros, SECOND},
};
use rstest::rstest;

use crate::{
    burst::{self, TARGETS, WORKSPACES},
    play::{Call, Draw, Play, START},
    read_ahead::{BULK, LONG, PROFILE, pool},
    support::{ask, granted},
};

/// Usual requests of a workspace in a second, of each class.
const USUAL: u64 = 2;
/// How much more than usual a heavy workspace sends.
const HEAVY: u64 = 10;
const TIME: Micros = 12 * SECOND;
const MIN_INDEX: f64 = 0.95;

/// Jain's index of fairness: 1 if all are equal.
fn index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    sum * sum / (shares.len() as f64 * shares.iter().map(|share| share * share).sum::<f64>())
}

/// Plays requests of all classes, and returns the tokens of the prompts that each workspace sent,
/// and of those with a first event in time.
fn tokens(heavy: u16, engines: u16, fairness: bool) -> Vec<(f64, f64)> {
    let mut draw = Draw(7);
    let mut calls = Vec::new();
    for workspace in 0..WORKSPACES {
        let per_second = USUAL * if workspace < heavy { HEAVY } else { 1 };
        for number in 0..3 * per_second * TIME / SECOND {
            let id = u128::from(workspace) << 20 | u128::from(number);
            let arrived = START + draw.below(TIME);
            let mut call = burst::call(&mut draw, id + 1, (number % 3) as u16, arrived);
            call.ask.workspace = WorkspaceKey(workspace);
            calls.push(call);
        }
    }
    calls.sort_by_key(|call| call.ask.arrived);
    let mut policy = burst::policy();
    policy.switches.fairness = fairness;
    let mut play = Play::new(policy, engines);
    play.run(calls, START + TIME + 4 * SECOND);
    let mut tokens = vec![(0.0, 0.0); usize::from(WORKSPACES)];
    for Call { ask, first_event, .. } in play.calls.values() {
        let (sent, served) = &mut tokens[usize::from(ask.workspace.0)];
        let due = ask.arrived + TARGETS[usize::from(ask.class.0)];
        *sent += f64::from(ask.prompt);
        *served +=
            f64::from(ask.prompt) * f64::from(u8::from(first_event.is_some_and(|at| at <= due)));
    }
    tokens
}

/// Jain's index of what workspaces are served of what they may have: what they want, but no more
/// than the heavy ones have.
fn shares_index(heavy: u16, engines: u16, fairness: bool) -> f64 {
    let tokens = tokens(heavy, engines, fairness);
    let served = tokens.iter().take(usize::from(heavy)).map(|(_, served)| *served);
    let level = served.sum::<f64>() / f64::from(heavy);
    let shares = tokens.iter().map(|(sent, served)| served / sent.min(level));
    index(&shares.collect::<Vec<_>>())
}

/// Guards against workspaces that are served less because others send ten times their usual load,
/// and against one of those that is served more than another. The engines are enough for the short
/// and middle requests of all, and for some of the long ones.
#[rstest]
#[case::one(1, 14)]
#[case::three(3, 20)]
fn workspaces_are_served_equally_beside_heavy_ones(#[case] heavy: u16, #[case] engines: u16) {
    let fair = shares_index(heavy, engines, true);
    assert!(fair >= MIN_INDEX, "{fair}");
    let unfair = shares_index(heavy, engines, false);
    assert!(unfair < MIN_INDEX, "the engines are enough for all: {unfair}");
}

/// Guards against workspaces that are charged for what engines need not prefill: prompts of which
/// nine tenths are cached would be granted as seldom as those of which nothing is.
#[test]
fn workspaces_are_charged_for_what_is_prefilled() {
    const CACHED: Part = Part { id: 1, tokens: 9 * LONG / 10 };
    let mut harness = pool(Some(PROFILE));
    for key in 0..2 {
        harness.handle(Event::CachedParts(server::Key(key), vec![CACHED.id]));
    }
    let mut running: Vec<Id> = Vec::new();
    for id in 100..200 {
        let (workspace, tokens) = (WorkspaceKey((id % 2) as u16), LONG / 10);
        let own = Part { id: id as u64, tokens: if id % 2 == 0 { tokens } else { LONG } };
        let parts = if id % 2 == 0 { vec![CACHED, own] } else { vec![own] };
        let request = Ask { parts, prompt: LONG, workspace, ..ask(id, BULK, harness.now) };
        running.extend(granted(&harness.ask(request)).into_iter().map(|(id, _)| id));
    }
    let (first, mut cached) = (running.len(), 0);
    for next in 0..20 {
        let progress = Progress { id: running[next], produced: 1, first_token: Some(1), gap: 0 };
        let orders = granted(&harness.handle(Event::Progress(progress)));
        cached += orders.iter().filter(|(id, _)| id % 2 == 0).count();
        running.extend(orders.into_iter().map(|(id, _)| id));
    }
    let all = running.len() - first;
    assert!(cached * 4 > all * 3, "{cached} of {all}");
}
