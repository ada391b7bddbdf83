//! Places requests by querying the scheduler of the runners' shard, in this node's own region
//! first.
//!
//! The messages are defined in [`pitchstall_serving::scheduling`]; queries are handled in
//! [`crate::shard_scheduler`]. Messages are datagrams, and a lost one is not sent again.

use crate::clock::Instant;
use crate::missed_replies::MissedReplies;
use crate::node::Node;
use crate::peer_messages::{PeerMessage, PeerSocket};
use crate::pending_replies::PendingReplies;
use crate::prefix_announcements::PendingAnnouncements;
use pitchstall_serving::fleet::{Eligible, Scope};
use pitchstall_serving::ids::{NodeId, RegionId, RunnerId, ServiceName};
use pitchstall_serving::placement::{prefill_home, Demand, PrefillPlan, RunnerChoice};
use pitchstall_serving::regions::{RegionBacklogs, RegionLoads};
use pitchstall_serving::reservations::Reservations;
use pitchstall_serving::scheduler::{
    choose_placement, preferred_remote_region, PlacementDecision, ResponseTarget,
};
use pitchstall_serving::scheduling::{
    wire_parts, PlacementQuery, PlacementReply, Progress, ProgressMessage, RemoteRegion, Shard,
    Ticket, WirePlan,
};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long to wait for a scheduler's reply in addition to the round trip, as a share of the
/// request's target time. The wait costs little in comparison to a bad placement.
const REPLY_TIMEOUT_TARGET_SHARE: f64 = 0.06;
/// Minimum wait for a scheduler's reply in addition to the round trip. With a shorter wait,
/// schedulers on machines with a shared processor would reply too late.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(12);
/// Maximum wait for a scheduler's reply in addition to the round trip. With a longer wait, a crashed
/// scheduler would cost more than a good placement gains.
const MAX_REPLY_TIMEOUT: Duration = Duration::from_millis(50);
const MS_PER_SECOND: f64 = 1_000.0;

/// A request that is to be placed.
pub struct PlacementDemand<'a> {
    /// The client's id for the request, by which all nodes log it.
    pub request: &'a str,
    /// The service whose runners may be chosen.
    pub service: &'a ServiceName,
    /// The criteria for the choice of runners.
    pub demand: Demand<'a>,
    /// Target time for the response, in milliseconds since the request was received.
    pub target_ms: u64,
    /// Time since the request was received.
    pub elapsed: Duration,
    /// Time until the request's deadline.
    pub remaining: Duration,
}

/// Where a request is to run.
pub struct Placement {
    /// The runner that prefills the prompt; `None` if no runner accepts work.
    pub prefill: Option<PrefillPlan>,
    /// The runner that decodes, if it has been chosen together with the prefill runner.
    pub decode: Option<RunnerChoice>,
    /// Reports the progress of the request to the scheduler that placed it.
    pub progress_reporter: ProgressReporter,
}

/// Reports the progress of a request to the scheduler that placed it. Reports the end of the
/// request when dropped.
pub struct ProgressReporter {
    node: Rc<Node>,
    scheduled_by: Option<(SocketAddr, Ticket)>,
}

impl ProgressReporter {
    /// The reporter for a request that this node has placed itself. It sends no messages.
    fn local(node: &Rc<Node>) -> Self {
        Self { node: node.clone(), scheduled_by: None }
    }

    /// Sends a progress message to the scheduler, if another node has placed the request.
    pub fn report(&self, progress: Progress) {
        let Some((scheduler, ticket)) = self.scheduled_by else { return };
        let message = PeerMessage::ProgressMessage(ProgressMessage { ticket, progress });
        self.node.scheduling.socket.send(&message, &[scheduler]);
    }
}

impl Drop for ProgressReporter {
    fn drop(&mut self) {
        self.report(Progress::Ended);
    }
}

/// State that a node needs to query schedulers and to act as one.
pub struct Scheduling {
    /// Sends messages to other nodes.
    pub socket: PeerSocket,
    incarnation: u64,
    queries_sent: Cell<u64>,
    pending_queries: PendingReplies<(PlacementReply, SocketAddr)>,
    missed_replies: MissedReplies,
    /// Capacity reserved at the runners that this node schedules.
    pub(crate) reservations: RefCell<Reservations>,
    /// Announcements of shared prefixes that have not been sent to the other regions yet.
    pub(crate) pending_announcements: PendingAnnouncements,
    /// The reported load of other regions.
    pub(crate) backlogs: RefCell<RegionBacklogs>,
}

impl Scheduling {
    /// Creates the state, without pending queries and without reservations. `socket` sends the
    /// messages.
    pub fn new(socket: PeerSocket) -> Self {
        Self {
            socket,
            incarnation: rand::rng().random(),
            queries_sent: Cell::new(0),
            pending_queries: PendingReplies::default(),
            missed_replies: MissedReplies::default(),
            reservations: RefCell::default(),
            pending_announcements: PendingAnnouncements::default(),
            backlogs: RefCell::default(),
        }
    }

    /// A new identifier for a query of this node. It is unique across restarts, as it contains a
    /// random number chosen at the start.
    pub fn next_ticket(&self) -> Ticket {
        let number = self.queries_sent.get() + 1;
        self.queries_sent.set(number);
        Ticket { incarnation: self.incarnation, number }
    }
}

/// Result of a query to a scheduler.
enum Outcome {
    /// The scheduler has placed the request.
    Placed(Placement),
    /// The scheduler of this other region should be queried instead.
    RemoteRegion(RemoteRegion),
    /// There was no reply in time, or the reply contained no usable runner.
    NoReply,
    /// This node itself schedules the shard, or no other node is available.
    Local,
}

/// Decides where a request is to run. The scheduler of its shard decides, unless that is this node
/// or does not reply in time. Then this node decides based on its own view.
pub async fn place(node: &Rc<Node>, demand: &PlacementDemand<'_>) -> Placement {
    let shard = shard_in_region(node, demand, &node.region());
    let remote = match query_scheduler(node, demand, &shard, false).await {
        Outcome::Placed(placement) => return placement,
        Outcome::NoReply => return place_locally(node, demand, None),
        Outcome::RemoteRegion(remote) => remote,
        Outcome::Local => {
            let decision = choose_locally(node, demand, Some(&shard));
            match preferred_region(node, demand, &shard.region, &decision) {
                None => return local_placement(node, decision),
                Some(remote) => remote,
            }
        }
    };
    place_in_remote_region(node, demand, &remote).await
}

/// Queries the scheduler of another region, and falls back to this node's own view.
async fn place_in_remote_region(
    node: &Rc<Node>,
    demand: &PlacementDemand<'_>,
    remote: &RemoteRegion,
) -> Placement {
    let (request, reason) = (demand.request, remote.reason.name());
    let (from, to) = (node.region().to_string(), remote.region.as_str());
    log::info!(target: "scheduling", request, from, to, reason; "placing in another region");
    node.metrics.on_cross_region_request(remote.reason);
    let shard = shard_in_region(node, demand, &remote.region);
    match query_scheduler(node, demand, &shard, true).await {
        Outcome::Placed(placement) => placement,
        Outcome::Local => place_locally(node, demand, Some(&shard)),
        Outcome::NoReply | Outcome::RemoteRegion(_) => place_locally(node, demand, None),
    }
}

/// Queries the scheduler of a shard. If `is_forwarded` is set, that scheduler must not forward the
/// query to another one.
async fn query_scheduler(
    node: &Rc<Node>,
    demand: &PlacementDemand<'_>,
    shard: &Shard,
    is_forwarded: bool,
) -> Outcome {
    let Some((scheduler, address)) = other_scheduler_of(node, shard) else { return Outcome::Local };
    let query = PlacementQuery { is_forwarded, ..placement_query(node, demand, shard) };
    let ticket = query.ticket;
    let sent_at = Instant::now();
    let pending = node.scheduling.pending_queries.register(ticket);
    node.scheduling.socket.send(&PeerMessage::PlacementQuery(query), &[address]);
    let reply = pending.wait(reply_timeout(node, &scheduler, demand.target_ms)).await;
    // The scheduler may have made a reservation although its reply arrives late or is lost. The end
    // report that is sent when the reporter is dropped frees that reservation.
    let reporter_to =
        |address| ProgressReporter { node: node.clone(), scheduled_by: Some((address, ticket)) };
    let Some((reply, from)) = reply else {
        log_missing_reply(demand.request, &scheduler, shard);
        node.metrics.placement_timeouts.inc();
        if node.scheduling.missed_replies.on_timeout(&scheduler, node.now_us()) {
            log::info!(target: "scheduling", scheduler = scheduler.as_str(); "scheduler skipped after missed replies");
        }
        drop(reporter_to(address));
        return Outcome::NoReply;
    };
    let elapsed = sent_at.elapsed();
    if from == address {
        record_round_trip(node, &scheduler, elapsed);
    }
    log_reply(demand.request, &scheduler, shard, &reply, elapsed);
    node.metrics.placements.inc();
    node.scheduling.missed_replies.on_reply(&scheduler);
    if let Some(remote_region) = reply.remote_region {
        return Outcome::RemoteRegion(remote_region);
    }
    let eligible = &demand.demand.eligible;
    placement_from_reply(node, eligible, reply, reporter_to(from))
        .map_or(Outcome::NoReply, Outcome::Placed)
}

fn record_round_trip(node: &Node, scheduler: &NodeId, elapsed: Duration) {
    let zone = node.members.borrow().zone_of(scheduler).cloned();
    if let Some(zone) = zone {
        node.on_round_trip(&zone, elapsed);
    }
}

fn log_missing_reply(request: &str, scheduler: &NodeId, shard: &Shard) {
    let (scheduler, region, shard) = (scheduler.as_str(), shard.region.as_str(), shard.number);
    log::info!(target: "scheduling", request, scheduler, region, shard; "no reply from scheduler");
}

fn log_reply(
    request: &str,
    scheduler: &NodeId,
    shard: &Shard,
    reply: &PlacementReply,
    elapsed: Duration,
) {
    let took_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    let (prefill, decode) = runner_names(reply.plan.as_ref());
    let (scheduler, region) = (scheduler.as_str(), shard.region.as_str());
    log::info!(target: "scheduling", request, scheduler, region, took_us, reader = prefill, writer = decode; "told");
}

/// Names of the prefill runner and the decode runner, for logging.
pub(crate) fn runner_names(plan: Option<&WirePlan>) -> (&str, &str) {
    match plan {
        Some(WirePlan::Split(prefill, decode)) => (prefill.runner.as_str(), decode.runner.as_str()),
        Some(WirePlan::Direct(choice)) => (choice.runner.as_str(), choice.runner.as_str()),
        None => ("", ""),
    }
}

/// How long to wait for a scheduler's reply: one round trip plus the time for processing the query.
fn reply_timeout(node: &Node, scheduler: &NodeId, target_ms: u64) -> Duration {
    let share = Duration::from_millis(target_ms).mul_f64(REPLY_TIMEOUT_TARGET_SHARE);
    let members = node.members.borrow();
    let round_trip =
        members.zone_of(scheduler).map_or(Duration::ZERO, |zone| node.round_trip(zone));
    round_trip + share.clamp(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT)
}

/// Converts a scheduler's reply into a placement; `None` if the reply contains no plan, or if its
/// first runner is unknown to this node or accepts no work.
fn placement_from_reply(
    node: &Rc<Node>,
    eligible: &Eligible<'_>,
    reply: PlacementReply,
    progress_reporter: ProgressReporter,
) -> Option<Placement> {
    let (prefill, decode) = match reply.plan? {
        WirePlan::Split(prefill, decode) => {
            (PrefillPlan::Split(prefill.into()), Some(RunnerChoice::from(decode)))
        }
        WirePlan::Direct(choice) => (PrefillPlan::Direct(choice.into()), None),
    };
    let (PrefillPlan::Split(first) | PrefillPlan::Direct(first)) = &prefill;
    is_choice_usable(node, eligible, first).then_some(())?;
    let decode = decode.filter(|decode| is_choice_usable(node, eligible, decode));
    Some(Placement { prefill: Some(prefill), decode, progress_reporter })
}

/// Whether a runner chosen by a scheduler is usable. The scheduler does not know everything that
/// runners have reported to this node, and one of an earlier build does not regard software versions.
fn is_choice_usable(node: &Node, eligible: &Eligible<'_>, choice: &RunnerChoice) -> bool {
    let is_admitted = node.fleet.borrow().get(&choice.runner).is_some_and(|it| eligible.admits(it));
    let is_usable = is_admitted && node.accepts_placements(&choice.runner);
    if !is_usable {
        node.metrics.placements_rejected.inc();
        log::info!(target: "scheduling", runner = choice.runner.as_str(); "placement rejected: runner accepts no requests of this node, or not this one");
    }
    is_usable
}

/// Maximum number of unavailable runners that a query excludes, about 500 bytes. Leaving runners
/// are listed first, as their state does not change back. If the scheduler chooses an unavailable
/// runner that is not listed, this node chooses again.
const MAX_WITHHELD_EXCLUDED: usize = 32;

/// Runners that must not be chosen, because an earlier attempt of the request used them or because
/// they currently accept no requests of this node.
fn runners_to_exclude(node: &Node, eligible: &Eligible<'_>, now_us: u64) -> Vec<RunnerId> {
    let mut withheld = node.fleet.borrow().withheld(eligible.service, now_us);
    withheld.retain(|runner| !eligible.excluded.contains(runner));
    withheld.truncate(MAX_WITHHELD_EXCLUDED);
    eligible.excluded.iter().cloned().chain(withheld).collect()
}

/// The shard of a region that contains the home of the prompt's shared prefixes; a random shard if
/// the prompt has none.
fn shard_in_region(node: &Node, demand: &PlacementDemand<'_>, region: &RegionId) -> Shard {
    let of = Shard::count(node.members.borrow().count_in(region));
    let fleet = node.fleet.borrow();
    let eligible = Eligible { scope: Scope::Region(region), ..demand.demand.eligible };
    let home = prefill_home(&fleet, &Demand { eligible, ..demand.demand });
    match home.and_then(|home| fleet.get(home)) {
        Some(home) => Shard::of_runner(home, of),
        None => Shard { region: region.clone(), number: rand::rng().random_range(0..of), of },
    }
}

/// The scheduler of a shard; `None` if that is this node or if no other node is available.
pub(crate) fn other_scheduler_of(node: &Node, shard: &Shard) -> Option<(NodeId, SocketAddr)> {
    let now_us = node.now_us();
    let members = node.members.borrow();
    let is_up = |name: &NodeId| !node.scheduling.missed_replies.is_skipped(name, now_us);
    let (name, address) = members.scheduler(shard, is_up)?;
    Some((name.clone(), address))
}

fn placement_query(node: &Node, demand: &PlacementDemand<'_>, shard: &Shard) -> PlacementQuery {
    let Demand { eligible, prompt, zone, .. } = demand.demand;
    let as_ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    PlacementQuery {
        ticket: node.scheduling.next_ticket(),
        request: demand.request.to_owned(),
        reply_to: node.settings().listen.peers,
        shard: shard.clone(),
        is_forwarded: false,
        service: demand.service.clone(),
        parts: wire_parts(prompt),
        tokens: prompt.tokens,
        max_output_tokens: prompt.max_output_tokens,
        target_ms: demand.target_ms,
        elapsed_ms: as_ms(demand.elapsed),
        remaining_ms: as_ms(demand.remaining),
        zone: zone.clone(),
        excluded: runners_to_exclude(node, &eligible, node.now_us()),
        zones: eligible.zones.map(|zones| zones.iter().cloned().collect()),
        version: eligible.version.cloned(),
        excluded_versions: eligible.excluded_versions.to_vec(),
    }
}

/// Chooses runners by this node's own view: from a shard, or from all runners if the shard has none
/// available.
fn place_locally(
    node: &Rc<Node>,
    demand: &PlacementDemand<'_>,
    shard: Option<&Shard>,
) -> Placement {
    local_placement(node, choose_locally(node, demand, shard))
}

/// Turns a decision of this node into a placement without a scheduler to report to.
fn local_placement(node: &Rc<Node>, decision: PlacementDecision) -> Placement {
    let PlacementDecision { prefill, decode } = decision;
    if let Some(PrefillPlan::Split(choice) | PrefillPlan::Direct(choice)) = &prefill {
        let mut fleet = node.fleet.borrow_mut();
        fleet.on_placed(&choice.runner, choice.prefill_tokens(), node.now_us());
    }
    Placement { prefill, decode, progress_reporter: ProgressReporter::local(node) }
}

pub(crate) fn choose_locally(
    node: &Node,
    demand: &PlacementDemand<'_>,
    shard: Option<&Shard>,
) -> PlacementDecision {
    let fleet = node.fleet.borrow();
    let response_target = response_target(demand);
    node.with_prefill_speed(demand.service, |speeds| {
        choose_placement(&fleet, speeds, &demand.demand, shard, response_target)
    })
}

fn response_target(demand: &PlacementDemand<'_>) -> ResponseTarget {
    ResponseTarget {
        target_ms: demand.target_ms as f64,
        elapsed_ms: demand.elapsed.as_secs_f64() * MS_PER_SECOND,
    }
}

/// The region in which a request should be placed instead of its own region, if any. The prefill is
/// added to that region's load until the region reports its load again.
pub(crate) fn preferred_region(
    node: &Node,
    demand: &PlacementDemand<'_>,
    own: &RegionId,
    decision: &PlacementDecision,
) -> Option<RemoteRegion> {
    let fleet = node.fleet.borrow();
    let mut backlogs = node.scheduling.backlogs.borrow_mut();
    let remote = preferred_remote_region(
        &fleet,
        &backlogs,
        &demand.demand,
        own,
        decision,
        response_target(demand),
    )?;
    let prefill_ms = decision.prefill_choice().map_or(0.0, |choice| choice.prefill_ms);
    backlogs.on_request_sent(&remote.region, demand.service, prefill_ms);
    Some(remote)
}

/// Records the load reported by another region.
pub fn on_region_loads(node: &Node, message: RegionLoads) {
    node.scheduling.backlogs.borrow_mut().on_loads(message, node.now_us());
}

/// Handles a scheduler's reply. A late reply is discarded: the request has ended or has been placed
/// by other means, and another end report is sent, so that the scheduler frees its reservation.
pub fn on_reply(node: &Node, reply: PlacementReply, from: SocketAddr) {
    let ticket = reply.ticket;
    if !node.scheduling.pending_queries.on_reply(ticket, (reply, from)) {
        let message = ProgressMessage { ticket, progress: Progress::Ended };
        node.scheduling.socket.send(&PeerMessage::ProgressMessage(message), &[from]);
    }
}
