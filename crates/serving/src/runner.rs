//! A node's view of one runner: its registry entry, load, health and prefix cache.

use crate::failure_rate::FailureRate;
use crate::framing_habit::FramingHabits;
use crate::ids::{RegionId, RunnerId, ServiceName, SoftwareVersion, ZoneId};
use crate::prefill_demand::PrefillDemand;
use crate::prefix::Prompt;
use crate::prefix_cache::PrefixCacheModel;
use crate::runner_notice::{Availability, RequestRate};
use crate::runner_speed::RunnerSpeed;
use crate::store_revision::StoreRevision;
use crate::suspicion::Suspicion;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Stage of inference that a runner of a language model serves, its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Processes prompts and hands the KV cache to a decode runner.
    #[serde(rename = "p")]
    Prefill,
    /// Generates output tokens; it can also prefill prompts itself.
    #[serde(rename = "d")]
    Decode,
}

impl Stage {
    /// Name of the stage in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

/// A runner's entry in the platform's registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerRecord {
    /// Id of this incarnation of the runner.
    pub id: RunnerId,
    /// Service that the runner serves.
    pub service: ServiceName,
    /// Address on which the runner listens.
    pub address: SocketAddr,
    /// Zone in which the runner is placed.
    pub zone: ZoneId,
    /// Version of the software that the runner runs. Runners of several versions may serve one service at a time.
    pub version: SoftwareVersion,
    /// Number of requests that the runner processes concurrently.
    pub slots: u32,
    /// Whether the runner is draining and about to leave.
    pub draining: bool,
    /// Whether the platform may preempt the runner at short notice.
    pub preemptible: bool,
    /// Time from the change of the entry until the runner leaves, in milliseconds; `None` if no
    /// time is announced.
    pub leaves_ms: Option<u64>,
    /// Role of the runner; `None` if it does not run a language model.
    pub stage: Option<Stage>,
    /// Revision of the store at which the entry was written.
    pub revision: StoreRevision,
}

/// Load that a runner reports in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are queued.
    pub waiting: u32,
}

/// Resources that an attempt needs at a runner of a language model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptDemand {
    /// Prompt tokens to prefill within the deadline.
    pub prefill_tokens: u64,
    /// Prompt tokens to prefill with overdue priority, behind all work that can still be in time.
    pub overdue_tokens: u64,
    /// Tokens of KV cache, prompt and output, that the attempt occupies while it runs.
    pub held_tokens: u64,
}

impl AttemptDemand {
    /// Whether the runner still has to prefill a prompt for the attempt.
    pub fn needs_prefill(&self) -> bool {
        self.prefill_tokens + self.overdue_tokens > 0
    }
}

/// Time for which a runner's load report counts, in microseconds. Its weight falls linearly to 0
/// over this time.
const LOAD_REPORT_TTL_US: u64 = 1_500_000;
/// Time for which a scheduler's report of memory in use and of prefill demand counts, in
/// microseconds.
const PEER_LOAD_TTL_US: u64 = 2_500_000;
/// Time after which the queued work that a scheduler reported is taken to be finished, in
/// microseconds: a base, and an addition for each prompt token that was still to be prefilled.
const PEER_LOAD_FADE_BASE_US: u64 = 700_000;
const PEER_LOAD_FADE_US_PER_TOKEN: u64 = 30;

/// A runner as this node sees it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// The runner's registry entry.
    pub record: RunnerRecord,
    /// Region of the runner's zone.
    pub region: RegionId,
    /// Number of this node's attempts that are in flight at the runner.
    pub in_flight: u32,
    /// Number of those attempts whose prompt is not prefilled yet.
    pub pending_prefills: u32,
    /// Prompt tokens that the runner still has to prefill for this node.
    pub prefill_tokens: u64,
    /// Overdue prompt tokens of this node, which the runner prefills when it has no other work.
    pub overdue_tokens: u64,
    /// Tokens of KV cache that this node's attempts occupy.
    pub held_tokens: u64,
    pub(crate) failures: FailureRate,
    pub(crate) reported_peer_requests: u32,
    pub(crate) peer_requests_reported_at_us: u64,
    /// Load that this node, as the runner's scheduler, has reserved for requests of other nodes.
    pub(crate) reserved: Load,
    /// Rate of prompt tokens that this node has placed at the runner, as its scheduler or for its
    /// own requests.
    pub(crate) prefill_demand: PrefillDemand,
    /// Load that the runner's scheduler, another node, reported last.
    pub(crate) reported_load: Option<ReportedLoad>,
    pub(crate) suspicion: Suspicion,
    /// Availability that the runner has reported in responses to this node.
    pub(crate) availability: Availability,
    pub(crate) full_until_us: u64,
    /// Role that the runner was ordered to take, and the time until which the order counts as
    /// pending, in microseconds.
    pub(crate) role_transition: Option<(Stage, u64)>,
    /// Whether another runner, or a runner in another role than this entry states, responded at the
    /// address. A newer entry resets it.
    pub(crate) is_misdirected: bool,
    /// Set when the entry is gone from the registry but may only have lapsed.
    pub(crate) lapsed: Option<Lapsed>,
    pub(crate) cache: PrefixCacheModel,
    pub(crate) speed: RunnerSpeed,
    /// How this life of the runner delimits its successful responses.
    pub(crate) framing: FramingHabits,
}

/// State of an entry that may have lapsed while the store was unavailable, though its runner is
/// alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lapsed {
    /// Time at which the runner is removed if its entry has not come back, in microseconds.
    pub(crate) until_us: u64,
    /// Revision of the store at which the entry was found missing.
    pub(crate) revision: StoreRevision,
}

impl Runner {
    pub(crate) fn new(record: RunnerRecord, region: RegionId, availability: Availability) -> Self {
        Self {
            record,
            region,
            in_flight: 0,
            pending_prefills: 0,
            prefill_tokens: 0,
            overdue_tokens: 0,
            held_tokens: 0,
            failures: FailureRate::default(),
            reported_peer_requests: 0,
            peer_requests_reported_at_us: 0,
            reserved: Load::default(),
            prefill_demand: PrefillDemand::default(),
            reported_load: None,
            suspicion: Suspicion::default(),
            availability,
            full_until_us: 0,
            role_transition: None,
            is_misdirected: false,
            lapsed: None,
            cache: PrefixCacheModel::default(),
            speed: RunnerSpeed::default(),
            framing: FramingHabits::default(),
        }
    }

    /// Whether the runner is about to leave, by its registry entry or by its own responses. The
    /// store may learn of this many seconds later, so neither source overrides the other.
    pub fn is_leaving(&self) -> bool {
        self.record.draining || self.availability.is_leaving()
    }

    /// Whether another process responds at the runner's address.
    pub fn is_misdirected(&self) -> bool {
        self.is_misdirected
    }

    /// Whether new requests may be sent to the runner by at least some node.
    pub fn accepts_work(&self) -> bool {
        !self.is_leaving() && !self.is_misdirected
    }

    /// Whether this node may send a request to the runner now.
    pub fn accepts_work_from_this_node(&self, now_us: u64) -> bool {
        self.accepts_work() && !self.availability.is_resting(now_us)
    }

    /// Whether this node may place requests at the runner now: it accepts work from this node, and
    /// its limit for all nodes together is not known to be used up.
    pub fn is_available_for_placement(&self, now_us: u64) -> bool {
        self.accepts_work_from_this_node(now_us)
            && self.availability.limit.throttled_until_us(now_us).is_none()
    }

    /// Time until which this node may not send requests to the runner because of a requested rest
    /// or a limit, in microseconds; `None` if it may send now.
    pub fn withheld_until_us(&self, now_us: u64) -> Option<u64> {
        let rests_until_us = self.availability.rests_until_us(now_us);
        rests_until_us.max(self.availability.limit.throttled_until_us(now_us))
    }

    /// Rate of requests that the runner accepts from all nodes together, as it has reported; `None`
    /// if it has no limit.
    pub fn limit(&self) -> Option<RequestRate> {
        self.availability.limit.rate()
    }

    /// Whether other runners are preferred: this one was recently unreachable or full, or it rests.
    /// When the suspicion or the rest ends, a single request tries the runner before others follow.
    pub fn is_avoided(&self, now_us: u64) -> bool {
        now_us < self.full_until_us
            || self.availability.is_avoided(now_us)
            || self.suspicion.is_avoided(self.in_flight, now_us)
    }

    /// Share of recent responses that were failures of the runner's own, 0 to 1. The share decays
    /// with time, so that a runner that is avoided because of it is tried again.
    pub fn failure_rate(&self, now_us: u64) -> f64 {
        self.failures.at(now_us)
    }

    /// Prefill time of this runner divided by the mean of its service's runners; above 1 for a slow
    /// runner.
    pub fn slowdown_factor(&self, now_us: u64) -> f64 {
        self.speed.slowdown_factor(now_us)
    }

    /// Whether a role change is pending for the runner.
    pub fn is_changing_role(&self, now_us: u64) -> bool {
        let has_role = |stage: Stage| self.record.stage == Some(stage);
        self.role_transition.is_some_and(|(stage, until_us)| now_us < until_us && !has_role(stage))
    }

    /// Role that the runner is changing to; `None` if no change is pending.
    pub fn next_stage(&self, now_us: u64) -> Option<Stage> {
        self.role_transition.filter(|_| self.is_changing_role(now_us)).map(|(stage, _)| stage)
    }

    /// Whether it is proven that the runner could not be reached, and it has not responded since.
    pub fn is_unreachable(&self) -> bool {
        self.suspicion.is_unreachable()
    }

    /// Whether it is guessed or proven that the runner cannot be reached. This suffices to choose
    /// another runner, and for nothing that cannot be taken back.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_suspected()
    }

    /// Whether the runner was found unreachable so recently that another attempt to connect is useless.
    pub fn was_just_unreachable(&self, now_us: u64) -> bool {
        self.suspicion.was_just_unreachable(now_us)
    }

    /// Whether this node could recently not connect to the runner, neither itself nor through another node.
    pub fn is_unreached(&self, now_us: u64) -> bool {
        self.suspicion.is_unreached(now_us)
    }

    /// Estimated number of requests of other nodes at the runner: the ones reserved by this node,
    /// else the ones reported by the runner's scheduler, else the runner's last load report.
    /// Reports lose weight with their age.
    pub fn peer_requests(&self, now_us: u64) -> f64 {
        if self.reserved.in_flight > 0 {
            return f64::from(self.reserved.in_flight);
        }
        let reported = self.reported_load.map_or(0.0, |reported| {
            f64::from(reported.load.in_flight) * reported.remaining_share(now_us)
        });
        if reported > 0.0 {
            return reported;
        }
        let age = now_us.saturating_sub(self.peer_requests_reported_at_us);
        let left = LOAD_REPORT_TTL_US.saturating_sub(age);
        f64::from(self.reported_peer_requests) * left as f64 / LOAD_REPORT_TTL_US as f64
    }

    /// Estimated prompt tokens that the runner still has to prefill for other nodes.
    pub fn peer_prefill_tokens(&self, now_us: u64) -> u64 {
        let left = |reported: ReportedLoad| {
            reported.load.prefill_tokens as f64 * reported.remaining_share(now_us)
        };
        self.reserved.prefill_tokens + self.reported_load.map_or(0.0, left) as u64
    }

    /// Estimated overdue prompt tokens of other nodes at the runner, as reported by its scheduler.
    pub fn peer_overdue_tokens(&self, now_us: u64) -> u64 {
        let left = |reported: ReportedLoad| {
            reported.load.overdue_tokens as f64 * reported.remaining_share(now_us)
        };
        self.reported_load.map_or(0.0, left) as u64
    }

    /// Estimated number of requests that the runner is decoding. Requests whose prompt is still to
    /// be prefilled, here or at another runner, are not counted.
    pub fn decoding(&self, now_us: u64) -> f64 {
        let reported = |reported: ReportedLoad| {
            f64::from(reported.load.pending_prefills) * reported.remaining_share(now_us)
        };
        let others = match self.reserved.in_flight {
            0 => self.reported_load.map_or(0.0, reported),
            _ => f64::from(self.reserved.pending_prefills),
        };
        let pending = f64::from(self.pending_prefills) + others;
        (self.occupancy(now_us) - pending).max(0.0)
    }

    /// Overdue prompt tokens of this node's requests and of those that it has scheduled for other
    /// nodes.
    pub fn local_overdue_tokens(&self) -> u64 {
        self.overdue_tokens + self.reserved.overdue_tokens
    }

    /// Prompt tokens per second that the runner has recently been asked to prefill, as far as this
    /// node knows.
    pub fn prefill_tokens_per_s(&self, now_us: u64) -> f64 {
        let reported = self.reported_load.filter(|reported| reported.is_fresh(now_us));
        self.prefill_demand.tokens_per_s(now_us)
            + reported.map_or(0.0, |reported| reported.prefill_tokens_per_s as f64)
    }

    /// Estimated tokens of KV cache that the attempts of all nodes occupy.
    pub fn total_held_tokens(&self, now_us: u64) -> u64 {
        // A run frees its memory all at once when it ends, so a report counts in full until it
        // expires.
        let reported = self.reported_load.filter(|reported| reported.is_fresh(now_us));
        let reported = reported.map_or(0, |reported| reported.load.held_tokens);
        self.held_tokens + self.reserved.held_tokens + reported
    }

    /// Estimated number of requests at the runner, of all nodes.
    pub fn occupancy(&self, now_us: u64) -> f64 {
        f64::from(self.in_flight) + self.peer_requests(now_us)
    }

    /// Whether the runner is estimated to have no work.
    pub fn is_idle(&self, now_us: u64) -> bool {
        self.prefill_tokens == 0 && self.occupancy(now_us) < 1.0
    }

    /// Tokens of a prompt's shared prefix that this node estimates to be in the runner's KV
    /// cache.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u64 {
        self.cache.cached_tokens(prompt.shared_prefix())
    }
}

/// Load that a set of requests puts on a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) in_flight: u32,
    /// Number of those requests whose prompt is not prefilled yet, by this runner or by a prefill
    /// runner on its behalf.
    pub(crate) pending_prefills: u32,
    pub(crate) prefill_tokens: u64,
    pub(crate) overdue_tokens: u64,
    pub(crate) held_tokens: u64,
}

impl Load {
    pub(crate) fn add(&mut self, demand: AttemptDemand) {
        self.in_flight += 1;
        self.pending_prefills += u32::from(demand.needs_prefill());
        self.prefill_tokens += demand.prefill_tokens;
        self.overdue_tokens += demand.overdue_tokens;
        self.held_tokens += demand.held_tokens;
    }

    pub(crate) fn on_prefilled(&mut self, demand: AttemptDemand) {
        let prefilled = u32::from(demand.needs_prefill());
        self.pending_prefills = self.pending_prefills.saturating_sub(prefilled);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(demand.prefill_tokens);
        self.overdue_tokens = self.overdue_tokens.saturating_sub(demand.overdue_tokens);
    }

    pub(crate) fn remove(&mut self, demand: AttemptDemand) {
        self.on_prefilled(demand);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.held_tokens = self.held_tokens.saturating_sub(demand.held_tokens);
    }
}

/// Load of a runner as its scheduler reported it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) load: Load,
    pub(crate) prefill_tokens_per_s: u64,
    pub(crate) reported_at_us: u64,
}

impl ReportedLoad {
    fn is_fresh(&self, now_us: u64) -> bool {
        now_us < self.reported_at_us + PEER_LOAD_TTL_US
    }

    /// Share of the reported load that is estimated to be left if no later report arrives. Most
    /// requests end within a second; long prompts take longer.
    fn remaining_share(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.reported_at_us);
        let tokens = self.load.prefill_tokens + self.load.overdue_tokens;
        let fade_us = PEER_LOAD_FADE_BASE_US + tokens * PEER_LOAD_FADE_US_PER_TOKEN;
        1.0 - (age_us as f64 / fade_us as f64).min(1.0)
    }
}
