//! Requests, and the messages that nodes exchange about them.

use super::*;

impl Fleet {
    pub(super) fn on_request(&mut self, tenant: usize) {
        const MEAN: f64 = 10_000.0;
        let gap_us = MEAN * SECOND as f64 / (self.rates[tenant] as f64 * self.load.max(1e-9));
        let drawn = -(1.0 - self.random.random::<f64>()).ln() * gap_us;
        self.push(drawn as u64 + 1, Event::Request(tenant));
        if self.load <= 0.0 {
            return;
        }
        let cost = self.random.random_range(200..(2.0 * MEAN) as u64);
        let node = self.random.random_range(0..NODES);
        // Clients of a node that is down or stopping use another node, so their requests are not counted
        // against the quota.
        let is_serving = self.nodes[node].is_up && !self.nodes[node].is_stopping;
        if !is_serving || self.now_us < self.nodes[node].frozen_until_us {
            return;
        }
        self.results.requests += 1;
        self.results.offered += cost;
        let ticket = Ticket {
            incarnation: (node as u64) << 32 | self.nodes[node].incarnation,
            number: self.sequence,
        };
        let request = QuotaRequest {
            ticket,
            tenant: TenantName::new(format!("tenant-{tenant}")),
            limit: self.limit(node, tenant),
            version: self.nodes[node].version,
            cost,
            priority: 0,
        };
        self.nodes[node].pending.insert(ticket, PendingRequest { tenant, cost });
        let is_reachable = self.is_reachable(node);
        let now_us = self.now_us;
        let action = self.nodes[node].requester.start(request, is_reachable, now_us);
        self.on_action(node, action);
    }

    pub(super) fn on_action(&mut self, node: usize, action: RequesterAction) {
        match action {
            RequesterAction::Query(query, timeout_us) => {
                let (ticket, keeper) = (query.ticket, query.keeper.clone());
                let incarnation = self.nodes[node].incarnation;
                self.push(timeout_us, Event::ReplyTimeout { node, incarnation, ticket, keeper });
                self.send_to_keeper(node, query.keeper.clone(), Message::Query(query));
            }
            RequesterAction::Settled(ticket, outcome, refunds) => {
                self.settle(node, ticket, outcome);
                self.send_refunds(node, refunds);
            }
            RequesterAction::Refund(refunds) => self.send_refunds(node, refunds),
            RequesterAction::Noop => {}
        }
    }

    fn settle(&mut self, node: usize, ticket: Ticket, outcome: QuotaOutcome) {
        let Some(pending) = self.nodes[node].pending.remove(&ticket) else { return };
        match outcome {
            QuotaOutcome::Granted(grant) => {
                // One run in fifty is declined.
                let is_declined = self.random.random_range(0..50) == 0;
                if is_declined || !grant.is_usable(self.now_us) {
                    self.send_refunds(node, grant.into_refunds());
                } else {
                    let arrival = (self.now_us + SEND_US, pending.cost);
                    self.results.arrivals[pending.tenant].push(arrival);
                }
            }
            QuotaOutcome::Refused { .. } => self.results.refused += pending.cost,
            QuotaOutcome::Unreachable => self.results.unreachable += pending.cost,
        }
    }

    fn send_refunds(&mut self, node: usize, refunds: Vec<QuotaRefund>) {
        for message in refunds {
            self.send_to_keeper(node, message.keeper.clone(), Message::Refund(message));
        }
    }

    fn send_to_keeper(&mut self, from: usize, keeper: KeeperId, message: Message) {
        if let Some(to) = self.nodes[from].replica.get(&keeper).copied() {
            self.send(from, to, message);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.results.messages += 1;
        if self.nodes[from].is_partitioned != self.nodes[to].is_partitioned
            || self.random.random_bool(self.loss)
        {
            return;
        }
        let delay_us = if zone(from) == zone(to) { 200 } else { 900 };
        let jitter_us = self.random.random_range(0..500);
        if self.random.random_bool(self.loss) {
            let again = match &message {
                Message::Query(query) => Message::Query(query.clone()),
                Message::Reply(reply) => Message::Reply(reply.clone()),
                Message::Refund(message) => Message::Refund(message.clone()),
            };
            self.push(delay_us * 40, Event::Message { to, message: again });
        }
        self.push(delay_us + jitter_us, Event::Message { to, message });
    }

    pub(super) fn on_message(&mut self, to: usize, message: Message) {
        let now_us = self.now_us;
        let is_reachable = self.is_reachable(to);
        match message {
            Message::Query(query) => {
                let Some(keeper) = self.nodes[to].keepers.get_mut(&query.keeper) else { return };
                match keeper.on_query(&query, is_reachable, now_us) {
                    QuotaKeeperAction::Reply(reply) => {
                        self.send(to, node_at(query.reply_to), Message::Reply(reply));
                    }
                    QuotaKeeperAction::Forward(next) => {
                        self.send_to_keeper(to, next.keeper.clone(), Message::Query(next));
                    }
                }
            }
            Message::Reply(reply) => {
                let action = self.nodes[to].requester.on_reply(&reply, is_reachable, now_us);
                self.on_action(to, action);
            }
            Message::Refund(message) => {
                if let Some(keeper) = self.nodes[to].keepers.get_mut(&message.keeper) {
                    keeper.on_refund(&message, now_us);
                }
            }
        }
    }
}
