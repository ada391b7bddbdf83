//! Places requests: asks the scheduler of the runners' shard, in this node's own region first.
//!
//! What is said stands in [`pitchstall_serving::scheduling`], how questions are answered in
//! [`crate::shard_scheduler`]. Words are datagrams: one that is lost is not sent again.

use crate::clock::Instant;
use crate::missed_replies::MissedReplies;
use crate::node::Node;
use crate::peer_words::{PeerSocket, PeerWord};
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
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Part of a request's target for which a scheduler's answer is waited for, beyond a round trip to
/// it: a small part of what a bad choice costs.
const REPLY_TIMEOUT_TARGET_SHARE: f64 = 0.06;
/// Shortest and longest wait for it. Below the shortest, machines whose processor is shared answer too
/// late; above the longest, a node that has died costs more than a good choice brings.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(12);
const MAX_REPLY_TIMEOUT: Duration = Duration::from_millis(50);
const MS_PER_SECOND: f64 = 1_000.0;

/// A request that is to be placed.
pub struct PlacementDemand<'a> {
    /// Its id.
    pub request: &'a str,
    /// The service.
    pub service: &'a ServiceName,
    /// What the choice depends on.
    pub demand: Demand<'a>,
    /// Time within which the answer is due, counted from when the request came, milliseconds.
    pub target_ms: u64,
    /// Time since the request came.
    pub elapsed: Duration,
    /// Time until its deadline.
    pub remaining: Duration,
}

/// Where a request is to run.
pub struct Placement {
    /// Who reads the prompt; `None`: no runner takes work.
    pub prefill: Option<PrefillPlan>,
    /// Who writes, if the scheduler has chosen it.
    pub decode: Option<RunnerChoice>,
    /// Tells the scheduler what becomes of the request.
    pub progress_reporter: ProgressReporter,
}

/// Tells the scheduler that placed a request what becomes of it; that it is over when dropped.
pub struct ProgressReporter {
    node: Rc<Node>,
    scheduled_by: Option<(SocketAddr, Ticket)>,
}

impl ProgressReporter {
    /// A request that this node has placed itself: nobody is told.
    fn local(node: &Rc<Node>) -> Self {
        Self { node: node.clone(), scheduled_by: None }
    }

    /// Tells of progress.
    pub fn report(&self, progress: Progress) {
        let Some((scheduler, ticket)) = self.scheduled_by else { return };
        let message = PeerWord::Progress(ProgressMessage { ticket, progress });
        self.node.scheduling.socket.send(&message, &[scheduler]);
    }
}

impl Drop for ProgressReporter {
    fn drop(&mut self) {
        self.report(Progress::Ended);
    }
}

/// What a node needs to ask schedulers and to be one.
pub struct Scheduling {
    /// Sends words to other nodes.
    pub socket: PeerSocket,
    incarnation: u64,
    queries_sent: Cell<u64>,
    pending_queries: RefCell<HashMap<Ticket, oneshot::Sender<(PlacementReply, SocketAddr)>>>,
    missed_replies: MissedReplies,
    /// What this node has set aside at the runners that it schedules.
    pub(crate) reservations: RefCell<Reservations>,
    /// Readings that other regions are still to be told of.
    pub(crate) pending_announcements: PendingAnnouncements,
    /// What other regions have to do.
    pub(crate) backlogs: RefCell<RegionBacklogs>,
}

impl Scheduling {
    /// Nothing asked, nothing set aside.
    pub fn new(socket: PeerSocket) -> Self {
        Self {
            socket,
            incarnation: rand::rng().random(),
            queries_sent: Cell::new(0),
            pending_queries: RefCell::default(),
            missed_replies: MissedReplies::default(),
            reservations: RefCell::default(),
            pending_announcements: PendingAnnouncements::default(),
            backlogs: RefCell::default(),
        }
    }

    /// Identifies the next question of this node.
    pub fn next_ticket(&self) -> Ticket {
        let number = self.queries_sent.get() + 1;
        self.queries_sent.set(number);
        Ticket { incarnation: self.incarnation, number }
    }
}

/// What came of a question.
enum Outcome {
    /// Where the request is to run.
    Placed(Placement),
    /// The scheduler of another region is to be asked.
    RemoteRegion(RemoteRegion),
    /// No answer in time, or no runner.
    NoReply,
    /// This node is the scheduler.
    Local,
}

/// Finds where a request is to run: by its shard's scheduler, or by what this node knows if that
/// one is this node or does not answer soon.
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

/// Asks another region's scheduler.
async fn place_in_remote_region(
    node: &Rc<Node>,
    demand: &PlacementDemand<'_>,
    remote: &RemoteRegion,
) -> Placement {
    let (request, reason) = (demand.request, remote.reason.name());
    let (from, to) = (node.region().to_string(), remote.region.as_str());
    log::info!(target: "scheduling", request, from, to, reason; "leaves its region");
    node.metrics.on_left_region(remote.reason);
    let shard = shard_in_region(node, demand, &remote.region);
    match query_scheduler(node, demand, &shard, true).await {
        Outcome::Placed(placement) => placement,
        Outcome::Local => place_locally(node, demand, Some(&shard)),
        Outcome::NoReply | Outcome::RemoteRegion(_) => place_locally(node, demand, None),
    }
}

/// Asks the scheduler of a shard. `handed_on`: it is not to name another.
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
    let (sender, receiver) = oneshot::channel();
    node.scheduling.pending_queries.borrow_mut().insert(ticket, sender);
    node.scheduling.socket.send(&PeerWord::Question(query), &[address]);
    let reply = timeout(reply_timeout(node, &scheduler, demand.target_ms), receiver).await;
    node.scheduling.pending_queries.borrow_mut().remove(&ticket);
    // Should the answer yet come, or a word be lost, what was set aside is free again.
    let reporter_to =
        |address| ProgressReporter { node: node.clone(), scheduled_by: Some((address, ticket)) };
    let Ok(Ok((reply, from))) = reply else {
        log_missing_reply(demand.request, &scheduler, shard);
        node.metrics.placements_missed.inc();
        if node.scheduling.missed_replies.on_timeout(&scheduler, node.now_us()) {
            log::info!(target: "scheduling", scheduler = scheduler.as_str(); "passed over");
        }
        drop(reporter_to(address));
        return Outcome::NoReply;
    };
    let elapsed = sent_at.elapsed();
    if from == address {
        record_round_trip(node, &scheduler, elapsed);
    }
    log_reply(demand.request, &scheduler, shard, &reply, elapsed);
    node.metrics.placements_told.inc();
    node.scheduling.missed_replies.on_reply(&scheduler);
    if let Some(remote) = reply.elsewhere {
        return Outcome::RemoteRegion(remote);
    }
    placement_from_reply(node, reply, reporter_to(from)).map_or(Outcome::NoReply, Outcome::Placed)
}

fn record_round_trip(node: &Node, scheduler: &NodeId, elapsed: Duration) {
    let zone = node.members.borrow().zone_of(scheduler).cloned();
    if let Some(zone) = zone {
        node.on_round_trip(&zone, elapsed);
    }
}

fn log_missing_reply(request: &str, scheduler: &NodeId, shard: &Shard) {
    let (scheduler, region, shard) = (scheduler.as_str(), shard.region.as_str(), shard.number);
    log::info!(target: "scheduling", request, scheduler, region, shard; "no answer");
}

fn log_reply(
    request: &str,
    scheduler: &NodeId,
    shard: &Shard,
    reply: &PlacementReply,
    elapsed: Duration,
) {
    let took_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    let (reader, writer) = runner_names(reply.plan.as_ref());
    let (scheduler, region) = (scheduler.as_str(), shard.region.as_str());
    log::info!(target: "scheduling", request, scheduler, region, took_us, reader, writer; "told");
}

/// Who reads and who writes, for the logs.
pub(crate) fn runner_names(plan: Option<&WirePlan>) -> (&str, &str) {
    match plan {
        Some(WirePlan::Split(prefill, decode)) => (prefill.runner.as_str(), decode.runner.as_str()),
        Some(WirePlan::Direct(choice)) => (choice.runner.as_str(), choice.runner.as_str()),
        None => ("", ""),
    }
}

/// How long a scheduler's answer is waited for: the way there and back, and what its work takes.
fn reply_timeout(node: &Node, scheduler: &NodeId, target_ms: u64) -> Duration {
    let share = Duration::from_millis(target_ms).mul_f64(REPLY_TIMEOUT_TARGET_SHARE);
    let members = node.members.borrow();
    let round_trip =
        members.zone_of(scheduler).map_or(Duration::ZERO, |zone| node.round_trip(zone));
    round_trip + share.clamp(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT)
}

/// `None` if this node does not know the runners, or knows that they take no work.
fn placement_from_reply(
    node: &Rc<Node>,
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
    is_choice_usable(node, first).then_some(())?;
    let decode = decode.filter(|decode| is_choice_usable(node, decode));
    Some(Placement { prefill: Some(prefill), decode, progress_reporter })
}

/// Whether a told choice holds. The scheduler does not know all that runners have said to this node.
fn is_choice_usable(node: &Node, choice: &RunnerChoice) -> bool {
    let accepts_work = node.accepts_work(&choice.runner);
    if !accepts_work {
        node.metrics.placements_dropped.inc();
        log::info!(target: "scheduling", runner = choice.runner.as_str(); "choice dropped");
    }
    accepts_work
}

/// Runners that a question names as not to be chosen, at most: some 500 bytes. The leaving ones come first, as they
/// stay so; a choice that is not named is made again here.
const MAX_WITHHELD_EXCLUDED: usize = 32;

/// Runners that are not to be chosen: that have had the request, or take none from this node.
fn runners_to_exclude(node: &Node, eligible: &Eligible<'_>, now_us: u64) -> Vec<RunnerId> {
    let mut withheld = node.fleet.borrow().withheld(eligible.service, now_us);
    withheld.retain(|runner| !eligible.excluded.contains(runner));
    withheld.truncate(MAX_WITHHELD_EXCLUDED);
    eligible.excluded.iter().cloned().chain(withheld).collect()
}

/// The shard of a region in which the prompt's shared parts have their home; any, if it has none.
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

/// The scheduler of a shard; `None` if it is this node, or nobody else is up.
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
    }
}

/// Chooses by what this node knows: among a shard's runners, or all if it has none to offer.
fn place_locally(
    node: &Rc<Node>,
    demand: &PlacementDemand<'_>,
    shard: Option<&Shard>,
) -> Placement {
    local_placement(node, choose_locally(node, demand, shard))
}

/// What this node has chosen itself: nobody is told of it.
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
    node.with_pace(demand.service, |speeds| {
        choose_placement(&fleet, speeds, &demand.demand, shard, response_target)
    })
}

fn response_target(demand: &PlacementDemand<'_>) -> ResponseTarget {
    ResponseTarget {
        target_ms: demand.target_ms as f64,
        elapsed_ms: demand.elapsed.as_secs_f64() * MS_PER_SECOND,
    }
}

/// Where a request should rather be placed than in its own region. The reading is counted there
/// until that region tells its load again.
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

/// Takes in another region's word on its load.
pub fn on_region_loads(node: &Node, message: RegionLoads) {
    node.scheduling.backlogs.borrow_mut().on_loads(message, node.now_us());
}

/// Takes in a scheduler's answer. One that comes too late is passed over: the request has been
/// placed, and the scheduler was told that its reservation is over.
pub fn on_reply(node: &Node, reply: PlacementReply, from: SocketAddr) {
    let pending_queries = node.scheduling.pending_queries.borrow_mut().remove(&reply.ticket);
    match pending_queries {
        // The request may have ended just now; then its reservation lapses.
        Some(sender) => drop(sender.send((reply, from))),
        None => {
            let message = ProgressMessage { ticket: reply.ticket, progress: Progress::Ended };
            node.scheduling.socket.send(&PeerWord::Progress(message), &[from]);
        }
    }
}
