//! Places requests: asks the scheduler of the runners' shard, in this node's own region first.
//!
//! What is said stands in [`pitchstall_serving::scheduling`], how questions are answered in
//! [`crate::shard_scheduler`]. Words are datagrams: one that is lost is not sent again.

use crate::clock::Instant;
use crate::held_parts::UntoldReadings;
use crate::missed_answers::MissedAnswers;
use crate::node::Node;
use crate::peer_messages::{PeerMessage, PeerSocket};
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
const PATIENCE_SHARE: f64 = 0.06;
/// Shortest and longest wait for it. Below the shortest, machines whose processor is shared answer too
/// late; above the longest, a node that has died costs more than a good choice brings.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(12);
const LONGEST_PATIENCE: Duration = Duration::from_millis(50);
const MILLIS_A_SECOND: f64 = 1_000.0;

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
    pub left: Duration,
}

/// Where a request is to run.
pub struct Placement {
    /// Who reads the prompt; `None`: no runner takes work.
    pub reading: Option<PrefillPlan>,
    /// Who writes, if the scheduler has chosen it.
    pub writer: Option<RunnerChoice>,
    /// Tells the scheduler what becomes of the request.
    pub follow_up: FollowUp,
}

/// Tells the scheduler that placed a request what becomes of it; that it is over when dropped.
pub struct FollowUp {
    node: Rc<Node>,
    placed: Option<(SocketAddr, Ticket)>,
}

impl FollowUp {
    /// A request that this node has placed itself: nobody is told.
    fn none(node: &Rc<Node>) -> Self {
        Self { node: node.clone(), placed: None }
    }

    /// Tells of progress.
    pub fn tell(&self, progress: Progress) {
        let Some((scheduler, ticket)) = self.placed else { return };
        let word = PeerMessage::ProgressMessage(ProgressMessage { ticket, progress });
        self.node.scheduling.socket.send(&word, &[scheduler]);
    }
}

impl Drop for FollowUp {
    fn drop(&mut self) {
        self.tell(Progress::Ended);
    }
}

/// What a node needs to ask schedulers and to be one.
pub struct Scheduling {
    /// Sends words to other nodes.
    pub socket: PeerSocket,
    incarnation: u64,
    questions: Cell<u64>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<(PlacementReply, SocketAddr)>>>,
    missed: MissedAnswers,
    /// What this node has set aside at the runners that it schedules.
    pub(crate) reservations: RefCell<Reservations>,
    /// Readings that other regions are still to be told of.
    pub(crate) untold_readings: UntoldReadings,
    /// What other regions have to do.
    pub(crate) backlogs: RefCell<RegionBacklogs>,
}

impl Scheduling {
    /// Nothing asked, nothing set aside.
    pub fn new(socket: PeerSocket) -> Self {
        Self {
            socket,
            incarnation: rand::rng().random(),
            questions: Cell::new(0),
            waiting: RefCell::default(),
            missed: MissedAnswers::default(),
            reservations: RefCell::default(),
            untold_readings: UntoldReadings::default(),
            backlogs: RefCell::default(),
        }
    }

    /// Identifies the next question of this node.
    pub fn next_ticket(&self) -> Ticket {
        let number = self.questions.get() + 1;
        self.questions.set(number);
        Ticket { incarnation: self.incarnation, number }
    }
}

/// What came of a question.
enum Told {
    /// Where the request is to run.
    Plan(Placement),
    /// The scheduler of another region is to be asked.
    Elsewhere(RemoteRegion),
    /// No answer in time, or no runner.
    Nothing,
    /// This node is the scheduler.
    Here,
}

/// Finds where a request is to run: by its shard's scheduler, or by what this node knows if that
/// one is this node or does not answer soon.
pub async fn place(node: &Rc<Node>, demand: &PlacementDemand<'_>) -> Placement {
    let shard = shard_in(node, demand, &node.region());
    let elsewhere = match ask(node, demand, &shard, false).await {
        Told::Plan(placement) => return placement,
        Told::Nothing => return place_here(node, demand, None),
        Told::Elsewhere(elsewhere) => elsewhere,
        Told::Here => {
            let placed = choose_here(node, demand, Some(&shard));
            match elsewhere(node, demand, &shard.region, &placed) {
                None => return own_placement(node, placed),
                Some(elsewhere) => elsewhere,
            }
        }
    };
    place_elsewhere(node, demand, &elsewhere).await
}

/// Asks another region's scheduler.
async fn place_elsewhere(
    node: &Rc<Node>,
    demand: &PlacementDemand<'_>,
    elsewhere: &RemoteRegion,
) -> Placement {
    let (request, reason) = (demand.request, elsewhere.reason.name());
    let (from, to) = (node.region().to_string(), elsewhere.region.as_str());
    log::info!(target: "scheduling", request, from, to, reason; "leaves its region");
    node.metrics.on_cross_region_request(elsewhere.reason);
    let shard = shard_in(node, demand, &elsewhere.region);
    match ask(node, demand, &shard, true).await {
        Told::Plan(placement) => placement,
        Told::Here => place_here(node, demand, Some(&shard)),
        Told::Nothing | Told::Elsewhere(_) => place_here(node, demand, None),
    }
}

/// Asks the scheduler of a shard. `handed_on`: it is not to name another.
async fn ask(
    node: &Rc<Node>,
    demand: &PlacementDemand<'_>,
    shard: &Shard,
    is_forwarded: bool,
) -> Told {
    let Some((scheduler, address)) = scheduler_of(node, shard) else { return Told::Here };
    let question = PlacementQuery { is_forwarded, ..question(node, demand, shard) };
    let ticket = question.ticket;
    let asked_at = Instant::now();
    let (sender, receiver) = oneshot::channel();
    node.scheduling.waiting.borrow_mut().insert(ticket, sender);
    node.scheduling.socket.send(&PeerMessage::PlacementQuery(question), &[address]);
    let answer = timeout(patience(node, &scheduler, demand.target_ms), receiver).await;
    node.scheduling.waiting.borrow_mut().remove(&ticket);
    // Should the answer yet come, or a word be lost, what was set aside is free again.
    let follow_up_to = |address| FollowUp { node: node.clone(), placed: Some((address, ticket)) };
    let Ok(Ok((answer, from))) = answer else {
        log_missed(demand.request, &scheduler, shard);
        node.metrics.placement_timeouts.inc();
        if node.scheduling.missed.on_missed(&scheduler, node.now_us()) {
            log::info!(target: "scheduling", scheduler = scheduler.as_str(); "passed over");
        }
        drop(follow_up_to(address));
        return Told::Nothing;
    };
    let took = asked_at.elapsed();
    if from == address {
        measure(node, &scheduler, took);
    }
    log_told(demand.request, &scheduler, shard, &answer, took);
    node.metrics.placements.inc();
    node.scheduling.missed.on_answered(&scheduler);
    if let Some(elsewhere) = answer.remote_region {
        return Told::Elsewhere(elsewhere);
    }
    told_placement(node, answer, follow_up_to(from)).map_or(Told::Nothing, Told::Plan)
}

fn measure(node: &Node, scheduler: &NodeId, took: Duration) {
    let zone = node.members.borrow().zone_of(scheduler).cloned();
    if let Some(zone) = zone {
        node.on_round_trip(&zone, took);
    }
}

fn log_missed(request: &str, scheduler: &NodeId, shard: &Shard) {
    let (scheduler, region, shard) = (scheduler.as_str(), shard.region.as_str(), shard.number);
    log::info!(target: "scheduling", request, scheduler, region, shard; "no answer");
}

fn log_told(
    request: &str,
    scheduler: &NodeId,
    shard: &Shard,
    answer: &PlacementReply,
    took: Duration,
) {
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    let (reader, writer) = named(answer.plan.as_ref());
    let (scheduler, region) = (scheduler.as_str(), shard.region.as_str());
    log::info!(target: "scheduling", request, scheduler, region, took_us, reader, writer; "told");
}

/// Who reads and who writes, for the logs.
pub(crate) fn named(plan: Option<&WirePlan>) -> (&str, &str) {
    match plan {
        Some(WirePlan::Split(reader, writer)) => (reader.runner.as_str(), writer.runner.as_str()),
        Some(WirePlan::Direct(choice)) => (choice.runner.as_str(), choice.runner.as_str()),
        None => ("", ""),
    }
}

/// How long a scheduler's answer is waited for: the way there and back, and what its work takes.
fn patience(node: &Node, scheduler: &NodeId, target_ms: u64) -> Duration {
    let share = Duration::from_millis(target_ms).mul_f64(PATIENCE_SHARE);
    let members = node.members.borrow();
    let way = members.zone_of(scheduler).map_or(Duration::ZERO, |zone| node.round_trip(zone));
    way + share.clamp(SHORTEST_PATIENCE, LONGEST_PATIENCE)
}

/// `None` if this node does not know the runners, or knows that they take no work.
fn told_placement(
    node: &Rc<Node>,
    answer: PlacementReply,
    follow_up: FollowUp,
) -> Option<Placement> {
    let (reading, writer) = match answer.plan? {
        WirePlan::Split(reader, writer) => {
            (PrefillPlan::Split(reader.into()), Some(RunnerChoice::from(writer)))
        }
        WirePlan::Direct(choice) => (PrefillPlan::Direct(choice.into()), None),
    };
    let (PrefillPlan::Split(first) | PrefillPlan::Direct(first)) = &reading;
    is_usable(node, first).then_some(())?;
    let writer = writer.filter(|writer| is_usable(node, writer));
    Some(Placement { reading: Some(reading), writer, follow_up })
}

/// Whether a told choice holds. The scheduler does not know all that runners have said to this node.
fn is_usable(node: &Node, choice: &RunnerChoice) -> bool {
    let accepts_work = node.accepts_work(&choice.runner);
    if !accepts_work {
        node.metrics.placements_rejected.inc();
        log::info!(target: "scheduling", runner = choice.runner.as_str(); "choice dropped");
    }
    accepts_work
}

/// Runners that a question names as not to be chosen, at most: some 500 bytes. The leaving ones come first, as they
/// stay so; a choice that is not named is made again here.
const MOST_WITHHELD: usize = 32;

/// Runners that are not to be chosen: that have had the request, or take none from this node.
fn not_to_choose(node: &Node, eligible: &Eligible<'_>, now_us: u64) -> Vec<RunnerId> {
    let mut withheld = node.fleet.borrow().withheld(eligible.service, now_us);
    withheld.retain(|runner| !eligible.excluded.contains(runner));
    withheld.truncate(MOST_WITHHELD);
    eligible.excluded.iter().cloned().chain(withheld).collect()
}

/// The shard of a region in which the prompt's shared parts have their home; any, if it has none.
fn shard_in(node: &Node, demand: &PlacementDemand<'_>, region: &RegionId) -> Shard {
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
pub(crate) fn scheduler_of(node: &Node, shard: &Shard) -> Option<(NodeId, SocketAddr)> {
    let now_us = node.now_us();
    let members = node.members.borrow();
    let is_up = |name: &NodeId| !node.scheduling.missed.is_passed_over(name, now_us);
    let (name, address) = members.scheduler(shard, is_up)?;
    Some((name.clone(), address))
}

fn question(node: &Node, demand: &PlacementDemand<'_>, shard: &Shard) -> PlacementQuery {
    let Demand { eligible, prompt, zone, .. } = demand.demand;
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
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
        elapsed_ms: millis(demand.elapsed),
        remaining_ms: millis(demand.left),
        zone: zone.clone(),
        excluded: not_to_choose(node, &eligible, node.now_us()),
        zones: eligible.zones.map(|zones| zones.iter().cloned().collect()),
    }
}

/// Chooses by what this node knows: among a shard's runners, or all if it has none to offer.
fn place_here(node: &Rc<Node>, demand: &PlacementDemand<'_>, shard: Option<&Shard>) -> Placement {
    own_placement(node, choose_here(node, demand, shard))
}

/// What this node has chosen itself: nobody is told of it.
fn own_placement(node: &Rc<Node>, placed: PlacementDecision) -> Placement {
    let PlacementDecision { prefill, decode } = placed;
    if let Some(PrefillPlan::Split(choice) | PrefillPlan::Direct(choice)) = &prefill {
        let mut fleet = node.fleet.borrow_mut();
        fleet.on_placed(&choice.runner, choice.prefill_tokens(), node.now_us());
    }
    Placement { reading: prefill, writer: decode, follow_up: FollowUp::none(node) }
}

pub(crate) fn choose_here(
    node: &Node,
    demand: &PlacementDemand<'_>,
    shard: Option<&Shard>,
) -> PlacementDecision {
    let fleet = node.fleet.borrow();
    let due = due(demand);
    node.with_pace(demand.service, |pace| {
        choose_placement(&fleet, pace, &demand.demand, shard, due)
    })
}

fn due(demand: &PlacementDemand<'_>) -> ResponseTarget {
    ResponseTarget {
        target_ms: demand.target_ms as f64,
        elapsed_ms: demand.elapsed.as_secs_f64() * MILLIS_A_SECOND,
    }
}

/// Where a request should rather be placed than in its own region. The reading is counted there
/// until that region tells its load again.
pub(crate) fn elsewhere(
    node: &Node,
    demand: &PlacementDemand<'_>,
    own: &RegionId,
    placed: &PlacementDecision,
) -> Option<RemoteRegion> {
    let fleet = node.fleet.borrow();
    let mut backlogs = node.scheduling.backlogs.borrow_mut();
    let elsewhere =
        preferred_remote_region(&fleet, &backlogs, &demand.demand, own, placed, due(demand))?;
    let prefill_ms = placed.prefill_choice().map_or(0.0, |choice| choice.prefill_ms);
    backlogs.on_request_sent(&elsewhere.region, demand.service, prefill_ms);
    Some(elsewhere)
}

/// Takes in another region's word on its load.
pub fn on_region_loads(node: &Node, word: RegionLoads) {
    node.scheduling.backlogs.borrow_mut().on_loads(word, node.now_us());
}

/// Takes in a scheduler's answer. One that comes too late is passed over: the request has been
/// placed, and the scheduler was told that its reservation is over.
pub fn on_answer(node: &Node, answer: PlacementReply, from: SocketAddr) {
    let waiting = node.scheduling.waiting.borrow_mut().remove(&answer.ticket);
    match waiting {
        // The request may have ended just now; then its reservation lapses.
        Some(sender) => drop(sender.send((answer, from))),
        None => {
            let word = ProgressMessage { ticket: answer.ticket, progress: Progress::Ended };
            node.scheduling.socket.send(&PeerMessage::ProgressMessage(word), &[from]);
        }
    }
}
