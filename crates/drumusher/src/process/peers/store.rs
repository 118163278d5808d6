//! Relaying what was read from the store to other instances, and subscribing to it.

use std::sync::{Arc, atomic::Ordering};

use drumusher_log::position::Position;
use drumusher_platform::catalog::Table;
use drumusher_schedule::time::MILLISECOND;
use drumusher_wire::peer::{self, Message};

use super::{Peers, Report, pieces::PIECE_BYTES};
use crate::process::{
    catalog::{Ends, Form, LARGE_UPDATE_BYTES, RELAY_TIMEOUT},
    clock, platform,
};

/// What an update was made from: the positions known to the other side, the positions known here, the position up to
/// which removals were confirmed, and the form.
pub(super) type UpdateKey = (Ends, Ends, Position, Form);

/// Decodes positions from their wire format; missing ones count as the start. The era of a program that sends no
/// eras is taken from `otherwise`.
fn parse_ends(offsets: Option<&[i64]>, eras: Option<&[i64]>, otherwise: &Ends) -> Ends {
    let number = |wire: Option<&[i64]>, table: usize| {
        wire.and_then(|wire| wire.get(table)).map(|number| (*number).max(0) as u64)
    };
    std::array::from_fn(|table| {
        let era = number(eras, table).unwrap_or(otherwise[table].era);
        Position::new(era, number(offsets, table).unwrap_or(0))
    })
}

impl Peers {
    /// The offsets up to which this instance knows the store's tables; `None` without a store.
    pub(super) fn ends(&self) -> Option<Vec<i64>> {
        self.shared.settings.store.as_ref()?;
        Some(self.shared.records().ends().iter().map(|end| end.offset as i64).collect())
    }

    /// The eras of these offsets; `None` without a store.
    pub(super) fn eras(&self) -> Option<Vec<i64>> {
        self.shared.settings.store.as_ref()?;
        Some(self.shared.records().ends().iter().map(|end| end.era as i64).collect())
    }

    /// The position up to which removals are confirmed; `None` without a store.
    pub(super) fn confirmed(&self) -> Option<Position> {
        self.shared.settings.store.as_ref()?;
        Some(self.shared.confirmed())
    }

    /// The version of the configuration in force; `None` if there is none yet.
    pub(super) fn version(&self) -> Option<i64> {
        self.shared.routing.load().as_ref().map(|routing| routing.version() as i64)
    }

    /// Whether another instance is behind this one in any table.
    pub(super) fn is_behind(&self, heartbeat: &peer::Heartbeat) -> bool {
        let own = self.shared.records().ends();
        let ends = parse_ends(heartbeat.ends.as_deref(), heartbeat.eras.as_deref(), &own);
        ends.iter().zip(&own).any(|(end, own)| end < own)
    }

    /// Whether the reads of another instance can be told from records that the store lost in a restore: it sends
    /// eras, or there are none.
    fn has_eras(&self, heartbeat: &peer::Heartbeat) -> bool {
        let own = self.shared.records().ends();
        heartbeat.eras.is_some() || own.iter().all(|end| end.era == 0)
    }

    /// Whether this instance reads the store and receives answers.
    pub(super) fn reads(&self) -> bool {
        let away = self.shared.store_unavailable.load(Ordering::Acquire);
        self.shared.reader.load(Ordering::Acquire) && !away
    }

    /// How long ago the store last answered this instance, in milliseconds; `None` if it does not read the store.
    pub(super) fn answered_ms_ago(&self) -> Option<i64> {
        let answered_at = self.shared.store_answered_at.load(Ordering::Acquire);
        let age = clock::now().saturating_sub(answered_at) / MILLISECOND;
        self.reads().then_some(age as i64)
    }

    /// Whether this instance reads the store, and has seen it available for so long that nothing it reads may merely
    /// have lapsed.
    pub(super) fn is_steady(&self) -> bool {
        let since = self.shared.store_stable_since.load(Ordering::Acquire);
        self.reads() && since > 0 && clock::now() >= since
    }

    /// This instance's entry while it is not known to be in the store; `None` without a store.
    pub(super) fn missing_entry(&self) -> Option<String> {
        self.shared.settings.store.as_ref()?;
        (!self.shared.is_registered()).then(|| self.shared.entry.clone())
    }

    /// Registers another instance that reports that it is not listed, if this instance reads the store and does not
    /// know the entry.
    pub(super) fn register_instance(&self, instance: &str, entry: &str) {
        let known = self.shared.records().value(Table::Instances, instance) == Some(entry);
        if known || !self.reads() {
            return;
        }
        let input = platform::Input::Register(instance.into(), entry.into());
        if self.shared.platform.try_send(input).is_err() {
            log::warn!(instance = instance; "platform queue full; an instance has to send its entry again");
        }
    }

    /// Updates this instance's role as a reader, and subscribes to its source among the readers. A reader
    /// subscribes to all other readers, for the updates it misses while it cannot reach the store itself.
    pub(super) fn update_sources(&self) {
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
        let source = self.inner.borrow().table.view().assigned_reader(clock::now());
        let sources = if own { readers.clone() } else { source.into_iter().collect() };
        for reader in sources.iter().filter(|reader| **reader != self.shared.name) {
            if self.needs_subscription(reader) {
                self.subscribe(reader);
            }
        }
        let mut inner = self.inner.borrow_mut();
        if inner.sources != sources {
            let names = sources.iter().map(|source| &**source).collect::<Vec<_>>().join(",");
            log::info!(sources = names.as_str(); "sources of the store's records");
        }
        inner.sources = sources;
        inner.readers = readers;
    }

    /// Whether a reader does not know of the subscription: there is no connection, or it was opened before the
    /// reader became a source.
    fn needs_subscription(&self, reader: &Arc<str>) -> bool {
        let inner = self.inner.borrow();
        !inner.links.contains_key(reader) || !inner.sources.contains(reader)
    }

    fn subscribe(&self, reader: &Arc<str>) {
        let position = self.shared.position() as i64;
        let request = peer::StateRequest::new(position, self.ends(), true, self.eras(), true);
        self.send(reader, Message::StateRequest(request));
        if self.missing_entry().is_some() {
            self.send(reader, self.current_heartbeat());
        }
    }

    /// Handles the store-related part of a heartbeat: whether the other instance reads the store, which removals it
    /// has confirmed, and whether it is behind, now and at its previous heartbeat.
    pub(super) fn on_store_heartbeat(
        &self,
        number: u32,
        instance: &Arc<str>,
        heartbeat: &peer::Heartbeat,
        behind: bool,
        was_behind: bool,
    ) {
        let current_ms = self.shared.settings.store.as_ref().map_or(0, |store| store.current_ms());
        let mut report = Report::new(heartbeat, clock::now(), current_ms);
        report.reads &= self.has_eras(heartbeat);
        self.note_report(instance, &report);
        let era = heartbeat.confirmed_era.unwrap_or(0).max(0) as u64;
        let confirmed = heartbeat.confirmed.unwrap_or(0).max(0) as u64;
        self.shared.confirm(Position::new(era, confirmed));
        let (offsets, eras) = (heartbeat.ends.as_deref(), heartbeat.eras.as_deref());
        self.request_updates(
            number,
            instance,
            &parse_ends(offsets, eras, &Ends::default()),
            heartbeat.version,
        );
        let ends = parse_ends(offsets, eras, &self.shared.records().ends());
        // A subscriber is updated at once. A reader, or a subscriber of another instance, is updated only if it has
        // been behind for longer than its own source would take.
        let subscribed = match self.inner.borrow_mut().conns.get_mut(&number) {
            Some(conn) => {
                conn.replica.report(ends);
                conn.replica.is_subscribed()
            }
            None => return,
        };
        let at_once = subscribed && self.reads() && heartbeat.reads != Some(true);
        if behind && (at_once || was_behind) {
            self.relay_to(number);
        }
    }

    /// Notes what another instance reports about the store. A source whose records are not current is replaced by another
    /// one that may have answers: when it remained the only source, four instances read the store themselves just after
    /// its return, and dropped all entries that had expired meanwhile.
    fn note_report(&self, instance: &Arc<str>, report: &Report) {
        let now = clock::now();
        let current = report.is_current(now);
        if report.reads {
            self.shared.store_reader_seen.store(now, Ordering::Release);
        }
        if current {
            self.shared.store_fed_until.fetch_max(report.current_until, Ordering::AcqRel);
        }
        let mut inner = self.inner.borrow_mut();
        // The list is computed once per heartbeat interval: ranking hundreds of instances at each heartbeat is costly.
        let is_reader = inner.readers.contains(instance);
        inner.table.set_store_readable(now, instance, current || !is_reader);
        if !report.reads && is_reader && !self.shared.reader.load(Ordering::Acquire) {
            self.shared.store_outage_reported.store(now, Ordering::Release);
            self.shared.telemetry.count("drumusher.store.outage_reports", &[]);
        }
        drop(inner);
        self.note_steadiness(instance, current && report.steady);
    }

    /// Notes whether the latest word of another instance is that the store has answered all its calls for long enough.
    /// Its earlier word does not count any more if it is not: it may be from just before an outage.
    pub(super) fn note_steadiness(&self, instance: &Arc<str>, steady: bool) {
        let now = clock::now();
        let steady_by = &mut self.inner.borrow_mut().steady;
        if steady {
            steady_by.insert(instance.clone(), now);
            self.shared.store_steady_heard.store(now, Ordering::Release);
        } else {
            steady_by.remove(instance);
        }
        let steady_seen = steady_by.values().max().copied().unwrap_or(0);
        self.shared.store_steady_seen.store(steady_seen, Ordering::Release);
        let reported = self.shared.store_outage_reported.load(Ordering::Acquire);
        if steady_seen > reported + RELAY_TIMEOUT {
            self.shared.store_outage_reported.store(0, Ordering::Release);
        }
    }

    /// Handles a subscription: sends what the other instance lacks, now and from now on.
    pub(super) fn on_subscribe(&self, number: u32, request: &peer::StateRequest) {
        if self.shared.settings.store.is_none() {
            return;
        }
        let own = self.shared.records().ends();
        if let Some(conn) = self.inner.borrow_mut().conns.get_mut(&number) {
            let (offsets, eras) = (request.ends.as_deref(), request.eras.as_deref());
            conn.replica.report(parse_ends(offsets, eras, &own));
            conn.replica.subscribe(request.pieces == Some(true));
            conn.replica.set_patches(request.patches == Some(true));
        }
        self.relay_to(number);
        self.send_ends(number);
    }

    /// Relays new records to all subscribers, as a reader.
    pub(super) fn relay_to_subscribers(&self) {
        if !self.reads() {
            return;
        }
        let subscribers: Vec<u32> = {
            let inner = self.inner.borrow();
            let subscribers = inner.conns.iter().filter(|(_, conn)| conn.replica.is_subscribed());
            subscribers.map(|(number, _)| *number).collect()
        };
        for number in subscribers {
            self.relay_to(number);
            self.send_ends(number);
        }
    }

    /// Sends this instance's positions at once if the other side has to fetch what it lacks.
    fn send_ends(&self, number: u32) {
        let own = self.shared.records().ends();
        let is_behind = {
            let inner = self.inner.borrow();
            let Some(conn) = inner.conns.get(&number) else { return };
            conn.replica.expected(clock::now()) != own
        };
        if is_behind {
            self.send_on(number, self.current_heartbeat());
        }
    }

    /// Sends what the other side is not known to have and is not in flight to it, except large updates, which are
    /// fetched by the instance that lacks them. When they were sent to every instance that seemed to be behind, 702
    /// of 1,175 messages of some 360 KB had not been requested (87 instances, 48 s, two versions of 1,400 routes).
    fn relay_to(&self, number: u32) {
        let now = clock::now();
        let (known, instance, max_bytes, form) = {
            let inner = self.inner.borrow();
            let Some(conn) = inner.conns.get(&number) else {
                return;
            };
            let max_bytes =
                if conn.replica.receives_large_updates() { usize::MAX } else { PIECE_BYTES };
            (conn.replica.expected(now), conn.instance.clone(), max_bytes, conn.replica.form())
        };
        let (from, ends) = {
            let confirmed = self.shared.confirmed();
            let records = self.shared.records();
            // The receiver would hold a removal that is not confirmed; a reader that has had the store sends it with its
            // confirmation.
            let from = if self.relays_unconfirmed_removals() {
                known
            } else {
                records.without_unconfirmed_removals(&known, confirmed)
            };
            let mut ends = records.ends_after(&from, max_bytes, form);
            for table in (0..ends.len()).filter(|table| from[*table] != known[*table]) {
                ends[table] = known[table];
            }
            (from, ends)
        };
        if let Some(conn) = self.inner.borrow_mut().conns.get_mut(&number) {
            conn.replica.record_sent(now, ends);
        }
        let Some(snapshot) = self.encoded_update(&from, &ends, max_bytes, form) else {
            return;
        };
        if snapshot.len() >= LARGE_UPDATE_BYTES {
            log::info!(instance = &*instance, bytes = snapshot.len(); "sending a large update to another instance");
        }
        let position = ends.iter().map(|end| end.offset).sum::<u64>() as i64;
        self.send_on(number, Message::State(peer::State::new(position, snapshot)));
    }

    /// Whether this instance passes on removals that are not confirmed: as a reader, unless another one that has had the
    /// store for long enough is heard from.
    fn relays_unconfirmed_removals(&self) -> bool {
        let steady_seen = self.shared.store_steady_seen.load(Ordering::Acquire);
        let reader = self.shared.reader.load(Ordering::Acquire);
        reader && (self.is_steady() || clock::now() >= steady_seen + RELAY_TIMEOUT)
    }

    /// The encoded update from `known` up to `ends`, with the tables whose part is shorter than `max_bytes`; `None`
    /// if there is none. The latest one is cached: when all instances start at once, most of them know the same
    /// positions.
    fn encoded_update(
        &self,
        known: &Ends,
        ends: &Ends,
        max_bytes: usize,
        form: Form,
    ) -> Option<Vec<u8>> {
        let confirmed = self.shared.confirmed();
        let key: UpdateKey = (*known, *ends, confirmed, form);
        if let Some((_, bytes)) =
            self.inner.borrow().cached_state.as_ref().filter(|(of, _)| *of == key)
        {
            return Some(bytes.clone());
        }
        let update = self.shared.update_since(known, max_bytes, form)?;
        match serde_json::to_vec(&update) {
            Ok(bytes) => {
                self.inner.borrow_mut().cached_state = Some((key, bytes.clone()));
                Some(bytes)
            }
            Err(error) => {
                log::error!("cannot serialize an update of the store's records: {error}");
                None
            }
        }
    }
}
