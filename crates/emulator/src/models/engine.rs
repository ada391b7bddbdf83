//! A stand-in for a model engine: continuous batching, a prefix cache in blocks, KV export
//! and import, priorities, cancel and resume, lagged reports, fenced orders.
//!
//! The model advances in steps, as engines do. A step reads some prompt tokens and writes one
//! token for each sequence whose prompt is read; its length grows with both. It has no clock:
//! its host calls [`EngineModel::advance`] at [`EngineModel::next_wake`].

use crate::models::profile::EngineProfile;
use crate::models::text::ExpectedAnswer;
use pitchstall_coordination::fence::{Effect, FenceGuard};
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::caller::TextDigest;
use pitchstall_protocol::engine::{
    AttemptKey, EngineEvent, EngineEventKind, EngineReport, EngineRole, EngineState,
    GenerateRequest, OrderReply, RefusalReason, ResumeRequest, RoleOrder, Stage,
};
use pitchstall_protocol::ids::{EngineId, ModelName, ZoneId};
use pitchstall_scheduling::routing::prefix_blocks;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A reader of an attempt, named by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reader(pub u64);

/// What the host has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineAction {
    /// Send an event to a reader.
    Send(Reader, EngineEvent),
    /// End a reader's stream.
    End(Reader),
    /// Fetch a KV cache from another engine and call [`EngineModel::cache_arrived`].
    FetchCache {
        /// The attempt that needs it.
        needed_by: AttemptKey,
        /// The engine that has it.
        source: EngineId,
        /// Its address.
        address: String,
        /// The attempt under which it has it.
        key: AttemptKey,
    },
    /// Load weights and call [`EngineModel::weights_arrived`].
    LoadWeights {
        /// Their size.
        bytes: u64,
    },
}

/// Where a sequence stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Waits for its KV cache.
    Importing,
    /// Waits for a place, or reads its prompt; tokens left to read.
    Reading(u64),
    /// Writes.
    Writing,
}

#[derive(Clone, Debug)]
struct Sequence {
    key: AttemptKey,
    answer: ExpectedAnswer,
    prompt_tokens: u64,
    blocks: Vec<u64>,
    /// Whether the text it was told to go on from is the text it would have written.
    consistent: bool,
    only_prefill: bool,
    progress: Progress,
    written: u32,
    has_written: bool,
    priority: i32,
    in_batch: bool,
    reader: Option<Reader>,
    unread_since: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct Ended {
    at: Timestamp,
    answer: ExpectedAnswer,
    consistent: bool,
    written: u32,
    last: EngineEventKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangePhase {
    /// Waits until the sequences have ended.
    Draining,
    /// Weights are on their way.
    LoadingWeights,
    /// Restarts in the new role until then.
    Restarting(Timestamp),
}

/// The engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    engine: EngineId,
    zone: ZoneId,
    profile: EngineProfile,
    guard: FenceGuard,
    change: Option<ChangePhase>,
    sequences: BTreeMap<AttemptKey, Sequence>,
    order: Vec<AttemptKey>,
    ended: BTreeMap<AttemptKey, Ended>,
    exported: BTreeMap<AttemptKey, u64>,
    cached: VecDeque<u64>,
    fresh_blocks: Vec<u64>,
    step_ends: Option<Timestamp>,
    step_reads: Vec<(AttemptKey, u64)>,
    reports: u64,
    accepted: u64,
    lagged: VecDeque<(Timestamp, EngineReport)>,
    started_runs: Vec<AttemptKey>,
    housekeeping: Timestamp,
}

/// Most blocks named in one report; the rest of the news is lost, as with real engines.
const BLOCKS_IN_REPORT: usize = 32;

impl EngineModel {
    /// An idle engine.
    pub fn new(
        engine: EngineId,
        zone: ZoneId,
        profile: EngineProfile,
        role: EngineRole,
        model: ModelName,
    ) -> Self {
        Self {
            engine,
            zone,
            profile,
            guard: FenceGuard::new(role, model),
            change: None,
            sequences: BTreeMap::new(),
            order: Vec::new(),
            ended: BTreeMap::new(),
            exported: BTreeMap::new(),
            cached: VecDeque::new(),
            fresh_blocks: Vec::new(),
            step_ends: None,
            step_reads: Vec::new(),
            reports: 0,
            accepted: 0,
            lagged: VecDeque::new(),
            started_runs: Vec::new(),
            housekeeping: Timestamp(0),
        }
    }

    /// Its name.
    pub fn engine(&self) -> &EngineId {
        &self.engine
    }

    /// Its parameters.
    pub fn profile(&self) -> &EngineProfile {
        &self.profile
    }

    /// Role, model, state and fence.
    pub fn standing(&self) -> &pitchstall_protocol::engine::EngineStanding {
        self.guard.standing()
    }

    /// Attempts that wrote their first token, in order, since the last call: for checkers.
    pub fn take_started_runs(&mut self) -> Vec<AttemptKey> {
        std::mem::take(&mut self.started_runs)
    }

    /// Whether a change of role or model is under way.
    pub fn is_changing(&self) -> bool {
        self.guard.standing().state == EngineState::Changing
    }

    /// Whether no sequence is left.
    pub fn is_idle(&self) -> bool {
        self.sequences.is_empty()
    }

    /// When [`Self::advance`] should be called next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let restart = match self.change {
            Some(ChangePhase::Restarting(until)) => Some(until),
            _ => None,
        };
        let unread = self.sequences.values().filter_map(|sequence| {
            let since = sequence.unread_since?;
            Some(since + Duration::from_millis(self.profile.unread_grace_ms))
        });
        self.step_ends.into_iter().chain(restart).chain(unread).min()
    }

    /// Does what is due.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        if self.step_ends.is_some_and(|ends| ends <= now) {
            self.end_step(now, &mut actions);
        }
        self.drop_unread(now, &mut actions);
        self.advance_change(now, &mut actions);
        self.start_step(now);
        self.keep_house(now);
        actions
    }

    // --- calls ------------------------------------------------------------------------

    /// An attempt is asked for.
    pub fn generate(
        &mut self,
        now: Timestamp,
        reader: Reader,
        request: &GenerateRequest,
    ) -> Vec<EngineAction> {
        let key = AttemptKey { request: request.request.clone(), attempt: request.attempt };
        // The same pair never runs twice, however often the call arrives.
        if self.sequences.contains_key(&key) || self.ended.contains_key(&key) {
            let resume = ResumeRequest { key, offset: request.written_tokens };
            return self.resume(now, reader, &resume);
        }
        if let Some(reason) = self.refusal(request) {
            return refuse(reader, key, reason);
        }
        let mut actions = Vec::new();
        let progress = self.first_progress(request, &key, &mut actions);
        let answer = ExpectedAnswer::to(&request.prompt, request.max_tokens);
        let expected = answer.text(request.written_tokens);
        self.accepted += 1;
        let sequence = Sequence {
            key: key.clone(),
            answer,
            prompt_tokens: prompt_tokens(request),
            blocks: prefix_blocks(&request.prompt),
            consistent: TextDigest::of(&expected) == TextDigest::of(&request.written),
            only_prefill: request.stage == Stage::Prefill,
            progress,
            written: request.written_tokens,
            has_written: false,
            priority: request.priority,
            in_batch: false,
            reader: Some(reader),
            unread_since: None,
        };
        self.sequences.insert(key.clone(), sequence);
        self.order.push(key);
        self.start_step(now);
        actions
    }

    fn refusal(&self, request: &GenerateRequest) -> Option<RefusalReason> {
        let standing = self.guard.standing();
        match standing.state {
            EngineState::Changing => return Some(RefusalReason::Changing),
            EngineState::Leaving => return Some(RefusalReason::Leaving),
            EngineState::Ready => {}
        }
        if standing.model != request.model {
            return Some(RefusalReason::WrongModel);
        }
        let fits = match request.stage {
            Stage::Full => standing.role == EngineRole::Mixed,
            Stage::Prefill => standing.role.reads_prompts(),
            Stage::Decode { .. } => standing.role.writes_outputs(),
        };
        if !fits {
            return Some(RefusalReason::WrongRole);
        }
        let limit = self.profile.max_sequences + self.profile.queue_limit;
        (self.sequences.len() >= limit).then_some(RefusalReason::Full)
    }

    fn first_progress(
        &mut self,
        request: &GenerateRequest,
        key: &AttemptKey,
        actions: &mut Vec<EngineAction>,
    ) -> Progress {
        if let Stage::Decode { source, source_address, source_attempt } = &request.stage {
            actions.push(EngineAction::FetchCache {
                needed_by: key.clone(),
                source: source.clone(),
                address: source_address.clone(),
                key: AttemptKey { request: request.request.clone(), attempt: *source_attempt },
            });
            return Progress::Importing;
        }
        let blocks = prefix_blocks(&request.prompt);
        let held = blocks.iter().take_while(|block| self.cached.contains(block)).count() as u64;
        for block in blocks.iter().take(held as usize) {
            self.touch_block(*block);
        }
        let cached_tokens = held * self.profile.block_tokens;
        let total = prompt_tokens(request) + u64::from(request.written_tokens);
        Progress::Reading(total.saturating_sub(cached_tokens).max(1))
    }

    /// An attempt is read on.
    pub fn resume(
        &mut self,
        _now: Timestamp,
        reader: Reader,
        request: &ResumeRequest,
    ) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        if let Some(sequence) = self.sequences.get_mut(&request.key) {
            if let Some(previous) = sequence.reader.replace(reader) {
                actions.push(EngineAction::End(previous));
            }
            sequence.unread_since = None;
            let range = request.offset..sequence.written;
            let (answer, consistent) = (sequence.answer, sequence.consistent);
            send_tokens(&mut actions, reader, &request.key, &answer, consistent, range);
            return actions;
        }
        if let Some(ended) = self.ended.get(&request.key) {
            let range = request.offset..ended.written;
            send_tokens(&mut actions, reader, &request.key, &ended.answer, ended.consistent, range);
            let event = EngineEvent { key: request.key.clone(), kind: ended.last.clone() };
            actions.push(EngineAction::Send(reader, event));
            actions.push(EngineAction::End(reader));
            return actions;
        }
        refuse(reader, request.key.clone(), RefusalReason::UnknownAttempt)
    }

    /// A reader has gone.
    pub fn reader_gone(&mut self, now: Timestamp, reader: Reader) {
        for sequence in self.sequences.values_mut() {
            if sequence.reader == Some(reader) {
                sequence.reader = None;
                sequence.unread_since = Some(now);
            }
        }
    }

    /// An attempt is given up, unless somebody reads it.
    pub fn cancel(&mut self, key: &AttemptKey) {
        let unread = self.sequences.get(key).is_some_and(|it| it.reader.is_none());
        if unread {
            self.sequences.remove(key);
            self.order.retain(|other| other != key);
        }
    }

    /// An order.
    pub fn on_order(
        &mut self,
        now: Timestamp,
        order: &RoleOrder,
    ) -> (OrderReply, Vec<EngineAction>) {
        let (reply, effect) = self.guard.on_order(order);
        let mut actions = Vec::new();
        if let Effect::Begin(_) = effect {
            self.change = Some(ChangePhase::Draining);
            self.advance_change(now, &mut actions);
        }
        (reply, actions)
    }

    /// The machine is about to go: no new work from now on.
    pub fn leave(&mut self) {
        self.guard.leave();
    }

    /// A KV cache is asked for by another engine; its size in tokens if it is here.
    pub fn export(&self, key: &AttemptKey) -> Option<u64> {
        self.exported.get(key).copied()
    }

    /// Time to move a KV cache of so many tokens.
    pub fn transfer_time(&self, tokens: u64) -> Duration {
        let bytes = u128::from(tokens) * u128::from(self.profile.kv_bytes_per_token);
        let rate = u128::from(self.profile.cache_transfer_bytes_per_second.max(1));
        Duration::from_micros((bytes * 1_000_000 / rate) as u64)
    }

    /// The KV cache asked for by [`EngineAction::FetchCache`] has arrived, or is not to be had.
    pub fn cache_arrived(
        &mut self,
        now: Timestamp,
        needed_by: &AttemptKey,
        found: bool,
    ) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        if found {
            if let Some(sequence) = self.sequences.get_mut(needed_by) {
                sequence.progress = Progress::Writing;
            }
            self.start_step(now);
        } else if let Some(sequence) = self.sequences.remove(needed_by) {
            self.order.retain(|other| other != needed_by);
            if let Some(reader) = sequence.reader {
                actions = refuse(reader, needed_by.clone(), RefusalReason::CacheGone);
            }
        }
        actions
    }

    /// The weights asked for by [`EngineAction::LoadWeights`] have arrived.
    pub fn weights_arrived(&mut self, now: Timestamp) {
        if self.change == Some(ChangePhase::LoadingWeights) {
            self.change = Some(ChangePhase::Restarting(now + self.restart_time()));
        }
    }

    fn restart_time(&self) -> Duration {
        Duration::from_millis(self.profile.role_change_ms)
    }

    /// A report, as old as the engine's lag.
    pub fn report(&mut self, now: Timestamp) -> EngineReport {
        let lag = Duration::from_millis(self.profile.report_lag_ms);
        // The lag is bounded, also when nobody has asked for a long time.
        self.lagged.retain(|(made, _)| now.since(*made) <= lag * 2);
        let fresh = self.fresh_report();
        self.lagged.push_back((now, fresh));
        while self.lagged.len() > 1 && self.lagged[1].0 <= now.before(lag) {
            self.lagged.pop_front();
        }
        self.reports += 1;
        let mut report = self.lagged[0].1.clone();
        report.report = self.reports;
        report
    }

    fn fresh_report(&mut self) -> EngineReport {
        let running = self.sequences.values().filter(|it| it.in_batch).count();
        let waiting_prompt_tokens = self.sequences.values().map(|it| match it.progress {
            Progress::Reading(left) => left,
            _ => 0,
        });
        let waiting_output = self
            .sequences
            .values()
            .map(|it| u64::from(it.answer.tokens.saturating_sub(it.written)));
        let mut cached_blocks = std::mem::take(&mut self.fresh_blocks);
        cached_blocks.truncate(BLOCKS_IN_REPORT);
        let used = self.cache_in_use() * 1_000 / self.profile.cache_tokens.max(1);
        EngineReport {
            engine: self.engine.clone(),
            zone: self.zone.clone(),
            report: 0,
            standing: self.guard.standing().clone(),
            running: running as u32,
            waiting: (self.sequences.len() - running) as u32,
            waiting_prompt_tokens: waiting_prompt_tokens.sum(),
            waiting_output_tokens: waiting_output.sum(),
            cache_used_permille: used.min(1_000) as u16,
            accepted_total: self.accepted,
            cached_blocks,
        }
    }

    // --- steps -------------------------------------------------------------------------

    fn cache_in_use(&self) -> u64 {
        self.sequences
            .values()
            .filter(|it| it.in_batch)
            .map(|it| it.prompt_tokens + u64::from(it.answer.tokens))
            .sum()
    }

    /// Fills the batch: higher priority first, then in order of arrival.
    fn fill_batch(&mut self) {
        let mut running = self.sequences.values().filter(|it| it.in_batch).count();
        let mut in_use = self.cache_in_use();
        let mut waiting: Vec<AttemptKey> = self
            .order
            .iter()
            .filter(|key| {
                self.sequences
                    .get(key)
                    .is_some_and(|it| !it.in_batch && it.progress != Progress::Importing)
            })
            .cloned()
            .collect();
        waiting.sort_by_key(|key| {
            std::cmp::Reverse(self.sequences.get(key).map_or(i32::MIN, |it| it.priority))
        });
        for key in waiting {
            let Some(sequence) = self.sequences.get_mut(&key) else {
                continue;
            };
            let needs = sequence.prompt_tokens + u64::from(sequence.answer.tokens);
            let fits = in_use + needs <= self.profile.cache_tokens || running == 0;
            if running >= self.profile.max_sequences || !fits {
                break;
            }
            sequence.in_batch = true;
            running += 1;
            in_use += needs;
        }
    }

    fn start_step(&mut self, now: Timestamp) {
        if self.step_ends.is_some() || self.sequences.is_empty() {
            return;
        }
        self.fill_batch();
        let writing = self
            .sequences
            .values()
            .filter(|it| it.in_batch && it.progress == Progress::Writing)
            .count() as u64;
        self.step_reads = self.tokens_to_read();
        let reading = self.step_reads.iter().map(|(_, tokens)| tokens).sum::<u64>();
        if writing == 0 && reading == 0 {
            return;
        }
        let reading_us = reading * 1_000_000 / self.profile.prompt_tokens_per_second.max(1);
        let step_us =
            self.profile.step_base_us + writing * self.profile.step_per_sequence_us + reading_us;
        self.step_ends = Some(now + Duration::from_micros(step_us));
    }

    /// Which sequences read how many prompt tokens in the next step.
    fn tokens_to_read(&self) -> Vec<(AttemptKey, u64)> {
        let mut left = self.profile.prompt_tokens_per_step;
        let mut shares = Vec::new();
        for key in &self.order {
            let Some(sequence) = self.sequences.get(key).filter(|it| it.in_batch) else {
                continue;
            };
            if let Progress::Reading(tokens) = sequence.progress {
                let share = tokens.min(left);
                if share > 0 {
                    shares.push((key.clone(), share));
                    left -= share;
                }
            }
        }
        shares
    }

    fn end_step(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        self.step_ends = None;
        let writers: Vec<AttemptKey> = self
            .order
            .iter()
            .filter(|key| {
                self.sequences
                    .get(key)
                    .is_some_and(|it| it.in_batch && it.progress == Progress::Writing)
            })
            .cloned()
            .collect();
        for (key, tokens) in std::mem::take(&mut self.step_reads) {
            self.read_tokens(now, &key, tokens, actions);
        }
        for key in writers {
            self.write_token(now, &key, actions);
        }
    }

    fn read_tokens(
        &mut self,
        now: Timestamp,
        key: &AttemptKey,
        tokens: u64,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(sequence) = self.sequences.get_mut(key) else {
            return;
        };
        let Progress::Reading(left) = sequence.progress else {
            return;
        };
        if left > tokens {
            sequence.progress = Progress::Reading(left - tokens);
            return;
        }
        let blocks = sequence.blocks.clone();
        let prefill_only = sequence.only_prefill;
        let size = sequence.prompt_tokens + u64::from(sequence.written);
        sequence.progress = Progress::Writing;
        for block in blocks {
            self.add_block(block);
        }
        if prefill_only {
            self.exported.insert(key.clone(), size);
            self.end_sequence(now, key, EngineEventKind::Prefilled, actions);
        } else {
            // Reading the last prompt token yields the first output token.
            self.write_token(now, key, actions);
        }
    }

    fn write_token(&mut self, now: Timestamp, key: &AttemptKey, actions: &mut Vec<EngineAction>) {
        let Some(sequence) = self.sequences.get_mut(key) else {
            return;
        };
        let place = sequence.written;
        if place < sequence.answer.tokens {
            if !sequence.has_written {
                sequence.has_written = true;
                self.started_runs.push(key.clone());
            }
            sequence.written += 1;
            if let Some(reader) = sequence.reader {
                let range = place..place + 1;
                let (answer, consistent) = (sequence.answer, sequence.consistent);
                send_tokens(actions, reader, key, &answer, consistent, range);
            }
        }
        if sequence.written >= sequence.answer.tokens {
            let finished = EngineEventKind::Finished {
                prompt_tokens: sequence.prompt_tokens as u32,
                total_tokens: sequence.written,
            };
            self.end_sequence(now, key, finished, actions);
        }
    }

    fn end_sequence(
        &mut self,
        now: Timestamp,
        key: &AttemptKey,
        last: EngineEventKind,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(sequence) = self.sequences.remove(key) else {
            return;
        };
        self.order.retain(|other| other != key);
        if let Some(reader) = sequence.reader {
            let event = EngineEvent { key: key.clone(), kind: last.clone() };
            actions.push(EngineAction::Send(reader, event));
            actions.push(EngineAction::End(reader));
        }
        let ended = Ended {
            at: now,
            answer: sequence.answer,
            consistent: sequence.consistent,
            written: sequence.written,
            last,
        };
        self.ended.insert(key.clone(), ended);
    }

    fn drop_unread(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        let grace = Duration::from_millis(self.profile.unread_grace_ms);
        let unread: Vec<AttemptKey> = self
            .sequences
            .values()
            .filter(|it| it.unread_since.is_some_and(|since| now.since(since) >= grace))
            .map(|it| it.key.clone())
            .collect();
        for key in unread {
            self.end_sequence(now, &key, EngineEventKind::Failed, actions);
        }
    }

    fn keep_house(&mut self, now: Timestamp) {
        if now < self.housekeeping {
            return;
        }
        self.housekeeping = now + Duration::from_secs(1);
        let retention = Duration::from_millis(self.profile.ended_retention_ms);
        let ended = &mut self.ended;
        ended.retain(|_, it| now.since(it.at) < retention);
        self.exported.retain(|key, _| ended.contains_key(key));
    }

    // --- prefix cache ------------------------------------------------------------------

    fn touch_block(&mut self, block: u64) {
        self.cached.retain(|other| *other != block);
        self.cached.push_back(block);
    }

    fn add_block(&mut self, block: u64) {
        if !self.cached.contains(&block) {
            self.fresh_blocks.push(block);
        }
        self.touch_block(block);
        let capacity = self.profile.cache_tokens / self.profile.block_tokens.max(1);
        while self.cached.len() as u64 > capacity {
            self.cached.pop_front();
        }
    }

    // --- changes -------------------------------------------------------------------------

    fn advance_change(&mut self, now: Timestamp, actions: &mut Vec<EngineAction>) {
        match self.change {
            Some(ChangePhase::Draining) if self.sequences.is_empty() => {
                let new_model = self
                    .guard
                    .in_flight()
                    .is_some_and(|change| change.model != self.guard.standing().model);
                if new_model {
                    self.change = Some(ChangePhase::LoadingWeights);
                    let bytes = self.profile.weight_bytes;
                    actions.push(EngineAction::LoadWeights { bytes });
                } else {
                    self.change = Some(ChangePhase::Restarting(now + self.restart_time()));
                }
            }
            Some(ChangePhase::Restarting(until)) if until <= now => {
                self.change = None;
                self.cached.clear();
                self.guard.complete();
            }
            _ => {}
        }
    }
}

fn prompt_tokens(request: &GenerateRequest) -> u64 {
    const BYTES_PER_TOKEN: usize = 4;
    request.prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64
}

fn refuse(reader: Reader, key: AttemptKey, reason: RefusalReason) -> Vec<EngineAction> {
    let event = EngineEvent { key, kind: EngineEventKind::Refused { reason } };
    vec![EngineAction::Send(reader, event), EngineAction::End(reader)]
}

fn send_tokens(
    actions: &mut Vec<EngineAction>,
    reader: Reader,
    key: &AttemptKey,
    answer: &ExpectedAnswer,
    consistent: bool,
    range: std::ops::Range<u32>,
) {
    for place in range {
        let text = if consistent { answer.token(place) } else { format!(" ?{place}") };
        let kind = EngineEventKind::Tokens { offset: place, count: 1, text };
        actions.push(EngineAction::Send(reader, EngineEvent { key: key.clone(), kind }));
    }
}
