//! Telling other instances what was read of the store, and being told.

use std::sync::{Arc, atomic::Ordering};

use drumusher_log::position::Position;
use drumusher_platform::catalog::Table;
use drumusher_wire::peer::{self, Message};

use super::{Peers, pieces::PIECE};
use crate::process::{
    catalog::{Ends, LARGE},
    clock, platform,
};

/// What an update was made of: how far the other side knew the tables, how far they were known here, and
/// up to where ends of entries were confirmed.
pub(super) type Told = (Ends, Ends, Position);

/// The ends of the tables as they stand on the wire; none are as if nothing was known. A program that tells no eras is
/// taken to know the table in the era of `otherwise`.
fn ends_of(offsets: Option<&[i64]>, eras: Option<&[i64]>, otherwise: &Ends) -> Ends {
    let number = |wire: Option<&[i64]>, table: usize| {
        wire.and_then(|wire| wire.get(table)).map(|number| (*number).max(0) as u64)
    };
    std::array::from_fn(|table| {
        let era = number(eras, table).unwrap_or(otherwise[table].era);
        Position::new(era, number(offsets, table).unwrap_or(0))
    })
}

impl Peers {
    /// How far this instance knows the store's tables; `None` without a store.
    pub(super) fn ends(&self) -> Option<Vec<i64>> {
        self.shared.settings.store.as_ref()?;
        Some(self.shared.records().ends().iter().map(|end| end.offset as i64).collect())
    }

    /// The eras of these ends; `None` without a store.
    pub(super) fn eras(&self) -> Option<Vec<i64>> {
        self.shared.settings.store.as_ref()?;
        Some(self.shared.records().ends().iter().map(|end| end.era as i64).collect())
    }

    /// Up to where ends of entries are confirmed; `None` without a store.
    pub(super) fn confirmed(&self) -> Option<Position> {
        self.shared.settings.store.as_ref()?;
        Some(self.shared.confirmed())
    }

    /// The version of the configuration in force; `None` before there is one.
    pub(super) fn version(&self) -> Option<i64> {
        self.shared.routing.load().as_ref().map(|routing| routing.version() as i64)
    }

    /// Whether another instance knows less of some table than this one.
    pub(super) fn is_behind(&self, heartbeat: &peer::Heartbeat) -> bool {
        let own = self.shared.records().ends();
        let ends = ends_of(heartbeat.ends.as_deref(), heartbeat.eras.as_deref(), &own);
        ends.iter().zip(&own).any(|(end, own)| end < own)
    }

    /// Whether what another instance reads can be told apart from what the store lost: it tells eras, or there are none.
    fn tells_eras(&self, heartbeat: &peer::Heartbeat) -> bool {
        let own = self.shared.records().ends();
        heartbeat.eras.is_some() || own.iter().all(|end| end.era == 0)
    }

    /// Whether this instance reads the store and gets answers.
    pub(super) fn reads(&self) -> bool {
        let away = self.shared.store_unavailable.load(Ordering::Acquire);
        self.shared.reader.load(Ordering::Acquire) && !away
    }

    /// The own entry, while it is not known to be in the store; `None` without a store.
    pub(super) fn missing_entry(&self) -> Option<String> {
        self.shared.settings.store.as_ref()?;
        (!self.shared.is_registered()).then(|| self.shared.entry.clone())
    }

    /// Another instance is not listed as far as it knows: as one that reads the store, this one enters
    /// it, unless it knows better.
    pub(super) fn entry_wanted(&self, instance: &str, entry: &str) {
        let known = self.shared.records().value(Table::Instances, instance) == Some(entry);
        if known || !self.reads() {
            return;
        }
        let input = platform::Input::Register(instance.into(), entry.into());
        if self.shared.platform.try_send(input).is_err() {
            log::warn!(instance = instance; "too busy to enter an instance; it asks again");
        }
    }

    /// Keeps a connection with one of the instances that read the store; one that reads it itself,
    /// with the other ones, which tell it what it misses while it is turned away.
    pub(super) fn keep_reader(&self) {
        if self.shared.settings.store.is_none() {
            return;
        }
        let readers = self.inner.borrow().table.view().readers();
        let own = readers.contains(&self.shared.name);
        let first = readers.first() == Some(&self.shared.name);
        self.shared.first_reader.store(first, Ordering::Release);
        if self.shared.reader.swap(own, Ordering::AcqRel) != own {
            log::info!(reads = own; "whether this instance reads the store for others");
        }
        let teller = self.inner.borrow().table.view().teller(clock::now());
        let kept = if own { readers } else { teller.into_iter().collect() };
        for reader in kept.iter().filter(|reader| **reader != self.shared.name) {
            if self.is_to_be_asked(reader) {
                self.request(reader);
            }
        }
        self.inner.borrow_mut().tellers = kept;
    }

    /// Whether a reader does not know that it is to tell this instance: there is no connection, or there
    /// was one before this reader became its teller.
    fn is_to_be_asked(&self, reader: &Arc<str>) -> bool {
        let inner = self.inner.borrow();
        !inner.links.contains_key(reader) || !inner.tellers.contains(reader)
    }

    fn request(&self, reader: &Arc<str>) {
        let position = self.shared.position() as i64;
        let request = peer::StateRequest::new(position, self.ends(), true, self.eras());
        self.send(reader, Message::StateRequest(request));
        if self.missing_entry().is_some() {
            self.send(reader, self.heartbeat_now());
        }
    }

    /// A heartbeat of another instance: whether it reads the store, which ends of entries it has confirmed, and
    /// whether it lags behind, now and at the heartbeat before.
    pub(super) fn store_heard(
        &self,
        number: u32,
        instance: &Arc<str>,
        heartbeat: &peer::Heartbeat,
        behind: bool,
        before: bool,
    ) {
        let reads = heartbeat.reads == Some(true) && self.tells_eras(heartbeat);
        self.reads_heard(instance, reads);
        let era = heartbeat.confirmed_era.unwrap_or(0).max(0) as u64;
        let confirmed = heartbeat.confirmed.unwrap_or(0).max(0) as u64;
        self.shared.confirm(Position::new(era, confirmed));
        let (offsets, eras) = (heartbeat.ends.as_deref(), heartbeat.eras.as_deref());
        self.fetch(number, instance, &ends_of(offsets, eras, &Ends::default()), heartbeat.version);
        let ends = ends_of(offsets, eras, &self.shared.records().ends());
        // One that asked this instance learns at once; one that reads, or is told by another, only when it
        // lags behind for longer than that takes.
        let told = match self.inner.borrow_mut().conns.get_mut(&number) {
            Some(conn) => {
                conn.follows.knows(ends);
                conn.follows.is_told()
            }
            None => return,
        };
        let at_once = told && self.reads() && heartbeat.reads != Some(true);
        if behind && (at_once || before) {
            self.tell_on(number);
        }
    }

    /// Another instance says whether it reads the store and gets answers. One that is to tell this instance and gets
    /// none is passed over for another one that may: with it alone to be told by, four instances read the store by
    /// themselves just after its return, and took all entries that had lapsed meanwhile for gone.
    fn reads_heard(&self, instance: &Arc<str>, reads: bool) {
        let now = clock::now();
        if reads {
            self.shared.store_reader_seen.store(now, Ordering::Release);
        }
        let mut inner = self.inner.borrow_mut();
        let is_teller = inner.tellers.contains(instance);
        inner.table.reads(now, instance, reads || !is_teller);
        if !reads && is_teller && !self.shared.reader.load(Ordering::Acquire) {
            self.shared.store_outage_reported.store(now, Ordering::Release);
        }
    }

    /// Another instance asks to be told what it has not seen, now and from now on.
    pub(super) fn tell(&self, number: u32, request: &peer::StateRequest) {
        if self.shared.settings.store.is_none() {
            return;
        }
        let own = self.shared.records().ends();
        if let Some(conn) = self.inner.borrow_mut().conns.get_mut(&number) {
            let (offsets, eras) = (request.ends.as_deref(), request.eras.as_deref());
            conn.follows.knows(ends_of(offsets, eras, &own));
            conn.follows.ask(request.pieces == Some(true));
        }
        self.tell_on(number);
        self.tell_ends(number);
    }

    /// As one that reads the store: tells all that are told by this instance what is new.
    pub(super) fn tell_all(&self) {
        if !self.reads() {
            return;
        }
        let told: Vec<u32> = {
            let inner = self.inner.borrow();
            let told = inner.conns.iter().filter(|(_, conn)| conn.follows.is_told());
            told.map(|(number, _)| *number).collect()
        };
        for number in told {
            self.tell_on(number);
            self.tell_ends(number);
        }
    }

    /// Says at once how far this instance is, if the other side lags behind in what it is to fetch.
    fn tell_ends(&self, number: u32) {
        let own = self.shared.records().ends();
        let lags = {
            let inner = self.inner.borrow();
            let Some(conn) = inner.conns.get(&number) else { return };
            conn.follows.has(clock::now()) != own
        };
        if lags {
            self.send_on(number, self.heartbeat_now());
        }
    }

    /// Tells over a connection what the other side is not known to have and is not under way, but for what is
    /// long: that is fetched by whoever misses it. When it was sent to whoever seemed to lag, 702 of 1,175
    /// messages of some 360 KB had not been asked for (87 instances, 48 s, two versions of 1,400 routes).
    fn tell_on(&self, number: u32) {
        let now = clock::now();
        let (known, instance, most) = {
            let inner = self.inner.borrow();
            let Some(conn) = inner.conns.get(&number) else {
                return;
            };
            let most = if conn.follows.is_sent_all() { usize::MAX } else { PIECE };
            (conn.follows.has(now), conn.instance.clone(), most)
        };
        let ends = self.shared.records().ends_after(&known, most);
        if let Some(conn) = self.inner.borrow_mut().conns.get_mut(&number) {
            conn.follows.tell(now, ends);
        }
        let Some(snapshot) = self.update(&known, &ends, most) else {
            return;
        };
        if snapshot.len() >= LARGE {
            log::info!(instance = &*instance, bytes = snapshot.len(); "another instance is told much");
        }
        let position = ends.iter().map(|end| end.offset).sum::<u64>() as i64;
        self.send_on(number, Message::State(peer::State::new(position, snapshot)));
    }

    /// What one that knows the tables up to `known` has not seen up to `ends`, as bytes, of the tables of which
    /// that has fewer than `most`; `None` if it has seen all. The latest one is kept: where all instances
    /// start at once, most of them know the same.
    fn update(&self, known: &Ends, ends: &Ends, most: usize) -> Option<Vec<u8>> {
        let confirmed = self.shared.confirmed();
        let told: Told = (*known, *ends, confirmed);
        if let Some((_, bytes)) = self.inner.borrow().update.as_ref().filter(|(of, _)| *of == told)
        {
            return Some(bytes.clone());
        }
        let update = self.shared.update_since(known, most)?;
        match serde_json::to_vec(&update) {
            Ok(bytes) => {
                self.inner.borrow_mut().update = Some((told, bytes.clone()));
                Some(bytes)
            }
            Err(error) => {
                log::error!("the records of the store cannot be written: {error}");
                None
            }
        }
    }
}
