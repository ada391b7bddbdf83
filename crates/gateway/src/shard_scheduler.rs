//! Places requests of other nodes at the runners of the shards that this node schedules, and
//! reports the load of these runners.
//!
//! The decisions are made in [`pitchstall_serving::scheduler`]; the reservations are kept in
//! [`pitchstall_serving::reservations`].

use crate::node::Node;
use crate::peer_messages::PeerMessage;
use crate::prefix_announcements;
use crate::runner_limits;
use crate::runner_probe::{probe, ProbeCause};
use crate::scheduling::{
    choose_locally, other_scheduler_of, preferred_region, runner_names, PlacementDemand,
};
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

/// Interval between two reports of a shard's load. It equals the interval at which role changes are
/// planned.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of shard load reports per update of the terms as a keeper of runner limits.
const REPORTS_PER_TERM_UPDATE: u32 = 2;
/// Number of shard load reports per report of the region's load. Other regions receive one report
/// per second.
const REPORTS_PER_REGION_REPORT: u32 = 4;

/// Replies to a placement query, or forwards it to the scheduler of a shard with shorter waits.
pub fn on_query(node: &Node, mut query: PlacementQuery) {
    // Runners whose limit is exhausted are excluded here. Otherwise the querying node would only
    // learn after the prefill that the decode runner accepts no more requests.
    query.excluded.extend(runner_limits::exhausted_runners(node, &query.shard));
    let prompt = query.prompt();
    let zones: Option<BTreeSet<ZoneId>> =
        query.zones.as_ref().map(|zones| zones.iter().cloned().collect());
    let eligible = Eligible {
        sender: Sender::AnotherNode,
        service: &query.service,
        excluded: &query.excluded,
        zones: zones.as_ref(),
        version: query.version.as_ref(),
        excluded_versions: &query.excluded_versions,
        scope: Scope::AllRegions,
    };
    let demand = PlacementDemand {
        request: &query.request,
        service: &query.service,
        demand: Demand {
            eligible,
            prompt: &prompt,
            zone: &query.zone,
            cache_tokens: node.kv_cache_tokens(&query.service),
            cross_region_ms_per_token: node.cross_region_ms_per_token(&query.service),
            now_us: node.now_us(),
        },
        target_ms: query.target_ms,
        elapsed: Duration::from_millis(query.elapsed_ms),
        remaining: Duration::from_millis(query.remaining_ms),
    };
    let decision = choose_locally(node, &demand, Some(&query.shard));
    if let Some((shard, address)) = less_loaded_scheduler(node, &query, &decision) {
        let (from, to) = (query.shard.number, shard.number);
        let region = shard.region.as_str();
        log::info!(target: "scheduling", request = query.request.as_str(), region, from, to; "query forwarded");
        node.metrics.placements_forwarded.inc();
        query.shard = shard;
        query.is_forwarded = true;
        node.scheduling.socket.send(&PeerMessage::PlacementQuery(query), &[address]);
        return;
    }
    let remote = match query.is_forwarded {
        true => None,
        false => preferred_region(node, &demand, &query.shard.region, &decision),
    };
    match remote {
        Some(remote) => reply(node, &query, None, Some(remote)),
        None => {
            let plan = wire_plan(decision);
            if let Some(plan) = &plan {
                reserve(node, &query, &prompt, plan);
            }
            reply(node, &query, plan, None);
        }
    }
}

fn reply(
    node: &Node,
    query: &PlacementQuery,
    plan: Option<WirePlan>,
    remote_region: Option<RemoteRegion>,
) {
    let (prefill, decode) = runner_names(plan.as_ref());
    let (region, shard) = (query.shard.region.as_str(), query.shard.number);
    let other_region = remote_region.as_ref().map_or("", |preferred| preferred.region.as_str());
    log::info!(target: "scheduling", request = query.request.as_str(), region, shard, reader = prefill, writer = decode, other_region; "placed");
    let reply = PlacementReply { ticket: query.ticket, plan, remote_region };
    node.scheduling.socket.send(&PeerMessage::PlacementReply(reply), &[query.reply_to]);
}

/// The scheduler of a shard in which the request would wait for considerably less time, if that is
/// another node.
fn less_loaded_scheduler(
    node: &Node,
    query: &PlacementQuery,
    decision: &PlacementDecision,
) -> Option<(Shard, SocketAddr)> {
    let now_us = node.now_us();
    let fleet = node.fleet.borrow();
    let shard = node.with_prefill_speed(&query.service, |speeds| {
        less_loaded_shard(&fleet, speeds, query, decision, now_us)
    })?;
    let (_, address) = other_scheduler_of(node, &shard)?;
    Some((shard, address))
}

fn reserve(node: &Node, query: &PlacementQuery, prompt: &Prompt, plan: &WirePlan) {
    let mut fleet = node.fleet.borrow_mut();
    let now_us = node.now_us();
    let reservation = reservation(&fleet, query, prompt, plan, now_us);
    let RunnerReservation { runner, demand } = &reservation.prefill;
    fleet.on_placed(runner, demand.prefill_tokens + demand.overdue_tokens, now_us);
    node.scheduling.reservations.borrow_mut().reserve(&mut fleet, query.ticket, reservation);
}

/// Handles a progress report of a request that this node has placed. If the other node could not
/// reach a runner, this node probes the runner itself, since the other node may be the one that is
/// disconnected.
pub fn on_progress(node: &Rc<Node>, message: &ProgressMessage) {
    let now_us = node.now_us();
    let mut reservations = node.scheduling.reservations.borrow_mut();
    if !reservations.is_open(message.ticket) {
        return;
    }
    match &message.progress {
        Progress::Prefilled(elapsed_ms) => {
            let prefilled = reservations.on_prefilled(&mut node.fleet.borrow_mut(), message.ticket);
            drop(reservations);
            if let Some(prefilled) = prefilled {
                on_prefilled(node, prefilled, *elapsed_ms);
            }
        }
        Progress::Declined(runner) => node.fleet.borrow_mut().on_full(runner, now_us),
        Progress::Unreachable(runner) => probe(node, runner, now_us, ProbeCause::Silence),
        Progress::Ended => reservations.end(&mut node.fleet.borrow_mut(), message.ticket),
    }
}

fn on_prefilled(node: &Node, prefilled: Reservation, elapsed_ms: u64) {
    let is_split = prefilled.decode.is_some();
    node.on_progress(&prefilled.prefill.runner);
    let tokens = prefilled.prefill.demand.prefill_tokens + prefilled.prefill.demand.overdue_tokens;
    // If fewer tokens were prefilled, the runner already held the prefixes or fetched them, and
    // they have been announced when they were first prefilled.
    if tokens >= prefilled.shared_prefix.iter().map(|part| part.tokens).sum() {
        prefix_announcements::on_prefilled(
            node,
            &prefilled.prefill.runner,
            &prefilled.shared_prefix,
        );
    }
    node.on_prefix_cached(&prefilled.prefill.runner, &prefilled.shared_prefix);
    if let Some(decode) = &prefilled.decode {
        node.on_prefix_cached(&decode.runner, &prefilled.shared_prefix);
    }
    if is_split {
        let was_unqueued = prefilled.was_unqueued;
        let sample = PrefillSample { tokens, elapsed_ms: elapsed_ms as f64, was_unqueued };
        node.on_prefill_measured(&prefilled.service, &prefilled.prefill.runner, sample);
    }
}

/// Whether this node schedules a runner, and so learns of all requests that are sent to it.
pub fn is_scheduler_of(node: &Node, runner: &RunnerId) -> bool {
    let fleet = node.fleet.borrow();
    let Some(runner) = fleet.get(runner) else { return false };
    let nodes = node.members.borrow().count_in(&runner.region);
    let may_schedule = runner.region == node.region() || nodes == 0;
    may_schedule
        && other_scheduler_of(node, &Shard::of_runner(runner, Shard::count(nodes))).is_none()
}

/// The shards that this node currently schedules.
pub fn own_shards(node: &Node) -> Vec<Shard> {
    let mut shards = candidate_shards(node);
    shards.retain(|shard| other_scheduler_of(node, shard).is_none());
    shards
}

/// The shards that this node may schedule: those of its own region and of regions without nodes.
pub fn candidate_shards(node: &Node) -> Vec<Shard> {
    let own_region = node.region();
    let mut regions = node.fleet.borrow().regions();
    let may_schedule =
        |region: &RegionId| *region == own_region || node.members.borrow().count_in(region) == 0;
    regions.insert(own_region.clone());
    regions.retain(may_schedule);
    regions.into_iter().flat_map(|region| shards_of(node, region)).collect()
}

fn shards_of(node: &Node, region: RegionId) -> Vec<Shard> {
    node.members.borrow().shards_of(region).collect()
}

/// The other nodes of a region whose decisions affect requests of several nodes: those that order
/// role changes, and schedulers, which forward queries to less loaded shards.
fn load_report_recipients(node: &Node, region: &RegionId) -> Vec<SocketAddr> {
    let mut addresses = schedulers_of(node, region);
    addresses.extend(node.members.borrow().other_store_readers_in(region));
    addresses.sort();
    addresses.dedup();
    addresses
}

/// The other nodes that schedule shards of a region.
fn schedulers_of(node: &Node, region: &RegionId) -> Vec<SocketAddr> {
    let shards = shards_of(node, region.clone());
    shards.iter().filter_map(|shard| Some(other_scheduler_of(node, shard)?.1)).collect()
}

/// Periodically reports the load of the runners that this node schedules and ends expired
/// reservations, until the task is dropped.
pub async fn report_loads(node: Rc<Node>) {
    for message in 1_u32.. {
        sleep(REPORT_INTERVAL).await;
        if message % REPORTS_PER_REGION_REPORT == 0 {
            report_region_load(&node);
        }
        prefix_announcements::announce(&node);
        if message % REPORTS_PER_TERM_UPDATE == 0 {
            runner_limits::update_terms(&node);
        }
        if node.scheduling.reservations.borrow().is_empty() {
            continue;
        }
        expire_reservations(&node);
        for shard in own_shards(&node) {
            let loads = node.fleet.borrow().shard_loads(&shard, node.now_us());
            if !loads.is_empty() {
                let recipients = load_report_recipients(&node, &shard.region);
                node.scheduling
                    .socket
                    .send(&PeerMessage::ShardLoads(ShardLoads { shard, loads }), &recipients);
            }
        }
    }
}

fn expire_reservations(node: &Node) {
    let now_us = node.now_us();
    let mut fleet = node.fleet.borrow_mut();
    let ended = node.scheduling.reservations.borrow_mut().expire(&mut fleet, now_us);
    if ended > 0 {
        log::info!(target: "scheduling", ended; "reservations expired");
    }
}

/// Reports the load of this node's region to the schedulers of the other regions. Only the
/// scheduler of the region's first shard does this.
fn report_region_load(node: &Node) {
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
            node.with_prefill_speed(service, |speeds| {
                service_load(&fleet, speeds, service, &region, now_us)
            })
        };
        engines.iter().filter_map(|(service, _)| load(service)).collect()
    };
    let recipients = schedulers_of_remote_regions(node);
    let message = PeerMessage::RegionLoads(RegionLoads { region, services });
    node.scheduling.socket.send(&message, &recipients);
}

/// The nodes that schedule shards of other regions than this node's.
pub fn schedulers_of_remote_regions(node: &Node) -> Vec<SocketAddr> {
    let own_region = node.region();
    let regions = node.members.borrow().regions();
    let others = regions.iter().filter(|region| **region != own_region);
    let mut addresses: Vec<SocketAddr> =
        others.flat_map(|other| schedulers_of(node, other)).collect();
    addresses.sort();
    addresses.dedup();
    addresses
}
