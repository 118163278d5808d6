//! Faults, notices and replacements of backend servers.

use std::{
    ops::Range,
    time::{Duration, Instant},
};

use drumusher_adapter_stand_in::{Fault, Notice};
use rand::RngExt;

use super::{Injector, recovery::Recovery};
use crate::{
    soak::notice,
    support::{DESK, MODEL},
};

/// How long a backend server announces a notice, in milliseconds; a limit has to be kept after 3 s.
const NOTICE_DURATION_MS: Range<u64> = 1_000..9_000;
/// Most backend servers that leave for good; each is replaced by a new one.
const MAX_DEPARTED_SERVERS: usize = 4;
/// Faults of backend servers to draw from.
const SERVER_FAULTS: [Fault; 11] = [
    Fault::Overloaded,
    Fault::Misdirected,
    Fault::Fails,
    Fault::Reset,
    Fault::Hang,
    Fault::Cut,
    Fault::Garbled,
    Fault::Extra,
    Fault::Crossed,
    Fault::CutStream,
    Fault::Slow,
];

/// The service of a backend server, by the first letter of its ID.
pub(super) fn service_of(id: &str) -> &'static str {
    if id.starts_with('d') { DESK } else { MODEL }
}

impl Injector<'_> {
    /// Makes a backend server fail in some way.
    pub(super) fn server_fault(&mut self) {
        let at = self.random.random_range(0..self.deployment.servers.len());
        let fault = SERVER_FAULTS[self.random.random_range(0..SERVER_FAULTS.len())];
        self.deployment.servers[at].set(fault);
        self.schedule_recovery(Recovery::ClearServerFault(at));
    }

    /// Makes a backend server announce a notice, for longer than other faults last. One that asks for a
    /// rest refuses requests meanwhile.
    pub(super) fn announce_notice(&mut self) {
        let at = self.random.random_range(0..self.deployment.servers.len());
        let notice = notice::random_notice(&mut self.random);
        let server = &self.deployment.servers[at];
        if self.journal.departed_servers().contains(&server.id) {
            return;
        }
        if notice.rest.is_some() {
            server.set(Fault::Overloaded);
            self.schedule_recovery(Recovery::ClearServerFault(at));
        }
        self.deployment.servers[at].announce(notice);
        let duration = Duration::from_millis(self.random.random_range(NOTICE_DURATION_MS));
        self.due.retain(|(_, other)| *other != Recovery::ClearNotice(at));
        self.due.push((Instant::now() + duration, Recovery::ClearNotice(at)));
    }

    /// Replaces a backend server, which leaves for good, by a new one.
    pub(super) fn replace_server(&mut self) {
        let departed_servers = self.journal.departed_servers();
        let present =
            self.deployment.servers.iter().filter(|server| !departed_servers.contains(&server.id));
        let present: Vec<(String, String)> = present
            .map(|server| (server.id.clone(), server.entry(service_of(&server.id), "draining")))
            .collect();
        if departed_servers.len() >= MAX_DEPARTED_SERVERS {
            return;
        }
        let (id, entry) = &present[self.random.random_range(0..present.len())];
        self.replaced += 1;
        let service = service_of(id);
        self.deployment.add_server(&format!("{}r{}", &id[..1], self.replaced), service);
        self.deployment.server(id).announce(Notice::leaving());
        self.deployment.store.put("keyed.servers", id, entry);
        self.journal.record_departure(id);
    }
}
