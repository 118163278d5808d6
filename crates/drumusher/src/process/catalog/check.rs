//! Checks with the store that the known software versions of the backend servers are the present ones.
//!
//! What is known may be old: this instance may have been cut off or paused, and servers of another version may have been
//! listed meanwhile. What the store answers to a call that began after a caller came covers all versions at which the
//! caller's stream can have begun, also those that are gone by now.

use std::rc::Rc;

use drumusher_platform::{
    Error,
    catalog::{Store, Table},
};
use futures_util::future::try_join;
use ntex::{
    rt,
    time::{Millis, sleep},
};

use super::{Catalog, poll::Outcome, versions};
use crate::process::{clock, dispatch};

/// Shortest time between two checks. One check serves all asks that came before it.
const MIN_INTERVAL_MS: u64 = 100;
/// Longest time between two checks, well within the time for which asks wait for one.
const MAX_INTERVAL_MS: u64 = 1_000;
/// Maximum rate of checks of all dispatchers together, as far as the intervals allow. Each makes two calls.
const MAX_CHECKS_PER_SECOND: u64 = 40;
/// Maximum number of reads of the table of servers in one check: others may write to it meanwhile.
const MAX_READS: usize = 4;

/// The state of the check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum State {
    /// None is under way.
    #[default]
    Idle,
    /// One is under way.
    Running,
    /// One is under way that began before the latest request.
    Outdated,
}

/// Requests a check that begins from now on.
pub(super) fn request<S: Store + 'static>(catalog: &Rc<Catalog<S>>) {
    if catalog.check.replace(State::Outdated) == State::Idle {
        rt::spawn(run(catalog.clone()));
    }
}

/// Checks until there is no later request.
async fn run<S: Store + 'static>(catalog: Rc<Catalog<S>>) {
    loop {
        catalog.check.set(State::Running);
        let began = clock::now();
        let result = catalog.check_versions().await;
        if let Err(error) = &result {
            log::info!("software versions are not checked: the store {error}");
        }
        let shared = &catalog.shared;
        shared.streams().record_check(began, matches!(result, Ok(true)));
        let _ = shared.dispatch.try_send(dispatch::Input::VersionsChecked);
        if catalog.check.get() == State::Running {
            return catalog.check.set(State::Idle);
        }
        sleep(catalog.check_interval()).await;
    }
}

impl<S: Store + 'static> Catalog<S> {
    /// Reads what was listed meanwhile. Returns whether the known versions are the present ones now.
    async fn check_versions(self: &Rc<Self>) -> Result<bool, Error> {
        if !self.is_known(Table::Servers) {
            return Ok(false);
        }
        let (records, is_current) =
            try_join(self.store.start_records(), self.read_servers_to_end()).await?;
        versions::merge(&self.shared, &records);
        Ok(is_current)
    }

    /// Reads the changes of the table of servers. Returns whether its end was reached.
    async fn read_servers_to_end(self: &Rc<Self>) -> Result<bool, Error> {
        for _ in 0..MAX_READS {
            match self.read_changes(Table::Servers, 0).await? {
                Outcome::Unchanged => return Ok(true),
                Outcome::Changed => {}
                Outcome::Stale | Outcome::Dropped | Outcome::Abandoned => return Ok(false),
            }
        }
        Ok(false)
    }

    /// Time between two checks.
    fn check_interval(&self) -> Millis {
        let directory = self.shared.directory.load();
        let dispatchers: usize =
            directory.pools.keys().map(|pool| directory.dispatchers(pool)).sum();
        let interval_ms = dispatchers as u64 * 1_000 / MAX_CHECKS_PER_SECOND;
        Millis(interval_ms.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS) as u32)
    }
}
