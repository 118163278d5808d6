//! What backend servers say of themselves, as a request hears it.

use drumusher_platform::dialect::{Answer, Dialect};

use super::Exchange;
use crate::{process::clock, version::Pool};

impl<D: Dialect> Exchange<D> {
    /// Takes what the backend server of the latest attempt says of itself beside an answer, to this request or to another
    /// one that was sent before.
    pub(super) fn hear(&self, answer: &Answer, own: bool) {
        let (Some(notice), Some(backend)) = (&answer.notice, &self.at) else {
            return;
        };
        let shared = &self.worker.shared;
        let pool = Pool::Service(self.request.found.service.clone());
        let sent = if own { self.handed_at } else { 0 };
        let heard = (sent, self.basis);
        shared.notices.hear(clock::now(), (&pool, backend), heard, notice);
    }
}
