//! One runner as a node sees it: its entry in the list, its load, its health and its cache.

use crate::failure_rate::FailureRate;
use crate::ids::{RegionId, RunnerId, ServiceName, ZoneId};
use crate::prefill_demand::PrefillDemand;
use crate::prefix::Prompt;
use crate::prefix_cache::PrefixCacheModel;
use crate::runner_notice::{Availability, RequestRate};
use crate::runner_speed::RunnerSpeed;
use crate::store_revision::StoreRevision;
use crate::suspicion::Suspicion;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a runner of a language model does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Reads prompts.
    #[serde(rename = "p")]
    Prefill,
    /// Writes answers.
    #[serde(rename = "d")]
    Decode,
}

impl Stage {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

/// What the platform's list says of a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerRecord {
    /// The life of the runner.
    pub id: RunnerId,
    /// The service that it offers.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether it may be taken away at short notice.
    pub preemptible: bool,
    /// Milliseconds from the entry's change until it is taken away, if it is.
    pub leaves_ms: Option<u64>,
    /// What it does, if it runs a language model.
    pub stage: Option<Stage>,
    /// Revision of the entry in the store.
    pub revision: StoreRevision,
}

/// Load that a runner tells in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// What an attempt asks of a runner of a language model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptDemand {
    /// Prompt tokens to read.
    pub prefill_tokens: u64,
    /// Prompt tokens to read after all that can still be in time.
    pub overdue_tokens: u64,
    /// Tokens of KV cache, prompt and output, while it runs.
    pub held_tokens: u64,
}

impl AttemptDemand {
    /// Whether a prompt has yet to be read for it there.
    pub fn needs_prefill(&self) -> bool {
        self.prefill_tokens + self.overdue_tokens > 0
    }
}

/// How long a load report counts, microseconds.
const LOAD_REPORT_TTL_US: u64 = 1_500_000;
/// How long a scheduler's word on memory in use counts, microseconds.
const PEER_LOAD_TTL_US: u64 = 2_500_000;
/// Time after which nothing is believed to be left of the work that a scheduler told of, and
/// what is added for each token that had to be read.
const PEER_LOAD_FADE_BASE_US: u64 = 700_000;
const PEER_LOAD_FADE_US_PER_TOKEN: u64 = 30;
/// A runner as the node sees it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// What the list says.
    pub record: RunnerRecord,
    /// The region of its zone.
    pub region: RegionId,
    /// Attempts of this node that it has now.
    pub in_flight: u32,
    /// Those among them whose prompt it has yet to read.
    pub pending_prefills: u32,
    /// Prompt tokens that it has yet to read for this node.
    pub prefill_tokens: u64,
    /// Prompt tokens that it reads for this node when nothing else is left.
    pub overdue_tokens: u64,
    /// Tokens of KV cache that this node's attempts take there.
    pub held_tokens: u64,
    pub(crate) failures: FailureRate,
    pub(crate) reported_peer_requests: u32,
    pub(crate) peer_requests_reported_at_us: u64,
    /// What this node has set aside there for requests of other nodes, as their scheduler.
    pub(crate) reserved: Load,
    /// What this node has placed there, as a scheduler or for its own requests.
    pub(crate) prefill_demand: PrefillDemand,
    /// What another node told that schedules it.
    pub(crate) reported_load: Option<ReportedLoad>,
    pub(crate) suspicion: Suspicion,
    /// What it has said of itself in answers to this node.
    pub(crate) availability: Availability,
    pub(crate) full_until_us: u64,
    /// The role that it was ordered to take, and until when it is left alone for that.
    pub(crate) role_change: Option<(Stage, u64)>,
    /// The address answered that it is another runner, or has another role, than this entry
    /// says. A newer entry is believed again.
    pub(crate) misdirected: bool,
    /// Its entry is gone, but may only have lapsed.
    pub(crate) lapsed: Option<Lapsed>,
    pub(crate) cache: PrefixCacheModel,
    pub(crate) speed: RunnerSpeed,
}

/// An entry that may have lapsed while the store was away, though its runner lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lapsed {
    /// The runner is taken to be gone if the entry is not back by then, microseconds.
    pub(crate) until_us: u64,
    /// Revision of the store at which the entry was gone.
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
            role_change: None,
            misdirected: false,
            lapsed: None,
            cache: PrefixCacheModel::default(),
            speed: RunnerSpeed::default(),
        }
    }

    /// Whether it is about to leave: its entry says so, or it has said so itself. The store may hear of it
    /// many seconds later, so neither source takes back what the other has said.
    pub fn is_leaving(&self) -> bool {
        self.record.draining || self.availability.is_leaving()
    }

    /// Whether new requests may go to it, from some node.
    pub fn accepts_work(&self) -> bool {
        !self.is_leaving() && !self.misdirected
    }

    /// Whether this node may send it a request now.
    pub fn accepts_work_from_this_node(&self, now_us: u64) -> bool {
        self.accepts_work() && !self.availability.is_resting(now_us)
    }

    /// Whether this node may plan with it now: it takes work from here, and what it takes from all nodes together is
    /// not used up as far as is known.
    pub fn is_available_for_placement(&self, now_us: u64) -> bool {
        self.accepts_work_from_this_node(now_us)
            && self.availability.limit.short_until_us(now_us).is_none()
    }

    /// Until when this node gets nothing there because of a rest or a limit, microseconds; `None`: it may.
    pub fn withheld_until_us(&self, now_us: u64) -> Option<u64> {
        let rests_until_us = self.availability.rests_until_us(now_us);
        rests_until_us.max(self.availability.limit.short_until_us(now_us))
    }

    /// What it takes from all nodes together, by its own word; `None`: as much as comes.
    pub fn limit(&self) -> Option<RequestRate> {
        self.availability.limit.rate()
    }

    /// Whether it could lately not be reached, was full or rests. After the time for which a
    /// runner is suspected or rests, one request tries it before others follow.
    pub fn is_avoided(&self, now_us: u64) -> bool {
        now_us < self.full_until_us
            || self.availability.is_avoided(now_us)
            || self.suspicion.is_avoided(self.in_flight, now_us)
    }

    /// Share of recent answers that were failures of its own. It fades, so that a runner that
    /// is left because of it is tried again.
    pub fn failure_rate(&self, now_us: u64) -> f64 {
        self.failures.at(now_us)
    }

    /// Time that it takes for its work as a share of what its service's runners take on the mean.
    pub fn slowdown_factor(&self, now_us: u64) -> f64 {
        self.speed.slowdown_factor(now_us)
    }

    /// Whether it is changing its role.
    pub fn is_changing_role(&self, now_us: u64) -> bool {
        let has_role = |stage: Stage| self.record.stage == Some(stage);
        self.role_change.is_some_and(|(stage, until_us)| now_us < until_us && !has_role(stage))
    }

    /// The role that it is on its way to.
    pub fn next_stage(&self, now_us: u64) -> Option<Stage> {
        self.role_change.filter(|_| self.is_changing_role(now_us)).map(|(stage, _)| stage)
    }

    /// Whether it could not be reached and has not answered since.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_suspected()
    }

    /// Requests that other nodes are believed to have at it: by what is set aside for them, by
    /// its scheduler's word, or by the runner's last report, which fades with its age.
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

    /// Prompt tokens that it has yet to read for other nodes.
    pub fn peer_prefill_tokens(&self, now_us: u64) -> u64 {
        let left = |reported: ReportedLoad| {
            reported.load.prefill_tokens as f64 * reported.remaining_share(now_us)
        };
        self.reserved.prefill_tokens + self.reported_load.map_or(0.0, left) as u64
    }

    /// Prompt tokens that it reads for other nodes when nothing else is left, by the word of
    /// its scheduler.
    pub fn peer_overdue_tokens(&self, now_us: u64) -> u64 {
        let left = |reported: ReportedLoad| {
            reported.load.overdue_tokens as f64 * reported.remaining_share(now_us)
        };
        self.reported_load.map_or(0.0, left) as u64
    }

    /// Requests whose answer it is believed to be writing: those that wait for their prompt to
    /// be read, here or elsewhere, are not among them.
    pub fn decoding(&self, now_us: u64) -> f64 {
        let reported = |reported: ReportedLoad| {
            f64::from(reported.load.pending_prefills) * reported.remaining_share(now_us)
        };
        let others = match self.reserved.in_flight {
            0 => self.reported_load.map_or(0.0, reported),
            _ => f64::from(self.reserved.pending_prefills),
        };
        let unread = f64::from(self.pending_prefills) + others;
        (self.occupancy(now_us) - unread).max(0.0)
    }

    /// Prompt tokens that it reads for this node when nothing else is left, and for those whose
    /// scheduler this node is.
    pub fn local_overdue_tokens(&self) -> u64 {
        self.overdue_tokens + self.reserved.overdue_tokens
    }

    /// Prompt tokens a second that it was lately asked to read, as far as is known.
    pub fn prefill_tokens_per_second(&self, now_us: u64) -> f64 {
        let reported = self.reported_load.filter(|reported| reported.is_fresh(now_us));
        self.prefill_demand.tokens_per_second(now_us)
            + reported.map_or(0.0, |reported| reported.asked_a_second as f64)
    }

    /// Tokens of KV cache that the attempts of all nodes take there.
    pub fn total_held_tokens(&self, now_us: u64) -> u64 {
        // Memory is let go when the run ends, not bit by bit.
        let reported = self.reported_load.filter(|reported| reported.is_fresh(now_us));
        let reported = reported.map_or(0, |reported| reported.load.held_tokens);
        self.held_tokens + self.reserved.held_tokens + reported
    }

    /// Requests that it is believed to have.
    pub fn occupancy(&self, now_us: u64) -> f64 {
        f64::from(self.in_flight) + self.peer_requests(now_us)
    }

    /// Whether it is believed to have nothing to do.
    pub fn is_idle(&self, now_us: u64) -> bool {
        self.prefill_tokens == 0 && self.occupancy(now_us) < 1.0
    }

    /// Shared tokens of a prompt that this node believes to be in its KV cache.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u64 {
        self.cache.cached_tokens(prompt.shared_parts())
    }
}

/// What requests have at a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) in_flight: u32,
    /// Those among them whose prompt has not been read, here or by another runner for this one.
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
        let read = u32::from(demand.needs_prefill());
        self.pending_prefills = self.pending_prefills.saturating_sub(read);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(demand.prefill_tokens);
        self.overdue_tokens = self.overdue_tokens.saturating_sub(demand.overdue_tokens);
    }

    pub(crate) fn remove(&mut self, demand: AttemptDemand) {
        self.on_prefilled(demand);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.held_tokens = self.held_tokens.saturating_sub(demand.held_tokens);
    }
}

/// What a scheduler told of a runner's load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) load: Load,
    pub(crate) asked_a_second: u64,
    pub(crate) reported_at_us: u64,
}

impl ReportedLoad {
    fn is_fresh(&self, now_us: u64) -> bool {
        now_us < self.reported_at_us + PEER_LOAD_TTL_US
    }

    /// Share of it that is believed to be left, should no later word come: most requests are
    /// over within a second. Long prompts take longer.
    fn remaining_share(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.reported_at_us);
        let tokens = self.load.prefill_tokens + self.load.overdue_tokens;
        let fade_us = PEER_LOAD_FADE_BASE_US + tokens * PEER_LOAD_FADE_US_PER_TOKEN;
        1.0 - (age_us as f64 / fade_us as f64).min(1.0)
    }
}
