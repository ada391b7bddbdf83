//! When a request leaves its region.
//!
//! A request is read and written in one region: its own, unless that has no runner for it, or
//! another would have read the prompt sooner, in time, by more than the way costs. What a region
//! has to do is told to the schedulers of the others as one sum, now and then. Between two words a
//! region may have become as busy as time has passed, and what was sent there has been added: so
//! two regions never send each other their requests.

use crate::fleet::{Eligible, Fleet, Scope};
use crate::ids::{RegionId, RunnerId, ServiceName, ZoneId};
use crate::placement::Demand;
use crate::prefill_speed::PrefillSpeed;
use crate::prefix::PromptPart;
use crate::runner::{Runner, Stage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Round trips over the distance until the first token of a request that leaves its region: a
/// question, a reading and a writing.
const CROSSINGS: f64 = 3.0;
/// Milliseconds that the dearer bytes of such a request count as: a prompt of some 10 KB and its
/// answer, twice over a link that is paid by the gigabyte.
const DEAR_BYTES_MS: f64 = 40.0;
/// Milliseconds that have to be gained besides: the spread of waits at the runners of one region,
/// below which a difference between two regions says nothing.
const MARGIN_MS: f64 = 60.0;
/// Time for which a word on a region's load counts, microseconds: three words may be lost.
const WORD_LIFE_US: u64 = 3_500_000;
/// Share of the slots of its decode runners from which on a region counts as full.
const FULL_SHARE: f64 = 0.8;
const MICROS_PER_MILLI: f64 = 1_000.0;
const THOUSANDTHS: f64 = 1_000.0;

/// What the runners of a service in a region have to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Prefill runners that take work.
    #[serde(rename = "n")]
    pub readers: u32,
    /// What a prompt waits for at them, on the mean, microseconds.
    #[serde(rename = "w")]
    pub wait_us: u64,
    /// Share of the slots of its decode runners that is taken, in thousandths.
    #[serde(rename = "o")]
    pub occupancy: u32,
}

/// A runner has read shared parts of prompts: others may take them over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsRead {
    /// The runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// The parts, identity and tokens, in the order in which they stand in a prompt.
    #[serde(rename = "p")]
    pub parts: Vec<(u64, u64)>,
}

impl PartsRead {
    /// A runner has read these parts.
    pub fn new(runner: &RunnerId, parts: &[PromptPart]) -> Self {
        let parts = parts.iter().map(|part| (part.id, part.tokens)).collect();
        Self { runner: runner.clone(), parts }
    }

    /// The parts.
    pub fn parts(&self) -> Vec<PromptPart> {
        self.parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect()
    }
}

/// Shared tokens of a prompt from which on other regions are told who has read them: below, reading
/// them again takes less time than a round trip between regions, at the users' engines.
pub const LEAST_TOLD_TOKENS: u64 = 4_000;

/// A region's word on its load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLoads {
    /// The region.
    #[serde(rename = "r")]
    pub region: RegionId,
    /// Services of language models with runners there.
    #[serde(rename = "l")]
    pub services: Vec<ServiceLoad>,
}

/// What the runners of a service in a region have to do; `None` without a prefill runner.
pub fn service_load(
    fleet: &Fleet,
    pace: &PrefillSpeed,
    service: &ServiceName,
    region: &RegionId,
    now_us: u64,
) -> Option<ServiceLoad> {
    let eligible = Eligible { scope: Scope::Region(region), ..Eligible::all_of(service) };
    let runners = fleet.candidates(&eligible, now_us);
    let (readers, writers): (Vec<&Runner>, Vec<&Runner>) =
        runners.into_iter().partition(|runner| runner.record.stage == Some(Stage::Prefill));
    if readers.is_empty() {
        return None;
    }
    let waits_ms: f64 = readers.iter().map(|runner| pace.backlog_ms(runner, now_us)).sum();
    let slots: f64 = writers.iter().map(|runner| f64::from(runner.record.slots)).sum();
    let taken: f64 = writers.iter().map(|runner| runner.occupancy(now_us)).sum();
    Some(ServiceLoad {
        service: service.clone(),
        readers: u32::try_from(readers.len()).unwrap_or(u32::MAX),
        wait_us: (waits_ms / readers.len() as f64 * MICROS_PER_MILLI) as u64,
        occupancy: (taken / slots.max(1.0) * THOUSANDTHS) as u32,
    })
}

#[derive(Clone, Debug)]
struct Told {
    load: ServiceLoad,
    told_at_us: u64,
    /// Reading that was sent there since, milliseconds, over all its prefill runners.
    added_ms: f64,
}

impl Told {
    fn wait_ms(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.told_at_us);
        let told_ms = (self.load.wait_us + age_us) as f64 / MICROS_PER_MILLI;
        told_ms + self.added_ms / f64::from(self.load.readers.max(1))
    }

    fn has_room(&self, now_us: u64) -> bool {
        let is_fresh = now_us < self.told_at_us + WORD_LIFE_US;
        is_fresh && f64::from(self.load.occupancy) < FULL_SHARE * THOUSANDTHS
    }
}

/// What other regions have told of their load.
#[derive(Clone, Debug, Default)]
pub struct RegionBacklogs {
    told: BTreeMap<(RegionId, ServiceName), Told>,
}

/// A request where it has been placed in its own region.
#[derive(Clone, Copy, Debug)]
pub struct Placed<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The region in which it has been placed.
    pub region: &'a RegionId,
    /// The zone of the node that has it.
    pub zone: &'a ZoneId,
    /// What it waits for there until it is read, milliseconds.
    pub wait_ms: f64,
    /// How long its reading takes, milliseconds.
    pub reading_ms: f64,
    /// Time until its answer is due, milliseconds; less than 0: it is late.
    pub due_in_ms: f64,
    /// Now, microseconds.
    pub now_us: u64,
}

impl RegionBacklogs {
    /// Takes in a region's word.
    pub fn on_word(&mut self, word: RegionLoads, now_us: u64) {
        self.told.retain(|(region, _), _| *region != word.region);
        for load in word.services {
            let key = (word.region.clone(), load.service.clone());
            self.told.insert(key, Told { load, told_at_us: now_us, added_ms: 0.0 });
        }
    }

    /// A request was sent to another region.
    pub fn on_left(&mut self, region: &RegionId, service: &ServiceName, reading_ms: f64) {
        if let Some(told) = self.told.get_mut(&(region.clone(), service.clone())) {
            told.added_ms += reading_ms;
        }
    }

    /// The region to which a request should rather go: where it is read in time, and so much
    /// sooner that the way pays.
    pub fn better_region(&self, fleet: &Fleet, placed: &Placed<'_>) -> Option<RegionId> {
        let others = self.told.iter().filter(|((region, service), told)| {
            region != placed.region && service == placed.service && told.has_room(placed.now_us)
        });
        let costs = others.filter_map(|((region, _), told)| {
            let way_ms = fleet.way_ms(placed.zone, region, placed.now_us)? * CROSSINGS;
            let there_ms = told.wait_ms(placed.now_us) + way_ms;
            let is_in_time = there_ms + placed.reading_ms < placed.due_in_ms;
            let pays = there_ms + DEAR_BYTES_MS + MARGIN_MS < placed.wait_ms;
            (is_in_time && pays).then_some((region, there_ms))
        });
        let (region, _) = costs.min_by(|(_, left), (_, right)| left.total_cmp(right))?;
        Some(region.clone())
    }
}

/// The regions in which a request may run, the best first: its own, then those that are nearer;
/// those where every runner is full or cannot be reached come last.
pub fn regions_in_order(fleet: &Fleet, demand: &Demand<'_>, own: &RegionId) -> Vec<RegionId> {
    let regions = fleet.regions_of(demand.eligible.service).into_iter();
    let mut ranked: Vec<(bool, bool, f64, RegionId)> = regions
        .map(|region| {
            let scope = Scope::Region(&region);
            let is_sound = fleet.has_sound(&Eligible { scope, ..demand.eligible }, demand.now_us);
            let way_ms = fleet.way_ms(demand.zone, &region, demand.now_us);
            (!is_sound, region != *own, way_ms.unwrap_or(f64::INFINITY), region)
        })
        .collect();
    ranked.sort_by(|left, right| {
        let flags = (left.0, left.1).cmp(&(right.0, right.1));
        flags.then(left.2.total_cmp(&right.2)).then_with(|| left.3.cmp(&right.3))
    });
    ranked.into_iter().map(|(_, _, _, region)| region).collect()
}
