//! The store, as the nodes reach it.

use super::*;

impl World {
    pub(super) fn call_store(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        delay_ms: u64,
        request: StoreRequest,
    ) {
        let wait = Duration::from_millis(delay_ms);
        let give_up = self.now + wait + STORE_TIMEOUT;
        let from = self.node_place(node);
        let store = Place { endpoint: Endpoint::Store, zone: None };
        let down = self.store_trouble.down || !self.network.passes(&from, &store);
        if down {
            // Half of the requests cannot connect, half are sent and never answered.
            let connects = self.rng.random_bool(0.5);
            let (after, error) = if connects {
                (STORE_TIMEOUT, StoreError::OutcomeUnknown)
            } else {
                (Duration::from_millis(1), StoreError::Unreachable)
            };
            let input = Input::Store { call, reply: Err(error) };
            self.send_to_node(wait + after, node, incarnation, input);
            return;
        }
        let slow_us = self.store_trouble.slow.as_micros() as u64;
        let added = Duration::from_micros(self.rng.random_range(0..=slow_us));
        let way = wait + self.network.delay(&from, &store) + added;
        self.schedule(way, Happening::Store { node, incarnation, call, give_up, request });
    }

    pub(super) fn store_request(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        give_up: Timestamp,
        request: &StoreRequest,
    ) {
        *self.store_requests.entry(self.now.0 / 1_000_000).or_default() += 1;
        let (reply, changed) = self.store.handle(self.now, request);
        self.notice_commits(&changed);
        let from = self.node_place(node);
        let store = Place { endpoint: Endpoint::Store, zone: None };
        let back = self.now + self.network.delay(&store, &from);
        let lost = self.rng.random_range(0..100) < self.store_trouble.lose_answers_percent
            || !self.network.passes(&store, &from)
            || back > give_up;
        let (at, reply) =
            if lost { (give_up, Err(StoreError::OutcomeUnknown)) } else { (back, reply) };
        let wait = at.since(self.now);
        self.send_to_node(wait, node, incarnation, Input::Store { call, reply });
        self.notify_watchers(&changed);
    }

    pub(super) fn notice_commits(&mut self, changed: &[StoredValue]) {
        let Some(value) = changed.iter().find(|value| value.key == CURRENT_KEY) else {
            return;
        };
        if let Some(document) = decode_document(&value.value) {
            self.committed = document.revision;
            let event = Event::Committed {
                revision: document.revision,
                change: document.change,
                configuration: Rc::new(document.configuration),
            };
            self.history.note(self.now, event);
        }
    }

    pub(super) fn notify_watchers(&mut self, changed: &[StoredValue]) {
        let Some(value) = changed.iter().find(|value| value.key == CURRENT_KEY).cloned() else {
            return;
        };
        let store = Place { endpoint: Endpoint::Store, zone: None };
        let watchers: Vec<usize> =
            (0..self.nodes.len()).filter(|place| self.nodes[*place].watching).collect();
        for node in watchers {
            let to = self.node_place(node);
            if self.network.passes(&store, &to) {
                let wait = self.network.delay(&store, &to);
                let incarnation = self.nodes[node].incarnation;
                self.send_to_node(wait, node, incarnation, Input::Watched(value.clone()));
            }
        }
    }
}
