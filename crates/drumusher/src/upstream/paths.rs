//! The paths from this instance to backend servers: which of them are lost although the server works. Without I/O.
//!
//! A failed connection alone does not tell a lost path from a failed server. A path counts as lost once another instance
//! reached the server at the same time. Requests then go through a tunnel of such an instance, until a probe over the
//! path itself is answered.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
};

use drumusher_schedule::time::{MILLISECOND, Micros, SECOND};

use super::{Incarnation, incarnation};
use crate::version::{Backend, Directory, Pool};

/// Pause before the first probe of a lost path; doubled after each failed probe.
const MIN_PROBE_PAUSE: Micros = 500 * MILLISECOND;
/// Longest pause between two probes of a lost path.
const MAX_PROBE_PAUSE: Micros = 4 * SECOND;
/// Minimum interval between two checks whether the path to a silent backend server is lost.
const CHECK_INTERVAL: Micros = SECOND;
/// For this long after other instances did not reach a backend server either, they are not asked again.
const DOWN_RETENTION: Micros = 500 * MILLISECOND;
/// An instance that offered no path is asked last for this long.
const INSTANCE_PAUSE: Micros = 3 * SECOND;
/// Number of lost paths from which on this instance counts as isolated if no backend server answers it.
const MIN_LOST: usize = 2;

/// A path that is lost.
#[derive(Debug)]
struct Lost {
    pool: Pool,
    backend: Backend,
    since: Micros,
    probe_at: Micros,
    pause: Micros,
}

#[derive(Debug, Default)]
struct Inner {
    lost: HashMap<Incarnation, Lost>,
    /// When each backend server last sent anything over its path.
    heard: HashMap<Incarnation, Micros>,
    /// When any of them did.
    heard_any: Micros,
    /// When the path to a silent backend server was last checked.
    checked: HashMap<Incarnation, Micros>,
    /// Backend servers for which other instances are being asked for a path.
    asking: HashSet<Incarnation>,
    /// When no instance reached a backend server.
    down: HashMap<Incarnation, Micros>,
    /// Until when instances that offered no path are asked last.
    paused_instances: HashMap<Arc<str>, Micros>,
}

/// Marks that other instances are being asked for a path to a backend server, until it is dropped.
#[derive(Debug)]
pub struct Asking<'a> {
    paths: &'a Paths,
    server: Incarnation,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.paths.lock().asking.remove(&self.server);
    }
}

/// The paths from this instance to all backend servers.
#[derive(Debug, Default)]
pub struct Paths {
    /// Number of lost paths, so that no lock is taken while there are none.
    count: AtomicUsize,
    inner: Mutex<Inner>,
}

impl Paths {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    /// Number of lost paths.
    pub fn lost_count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Whether requests for a backend server go through another instance: its path is lost, or this instance is
    /// isolated.
    pub fn is_lost(&self, backend: &Backend) -> bool {
        if self.lost_count() == 0 {
            return false;
        }
        let inner = self.lock();
        inner.lost.contains_key(&incarnation(backend)) || inner.is_isolated()
    }

    /// Whether no backend server has answered this instance since it lost several paths.
    pub fn is_isolated(&self) -> bool {
        self.lost_count() >= MIN_LOST && self.lock().is_isolated()
    }

    /// Records that a backend server sent something over its path.
    pub fn record_heard(&self, now: Micros, backend: &Backend) {
        let mut inner = self.lock();
        inner.heard_any = now;
        inner.heard.insert(incarnation(backend), now);
    }

    /// Whether a backend server sent anything over its path after `since`.
    pub fn was_heard_after(&self, since: Micros, backend: &Backend) -> bool {
        self.lock().heard.get(&incarnation(backend)).is_some_and(|at| *at > since)
    }

    /// Records that another instance reached a backend server that this one does not reach. Returns whether its path
    /// was not lost before.
    pub fn record_lost(&self, now: Micros, pool: &Pool, backend: &Backend) -> bool {
        let mut inner = self.lock();
        let lost = Lost {
            pool: pool.clone(),
            backend: backend.clone(),
            since: now,
            probe_at: now + MIN_PROBE_PAUSE,
            pause: MIN_PROBE_PAUSE,
        };
        inner.down.remove(&incarnation(backend));
        let new = !inner.lost.contains_key(&incarnation(backend));
        inner.lost.entry(incarnation(backend)).or_insert(lost);
        self.count.store(inner.lost.len(), Ordering::Release);
        new
    }

    /// Records that a probe over a path was answered. Returns whether it was lost before.
    pub fn record_restored(&self, now: Micros, backend: &Backend) -> bool {
        self.record_heard(now, backend);
        let mut inner = self.lock();
        let was_lost = inner.lost.remove(&incarnation(backend)).is_some();
        self.count.store(inner.lost.len(), Ordering::Release);
        was_lost
    }

    /// Records that other instances did not reach a backend server either, so that its path is not known to be lost.
    pub fn record_down(&self, now: Micros, backend: &Backend) {
        let mut inner = self.lock();
        inner.down.retain(|_, at| now < *at + DOWN_RETENTION);
        inner.down.insert(incarnation(backend), now);
        inner.lost.remove(&incarnation(backend));
        self.count.store(inner.lost.len(), Ordering::Release);
    }

    /// Begins to ask other instances for a path to a backend server; `None` if they are being asked, or have just been.
    pub fn begin_asking(&self, now: Micros, backend: &Backend) -> Option<Asking<'_>> {
        let server = incarnation(backend);
        let mut inner = self.lock();
        let was_down = inner.down.get(&server).is_some_and(|at| now < at + DOWN_RETENTION);
        let may_ask = !was_down && inner.asking.insert(server.clone());
        may_ask.then(|| Asking { paths: self, server })
    }

    /// Whether other instances are being asked for a path to a backend server.
    pub fn is_being_asked(&self, backend: &Backend) -> bool {
        self.lock().asking.contains(&incarnation(backend))
    }

    /// When the path to a backend server was lost, if it is.
    pub fn lost_since(&self, backend: &Backend) -> Option<Micros> {
        if self.lost_count() == 0 {
            return None;
        }
        let inner = self.lock();
        let own = inner.lost.get(&incarnation(backend)).map(|lost| lost.since);
        own.or_else(|| inner.is_isolated().then(|| inner.latest_loss()).flatten())
    }

    /// Whether the path to a backend server that has been silent since `since` is to be checked now.
    pub fn begin_check(&self, now: Micros, backend: &Backend, since: Micros) -> bool {
        let mut inner = self.lock();
        let key = incarnation(backend);
        let is_heard = inner.heard.get(&key).is_some_and(|at| *at > since);
        let is_checked = inner.checked.get(&key).is_some_and(|at| now < at + CHECK_INTERVAL);
        let due = !is_heard && !is_checked && !inner.lost.contains_key(&key);
        if due {
            inner.checked.insert(key, now);
        }
        due
    }

    /// The backend server whose lost path is to be probed now, with its pool. The next probe of that path is scheduled.
    pub fn next_probe(&self, now: Micros) -> Option<(Pool, Backend)> {
        let mut inner = self.lock();
        let due = inner.lost.values_mut().filter(|lost| now >= lost.probe_at);
        let lost = due.min_by_key(|lost| lost.probe_at)?;
        lost.probe_at = now + lost.pause;
        lost.pause = (lost.pause * 2).min(MAX_PROBE_PAUSE);
        Some((lost.pool.clone(), lost.backend.clone()))
    }

    /// Records that an instance offered no path.
    pub fn pause_instance(&self, now: Micros, instance: &Arc<str>) {
        let mut inner = self.lock();
        inner.paused_instances.retain(|_, until| now < *until);
        inner.paused_instances.insert(instance.clone(), now + INSTANCE_PAUSE);
    }

    /// Whether an instance offered no path a moment ago.
    pub fn is_instance_paused(&self, now: Micros, instance: &str) -> bool {
        self.lock().paused_instances.get(instance).is_some_and(|until| now < *until)
    }

    /// Forgets the backend servers that are not listed any more.
    pub fn keep_listed(&self, directory: &Directory) {
        let mut inner = self.lock();
        let listed: usize = directory.pools.values().map(|servers| servers.len()).sum();
        let kept = inner.lost.len() + inner.down.len();
        if kept == 0 && inner.heard.len() <= 2 * listed && inner.checked.len() <= 2 * listed {
            return;
        }
        let is_listed = |(name, started): &Incarnation| {
            let mut listed = directory.pools.values().filter_map(|servers| servers.get(name));
            listed.any(|server| server.started_ms == *started)
        };
        inner.lost.retain(|key, _| is_listed(key));
        inner.heard.retain(|key, _| is_listed(key));
        inner.checked.retain(|key, _| is_listed(key));
        inner.down.retain(|key, _| is_listed(key));
        self.count.store(inner.lost.len(), Ordering::Release);
    }
}

impl Inner {
    fn is_isolated(&self) -> bool {
        let first_loss = self.lost.values().map(|lost| lost.since).min();
        self.lost.len() >= MIN_LOST && first_loss.is_some_and(|since| self.heard_any < since)
    }

    fn latest_loss(&self) -> Option<Micros> {
        self.lost.values().map(|lost| lost.since).max()
    }
}
