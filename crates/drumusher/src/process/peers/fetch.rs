//! Fetching a large update of a table from another instance, piece by piece. Without I/O.
//!
//! The instance that is behind decides whom it asks, asks one instance at a time, and has one piece in flight. So
//! each update is transferred once to each instance, however many others have it. When a connection breaks, the
//! received pieces are kept: another instance with the same update continues where the first one stopped.

use drumusher_log::position::Position;
use drumusher_schedule::time::{MILLISECOND, Micros};

/// An instance requests a piece again, perhaps from another instance, after this time. A piece takes 13 ms on a
/// link of ten megabits a second, and a request that waits for its turn among twenty waits for half a second.
const REQUEST_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// How long an instance has to be behind before it asks an instance that is not its source. Two heartbeat
/// intervals, within which the source sends the update if it can.
const OTHER_PEER_DELAY: Micros = 500 * MILLISECOND;
/// An update that was fetched completely is not requested again within this time, in which it is put into force. 87
/// instances had a version of 1 MB in force within a second of its sending, most on an eighth of a core.
const APPLY_TIME: Micros = 2_000 * MILLISECOND;
/// Number of referrals that an instance follows before it waits. A tree of this height, in which each instance passes an
/// update on to two others, has more than 2,000 instances below a reader.
const MAX_REFERRALS: u32 = 10;
/// Longest accepted update, in bytes on the wire. A configuration has at most 4 MiB before it is compressed.
pub const MAX_UPDATE_BYTES: usize = 16 * 1024 * 1024;

/// A request for a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The connection to send it on.
    pub conn: u32,
    /// The position up to which the table is known here.
    pub known: Position,
    /// Number of bytes already received.
    pub offset: usize,
    /// Whether this instance waits for its turn there, and follows no more referrals.
    pub stays: bool,
    /// The digest of the update that these bytes belong to.
    pub digest: Option<i64>,
}

/// A received piece.
#[derive(Clone, Copy, Debug)]
pub struct Piece<'a> {
    /// The digest of the whole update.
    pub digest: i64,
    /// Its offset in the update, in bytes.
    pub offset: usize,
    /// Length of the whole update, in bytes.
    pub total: usize,
    /// The bytes.
    pub bytes: &'a [u8],
}

/// What to do after a piece.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Request the next piece.
    Next(Request),
    /// The update is complete.
    Complete(Vec<u8>),
    /// Nothing: the piece does not continue the transfer.
    Ignore,
}

/// Relation of another instance to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// This instance is subscribed to it.
    Source,
    /// It merely has a connection with this instance.
    Other,
}

/// An update that is being transferred.
#[derive(Debug)]
struct Transfer {
    conn: u32,
    known: Position,
    digest: Option<i64>,
    bytes: Vec<u8>,
    /// Length of the whole update, in bytes; 0 until the first piece.
    total: usize,
    requested_at: Micros,
    /// Number of referrals since the source was asked.
    referrals: u32,
    /// Whether the connection of the latest request was closed.
    disconnected: bool,
}

/// The transfers of one table.
#[derive(Debug, Default)]
pub struct Fetch {
    transfer: Option<Transfer>,
    /// Since when another instance is known to be ahead of this position.
    behind_since: Option<(Position, Micros)>,
    /// The position from which an update was fetched completely, and when.
    applying: Option<(Position, Micros)>,
}

impl Fetch {
    /// Nothing is being fetched.
    pub fn new() -> Self {
        Fetch::default()
    }

    /// Records that another instance knows more than `known`, the position known here. Returns what to request from
    /// it.
    pub fn peer_ahead(
        &mut self,
        now: Micros,
        known: Position,
        conn: u32,
        peer: PeerKind,
    ) -> Option<Request> {
        let since = match self.behind_since {
            Some((lagged, since)) if lagged == known => since,
            _ => {
                self.behind_since = Some((known, now));
                now
            }
        };
        if self.applying.is_some_and(|(taken, at)| taken == known && now < at + APPLY_TIME) {
            return None;
        }
        let is_pending = |transfer: &Transfer| {
            !transfer.disconnected && now < transfer.requested_at + REQUEST_TIMEOUT
        };
        if self
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.known == known && is_pending(transfer))
        {
            return None;
        }
        if peer == PeerKind::Other && now < since + OTHER_PEER_DELAY {
            return None;
        }
        let previous = self.transfer.take().filter(|transfer| transfer.known == known);
        let (digest, bytes, total) = previous.map_or((None, Vec::new(), 0), |previous| {
            (previous.digest, previous.bytes, previous.total)
        });
        let transfer = Transfer {
            conn,
            known,
            digest,
            bytes,
            total,
            requested_at: now,
            referrals: 0,
            disconnected: false,
        };
        let request = transfer.request();
        self.transfer = Some(transfer);
        Some(request)
    }

    /// Handles a piece received on a connection.
    pub fn receive(&mut self, now: Micros, conn: u32, piece: &Piece<'_>) -> Step {
        let Some(transfer) = &mut self.transfer else {
            return Step::Ignore;
        };
        // The other instance may have a newer or different update by now: the transfer starts over.
        if transfer.digest != Some(piece.digest) && piece.offset == 0 && conn == transfer.conn {
            transfer.digest = Some(piece.digest);
            transfer.bytes.clear();
        }
        let continues =
            transfer.digest == Some(piece.digest) && piece.offset == transfer.bytes.len();
        let end = piece.offset + piece.bytes.len();
        if !continues
            || piece.bytes.is_empty()
            || end > piece.total
            || piece.total > MAX_UPDATE_BYTES
        {
            return Step::Ignore;
        }
        transfer.bytes.extend_from_slice(piece.bytes);
        transfer.total = piece.total;
        if end < piece.total {
            (transfer.conn, transfer.requested_at, transfer.disconnected) = (conn, now, false);
            return Step::Next(transfer.request());
        }
        self.applying = Some((transfer.known, now));
        let complete = self.transfer.take();
        Step::Complete(complete.map_or_else(Vec::new, |complete| complete.bytes))
    }

    /// Records that the other side of a connection referred this instance to another one. Returns whether a piece was
    /// awaited from it; it is awaited from the other one from now on.
    pub fn referred(&mut self, now: Micros, conn: u32) -> bool {
        let waits = |transfer: &&mut Transfer| transfer.conn == conn && !transfer.disconnected;
        let Some(transfer) = self.transfer.as_mut().filter(waits) else {
            return false;
        };
        transfer.requested_at = now;
        transfer.referrals += 1;
        true
    }

    /// Continues a transfer over `conn`, after a referral over the connection `from` to an instance that has the update
    /// with this digest. Returns what to request; `None` if the transfer went on elsewhere meanwhile.
    pub fn follow(&mut self, now: Micros, from: u32, conn: u32, digest: i64) -> Option<Request> {
        let waits = |transfer: &&mut Transfer| transfer.conn == from;
        let transfer = self.transfer.as_mut().filter(waits)?;
        if transfer.digest != Some(digest) {
            transfer.digest = Some(digest);
            transfer.bytes.clear();
        }
        (transfer.conn, transfer.requested_at, transfer.disconnected) = (conn, now, false);
        Some(transfer.request())
    }

    /// The received part of the update with this digest, and the length of the whole; `None` if another update or none
    /// is being fetched.
    pub fn part(&self, digest: i64) -> Option<(&[u8], usize)> {
        let transfer = self.transfer.as_ref()?;
        let is_same = transfer.digest == Some(digest);
        is_same.then_some((transfer.bytes.as_slice(), transfer.total))
    }

    /// The connection over which a piece is awaited.
    pub fn conn(&self) -> Option<u32> {
        self.transfer.as_ref().map(|transfer| transfer.conn)
    }

    /// How long another instance has been known to be ahead.
    pub fn behind_for(&self, now: Micros) -> Micros {
        self.behind_since.map_or(0, |(_, since)| now.saturating_sub(since))
    }

    /// Records that a complete update was unusable, so that it may be requested again.
    pub fn reject(&mut self) {
        self.applying = None;
    }

    /// Records that a connection was closed.
    pub fn connection_closed(&mut self, conn: u32) {
        if let Some(transfer) = self.transfer.as_mut().filter(|transfer| transfer.conn == conn) {
            transfer.disconnected = true;
        }
    }
}

impl Transfer {
    fn request(&self) -> Request {
        Request {
            conn: self.conn,
            known: self.known,
            offset: self.bytes.len(),
            digest: self.digest,
            stays: self.referrals >= MAX_REFERRALS,
        }
    }
}
