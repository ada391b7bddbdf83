//! Places requests of other nodes at the runners of the shards that this node schedules, and tells
//! what these have to do.
//!
//! What is decided stands in [`pitchstall_serving::scheduler`], what is set aside in
//! [`pitchstall_serving::reservations`].

use crate::held_parts;
use crate::node::Node;
use crate::peer_messages::PeerMessage;
use crate::runner_limits;
use crate::runner_probe::probe;
use crate::scheduling::{choose_here, elsewhere, named, scheduler_of, PlacementDemand};
use pitchstall_serving::fleet::{Eligible, Scope, Sender};
use pitchstall_serving::ids::{RegionId, RunnerId, ZoneId};
use pitchstall_serving::placement::Demand;
use pitchstall_serving::prefill_speed::PrefillSample;
use pitchstall_serving::prefix::Prompt;
use pitchstall_serving::regions::{service_load, RegionLoads, ServiceLoad};
use pitchstall_serving::reservations::{Reservation, RunnerReservation};
use pitchstall_serving::scheduler::{less_loaded_shard, reservation, wire_plan, PlacementDecision};
use pitchstall_serving::scheduling::{
    PlacementQuery, PlacementReply, Progress, ProgressMessage, RemoteRegion, Shard, ShardLoads,
    WirePlan,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Between two words on the loads of a shard: as often as role changes are planned.
const TELL_EVERY: Duration = Duration::from_millis(250);
/// Words on loads of shards for one look at who counts runners' limits.
const WORDS_A_LOOK: u32 = 2;
/// Words on loads of shards for one on the load of the region: other regions are told once a second.
const WORDS_A_REGION_WORD: u32 = 4;

/// Answers a question, or hands it on to the scheduler of a shard whose runners wait less.
pub fn on_question(node: &Node, mut question: PlacementQuery) {
    // The asking node would learn only after a prompt has been read that its writer takes no more.
    question.excluded.extend(runner_limits::short_runners(node, &question.shard));
    let prompt = question.prompt();
    let zones: Option<BTreeSet<ZoneId>> =
        question.zones.as_ref().map(|zones| zones.iter().cloned().collect());
    let eligible = Eligible {
        sender: Sender::AnotherNode,
        service: &question.service,
        excluded: &question.excluded,
        zones: zones.as_ref(),
        scope: Scope::AllRegions,
    };
    let demand = PlacementDemand {
        request: &question.request,
        service: &question.service,
        demand: Demand {
            eligible,
            prompt: &prompt,
            zone: &question.zone,
            cache_tokens: node.cache_tokens(&question.service),
            cross_region_ms_per_token: node.cross_region_ms_per_token(&question.service),
            now_us: node.now_us(),
        },
        target_ms: question.target_ms,
        elapsed: Duration::from_millis(question.elapsed_ms),
        left: Duration::from_millis(question.remaining_ms),
    };
    let placed = choose_here(node, &demand, Some(&question.shard));
    if let Some((shard, address)) = better_scheduler(node, &question, &placed) {
        let (from, to) = (question.shard.number, shard.number);
        let region = shard.region.as_str();
        log::info!(target: "scheduling", request = question.request.as_str(), region, from, to; "handed on");
        node.metrics.placements_forwarded.inc();
        question.shard = shard;
        question.is_forwarded = true;
        node.scheduling.socket.send(&PeerMessage::PlacementQuery(question), &[address]);
        return;
    }
    let better = match question.is_forwarded {
        true => None,
        false => elsewhere(node, &demand, &question.shard.region, &placed),
    };
    match better {
        Some(better) => answer(node, &question, None, Some(better)),
        None => {
            let plan = wire_plan(placed);
            if let Some(plan) = &plan {
                reserve(node, &question, &prompt, plan);
            }
            answer(node, &question, plan, None);
        }
    }
}

fn answer(
    node: &Node,
    question: &PlacementQuery,
    plan: Option<WirePlan>,
    remote_region: Option<RemoteRegion>,
) {
    let (reader, writer) = named(plan.as_ref());
    let (region, shard) = (question.shard.region.as_str(), question.shard.number);
    let other_region =
        remote_region.as_ref().map_or("", |remote_region| remote_region.region.as_str());
    log::info!(target: "scheduling", request = question.request.as_str(), region, shard, reader, writer, other_region; "placed");
    let answer = PlacementReply { ticket: question.ticket, plan, remote_region };
    node.scheduling.socket.send(&PeerMessage::PlacementReply(answer), &[question.reply_to]);
}

/// The scheduler of a shard where the request would wait for much less, if it is another node.
fn better_scheduler(
    node: &Node,
    question: &PlacementQuery,
    placed: &PlacementDecision,
) -> Option<(Shard, SocketAddr)> {
    let now_us = node.now_us();
    let fleet = node.fleet.borrow();
    let shard = node.with_pace(&question.service, |pace| {
        less_loaded_shard(&fleet, pace, question, placed, now_us)
    })?;
    let (_, address) = scheduler_of(node, &shard)?;
    Some((shard, address))
}

fn reserve(node: &Node, question: &PlacementQuery, prompt: &Prompt, plan: &WirePlan) {
    let mut fleet = node.fleet.borrow_mut();
    let now_us = node.now_us();
    let reservation = reservation(&fleet, question, prompt, plan, now_us);
    let RunnerReservation { runner, demand } = &reservation.prefill;
    fleet.on_placed(runner, demand.prefill_tokens + demand.overdue_tokens, now_us);
    node.scheduling.reservations.borrow_mut().reserve(&mut fleet, question.ticket, reservation);
}

/// Takes in what became of a request that this node has placed. What a node could not reach is
/// looked at by this one: the other may be cut off itself.
pub fn on_progress(node: &Rc<Node>, word: &ProgressMessage) {
    let now_us = node.now_us();
    let mut reservations = node.scheduling.reservations.borrow_mut();
    if !reservations.is_open(word.ticket) {
        return;
    }
    match &word.progress {
        Progress::Prefilled(elapsed_ms) => {
            let read = reservations.on_prefilled(&mut node.fleet.borrow_mut(), word.ticket);
            drop(reservations);
            if let Some(read) = read {
                on_read(node, read, *elapsed_ms);
            }
        }
        Progress::Declined(runner) => node.fleet.borrow_mut().on_full(runner, now_us),
        Progress::Unreachable(runner) => probe(node, runner, now_us),
        Progress::Ended => reservations.end(&mut node.fleet.borrow_mut(), word.ticket),
    }
}

fn on_read(node: &Node, read: Reservation, elapsed_ms: u64) {
    let is_apart = read.decode.is_some();
    node.on_progress(&read.prefill.runner);
    let tokens = read.prefill.demand.prefill_tokens + read.prefill.demand.overdue_tokens;
    // What it held, or took over, is known where it was read.
    if tokens >= read.shared_prefix.iter().map(|part| part.tokens).sum() {
        held_parts::on_read(node, &read.prefill.runner, &read.shared_prefix);
    }
    node.on_parts_held(&read.prefill.runner, &read.shared_prefix);
    if let Some(writer) = &read.decode {
        node.on_parts_held(&writer.runner, &read.shared_prefix);
    }
    if is_apart {
        let was_unqueued = read.was_unqueued;
        let sample = PrefillSample { tokens, elapsed_ms: elapsed_ms as f64, was_unqueued };
        node.on_read_in(&read.service, &read.prefill.runner, sample);
    }
}

/// Whether this node schedules a runner, and so hears of all that is sent to it.
pub fn schedules(node: &Node, runner: &RunnerId) -> bool {
    let fleet = node.fleet.borrow();
    let Some(runner) = fleet.get(runner) else { return false };
    let nodes = node.members.borrow().count_in(&runner.region);
    let may_schedule = runner.region == node.region() || nodes == 0;
    may_schedule && scheduler_of(node, &Shard::of_runner(runner, Shard::count(nodes))).is_none()
}

/// The shards that this node schedules.
pub fn own_shards(node: &Node) -> Vec<Shard> {
    let mut shards = possible_shards(node);
    shards.retain(|shard| scheduler_of(node, shard).is_none());
    shards
}

/// The shards that this node may schedule: those of its own region, or of one without nodes.
pub fn possible_shards(node: &Node) -> Vec<Shard> {
    let own = node.region();
    let mut regions = node.fleet.borrow().regions();
    let may_schedule =
        |region: &RegionId| *region == own || node.members.borrow().count_in(region) == 0;
    regions.insert(own.clone());
    regions.retain(may_schedule);
    regions.into_iter().flat_map(|region| shards_of(node, region)).collect()
}

fn shards_of(node: &Node, region: RegionId) -> Vec<Shard> {
    node.members.borrow().shards_of(region).collect()
}

/// The other nodes that decide over more than their own requests, in a region: those that order
/// role changes, and schedulers, which hand questions on to shards with less to do.
fn control_nodes(node: &Node, region: &RegionId) -> Vec<SocketAddr> {
    let mut all = schedulers_of(node, region);
    all.extend(node.members.borrow().other_store_readers_in(region));
    all.sort();
    all.dedup();
    all
}

/// The other nodes that schedule shards of a region.
fn schedulers_of(node: &Node, region: &RegionId) -> Vec<SocketAddr> {
    let shards = shards_of(node, region.clone());
    shards.iter().filter_map(|shard| Some(scheduler_of(node, shard)?.1)).collect()
}

/// Tells what the runners that this node schedules have to do, and ends reservations that are over,
/// until the task is dropped.
pub async fn tell_loads(node: Rc<Node>) {
    for word in 1_u32.. {
        sleep(TELL_EVERY).await;
        if word % WORDS_A_REGION_WORD == 0 {
            tell_region_load(&node);
        }
        held_parts::tell(&node);
        if word % WORDS_A_LOOK == 0 {
            runner_limits::look(&node);
        }
        if node.scheduling.reservations.borrow().is_empty() {
            continue;
        }
        end_lapsed(&node);
        for shard in own_shards(&node) {
            let loads = node.fleet.borrow().shard_loads(&shard, node.now_us());
            if !loads.is_empty() {
                let to = control_nodes(&node, &shard.region);
                node.scheduling
                    .socket
                    .send(&PeerMessage::ShardLoads(ShardLoads { shard, loads }), &to);
            }
        }
    }
}

fn end_lapsed(node: &Node) {
    let now_us = node.now_us();
    let mut fleet = node.fleet.borrow_mut();
    let ended = node.scheduling.reservations.borrow_mut().expire(&mut fleet, now_us);
    if ended > 0 {
        log::info!(target: "scheduling", ended; "reservations lapsed");
    }
}

/// Tells the schedulers of the other regions what the runners of this one have to do. One node tells
/// it for the region: the scheduler of its first shard.
fn tell_region_load(node: &Node) {
    let region = node.region();
    let is_first = |shard: &Shard| shard.region == region && shard.number == 0;
    if !node.members.borrow().has_other_regions() || !own_shards(node).iter().any(is_first) {
        return;
    }
    let now_us = node.now_us();
    let services: Vec<ServiceLoad> = {
        let engines = node.engine_services();
        let fleet = node.fleet.borrow();
        let load = |service| {
            node.with_pace(service, |pace| service_load(&fleet, pace, service, &region, now_us))
        };
        engines.iter().filter_map(|(service, _)| load(service)).collect()
    };
    let to = schedulers_of_other_regions(node);
    let word = PeerMessage::RegionLoads(RegionLoads { region, services });
    node.scheduling.socket.send(&word, &to);
}

/// The nodes that schedule shards of other regions than this node's.
pub fn schedulers_of_other_regions(node: &Node) -> Vec<SocketAddr> {
    let own = node.region();
    let regions = node.members.borrow().regions();
    let others = regions.iter().filter(|region| **region != own);
    let mut all: Vec<SocketAddr> = others.flat_map(|other| schedulers_of(node, other)).collect();
    all.sort();
    all.dedup();
    all
}
