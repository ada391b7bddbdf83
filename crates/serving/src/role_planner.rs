//! When runners of a language model change their roles.
//!
//! A change takes a runner away for seconds, so it needs a pressure that lasts and a side that
//! can spare runners. Pressure on prefill is the time that a prompt waits before it is read,
//! against the time in which its answer is due; pressure on decode is the share of slots or of
//! memory in use. Idle decode runners that change cost nearly nothing, so as many change at
//! once as the pressure asks for.

use crate::configuration::EngineSpec;
use crate::fleet::{Eligible, Fleet};
use crate::ids::{RunnerId, ServiceName};
use crate::read_pace::ReadPace;
use crate::runner::{Runner, Stage};

/// When roles change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolePolicy {
    /// Prefill is short of runners if prompts wait longer than this share of their target.
    pub long_wait: f64,
    /// Prefill can spare a runner if they wait shorter than this share.
    pub short_wait: f64,
    /// Decode is short of runners above this share of slots or memory.
    pub high_occupancy: f64,
    /// Decode can spare runners if the others stay below this share.
    pub low_occupancy: f64,
    /// Share of the runners that write answers whatever prefill needs: they bear crashes, and
    /// the first seconds of a swing of the mix.
    pub least_decode: f64,
    /// Most of a service's runners that change at once, as a share.
    pub most_at_once: f64,
    /// How long a pressure must last, microseconds.
    pub lasting_us: u64,
    /// Pause after a change, microseconds.
    pub pause_us: u64,
}

impl Default for RolePolicy {
    fn default() -> Self {
        Self {
            long_wait: 0.15,
            short_wait: 0.05,
            high_occupancy: 0.7,
            low_occupancy: 0.3,
            least_decode: 0.3,
            most_at_once: 0.15,
            lasting_us: 1_000_000,
            pause_us: 4_500_000,
        }
    }
}

/// Why a look ordered nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NothingOrdered {
    /// Neither role is short of runners.
    NoPressure,
    /// Prompts wait, but decode would be too full without one of its runners.
    NobodyToSpare,
    /// Prompts wait, but no more decode runners are left than always write.
    LeastDecode,
    /// Decode is full, but prefill has a single runner or waits itself.
    PrefillBusy,
    /// The pressure has not lasted yet.
    NotLasting,
    /// A change was ordered a moment ago.
    Paused,
}

impl NothingOrdered {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoPressure => "no pressure",
            Self::NobodyToSpare => "nobody to spare",
            Self::LeastDecode => "least decode",
            Self::PrefillBusy => "prefill busy",
            Self::NotLasting => "not lasting",
            Self::Paused => "paused",
        }
    }
}

/// What a look saw.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RolesSeen {
    /// Runners that read prompts and may get work.
    pub prefill: usize,
    /// Runners that write answers and may get work.
    pub decode: usize,
    /// Time that a prompt waits, as a share of its target.
    pub wait: f64,
    /// The same of what was put behind all that can still be in time.
    pub late: f64,
    /// Share of the decode runners' slots in use.
    pub occupancy: f64,
    /// Share of the decode runners' KV cache in use.
    pub memory: f64,
}

/// What a look came to.
#[derive(Clone, Debug, PartialEq)]
pub struct RolePlan {
    /// What is to be ordered, or why nothing.
    pub decision: Result<Vec<RoleChange>, NothingOrdered>,
    /// What it saw.
    pub seen: RolesSeen,
}

impl RolePlan {
    /// The changes that are due.
    pub fn changes(self) -> Vec<RoleChange> {
        self.decision.unwrap_or_default()
    }
}

/// A runner is to change its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// The runner.
    pub runner: RunnerId,
    /// Its new role.
    pub stage: Stage,
}

/// The planner of one service.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    policy: RolePolicy,
    /// The role that is short of runners, and since when.
    pressure: Option<(Stage, u64)>,
    paused_until_us: u64,
}

impl RolePlanner {
    /// A planner that has seen nothing.
    pub fn new(policy: RolePolicy) -> Self {
        Self { policy, pressure: None, paused_until_us: 0 }
    }

    /// Looks at the fleet and returns the changes that are due, or why there are none.
    pub fn plan(
        &mut self,
        fleet: &Fleet,
        pace: &ReadPace,
        demand: &RoleDemand<'_>,
        now_us: u64,
    ) -> RolePlan {
        let view = RoleView::new(fleet, pace, demand, now_us);
        RolePlan { seen: view.seen(), decision: self.decide(&view) }
    }

    fn decide(&mut self, view: &RoleView<'_>) -> Result<Vec<RoleChange>, NothingOrdered> {
        let now_us = view.now_us;
        let short = view.short_of(&self.policy);
        self.pressure = match (short, self.pressure) {
            (Ok(stage), Some((known, since))) if stage == known => Some((stage, since)),
            (Ok(stage), _) => Some((stage, now_us)),
            (Err(_), _) => None,
        };
        let stage = short?;
        let since = self.pressure.map_or(now_us, |(_, since)| since);
        // Without any decode runner nothing is served: no reason to wait.
        let lasting_us = if view.decode.is_empty() { 0 } else { self.policy.lasting_us };
        if now_us < self.paused_until_us {
            return Err(NothingOrdered::Paused);
        }
        if now_us < since + lasting_us {
            return Err(NothingOrdered::NotLasting);
        }
        let count = view.count_of_changes(stage, &self.policy);
        let idlest = view.idlest(stage).into_iter().take(count);
        Ok(idlest.map(|runner| RoleChange { runner, stage }).collect())
    }

    /// A change was ordered, or might have been.
    pub fn on_ordered(&mut self, now_us: u64) {
        self.pressure = None;
        self.paused_until_us = now_us + self.policy.pause_us;
    }
}

/// What is asked of a service's runners.
#[derive(Clone, Copy, Debug)]
pub struct RoleDemand<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its runners.
    pub engine: &'a EngineSpec,
    /// The shortest time in which an answer is due, milliseconds.
    pub target_ms: f64,
}

struct RoleView<'a> {
    prefill: Vec<&'a Runner>,
    decode: Vec<&'a Runner>,
    /// Time that a prompt waits, as a share of its target.
    wait: f64,
    /// The same of what was put behind.
    late: f64,
    occupied: f64,
    slots: f64,
    held: f64,
    memory: f64,
    now_us: u64,
}

impl<'a> RoleView<'a> {
    fn new(fleet: &'a Fleet, pace: &ReadPace, demand: &RoleDemand<'_>, now_us: u64) -> Self {
        let runners = fleet.candidates(&Eligible::all_of(demand.service), now_us);
        let (prefill, decode): (Vec<&Runner>, Vec<&Runner>) =
            runners.into_iter().partition(|runner| runner.record.stage == Some(Stage::Prefill));
        let backlog = |runners: &[&Runner]| -> f64 {
            runners.iter().map(|runner| pace.backlog_ms(runner, now_us)).sum()
        };
        // Decode runners read too, at half the pace, when prefill is busy.
        let readers = prefill.len() as f64 + decode.len() as f64 / 2.0;
        let target_ms = demand.target_ms.max(1.0) * readers.max(1.0);
        let late = |runner: &&Runner| pace.read_ms(runner.late_tokens_of_all() as f64);
        let late_ms: f64 = prefill.iter().chain(&decode).map(late).sum();
        let backlog_ms = backlog(&prefill) + backlog(&decode);
        let occupied = decode.iter().map(|runner| runner.occupancy(now_us)).sum();
        let held: u64 = decode.iter().map(|runner| runner.held_by_all(now_us)).sum();
        Self {
            prefill,
            decode,
            wait: backlog_ms / target_ms,
            late: late_ms / target_ms,
            occupied,
            slots: f64::from(demand.engine.slots.max(1)),
            held: held as f64,
            memory: demand.engine.kv_tokens.max(1) as f64,
            now_us,
        }
    }

    /// Share in use with so many decode runners, of slots or of memory, whichever is fuller.
    fn occupancy_with(&self, decode_runners: usize) -> f64 {
        let runners = decode_runners.max(1) as f64;
        let slots = self.occupied / (self.slots * runners);
        slots.max(self.held / (self.memory * runners))
    }

    fn seen(&self) -> RolesSeen {
        let decode = self.decode.len().max(1) as f64;
        RolesSeen {
            prefill: self.prefill.len(),
            decode: self.decode.len(),
            wait: self.wait,
            late: self.late,
            occupancy: self.occupied / (self.slots * decode),
            memory: self.held / (self.memory * decode),
        }
    }

    fn short_of(&self, policy: &RolePolicy) -> Result<Stage, NothingOrdered> {
        let decode = self.decode.len();
        if decode == 0 && !self.prefill.is_empty() {
            return Ok(Stage::Decode);
        }
        // Runners that left or crashed have taken the share that always writes.
        if decode < self.least_decode(policy) && self.prefill.len() > 1 {
            return Ok(Stage::Decode);
        }
        let decode_is_full = self.occupancy_with(decode) > policy.high_occupancy;
        if decode_is_full && self.prefill.len() > 1 && self.wait < policy.short_wait {
            return Ok(Stage::Decode);
        }
        if self.wait <= policy.long_wait {
            return Err(match decode_is_full {
                true => NothingOrdered::PrefillBusy,
                false => NothingOrdered::NoPressure,
            });
        }
        if self.spare_decode(policy) > 0 {
            return Ok(Stage::Prefill);
        }
        Err(match decode <= self.least_decode(policy) {
            true => NothingOrdered::LeastDecode,
            false => NothingOrdered::NobodyToSpare,
        })
    }

    fn all(&self) -> f64 {
        (self.prefill.len() + self.decode.len()) as f64
    }

    /// Rounded down: in a small fleet prefill needs the odd one more. But streams that two
    /// runners write at ease are too many for one: each of them is slower there, so more run.
    fn least_decode(&self, policy: &RolePolicy) -> usize {
        const ENOUGH_FOR_TWO: f64 = 5.0;
        let least: f64 = if self.all() >= ENOUGH_FOR_TWO { 2.0 } else { 1.0 };
        (self.all() * policy.least_decode).floor().max(least) as usize
    }

    /// Decode runners without which the others stay below the low share.
    fn spare_decode(&self, policy: &RolePolicy) -> usize {
        let least = self.least_decode(policy);
        let enough = |count: &usize| self.occupancy_with(*count) < policy.low_occupancy;
        let needed = (least..self.decode.len()).find(enough);
        needed.map_or(0, |needed| self.decode.len() - needed)
    }

    fn count_of_changes(&self, stage: Stage, policy: &RolePolicy) -> usize {
        if stage == Stage::Decode {
            return 1;
        }
        // A queue shortens faster than in proportion to its servers.
        let excess = self.wait / policy.long_wait - 1.0;
        let wanted = (self.prefill.len() as f64 * excess / 2.0).ceil().max(1.0) as usize;
        let most = (self.all() * policy.most_at_once).ceil() as usize;
        wanted.min(most).min(self.spare_decode(policy))
    }

    /// Runners of the other role, those that have least to do first.
    fn idlest(&self, wanted: Stage) -> Vec<RunnerId> {
        let others = if wanted == Stage::Prefill { &self.decode } else { &self.prefill };
        let load = |runner: &&Runner| {
            (runner.occupancy(self.now_us) * 1_000.0) as u64 + runner.unread_tokens
        };
        let mut others = others.clone();
        others.sort_by_key(load);
        others.iter().map(|runner| runner.record.id.clone()).collect()
    }
}
