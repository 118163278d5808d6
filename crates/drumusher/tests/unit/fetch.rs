//! Fetching an update piece by piece.

use drumusher::process::peers::{Fetch, PeerKind, Piece, Request, Step};
use drumusher_log::position::Position;
use drumusher_schedule::time::{MILLISECOND, SECOND};
use rstest::rstest;

/// The instance that was asked to tell, and another one, by their connections.
const SOURCE: u32 = 1;
const OTHER: u32 = 2;
/// What is known here.
const KNOWN: Position = Position { era: 1, offset: 7 };
const DIGEST: i64 = 0x5eed;

fn piece(offset: usize, bytes: &'static [u8]) -> Piece<'static> {
    Piece { digest: DIGEST, offset, total: 6, bytes }
}

fn request(conn: u32, offset: usize) -> Request {
    Request { conn, known: KNOWN, offset, digest: (offset > 0).then_some(DIGEST) }
}

/// A fetch from the teller, of which the first two of six bytes came.
fn begun() -> Fetch {
    let mut fetch = Fetch::new();
    assert_eq!(fetch.peer_ahead(0, KNOWN, SOURCE, PeerKind::Source), Some(request(SOURCE, 0)));
    let next = fetch.receive(0, SOURCE, &piece(0, b"ab"));
    assert_eq!(next, Step::Next(request(SOURCE, 2)));
    fetch
}

#[test]
fn pieces_make_a_whole() {
    let mut fetch = begun();
    assert_eq!(fetch.receive(1, SOURCE, &piece(2, b"cd")), Step::Next(request(SOURCE, 4)));
    assert_eq!(fetch.receive(2, SOURCE, &piece(4, b"ef")), Step::Complete(b"abcdef".to_vec()));
}

/// While pieces come, nobody else is asked, however many others are ahead.
#[test]
fn one_is_asked_at_a_time() {
    let mut fetch = begun();
    for at in 1..10 {
        assert_eq!(fetch.peer_ahead(at * 99 * MILLISECOND, KNOWN, OTHER, PeerKind::Other), None);
    }
}

/// Another one is asked only after the teller had time to tell.
#[test]
fn others_wait_for_the_teller() {
    let mut fetch = Fetch::new();
    assert_eq!(fetch.peer_ahead(0, KNOWN, OTHER, PeerKind::Other), None);
    assert_eq!(fetch.peer_ahead(250 * MILLISECOND, KNOWN, OTHER, PeerKind::Other), None);
    let asked = fetch.peer_ahead(500 * MILLISECOND, KNOWN, OTHER, PeerKind::Other);
    assert_eq!(asked, Some(request(OTHER, 0)));
}

/// A connection that breaks costs nothing of what came: another instance, or the same one over a new
/// connection, goes on from there.
#[rstest]
#[case::another(OTHER)]
#[case::the_same(SOURCE)]
fn what_came_is_kept(#[case] next: u32) {
    let mut fetch = begun();
    fetch.connection_closed(SOURCE);
    let again = fetch.peer_ahead(SECOND, KNOWN, next, PeerKind::Other);
    assert_eq!(again, Some(request(next, 2)));
    let other = Piece { digest: 9, offset: 0, total: 6, bytes: b"xy" };
    let begins = fetch.receive(SECOND, next, &other);
    let anew = Request { digest: Some(9), ..request(next, 2) };
    assert_eq!(begins, Step::Next(anew), "one that knows something else begins anew");
}

/// One that says nothing is given up for whoever is ahead.
#[test]
fn a_silent_instance_is_left() {
    let mut fetch = begun();
    assert_eq!(fetch.peer_ahead(900 * MILLISECOND, KNOWN, OTHER, PeerKind::Other), None);
    let asked = fetch.peer_ahead(1_500 * MILLISECOND, KNOWN, OTHER, PeerKind::Other);
    assert_eq!(asked, Some(request(OTHER, 2)));
}

/// What does not continue is passed over: a piece that came twice, one of something else, one that claims
/// to be longer than the whole, an empty one.
#[rstest]
#[case(piece(0, b"ab"))]
#[case(piece(4, b"ef"))]
#[case(Piece { digest: 9, ..piece(2, b"cd") })]
#[case(Piece { total: 3, ..piece(2, b"cd") })]
#[case(Piece { total: usize::MAX, ..piece(2, b"cd") })]
#[case(piece(2, b""))]
fn what_does_not_continue_is_passed_over(#[case] other: Piece<'static>) {
    let mut fetch = begun();
    assert_eq!(fetch.receive(1, SOURCE, &other), Step::Ignore);
    assert_eq!(fetch.receive(1, SOURCE, &piece(2, b"cd")), Step::Next(request(SOURCE, 4)));
}

/// A whole update is put into force by another thread; it is not asked for again meanwhile, unless it could
/// not be used, and what is newer is.
#[test]
fn what_is_being_taken_is_not_asked_for() {
    let mut fetch = begun();
    let whole = Piece { offset: 2, bytes: b"cdef", ..piece(0, b"") };
    assert!(matches!(fetch.receive(0, SOURCE, &whole), Step::Complete(_)));
    assert_eq!(fetch.peer_ahead(SECOND, KNOWN, SOURCE, PeerKind::Source), None);
    let newer = fetch.peer_ahead(SECOND, KNOWN.advance(1), SOURCE, PeerKind::Source);
    assert_eq!(newer.map(|request| request.known), Some(KNOWN.advance(1)));
    let mut refused = begun();
    assert!(matches!(refused.receive(0, SOURCE, &whole), Step::Complete(_)));
    refused.reject();
    assert!(refused.peer_ahead(SECOND, KNOWN, SOURCE, PeerKind::Source).is_some());
}
