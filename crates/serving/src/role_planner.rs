//! When a runner of a language model changes its role.
//!
//! A change takes a runner away for seconds, so it needs a pressure that lasts and a side
//! that can spare a runner. Pressure on prefill is the time that a prompt waits before it is
//! read; pressure on decode is the share of slots in use.

use crate::configuration::EngineSpec;
use crate::fleet::{Eligible, Fleet, Runner, Stage};
use crate::ids::{RunnerId, ServiceName};
use crate::placement::ReadPace;

/// When roles change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolePolicy {
    /// Prefill is short of runners above this wait, milliseconds.
    pub long_wait_ms: f64,
    /// Prefill can spare a runner below this wait, milliseconds.
    pub short_wait_ms: f64,
    /// Decode is short of runners above this share of slots or memory.
    pub high_occupancy: f64,
    /// Decode can spare a runner if the others stay below this share.
    pub low_occupancy: f64,
    /// How long a pressure must last, microseconds.
    pub lasting_us: u64,
    /// Pause after a change, microseconds.
    pub pause_us: u64,
}

impl Default for RolePolicy {
    fn default() -> Self {
        Self {
            long_wait_ms: 300.0,
            short_wait_ms: 40.0,
            high_occupancy: 0.8,
            low_occupancy: 0.45,
            lasting_us: 1_500_000,
            pause_us: 8_000_000,
        }
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

    /// Looks at the fleet and returns a change, if one is due.
    pub fn plan(
        &mut self,
        fleet: &Fleet,
        pace: &ReadPace,
        service: &ServiceName,
        engine: &EngineSpec,
        now_us: u64,
    ) -> Option<RoleChange> {
        let view = RoleView::new(fleet, pace, service, engine, now_us);
        let short = view.short_of(&self.policy);
        self.pressure = match (short, self.pressure) {
            (Some(stage), Some((known, since))) if stage == known => Some((stage, since)),
            (Some(stage), _) => Some((stage, now_us)),
            (None, _) => None,
        };
        let (stage, since) = self.pressure?;
        // Without any decode runner nothing is served: no reason to wait.
        let lasting_us = if view.decode.is_empty() { 0 } else { self.policy.lasting_us };
        if now_us < self.paused_until_us || now_us < since + lasting_us {
            return None;
        }
        let runner = view.spare(stage)?;
        Some(RoleChange { runner, stage })
    }

    /// A change was ordered, or might have been.
    pub fn on_ordered(&mut self, now_us: u64) {
        self.pressure = None;
        self.paused_until_us = now_us + self.policy.pause_us;
    }
}

struct RoleView<'a> {
    prefill: Vec<&'a Runner>,
    decode: Vec<&'a Runner>,
    wait_ms: f64,
    occupied: f64,
    slots: f64,
    held: f64,
    memory: f64,
    now_us: u64,
}

impl<'a> RoleView<'a> {
    fn new(
        fleet: &'a Fleet,
        pace: &ReadPace,
        service: &'a ServiceName,
        engine: &EngineSpec,
        now_us: u64,
    ) -> Self {
        let runners = fleet.candidates(&Eligible::all_of(service), now_us);
        let (prefill, decode): (Vec<&Runner>, Vec<&Runner>) =
            runners.into_iter().partition(|runner| runner.record.stage == Some(Stage::Prefill));
        let backlog = |runners: &[&Runner]| -> f64 {
            runners.iter().map(|runner| pace.backlog_ms(runner, now_us)).sum()
        };
        // Decode runners read too, at half the pace, when prefill is busy.
        let readers = prefill.len() as f64 + decode.len() as f64 / 2.0;
        let wait_ms = (backlog(&prefill) + backlog(&decode)) / readers.max(1.0);
        let occupied = decode.iter().map(|runner| runner.occupancy(now_us)).sum();
        let slots = f64::from(engine.slots.max(1));
        let held: u64 = decode.iter().map(|runner| runner.held_by_all(now_us)).sum();
        let memory = engine.kv_tokens.max(1) as f64;
        Self { prefill, decode, wait_ms, occupied, slots, held: held as f64, memory, now_us }
    }

    /// Share in use with so many decode runners, of slots or of memory, whichever is fuller.
    fn occupancy_with(&self, decode_runners: usize) -> f64 {
        let runners = decode_runners.max(1) as f64;
        let slots = self.occupied / (self.slots * runners);
        slots.max(self.held / (self.memory * runners))
    }

    fn short_of(&self, policy: &RolePolicy) -> Option<Stage> {
        let decode = self.decode.len();
        if decode == 0 {
            return (!self.prefill.is_empty()).then_some(Stage::Decode);
        }
        let decode_is_full = self.occupancy_with(decode) > policy.high_occupancy;
        if decode_is_full && self.prefill.len() > 1 && self.wait_ms < policy.short_wait_ms {
            return Some(Stage::Decode);
        }
        let can_spare = decode > 1 && self.occupancy_with(decode - 1) < policy.low_occupancy;
        (self.wait_ms > policy.long_wait_ms && can_spare).then_some(Stage::Prefill)
    }

    /// The runner of the other role that has least to do.
    fn spare(&self, wanted: Stage) -> Option<RunnerId> {
        let others = if wanted == Stage::Prefill { &self.decode } else { &self.prefill };
        let load = |runner: &&&Runner| {
            (runner.occupancy(self.now_us) * 1_000.0) as u64 + runner.unread_tokens
        };
        others.iter().min_by_key(load).map(|runner| runner.record.id.clone())
    }
}
