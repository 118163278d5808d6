//! Memory for the bodies of requests and responses.

use std::sync::Arc;

use drumusher::process::memory::{Budget, Reservation, SMALL_BYTES, Use};

const MEGABYTE: usize = 1024 * 1024;

fn reservation(budget: &Arc<Budget>, purpose: Use) -> Reservation {
    Reservation::new(budget.clone(), purpose)
}

#[test]
fn large_requests_leave_room_for_small_ones_and_for_responses() {
    let budget = Arc::new(Budget::new(Some(64)));
    let mut large = reservation(&budget, Use::Request);
    assert!(large.extend_to(24 * MEGABYTE));
    assert!(!reservation(&budget, Use::Request).extend_to(SMALL_BYTES + 1));
    let mut small = reservation(&budget, Use::Request);
    assert!(small.extend_to(SMALL_BYTES));
    let mut response = reservation(&budget, Use::Response);
    assert!(response.extend_to(8 * MEGABYTE - SMALL_BYTES));
    assert_eq!(budget.reserved(), 32 * MEGABYTE);
    assert!(!reservation(&budget, Use::Request).extend_to(1));
    assert!(!reservation(&budget, Use::Response).extend_to(SMALL_BYTES + 1));
    assert!(reservation(&budget, Use::Response).extend_to(SMALL_BYTES));
}

#[test]
fn refused_extension_changes_nothing() {
    let budget = Arc::new(Budget::new(Some(64)));
    let mut request = reservation(&budget, Use::Request);
    assert!(request.extend_to(MEGABYTE));
    assert!(!request.extend_to(25 * MEGABYTE));
    assert_eq!((request.bytes(), budget.reserved()), (MEGABYTE, MEGABYTE));
}

#[test]
fn large_body_of_unknown_length_is_reserved_at_once() {
    let budget = Arc::new(Budget::new(Some(64)));
    let mut request = reservation(&budget, Use::Request);
    assert!(request.grow_to(1_000, 4 * MEGABYTE));
    assert_eq!(budget.reserved(), 1_000);
    assert!(request.grow_to(SMALL_BYTES + 1, 4 * MEGABYTE));
    assert_eq!(budget.reserved(), 4 * MEGABYTE);
    request.shrink_to(3 * MEGABYTE);
    assert_eq!(budget.reserved(), 3 * MEGABYTE);
    drop(request);
    assert_eq!(budget.reserved(), 0);
}

/// Small responses exceed the budget, but not without a bound.
#[test]
fn small_responses_are_bounded() {
    let budget = Arc::new(Budget::new(Some(64)));
    let mut large = reservation(&budget, Use::Response);
    assert!(large.extend_to(32 * MEGABYTE));
    let mut small = Vec::new();
    for _ in 0..8 * MEGABYTE / SMALL_BYTES {
        let mut response = reservation(&budget, Use::Response);
        assert!(response.extend_to(SMALL_BYTES));
        small.push(response);
    }
    assert!(!reservation(&budget, Use::Response).extend_to(1));
    small.pop();
    assert!(reservation(&budget, Use::Response).extend_to(1));
}

#[test]
fn largest_body_fits_when_nothing_else_is_held() {
    for purpose in [Use::Request, Use::Response] {
        let budget = Arc::new(Budget::new(Some(64)));
        let largest = budget.largest(purpose);
        assert!(!reservation(&budget, purpose).extend_to(largest + 1));
        assert!(reservation(&budget, purpose).extend_to(largest));
    }
}

#[test]
fn only_large_events_are_reserved() {
    let budget = Arc::new(Budget::new(Some(64)));
    let mut event = reservation(&budget, Use::Response);
    assert!(event.hold_event(SMALL_BYTES, MEGABYTE));
    assert_eq!(budget.reserved(), 0);
    assert!(event.hold_event(SMALL_BYTES + 1, MEGABYTE));
    assert_eq!(budget.reserved(), MEGABYTE);
    assert!(event.hold_event(0, MEGABYTE));
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn without_a_limit_all_bodies_fit() {
    let budget = Arc::new(Budget::new(None));
    assert!(reservation(&budget, Use::Request).extend_to(1 << 40));
}
