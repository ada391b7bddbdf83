//! Settings of a node's state machine. The daemon reads them from its settings file.

use pitchstall_coordination::claims::ClaimConfig;
use pitchstall_coordination::configuration::DEFAULT_MOVEMENT_BOUND;
use pitchstall_coordination::lease::LeaseConfig;
use pitchstall_coordination::members::MembersConfig;
use pitchstall_protocol::ids::{Incarnation, NodeId, ZoneId};
use pitchstall_scheduling::planner::PlannerConfig;
use pitchstall_scheduling::retry_budget::RetryBudgetConfig;
use pitchstall_scheduling::routing::RoutingConfig;
use std::time::Duration;

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node, as the membership list names it.
    pub node: NodeId,
    /// This start of its process; different for each start.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneId,
    /// Its address for other nodes, `IP:port`.
    pub peer_address: String,
    /// The lease on the authority over the zone.
    pub lease: LeaseConfig,
    /// Heartbeats and failure detection.
    pub members: MembersConfig,
    /// Claims on idempotency keys.
    pub claims: ClaimConfig,
    /// Choice of engines.
    pub routing: RoutingConfig,
    /// Role planning.
    pub planner: PlannerConfig,
    /// Retries.
    pub retry_budget: RetryBudgetConfig,
    /// Work on requests.
    pub requests: RequestSettings,
    /// Timing of control traffic.
    pub control: ControlSettings,
}

/// Settings of the work on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// Most requests that wait at the node.
    pub queue_limit: usize,
    /// Most attempts of one request.
    pub attempt_limit: u32,
    /// Most times that one attempt's broken stream is read on.
    pub resume_limit: u32,
    /// Silence before the first token after which an attempt counts as lost.
    pub first_token_timeout: Duration,
    /// Silence between tokens after which an attempt counts as lost.
    pub between_tokens_timeout: Duration,
    /// Time that an answer goes on after its caller's connection broke, for a resume.
    pub resume_grace: Duration,
    /// How long an answer to a request with an idempotency key is kept for replays.
    pub answer_retention: Duration,
    /// Most answers kept for replays.
    pub answer_limit: usize,
    /// Silence after a request was forwarded after which another node is tried.
    pub forward_taken_timeout: Duration,
    /// Between two words that a forwarded request is still in work.
    pub forward_word_every: Duration,
    /// Silence of a node that has a forwarded request after which the request counts as lost.
    pub forward_silent_timeout: Duration,
    /// How long a request waits while no engine that may serve it is known to be live.
    pub hopeless_after: Duration,
    /// How long the node of a claim is waited for.
    pub claim_question_timeout: Duration,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            queue_limit: 512,
            attempt_limit: 6,
            resume_limit: 2,
            first_token_timeout: Duration::from_secs(20),
            between_tokens_timeout: Duration::from_secs(3),
            resume_grace: Duration::from_secs(2),
            answer_retention: Duration::from_secs(600),
            answer_limit: 4_096,
            forward_taken_timeout: Duration::from_millis(500),
            forward_word_every: Duration::from_millis(500),
            forward_silent_timeout: Duration::from_millis(2_500),
            hopeless_after: Duration::from_secs(2),
            claim_question_timeout: Duration::from_millis(800),
        }
    }
}

/// Timing of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Between two reports asked of one engine.
    pub report_every: Duration,
    /// Between two digests to other zones.
    pub digest_every: Duration,
    /// Zones that one digest goes to.
    pub digest_fanout: usize,
    /// Summaries of other zones in one digest, at most.
    pub digest_summaries: usize,
    /// Between two reads of the configuration by a zone's authority.
    pub verify_every: Duration,
    /// Between two polls of the membership list.
    pub members_every: Duration,
    /// A zone without a summary for this long gets no forwarded request.
    pub zone_silent_after: Duration,
    /// An order without an answer is sent again after this.
    pub order_resend: Duration,
    /// How long an operator's submission is tried.
    pub commit_timeout: Duration,
    /// Proofs of the latest configuration older than this move no data between zones.
    pub movement_bound: Duration,
    /// Least time between the word that the node leaves and its end.
    pub leave_notice: Duration,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            report_every: Duration::from_millis(500),
            digest_every: Duration::from_millis(1_000),
            digest_fanout: 2,
            digest_summaries: 12,
            verify_every: Duration::from_millis(1_000),
            members_every: Duration::from_millis(2_000),
            zone_silent_after: Duration::from_millis(4_000),
            order_resend: Duration::from_millis(1_000),
            commit_timeout: Duration::from_secs(5),
            movement_bound: DEFAULT_MOVEMENT_BOUND,
            leave_notice: Duration::from_millis(1_200),
        }
    }
}

impl NodeSettings {
    /// Default settings for a node in a zone.
    pub fn new(node: NodeId, incarnation: Incarnation, zone: ZoneId, peer_address: String) -> Self {
        Self {
            node,
            incarnation,
            zone,
            peer_address,
            lease: LeaseConfig::default(),
            members: MembersConfig::default(),
            claims: ClaimConfig::default(),
            routing: RoutingConfig::default(),
            planner: PlannerConfig::default(),
            retry_budget: RetryBudgetConfig::default(),
            requests: RequestSettings::default(),
            control: ControlSettings::default(),
        }
    }
}
