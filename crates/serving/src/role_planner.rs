//! Decides when runners of a language model change their roles.
//!
//! A role change makes a runner unavailable for seconds, so it requires a lasting pressure on one
//! role and spare runners in the other. The pressure on prefill is the queueing time of prompts
//! relative to their latency target. The pressure on decode is the share of slots or of KV cache
//! that requests in decode occupy. Requests that wait for prefill do not count there, even if a
//! slot is reserved for them: otherwise a shortage of prefill runners would make decode look full.
//! A role change of an idle decode runner costs almost nothing, so all missing prefill runners
//! change at once. Their number comes from the requested tokens per second and the prefill speed,
//! or else from the queueing time.

use crate::fleet::Fleet;
use crate::ids::RunnerId;
use crate::prefill_speed::PrefillSpeed;
use crate::role_view::RoleView;
pub use crate::role_view::{RoleDemand, RoleMetrics};
use crate::runner::Stage;

/// Thresholds and bounds for role changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolePolicy {
    /// Prefill is short of runners if prompts wait longer than this share of their latency target.
    pub high_wait: f64,
    /// Prefill can spare a runner if prompts wait for less than this share of their latency target.
    pub low_wait: f64,
    /// Decode is short of runners if more than this share of its slots or KV cache is occupied.
    pub high_occupancy: f64,
    /// Decode can spare runners if the remaining ones stay below this share.
    pub low_occupancy: f64,
    /// Share of the runners that always decode, whatever prefill needs. They absorb crashes and the
    /// first seconds of a change in the workload.
    pub min_decode_share: f64,
    /// Upper bound of simultaneous role changes due to queueing time, as a share of the service's
    /// runners.
    pub max_change_share: f64,
    /// Upper bound of simultaneous role changes, as a share of the service's runners, if the number
    /// of missing prefill runners is measured.
    pub max_measured_change_share: f64,
    /// Target utilization of prefill runners by the requested work. Prefill is a queue with
    /// deadlines: at 0.7 the mean wait is about two prefills.
    pub target_prefill_load: f64,
    /// Share of all runners: if more prefill runners than this are lost since the last order
    /// without an order, they are replaced at once.
    pub lost_prefill_share: f64,
    /// Time for which a pressure must last before roles change, in microseconds.
    pub min_pressure_us: u64,
    /// Time after an order in which no further change is ordered, in microseconds.
    pub change_pause_us: u64,
    /// The same while a service or a software version has no decode runner and none is known to become one, in
    /// microseconds. Nothing is served without one, and runners refuse orders, or end before they carry them out.
    pub urgent_change_pause_us: u64,
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
            urgent_change_pause_us: 1_000_000,
        }
    }
}

/// Reason why the planner ordered no role change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoChangeReason {
    /// Neither role is short of runners.
    NoPressure,
    /// Prompts wait, but decode would be too full with one runner fewer.
    NoSpareDecode,
    /// Prompts wait, but decode is down to its minimum of runners.
    MinDecodeReached,
    /// Decode is full, but prefill has a single runner or is short of runners itself.
    PrefillBusy,
    /// The pressure has not lasted long enough yet.
    PressureTooRecent,
    /// A change was ordered recently.
    Paused,
}

impl NoChangeReason {
    /// Name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoPressure => "no pressure",
            Self::NoSpareDecode => "no spare decode runner",
            Self::MinDecodeReached => "minimum of decode runners",
            Self::PrefillBusy => "prefill busy",
            Self::PressureTooRecent => "pressure too recent",
            Self::Paused => "paused",
        }
    }
}

/// Result of one planning round.
#[derive(Clone, Debug, PartialEq)]
pub struct RolePlan {
    /// Role changes to order, or the reason why there are none.
    pub decision: Result<Vec<RoleChange>, NoChangeReason>,
    /// Metrics on which the decision is based.
    pub metrics: RoleMetrics,
}

impl RolePlan {
    /// Role changes to order; empty if there are none.
    pub fn changes(self) -> Vec<RoleChange> {
        self.decision.unwrap_or_default()
    }
}

/// Order for a runner to change its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// Incarnation of the runner.
    pub runner: RunnerId,
    /// Role that the runner is to take.
    pub stage: Stage,
}

/// What is known about the orders of one planning round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// At least one runner has accepted its order.
    Accepted,
    /// Each order was refused, was not sent, or got no response and may have been accepted.
    Unconfirmed,
}

/// Queueing time, in latency targets, above which prefill keeps its runners however full decode is:
/// at a wait of one whole target, no prompt is prefilled in time.
const MAX_WAIT_FOR_DECODE_CHANGE: f64 = 1.0;

/// Role planner of one service.
#[derive(Clone, Debug)]
pub struct RolePlanner {
    policy: RolePolicy,
    /// The role that is short of runners, and since when, in microseconds.
    pressure: Option<(Stage, u64)>,
    paused_until_us: u64,
    /// The end of the pause while a service or a version has no decode runner, in microseconds.
    urgent_paused_until_us: u64,
    /// What is known of the last orders.
    last_order: OrderResult,
    /// Largest share of prefill runners, pending ones included, since the last order.
    peak_prefill_share: f64,
}

impl RolePlanner {
    /// Creates a planner without any observations.
    pub fn new(policy: RolePolicy) -> Self {
        Self {
            policy,
            pressure: None,
            paused_until_us: 0,
            urgent_paused_until_us: 0,
            last_order: OrderResult::Unconfirmed,
            peak_prefill_share: 0.0,
        }
    }

    /// Inspects the fleet and returns the role changes to order, or the reason why there are none.
    pub fn plan(
        &mut self,
        fleet: &Fleet,
        speed: &PrefillSpeed,
        demand: &RoleDemand<'_>,
        now_us: u64,
    ) -> RolePlan {
        let view = RoleView::new(fleet, speed, demand, now_us);
        RolePlan { metrics: view.metrics(), decision: self.decide(&view) }
    }

    fn decide(&mut self, view: &RoleView<'_>) -> Result<Vec<RoleChange>, NoChangeReason> {
        let now_us = view.now_us();
        let stage_or_reason = stage_under_pressure(view, &self.policy);
        self.pressure = match (stage_or_reason, self.pressure) {
            (Ok(stage), Some((known, since))) if stage == known => Some((stage, since)),
            (Ok(stage), _) => Some((stage, now_us)),
            (Err(_), _) => None,
        };
        let has_lost_prefill = self.has_lost_prefill_runners(view);
        let stage = stage_or_reason?;
        let since = self.pressure.map_or(now_us, |(_, since)| since);
        // The requested work shows how many prefill runners are missing, so the effect of the last
        // order need not be awaited.
        let is_measured =
            stage == Stage::Prefill && missing_prefill_runners(view, &self.policy) > 0;
        let is_version_lacking = stage == Stage::Decode && view.version_without_decode().is_some();
        let paused_until_us = match is_version_lacking || self.is_decode_lacking(view) {
            true => self.urgent_paused_until_us,
            false => self.paused_until_us,
        };
        if now_us < paused_until_us && !is_measured {
            return Err(NoChangeReason::Paused);
        }
        // Without a decode runner no request is served, so there is no reason to wait. Prefill
        // runners that came back as decode runners are replaced at once, too.
        let is_urgent =
            view.metrics().decode == 0 || is_version_lacking || (is_measured && has_lost_prefill);
        let min_pressure_us = if is_urgent { 0 } else { self.policy.min_pressure_us };
        if now_us < since + min_pressure_us {
            return Err(NoChangeReason::PressureTooRecent);
        }
        let count = change_count(view, stage, &self.policy);
        let runners = view.least_loaded(stage, count);
        if runners.is_empty() {
            return Err(NoChangeReason::NoSpareDecode);
        }
        Ok(runners.into_iter().map(|runner| RoleChange { runner, stage }).collect())
    }

    /// Whether no runner decodes, and none is known to have accepted an order to do so and to be there still.
    fn is_decode_lacking(&self, view: &RoleView<'_>) -> bool {
        let is_awaited = self.last_order == OrderResult::Accepted && view.becomes_decode();
        view.metrics().decode == 0 && !is_awaited
    }

    /// Updates the largest share of prefill runners, and returns whether many of them have gone
    /// since the last order without an order.
    fn has_lost_prefill_runners(&mut self, view: &RoleView<'_>) -> bool {
        let share = view.prefill_runners() as f64 / view.runner_count().max(1.0);
        self.peak_prefill_share = self.peak_prefill_share.max(share);
        share < self.peak_prefill_share - self.policy.lost_prefill_share
    }

    /// Records that changes were ordered, and whether a runner is known to carry one out.
    pub fn on_ordered(&mut self, now_us: u64, result: OrderResult) {
        self.pressure = None;
        self.last_order = result;
        self.paused_until_us = now_us + self.policy.change_pause_us;
        self.urgent_paused_until_us = now_us + self.policy.urgent_change_pause_us;
        self.peak_prefill_share = 0.0;
    }
}

fn stage_under_pressure(view: &RoleView<'_>, policy: &RolePolicy) -> Result<Stage, NoChangeReason> {
    let RoleMetrics { prefill, decode, wait, .. } = view.metrics();
    if decode == 0 && prefill > 0 {
        return Ok(Stage::Decode);
    }
    if view.version_without_decode().is_some() && prefill > 1 {
        return Ok(Stage::Decode);
    }
    // Runners that left or crashed were part of the minimum share of decode runners.
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

/// Minimum number of decode runners. The share is rounded down, since in a small fleet prefill
/// needs the odd runner more. At least two runners decode in a fleet of five or more: streams that
/// two runners handle with ease overload one, because each stream is slower there and so more of
/// them run at a time.
fn min_decode_runners(view: &RoleView<'_>, policy: &RolePolicy) -> usize {
    const MIN_RUNNERS_FOR_TWO_DECODE: f64 = 5.0;
    let min: f64 = if view.runner_count() >= MIN_RUNNERS_FOR_TWO_DECODE { 2.0 } else { 1.0 };
    (view.runner_count() * policy.min_decode_share).floor().max(min) as usize
}

/// Number of decode runners that can leave while the occupancy of the others stays below the low
/// threshold.
fn spare_decode_runners(view: &RoleView<'_>, policy: &RolePolicy) -> usize {
    let (min, decode) = (min_decode_runners(view, policy), view.metrics().decode);
    let enough = |count: &usize| view.occupancy_with(*count) < policy.low_occupancy;
    let needed = (min..decode).find(enough);
    needed.map_or(0, |needed| decode - needed)
}

/// Number of prefill runners that the requested work needs at the target utilization.
fn wanted_prefill_runners(view: &RoleView<'_>, policy: &RolePolicy) -> usize {
    (view.metrics().prefill_needed / policy.target_prefill_load).ceil() as usize
}

fn missing_prefill_runners(view: &RoleView<'_>, policy: &RolePolicy) -> usize {
    wanted_prefill_runners(view, policy).saturating_sub(view.prefill_runners())
}

/// Whether prefill with one runner fewer would be less utilized than decode is. Then decode is the
/// role that lacks runners, even if prompts wait for a moment.
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
    // The queue shows a shortage whatever was measured. The wait shrinks faster than in proportion
    // to the number of runners.
    let excess = metrics.wait / policy.high_wait - 1.0;
    let wanted = (metrics.prefill as f64 * excess / 2.0).ceil().max(1.0) as usize;
    wanted.min(max(policy.max_change_share)).min(spare_decode_runners(view, policy))
}
