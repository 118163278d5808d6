//! Sending and receiving large updates of the store's tables, in pieces.
//!
//! A message has to leave room for the heartbeats, asks and grants on its connection and on the links of both
//! instances. A message of a megabyte occupied a link of ten megabits a second for 0.8 s: the connection counted as
//! silent, was closed, and the next one started with the same message.

use std::{fmt, rc::Rc, sync::Arc};

use drumusher_log::position::Position;
use drumusher_platform::catalog::Table;
use drumusher_wire::peer::{self, Message};
use lz4_flex::block::{self, DecompressError};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Peers,
    fetch::{self, PeerKind, Request, Step},
};
use crate::process::{
    catalog::{Ends, TABLES, Update},
    clock, platform,
};

/// Size of a piece in bytes. It takes 13 ms on a link of ten megabits a second, where an ask waits for its answer
/// for 60 ms, and is large enough to saturate such a link with one piece in flight.
pub(super) const PIECE_BYTES: usize = 16 * 1024;

/// The index of the configuration in [`TABLES`].
const CONFIGURATION_INDEX: usize = 0;
const _: () = assert!(matches!(TABLES[CONFIGURATION_INDEX], Table::Configuration));

/// An update of one table, compressed.
#[derive(Debug)]
pub(super) struct Encoded {
    digest: i64,
    bytes: Vec<u8>,
}

/// What an update was made from: the position known to the other side, the position known here, and the position up
/// to which removals were confirmed.
type UpdateKey = (Position, Position, Position);

/// The latest update made of a table: when many instances are behind, most of them know the same position.
pub(super) type CachedUpdate = Option<(UpdateKey, Rc<Encoded>)>;

impl Encoded {
    fn new(update: &Update) -> Option<Encoded> {
        let text = match serde_json::to_vec(update) {
            Ok(text) => text,
            Err(error) => {
                log::error!("cannot serialize an update of the store's records: {error}");
                return None;
            }
        };
        let bytes = block::compress_prepend_size(&text);
        log::info!(text = text.len(), bytes = bytes.len(); "encoded a large update to be fetched");
        Some(Encoded { digest: xxh3_64(&bytes) as i64, bytes })
    }
}

/// Why a complete update cannot be decoded.
#[derive(Debug)]
enum Error {
    /// Its decompressed size is this many bytes, more than [`fetch::MAX_UPDATE_BYTES`].
    TooLong(usize),
    /// It is not valid compressed data.
    Malformed(DecompressError),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooLong(length) => write!(f, "an update of {length} bytes exceeds the limit"),
            Error::Malformed(reason) => write!(f, "an update cannot be decompressed: {reason}"),
        }
    }
}

/// Decompresses a complete update. The claimed size is checked first, so that it cannot cause a large allocation.
fn decode(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let (length, _) = block::uncompressed_size(bytes).map_err(Error::Malformed)?;
    if length > fetch::MAX_UPDATE_BYTES {
        return Err(Error::TooLong(length));
    }
    block::decompress_size_prepended(bytes).map_err(Error::Malformed)
}

impl Peers {
    /// Compares the positions and the configuration version of another instance with this one's, and requests from
    /// it what is missing here.
    pub(super) fn request_updates(
        &self,
        number: u32,
        instance: &Arc<str>,
        ends: &Ends,
        version: Option<i64>,
    ) {
        let mut own = self.shared.records().ends();
        let ahead = |table: &usize| ends[*table] > own[*table];
        let mut ahead: Vec<usize> = (0..TABLES.len()).filter(ahead).collect();
        // After a restore, a backup may hold an older version at a later position.
        let configuration = CONFIGURATION_INDEX;
        if version > self.version() && !ahead.contains(&configuration) {
            own[configuration] = Position::default();
            ahead.push(configuration);
        }
        let now = clock::now();
        let requests: Vec<(usize, Request)> = {
            let mut inner = self.inner.borrow_mut();
            let subscribed = inner.sources.contains(instance) && !self.reads();
            let peer = if subscribed { PeerKind::Source } else { PeerKind::Other };
            let requests = ahead.into_iter().filter_map(|table| {
                let request = inner.fetches[table].peer_ahead(now, own[table], number, peer)?;
                Some((table, request))
            });
            requests.collect()
        };
        for (table, request) in requests {
            self.request_piece(table, request);
        }
    }

    fn request_piece(&self, table: usize, request: Request) {
        let (known, era) = (request.known.offset as i64, request.known.era as i64);
        let offset = request.offset as i64;
        let message = peer::PieceRequest::new(table as i16, known, offset, request.digest, era);
        self.send_on(request.conn, Message::PieceRequest(message));
    }

    /// Handles another instance's request for a piece.
    pub(super) fn on_piece_request(&self, number: u32, request: peer::PieceRequest) {
        if self.shared.settings.store.is_none() {
            return;
        }
        let now = clock::now();
        let request = self.inner.borrow_mut().uploads.request(now, number, request);
        if let Some(request) = request {
            self.send_piece(number, &request);
        }
        self.serve_waiting();
    }

    /// Answers waiting requests as far as there are free slots.
    pub(super) fn serve_waiting(&self) {
        loop {
            let next = self.inner.borrow_mut().uploads.next(clock::now());
            let Some((number, request)) = next else { return };
            self.send_piece(number, &request);
        }
    }

    fn send_piece(&self, number: u32, request: &peer::PieceRequest) {
        let table = usize::try_from(request.table).unwrap_or(usize::MAX);
        let update =
            if table < TABLES.len() { self.update_for(number, table, request) } else { None };
        let Some(encoded) = update else {
            self.inner.borrow_mut().uploads.finish(number);
            return;
        };
        let continues = request.digest == Some(encoded.digest);
        let offset =
            if continues { request.at.max(0) as usize } else { 0 }.min(encoded.bytes.len());
        let end = (offset + PIECE_BYTES).min(encoded.bytes.len());
        let total = encoded.bytes.len() as i64;
        let bytes = encoded.bytes[offset..end].to_vec();
        let piece = peer::Piece::new(request.table, encoded.digest, offset as i64, total, bytes);
        {
            let mut inner = self.inner.borrow_mut();
            let is_last = end == encoded.bytes.len();
            if is_last {
                inner.uploads.finish(number);
            }
            if let Some(conn) = inner.conns.get_mut(&number) {
                conn.sending[table] = (!is_last).then_some(encoded);
            }
        }
        self.send_on(number, Message::Piece(piece));
    }

    /// The update of which a piece is requested. A transfer in progress continues even if newer records are known
    /// by now, since one that restarted at each change might never finish; otherwise the update is made from the
    /// requested position.
    fn update_for(
        &self,
        number: u32,
        table: usize,
        request: &peer::PieceRequest,
    ) -> Option<Rc<Encoded>> {
        let sending = self.inner.borrow().conns.get(&number)?.sending[table].clone();
        if let Some(sending) = sending.filter(|sending| request.digest == Some(sending.digest)) {
            return Some(sending);
        }
        let era = request.era.unwrap_or(0).max(0) as u64;
        let known = Position::new(era, request.known.max(0) as u64);
        let end = self.shared.records().ends()[table];
        let confirmed = self.shared.confirmed();
        let key: UpdateKey = (known, end, confirmed);
        let cached = self.inner.borrow().cached_updates[table].clone();
        if let Some((_, encoded)) = cached.filter(|(of, _)| *of == key) {
            return Some(encoded);
        }
        let update = self.shared.update_of(TABLES[table], known)?;
        let encoded = Rc::new(Encoded::new(&update)?);
        self.inner.borrow_mut().cached_updates[table] = Some((key, encoded.clone()));
        Some(encoded)
    }

    /// Handles a piece from another instance.
    pub(super) fn on_piece(&self, number: u32, instance: &Arc<str>, piece: &peer::Piece) {
        let table = usize::try_from(piece.table).unwrap_or(usize::MAX);
        if table >= TABLES.len() {
            return;
        }
        let received = fetch::Piece {
            digest: piece.digest,
            offset: piece.at.max(0) as usize,
            total: piece.total.max(0) as usize,
            bytes: &piece.bytes,
        };
        let step = self.inner.borrow_mut().fetches[table].receive(clock::now(), number, &received);
        match step {
            Step::Next(request) => self.request_piece(table, request),
            Step::Complete(bytes) => self.apply_complete(table, instance, &bytes),
            Step::Ignore => {}
        }
    }

    fn apply_complete(&self, table: usize, instance: &Arc<str>, bytes: &[u8]) {
        let taken = match decode(bytes) {
            Ok(text) => {
                log::info!(text = text.len(), bytes = bytes.len(); "fetched a large update");
                let taken =
                    self.shared.platform.try_send(platform::Input::State(instance.clone(), text));
                taken.map_err(|_| "platform queue full; an update was dropped".to_string())
            }
            Err(error) => Err(error.to_string()),
        };
        if let Err(reason) = taken {
            log::warn!("{reason}; it will be fetched again");
            self.inner.borrow_mut().fetches[table].reject();
        }
    }
}
