//! The decision whether a request leaves its region.
//!
//! A request is prefilled and decoded in one region. This is its own region unless that has no
//! runner for the request, or another region is expected to finish the prefill within the target
//! and earlier by more than the cost of the distance. Schedulers periodically report the total load
//! of their region to the schedulers of the other regions. Between two reports, the wait in a
//! remote region is assumed to grow as fast as time passes, and the work that was sent there is
//! added. So two regions never send their requests to each other.

use crate::fleet::{Eligible, Fleet, Scope};
use crate::ids::{RegionId, RunnerId, ServiceName, ZoneId};
use crate::placement::Demand;
use crate::prefill_speed::PrefillSpeed;
use crate::prefix::PromptPart;
use crate::runner::{Runner, Stage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of cross-region round trips until the first token of a request that leaves its region: a
/// query, a prefill and a decode.
const ROUND_TRIPS: f64 = 3.0;
/// Cost of the more expensive traffic of such a request, in milliseconds: a prompt of about 10 KB
/// and its response, twice over a link that is paid by the gigabyte.
const TRAFFIC_COST_MS: f64 = 40.0;
/// Minimum gain besides that, in milliseconds. It is the spread of waits at the runners of one
/// region, below which a difference between two regions is not significant.
const MIN_GAIN_MS: f64 = 60.0;
/// Time for which a report of a region's load is used, in microseconds: three reports may be lost.
const REPORT_TTL_US: u64 = 3_500_000;
/// Share of the slots of its decode runners from which on a region counts as full.
const MAX_OCCUPANCY: f64 = 0.8;
const MICROS_PER_MILLI: f64 = 1_000.0;
const THOUSANDTHS: f64 = 1_000.0;

/// The load of the runners of a service in a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Number of prefill runners that take work.
    #[serde(rename = "n")]
    #[serde(deserialize_with = "crate::bounded::runner_count")]
    pub prefill_runners: u32,
    /// Mean wait of a prompt at these prefill runners, in microseconds.
    #[serde(rename = "w")]
    #[serde(deserialize_with = "crate::bounded::time_us")]
    pub wait_us: u64,
    /// Share of the decode runners' slots that is occupied, in thousandths.
    #[serde(rename = "o")]
    #[serde(deserialize_with = "crate::bounded::runner_count")]
    pub occupancy: u32,
}

/// Announces that a runner has prefilled a shared prefix, which others may fetch from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrefixMessage {
    /// The runner that holds the prefix.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Identity and number of tokens of the parts, in their order in the prompt.
    #[serde(rename = "p")]
    #[serde(deserialize_with = "crate::bounded::parts")]
    pub parts: Vec<(u64, u64)>,
}

impl CachedPrefixMessage {
    /// Creates the announcement for the given parts.
    pub fn new(runner: &RunnerId, parts: &[PromptPart]) -> Self {
        let parts = parts.iter().map(|part| (part.id, part.tokens)).collect();
        Self { runner: runner.clone(), parts }
    }

    /// The announced parts, in their order in the prompt.
    pub fn parts(&self) -> Vec<PromptPart> {
        self.parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect()
    }
}

/// Minimum length of a shared prefix for which its holders are announced to other regions. On the
/// users' engines, prefilling a shorter prefix again takes less time than a round trip between
/// regions.
pub const MIN_ANNOUNCED_TOKENS: u64 = 4_000;

/// A region's report of its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLoads {
    /// The region that is reported.
    #[serde(rename = "r")]
    pub region: RegionId,
    /// The language-model services that have runners in the region.
    #[serde(rename = "l")]
    pub services: Vec<ServiceLoad>,
}

/// The load of the runners of a service in a region; `None` without a prefill runner.
pub fn service_load(
    fleet: &Fleet,
    speed: &PrefillSpeed,
    service: &ServiceName,
    region: &RegionId,
    now_us: u64,
) -> Option<ServiceLoad> {
    let eligible = Eligible { scope: Scope::Region(region), ..Eligible::all_of(service) };
    let runners = fleet.candidates(&eligible, now_us);
    let (prefill_runners, decode_runners): (Vec<&Runner>, Vec<&Runner>) =
        runners.into_iter().partition(|runner| runner.record.stage == Some(Stage::Prefill));
    if prefill_runners.is_empty() {
        return None;
    }
    let waits_ms: f64 = prefill_runners.iter().map(|runner| speed.backlog_ms(runner, now_us)).sum();
    let slots: f64 = decode_runners.iter().map(|runner| f64::from(runner.record.slots)).sum();
    let taken: f64 = decode_runners.iter().map(|runner| runner.occupancy(now_us)).sum();
    Some(ServiceLoad {
        service: service.clone(),
        prefill_runners: u32::try_from(prefill_runners.len()).unwrap_or(u32::MAX),
        wait_us: (waits_ms / prefill_runners.len() as f64 * MICROS_PER_MILLI) as u64,
        occupancy: (taken / slots.max(1.0) * THOUSANDTHS) as u32,
    })
}

#[derive(Clone, Debug)]
struct ReportedLoad {
    load: ServiceLoad,
    reported_at_us: u64,
    /// Prefill work sent there since the report, in milliseconds, as the sum over all its prefill
    /// runners.
    sent_prefill_ms: f64,
}

impl ReportedLoad {
    fn wait_ms(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.reported_at_us);
        let reported_ms = (self.load.wait_us + age_us) as f64 / MICROS_PER_MILLI;
        reported_ms + self.sent_prefill_ms / f64::from(self.load.prefill_runners.max(1))
    }

    fn has_room(&self, now_us: u64) -> bool {
        let is_fresh = now_us < self.reported_at_us + REPORT_TTL_US;
        is_fresh && f64::from(self.load.occupancy) < MAX_OCCUPANCY * THOUSANDTHS
    }
}

/// The loads that other regions have reported.
#[derive(Clone, Debug, Default)]
pub struct RegionBacklogs {
    reported: BTreeMap<(RegionId, ServiceName), ReportedLoad>,
}

/// A request and its placement in its own region.
#[derive(Clone, Copy, Debug)]
pub struct LocalPlacement<'a> {
    /// The service of the request.
    pub service: &'a ServiceName,
    /// The region in which the request has been placed.
    pub region: &'a RegionId,
    /// The zone of the node that received the request.
    pub zone: &'a ZoneId,
    /// Expected wait there until the prefill starts, in milliseconds.
    pub wait_ms: f64,
    /// Expected duration of the prefill, in milliseconds.
    pub prefill_ms: f64,
    /// Time until the response is due, in milliseconds; negative if the request is overdue.
    pub remaining_target_ms: f64,
    /// Current time of a steady clock, in microseconds.
    pub now_us: u64,
}

impl RegionBacklogs {
    /// Replaces what is known of a region's load by its new report.
    pub fn on_loads(&mut self, loads: RegionLoads, now_us: u64) {
        self.reported.retain(|(region, _), _| *region != loads.region);
        for load in loads.services {
            let key = (loads.region.clone(), load.service.clone());
            self.reported
                .insert(key, ReportedLoad { load, reported_at_us: now_us, sent_prefill_ms: 0.0 });
        }
    }

    /// Adds the prefill of a request that was sent to a remote region to the region's load.
    pub fn on_request_sent(&mut self, region: &RegionId, service: &ServiceName, prefill_ms: f64) {
        if let Some(reported) = self.reported.get_mut(&(region.clone(), service.clone())) {
            reported.sent_prefill_ms += prefill_ms;
        }
    }

    /// The remote region where the prompt would be prefilled within the target, and earlier than in
    /// its own region by more than the cost of the distance; `None` if the request should stay.
    pub fn better_region(&self, fleet: &Fleet, placed: &LocalPlacement<'_>) -> Option<RegionId> {
        let others = self.reported.iter().filter(|((region, service), reported)| {
            region != placed.region && service == placed.service && reported.has_room(placed.now_us)
        });
        let costs = others.filter_map(|((region, _), reported)| {
            let rtt_ms =
                fleet.nearest_runner_rtt_ms(placed.zone, region, placed.now_us)? * ROUND_TRIPS;
            let remote_wait_ms = reported.wait_ms(placed.now_us) + rtt_ms;
            let is_in_time = remote_wait_ms + placed.prefill_ms < placed.remaining_target_ms;
            let is_worthwhile = remote_wait_ms + TRAFFIC_COST_MS + MIN_GAIN_MS < placed.wait_ms;
            (is_in_time && is_worthwhile).then_some((region, remote_wait_ms))
        });
        let (region, _) = costs.min_by(|(_, left), (_, right)| left.total_cmp(right))?;
        Some(region.clone())
    }
}

/// The regions in which a request may run, in order of preference: its own region, then the others
/// by distance. Regions without a healthy runner that can decode come last.
pub fn regions_in_order(fleet: &Fleet, demand: &Demand<'_>, own: &RegionId) -> Vec<RegionId> {
    let regions = fleet.regions_of(demand.eligible.service).into_iter();
    let mut ranked: Vec<(bool, bool, f64, RegionId)> = regions
        .map(|region| {
            let scope = Scope::Region(&region);
            let is_healthy =
                fleet.has_healthy(&Eligible { scope, ..demand.eligible }, demand.now_us);
            let rtt_ms = fleet.nearest_runner_rtt_ms(demand.zone, &region, demand.now_us);
            (!is_healthy, region != *own, rtt_ms.unwrap_or(f64::INFINITY), region)
        })
        .collect();
    ranked.sort_by(|left, right| {
        let flags = (left.0, left.1).cmp(&(right.0, right.1));
        flags.then(left.2.total_cmp(&right.2)).then_with(|| left.3.cmp(&right.3))
    });
    ranked.into_iter().map(|(_, _, _, region)| region).collect()
}
