//! One runner as a node sees it: its entry in the list, its load, its health and its cache.

use crate::asked_rate::AskedRate;
use crate::failure_rate::FailureRate;
use crate::ids::{RegionId, RunnerId, ServiceName, ZoneId};
use crate::prefix::Prompt;
use crate::prefix_cache::PrefixCacheModel;
use crate::runner_notice::{Availability, RequestRate};
use crate::runner_pace::RunnerPace;
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
    pub unread_tokens: u64,
    /// Prompt tokens to read after all that can still be in time.
    pub late_tokens: u64,
    /// Tokens of KV cache, prompt and output, while it runs.
    pub held_tokens: u64,
}

impl AttemptDemand {
    /// Whether a prompt has yet to be read for it there.
    pub fn is_unread(&self) -> bool {
        self.unread_tokens + self.late_tokens > 0
    }
}

/// How long a load report counts, microseconds.
const REPORT_LIFE_US: u64 = 1_500_000;
/// How long a scheduler's word on memory in use counts, microseconds.
const TOLD_LIFE_US: u64 = 2_500_000;
/// Time after which nothing is believed to be left of the work that a scheduler told of, and
/// what is added for each token that had to be read.
const PEER_LOAD_FADE_US: u64 = 700_000;
const FADE_US_A_TOKEN: u64 = 30;
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
    pub unread_requests: u32,
    /// Prompt tokens that it has yet to read for this node.
    pub unread_tokens: u64,
    /// Prompt tokens that it reads for this node when nothing else is left.
    pub late_tokens: u64,
    /// Tokens of KV cache that this node's attempts take there.
    pub held_tokens: u64,
    pub(crate) failures: FailureRate,
    pub(crate) others: u32,
    pub(crate) others_at_us: u64,
    /// What this node has set aside there for requests of other nodes, as their scheduler.
    pub(crate) reserved: Load,
    /// What this node has placed there, as a scheduler or for its own requests.
    pub(crate) asked: AskedRate,
    /// What another node told that schedules it.
    pub(crate) told: Option<ToldLoad>,
    pub(crate) suspicion: Suspicion,
    /// What it has said of itself in answers to this node.
    pub(crate) availability: Availability,
    pub(crate) full_until_us: u64,
    /// The role that it was ordered to take, and until when it is left alone for that.
    pub(crate) changing: Option<(Stage, u64)>,
    /// The address answered that it is another runner, or has another role, than this entry
    /// says. A newer entry is believed again.
    pub(crate) misdirected: bool,
    /// Its entry is gone, but may only have lapsed.
    pub(crate) lapsed: Option<Lapsed>,
    pub(crate) cache: PrefixCacheModel,
    pub(crate) pace: RunnerPace,
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
            unread_requests: 0,
            unread_tokens: 0,
            late_tokens: 0,
            held_tokens: 0,
            failures: FailureRate::default(),
            others: 0,
            others_at_us: 0,
            reserved: Load::default(),
            asked: AskedRate::default(),
            told: None,
            suspicion: Suspicion::default(),
            availability,
            full_until_us: 0,
            changing: None,
            misdirected: false,
            lapsed: None,
            cache: PrefixCacheModel::default(),
            pace: RunnerPace::default(),
        }
    }

    /// Whether it is about to leave: its entry says so, or it has said so itself. The store may hear of it
    /// many seconds later, so neither source takes back what the other has said.
    pub fn is_leaving(&self) -> bool {
        self.record.draining || self.availability.is_leaving()
    }

    /// Whether new requests may go to it, from some node.
    pub fn takes_work(&self) -> bool {
        !self.is_leaving() && !self.misdirected
    }

    /// Whether this node may send it a request now.
    pub fn takes_work_from_here(&self, now_us: u64) -> bool {
        self.takes_work() && !self.availability.is_resting(now_us)
    }

    /// Whether this node may plan with it now: it takes work from here, and what it takes from all nodes together is
    /// not used up as far as is known.
    pub fn is_open_to_plans(&self, now_us: u64) -> bool {
        self.takes_work_from_here(now_us)
            && self.availability.limit.throttled_until_us(now_us).is_none()
    }

    /// Until when this node gets nothing there because of a rest or a limit, microseconds; `None`: it may.
    pub fn withheld_until_us(&self, now_us: u64) -> Option<u64> {
        let rests_until_us = self.availability.rests_until_us(now_us);
        rests_until_us.max(self.availability.limit.throttled_until_us(now_us))
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
    pub fn pace_factor(&self, now_us: u64) -> f64 {
        self.pace.factor(now_us)
    }

    /// Whether it is changing its role.
    pub fn is_changing(&self, now_us: u64) -> bool {
        let has_role = |stage: Stage| self.record.stage == Some(stage);
        self.changing.is_some_and(|(stage, until_us)| now_us < until_us && !has_role(stage))
    }

    /// The role that it is on its way to.
    pub fn becoming(&self, now_us: u64) -> Option<Stage> {
        self.changing.filter(|_| self.is_changing(now_us)).map(|(stage, _)| stage)
    }

    /// Whether it could not be reached and has not answered since.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_suspected()
    }

    /// Requests that other nodes are believed to have at it: by what is set aside for them, by
    /// its scheduler's word, or by the runner's last report, which fades with its age.
    pub fn others(&self, now_us: u64) -> f64 {
        if self.reserved.in_flight > 0 {
            return f64::from(self.reserved.in_flight);
        }
        let told =
            self.told.map_or(0.0, |told| f64::from(told.load.in_flight) * told.share_left(now_us));
        if told > 0.0 {
            return told;
        }
        let age = now_us.saturating_sub(self.others_at_us);
        let left = REPORT_LIFE_US.saturating_sub(age);
        f64::from(self.others) * left as f64 / REPORT_LIFE_US as f64
    }

    /// Prompt tokens that it has yet to read for other nodes.
    pub fn unread_for_peers(&self, now_us: u64) -> u64 {
        let left = |told: ToldLoad| told.load.unread_tokens as f64 * told.share_left(now_us);
        self.reserved.unread_tokens + self.told.map_or(0.0, left) as u64
    }

    /// Prompt tokens that it reads for other nodes when nothing else is left, by the word of
    /// its scheduler.
    pub fn late_for_peers(&self, now_us: u64) -> u64 {
        let left = |told: ToldLoad| told.load.late_tokens as f64 * told.share_left(now_us);
        self.told.map_or(0.0, left) as u64
    }

    /// Requests whose answer it is believed to be writing: those that wait for their prompt to
    /// be read, here or elsewhere, are not among them.
    pub fn writing(&self, now_us: u64) -> f64 {
        let told = |told: ToldLoad| f64::from(told.load.unread_requests) * told.share_left(now_us);
        let others = match self.reserved.in_flight {
            0 => self.told.map_or(0.0, told),
            _ => f64::from(self.reserved.unread_requests),
        };
        let unread = f64::from(self.unread_requests) + others;
        (self.occupancy(now_us) - unread).max(0.0)
    }

    /// Prompt tokens that it reads for this node when nothing else is left, and for those whose
    /// scheduler this node is.
    pub fn late_tokens_of_all(&self) -> u64 {
        self.late_tokens + self.reserved.late_tokens
    }

    /// Prompt tokens a second that it was lately asked to read, as far as is known.
    pub fn asked_a_second(&self, now_us: u64) -> f64 {
        let told = self.told.filter(|told| told.is_fresh(now_us));
        self.asked.a_second(now_us) + told.map_or(0.0, |told| told.asked_a_second as f64)
    }

    /// Tokens of KV cache that the attempts of all nodes take there.
    pub fn held_by_all(&self, now_us: u64) -> u64 {
        // Memory is let go when the run ends, not bit by bit.
        let told = self.told.filter(|told| told.is_fresh(now_us));
        let told = told.map_or(0, |told| told.load.held_tokens);
        self.held_tokens + self.reserved.held_tokens + told
    }

    /// Requests that it is believed to have.
    pub fn occupancy(&self, now_us: u64) -> f64 {
        f64::from(self.in_flight) + self.others(now_us)
    }

    /// Whether it is believed to have nothing to do.
    pub fn is_idle(&self, now_us: u64) -> bool {
        self.unread_tokens == 0 && self.occupancy(now_us) < 1.0
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
    pub(crate) unread_requests: u32,
    pub(crate) unread_tokens: u64,
    pub(crate) late_tokens: u64,
    pub(crate) held_tokens: u64,
}

impl Load {
    pub(crate) fn add(&mut self, demand: AttemptDemand) {
        self.in_flight += 1;
        self.unread_requests += u32::from(demand.is_unread());
        self.unread_tokens += demand.unread_tokens;
        self.late_tokens += demand.late_tokens;
        self.held_tokens += demand.held_tokens;
    }

    pub(crate) fn on_read(&mut self, demand: AttemptDemand) {
        let read = u32::from(demand.is_unread());
        self.unread_requests = self.unread_requests.saturating_sub(read);
        self.unread_tokens = self.unread_tokens.saturating_sub(demand.unread_tokens);
        self.late_tokens = self.late_tokens.saturating_sub(demand.late_tokens);
    }

    pub(crate) fn remove(&mut self, demand: AttemptDemand) {
        self.on_read(demand);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.held_tokens = self.held_tokens.saturating_sub(demand.held_tokens);
    }
}

/// What a scheduler told of a runner's load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ToldLoad {
    pub(crate) load: Load,
    pub(crate) asked_a_second: u64,
    pub(crate) told_at_us: u64,
}

impl ToldLoad {
    fn is_fresh(&self, now_us: u64) -> bool {
        now_us < self.told_at_us + TOLD_LIFE_US
    }

    /// Share of it that is believed to be left, should no later word come: most requests are
    /// over within a second. Long prompts take longer.
    fn share_left(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.told_at_us);
        let tokens = self.load.unread_tokens + self.load.late_tokens;
        let fade_us = PEER_LOAD_FADE_US + tokens * FADE_US_A_TOKEN;
        1.0 - (age_us as f64 / fade_us as f64).min(1.0)
    }
}
