//! The store's keys and leases, and the nodes that acquire and renew them.

use super::*;

impl Fleet {
    pub(super) fn reaches_store(&self, node: usize) -> bool {
        self.nodes[node].has_store && !self.nodes[node].is_partitioned
    }

    pub(super) fn renew(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let reaches_store = self.reaches_store(node);
        let again_us = if reaches_store { RENEW_EVERY_US } else { RETRY_RENEWAL_US };
        self.push(again_us, Event::Renew { node, incarnation });
        if !reaches_store {
            return;
        }
        self.drop_lapsed_keys();
        // A node whose lease has expired gets a new one, but its keys are gone.
        self.leases.insert((node, incarnation), self.now_us + LEASE_US);
        self.nodes[node].renewed_sent_us = self.now_us;
        let now_us = self.now_us;
        let has_key = |id: &KeeperId, keys: &BTreeMap<KeeperId, Key>| {
            keys.get(id).is_some_and(|key| (key.node, key.incarnation) == (node, incarnation))
        };
        let keys = &self.keys;
        let keepers = &mut self.nodes[node].keepers;
        keepers.retain(|id, _| has_key(id, keys));
        keepers.values_mut().for_each(|keeper| keeper.renew(now_us, LEASE_US));
    }

    /// Begins a planned stop: the node hands over its keepers one after the other and campaigns for
    /// none from now on.
    pub(super) fn stop(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.nodes[node].is_stopping = true;
        let held: Vec<KeeperId> = self.nodes[node].keepers.keys().cloned().collect();
        for (order, keeper) in held.into_iter().enumerate() {
            let after_us = order as u64 * HANDOVER_US;
            self.push_at(self.now_us + after_us, Event::HandOver { node, incarnation, keeper });
        }
    }

    /// Stops granting for a keeper and sends what is left to the first candidate.
    pub(super) fn hand_over(&mut self, node: usize, keeper: &KeeperId) {
        let Some(held) = self.nodes[node].keepers.remove(keeper) else { return };
        let handover = held.hand_over(self.now_us);
        let is_candidate = |to: &usize| self.nodes[*to].is_up && !self.nodes[*to].is_stopping;
        let successor =
            (0..NODES).filter(is_candidate).min_by_key(|candidate| self.rank(*candidate, keeper));
        match successor {
            Some(to) => self.push(HANDOVER_US, Event::TakeOver { to, handover }),
            None => self.keys.retain(|id, _| id != keeper),
        }
    }

    /// Replaces the key of a node that stops, if it is unchanged.
    pub(super) fn take_over(&mut self, node: usize, handover: QuotaHandover) {
        let keeper = handover.keeper.clone();
        let revision = self.keys.get(&keeper).map(|key| StoreRevision::without_era(key.revision));
        if revision != Some(handover.revision()) || self.nodes[node].is_stopping {
            self.keys.remove(&keeper);
            return;
        }
        let term = self.write_key(node, keeper.clone());
        let held = QuotaKeeper::resume(term, BOUNDS, self.topology.clone(), handover);
        self.nodes[node].keepers.insert(keeper, held);
    }

    fn drop_lapsed_keys(&mut self) {
        let (leases, now_us) = (&self.leases, self.now_us);
        self.keys.retain(|_, key| leases[&(key.node, key.incarnation)] > now_us);
    }

    pub(super) fn poll(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        self.push(POLL_EVERY_US, Event::Poll { node, incarnation });
        self.drop_lapsed_keys();
        if !self.reaches_store(node) || !self.leases.contains_key(&(node, incarnation)) {
            return;
        }
        self.nodes[node].replica =
            self.keys.iter().map(|(keeper, key)| (keeper.clone(), key.node)).collect();
        if self.nodes[node].is_stopping {
            return;
        }
        for keeper in all_keepers(&self.topology) {
            self.campaign_for(node, keeper);
        }
    }

    fn campaign_for(&mut self, node: usize, keeper: KeeperId) {
        let now_us = self.now_us;
        if self.nodes[node].keepers.get(&keeper).is_some_and(|held| held.term().is_valid(now_us)) {
            return;
        }
        let key = self.keys.get(&keeper).copied();
        let observed = key.map(|key| QuotaKeeperKey {
            holder: address(key.node),
            revision: StoreRevision::without_era(key.revision),
        });
        // The rank matters only if no node holds the key.
        let rank = if key.is_none() { self.rank(node, &keeper) } else { 0 };
        let candidacy = self.nodes[node].candidacies.entry(keeper.clone()).or_default();
        let action = candidacy.decide(observed.as_ref(), address(node), rank, now_us);
        if action == CandidacyAction::Wait {
            return;
        }
        let term = self.write_key(node, keeper.clone());
        let held = QuotaKeeper::new(keeper.clone(), term, BOUNDS, self.topology.clone());
        self.nodes[node].keepers.insert(keeper, held);
    }

    /// Writes the key of a keeper and returns the term of its new holder.
    fn write_key(&mut self, node: usize, keeper: KeeperId) -> QuotaKeeperTerm {
        let incarnation = self.nodes[node].incarnation;
        self.revision += 1;
        self.keys.insert(keeper, Key { node, incarnation, revision: self.revision });
        let revision = StoreRevision::without_era(self.revision);
        let sent_us = self.nodes[node].renewed_sent_us;
        QuotaKeeperTerm::new(revision, sent_us, self.now_us, LEASE_US)
    }

    fn rank(&self, node: usize, keeper: &KeeperId) -> usize {
        let members = self.members();
        let own = name(node, self.nodes[node].incarnation);
        candidate_rank(keeper, &own, members.iter().map(|(name, one)| (name, one)))
    }

    fn members(&self) -> Vec<(NodeId, Member)> {
        let up = self.nodes.iter().enumerate().filter(|(_, node)| node.is_up);
        let member = |(number, node): (usize, &Node)| {
            let member = Member { address: address(number), zone: zone(number), millicpus: 500 };
            (name(number, node.incarnation), member)
        };
        up.map(member).collect()
    }
}
