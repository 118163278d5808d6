//! Reading the store's tables: which instance does so, how long it waits, and what it does when a
//! call fails.

use std::{pin::pin, rc::Rc, sync::atomic::Ordering};

use drumusher_log::position::{Era, Position};
use drumusher_platform::{
    Error,
    catalog::{Changes, Store, Table},
};
use drumusher_schedule::time::{MILLISECOND, Micros};
use futures_util::future::{Either, select};
use ntex::time::{Millis, sleep};

use super::{Backoff, Catalog, News};
use crate::process::clock;

/// Pause after a change, which gathers its neighbours into one call. The first reader tells the others
/// within a heartbeat, so that they can gather for longer.
const GATHER: Millis = Millis(100);
/// The same at readers that are not the first. A backend server that is leaving must get nothing new
/// after two seconds, also when the first reader was turned away.
const GATHER_OTHERS: Millis = Millis(400);
/// The readers that are not the first wait for a change so many times longer in one call. Should the
/// first one be gone when a call is lost, they find out in three seconds.
pub(super) const WAIT_OTHERS: u64 = 2;
/// Time beyond that within which such a call has failed, in milliseconds: the store's client waits 700 ms more for the
/// answer, and timers fire late.
pub(super) const FAILED_AFTER: u64 = 1_000;
/// Longest wait for a change of a table that changes seldom, in milliseconds. Of a new instance others learn by its
/// connection to a reader, and of a request that ends backend servers by its dispatcher, so that a lost call does no
/// harm here.
const WAIT_LONG: u64 = 10_000;
/// One whom no reader told that it reads the store within this reads it itself: four heartbeats, half
/// of the time within which a change has to be in force.
pub(super) const TOLD_WITHIN: Micros = 1_000 * MILLISECOND;
/// How long after its start an instance expects to be told by those that read the store. When 84
/// instances started at once on an eighth of a core each, most of them were told within two seconds.
const START: Micros = 2_000 * MILLISECOND;
/// The teller of what this instance reads itself.
const OWN: &str = "";
/// Time between two looks whether to read.
const IDLE: Millis = Millis(50);
/// Pause after a call that was answered sooner than this and brought nothing.
const AT_ONCE: Millis = Millis(50);

/// Reads a table whole and then its changes, for ever, as far as nobody else tells them.
pub(super) async fn follow<S: Store + 'static>(catalog: Rc<Catalog<S>>, table: Table) {
    let mut backoff = Backoff::new();
    let restored = catalog.restores();
    let mut known = catalog.is_known(table);
    loop {
        if catalog.is_told()
            || catalog.leaves_to_another(table)
            || catalog.waits_for_configuration(table)
        {
            known = catalog.is_known(table);
            catalog.rest();
            sleep(IDLE).await;
            continue;
        }
        let began = clock::now();
        known &= !catalog.is_of_earlier_era(table);
        let read = if known {
            catalog.read_on_unless(table, &restored).await
        } else {
            catalog.read(table).await
        };
        catalog.count(table, &read);
        if table == Table::Configuration {
            catalog.probing.set(read.is_err());
        }
        match read {
            Ok(Read::Changed) => {
                known = true;
                backoff.reset();
                sleep(catalog.gather()).await;
            }
            Ok(Read::Unchanged) => {
                known = true;
                backoff.reset();
                if clock::now() < began + u64::from(AT_ONCE.0) * MILLISECOND {
                    sleep(AT_ONCE).await;
                }
            }
            Ok(read @ (Read::Dropped | Read::Behind)) => {
                known = read == Read::Behind;
                sleep(backoff.next(true)).await;
            }
            Err(error) => {
                catalog.failed(table, began, &error);
                let reader = catalog.shared.reader.load(Ordering::Acquire);
                let urgent = reader || !known && table != Table::Quarantine;
                sleep(backoff.next(urgent)).await;
            }
        }
    }
}

/// Whether a table changes so seldom that one call may wait long.
fn waits_long(table: Table) -> bool {
    matches!(table, Table::Instances | Table::Quarantine)
}

/// What a read of a table brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Read {
    /// Records, which were taken.
    Changed,
    /// Nothing that is not known.
    Unchanged,
    /// A whole table that ends before the known end, which was not taken.
    Behind,
    /// The store has no changes since the known end, or came back from a copy: the table has to be read whole.
    Dropped,
}

impl Read {
    /// Its word in metrics.
    fn word(self) -> &'static str {
        match self {
            Read::Changed => "changed",
            Read::Unchanged => "unchanged",
            Read::Behind => "behind",
            Read::Dropped => "dropped",
        }
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Counts what a read brought; those that fail have a counter of their own.
    fn count(&self, table: Table, read: &Result<Read, Error>) {
        if let Ok(read) = read {
            let labels = [("table", table.word()), ("brought", read.word())];
            self.shared.telemetry.count("drumusher.store.reads", &labels);
        }
    }

    /// Whether a part of a table is known, so that its changes can be read.
    fn is_known(&self, table: Table) -> bool {
        !self.shared.records().end(table).is_start()
    }

    /// Whether another instance reads the store and tells this one. It is taken for granted while
    /// all instances start, if others are listed.
    fn is_told(&self) -> bool {
        let shared = &self.shared;
        let now = clock::now();
        if shared.reader.load(Ordering::Acquire) {
            return false;
        }
        let told = shared.store_reader_seen.load(Ordering::Acquire);
        let starting = now < self.began + START;
        starting && self.others_are_listed() || now < told + TOLD_WITHIN
    }

    /// Whether the task of another table finds out first whether the store is back. The one of the
    /// configuration does so for all once its own latest call failed: a third of the calls that fail. While
    /// that one waits for a change it finds nothing out, so that the failure of another call, say one that
    /// began before a cut which is over, holds up nobody.
    fn leaves_to_another(&self, table: Table) -> bool {
        // A table that changes seldom may be empty.
        let read_before = waits_long(table) || self.is_known(table);
        table != Table::Configuration && read_before && self.probing.get()
    }

    /// Whether a table is left alone until there is a configuration, without which no request is taken: where hundreds of
    /// instances start at once, the calls for it go before those for a table that is nearly always empty.
    fn waits_for_configuration(&self, table: Table) -> bool {
        table == Table::Quarantine && self.shared.routing.load().is_none()
    }

    /// Reads a whole table, unless another instance told of more meanwhile.
    pub(super) async fn read(self: &Rc<Self>, table: Table) -> Result<Read, Error> {
        let page = self.store.newest(table).await?;
        self.answered(page.end.era);
        let known = self.shared.records().end(table);
        if page.end < known {
            self.note_behind(table, page.end, known);
            return Ok(Read::Behind);
        }
        self.saw(table, page.end);
        let news = self.shared.records().replace(table, page.records, page.end);
        self.take(news, OWN);
        Ok(Read::Changed)
    }

    /// Reads the changes of a table, unless the store turns out to have come back from a copy: the call may wait at an
    /// offset that means something else by now.
    async fn read_on_unless(
        self: &Rc<Self>,
        table: Table,
        restored: &async_channel::Receiver<()>,
    ) -> Result<Read, Error> {
        // Of a restore after which the table was read already.
        let _ = restored.try_recv();
        match select(pin!(self.read_on(table)), pin!(restored.recv())).await {
            Either::Left((read, _)) => read,
            Either::Right(_) => Ok(Read::Dropped),
        }
    }

    /// Logs that a whole table ends before the known end, once for each such pair of ends.
    fn note_behind(&self, table: Table, end: Position, known: Position) {
        let ends = Some((table, end, known));
        if self.behind.replace(ends) != ends {
            log::warn!(table = table.word(), end:% = end, known:% = known; "the store's table ends before what is known of it");
        }
    }

    /// Reads the changes of a table since the known end.
    async fn read_on(self: &Rc<Self>, table: Table) -> Result<Read, Error> {
        let from = self.shared.records().end(table);
        let wait = self.wait_ms(table);
        let changes = self.store.changes(table, from, wait).await?;
        self.answered(from.era);
        match changes {
            Changes::ResyncRequired => Ok(Read::Dropped),
            Changes::Records(records, _) if records.is_empty() => Ok(Read::Unchanged),
            Changes::Records(records, end) => {
                self.saw(table, end);
                // Another instance may have told of later ones meanwhile.
                if self.shared.records().end(table) == from {
                    self.shared.records().append(table, &records, end);
                    self.take(News::Changes(table, records), OWN);
                }
                Ok(Read::Changed)
            }
        }
    }

    /// How long the store may wait for a change. While it is away calls are short, so that its
    /// return is seen soon and no call hangs beyond it.
    fn wait_ms(&self, table: Table) -> u64 {
        let away = self.shared.store_unavailable.load(Ordering::Acquire);
        let first = self.shared.first_reader.load(Ordering::Acquire);
        match &self.shared.settings.store {
            Some(_) if !away && waits_long(table) => WAIT_LONG,
            Some(store) if !away && first => store.wait_ms,
            Some(store) if !away => store.wait_ms * WAIT_OTHERS,
            _ => 0,
        }
    }

    /// How long to gather the neighbours of a change.
    fn gather(&self) -> Millis {
        let first = self.shared.first_reader.load(Ordering::Acquire);
        if first { GATHER } else { GATHER_OTHERS }
    }

    /// The store answered a call, with what it has in an era.
    fn answered(&self, era: Era) {
        self.note_era(era);
        let suspected = self.is_suspected();
        if self.state.borrow_mut().entries.sight_mut().answered(clock::now(), suspected) {
            log::info!(suspected = suspected; "the store answers again");
        }
        self.shared.store_unavailable.store(false, Ordering::Release);
    }

    /// Whether the latest word of those who read the store for this instance was that they get no answers.
    fn is_suspected(&self) -> bool {
        let unread = self.shared.store_outage_reported.load(Ordering::Acquire);
        unread > 0 && unread >= self.shared.store_reader_seen.load(Ordering::Acquire)
    }

    /// Others tell what they read, so that this instance makes no calls.
    fn rest(&self) {
        if self.is_told() {
            self.state.borrow_mut().entries.sight_mut().rest(clock::now());
        }
    }

    /// A call to the store that `began` then failed; only the first one of several is logged, and those that tell
    /// of the past.
    pub(super) fn failed(&self, table: Table, began: Micros, error: &Error) {
        self.shared.telemetry.count("drumusher.store.failures", &[("table", table.word())]);
        let now = clock::now();
        let lasted = now.saturating_sub(began) / MILLISECOND;
        let (was_away, tells) = {
            let mut state = self.state.borrow_mut();
            let sight = state.entries.sight_mut();
            (sight.is_away(), sight.failed(began, now))
        };
        // Short calls find out. Until one is answered this instance does not say that it reads the store: four of nine
        // that did so for all, and were turned away in silence, went on saying it for 1.7 s more.
        self.shared.store_unavailable.store(true, Ordering::Release);
        if !tells {
            log::info!(table = table.word(), lasted_ms = lasted; "the store {error} to a long call");
        } else if !was_away {
            log::warn!(table = table.word(), lasted_ms = lasted; "the store {error}; what is in force stays");
        }
    }
}
