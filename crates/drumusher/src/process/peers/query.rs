//! Operators' queries: distributed to all instances, and answered for others.

use std::{collections::BTreeSet, sync::Arc};

use drumusher_wire::peer::{self, Message};
use ntex::{
    rt,
    time::{Millis, sleep},
};

use super::{Answers, Input, Peers, Receiver};
use crate::operator::{self, rows::Row};

/// Longest wait for the other instances' answers.
const ANSWER_TIMEOUT: Millis = Millis(1_500);

/// A query that was sent to other instances.
pub(super) struct Gather {
    unanswered: BTreeSet<Arc<str>>,
    reply: Answers,
}

impl Peers {
    pub(super) async fn handle_queries(self, receiver: Receiver) {
        while let Ok(input) = receiver.recv().await {
            match input {
                Input::Gather(statement, reply) => self.gather(statement, reply),
                Input::FetchConfiguration => self.fetch_configuration(),
            }
        }
    }

    fn gather(&self, statement: String, reply: Answers) {
        rt::spawn(self.clone().local_rows(statement.clone(), reply.clone()));
        let directory = self.shared.directory.load_full();
        let others = directory.instances.keys().filter(|name| **name != self.shared.name);
        let others: BTreeSet<Arc<str>> = others.cloned().collect();
        let id = {
            let mut inner = self.inner.borrow_mut();
            let id = inner.next_gather;
            inner.next_gather += 1;
            inner.gathers.insert(id, Gather { unanswered: others.clone(), reply });
            id
        };
        for other in others {
            if self.inner.borrow().table.view().is_unreachable(&other) {
                self.record_answer(id, &other, None);
            } else {
                self.send(&other, Message::Query(peer::Query::new(id, statement.clone())));
            }
        }
        rt::spawn(self.clone().expire_gather(id));
    }

    async fn local_rows(self, statement: String, reply: Answers) {
        let rows = operator::local_rows(&self.shared, &statement).await;
        let _ = reply.try_send((self.shared.name.clone(), Some(rows)));
    }

    /// Ends a query after the time limit, without the missing answers.
    async fn expire_gather(self, id: i64) {
        sleep(ANSWER_TIMEOUT).await;
        let gather = self.inner.borrow_mut().gathers.remove(&id);
        let Some(gather) = gather else {
            return;
        };
        for instance in gather.unanswered {
            let _ = gather.reply.try_send((instance, None));
        }
    }

    fn record_answer(&self, id: i64, instance: &Arc<str>, rows: Option<Vec<Row>>) {
        let mut inner = self.inner.borrow_mut();
        let Some(gather) = inner.gathers.get_mut(&id) else {
            return;
        };
        if !gather.unanswered.remove(instance) {
            return;
        }
        let _ = gather.reply.try_send((instance.clone(), rows));
        if gather.unanswered.is_empty() {
            inner.gathers.remove(&id);
        }
    }

    /// Records that an instance cannot be reached, so that queries no longer wait for it.
    pub(super) fn query_unreachable(&self, instance: &Arc<str>) {
        let ids: Vec<i64> = self.inner.borrow().gathers.keys().copied().collect();
        for id in ids {
            self.record_answer(id, instance, None);
        }
    }

    pub(super) fn on_answer(&self, instance: &Arc<str>, answer: &peer::Answer) {
        let rows = answer.lines.iter().filter_map(|line| serde_json::from_str(line).ok());
        self.record_answer(answer.id, instance, Some(rows.collect()));
    }

    /// Answers the query of another instance's operator.
    pub(super) fn on_query(&self, number: u32, query: peer::Query) {
        rt::spawn(self.clone().answer_query(number, query));
    }

    async fn answer_query(self, number: u32, query: peer::Query) {
        let rows = operator::local_rows(&self.shared, &query.statement).await;
        let lines = rows.iter().filter_map(|row| serde_json::to_string(row).ok()).collect();
        self.send_on(number, Message::Answer(peer::Answer::new(query.id, lines)));
    }
}
