//! Operators' queries: asked of all instances, and answered for others.

use std::{collections::BTreeSet, sync::Arc};

use drumusher_wire::peer::{self, Message};
use ntex::{
    rt,
    time::{Millis, sleep},
};

use super::{Answers, Input, Peers, Receiver};
use crate::operator::{self, rows::Row};

/// Longest time to wait for the others' answers.
const LONGEST: Millis = Millis(1_500);

/// A query that others were asked.
pub(super) struct Gather {
    open: BTreeSet<Arc<str>>,
    reply: Answers,
}

impl Peers {
    pub(super) async fn queries(self, receiver: Receiver) {
        while let Ok(input) = receiver.recv().await {
            match input {
                Input::Gather(statement, reply) => self.gather(statement, reply),
                Input::Seek => self.seek(),
            }
        }
    }

    fn gather(&self, statement: String, reply: Answers) {
        rt::spawn(self.clone().own_rows(statement.clone(), reply.clone()));
        let directory = self.shared.directory.load_full();
        let others = directory.instances.keys().filter(|name| **name != self.shared.name);
        let others: BTreeSet<Arc<str>> = others.cloned().collect();
        let id = {
            let mut inner = self.inner.borrow_mut();
            let id = inner.next_gather;
            inner.next_gather += 1;
            inner.gathers.insert(id, Gather { open: others.clone(), reply });
            id
        };
        for other in others {
            if self.inner.borrow().table.view().is_absent(&other) {
                self.settle(id, &other, None);
            } else {
                self.send(&other, Message::Query(peer::Query::new(id, statement.clone())));
            }
        }
        rt::spawn(self.clone().end_gather(id));
    }

    async fn own_rows(self, statement: String, reply: Answers) {
        let rows = operator::local_rows(&self.shared, &statement).await;
        let _ = reply.try_send((self.shared.name.clone(), Some(rows)));
    }

    /// Gives up waiting for those that did not answer.
    async fn end_gather(self, id: i64) {
        sleep(LONGEST).await;
        let gather = self.inner.borrow_mut().gathers.remove(&id);
        let Some(gather) = gather else {
            return;
        };
        for instance in gather.open {
            let _ = gather.reply.try_send((instance, None));
        }
    }

    fn settle(&self, id: i64, instance: &Arc<str>, rows: Option<Vec<Row>>) {
        let mut inner = self.inner.borrow_mut();
        let Some(gather) = inner.gathers.get_mut(&id) else {
            return;
        };
        if !gather.open.remove(instance) {
            return;
        }
        let _ = gather.reply.try_send((instance.clone(), rows));
        if gather.open.is_empty() {
            inner.gathers.remove(&id);
        }
    }

    /// An instance cannot be reached: queries no longer wait for it.
    pub(super) fn query_lost(&self, instance: &Arc<str>) {
        let ids: Vec<i64> = self.inner.borrow().gathers.keys().copied().collect();
        for id in ids {
            self.settle(id, instance, None);
        }
    }

    pub(super) fn answered(&self, instance: &Arc<str>, answer: &peer::Answer) {
        let rows = answer.lines.iter().filter_map(|line| serde_json::from_str(line).ok());
        self.settle(answer.id, instance, Some(rows.collect()));
    }

    /// Another instance asks for its operator.
    pub(super) fn queried(&self, number: u32, query: peer::Query) {
        rt::spawn(self.clone().answer_query(number, query));
    }

    async fn answer_query(self, number: u32, query: peer::Query) {
        let rows = operator::local_rows(&self.shared, &query.statement).await;
        let lines = rows.iter().filter_map(|row| serde_json::to_string(row).ok()).collect();
        self.send_on(number, Message::Answer(peer::Answer::new(query.id, lines)));
    }
}
