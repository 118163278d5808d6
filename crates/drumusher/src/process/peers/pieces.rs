//! Sending and receiving large updates of the store's tables, in pieces.
//!
//! A message has to leave room for the heartbeats, asks and grants on its connection and on the links of both
//! instances. A message of a megabyte occupied a link of ten megabits a second for 0.8 s: the connection counted as
//! silent, was closed, and the next one started with the same message.

use std::{fmt, rc::Rc, sync::Arc};

use drumusher_log::position::Position;
use drumusher_platform::catalog::Table;
use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};
use drumusher_wire::peer::{self, Message};
use lz4_flex::block::{self, DecompressError};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Peers,
    fetch::{self, PeerKind, Request, Step},
};
use crate::process::{
    catalog::{Ends, Form, TABLES, Update},
    clock, platform,
};

/// Size of a piece in bytes. It takes 13 ms on a link of ten megabits a second, where an ask waits for its answer
/// for 60 ms, and is large enough to saturate such a link with one piece in flight.
pub(super) const PIECE_BYTES: usize = 16 * 1024;

/// An update that was received is kept for this long after the last piece of it was sent. Those that are referred to this
/// instance follow within a second.
const RECEIVED_TIME: Micros = 5 * SECOND;

/// The index of the configuration in [`TABLES`].
const CONFIGURATION_INDEX: usize = 0;
const _: () = assert!(matches!(TABLES[CONFIGURATION_INDEX], Table::Configuration));

/// An update of one table, compressed.
#[derive(Debug)]
pub(super) struct Encoded {
    digest: i64,
    bytes: Vec<u8>,
}

/// What an update was made from: the position known to the other side, the position known here, the position up to
/// which removals were confirmed, and the form.
type UpdateKey = (Position, Position, Position, Form);

/// The latest update made of a table: when many instances are behind, most of them know the same position.
pub(super) type CachedUpdate = Option<(UpdateKey, Rc<Encoded>)>;

/// An upload: the connection, and the index of the table in [`TABLES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) conn: u32,
    pub(super) table: usize,
}

/// An update that was received, kept for others that fetch it from here.
#[derive(Debug)]
pub(super) struct Received {
    encoded: Rc<Encoded>,
    /// When it was received, or a piece of it was last sent.
    used_at: Micros,
}

/// The answer to a request for a piece.
enum Answer {
    /// A piece, and the update that it is part of if the whole of it is here.
    Piece(peer::Piece, Option<Rc<Encoded>>),
    /// The update is being received here, up to the requested piece.
    Later,
    /// There is no such update.
    Unknown,
}

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

    /// The digest of the compressed bytes.
    pub(super) fn digest(&self) -> i64 {
        self.digest
    }

    /// Whether it is longer than a piece, so that waiting for it may take longer than connecting to another instance.
    pub(super) fn has_several_pieces(&self) -> bool {
        self.bytes.len() > PIECE_BYTES
    }
}

/// A piece of an update of which `bytes` are here and the whole has length `total`.
fn piece(table: i16, digest: i64, bytes: &[u8], offset: usize, total: usize) -> peer::Piece {
    let end = (offset + PIECE_BYTES).min(bytes.len());
    peer::Piece::new(table, digest, offset as i64, total as i64, bytes[offset..end].to_vec())
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
        let requests: Vec<(usize, Option<u32>, Request)> = {
            let mut inner = self.inner.borrow_mut();
            let subscribed = inner.sources.contains(instance) && !self.reads();
            let peer = if subscribed { PeerKind::Source } else { PeerKind::Other };
            let requests = ahead.into_iter().filter_map(|table| {
                let fetch = &mut inner.fetches[table];
                let before = fetch.conn();
                let request = fetch.peer_ahead(now, own[table], number, peer)?;
                Some((table, before, request))
            });
            requests.collect()
        };
        for (table, before, request) in requests {
            before.into_iter().for_each(|conn| self.close_transfer(conn));
            self.request_piece(table, request);
        }
    }

    pub(super) fn request_piece(&self, table: usize, request: Request) {
        let (known, era) = (request.known.offset as i64, request.known.era as i64);
        let offset = request.offset as i64;
        let address = self.shared.settings.advertise.to_string();
        let stays = request.stays.then_some(true);
        let message = peer::PieceRequest::new(
            table as i16,
            known,
            offset,
            request.digest,
            era,
            address,
            stays,
        );
        self.send_on(request.conn, Message::PieceRequest(message));
    }

    /// Handles another instance's request for a piece.
    pub(super) fn on_piece_request(&self, number: u32, request: peer::PieceRequest) {
        let table = usize::try_from(request.table).unwrap_or(usize::MAX);
        if self.shared.settings.store.is_none() || table >= TABLES.len() {
            return;
        }
        let place = Place { conn: number, table };
        let now = clock::now();
        let taken = self.inner.borrow_mut().uploads.request(now, place, request.clone());
        match taken {
            Some(request) => self.send_piece(place, request),
            None => self.refer(place, &request),
        }
        self.serve_waiting();
    }

    /// Answers waiting requests as far as there are free slots.
    pub(super) fn serve_waiting(&self) {
        loop {
            let next = self.inner.borrow_mut().uploads.next(clock::now());
            let Some((place, request)) = next else { return };
            self.send_piece(place, request);
        }
    }

    /// Answers the requests for pieces of a table that have been received by now.
    fn serve_parked(&self, table: usize) {
        let mut inner = self.inner.borrow_mut();
        let parked = inner.parked.extract_if(.., |(place, _)| place.table == table);
        let parked: Vec<(Place, peer::PieceRequest)> = parked.collect();
        drop(inner);
        for (place, request) in parked {
            self.send_piece(place, request);
        }
    }

    fn send_piece(&self, place: Place, request: peer::PieceRequest) {
        let (piece, encoded) = match self.answer(place, &request) {
            Answer::Piece(piece, encoded) => (piece, encoded),
            Answer::Later => {
                let parked = &mut self.inner.borrow_mut().parked;
                parked.retain(|(other, _)| *other != place);
                return parked.push((place, request));
            }
            Answer::Unknown => {
                self.inner.borrow_mut().uploads.finish(place);
                return self.close_transfer(place.conn);
            }
        };
        let is_last = piece.at + piece.bytes.len() as i64 == piece.total;
        {
            let inner = &mut *self.inner.borrow_mut();
            if is_last {
                inner.uploads.finish(place);
            }
            if let Some(conn) = inner.conns.get_mut(&place.conn) {
                conn.sending[place.table] = encoded.filter(|_| !is_last);
            }
        }
        self.record_receiver(place, piece.digest, &request);
        self.send_on(place.conn, Message::Piece(piece));
    }

    /// The piece that a request asks for.
    fn answer(&self, place: Place, request: &peer::PieceRequest) -> Answer {
        let offset = request.at.max(0) as usize;
        if let Some(digest) = request.digest {
            let inner = &mut *self.inner.borrow_mut();
            let received = inner.received[place.table].as_mut();
            if let Some(received) = received.filter(|received| received.encoded.digest == digest) {
                received.used_at = clock::now();
                let Encoded { bytes, .. } = &*received.encoded;
                let offset = offset.min(bytes.len());
                return Answer::Piece(
                    piece(request.table, digest, bytes, offset, bytes.len()),
                    None,
                );
            }
            match inner.fetches[place.table].part(digest) {
                Some((bytes, total)) if offset < bytes.len() => {
                    return Answer::Piece(piece(request.table, digest, bytes, offset, total), None);
                }
                Some(_) => return Answer::Later,
                None => {}
            }
        }
        let Some(encoded) = self.update_for(place, request) else { return Answer::Unknown };
        let continues = request.digest == Some(encoded.digest);
        let total = encoded.bytes.len();
        let offset = if continues { offset } else { 0 }.min(total);
        let piece = piece(request.table, encoded.digest, &encoded.bytes, offset, total);
        Answer::Piece(piece, Some(encoded))
    }

    /// The update of which a piece is requested. A transfer in progress continues even if newer records are known
    /// by now, since one that restarted at each change might never finish; otherwise the update is made from the
    /// requested position.
    pub(super) fn update_for(
        &self,
        place: Place,
        request: &peer::PieceRequest,
    ) -> Option<Rc<Encoded>> {
        let table = place.table;
        let sending = self.inner.borrow().conns.get(&place.conn)?.sending[table].clone();
        if let Some(sending) = sending.filter(|sending| request.digest == Some(sending.digest)) {
            return Some(sending);
        }
        let era = request.era.unwrap_or(0).max(0) as u64;
        let known = Position::new(era, request.known.max(0) as u64);
        let end = self.shared.records().ends()[table];
        let confirmed = self.shared.confirmed();
        let form = if request.address.is_some() { Form::Patches } else { Form::Values };
        let key: UpdateKey = (known, end, confirmed, form);
        let cached = self.inner.borrow().cached_updates[table].clone();
        if let Some((_, encoded)) = cached.filter(|(of, _)| *of == key) {
            return Some(encoded);
        }
        let update = self.shared.update_of(TABLES[table], known, form)?;
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
            Step::Complete(bytes) => {
                self.close_transfer(number);
                self.apply_complete(table, instance, bytes);
            }
            Step::Ignore => return,
        }
        self.serve_parked(table);
    }

    fn apply_complete(&self, table: usize, instance: &Arc<str>, bytes: Vec<u8>) {
        let now = clock::now();
        let taken = match decode(&bytes) {
            Ok(text) => {
                let behind_ms = self.inner.borrow().fetches[table].behind_for(now) / MILLISECOND;
                log::info!(
                    table = TABLES[table].word(), instance = &**instance, text = text.len(),
                    bytes = bytes.len(), behind_ms = behind_ms;
                    "fetched a large update"
                );
                let taken =
                    self.shared.platform.try_send(platform::Input::State(instance.clone(), text));
                taken.map_err(|_| "platform queue full; an update was dropped".to_string())
            }
            Err(error) => Err(error.to_string()),
        };
        let mut inner = self.inner.borrow_mut();
        if let Err(reason) = taken {
            log::warn!("{reason}; it will be fetched again");
            return inner.fetches[table].reject();
        }
        let encoded = Rc::new(Encoded { digest: xxh3_64(&bytes) as i64, bytes });
        inner.received[table] = Some(Received { encoded, used_at: now });
    }

    /// Drops the received updates that nobody has fetched for a while.
    pub(super) fn drop_received(&self, now: Micros) {
        for received in &mut self.inner.borrow_mut().received {
            received.take_if(|received| now > received.used_at + RECEIVED_TIME);
        }
    }
}
