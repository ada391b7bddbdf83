//! Updates of a node's estimates of each runner's load, health, cache and role. They come from the
//! node's own attempts, from the runners' responses and from messages of other nodes. Updates for
//! an unknown incarnation are ignored, except what is kept for entries that may come back.

use super::Fleet;
use crate::digest::RoleTransition;
use crate::framing_habit::{FramingHabit, ResponseKind, UnframedHabit, UsualHeaders};
use crate::ids::RunnerId;
use crate::prefix::PromptPart;
use crate::runner::{AttemptDemand, Load, LoadReport, ReportedLoad, Runner, RunnerRecord, Stage};
use crate::runner_limit::{LimitChange, LimitMessage, ReportedLimit};
use crate::runner_notice::{AvailabilityChange, RunnerNotice};
use crate::runner_speed::{PrefillDuration, PrefillTiming};
use crate::scheduling::{RunnerLoad, Shard};
use crate::suspicion::Suspicion;

const MICROS_PER_MILLI: u64 = 1_000;
/// Minimum delay between the end of a known role change and the reported one for the report to
/// count as a new order, in microseconds.
const NEW_ORDER_MIN_DELAY_US: u64 = 1_000_000;
/// Time for which a runner is avoided after it has refused a request because it was full.
const FULL_AVOIDANCE_US: u64 = 100_000;

impl Fleet {
    /// Records that an attempt is sent to a runner.
    pub fn on_sent(&mut self, id: &RunnerId, demand: AttemptDemand) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.in_flight += 1;
            runner.availability.on_sent();
            runner.pending_prefills += u32::from(demand.needs_prefill());
            runner.prefill_tokens += demand.prefill_tokens;
            runner.overdue_tokens += demand.overdue_tokens;
            runner.held_tokens += demand.held_tokens;
        }
    }

    /// Records that a runner has prefilled the prompt of an attempt.
    pub fn on_prefilled(&mut self, id: &RunnerId, demand: AttemptDemand) {
        if let Some(runner) = self.runners.get_mut(id) {
            let prefilled = u32::from(demand.needs_prefill());
            runner.pending_prefills = runner.pending_prefills.saturating_sub(prefilled);
            runner.prefill_tokens = runner.prefill_tokens.saturating_sub(demand.prefill_tokens);
            runner.overdue_tokens = runner.overdue_tokens.saturating_sub(demand.overdue_tokens);
        }
    }

    /// Records the end of an attempt and releases its pending prefill tokens and its KV cache.
    pub fn on_ended(&mut self, id: &RunnerId, demand: AttemptDemand) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.in_flight = runner.in_flight.saturating_sub(1);
            runner.availability.on_ended();
            let pending = u32::from(demand.needs_prefill());
            runner.pending_prefills = runner.pending_prefills.saturating_sub(pending);
            runner.prefill_tokens = runner.prefill_tokens.saturating_sub(demand.prefill_tokens);
            runner.overdue_tokens = runner.overdue_tokens.saturating_sub(demand.overdue_tokens);
            runner.held_tokens = runner.held_tokens.saturating_sub(demand.held_tokens);
        }
    }

    /// Records that a runner holds a shared prefix because it has prefilled or fetched it.
    /// `capacity` is the size of its KV cache in tokens.
    pub fn on_prefix_cached(
        &mut self,
        id: &RunnerId,
        parts: &[PromptPart],
        now_us: u64,
        capacity: u64,
    ) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.cache.on_prefix_cached(parts, now_us, capacity);
        }
    }

    /// Records that this node has placed a request on a runner, which has to prefill `tokens` for
    /// it.
    pub fn on_placed(&mut self, id: &RunnerId, tokens: u64, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.prefill_demand.add(tokens, now_us);
        }
    }

    /// Records a completed prefill; returns the time spent on it if it can be determined.
    pub fn on_prefill_measured(
        &mut self,
        id: &RunnerId,
        timing: PrefillTiming,
        now_us: u64,
    ) -> Option<PrefillDuration> {
        self.runners.get_mut(id)?.speed.on_prefilled(timing, now_us)
    }

    /// Reserves the demand of a request on a runner that this node schedules.
    pub fn on_reserved(&mut self, id: &RunnerId, demand: AttemptDemand) {
        self.update_reserved(id, |reserved| reserved.add(demand));
    }

    /// Records that the prompt of a request with a reservation has been prefilled.
    pub fn on_reserved_prefilled(&mut self, id: &RunnerId, demand: AttemptDemand) {
        self.update_reserved(id, |reserved| reserved.on_prefilled(demand));
    }

    /// Releases the reservation of a request.
    pub fn on_reservation_ended(&mut self, id: &RunnerId, demand: AttemptDemand) {
        self.update_reserved(id, |reserved| reserved.remove(demand));
    }

    /// Records that a reservation on this runner waits for another runner to prefill the prompt.
    pub fn on_remote_prefill_pending(&mut self, id: &RunnerId) {
        self.update_reserved(id, |reserved| reserved.pending_prefills += 1);
    }

    /// Records that the other runner has prefilled the prompt, or that the reservation no longer
    /// waits for it.
    pub fn on_remote_prefill_finished(&mut self, id: &RunnerId) {
        self.update_reserved(id, |reserved| {
            reserved.pending_prefills = reserved.pending_prefills.saturating_sub(1);
        });
    }

    fn update_reserved(&mut self, id: &RunnerId, update: impl FnOnce(&mut Load)) {
        if let Some(runner) = self.runners.get_mut(id) {
            update(&mut runner.reserved);
        }
    }

    /// Applies the loads of a shard's runners that its scheduler reported. Runners without a load
    /// are left out of the report, so their previous loads are cleared.
    pub fn on_shard_loads(&mut self, shard: &Shard, loads: &[RunnerLoad], now_us: u64) {
        for runner in self.runners.values_mut().filter(|runner| shard.contains(runner)) {
            runner.reported_load = None;
        }
        for load in loads {
            let Some(runner) = self.runners.get_mut(&load.runner) else { continue };
            let reported = Load {
                in_flight: load.in_flight,
                pending_prefills: load.pending_prefills,
                prefill_tokens: load.prefill_tokens,
                overdue_tokens: load.overdue_tokens,
                held_tokens: load.held_tokens,
            };
            let prefill_tokens_per_s = load.prefill_tokens_per_s;
            runner.reported_load =
                Some(ReportedLoad { load: reported, prefill_tokens_per_s, reported_at_us: now_us });
        }
    }

    /// The loads of a shard's runners as known to this node, which is the scheduler of the shard.
    /// Runners without requests are left out.
    pub fn shard_loads(&self, shard: &Shard, now_us: u64) -> Vec<RunnerLoad> {
        let load = |runner: &Runner| RunnerLoad {
            runner: runner.record.id.clone(),
            in_flight: runner.in_flight + runner.reserved.in_flight,
            pending_prefills: runner.pending_prefills + runner.reserved.pending_prefills,
            prefill_tokens: runner.prefill_tokens + runner.reserved.prefill_tokens,
            overdue_tokens: runner.local_overdue_tokens(),
            held_tokens: runner.held_tokens + runner.reserved.held_tokens,
            prefill_tokens_per_s: runner.prefill_demand.tokens_per_s(now_us) as u64,
        };
        let of_shard = self.runners.values().filter(|runner| shard.contains(runner));
        of_shard.map(load).filter(|load| load.in_flight > 0).collect()
    }

    /// Applies the load that a runner reported in a response. Requests beyond those of this node
    /// are attributed to other nodes.
    pub fn on_load(&mut self, id: &RunnerId, load: LoadReport, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.reported_peer_requests =
                load.running.saturating_add(load.waiting).saturating_sub(runner.in_flight);
            runner.peer_requests_reported_at_us = now_us;
        }
    }

    /// Records a response of a runner. `failed` is true if the runner itself failed.
    pub fn on_response(&mut self, id: &RunnerId, failed: bool, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.suspicion.on_progress(now_us);
            runner.failures.on_response(failed, now_us);
        }
    }

    /// Records that a runner refused a request because it was full.
    pub fn on_full(&mut self, id: &RunnerId, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.full_until_us = now_us + FULL_AVOIDANCE_US;
        }
    }

    /// Records that a runner was ordered to change its role until `until_us`; the registry shows
    /// when it has done so. A repeated report of the same order, which may arrive a little late,
    /// does not extend the time.
    pub fn on_role_change_ordered(&mut self, id: &RunnerId, stage: Stage, until_us: u64) {
        let Some(runner) = self.runners.get_mut(id) else { return };
        let is_same_order = |(known, known_until_us): (Stage, u64)| {
            known == stage && until_us < known_until_us + NEW_ORDER_MIN_DELAY_US
        };
        if !runner.role_transition.is_some_and(is_same_order) {
            runner.role_transition = Some((stage, until_us));
        }
    }

    /// Applies another node's report of runners that are changing their roles.
    pub fn on_role_transitions_reported(&mut self, changes: &[RoleTransition], now_us: u64) {
        for change in changes {
            let until_us = now_us + change.remaining_ms * MICROS_PER_MILLI;
            self.on_role_change_ordered(&change.runner, change.stage, until_us);
        }
    }

    /// The runners that are changing their roles, with the time left for it.
    pub fn role_transitions(&self, now_us: u64) -> Vec<RoleTransition> {
        let changing = self.runners.values().filter(|runner| runner.is_changing_role(now_us));
        let role_transition = |runner: &Runner| {
            let (stage, until_us) = runner.role_transition?;
            let remaining_ms = until_us.saturating_sub(now_us) / MICROS_PER_MILLI;
            Some(RoleTransition { runner: runner.record.id.clone(), stage, remaining_ms })
        };
        changing.filter_map(role_transition).collect()
    }

    /// Applies what a runner reported about itself in a response to this node. The notice is kept
    /// even if the entry of the incarnation is gone, because the entry may come back unchanged.
    pub fn on_notice(
        &mut self,
        id: &RunnerId,
        notice: RunnerNotice,
        now_us: u64,
    ) -> AvailabilityChange {
        if let Some(runner) = self.runners.get_mut(id) {
            return runner.availability.on_notice(notice, now_us);
        }
        let mut availability = self.departed.take(id);
        let learned = availability.on_notice(notice, now_us);
        self.departed.remember(id, availability);
        learned
    }

    /// Applies the limit in the head of a response to a request that was sent at `sent_at_us`.
    pub fn on_limit_in_response(
        &mut self,
        id: &RunnerId,
        notice: RunnerNotice,
        sent_at_us: u64,
        now_us: u64,
    ) -> Option<LimitChange> {
        self.update_limit(id, |limit| limit.on_response_head(notice, sent_at_us, now_us))
    }

    /// Applies a runner's limit that another node reported.
    pub fn on_limit_reported(
        &mut self,
        message: &LimitMessage,
        now_us: u64,
    ) -> Option<LimitChange> {
        self.update_limit(&message.runner, |limit| limit.on_message(message, now_us))
    }

    /// Records that the keeper of a runner's limit has no capacity left for `wait_us` microseconds.
    pub fn on_limit_exhausted(&mut self, id: &RunnerId, wait_us: u64, now_us: u64) {
        self.update_limit(id, |limit| limit.on_refused(wait_us, now_us));
    }

    /// Updates the limit of a runner. The limit is kept even if the entry of the incarnation is
    /// gone, because the entry may come back unchanged.
    fn update_limit<R: Default>(
        &mut self,
        id: &RunnerId,
        update: impl FnOnce(&mut ReportedLimit) -> R,
    ) -> R {
        if let Some(runner) = self.runners.get_mut(id) {
            return update(&mut runner.availability.limit);
        }
        let mut availability = self.departed.take(id);
        let result = update(&mut availability.limit);
        self.departed.remember(id, availability);
        result
    }

    /// The limit that a runner reported, as a message for other nodes; `None` if the runner names
    /// no limit.
    pub fn limit_message(&self, id: &RunnerId, now_us: u64) -> Option<LimitMessage> {
        let runner = self.runners.get(id)?;
        runner.limit().map(|_| runner.availability.limit.message(id, now_us))
    }

    /// How a runner has delimited its successful responses of a kind to this node. Until it has sent one, it is taken to
    /// do as the runners of its service at its software version do.
    pub fn framing_habit(&self, id: &RunnerId, kind: ResponseKind) -> FramingHabit {
        let Some(runner) = self.runners.get(id) else { return FramingHabit::Unknown };
        match runner.framing.of(kind) {
            FramingHabit::Unknown => self.framing_habit_of_software(&runner.record, kind),
            known => known.clone(),
        }
    }

    /// The habit of a service's runners at a software version: unframed if any of them is known to leave responses without
    /// framing, and framed if some are known and none does.
    fn framing_habit_of_software(&self, record: &RunnerRecord, kind: ResponseKind) -> FramingHabit {
        let runs_same_software = |runner: &&Runner| {
            runner.record.service == record.service && runner.record.version == record.version
        };
        let mut habit = FramingHabit::Unknown;
        for runner in self.runners.values().filter(runs_same_software) {
            match runner.framing.of(kind) {
                FramingHabit::Unknown => {}
                FramingHabit::Framed(_) => habit = FramingHabit::Framed(UsualHeaders::default()),
                FramingHabit::Unframed(_) => {
                    return FramingHabit::Unframed(UnframedHabit::default());
                }
            }
        }
        habit
    }

    /// Records a successful response of a runner to this node that its framing delimits.
    pub fn on_framed_response(&mut self, id: &RunnerId, kind: ResponseKind, names: &[&str]) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.framing.of_mut(kind).on_framed(names);
        }
    }

    /// Records a successful response of a runner to this node that only the end of its connection delimits and that is
    /// proven to be whole.
    pub fn on_unframed_response(&mut self, id: &RunnerId, kind: ResponseKind, announces_end: bool) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.framing.of_mut(kind).on_unframed(announces_end);
        }
    }

    /// Records that a runner has accepted a request of this node.
    pub fn on_accepted(&mut self, id: &RunnerId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.availability.on_accepted();
        }
    }

    /// Applies `update` to the suspicion that a runner is unreachable; returns `None` if the runner
    /// is not known.
    pub fn update_suspicion<R>(
        &mut self,
        id: &RunnerId,
        update: impl FnOnce(&mut Suspicion) -> R,
    ) -> Option<R> {
        self.runners.get_mut(id).map(|runner| update(&mut runner.suspicion))
    }

    /// Records that a runner could not be reached; it is avoided for a time.
    pub fn on_unreachable(&mut self, id: &RunnerId, now_us: u64) {
        self.update_suspicion(id, |suspicion| suspicion.on_unreachable(now_us));
    }

    /// Records that this node's link to a runner is lost and that another node reaches the runner. Failures over the link
    /// say nothing about the runner.
    pub fn on_link_lost(&mut self, id: &RunnerId, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.suspicion.on_progress(now_us);
            runner.failures = crate::failure_rate::FailureRate::default();
        }
    }

    /// Records that a runner broke off a response although it is reachable.
    pub fn on_response_interrupted(&mut self, id: &RunnerId, now_us: u64) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.failures.on_response(true, now_us);
        }
    }

    /// Records that another runner, or a runner of another role, responded at the address of this
    /// one. The runner gets no requests until a newer entry arrives.
    pub fn on_misdirected(&mut self, id: &RunnerId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.is_misdirected = true;
        }
    }
}
