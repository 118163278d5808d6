//! Records the notices that backend servers send with their responses (limit, rest, leaving) and checks them before a
//! request is sent.

use drumusher_platform::dialect::{Answer, Dialect};

use super::Exchange;
use crate::{
    process::{
        broker::Input,
        clock,
        notices::{self, Withheld},
    },
    version::Backend,
};

impl<D: Dialect> Exchange<D> {
    /// Records the notice in a response from the backend server of the latest attempt. `matches_request` tells whether
    /// the response belongs to this request or to an earlier one on the connection.
    pub(super) fn record_notice(&self, answer: &Answer, matches_request: bool) {
        let (Some(notice), Some(backend)) = (&answer.notice, &self.backend) else {
            return;
        };
        let shared = &self.worker.shared;
        let pool = self.ticket.pool().clone();
        let sent = if matches_request { self.sent_at } else { 0 };
        let answer = notices::Answer {
            pool: &pool,
            server: backend,
            sent,
            known_limit: self.known_limit,
            notice,
        };
        let to_report = shared.notices.record_answer(clock::now(), &answer);
        if let Some(record) = to_report {
            shared.broker.send(Input::Notice(Box::new(record)));
        }
    }

    /// Checks the notices that this instance received from a backend server before sending to it. This is the last
    /// check: the dispatcher may not have received a notice or may have dropped it, and the record in the store may
    /// say otherwise. The dispatcher is told why its grant was not used.
    ///
    /// # Errors
    ///
    /// The reason not to send.
    pub(super) fn check_withheld(&self, backend: &Backend) -> Result<(), Withheld> {
        let shared = &self.worker.shared;
        let Some((why, record)) = shared.notices.withheld(clock::now(), backend, self.known_limit)
        else {
            return Ok(());
        };
        log::info!(
            request = self.request.head.id.as_str(), server = &*backend.name,
            dispatcher = self.dispatcher.as_deref().unwrap_or("");
            "grant returned: the backend server is {}", why.word()
        );
        shared.telemetry.count("drumusher.grants.returned", &[("reason", why.word())]);
        shared.broker.send(Input::Notice(Box::new(record)));
        Err(why)
    }
}
