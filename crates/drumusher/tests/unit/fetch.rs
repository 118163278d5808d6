//! Fetching of a large update from peers, piece by piece.

use drumusher::process::peers::{Fetch, PeerKind, Piece, Request, Step};
use drumusher_log::position::Position;
use drumusher_schedule::time::{MILLISECOND, SECOND};
use rstest::rstest;

/// Connections of the instance that relays updates to this one, and of another one.
const SOURCE: u32 = 1;
const OTHER: u32 = 2;
/// The position that this instance has read.
const KNOWN: Position = Position { era: 1, offset: 7 };
const DIGEST: i64 = 0x5eed;

fn piece(offset: usize, bytes: &'static [u8]) -> Piece<'static> {
    Piece { digest: DIGEST, offset, total: 6, bytes }
}

fn request(conn: u32, offset: usize) -> Request {
    Request { conn, known: KNOWN, offset, digest: (offset > 0).then_some(DIGEST), stays: false }
}

/// A fetch from the source that has received the first two of six bytes.
fn begun() -> Fetch {
    let mut fetch = Fetch::new();
    assert_eq!(fetch.peer_ahead(0, KNOWN, SOURCE, PeerKind::Source), Some(request(SOURCE, 0)));
    let next = fetch.receive(0, SOURCE, &piece(0, b"ab"));
    assert_eq!(next, Step::Next(request(SOURCE, 2)));
    fetch
}

#[test]
fn pieces_are_assembled() {
    let mut fetch = begun();
    assert_eq!(fetch.receive(1, SOURCE, &piece(2, b"cd")), Step::Next(request(SOURCE, 4)));
    assert_eq!(fetch.receive(2, SOURCE, &piece(4, b"ef")), Step::Complete(b"abcdef".to_vec()));
}

/// While pieces arrive no other peer is asked, even if others are ahead too.
#[test]
fn one_peer_is_asked_at_a_time() {
    let mut fetch = begun();
    for at in 1..10 {
        assert_eq!(fetch.peer_ahead(at * 99 * MILLISECOND, KNOWN, OTHER, PeerKind::Other), None);
    }
}

/// Another peer is asked only after the source had time to send the update.
#[test]
fn the_source_is_preferred() {
    let mut fetch = Fetch::new();
    assert_eq!(fetch.peer_ahead(0, KNOWN, OTHER, PeerKind::Other), None);
    assert_eq!(fetch.peer_ahead(250 * MILLISECOND, KNOWN, OTHER, PeerKind::Other), None);
    let requested = fetch.peer_ahead(500 * MILLISECOND, KNOWN, OTHER, PeerKind::Other);
    assert_eq!(requested, Some(request(OTHER, 0)));
}

/// A closed connection loses no received bytes: the fetch continues there with another instance, or with the same one
/// over a new connection.
#[rstest]
#[case::another(OTHER)]
#[case::the_same(SOURCE)]
fn received_pieces_are_kept(#[case] next: u32) {
    let mut fetch = begun();
    fetch.connection_closed(SOURCE);
    let again = fetch.peer_ahead(SECOND, KNOWN, next, PeerKind::Other);
    assert_eq!(again, Some(request(next, 2)));
    let other = Piece { digest: 9, offset: 0, total: 6, bytes: b"xy" };
    let begins = fetch.receive(SECOND, next, &other);
    let anew = Request { digest: Some(9), ..request(next, 2) };
    assert_eq!(begins, Step::Next(anew), "a peer with other content restarts the fetch");
}

/// A peer that doesn't respond is replaced by another one that is ahead.
#[test]
fn an_unresponsive_peer_is_replaced() {
    let mut fetch = begun();
    assert_eq!(fetch.peer_ahead(900 * MILLISECOND, KNOWN, OTHER, PeerKind::Other), None);
    let requested = fetch.peer_ahead(1_500 * MILLISECOND, KNOWN, OTHER, PeerKind::Other);
    assert_eq!(requested, Some(request(OTHER, 2)));
}

/// Pieces that don't continue the fetch are ignored: duplicates, gaps, pieces of other content or with another total
/// length, and empty ones.
#[rstest]
#[case(piece(0, b"ab"))]
#[case(piece(4, b"ef"))]
#[case(Piece { digest: 9, ..piece(2, b"cd") })]
#[case(Piece { total: 3, ..piece(2, b"cd") })]
#[case(Piece { total: usize::MAX, ..piece(2, b"cd") })]
#[case(piece(2, b""))]
fn unexpected_pieces_are_ignored(#[case] other: Piece<'static>) {
    let mut fetch = begun();
    assert_eq!(fetch.receive(1, SOURCE, &other), Step::Ignore);
    assert_eq!(fetch.receive(1, SOURCE, &piece(2, b"cd")), Step::Next(request(SOURCE, 4)));
}

/// Another thread applies a complete update. Meanwhile it is not requested again unless it was rejected, but a newer
/// one is.
#[test]
fn an_update_being_applied_is_not_requested_again() {
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

/// A referral is followed with the received bytes, unless the other instance has another update.
#[rstest]
#[case::the_same(DIGEST, 2)]
#[case::another(9, 0)]
fn a_referral_is_followed(#[case] digest: i64, #[case] offset: usize) {
    let mut fetch = begun();
    assert!(fetch.referred(MILLISECOND, SOURCE));
    let followed = fetch.follow(2 * MILLISECOND, SOURCE, OTHER, digest);
    let expected = Request { digest: Some(digest), ..request(OTHER, offset) };
    assert_eq!(followed, Some(expected));
    assert_eq!(fetch.conn(), Some(OTHER));
}

/// A referral that comes after the transfer went on elsewhere is ignored.
#[test]
fn a_late_referral_is_ignored() {
    let mut fetch = begun();
    assert!(!fetch.referred(0, OTHER));
    assert!(fetch.referred(0, SOURCE));
    fetch.connection_closed(SOURCE);
    let again = fetch.peer_ahead(SECOND, KNOWN, OTHER, PeerKind::Other);
    assert_eq!(again, Some(request(OTHER, 2)));
    assert_eq!(fetch.follow(SECOND, SOURCE, 3, DIGEST), None);
}

/// An instance that is referred again and again waits in the end, so that referrals cannot go round for ever.
#[test]
fn the_number_of_referrals_is_bounded() {
    let mut fetch = begun();
    let mut conn = SOURCE;
    for followed in 1.. {
        assert!(followed < 100, "it never stays");
        assert!(fetch.referred(0, conn));
        let request = fetch.follow(0, conn, conn + 1, DIGEST).expect("it is followed");
        conn += 1;
        if request.stays {
            break;
        }
    }
    fetch.connection_closed(conn);
    let again = fetch.peer_ahead(SECOND, KNOWN, OTHER, PeerKind::Other);
    assert_eq!(again, Some(request(OTHER, 2)), "it follows referrals of a new source");
}

/// What has been received so far can be passed on.
#[test]
fn a_transfer_in_progress_can_be_passed_on() {
    let fetch = begun();
    assert_eq!(fetch.part(DIGEST), Some((&b"ab"[..], 6)));
    assert_eq!(fetch.part(9), None);
    assert_eq!(Fetch::new().part(DIGEST), None);
}
