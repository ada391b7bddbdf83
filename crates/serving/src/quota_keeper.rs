//! What a keeper decides: whether a run is paid for, who else may pay, or how long it waits.
//!
//! A keeper keeps one slot of each tenant that it was asked about. It starts with nothing and
//! remembers nothing of the holder before it. If it is short it hands the question on; the last
//! one refuses, unless all of them together have room: then each pays a part.

use crate::ids::TenantName;
use crate::quota::{
    QuotaAnswer, QuotaBounds, QuotaPart, QuotaQuestion, QuotaReturn, QuotaVerdict, TenantLimit,
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
        if !self.meet(question, now_us) {
            return self.pass_by(question, can_ask);
        }
        if question.paid.is_empty() {
            self.pay_whole(question, can_ask, now_us)
        } else {
            self.pay_part(question, can_ask, now_us)
        }
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
    fn pay_whole(
        &mut self,
        question: &QuotaQuestion,
        can_ask: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> KeeperReply {
        let Some(bucket) = self.buckets.get_mut(&question.tenant) else {
            return self.answer(question, QuotaVerdict::NotKeeper, 0);
        };
        let demand = Demand::of(question, bucket.limit());
        if bucket.take(&demand, now_us) {
            let level = bucket.level_units();
            return self.answer(question, QuotaVerdict::Granted, level);
        }
        let limit = *bucket.limit();
        let mut asked_on = question.clone();
        asked_on.room = question.room.saturating_add(bucket.room_units(&demand, now_us));
        asked_on.asked.push(self.id.clone());
        if let Some(next) = self.next(&asked_on, &limit, &asked_on.asked, &can_ask) {
            asked_on.keeper = next;
            return KeeperReply::HandOn(asked_on);
        }
        let cost = i64::try_from(demand.cost).unwrap_or(i64::MAX);
        if asked_on.asked.len() > 1 && asked_on.room >= cost {
            return self.pay_part(&asked_on, can_ask, now_us);
        }
        self.refuse(&asked_on, &demand, now_us)
    }

    /// Pays what it has room for, and hands the rest on.
    fn pay_part(
        &mut self,
        question: &QuotaQuestion,
        can_ask: impl Fn(&KeeperId) -> bool,
        now_us: u64,
    ) -> KeeperReply {
        let Some(bucket) = self.buckets.get_mut(&question.tenant) else {
            return self.answer(question, QuotaVerdict::NotKeeper, 0);
        };
        let demand = Demand::of(question, bucket.limit());
        let limit = *bucket.limit();
        let paid: u64 = question.paid.iter().map(|part| part.units).sum();
        let units = bucket.take_part(&demand, demand.cost.saturating_sub(paid), now_us);
        let level = bucket.level_units();
        let mut asked_on = question.clone();
        asked_on.paid.push(QuotaPart { keeper: self.id.clone(), units });
        if paid.saturating_add(units) >= demand.cost {
            return self.answer(&asked_on, QuotaVerdict::Granted, level);
        }
        let payers: Vec<KeeperId> = asked_on.paid.iter().map(|part| part.keeper.clone()).collect();
        if let Some(next) = self.next(&asked_on, &limit, &payers, &can_ask) {
            asked_on.keeper = next;
            return KeeperReply::HandOn(asked_on);
        }
        self.refuse(&asked_on, &demand, now_us)
    }

    /// This keeper has no slot of the tenant: those who have are asked.
    fn pass_by(
        &self,
        question: &QuotaQuestion,
        can_ask: impl Fn(&KeeperId) -> bool,
    ) -> KeeperReply {
        let mut asked_on = question.clone();
        asked_on.asked.push(self.id.clone());
        let next = self.next(question, &question.limit, &asked_on.asked, &can_ask);
        match next.filter(|_| question.paid.is_empty()) {
            Some(next) => {
                asked_on.keeper = next;
                KeeperReply::HandOn(asked_on)
            }
            None => self.answer(question, QuotaVerdict::NotKeeper, 0),
        }
    }

    fn refuse(&mut self, question: &QuotaQuestion, demand: &Demand, now_us: u64) -> KeeperReply {
        let Some(bucket) = self.buckets.get_mut(&question.tenant) else {
            return self.answer(question, QuotaVerdict::NotKeeper, 0);
        };
        // Parts that were collected in vain are given back, so they are no room.
        let room = question.room.min(i64::try_from(demand.cost).unwrap_or(i64::MAX));
        let wait_us = bucket.refuse(demand, room, question.asked.len(), now_us);
        let level = bucket.level_units();
        let wait_ms = wait_us.div_ceil(MICROS_PER_MILLI).max(1);
        self.answer(question, QuotaVerdict::Refused { wait_ms }, level)
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
        if !keepers.contains(&self.id) {
            self.buckets.remove(&question.tenant);
            return false;
        }
        let share = SlotShare::of(&limit, &self.bounds, keepers.len());
        if let Some(bucket) = self.buckets.get_mut(&question.tenant).filter(|_| is_known) {
            bucket.set_limit(limit, question.version, share, now_us);
            return true;
        }
        let since_us = self.version_since_us;
        let bucket = Bucket::new(limit, question.version, share, since_us, now_us);
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

    /// The next keeper of the tenant that can be asked and is not among some others.
    fn next(
        &self,
        question: &QuotaQuestion,
        limit: &TenantLimit,
        others: &[KeeperId],
        can_ask: impl Fn(&KeeperId) -> bool,
    ) -> Option<KeeperId> {
        let keepers = keepers_of(&question.tenant, limit, &self.bounds, &self.topology);
        let is_left =
            |keeper: &KeeperId| *keeper != self.id && !others.contains(keeper) && can_ask(keeper);
        order_for(&keepers, &self.id.zone, &self.topology).into_iter().find(is_left)
    }

    fn answer(&self, question: &QuotaQuestion, verdict: QuotaVerdict, level: i64) -> KeeperReply {
        let payers = question.paid.iter().filter(|part| part.units > 0);
        KeeperReply::Answer(QuotaAnswer {
            ticket: question.ticket,
            keeper: self.id.clone(),
            verdict,
            level,
            paid: payers.map(|part| part.keeper.clone()).collect(),
        })
    }
}
