//! Places requests: asks the scheduler of the runners' shard, and answers others' questions where
//! this node is the scheduler.
//!
//! What is said stands in [`pitchstall_serving::scheduling`], what is set aside in
//! [`pitchstall_serving::reservations`]. Words are datagrams: one that is lost is not sent again.

use crate::clock::Instant;
use crate::node::Node;
use crate::peer_words::{PeerSocket, PeerWord};
use crate::verification::verify;
use pitchstall_serving::fleet::Eligible;
use pitchstall_serving::ids::{NodeId, ServiceName, ZoneId};
use pitchstall_serving::placement::{reading_home, Choice, Demand, ReadingPlan};
use pitchstall_serving::prefix::Prompt;
use pitchstall_serving::read_pace::ReadSample;
use pitchstall_serving::reservations::{Reservation, Reservations};
use pitchstall_serving::scheduler::{
    choose, reservation, shorter_shard, told_plan, Due, PlacedRequest,
};
use pitchstall_serving::scheduling::{
    told_parts, PlacementAnswer, PlacementQuestion, Progress, ProgressWord, Shard, ShardLoads,
    Ticket, ToldPlan,
};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Part of a request's target for which a scheduler's answer is waited for: a small part of what
/// a bad choice costs.
const PATIENCE_SHARE: f64 = 0.06;
/// Shortest and longest wait for it. On 60 nodes answers took 2 ms in the median, 3 ms in nine of
/// ten and 20 ms in 99 of 100: below the shortest, machines whose processor is shared answer too
/// late; above the longest, a node that has died costs more than a good choice brings.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(12);
const LONGEST_PATIENCE: Duration = Duration::from_millis(50);
/// Answers missed one after the other after which a scheduler is passed over, and for how long:
/// one may be a lost datagram; a process that was killed is back after some seconds.
const MOST_MISSED: u32 = 2;
const PASSED_OVER_US: u64 = 2_000_000;
/// Between two words on the loads of a shard: as often as role changes are planned.
const TELL_EVERY: Duration = Duration::from_millis(250);
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
    pub reading: Option<ReadingPlan>,
    /// Who writes, if the scheduler has chosen it.
    pub writer: Option<Choice>,
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
        let word = PeerWord::Progress(ProgressWord { ticket, progress });
        self.node.scheduling.socket.send(&word, &[scheduler]);
    }
}

impl Drop for FollowUp {
    fn drop(&mut self) {
        self.tell(Progress::Ended);
    }
}

/// A scheduler that has not answered.
#[derive(Clone, Copy, Debug, Default)]
struct Missed {
    in_a_row: u32,
    passed_over_until_us: u64,
}

/// What a node needs to ask schedulers and to be one.
pub struct Scheduling {
    /// Sends words to other nodes.
    pub socket: PeerSocket,
    incarnation: u64,
    questions: Cell<u64>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<(PlacementAnswer, SocketAddr)>>>,
    missed: RefCell<HashMap<NodeId, Missed>>,
    reservations: RefCell<Reservations>,
}

impl Scheduling {
    /// Nothing asked, nothing set aside.
    pub fn new(socket: PeerSocket) -> Self {
        Self {
            socket,
            incarnation: rand::rng().random(),
            questions: Cell::new(0),
            waiting: RefCell::default(),
            missed: RefCell::default(),
            reservations: RefCell::default(),
        }
    }

    /// Identifies the next question of this node.
    pub fn next_ticket(&self) -> Ticket {
        let number = self.questions.get() + 1;
        self.questions.set(number);
        Ticket { incarnation: self.incarnation, number }
    }

    fn is_passed_over(&self, node: &NodeId, now_us: u64) -> bool {
        let missed = self.missed.borrow();
        missed.get(node).is_some_and(|missed| now_us < missed.passed_over_until_us)
    }

    fn on_answered(&self, node: &NodeId) {
        self.missed.borrow_mut().remove(node);
    }

    fn on_missed(&self, node: &NodeId, now_us: u64) {
        let mut all = self.missed.borrow_mut();
        let missed = all.entry(node.clone()).or_default();
        missed.in_a_row += 1;
        if missed.in_a_row >= MOST_MISSED {
            missed.passed_over_until_us = now_us + PASSED_OVER_US;
            log::info!(target: "scheduling", scheduler = node.as_str(); "passed over");
        }
    }
}

/// Finds where a request is to run: by its shard's scheduler, or by what this node knows if that
/// one is this node or does not answer soon.
pub async fn place(node: &Rc<Node>, demand: &PlacementDemand<'_>) -> Placement {
    let shard = shard_for(node, demand);
    let Some((scheduler, address)) = scheduler_of(node, shard) else {
        return place_here(node, demand, Some(shard));
    };
    let question = question(node, demand, shard);
    let ticket = question.ticket;
    let asked_at = Instant::now();
    let (sender, receiver) = oneshot::channel();
    node.scheduling.waiting.borrow_mut().insert(ticket, sender);
    node.scheduling.socket.send(&PeerWord::Question(question), &[address]);
    let answer = timeout(patience(demand.target_ms), receiver).await;
    node.scheduling.waiting.borrow_mut().remove(&ticket);
    let Ok(Ok((answer, from))) = answer else {
        let (request, scheduler_name) = (demand.request, scheduler.as_str());
        log::info!(target: "scheduling", request, scheduler = scheduler_name, shard = shard.number; "no answer");
        node.metrics.placements_missed.inc();
        node.scheduling.on_missed(&scheduler, node.now_us());
        let placement = place_here(node, demand, None);
        // The answer may yet come: what was set aside is free again.
        let follow_up = FollowUp { node: node.clone(), placed: Some((address, ticket)) };
        drop(follow_up);
        return placement;
    };
    log_told(demand.request, &scheduler, &answer, asked_at);
    node.metrics.placements_told.inc();
    node.scheduling.on_answered(&scheduler);
    let follow_up = FollowUp { node: node.clone(), placed: Some((from, ticket)) };
    told_placement(node, answer, follow_up).unwrap_or_else(|| place_here(node, demand, None))
}

fn log_told(request: &str, scheduler: &NodeId, answer: &PlacementAnswer, asked_at: Instant) {
    let took_us = u64::try_from(asked_at.elapsed().as_micros()).unwrap_or(u64::MAX);
    let (reader, writer) = named(answer.plan.as_ref());
    let scheduler = scheduler.as_str();
    log::info!(target: "scheduling", request, scheduler, took_us, reader, writer; "told");
}

/// Who reads and who writes, for the logs.
fn named(plan: Option<&ToldPlan>) -> (&str, &str) {
    match plan {
        Some(ToldPlan::Split(reader, writer)) => (reader.runner.as_str(), writer.runner.as_str()),
        Some(ToldPlan::Direct(choice)) => (choice.runner.as_str(), choice.runner.as_str()),
        None => ("", ""),
    }
}

fn patience(target_ms: u64) -> Duration {
    let share = Duration::from_millis(target_ms).mul_f64(PATIENCE_SHARE);
    share.clamp(SHORTEST_PATIENCE, LONGEST_PATIENCE)
}

/// `None` if this node does not know the runners, or knows that they take no work.
fn told_placement(
    node: &Rc<Node>,
    answer: PlacementAnswer,
    follow_up: FollowUp,
) -> Option<Placement> {
    let (reading, writer) = match answer.plan? {
        ToldPlan::Split(reader, writer) => {
            (ReadingPlan::Split(reader.into()), Some(Choice::from(writer)))
        }
        ToldPlan::Direct(choice) => (ReadingPlan::Direct(choice.into()), None),
    };
    let (ReadingPlan::Split(first) | ReadingPlan::Direct(first)) = &reading;
    node.takes_work(&first.runner).then_some(())?;
    let writer = writer.filter(|writer| node.takes_work(&writer.runner));
    Some(Placement { reading: Some(reading), writer, follow_up })
}

/// The shard in which the prompt's shared parts have their home; any, if it has none.
fn shard_for(node: &Node, demand: &PlacementDemand<'_>) -> Shard {
    let shards = Shard::count(node.known_nodes());
    let fleet = node.fleet.borrow();
    match reading_home(&fleet, &demand.demand) {
        Some(home) => Shard::of_runner(home, shards),
        None => Shard { number: rand::rng().random_range(0..shards), of: shards },
    }
}

/// The scheduler of a shard; `None` if it is this node.
fn scheduler_of(node: &Node, shard: Shard) -> Option<(NodeId, SocketAddr)> {
    let now_us = node.now_us();
    let members = node.members.borrow();
    let is_up = |name: &NodeId| !node.scheduling.is_passed_over(name, now_us);
    let (name, address) = members.scheduler(shard, is_up)?;
    Some((name.clone(), address))
}

fn question(node: &Node, demand: &PlacementDemand<'_>, shard: Shard) -> PlacementQuestion {
    let Demand { eligible, prompt, zone, .. } = demand.demand;
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    PlacementQuestion {
        ticket: node.scheduling.next_ticket(),
        request: demand.request.to_owned(),
        answer_to: node.settings().listen.peers,
        shard,
        handed_on: false,
        service: demand.service.clone(),
        parts: told_parts(prompt),
        tokens: prompt.tokens,
        max_output_tokens: prompt.max_output_tokens,
        target_ms: demand.target_ms,
        elapsed_ms: millis(demand.elapsed),
        left_ms: millis(demand.left),
        zone: zone.clone(),
        excluded: eligible.excluded.to_vec(),
        zones: eligible.zones.map(|zones| zones.iter().cloned().collect()),
    }
}

/// Chooses by what this node knows: among a shard's runners, or all if it has none to offer.
fn place_here(node: &Rc<Node>, demand: &PlacementDemand<'_>, shard: Option<Shard>) -> Placement {
    let PlacedRequest { reading, writer } = choose_here(node, demand, shard);
    Placement { reading, writer, follow_up: FollowUp::none(node) }
}

fn choose_here(node: &Node, demand: &PlacementDemand<'_>, shard: Option<Shard>) -> PlacedRequest {
    let fleet = node.fleet.borrow();
    let due = Due {
        target_ms: demand.target_ms as f64,
        elapsed_ms: demand.elapsed.as_secs_f64() * MILLIS_A_SECOND,
    };
    node.with_pace(demand.service, |pace| choose(&fleet, pace, &demand.demand, shard, due))
}

/// Answers a question, or hands it on to the scheduler of a shard whose runners wait less.
pub fn on_question(node: &Node, mut question: PlacementQuestion) {
    let prompt = question.prompt();
    let zones: Option<BTreeSet<ZoneId>> =
        question.zones.as_ref().map(|zones| zones.iter().cloned().collect());
    let eligible = Eligible {
        service: &question.service,
        excluded: &question.excluded,
        zones: zones.as_ref(),
        shard: None,
    };
    let demand = PlacementDemand {
        request: &question.request,
        service: &question.service,
        demand: Demand {
            eligible,
            prompt: &prompt,
            zone: &question.zone,
            cache_tokens: node.cache_tokens(&question.service),
            now_us: node.now_us(),
        },
        target_ms: question.target_ms,
        elapsed: Duration::from_millis(question.elapsed_ms),
        left: Duration::from_millis(question.left_ms),
    };
    let placed = choose_here(node, &demand, Some(question.shard));
    if let Some((shard, address)) = better_scheduler(node, &question, &placed) {
        let (from, to) = (question.shard.number, shard.number);
        log::info!(target: "scheduling", request = question.request.as_str(), from, to; "handed on");
        node.metrics.placements_handed_on.inc();
        question.shard = shard;
        question.handed_on = true;
        node.scheduling.socket.send(&PeerWord::Question(question), &[address]);
        return;
    }
    let plan = told_plan(placed);
    if let Some(plan) = &plan {
        reserve(node, &question, &prompt, plan);
    }
    let (reader, writer) = named(plan.as_ref());
    let shard = question.shard.number;
    log::info!(target: "scheduling", request = question.request.as_str(), shard, reader, writer; "placed");
    let answer = PlacementAnswer { ticket: question.ticket, plan };
    node.scheduling.socket.send(&PeerWord::Answer(answer), &[question.answer_to]);
}

/// The scheduler of a shard where the request would wait for much less, if it is another node.
fn better_scheduler(
    node: &Node,
    question: &PlacementQuestion,
    placed: &PlacedRequest,
) -> Option<(Shard, SocketAddr)> {
    let now_us = node.now_us();
    let fleet = node.fleet.borrow();
    let shard = node.with_pace(&question.service, |pace| {
        shorter_shard(&fleet, pace, question, placed, now_us)
    })?;
    Some((shard, scheduler_of(node, shard)?.1))
}

fn reserve(node: &Node, question: &PlacementQuestion, prompt: &Prompt, plan: &ToldPlan) {
    let mut fleet = node.fleet.borrow_mut();
    let reservation = reservation(&fleet, question, prompt, plan, node.now_us());
    node.scheduling.reservations.borrow_mut().reserve(&mut fleet, question.ticket, reservation);
}

/// Takes in a scheduler's answer. One that comes too late is passed over: the request has been
/// placed, and the scheduler was told that its reservation is over.
pub fn on_answer(node: &Node, answer: PlacementAnswer, from: SocketAddr) {
    let waiting = node.scheduling.waiting.borrow_mut().remove(&answer.ticket);
    match waiting {
        // The request may have ended just now; then its reservation lapses.
        Some(sender) => drop(sender.send((answer, from))),
        None => {
            let word = ProgressWord { ticket: answer.ticket, progress: Progress::Ended };
            node.scheduling.socket.send(&PeerWord::Progress(word), &[from]);
        }
    }
}

/// Takes in what became of a request that this node has placed. What a node could not reach is
/// looked at by this one: the other may be cut off itself.
pub fn on_progress(node: &Rc<Node>, word: &ProgressWord) {
    let now_us = node.now_us();
    let mut reservations = node.scheduling.reservations.borrow_mut();
    if !reservations.is_open(word.ticket) {
        return;
    }
    match &word.progress {
        Progress::Read(elapsed_ms) => {
            let read = reservations.on_read(&mut node.fleet.borrow_mut(), word.ticket);
            drop(reservations);
            if let Some(read) = read {
                on_read(node, read, *elapsed_ms);
            }
        }
        Progress::Declined(runner) => node.fleet.borrow_mut().on_full(runner, now_us),
        Progress::Unreachable(runner) => verify(node, runner, now_us),
        Progress::Ended => reservations.end(&mut node.fleet.borrow_mut(), word.ticket),
    }
}

fn on_read(node: &Node, read: Reservation, elapsed_ms: u64) {
    let is_apart = read.writer.is_some();
    node.on_progress(&read.reader.runner);
    node.on_parts_held(&read.reader.runner, &read.shared_parts);
    if let Some(writer) = &read.writer {
        node.on_parts_held(&writer.runner, &read.shared_parts);
    }
    if is_apart {
        let tokens = read.reader.demand.unread_tokens + read.reader.demand.late_tokens;
        let met_no_queue = read.met_no_queue;
        let sample = ReadSample { tokens, elapsed_ms: elapsed_ms as f64, met_no_queue };
        node.with_pace(&read.service, |pace| pace.on_read(sample));
    }
}

/// The shards that this node schedules.
pub fn own_shards(node: &Node) -> Vec<Shard> {
    let all = Shard::all(Shard::count(node.known_nodes()));
    all.filter(|shard| scheduler_of(node, *shard).is_none()).collect()
}

/// The nodes that decide over more than their own requests: those that order role changes, and
/// schedulers, which hand questions on to shards with less to do.
fn control_nodes(node: &Node) -> Vec<SocketAddr> {
    let shards = Shard::all(Shard::count(node.known_nodes()));
    let schedulers = shards.filter_map(|shard| Some(scheduler_of(node, shard)?.1));
    let mut all: Vec<SocketAddr> = schedulers.chain(node.members.borrow().mirrors()).collect();
    all.sort();
    all.dedup();
    all
}

/// Tells the loads of the shards that this node schedules to the nodes that order role changes,
/// and ends reservations that are over, until the task is dropped.
pub async fn tell_loads(node: Rc<Node>) {
    loop {
        sleep(TELL_EVERY).await;
        let scheduling = &node.scheduling;
        if scheduling.reservations.borrow().is_empty() {
            continue;
        }
        let now_us = node.now_us();
        let ended = {
            let mut fleet = node.fleet.borrow_mut();
            scheduling.reservations.borrow_mut().expire(&mut fleet, now_us)
        };
        if ended > 0 {
            log::info!(target: "scheduling", ended; "reservations lapsed");
        }
        for shard in own_shards(&node) {
            let loads = node.fleet.borrow().shard_loads(shard);
            if !loads.is_empty() {
                let to = control_nodes(&node);
                scheduling.socket.send(&PeerWord::Loads(ShardLoads { shard, loads }), &to);
            }
        }
    }
}
