//! Referrals: an instance that already sends an update to as many others as it may refers the next one to one of them,
//! which passes on what it has received so far. So the time until all instances have an update grows with the
//! logarithm of their number, and no instance sends it to more than a few.
//!
//! A referral is followed over a connection of its own. If the instance at its other end fails, the received pieces are
//! kept, and the transfer continues with the source.

use std::sync::Arc;

use drumusher_wire::peer::{self, Message};
use ntex::{
    io::Io,
    rt,
    time::{Millis, timeout},
};

use super::{Conn, Peers, pieces::Place};
use crate::{
    connection::{self, Codec},
    process::{catalog::TABLES, clock},
};

/// A connection for transfers is closed if nothing was received over it for this long. Twice the time after which a
/// piece is requested elsewhere.
const IDLE_TIMEOUT: Millis = Millis(2_000);
/// Maximum number of instances remembered to refer others to.
const MAX_RECEIVERS: usize = 64;

/// An instance that receives or has received an update from this one.
#[derive(Clone, Debug)]
struct Receiver {
    place: Place,
    digest: i64,
    instance: Arc<str>,
    address: String,
}

/// The instances to which others are referred. Without I/O.
#[derive(Debug, Default)]
pub(super) struct Receivers {
    receivers: Vec<Receiver>,
}

impl Receivers {
    /// Records that an instance was sent a piece of an update, and accepts requests for it at `address`.
    fn record(&mut self, place: Place, digest: i64, instance: &Arc<str>, address: &str) {
        match self.receivers.iter_mut().find(|receiver| receiver.place == place) {
            Some(receiver) => receiver.digest = digest,
            None => {
                if self.receivers.len() == MAX_RECEIVERS {
                    self.receivers.remove(0);
                }
                let (instance, address) = (instance.clone(), address.to_string());
                self.receivers.push(Receiver { place, digest, instance, address });
            }
        }
    }

    /// The next instance, in turn, to which the one at `place` is referred for an update.
    fn next(&mut self, place: Place, digest: i64) -> Option<(Arc<str>, String)> {
        let is_other = |receiver: &Receiver| {
            receiver.place.table == place.table && receiver.place.conn != place.conn
        };
        let mut receivers = self.receivers.iter();
        let at = receivers.position(|other| is_other(other) && other.digest == digest)?;
        let receiver = self.receivers.remove(at);
        self.receivers.push(receiver.clone());
        Some((receiver.instance, receiver.address))
    }

    /// Removes the instance of a closed connection.
    pub(super) fn remove(&mut self, conn: u32) {
        self.receivers.retain(|receiver| receiver.place.conn != conn);
    }
}

impl Peers {
    /// Records that an instance was sent a piece.
    pub(super) fn record_receiver(&self, place: Place, digest: i64, request: &peer::PieceRequest) {
        let Some(address) = &request.address else { return };
        let inner = &mut *self.inner.borrow_mut();
        if let Some(conn) = inner.conns.get(&place.conn) {
            inner.receivers.record(place, digest, &conn.instance, address);
        }
    }

    /// Refers the instance of a waiting request for an update of several pieces to another one. A transfer that has begun
    /// is not referred again: others may be waiting for what its instance passes on.
    pub(super) fn refer(&self, place: Place, request: &peer::PieceRequest) {
        let stays = request.address.is_none() || request.at > 0 || request.stays == Some(true);
        if stays {
            return;
        }
        let requested = request.digest.and_then(|digest| self.next_receiver(place, digest));
        let found = requested.or_else(|| {
            let update =
                self.update_for(place, request).filter(|update| update.has_several_pieces())?;
            self.next_receiver(place, update.digest())
        });
        let Some((digest, instance, address)) = found else { return };
        self.inner.borrow_mut().uploads.finish(place);
        self.shared.telemetry.count("drumusher.peer.referrals", &[("side", "sent")]);
        let referral =
            peer::Referral::new(place.table as i16, digest, instance.to_string(), address);
        self.send_on(place.conn, Message::Referral(referral));
    }

    fn next_receiver(&self, place: Place, digest: i64) -> Option<(i64, Arc<str>, String)> {
        let (instance, address) = self.inner.borrow_mut().receivers.next(place, digest)?;
        Some((digest, instance, address))
    }

    /// Handles a referral received over the connection `number`.
    pub(super) fn on_referral(&self, number: u32, referral: peer::Referral) {
        let table = usize::try_from(referral.table).unwrap_or(usize::MAX);
        if table >= TABLES.len() || *referral.instance == *self.shared.name {
            return;
        }
        if self.inner.borrow_mut().fetches[table].referred(clock::now(), number) {
            rt::spawn(self.clone().follow_referral(number, table, referral));
        }
    }

    /// Continues a transfer with the instance of a referral.
    async fn follow_referral(self, from: u32, table: usize, referral: peer::Referral) {
        let peer::Referral { digest, instance, address, .. } = referral;
        let identity = self.shared.identity();
        let connected = connection::connect_for_transfer(&address, &instance, identity).await;
        let (io, instance) = match connected {
            Ok(connected) => connected,
            Err(error) => {
                log::info!(instance = instance.as_str(); "cannot follow a referral: {error}");
                self.inner.borrow_mut().fetches[table].connection_closed(from);
                return;
            }
        };
        let number = self.register_transfer(&io, &instance);
        let request =
            self.inner.borrow_mut().fetches[table].follow(clock::now(), from, number, digest);
        let Some(request) = request else {
            return self.inner.borrow_mut().remove_conn(number);
        };
        self.shared.telemetry.count("drumusher.peer.referrals", &[("side", "followed")]);
        self.close_transfer(from);
        self.request_piece(table, request);
        self.serve_transfer(io, instance, number).await;
    }

    /// Registers a connection that carries only pieces. Returns its number.
    pub(super) fn register_transfer(&self, io: &Io, instance: &Arc<str>) -> u32 {
        let conn = Conn { transfers_only: true, ..Conn::new(io.get_ref(), instance.clone()) };
        self.inner.borrow_mut().add_conn(conn)
    }

    /// Handles the messages of such a connection until it ends or is idle.
    pub(super) async fn serve_transfer(&self, io: Io, instance: Arc<str>, number: u32) {
        while let Ok(Ok(Some(message))) = timeout(IDLE_TIMEOUT, io.recv(&Codec)).await {
            match message {
                Message::PieceRequest(request) => self.on_piece_request(number, request),
                Message::Piece(piece) => self.on_piece(number, &instance, &piece),
                Message::Referral(referral) => self.on_referral(number, referral),
                _ => break,
            }
        }
        self.inner.borrow_mut().remove_conn(number);
        self.serve_waiting();
    }

    /// Closes a connection if it carries only pieces.
    pub(super) fn close_transfer(&self, number: u32) {
        let inner = self.inner.borrow();
        if let Some(conn) = inner.conns.get(&number).filter(|conn| conn.transfers_only) {
            conn.io.close();
        }
    }
}
