//! When runners of a language model change their roles.
//!
//! A change takes a runner away for seconds, so it needs a pressure that lasts and a side that
//! can spare runners. Pressure on prefill is the time that a prompt waits before it is read,
//! against the time in which its answer is due; pressure on decode is the share of slots or of
//! memory that answers in writing take. Prompts that wait to be read take none, wherever a place
//! is set aside for them: a want of readers must not make decode look full. Idle decode runners
//! that change cost nearly nothing, so as many change at once as are missing: by the tokens that
//! are asked for a second and the pace of reading, and else by how long prompts wait.

use crate::fleet::Fleet;
use crate::ids::RunnerId;
use crate::prefill_speed::PrefillSpeed;
use crate::role_view::RoleView;
pub use crate::role_view::{RoleDemand, RoleMetrics};
use crate::runner::Stage;

/// When roles change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolePolicy {
    /// Prefill is short of runners if prompts wait longer than this share of their target.
    pub high_wait: f64,
    /// Prefill can spare a runner if they wait shorter than this share.
    pub low_wait: f64,
    /// Decode is short of runners above this share of slots or memory.
    pub high_occupancy: f64,
    /// Decode can spare runners if the others stay below this share.
    pub low_occupancy: f64,
    /// Share of the runners that write answers whatever prefill needs: they bear crashes, and
    /// the first seconds of a swing of the mix.
    pub min_decode_share: f64,
    /// Most of a service's runners that change at once because of what waits, as a share.
    pub max_change_share: f64,
    /// The same if it is measured how many readers are missing.
    pub max_measured_change_share: f64,
    /// Share of its time that a reader is to be busy with what is asked for. Reading is a queue
    /// with deadlines: at this share the mean wait is about two readings.
    pub target_prefill_load: f64,
    /// Readers that have gone without an order since the last one, as a share of all runners,
    /// from which on they are replaced at once.
    pub lost_prefill_share: f64,
    /// How long a pressure must last, microseconds.
    pub min_pressure_us: u64,
    /// Pause after a change, microseconds.
    pub change_pause_us: u64,
}

impl Default for RolePolicy {
    fn default() -> Self {
        Self {
            high_wait: 0.15,
            low_wait: 0.05,
            high_occupancy: 0.7,
            low_occupancy: 0.3,
            min_decode_share: 0.3,
            max_change_share: 0.15,
            max_measured_change_share: 0.2,
            target_prefill_load: 0.7,
            lost_prefill_share: 0.1,
            min_pressure_us: 1_000_000,
            change_pause_us: 4_500_000,
        }
    }
}

/// Why a look ordered nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoChangeReason {
    /// Neither role is short of runners.
    NoPressure,
    /// Prompts wait, but decode would be too full without one of its runners.
    NoSpareDecode,
    /// Prompts wait, but no more decode runners are left than always write.
    MinDecodeReached,
    /// Decode is full, but prefill has a single runner or waits itself.
    PrefillBusy,
    /// The pressure has not lasted yet.
    PressureTooRecent,
    /// A change was ordered a moment ago.
    Paused,
}

impl NoChangeReason {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoPressure => "no pressure",
            Self::NoSpareDecode => "nobody to spare",
            Self::MinDecodeReached => "least decode",
            Self::PrefillBusy => "prefill busy",
            Self::PressureTooRecent => "not lasting",
            Self::Paused => "paused",
        }
    }
}

/// What a look came to.
#[derive(Clone, Debug, PartialEq)]
pub struct RolePlan {
    /// What is to be ordered, or why nothing.
    pub decision: Result<Vec<RoleChange>, NoChangeReason>,
    /// What it saw.
    pub metrics: RoleMetrics,
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

/// Wait of a prompt, in targets, above which readers are short, however full decode is: as soon as
/// a whole target is waited, nothing is read in time.
const MAX_WAIT_FOR_DECODE_CHANGE: f64 = 1.0;

/// The planner of one service.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    policy: RolePolicy,
    /// The role that is short of runners, and since when.
    pressure: Option<(Stage, u64)>,
    paused_until_us: u64,
    /// Share of the runners that read after the last order, or the largest seen since.
    peak_prefill_share: f64,
}

impl RolePlanner {
    /// A planner that has seen nothing.
    pub fn new(policy: RolePolicy) -> Self {
        Self { policy, pressure: None, paused_until_us: 0, peak_prefill_share: 0.0 }
    }

    /// Looks at the fleet and returns the changes that are due, or why there are none.
    pub fn plan(
        &mut self,
        fleet: &Fleet,
        pace: &PrefillSpeed,
        demand: &RoleDemand<'_>,
        now_us: u64,
    ) -> RolePlan {
        let view = RoleView::new(fleet, pace, demand, now_us);
        RolePlan { metrics: view.metrics(), decision: self.decide(&view) }
    }

    fn decide(&mut self, view: &RoleView<'_>) -> Result<Vec<RoleChange>, NoChangeReason> {
        let now_us = view.now_us();
        let short = stage_under_pressure(view, &self.policy);
        self.pressure = match (short, self.pressure) {
            (Ok(stage), Some((known, since))) if stage == known => Some((stage, since)),
            (Ok(stage), _) => Some((stage, now_us)),
            (Err(_), _) => None,
        };
        let has_lost_prefill = self.has_lost_prefill_runners(view);
        let stage = short?;
        let since = self.pressure.map_or(now_us, |(_, since)| since);
        // How many readers are missing is known by what is asked for: there is no need to see
        // first what the last order has brought.
        let is_measured =
            stage == Stage::Prefill && missing_prefill_runners(view, &self.policy) > 0;
        if now_us < self.paused_until_us && !is_measured {
            return Err(NoChangeReason::Paused);
        }
        // Without any decode runner nothing is served: no reason to wait. Neither is there for
        // readers that came back as writers.
        let is_urgent = view.metrics().decode == 0 || (is_measured && has_lost_prefill);
        let min_pressure_us = if is_urgent { 0 } else { self.policy.min_pressure_us };
        if now_us < since + min_pressure_us {
            return Err(NoChangeReason::PressureTooRecent);
        }
        let count = change_count(view, stage, &self.policy);
        let idlest = view.idlest(stage).into_iter().take(count);
        Ok(idlest.map(|runner| RoleChange { runner, stage }).collect())
    }

    /// Whether many of the readers have gone since the last order, without one.
    fn has_lost_prefill_runners(&mut self, view: &RoleView<'_>) -> bool {
        let share = view.prefill_runners() as f64 / view.runner_count().max(1.0);
        self.peak_prefill_share = self.peak_prefill_share.max(share);
        share < self.peak_prefill_share - self.policy.lost_prefill_share
    }

    /// A change was ordered, or might have been.
    pub fn on_ordered(&mut self, now_us: u64) {
        self.pressure = None;
        self.paused_until_us = now_us + self.policy.change_pause_us;
        self.peak_prefill_share = 0.0;
    }
}

fn stage_under_pressure(view: &RoleView<'_>, policy: &RolePolicy) -> Result<Stage, NoChangeReason> {
    let RoleMetrics { prefill, decode, wait, .. } = view.metrics();
    if decode == 0 && prefill > 0 {
        return Ok(Stage::Decode);
    }
    // Runners that left or crashed have taken the share that always writes.
    if decode < min_decode_runners(view, policy) && prefill > 1 {
        return Ok(Stage::Decode);
    }
    let decode_is_full = view.occupancy_with(decode) > policy.high_occupancy;
    if decode_is_full && prefill > 1 && (wait < policy.low_wait || is_decode_fuller(view)) {
        return Ok(Stage::Decode);
    }
    if wait <= policy.high_wait {
        return Err(match decode_is_full {
            true => NoChangeReason::PrefillBusy,
            false => NoChangeReason::NoPressure,
        });
    }
    if spare_decode_runners(view, policy) > 0 {
        return Ok(Stage::Prefill);
    }
    Err(match decode <= min_decode_runners(view, policy) {
        true => NoChangeReason::MinDecodeReached,
        false => NoChangeReason::NoSpareDecode,
    })
}

/// Rounded down: in a small fleet prefill needs the odd one more. But streams that two runners
/// write at ease are too many for one: each of them is slower there, so more run.
fn min_decode_runners(view: &RoleView<'_>, policy: &RolePolicy) -> usize {
    const MIN_RUNNERS_FOR_TWO_DECODE: f64 = 5.0;
    let min: f64 = if view.runner_count() >= MIN_RUNNERS_FOR_TWO_DECODE { 2.0 } else { 1.0 };
    (view.runner_count() * policy.min_decode_share).floor().max(min) as usize
}

/// Decode runners without which the others stay below the low share.
fn spare_decode_runners(view: &RoleView<'_>, policy: &RolePolicy) -> usize {
    let (min, decode) = (min_decode_runners(view, policy), view.metrics().decode);
    let enough = |count: &usize| view.occupancy_with(*count) < policy.low_occupancy;
    let needed = (min..decode).find(enough);
    needed.map_or(0, |needed| decode - needed)
}

/// Readers that what is asked for takes, with room for its swings.
fn wanted_prefill_runners(view: &RoleView<'_>, policy: &RolePolicy) -> usize {
    (view.metrics().prefill_needed / policy.target_prefill_load).ceil() as usize
}

fn missing_prefill_runners(view: &RoleView<'_>, policy: &RolePolicy) -> usize {
    wanted_prefill_runners(view, policy).saturating_sub(view.prefill_runners())
}

/// Whether the readers, one fewer, would have less of their time taken by what is asked for than
/// decode has of its slots or memory: however long prompts wait for a moment, answers in writing
/// are what lacks runners.
fn is_decode_fuller(view: &RoleView<'_>) -> bool {
    let RoleMetrics { prefill, decode, prefill_needed, wait, .. } = view.metrics();
    let others = prefill.saturating_sub(1).max(1) as f64;
    wait <= MAX_WAIT_FOR_DECODE_CHANGE && prefill_needed / others < view.occupancy_with(decode)
}

fn change_count(view: &RoleView<'_>, stage: Stage, policy: &RolePolicy) -> usize {
    let metrics = view.metrics();
    let max = |share: f64| (view.runner_count() * share).ceil() as usize;
    if stage == Stage::Decode {
        let excess = view.occupancy_with(metrics.decode) / policy.high_occupancy - 1.0;
        let wanted = (metrics.decode as f64 * excess).ceil().max(1.0) as usize;
        return wanted.min(max(policy.max_change_share).max(1)).min(metrics.prefill - 1).max(1);
    }
    let missing = missing_prefill_runners(view, policy);
    if missing > 0 {
        return missing
            .min(max(policy.max_measured_change_share))
            .min(spare_decode_runners(view, policy));
    }
    // What waits says that there are too few, whatever was measured. A queue shortens faster
    // than in proportion to its servers.
    let excess = metrics.wait / policy.high_wait - 1.0;
    let wanted = (metrics.prefill as f64 * excess / 2.0).ceil().max(1.0) as usize;
    wanted.min(max(policy.max_change_share)).min(spare_decode_runners(view, policy))
}
