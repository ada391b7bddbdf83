//! Which role each engine should have: a role is changed only where the expected gain over
//! its dwell exceeds the cost of the change.
//!
//! Demand is measured as engine-seconds a second of reading and of writing, over a short and
//! a long horizon. An allocation's shortfall is the demand it cannot serve. A change gains
//! the difference in shortfall for as long as the demand is expected to last, and costs the
//! engine's absence times the operators' weight. The expected dwell is learnt from how long
//! earlier demand lasted before it called for the opposite change.

use pitchstall_protocol::configuration::{EngineSpeed, PlannerSpec};
use pitchstall_protocol::engine::EngineRole;
use pitchstall_protocol::ids::EngineId;

/// Settings that are not the operators'.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerConfig {
    /// Time constant of the short horizon, seconds.
    pub short_horizon_s: f64,
    /// Time constant of the long horizon, seconds.
    pub long_horizon_s: f64,
    /// Dwell expected before anything is learnt, seconds.
    pub initial_dwell_s: f64,
    /// Work a mixed engine does, as a share of what a dedicated one does: prompts and
    /// outputs in one batch hold each other up.
    pub mixed_efficiency: f64,
    /// Share of an engine that may be in use before queues grow.
    pub target_utilization: f64,
    /// Least time between two decisions, seconds.
    pub decide_every_s: f64,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            short_horizon_s: 8.0,
            long_horizon_s: 45.0,
            initial_dwell_s: 60.0,
            mixed_efficiency: 0.8,
            target_utilization: 0.8,
            decide_every_s: 1.0,
        }
    }
}

/// Demand in engine-seconds a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineDemand {
    /// For reading prompts.
    pub reading: f64,
    /// For writing outputs.
    pub writing: f64,
}

/// Measures demand over one horizon by exponential decay.
#[derive(Clone, Copy, Debug)]
pub struct DemandMeter {
    horizon_s: f64,
    reading: f64,
    writing: f64,
    updated_us: Option<u64>,
    started_us: u64,
}

const MICROS_PER_SECOND: f64 = 1_000_000.0;

impl DemandMeter {
    /// A meter that has seen nothing.
    pub fn new(horizon_s: f64) -> Self {
        Self { horizon_s, reading: 0.0, writing: 0.0, updated_us: None, started_us: 0 }
    }

    fn decay(&mut self, now_us: u64) {
        let Some(updated_us) = self.updated_us else {
            self.updated_us = Some(now_us);
            self.started_us = now_us;
            return;
        };
        let elapsed_s = now_us.saturating_sub(updated_us) as f64 / MICROS_PER_SECOND;
        let factor = (-elapsed_s / self.horizon_s).exp();
        self.reading *= factor;
        self.writing *= factor;
        self.updated_us = Some(now_us);
    }

    /// Work has come in, in engine-seconds.
    pub fn add(&mut self, now_us: u64, work: EngineDemand) {
        self.decay(now_us);
        self.reading += work.reading;
        self.writing += work.writing;
    }

    /// The mean demand over the horizon, or over the time since the start if shorter.
    pub fn rate(&mut self, now_us: u64) -> EngineDemand {
        self.decay(now_us);
        let age_s = now_us.saturating_sub(self.started_us) as f64 / MICROS_PER_SECOND;
        let seen = 1.0 - (-age_s / self.horizon_s).exp();
        let weight = (self.horizon_s * seen).max(1.0);
        EngineDemand { reading: self.reading / weight, writing: self.writing / weight }
    }
}

/// Work of a request, in engine-seconds of a dedicated engine.
pub fn work_of(speed: &EngineSpeed, prompt_tokens: u64, output_tokens: u64) -> EngineDemand {
    let full_step_us =
        speed.step_base_us + speed.step_per_sequence_us * u64::from(speed.max_sequences);
    let writing_us = full_step_us as f64 / f64::from(speed.max_sequences.max(1));
    EngineDemand {
        reading: prompt_tokens as f64 / speed.prompt_tokens_per_second.max(1) as f64,
        writing: output_tokens as f64 * writing_us / MICROS_PER_SECOND,
    }
}

/// An engine, as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedEngine {
    /// The engine.
    pub engine: EngineId,
    /// Its role, or the one it is changing to.
    pub role: EngineRole,
    /// Whether it can be ordered now.
    pub free: bool,
    /// Sequences on it.
    pub sequences: u64,
}

/// A role change that pays.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub engine: EngineId,
    /// Its new role.
    pub role: EngineRole,
    /// Expected gain less cost, engine-seconds.
    pub net_gain_s: f64,
}

/// Counts of roles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocation {
    /// Prefill engines.
    pub prefill: u32,
    /// Decode engines.
    pub decode: u32,
    /// Mixed engines.
    pub mixed: u32,
}

impl Allocation {
    fn of(engines: &[PlannedEngine]) -> Self {
        let count = |role| engines.iter().filter(|it| it.role == role).count() as u32;
        Self {
            prefill: count(EngineRole::Prefill),
            decode: count(EngineRole::Decode),
            mixed: count(EngineRole::Mixed),
        }
    }

    /// Counts one role up or down.
    pub fn add(&mut self, role: EngineRole, by: i32) {
        let slot = match role {
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Decode => &mut self.decode,
            EngineRole::Mixed => &mut self.mixed,
        };
        *slot = slot.saturating_add_signed(by);
    }

    /// Whether requests can be served at all.
    pub fn serves(&self) -> bool {
        self.mixed > 0 || (self.prefill > 0 && self.decode > 0)
    }

    /// Demand that the allocation cannot serve within the target utilization.
    pub fn shortfall(&self, config: &PlannerConfig, demand: EngineDemand) -> f64 {
        let prefill = f64::from(self.prefill) * config.target_utilization;
        let decode = f64::from(self.decode) * config.target_utilization;
        let mixed = f64::from(self.mixed) * config.target_utilization * config.mixed_efficiency;
        // A prefill engine writes nothing, so with prefill engines alone nothing is served.
        let reading = (demand.reading - prefill).max(0.0);
        let writing = (demand.writing - decode).max(0.0);
        (reading + writing - mixed).max(0.0)
    }
}

/// The planner of one zone and model.
#[derive(Clone, Debug)]
pub struct Planner {
    config: PlannerConfig,
    short: DemandMeter,
    long: DemandMeter,
    dwell_s: f64,
    leaning: Option<(bool, u64)>,
    last_decision_us: u64,
}

impl Planner {
    /// A planner that has seen nothing.
    pub fn new(config: PlannerConfig) -> Self {
        Self {
            config,
            short: DemandMeter::new(config.short_horizon_s),
            long: DemandMeter::new(config.long_horizon_s),
            dwell_s: config.initial_dwell_s,
            leaning: None,
            last_decision_us: 0,
        }
    }

    /// A request has come in.
    pub fn on_request(&mut self, now_us: u64, work: EngineDemand) {
        self.short.add(now_us, work);
        self.long.add(now_us, work);
    }

    /// The demand over the short horizon.
    pub fn demand(&mut self, now_us: u64) -> EngineDemand {
        self.short.rate(now_us)
    }

    /// The dwell that is expected, seconds.
    pub fn expected_dwell_s(&self) -> f64 {
        self.dwell_s
    }

    /// Decides on a role change; at most one at a time.
    pub fn decide(
        &mut self,
        now_us: u64,
        engines: &[PlannedEngine],
        spec: &PlannerSpec,
        speed: &EngineSpeed,
        engines_away: usize,
    ) -> Option<RoleChange> {
        let since_s = now_us.saturating_sub(self.last_decision_us) as f64 / MICROS_PER_SECOND;
        if since_s < self.config.decide_every_s {
            return None;
        }
        self.last_decision_us = now_us;
        let short = self.short.rate(now_us);
        let long = self.long.rate(now_us);
        self.learn_dwell(now_us, short, long);
        if !spec.enabled || engines_away >= spec.max_engines_away as usize {
            return None;
        }
        let allocation = Allocation::of(engines);
        if !allocation.serves() {
            // Nothing can be served: any engine that does both is worth its change.
            let idlest = engines.iter().filter(|it| it.free).min_by_key(|it| it.sequences)?;
            let engine = idlest.engine.clone();
            return Some(RoleChange { engine, role: EngineRole::Mixed, net_gain_s: f64::MAX });
        }
        let away_s = speed.role_change_ms as f64 / 1_000.0;
        let weight = f64::from(spec.role_change_weight_permille) / 1_000.0;
        let cost_s = away_s * weight;
        let mut best: Option<RoleChange> = None;
        for candidate in engines.iter().filter(|it| it.free) {
            for role in [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed] {
                let Some(gain) = self.gain(allocation, candidate.role, role, short, long) else {
                    continue;
                };
                // A busy engine takes longer to drain: a tie goes to the idle one.
                let drain_s = candidate.sequences as f64 * 0.01;
                let net_gain_s = gain * self.dwell_s - cost_s - drain_s;
                if net_gain_s > 0.0 && best.as_ref().is_none_or(|it| net_gain_s > it.net_gain_s) {
                    best = Some(RoleChange { engine: candidate.engine.clone(), role, net_gain_s });
                }
            }
        }
        best
    }

    /// Shortfall saved a second by a change, in the demand of both horizons; the lesser of
    /// the two, so that neither a spike nor a memory alone moves an engine.
    fn gain(
        &self,
        allocation: Allocation,
        from: EngineRole,
        to: EngineRole,
        short: EngineDemand,
        long: EngineDemand,
    ) -> Option<f64> {
        if from == to {
            return None;
        }
        let mut after = allocation;
        after.add(from, -1);
        after.add(to, 1);
        if !after.serves() {
            return None;
        }
        let gain = |demand| {
            allocation.shortfall(&self.config, demand) - after.shortfall(&self.config, demand)
        };
        Some(gain(short).min(gain(long)))
    }

    /// Learns how long demand leans one way before it leans the other.
    fn learn_dwell(&mut self, now_us: u64, short: EngineDemand, long: EngineDemand) {
        const WEIGHT_OF_NEWEST: f64 = 0.3;
        const DEAD_BAND: f64 = 0.1;
        let share = |demand: EngineDemand| {
            let total = demand.reading + demand.writing;
            if total > 0.0 {
                demand.reading / total
            } else {
                0.5
            }
        };
        let difference = share(short) - share(long);
        if difference.abs() < DEAD_BAND {
            return;
        }
        let towards_reading = difference > 0.0;
        match self.leaning {
            Some((same, _)) if same == towards_reading => {}
            Some((_, since_us)) => {
                let lasted_s = now_us.saturating_sub(since_us) as f64 / MICROS_PER_SECOND;
                self.dwell_s =
                    WEIGHT_OF_NEWEST * lasted_s + (1.0 - WEIGHT_OF_NEWEST) * self.dwell_s;
                self.leaning = Some((towards_reading, now_us));
            }
            None => self.leaning = Some((towards_reading, now_us)),
        }
    }
}
