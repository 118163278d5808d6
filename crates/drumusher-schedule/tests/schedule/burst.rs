//! A burst of 2.7 times the usual requests on engines that have nothing cached.

use std::collections::BTreeMap;

use drumusher_schedule::{
    ask::{Ask, Part},
    policy::{Class, ClassKey, Policy, Workspace, WorkspaceKey},
    time::{MILLISECOND, Micros, SECOND},
};
use rstest::rstest;

use crate::{
    play::{Call, Draw, Play, START},
    support::ask,
};

const ENGINES: u16 = 20;
/// Usual requests in a second on that many engines, by class.
const USUAL: [f64; 3] = [25.0, 22.0, 22.0];
const BURST: f64 = 2.7;
/// Targets of the first event, and how long callers wait, by class. The key of a class is its tier.
pub const TARGETS: [Micros; 3] = [1_200 * MILLISECOND, 1_200 * MILLISECOND, 2_000 * MILLISECOND];
const DEADLINES: [Micros; 3] = [15 * SECOND, 6 * SECOND, 12 * SECOND];
const EVENTS: [u32; 3] = [43, 13, 30];
pub const WORKSPACES: u16 = 12;

pub fn policy() -> Policy {
    let class = |tier: usize| Class::new("class", tier as u8).with_first_token(TARGETS[tier]);
    let workspaces = (0..WORKSPACES).map(|number| Workspace::new(number.to_string()));
    let mut policy = Policy::new((0..3).map(class).collect(), workspaces.collect());
    policy.settle = 0;
    policy
}

/// A request of a class, with parts that others share and one of its own.
pub fn call(draw: &mut Draw, id: u128, class: u16, arrived: Micros) -> Call {
    let own = |tokens| Part { id: 1 << 40 | id as u64, tokens };
    let parts = match class {
        0 => vec![draw.part(1_000, 80, 210), draw.part(2_000, 722, 140), own(1_110)],
        1 => vec![draw.part(3_000, 4, 2_520), draw.part(4_000, 242, 3_780), own(2_890)],
        _ => vec![draw.part(5_000, 737, 13_300), own(3_720)],
    };
    let workspace = WorkspaceKey(draw.below(u64::from(WORKSPACES)) as u16);
    let (prompt, events) = (parts.iter().map(|part| part.tokens).sum(), EVENTS[usize::from(class)]);
    let deadline = Some(arrived + DEADLINES[usize::from(class)]);
    let output = events * 4;
    let class = ClassKey(class);
    Call::new(
        Ask { class, workspace, parts, prompt, output, deadline, ..ask(id, 0, arrived) },
        events,
    )
}

/// The requests of a burst, in the order of their arrival.
fn burst(draw: &mut Draw, time: Micros) -> Vec<Call> {
    let mut arrivals = BTreeMap::new();
    for (class, usual) in USUAL.iter().enumerate() {
        let number = (usual * BURST * time as f64 / SECOND as f64) as u64;
        for _ in 0..number {
            arrivals.insert((START + draw.below(time), class as u16), ());
        }
    }
    let numbered = arrivals.into_keys().enumerate();
    numbered.map(|(id, (at, class))| call(draw, id as u128 + 1, class, at)).collect()
}

fn played(switch_off: Option<&str>, engines: u16, time: Micros) -> Play {
    let mut policy = policy();
    if let Some(name) = switch_off {
        policy.switches.turn_off(name).expect("there is such a switch");
    }
    let mut play = Play::new(policy, engines);
    let calls = burst(&mut Draw(1), time);
    play.run(calls, START + time + 16 * SECOND);
    play
}

/// The fraction of the calls of a class whose first event came within its target.
fn in_time(play: &Play, class: u16) -> f64 {
    let calls: Vec<&Call> = play.calls.values().filter(|c| c.ask.class.0 == class).collect();
    let target = TARGETS[usize::from(class)];
    calls.iter().filter(|call| call.is_in_time(target)).count() as f64 / calls.len() as f64
}

/// Guards against prompts that queue inside engines behind earlier ones of less urgent classes, and
/// against a dispatcher that grants too little to keep the engines busy. The engines can prefill
/// about half of the long prompts in time.
#[test]
fn first_events_of_a_burst_come_in_time() {
    let play = played(None, ENGINES, 6 * SECOND);
    let [short, middle, long] = [0, 1, 2].map(|class| in_time(&play, class));
    assert!(short >= 0.99 && middle >= 0.99, "{short} {middle}");
    assert!(long >= 0.5, "{long}");
    let without = in_time(&played(Some("read_ahead"), ENGINES, 6 * SECOND), 2);
    assert!(long > without, "{long}, and {without} without a limit");
}

/// The fraction of the long requests whose callers get neither an answer nor a refusal before they
/// stop waiting.
fn lost(play: &Play) -> f64 {
    let calls: Vec<&Call> = play.calls.values().filter(|call| call.ask.class.0 == 2).collect();
    let ends = |call: &&&Call| call.refused.map(|(at, _)| at).or(call.ended);
    let lost = calls.iter().filter(|call| ends(call) > call.ask.deadline || ends(call).is_none());
    lost.count() as f64 / calls.len() as f64
}

/// Guards against callers that wait for an answer which cannot come in time. Half of the engines
/// are missing, so that the short and middle requests need most of what is left.
#[test]
fn callers_that_cannot_be_served_are_told() {
    let (engines, time) = (ENGINES / 2, 14 * SECOND);
    let play = played(None, engines, time);
    let refused: Vec<(&Call, Micros, Micros)> =
        play.calls.values().filter_map(|c| c.refused.map(|(at, again)| (c, at, again))).collect();
    let early = refused.iter().filter(|(call, at, _)| *at < call.ask.arrived + TARGETS[2] / 4);
    assert!(early.count() * 2 > refused.len(), "most of them at once");
    for (call, at, retry_after) in refused {
        assert_eq!(call.ask.class, ClassKey(2), "only the least urgent are refused");
        let left = call.ask.deadline.expect("all have one") - at;
        assert!(call.granted.is_none() && retry_after <= left / 3, "{retry_after} of {left}");
    }
    assert!(lost(&play) <= 0.02, "{}", lost(&play));
    let without = lost(&played(Some("unmeetable"), engines, time));
    assert!(without > 0.5, "the burst is too small: {without}");
}

/// Guards against grants that promise first events much sooner or later than they come, by which
/// entry instances would give up an attempt too early or too late.
#[rstest]
#[case::more_than_they_prefill(ENGINES, 14 * SECOND)]
#[case::enough(3 * ENGINES, 8 * SECOND)]
fn first_events_come_when_expected(#[case] engines: u16, #[case] time: Micros) {
    let play = played(None, engines, time);
    for class in 0..3 {
        let of_class = play.calls.values().filter(|call| call.ask.class == ClassKey(class));
        let ratio = |call: &Call| {
            let actual = call.first_event? - call.granted?;
            Some(actual as f64 / call.expected as f64)
        };
        let mut ratios: Vec<f64> = of_class.filter_map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        let median = ratios[ratios.len() / 2];
        assert!((0.75..=1.25).contains(&median), "{median} for class {class}");
    }
}
