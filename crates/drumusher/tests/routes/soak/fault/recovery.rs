//! Recoveries, which end faults.

use std::{
    thread,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Fault, Notice, Outage};
use drumusher_bench::fleet::Mode;
use rand::RngExt;

use super::{FAULT_DURATION_MS, Injector, servers::service_of};

/// Time between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The action that ends a fault. Indexes are those of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Recovery {
    /// Opens the relay with this index, see [`Injector::relay_at`].
    OpenRelay(usize),
    /// Resumes a paused instance.
    Resume(usize),
    /// Restarts an instance that was killed or stopped, once its process has exited.
    Restart(usize),
    /// Clears the fault of a backend server.
    ClearServerFault(usize),
    /// Clears the notice of a backend server.
    ClearNotice(usize),
    /// Ends an outage of the platform that the duties call.
    RestorePlatform,
    /// Ends an outage of the store for one instance.
    ReconnectInstance(usize),
    /// Ends an outage of the store for all instances and registers the servers whose entries lapsed again.
    RestoreStore(Vec<usize>),
    /// Writes lost records of operators and backend servers again.
    Rewrite,
}

impl Injector<'_> {
    /// Ends all faults.
    pub fn recover_all(&mut self) {
        while !self.due.is_empty() {
            let latest = self.due.iter().map(|(at, _)| *at).max().expect("a recovery is scheduled");
            self.recover_due(latest);
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Schedules the end of a fault after a random time. It replaces an equal recovery that is already
    /// scheduled.
    pub(super) fn schedule_recovery(&mut self, recovery: Recovery) {
        let at =
            Instant::now() + Duration::from_millis(self.random.random_range(FAULT_DURATION_MS));
        self.due.retain(|(_, other)| *other != recovery);
        self.due.push((at, recovery));
    }

    /// Ends the faults whose recovery is due at `now`.
    pub(super) fn recover_due(&mut self, now: Instant) {
        let (due, later) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _)| *at <= now);
        self.due = later;
        let due: Vec<(Instant, Recovery)> = due;
        for (_, recovery) in due {
            self.recover(recovery);
        }
    }

    /// Ends one fault.
    fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::OpenRelay(relay_index) => {
                self.relay_at(relay_index).set(Mode::Open);
                self.record_peer_interruption(relay_index);
            }
            Recovery::Resume(at) => {
                self.journal.record_resume(format!("i{at}"));
                self.deployment.instances[at].signal("CONT");
                self.journal.record_interruption(at);
                self.down.retain(|down| *down != at);
            }
            Recovery::Restart(at) => self.restart(at),
            Recovery::ClearServerFault(at) => self.deployment.servers[at].set(Fault::None),
            Recovery::ClearNotice(at) => self.clear_notice(at),
            Recovery::RestorePlatform => self.duties.set_outage(Outage::None),
            Recovery::ReconnectInstance(at) => {
                self.deployment.instances[at].store_endpoint.set_outage(Outage::None)
            }
            Recovery::RestoreStore(lapsed) => self.end_store_outage(&lapsed),
            Recovery::Rewrite => self.rewrite(),
        }
    }

    /// Restarts an instance whose process has exited, or schedules another check, since a graceful stop
    /// takes a while.
    fn restart(&mut self, at: usize) {
        if self.deployment.instances[at].ended().is_none() {
            self.due.push((Instant::now() + EXIT_POLL_INTERVAL, Recovery::Restart(at)));
            return;
        }
        self.journal.record_restart(at);
        self.deployment.instances[at].restart();
        self.journal.record_interruption(at);
        self.down.retain(|down| *down != at);
    }

    /// Clears the notice of a backend server unless it is leaving for good.
    fn clear_notice(&mut self, at: usize) {
        let server = &self.deployment.servers[at];
        if !self.journal.departed_servers().contains(&server.id) {
            server.announce(Notice::default());
        }
    }

    /// Ends an outage of the store for all instances and writes the lapsed entries again.
    fn end_store_outage(&mut self, lapsed: &[usize]) {
        for instance in &self.deployment.instances {
            instance.store_endpoint.set_outage(Outage::None);
        }
        let departed_servers = self.journal.departed_servers();
        for at in lapsed {
            let server = &self.deployment.servers[*at];
            if !departed_servers.contains(&server.id) {
                let entry = server.entry(service_of(&server.id), "ready");
                self.deployment.store.put("keyed.servers", &server.id, &entry);
            }
        }
    }
}

impl Drop for Injector<'_> {
    /// Resumes paused instances.
    fn drop(&mut self) {
        for (_, recovery) in std::mem::take(&mut self.due) {
            if let Recovery::Resume(at) = recovery {
                self.deployment.instances[at].signal("CONT");
            }
        }
    }
}
