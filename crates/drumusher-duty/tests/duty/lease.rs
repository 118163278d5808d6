//! The lease of one instance, step by step.

use drumusher_duty::{
    lease::{Holder, Lease, Options, Replaced, State, Step, Version},
    time::{MILLISECOND, Micros, SECOND},
    usage::{Counts, Progress, Report},
};
use drumusher_log::position::Position;
use rstest::rstest;

const LENGTH: Micros = 3 * SECOND;
const WITHIN: Micros = SECOND / 2;

fn holder(name: &str, boot: u64) -> Holder {
    Holder { name: name.into(), boot }
}

fn lease(name: &str) -> Lease {
    Lease::new(holder(name, 1), Options { length: LENGTH, min_gap: LENGTH }, 0)
}

/// A position in the register of a store that was never restored from a backup.
fn at(offset: u64) -> Position {
    Position::new(0, offset)
}

fn version(end: u64, holder: Option<Holder>) -> Version {
    Version {
        end: at(end),
        state: State { holder, token: end.saturating_sub(1), usage: Progress::default() },
    }
}

/// Applies the replacement that is due, sent at `sent`.
fn replace(lease: &mut Lease, now: Micros, sent: Micros) -> State {
    let usage = lease.usage().cloned().unwrap_or_default();
    let Step::Replace { expect, state } = lease.next(sent, &usage, false) else {
        panic!("nothing to replace: {lease:?}");
    };
    lease.replaced(now, sent, expect, state.clone(), Replaced::Done);
    state
}

/// A free lease is taken at once, with a token derived from the replaced version.
#[test]
fn a_free_lease_is_taken() {
    let mut lease = lease("a");
    assert_eq!(lease.next(10, &Progress::default(), false), Step::Read);
    lease.read(4 * SECOND, version(7, None));
    let state = replace(&mut lease, 5 * SECOND, 4 * SECOND);
    assert_eq!((state.holder, state.token), (Some(holder("a", 1)), 8));
    assert_eq!(lease.permit(5 * SECOND, WITHIN).map(|permit| permit.token), Some(8));
}

/// A lease is counted from before its renewal was sent, however late the answer came, less the safety margin.
#[test]
fn the_holder_counts_from_the_sending_of_a_renewal() {
    let mut lease = lease("a");
    lease.read(4 * SECOND, version(7, None));
    let sent = 4 * SECOND;
    replace(&mut lease, sent + 2 * SECOND, sent);
    let margin = 300 * MILLISECOND;
    let last = sent + LENGTH - margin - WITHIN;
    assert!(lease.permit(last, WITHIN).is_some());
    assert!(lease.permit(last + 1, WITHIN).is_none());
}

/// The lease of another holder is taken only after its version was seen for the whole length; each new version restarts
/// that time.
#[test]
fn the_lease_of_another_holder_is_waited_for() {
    let mut lease = lease("a");
    lease.read(SECOND, version(7, Some(holder("b", 1))));
    lease.read(2 * SECOND, version(8, Some(holder("b", 1))));
    lease.read(3 * SECOND, version(8, Some(holder("b", 1))));
    let early = lease.next(2 * SECOND + LENGTH - 1, &Progress::default(), false);
    assert!(!matches!(early, Step::Replace { .. }), "{early:?}");
    let late = lease.next(2 * SECOND + LENGTH, &Progress::default(), false);
    assert!(matches!(late, Step::Replace { expect, .. } if expect == at(8)), "{late:?}");
}

/// A replacement without an answer counts once the register is read back with it, from when it was sent.
#[test]
fn a_replacement_without_an_answer_is_read_back() {
    let mut lease = lease("a");
    lease.read(4 * SECOND, version(7, None));
    let Step::Replace { expect, state } = lease.next(4 * SECOND, &Progress::default(), false)
    else {
        panic!("a free lease is taken");
    };
    lease.replaced(5 * SECOND, 4 * SECOND, expect, state.clone(), Replaced::Unknown);
    assert!(lease.permit(5 * SECOND, WITHIN).is_none(), "the outcome is unknown");
    lease.read(5 * SECOND + 1, Version { end: at(8), state });
    assert!(lease.permit(5 * SECOND + 1, WITHIN).is_some());
    assert!(lease.permit(4 * SECOND + LENGTH, WITHIN).is_none());
}

/// After another instance's term, a new term starts only when the last call of the earlier one is long enough ago.
#[test]
fn terms_of_one_instance_have_a_gap() {
    let mut lease = lease("a");
    lease.read(4 * SECOND, version(7, None));
    replace(&mut lease, 4 * SECOND, 4 * SECOND);
    lease.call_ended(5 * SECOND);
    lease.read(6 * SECOND, version(9, Some(holder("b", 1))));
    lease.read(6 * SECOND + 1, version(10, None));
    replace(&mut lease, 6 * SECOND + 2, 6 * SECOND + 2);
    assert!(lease.permit(5 * SECOND + LENGTH - 1, WITHIN).is_none());
    assert!(lease.permit(5 * SECOND + LENGTH, WITHIN).is_some());
}

/// A restarted process does not know when its predecessor made its last call, so it waits.
#[test]
fn a_restarted_process_waits() {
    let mut lease = lease("a");
    lease.read(10, version(7, Some(holder("a", 0))));
    replace(&mut lease, 20, 15);
    assert!(lease.permit(SECOND, WITHIN).is_none());
}

/// The very first holder need not wait: no call can have been made before.
#[test]
fn the_first_holder_may_call_at_once() {
    let mut lease = lease("a");
    lease.read(10, Version { end: at(0), state: State::default() });
    replace(&mut lease, 20, 15);
    assert!(lease.permit(20, WITHIN).is_some());
}

/// A token that the platform refused is not used again; a new one is taken later.
#[test]
fn a_refused_token_is_not_used_again() {
    let mut lease = lease("a");
    lease.read(4 * SECOND, version(7, None));
    replace(&mut lease, 4 * SECOND, 4 * SECOND);
    lease.token_refused(5 * SECOND);
    assert!(lease.permit(5 * SECOND, WITHIN).is_none());
    let later = 5 * SECOND + LENGTH;
    let refused = State { token: 8, ..version(8, Some(holder("a", 1))).state };
    lease.read(later, Version { end: at(8), state: refused });
    let state = replace(&mut lease, later, later);
    assert_eq!(state.token, 9);
}

/// A fixed report is written to the register at once, not with the next renewal.
#[test]
fn progress_is_written_at_once() {
    let mut lease = lease("a");
    lease.read(4 * SECOND, version(7, None));
    replace(&mut lease, 4 * SECOND, 4 * SECOND);
    let none = lease.usage().cloned().expect("it holds the lease");
    assert!(matches!(lease.next(4 * SECOND + 1, &none, false), Step::Wait(_)));
    let fixed = none.with_fixed(Report { window: 3, counts: Counts::new() });
    let step = lease.next(4 * SECOND + 1, &fixed, false);
    assert!(
        matches!(step, Step::Replace { expect, ref state } if expect == at(8) && state.usage == fixed && state.token == 8)
    );
}

/// An instance that stops releases the lease.
#[test]
fn a_stop_releases_the_lease() {
    let mut lease = lease("a");
    lease.read(4 * SECOND, version(7, None));
    replace(&mut lease, 4 * SECOND, 4 * SECOND);
    let none = Progress::default();
    let Step::Replace { expect, state } = lease.next(5 * SECOND, &none, true) else {
        panic!("it is released");
    };
    assert_eq!((expect, state.holder.clone()), (at(8), None));
    lease.replaced(5 * SECOND, 5 * SECOND, expect, state, Replaced::Done);
    assert!(lease.permit(5 * SECOND, WITHIN).is_none());
    assert!(matches!(lease.next(5 * SECOND, &none, true), Step::Wait(_)));
}

/// A version of the register as it is read after the store was restored from a backup.
fn restored(end: u64, holder: Option<Holder>) -> Version {
    Version { end: Position::new(1, end), ..version(end, holder) }
}

/// The holder in a restored register may be outdated. The lease is not taken before a holder that the restore lost has
/// stopped, even if it seems to be free or held by an earlier process.
#[rstest]
#[case::free(None)]
#[case::of_another(Some(holder("b", 1)))]
#[case::of_an_earlier_process(Some(holder("a", 0)))]
#[case::of_the_same_process(Some(holder("a", 1)))]
fn a_restored_lease_is_waited_for(#[case] before: Option<Holder>) {
    let mut lease = lease("a");
    lease.read(4 * SECOND, restored(7, before));
    let early = lease.next(4 * SECOND + LENGTH - 1, &Progress::default(), false);
    assert!(!matches!(early, Step::Replace { .. }), "{early:?}");
    let state = replace(&mut lease, 4 * SECOND + LENGTH, 4 * SECOND + LENGTH);
    assert!(state.token > 1 << 40, "it is greater than all tokens of the previous era");
    assert!(state.usage.lost, "a holder that the restore lost may have sent reports");
}

/// A holder whose lease is still valid continues at once after a restore, with a new token and its progress.
#[test]
fn a_holder_continues_after_a_restore() {
    let mut lease = lease("a");
    lease.read(4 * SECOND, version(7, None));
    replace(&mut lease, 4 * SECOND, 4 * SECOND);
    let fixed = Progress::default().with_fixed(Report { window: 3, counts: Counts::new() });
    let Step::Replace { expect, state } = lease.next(5 * SECOND, &fixed, false) else {
        panic!("progress is written at once");
    };
    lease.replaced(5 * SECOND, 5 * SECOND, expect, state, Replaced::Done);
    let now = 6 * SECOND;
    lease.call_ended(now);
    lease.read(now, restored(7, None));
    assert_eq!(lease.permit(now, WITHIN), None, "the earlier token is not used any more");
    let state = replace(&mut lease, now, now);
    assert_eq!(state.usage, fixed);
    assert_eq!(lease.permit(now, WITHIN).map(|permit| permit.token), Some((1 << 40) + 8));
}

/// A holder whose lease ended before it learned of the restore waits like the standbys.
#[test]
fn a_holder_whose_lease_ended_before_a_restore_waits() {
    let mut lease = lease("a");
    lease.read(4 * SECOND, version(7, None));
    replace(&mut lease, 4 * SECOND, 4 * SECOND);
    let late = 4 * SECOND + LENGTH;
    lease.read(late, restored(7, None));
    let step = lease.next(late, &Progress::default(), false);
    assert!(!matches!(step, Step::Replace { .. }), "{step:?}");
}
