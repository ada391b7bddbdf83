//! Requests, the questions about them, and what nodes say to each other.

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
        // A caller of a node that is away goes elsewhere: it is no matter of limits.
        if !self.nodes[node].is_up || self.now_us < self.nodes[node].frozen_until_us {
            return;
        }
        self.figures.requests += 1;
        self.figures.offered += cost;
        let ticket = Ticket {
            incarnation: (node as u64) << 32 | self.nodes[node].start,
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
        self.nodes[node].asked.insert(ticket, Asked { tenant, cost });
        let can_ask = self.can_ask(node);
        let now_us = self.now_us;
        let step = self.nodes[node].desk.start(request, can_ask, now_us);
        self.on_step(node, step);
    }

    pub(super) fn on_step(&mut self, node: usize, step: RequesterAction) {
        match step {
            RequesterAction::Query(question, patience_us) => {
                let (ticket, keeper) = (question.ticket, question.keeper.clone());
                let start = self.nodes[node].start;
                self.push(patience_us, Event::Patience { node, start, ticket, keeper });
                self.send_to_keeper(node, question.keeper.clone(), Word::Question(question));
            }
            RequesterAction::Settled(ticket, outcome, returns) => {
                self.settle(node, ticket, outcome);
                self.give_back(node, returns);
            }
            RequesterAction::Refund(returns) => self.give_back(node, returns),
            RequesterAction::Noop => {}
        }
    }

    fn settle(&mut self, node: usize, ticket: Ticket, outcome: QuotaOutcome) {
        let Some(asked) = self.nodes[node].asked.remove(&ticket) else { return };
        match outcome {
            QuotaOutcome::Granted(grant) => {
                // One in fifty is declined.
                let is_declined = self.random.random_range(0..50) == 0;
                if is_declined || !grant.is_usable(self.now_us) {
                    self.give_back(node, grant.into_refunds());
                } else {
                    let arrival = (self.now_us + SEND_US, asked.cost);
                    self.figures.arrivals[asked.tenant].push(arrival);
                }
            }
            QuotaOutcome::Refused { .. } => self.figures.refused += asked.cost,
            QuotaOutcome::Unreachable => self.figures.unreachable += asked.cost,
        }
    }

    fn give_back(&mut self, node: usize, returns: Vec<QuotaRefund>) {
        for word in returns {
            self.send_to_keeper(node, word.keeper.clone(), Word::Return(word));
        }
    }

    fn send_to_keeper(&mut self, from: usize, keeper: KeeperId, word: Word) {
        if let Some(to) = self.nodes[from].copy.get(&keeper).copied() {
            self.send(from, to, word);
        }
    }

    fn send(&mut self, from: usize, to: usize, word: Word) {
        self.figures.words += 1;
        if self.nodes[from].is_cut != self.nodes[to].is_cut || self.random.random_bool(self.loss) {
            return;
        }
        let delay_us = if zone(from) == zone(to) { 200 } else { 900 };
        let jitter_us = self.random.random_range(0..500);
        if self.random.random_bool(self.loss) {
            let again = match &word {
                Word::Question(question) => Word::Question(question.clone()),
                Word::Answer(answer) => Word::Answer(answer.clone()),
                Word::Return(word) => Word::Return(word.clone()),
            };
            self.push(delay_us * 40, Event::Word { to, word: again });
        }
        self.push(delay_us + jitter_us, Event::Word { to, word });
    }

    pub(super) fn on_word(&mut self, to: usize, word: Word) {
        let now_us = self.now_us;
        let can_ask = self.can_ask(to);
        match word {
            Word::Question(question) => {
                let Some(keeper) = self.nodes[to].keepers.get_mut(&question.keeper) else { return };
                match keeper.on_query(&question, can_ask, now_us) {
                    KeeperAction::Reply(answer) => {
                        self.send(to, node_at(question.reply_to), Word::Answer(answer));
                    }
                    KeeperAction::Forward(next) => {
                        self.send_to_keeper(to, next.keeper.clone(), Word::Question(next));
                    }
                }
            }
            Word::Answer(answer) => {
                let step = self.nodes[to].desk.on_reply(&answer, can_ask, now_us);
                self.on_step(to, step);
            }
            Word::Return(word) => {
                if let Some(keeper) = self.nodes[to].keepers.get_mut(&word.keeper) {
                    keeper.on_refund(&word, now_us);
                }
            }
        }
    }
}
