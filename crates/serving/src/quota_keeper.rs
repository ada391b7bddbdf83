//! What a keeper decides: whether a run is paid for, who else may pay, or how long it waits.
//!
//! A keeper keeps one slot of each tenant that it was asked about. It starts with nothing and
//! remembers nothing of the holder before it. If it is short it hands the question on; the last
//! one refuses, unless all of them together have room: then each pays a part.

use crate::ids::TenantName;
use crate::quota::{
    PartialCharge, QuotaBounds, QuotaQuery, QuotaRefund, QuotaReply, QuotaVerdict, TenantLimit,
};
use crate::quota_bucket::{Bucket, Demand};
use crate::quota_share::SlotShare;
use crate::quota_slots::{keepers_of, query_order, KeeperId};
use crate::quota_term::KeeperTerm;
use crate::topology::Topology;
use std::collections::HashMap;

const MICROS_PER_MILLI: u64 = 1_000;

/// What a keeper does about a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperAction {
    /// It answers, to the address in the question.
    Reply(QuotaReply),
    /// It is short and hands the question on to the keeper that the new question names.
    Forward(QuotaQuery),
}

/// What a keeper knows of one tenant, for operators. Amounts are in units.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantLevel {
    /// The tenant.
    pub tenant: TenantName,
    /// Left, below 0 if it is in debt.
    pub level: i64,
    /// May be owed.
    pub debt: u64,
    /// Granted and not given back since this holder met the tenant.
    pub granted: u64,
    /// The version of the configuration that its limit is from.
    pub version: u64,
}

/// One keeper, as the node that holds it.
#[derive(Clone, Debug)]
pub struct Keeper {
    id: KeeperId,
    term: KeeperTerm,
    bounds: QuotaBounds,
    topology: Topology,
    buckets: HashMap<TenantName, Bucket>,
    /// The latest version of the configuration heard of, and since when.
    version: u64,
    version_since_us: u64,
    evicted_at_us: u64,
}

impl Keeper {
    /// A new holder.
    pub fn new(id: KeeperId, term: KeeperTerm, bounds: QuotaBounds, topology: Topology) -> Self {
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

    /// Which keeper it is.
    pub fn id(&self) -> &KeeperId {
        &self.id
    }

    /// Its term.
    pub fn term(&self) -> &KeeperTerm {
        &self.term
    }

    /// The node's lease was renewed by a call sent at the given time.
    pub fn renew(&mut self, sent_at_us: u64, ttl_us: u64) {
        self.term.renew(sent_at_us, ttl_us);
    }

    /// A node asks. `can_ask` says whether another keeper has a holder that is in touch.
    pub fn on_query(
        &mut self,
        query: &QuotaQuery,
        is_reachable: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> KeeperAction {
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

    /// A run has provably not begun. Returns the units given back; none if this holder did not
    /// grant it or has had it back.
    pub fn on_refund(&mut self, refund: &QuotaRefund, now_us: u64) -> u64 {
        let bucket = self.buckets.get_mut(&refund.tenant).filter(|_| refund.keeper == self.id);
        bucket.map_or(0, |bucket| bucket.refund(refund.ticket, now_us))
    }

    /// What is left for each tenant that was asked about lately, by name.
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

    /// Pays for a run alone, or hands the question on.
    fn charge_whole(
        &mut self,
        query: &QuotaQuery,
        is_reachable: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> KeeperAction {
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
            return KeeperAction::Forward(forwarded);
        }
        let cost = i64::try_from(demand.cost).unwrap_or(i64::MAX);
        if forwarded.tried.len() > 1 && forwarded.available_units >= cost {
            return self.charge_part(&forwarded, is_reachable, now_us);
        }
        self.refuse(&forwarded, &demand, now_us)
    }

    /// Pays what it has room for, and hands the rest on.
    fn charge_part(
        &mut self,
        query: &QuotaQuery,
        is_reachable: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> KeeperAction {
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
            return KeeperAction::Forward(forwarded);
        }
        self.refuse(&forwarded, &demand, now_us)
    }

    /// This keeper has no slot of the tenant: those who have are asked.
    fn forward_unowned(
        &self,
        query: &QuotaQuery,
        is_reachable: impl Fn(&KeeperId) -> bool,
    ) -> KeeperAction {
        let mut forwarded = query.clone();
        forwarded.tried.push(self.id.clone());
        let next = self.next_keeper(query, &query.limit, &forwarded.tried, &is_reachable);
        match next.filter(|_| query.charged.is_empty()) {
            Some(next) => {
                forwarded.keeper = next;
                KeeperAction::Forward(forwarded)
            }
            None => self.reply(query, QuotaVerdict::NotKeeper, 0),
        }
    }

    fn refuse(&mut self, query: &QuotaQuery, demand: &Demand, now_us: u64) -> KeeperAction {
        let Some(bucket) = self.buckets.get_mut(&query.tenant) else {
            return self.reply(query, QuotaVerdict::NotKeeper, 0);
        };
        // Parts that were collected in vain are given back, so they are no room.
        let available_units =
            query.available_units.min(i64::try_from(demand.cost).unwrap_or(i64::MAX));
        let wait_us = bucket.schedule_retry(demand, available_units, query.tried.len(), now_us);
        let level = bucket.level_units();
        let wait_ms = wait_us.div_ceil(MICROS_PER_MILLI).max(1);
        self.reply(query, QuotaVerdict::Refused { wait_ms }, level)
    }

    /// Makes sure that the tenant's bucket is there with the limit that counts: the one of the
    /// latest version. Returns whether this keeper has a slot of the tenant.
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

    /// A new version may have changed the number of a tenant's slots, so what was not met before
    /// is counted from then. The first version that is heard of is no change.
    fn on_version(&mut self, version: u64, now_us: u64) {
        if version > self.version {
            if self.version > 0 {
                self.version_since_us = now_us;
            }
            self.version = version;
        }
    }

    /// Forgets idle tenants, once a window.
    fn evict_idle(&mut self, now_us: u64) {
        if now_us >= self.evicted_at_us + self.bounds.window_us {
            self.evicted_at_us = now_us;
            self.buckets.retain(|_, bucket| !bucket.is_idle(now_us));
        }
    }

    /// The next keeper of the tenant that can be asked and is not among some others.
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

    fn reply(&self, query: &QuotaQuery, verdict: QuotaVerdict, level: i64) -> KeeperAction {
        let charged_keepers = query.charged.iter().filter(|part| part.units > 0);
        KeeperAction::Reply(QuotaReply {
            ticket: query.ticket,
            keeper: self.id.clone(),
            verdict,
            level,
            charged: charged_keepers.map(|part| part.keeper.clone()).collect(),
        })
    }
}
