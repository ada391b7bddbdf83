//! A keeper's decisions: whether a run is granted, which other keeper to query, or how long to
//! wait.
//!
//! A keeper manages one slot of each tenant that it has been queried for. A new holder starts with
//! what the previous one handed over (see [`crate::quota_handover`]), or with nothing to spend. If a keeper has too few units available, it
//! forwards the query. The last keeper refuses the run, unless all keepers together have enough
//! units: then each of them charges a part.

use crate::ids::TenantName;
use crate::quota::{
    PartialCharge, QuotaBounds, QuotaQuery, QuotaRefund, QuotaReply, QuotaVerdict, TenantLimit,
};
use crate::quota_bucket::{Bucket, Demand};
use crate::quota_handover::{QuotaHandover, TenantHandover};
use crate::quota_share::SlotShare;
use crate::quota_slots::{keepers_of, query_order, KeeperId};
use crate::quota_term::QuotaKeeperTerm;
use crate::topology::Topology;
use std::collections::HashMap;

const MICROS_PER_MILLI: u64 = 1_000;

/// What a keeper does with a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaKeeperAction {
    /// Send the reply to the address in the query.
    Reply(QuotaReply),
    /// Forward the query, for lack of units, to the keeper that the updated query names.
    Forward(QuotaQuery),
}

/// The state of one tenant at a keeper, for operators. Amounts are in units.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantLevel {
    /// Name of the tenant.
    pub tenant: TenantName,
    /// Units left; negative if the bucket is in debt.
    pub level: i64,
    /// Maximum debt, as a positive number.
    pub debt: u64,
    /// Units granted and not refunded since this holder created the tenant's bucket.
    pub granted: u64,
    /// The version of the configuration that the tenant's limit was read from.
    pub version: u64,
}

/// The state of a keeper at the node that holds it.
#[derive(Clone, Debug)]
pub struct QuotaKeeper {
    id: KeeperId,
    term: QuotaKeeperTerm,
    bounds: QuotaBounds,
    topology: Topology,
    buckets: HashMap<TenantName, Bucket>,
    /// The latest version of the configuration received, and the time since which it is known.
    version: u64,
    version_since_us: u64,
    evicted_at_us: u64,
}

impl QuotaKeeper {
    /// A keeper that has just been taken over by this node.
    pub fn new(
        id: KeeperId,
        term: QuotaKeeperTerm,
        bounds: QuotaBounds,
        topology: Topology,
    ) -> Self {
        let started_at_us = term.started_at_us();
        Self {
            id,
            term,
            bounds,
            topology,
            buckets: HashMap::new(),
            version: 0,
            version_since_us: started_at_us,
            evicted_at_us: started_at_us,
        }
    }

    /// A keeper whose previous holder has handed it over. The caller has replaced that holder's key
    /// in the store, so no other node was the holder in between.
    pub fn resume(
        term: QuotaKeeperTerm,
        bounds: QuotaBounds,
        topology: Topology,
        handover: QuotaHandover,
    ) -> Self {
        let now_us = term.started_at_us();
        let mut keeper = Self::new(handover.keeper, term, bounds, topology);
        keeper.version = handover.version;
        keeper.version_since_us = now_us.saturating_sub(handover.counted_for_us);
        for tenant in handover.tenants {
            keeper.resume_tenant(tenant, now_us);
        }
        keeper
    }

    /// Ends this holder's term. The handover holds what is left of the limits at `now_us`.
    pub fn hand_over(mut self, now_us: u64) -> QuotaHandover {
        let to_handover = |(tenant, bucket): (&TenantName, &mut Bucket)| TenantHandover {
            tenant: tenant.clone(),
            limit: *bucket.limit(),
            version: bucket.version(),
            available: bucket.available_above_debt(now_us),
        };
        let mut tenants: Vec<TenantHandover> = self.buckets.iter_mut().map(to_handover).collect();
        tenants.sort_by(|left, right| left.tenant.cmp(&right.tenant));
        let counted_for_us = now_us.saturating_sub(self.version_since_us);
        QuotaHandover::new(self.id, self.term.revision, self.version, counted_for_us, tenants)
    }

    fn resume_tenant(&mut self, handed: TenantHandover, now_us: u64) {
        let keepers = keepers_of(&handed.tenant, &handed.limit, &self.bounds, &self.topology);
        if keepers.contains(&self.id) {
            let share = SlotShare::new(&handed.limit, &self.bounds, keepers.len());
            let bucket =
                Bucket::resume(handed.limit, handed.version, share, handed.available, now_us);
            self.buckets.insert(handed.tenant, bucket);
        }
    }

    /// Identity of the keeper, which stays the same when its holder changes.
    pub fn id(&self) -> &KeeperId {
        &self.id
    }

    /// The term for which this node holds the keeper.
    pub fn term(&self) -> &QuotaKeeperTerm {
        &self.term
    }

    /// Extends the term after the node's lease was renewed by a call sent at `sent_at_us`.
    pub fn renew(&mut self, sent_at_us: u64, ttl_us: u64) {
        self.term.renew(sent_at_us, ttl_us);
    }

    /// Handles a query. `is_reachable` returns whether another keeper has a holder that this node
    /// is in contact with.
    pub fn on_query(
        &mut self,
        query: &QuotaQuery,
        is_reachable: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> QuotaKeeperAction {
        if !self.term.is_valid(now_us) || query.keeper != self.id {
            return self.reply(query, QuotaVerdict::NotKeeper, 0);
        }
        self.on_version(query.version, now_us);
        self.evict_idle(now_us);
        if !self.ensure_bucket(query, now_us) {
            return self.forward_unowned(query, is_reachable);
        }
        if query.charged.is_empty() {
            self.charge_whole(query, is_reachable, now_us)
        } else {
            self.charge_part(query, is_reachable, now_us)
        }
    }

    /// Handles the refund of a run that has provably not started. Returns the units that had been
    /// charged; 0 if this holder did not grant the run or has refunded it already.
    pub fn on_refund(&mut self, refund: &QuotaRefund, now_us: u64) -> u64 {
        let bucket = self.buckets.get_mut(&refund.tenant).filter(|_| refund.keeper == self.id);
        bucket.map_or(0, |bucket| bucket.refund(refund.ticket, now_us))
    }

    /// The state of each tenant that was queried recently, sorted by name.
    pub fn levels(&self, now_us: u64) -> Vec<TenantLevel> {
        let level = |(tenant, bucket): (&TenantName, &Bucket)| TenantLevel {
            tenant: tenant.clone(),
            level: bucket.level_at(now_us),
            debt: bucket.debt_units(),
            granted: bucket.granted_units(),
            version: bucket.version(),
        };
        let mut levels: Vec<TenantLevel> = self.buckets.iter().map(level).collect();
        levels.sort_by(|left, right| left.tenant.cmp(&right.tenant));
        levels
    }

    /// Charges the whole cost of a run here, or forwards the query.
    fn charge_whole(
        &mut self,
        query: &QuotaQuery,
        is_reachable: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> QuotaKeeperAction {
        let Some(bucket) = self.buckets.get_mut(&query.tenant) else {
            return self.reply(query, QuotaVerdict::NotKeeper, 0);
        };
        let demand = Demand::from_query(query, bucket.limit());
        if bucket.try_charge(&demand, now_us) {
            let level = bucket.level_units();
            return self.reply(query, QuotaVerdict::Granted, level);
        }
        let limit = *bucket.limit();
        let mut forwarded = query.clone();
        forwarded.available_units =
            query.available_units.saturating_add(bucket.available_units(&demand, now_us));
        forwarded.tried.push(self.id.clone());
        if let Some(next) = self.next_keeper(&forwarded, &limit, &forwarded.tried, &is_reachable) {
            forwarded.keeper = next;
            return QuotaKeeperAction::Forward(forwarded);
        }
        let cost = i64::try_from(demand.cost).unwrap_or(i64::MAX);
        if forwarded.tried.len() > 1 && forwarded.available_units >= cost {
            return self.charge_part(&forwarded, is_reachable, now_us);
        }
        self.refuse(&forwarded, &demand, now_us)
    }

    /// Charges the part of the cost that is available here, and forwards the query for the rest.
    fn charge_part(
        &mut self,
        query: &QuotaQuery,
        is_reachable: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> QuotaKeeperAction {
        let Some(bucket) = self.buckets.get_mut(&query.tenant) else {
            return self.reply(query, QuotaVerdict::NotKeeper, 0);
        };
        let demand = Demand::from_query(query, bucket.limit());
        let limit = *bucket.limit();
        let charged_units: u64 = query.charged.iter().map(|part| part.units).sum();
        let units = bucket.charge_up_to(&demand, demand.cost.saturating_sub(charged_units), now_us);
        let level = bucket.level_units();
        let mut forwarded = query.clone();
        forwarded.charged.push(PartialCharge { keeper: self.id.clone(), units });
        if charged_units.saturating_add(units) >= demand.cost {
            return self.reply(&forwarded, QuotaVerdict::Granted, level);
        }
        let charged_keepers: Vec<KeeperId> =
            forwarded.charged.iter().map(|part| part.keeper.clone()).collect();
        if let Some(next) = self.next_keeper(&forwarded, &limit, &charged_keepers, &is_reachable) {
            forwarded.keeper = next;
            return QuotaKeeperAction::Forward(forwarded);
        }
        self.refuse(&forwarded, &demand, now_us)
    }

    /// Forwards a query for a tenant that has no slot at this keeper to one that has.
    fn forward_unowned(
        &self,
        query: &QuotaQuery,
        is_reachable: impl Fn(&KeeperId) -> bool,
    ) -> QuotaKeeperAction {
        let mut forwarded = query.clone();
        forwarded.tried.push(self.id.clone());
        let next = self.next_keeper(query, &query.limit, &forwarded.tried, &is_reachable);
        match next.filter(|_| query.charged.is_empty()) {
            Some(next) => {
                forwarded.keeper = next;
                QuotaKeeperAction::Forward(forwarded)
            }
            None => self.reply(query, QuotaVerdict::NotKeeper, 0),
        }
    }

    fn refuse(&mut self, query: &QuotaQuery, demand: &Demand, now_us: u64) -> QuotaKeeperAction {
        let Some(bucket) = self.buckets.get_mut(&query.tenant) else {
            return self.reply(query, QuotaVerdict::NotKeeper, 0);
        };
        // Partial charges that do not cover the cost are refunded, so they do not count as
        // available.
        let available_units =
            query.available_units.min(i64::try_from(demand.cost).unwrap_or(i64::MAX));
        let wait_us = bucket.schedule_retry(demand, available_units, query.tried.len(), now_us);
        let level = bucket.level_units();
        let wait_ms = wait_us.div_ceil(MICROS_PER_MILLI).max(1);
        self.reply(query, QuotaVerdict::Refused { wait_ms }, level)
    }

    /// Makes sure that the tenant's bucket exists and uses the limit of the latest known version.
    /// Returns whether this keeper has a slot of the tenant.
    fn ensure_bucket(&mut self, query: &QuotaQuery, now_us: u64) -> bool {
        let is_known = match self.buckets.get_mut(&query.tenant) {
            Some(bucket) if query.version <= bucket.version() => return true,
            Some(bucket) if query.limit == *bucket.limit() => {
                bucket.set_version(query.version);
                return true;
            }
            found => found.is_some(),
        };
        let limit = query.limit;
        let keepers = keepers_of(&query.tenant, &limit, &self.bounds, &self.topology);
        if !keepers.contains(&self.id) {
            self.buckets.remove(&query.tenant);
            return false;
        }
        let share = SlotShare::new(&limit, &self.bounds, keepers.len());
        if let Some(bucket) = self.buckets.get_mut(&query.tenant).filter(|_| is_known) {
            bucket.set_limit(limit, query.version, share, now_us);
            return true;
        }
        let since_us = self.version_since_us;
        let bucket = Bucket::new(limit, query.version, share, since_us, now_us);
        self.buckets.insert(query.tenant.clone(), bucket);
        true
    }

    /// A new version may change a tenant's number of slots, so buckets created from now on refill
    /// only from now. The first version received is not a change.
    fn on_version(&mut self, version: u64, now_us: u64) {
        if version > self.version {
            if self.version > 0 {
                self.version_since_us = now_us;
            }
            self.version = version;
        }
    }

    /// Drops the buckets of idle tenants, once per window.
    fn evict_idle(&mut self, now_us: u64) {
        if now_us >= self.evicted_at_us + self.bounds.window_us {
            self.evicted_at_us = now_us;
            self.buckets.retain(|_, bucket| !bucket.is_idle(now_us));
        }
    }

    /// The next keeper of the tenant that is reachable and not excluded.
    fn next_keeper(
        &self,
        query: &QuotaQuery,
        limit: &TenantLimit,
        excluded: &[KeeperId],
        is_reachable: impl Fn(&KeeperId) -> bool,
    ) -> Option<KeeperId> {
        let keepers = keepers_of(&query.tenant, limit, &self.bounds, &self.topology);
        let is_candidate =
            |id: &KeeperId| *id != self.id && !excluded.contains(id) && is_reachable(id);
        query_order(&keepers, &self.id.zone, &self.topology).into_iter().find(is_candidate)
    }

    fn reply(&self, query: &QuotaQuery, verdict: QuotaVerdict, level: i64) -> QuotaKeeperAction {
        let charged_keepers = query.charged.iter().filter(|part| part.units > 0);
        QuotaKeeperAction::Reply(QuotaReply {
            ticket: query.ticket,
            keeper: self.id.clone(),
            verdict,
            level,
            charged: charged_keepers.map(|part| part.keeper.clone()).collect(),
        })
    }
}
