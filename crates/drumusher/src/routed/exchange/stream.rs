//! Binds a stream to the software version that began it, by the instance itself and when its caller takes it up.

use drumusher_platform::{dialect::Dialect, routing::Kind};
use drumusher_schedule::time::Micros;

use super::{Exchange, Request};
use crate::{
    process::{
        Shared,
        broker::{Grant, Stream},
        clock,
        streams::Record,
    },
    routed::digest,
    version::Backend,
};

/// The stream of a request, if its caller may take it up again or does so.
pub(super) fn of_request(shared: &Shared, request: &Request, deadline: Micros) -> Option<Stream> {
    let route_match = &request.route_match;
    if route_match.kind != Kind::Resumable {
        return None;
    }
    let head = &request.head;
    let workspace = route_match.workspace.as_deref().unwrap_or_default();
    let began = head.resumes.as_deref().unwrap_or(&head.id);
    let key = digest::of_stream(&shared.settings.fleet_secret, workspace, began);
    let named = head.resumes.is_some();
    let resumed = named || head.last_event.is_some();
    let version = named.then(|| shared.streams().version(clock::now(), key)).flatten();
    Some(Stream { key, until: deadline, resumed, named, version })
}

impl<D: Dialect> Exchange<D> {
    /// Whether a granted backend server may go on with the stream: it has the software version that began it, and the
    /// stream is not known to have begun at another service, from which its route was moved. The grant of a dispatcher of an earlier release names none.
    pub(super) fn may_continue(&self, grant: &Grant, backend: &Backend) -> bool {
        let Some(stream) = self.ticket.stream().filter(|stream| stream.resumed) else {
            return true;
        };
        let (now, pool) = (clock::now(), self.ticket.pool());
        let key = stream.key;
        if self.worker.shared.streams().is_of_other_service(now, key, pool) {
            return false;
        }
        match stream.version.as_ref().or(grant.version.as_ref()) {
            Some(version) => *version == backend.version,
            None => {
                let streams = self.worker.shared.streams();
                let single = streams.single_version(clock::now(), self.ticket.pool());
                single.as_ref() == Some(&backend.version)
            }
        }
    }

    /// Logs that a stream goes on at a granted backend server, by its caller or within the response.
    pub(super) fn log_resumed(&self, backend: &Backend) {
        let Some(stream) = self.ticket.stream().filter(|stream| stream.resumed) else { return };
        let head = &self.request.head;
        if self.attempts_sent > 0 {
            return log::info!(
                request = head.id.as_str(), server = &*backend.name, version = &*backend.version;
                "a stream goes on within its response"
            );
        }
        log::info!(
            request = head.id.as_str(), began = head.resumes.as_deref().unwrap_or(""),
            last_event = head.last_event.unwrap_or(0), server = &*backend.name, version = &*backend.version,
            known = stream.version.is_some();
            "a stream is taken up"
        );
    }

    /// Binds the stream to the software version of the backend server that sent its first event.
    pub fn bind_stream(&mut self) {
        let Some(backend) = &self.backend else { return };
        let version = &backend.version;
        if let Some(stream) = self.ticket.stream().filter(|stream| stream.version.is_none()) {
            let (now, pool) = (clock::now(), self.ticket.pool().clone());
            let (version, until) = (version.clone(), stream.until);
            let record = Record { pool, version, began_at: now, until };
            self.worker.shared.streams().record(now, stream.key, record);
        }
        self.ticket.bind_stream(version);
    }
}
