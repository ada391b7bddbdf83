//! What a node believes of a runner's load, health, cache and role, from its own attempts, the runner's answers
//! and other nodes' words. Whatever is about a life that is not known changes nothing.

use super::Fleet;
use crate::digest::RoleTransition;
use crate::ids::RunnerId;
use crate::prefix::PromptPart;
use crate::runner::{AttemptDemand, Load, LoadReport, Runner, Stage, ToldLoad};
use crate::runner_limit::{LimitChange, LimitWord, NamedLimit};
use crate::runner_notice::{Learned, RunnerNotice};
use crate::runner_pace::{RunnerReading, Spent};
use crate::scheduling::{RunnerLoad, Shard};
use crate::suspicion::Suspicion;

const MICROS_PER_MILLI: u64 = 1_000;
/// A word on a change that ends later than the known one by so much is of another order.
const NEW_ORDER_US: u64 = 1_000_000;
/// Time for which a runner that refused a request as full is avoided.
const FULL_US: u64 = 100_000;

impl Fleet {
    /// An attempt goes to a runner.
    pub fn on_sent(&mut self, id: &RunnerId, demand: AttemptDemand) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.in_flight += 1;
            runner.availability.on_sent();
            runner.unread_requests += u32::from(demand.is_unread());
            runner.unread_tokens += demand.unread_tokens;
            runner.late_tokens += demand.late_tokens;
            runner.held_tokens += demand.held_tokens;
        }
    }

    /// A runner has read the prompt of an attempt.
    pub fn on_prompt_read(&mut self, id: &RunnerId, demand: AttemptDemand) {
        if let Some(runner) = self.runners.get_mut(id) {
            let read = u32::from(demand.is_unread());
            runner.unread_requests = runner.unread_requests.saturating_sub(read);
            runner.unread_tokens = runner.unread_tokens.saturating_sub(demand.unread_tokens);
            runner.late_tokens = runner.late_tokens.saturating_sub(demand.late_tokens);
        }
    }

    /// An attempt has ended; what it had left unread and held is over.
    pub fn on_ended(&mut self, id: &RunnerId, demand: AttemptDemand) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.in_flight = runner.in_flight.saturating_sub(1);
            runner.availability.on_ended();
            let unread = u32::from(demand.is_unread());
            runner.unread_requests = runner.unread_requests.saturating_sub(unread);
            runner.unread_tokens = runner.unread_tokens.saturating_sub(demand.unread_tokens);
            runner.late_tokens = runner.late_tokens.saturating_sub(demand.late_tokens);
            runner.held_tokens = runner.held_tokens.saturating_sub(demand.held_tokens);
        }
    }

    /// A runner holds the shared parts of a prompt, for it has read them or taken them over.
    pub fn on_read(&mut self, id: &RunnerId, parts: &[PromptPart], now_us: u64, capacity: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.cache.on_read(parts, now_us, capacity);
        }
    }

    /// This node has placed a request at a runner, which has so many tokens to read for it.
    pub fn on_placed(&mut self, id: &RunnerId, tokens: u64, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.asked.on_asked(tokens, now_us);
        }
    }

    /// A runner has read a prompt; returns what that took if it can be told.
    pub fn on_paced(
        &mut self,
        id: &RunnerId,
        reading: RunnerReading,
        now_us: u64,
    ) -> Option<Spent> {
        self.runners.get_mut(id)?.pace.on_read(reading, now_us)
    }

    /// A scheduler sets a request's needs aside at a runner.
    pub fn on_reserved(&mut self, id: &RunnerId, demand: AttemptDemand) {
        self.update_reserved(id, |reserved| reserved.add(demand));
    }

    /// The prompt of a request whose needs were set aside has been read.
    pub fn on_reserved_prompt_read(&mut self, id: &RunnerId, demand: AttemptDemand) {
        self.update_reserved(id, |reserved| reserved.on_read(demand));
    }

    /// A request whose needs were set aside is over there.
    pub fn on_reservation_ended(&mut self, id: &RunnerId, demand: AttemptDemand) {
        self.update_reserved(id, |reserved| reserved.remove(demand));
    }

    /// What is set aside there waits for another runner to read the prompt.
    pub fn on_awaiting_prompt(&mut self, id: &RunnerId) {
        self.update_reserved(id, |reserved| reserved.unread_requests += 1);
    }

    /// That prompt has been read, or is not waited for any more.
    pub fn on_awaited_prompt(&mut self, id: &RunnerId) {
        self.update_reserved(id, |reserved| {
            reserved.unread_requests = reserved.unread_requests.saturating_sub(1);
        });
    }

    fn update_reserved(&mut self, id: &RunnerId, update: impl FnOnce(&mut Load)) {
        if let Some(runner) = self.runners.get_mut(id) {
            update(&mut runner.reserved);
        }
    }

    /// A scheduler told the loads of a shard's runners; those it leaves out have none.
    pub fn on_shard_loads(&mut self, shard: &Shard, loads: &[RunnerLoad], now_us: u64) {
        for runner in self.runners.values_mut().filter(|runner| shard.has(runner)) {
            runner.told = None;
        }
        for load in loads {
            let Some(runner) = self.runners.get_mut(&load.runner) else { continue };
            let told = Load {
                in_flight: load.in_flight,
                unread_requests: load.unread_requests,
                unread_tokens: load.unread_tokens,
                late_tokens: load.late_tokens,
                held_tokens: load.held_tokens,
            };
            let asked_a_second = load.asked_a_second;
            runner.told = Some(ToldLoad { load: told, asked_a_second, told_at_us: now_us });
        }
    }

    /// What this node, as the scheduler of a shard, knows of the load at its runners.
    pub fn shard_loads(&self, shard: &Shard, now_us: u64) -> Vec<RunnerLoad> {
        let load = |runner: &Runner| RunnerLoad {
            runner: runner.record.id.clone(),
            in_flight: runner.in_flight + runner.reserved.in_flight,
            unread_requests: runner.unread_requests + runner.reserved.unread_requests,
            unread_tokens: runner.unread_tokens + runner.reserved.unread_tokens,
            late_tokens: runner.late_tokens_of_all(),
            held_tokens: runner.held_tokens + runner.reserved.held_tokens,
            asked_a_second: runner.asked.a_second(now_us) as u64,
        };
        let of_shard = self.runners.values().filter(|runner| shard.has(runner));
        of_shard.map(load).filter(|load| load.in_flight > 0).collect()
    }

    /// A runner told its load.
    pub fn on_load(&mut self, id: &RunnerId, load: LoadReport, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.others = (load.running + load.waiting).saturating_sub(runner.in_flight);
            runner.others_at_us = now_us;
        }
    }

    /// A runner answered; `failed` if the answer was a failure of its own.
    pub fn on_answered(&mut self, id: &RunnerId, failed: bool, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.suspicion.on_progress(now_us);
            runner.failures.on_answer(failed, now_us);
        }
    }

    /// A runner refused a request as full.
    pub fn on_full(&mut self, id: &RunnerId, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.full_until_us = now_us + FULL_US;
        }
    }

    /// A runner was ordered to change its role; the list will tell when it has. What is told
    /// of the same order again, a little late, makes its time no longer.
    pub fn on_changing(&mut self, id: &RunnerId, stage: Stage, until_us: u64) {
        let Some(runner) = self.runners.get_mut(id) else { return };
        let is_same_order = |(known, known_until_us): (Stage, u64)| {
            known == stage && until_us < known_until_us + NEW_ORDER_US
        };
        if !runner.changing.is_some_and(is_same_order) {
            runner.changing = Some((stage, until_us));
        }
    }

    /// Another node's word on runners that change their roles.
    pub fn on_changing_words(&mut self, words: &[RoleTransition], now_us: u64) {
        for word in words {
            let until_us = now_us + word.remaining_ms * MICROS_PER_MILLI;
            self.on_changing(&word.runner, word.stage, until_us);
        }
    }

    /// Runners that are changing their role.
    pub fn changing(&self, now_us: u64) -> Vec<RoleTransition> {
        let changing = self.runners.values().filter(|runner| runner.is_changing(now_us));
        let word = |runner: &Runner| {
            let (stage, until_us) = runner.changing?;
            let remaining_ms = until_us.saturating_sub(now_us) / MICROS_PER_MILLI;
            Some(RoleTransition { runner: runner.record.id.clone(), stage, remaining_ms })
        };
        changing.filter_map(word).collect()
    }

    /// A runner has said something of itself in an answer to this node. A life whose entry is gone is
    /// remembered: the entry may come back as it was.
    pub fn on_notice(&mut self, id: &RunnerId, notice: RunnerNotice, now_us: u64) -> Learned {
        if let Some(runner) = self.runners.get_mut(id) {
            return runner.availability.on_notice(notice, now_us);
        }
        let mut availability = self.departed.take(id);
        let learned = availability.on_notice(notice, now_us);
        self.departed.remember(id, availability);
        learned
    }

    /// The head of an answer of a runner has come, to a request that was sent at `sent_at_us`.
    pub fn on_limit_in_head(
        &mut self,
        id: &RunnerId,
        notice: RunnerNotice,
        sent_at_us: u64,
        now_us: u64,
    ) -> Option<LimitChange> {
        self.update_limit(id, |limit| limit.on_head(notice, sent_at_us, now_us))
    }

    /// Another node has heard what a runner takes.
    pub fn on_limit_word(&mut self, word: &LimitWord, now_us: u64) -> Option<LimitChange> {
        self.update_limit(&word.runner, |limit| limit.on_word(word, now_us))
    }

    /// The keeper of a runner's limit has none left for a time, microseconds.
    pub fn on_limit_used_up(&mut self, id: &RunnerId, wait_us: u64, now_us: u64) {
        self.update_limit(id, |limit| limit.on_refused(wait_us, now_us));
    }

    /// A life whose entry is gone is remembered: the entry may come back as it was.
    fn update_limit<R: Default>(
        &mut self,
        id: &RunnerId,
        update: impl FnOnce(&mut NamedLimit) -> R,
    ) -> R {
        if let Some(runner) = self.runners.get_mut(id) {
            return update(&mut runner.availability.limit);
        }
        let mut availability = self.departed.take(id);
        let result = update(&mut availability.limit);
        self.departed.remember(id, availability);
        result
    }

    /// What a runner has said that it takes; `None`: it names no limit.
    pub fn limit_word(&self, id: &RunnerId, now_us: u64) -> Option<LimitWord> {
        let runner = self.runners.get(id)?;
        runner.limit().map(|_| runner.availability.limit.word(id, now_us))
    }

    /// A runner has taken up a request of this node.
    pub fn on_accepted(&mut self, id: &RunnerId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.availability.on_accepted();
        }
    }

    /// What a node has seen of a runner's being there changes by `update`.
    pub fn update_suspicion<R>(
        &mut self,
        id: &RunnerId,
        update: impl FnOnce(&mut Suspicion) -> R,
    ) -> Option<R> {
        self.runners.get_mut(id).map(|runner| update(&mut runner.suspicion))
    }

    /// A runner could not be reached: it is avoided for a time.
    pub fn on_unreachable(&mut self, id: &RunnerId, now_us: u64) {
        self.update_suspicion(id, |suspicion| suspicion.on_unreachable(now_us));
    }

    /// A runner broke an answer off, though it can be reached.
    pub fn on_broken_answer(&mut self, id: &RunnerId, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.failures.on_answer(true, now_us);
        }
    }

    /// Another runner, or one of another role, answered at a runner's address.
    pub fn on_misdirected(&mut self, id: &RunnerId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.misdirected = true;
        }
    }
}
