//! What a keeper decides: whether a run is paid for, who else may pay, or how long it waits.
//!
//! A keeper keeps one slot of each tenant that it was asked about. It starts with nothing and
//! remembers nothing of the holder before it.

use crate::ids::TenantName;
use crate::quota::{
    QuotaAnswer, QuotaBounds, QuotaQuestion, QuotaReturn, QuotaUnit, QuotaVerdict, TenantLimit,
};
use crate::quota_bucket::{Bucket, Demand};
use crate::quota_share::SlotShare;
use crate::quota_slots::{keepers_of, order_for, KeeperId};
use crate::quota_term::KeeperTerm;
use crate::topology::Topology;
use std::collections::HashMap;

const MICROS_PER_MILLI: u64 = 1_000;

/// What a keeper does about a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperReply {
    /// It answers, to the address in the question.
    Answer(QuotaAnswer),
    /// It is short and hands the question on to the keeper that the new question names.
    HandOn(QuotaQuestion),
}

/// What a keeper knows of one tenant, for operators. Amounts are in units.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantLevel {
    /// The tenant.
    pub tenant: TenantName,
    /// Left, below 0 if it is in debt.
    pub level: i64,
    /// May be owed now.
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
    swept_at_us: u64,
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
            swept_at_us: started_at_us,
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
    pub fn on_question(
        &mut self,
        question: &QuotaQuestion,
        can_ask: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> KeeperReply {
        if !self.term.is_valid(now_us) || question.keeper != self.id {
            return self.answer(question, QuotaVerdict::NotKeeper, 0);
        }
        self.on_version(question.version, now_us);
        self.sweep(now_us);
        let has_slot = self.meet(question, now_us);
        let Some(bucket) = self.buckets.get_mut(&question.tenant).filter(|_| has_slot) else {
            let asked_on = self.hand_on(question, &question.limit, None, &can_ask);
            let not_keeper = || self.answer(question, QuotaVerdict::NotKeeper, 0);
            return asked_on.map_or_else(not_keeper, KeeperReply::HandOn);
        };
        let limit = *bucket.limit();
        let demand = Demand {
            ticket: question.ticket,
            cost: cost_by(&limit, question),
            rank: question.priority,
        };
        if bucket.take(&demand, now_us) {
            let level = bucket.level_units();
            return self.answer(question, QuotaVerdict::Granted, level);
        }
        let own_us = bucket.time_until_room(&demand, now_us);
        let asked_us = question.shortest_wait_ms.map(|wait_ms| wait_ms * MICROS_PER_MILLI);
        let shortest_us = own_us.into_iter().chain(asked_us).min();
        if let Some(asked_on) = self.hand_on(question, &limit, shortest_us, &can_ask) {
            return KeeperReply::HandOn(asked_on);
        }
        let Some(bucket) = self.buckets.get_mut(&question.tenant) else {
            return self.answer(question, QuotaVerdict::NotKeeper, 0);
        };
        let wait_ms = bucket.refuse(&demand, shortest_us, now_us).div_ceil(MICROS_PER_MILLI);
        let level = bucket.level_units();
        self.answer(question, QuotaVerdict::Refused { wait_ms: wait_ms.max(1) }, level)
    }

    /// A run has provably not begun. Returns the units given back; none if this holder did not
    /// grant it or has had it back.
    pub fn on_return(&mut self, word: &QuotaReturn, now_us: u64) -> u64 {
        let bucket = self.buckets.get_mut(&word.tenant).filter(|_| word.keeper == self.id);
        bucket.map_or(0, |bucket| bucket.give_back(word.ticket, now_us))
    }

    /// What is left for each tenant that was asked about lately, by name.
    pub fn levels(&self, now_us: u64) -> Vec<TenantLevel> {
        let level = |(tenant, bucket): (&TenantName, &Bucket)| TenantLevel {
            tenant: tenant.clone(),
            level: bucket.level_units(),
            debt: bucket.debt_units(now_us),
            granted: bucket.granted_units(),
            version: bucket.version(),
        };
        let mut levels: Vec<TenantLevel> = self.buckets.iter().map(level).collect();
        levels.sort_by(|left, right| left.tenant.cmp(&right.tenant));
        levels
    }

    /// Makes sure that the tenant's bucket is there with the limit that counts: the one of the
    /// latest version. Returns whether this keeper has a slot of the tenant.
    fn meet(&mut self, question: &QuotaQuestion, now_us: u64) -> bool {
        let is_known = match self.buckets.get_mut(&question.tenant) {
            Some(bucket) if question.version <= bucket.version() => return true,
            Some(bucket) if question.limit == *bucket.limit() => {
                bucket.set_version(question.version);
                return true;
            }
            found => found.is_some(),
        };
        let limit = question.limit;
        let keepers = keepers_of(&question.tenant, &limit, &self.bounds, &self.topology);
        let Some(slot) = keepers.iter().position(|keeper| *keeper == self.id) else {
            self.buckets.remove(&question.tenant);
            return false;
        };
        let share = SlotShare::of(&limit, &self.bounds, keepers.len());
        let is_first_slot = slot == 0;
        if let Some(bucket) = self.buckets.get_mut(&question.tenant).filter(|_| is_known) {
            bucket.set_limit(limit, question.version, share, is_first_slot, now_us);
            return true;
        }
        let since_us = self.version_since_us;
        let bucket = Bucket::new(limit, question.version, share, is_first_slot, since_us, now_us);
        self.buckets.insert(question.tenant.clone(), bucket);
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
    fn sweep(&mut self, now_us: u64) {
        if now_us >= self.swept_at_us + self.bounds.window_us {
            self.swept_at_us = now_us;
            self.buckets.retain(|_, bucket| !bucket.is_idle(now_us));
        }
    }

    /// The question for the next keeper of the tenant, if there is one that can be asked.
    fn hand_on(
        &self,
        question: &QuotaQuestion,
        limit: &TenantLimit,
        shortest_us: Option<u64>,
        can_ask: impl Fn(&KeeperId) -> bool,
    ) -> Option<QuotaQuestion> {
        let keepers = keepers_of(&question.tenant, limit, &self.bounds, &self.topology);
        let is_left = |keeper: &KeeperId| {
            *keeper != self.id && !question.asked.contains(keeper) && can_ask(keeper)
        };
        let ordered = order_for(&keepers, &self.id.zone, &self.topology);
        let next = ordered.into_iter().find(is_left)?;
        let mut asked_on = question.clone();
        asked_on.asked.push(self.id.clone());
        asked_on.keeper = next;
        asked_on.shortest_wait_ms = shortest_us.map(|wait_us| wait_us.div_ceil(MICROS_PER_MILLI));
        Some(asked_on)
    }

    fn answer(&self, question: &QuotaQuestion, verdict: QuotaVerdict, level: i64) -> KeeperReply {
        let keeper = self.id.clone();
        KeeperReply::Answer(QuotaAnswer { ticket: question.ticket, keeper, verdict, level })
    }
}

/// What a run costs by the limit that counts, if the asking node knows an older one.
fn cost_by(limit: &TenantLimit, question: &QuotaQuestion) -> u64 {
    match (limit.unit, question.limit.unit) {
        (QuotaUnit::Requests, QuotaUnit::Tokens) => 1,
        (QuotaUnit::Tokens, QuotaUnit::Requests) => limit.plain_tokens,
        _ => question.cost,
    }
}
