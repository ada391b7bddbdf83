//! What breaks in a run: a plan made from the seed, and how each action is done.

use crate::simulation::history::Event;
use crate::simulation::network::{Cut, Endpoint, Group, Slow};
use crate::simulation::world::{StoreTrouble, StreamTrouble, World};
use pitchstall_protocol::engine::EngineRole;
use pitchstall_protocol::ids::{EngineId, ZoneId};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use std::time::Duration;

/// Something that breaks or is mended.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A node's process is killed.
    KillNode(usize),
    /// A node's process is started anew.
    StartNode(usize),
    /// A node's process is stopped (as by SIGSTOP).
    PauseNode(usize),
    /// A stopped node goes on (as by SIGCONT).
    WakeNode(usize),
    /// A node is told to leave; it is started anew when it has left.
    ReplaceNode(usize),
    /// An engine's process is killed.
    KillEngine(usize),
    /// Another engine takes the place of one that is gone.
    AddEngine(ZoneId, EngineRole),
    /// An engine's process is stopped.
    PauseEngine(usize),
    /// A stopped engine goes on.
    WakeEngine(usize),
    /// An engine says that it leaves.
    EngineLeaves(usize),
    /// The list names an engine as leaving.
    ListEngineLeaving(usize),
    /// All streams of an engine break.
    CutStreams(usize),
    /// Messages are lost.
    Cut(Cut),
    /// Messages of one end are held up, so that they come late.
    Slow(Slow),
    /// Messages are lost or held up no more.
    Heal(u64),
    /// The store has trouble, or none.
    Store(StoreTrouble),
    /// Streams have trouble, or none.
    Streams(StreamTrouble),
    /// The operators ask for a role, of whoever has the authority.
    ChangeRole(usize, EngineRole),
}

impl Action {
    /// Its kind, for counts; `None` for what only mends.
    pub fn kind(&self) -> Option<&'static str> {
        match self {
            Self::KillNode(_) => Some("node_killed"),
            Self::PauseNode(_) => Some("node_paused"),
            Self::ReplaceNode(_) => Some("node_replaced"),
            Self::KillEngine(_) => Some("engine_killed"),
            Self::PauseEngine(_) => Some("engine_paused"),
            Self::EngineLeaves(_) => Some("engine_leaves"),
            Self::ListEngineLeaving(_) => Some("engine_listed_leaving"),
            Self::CutStreams(_) => Some("streams_cut"),
            Self::Cut(_) => Some("network_cut"),
            Self::Slow(_) => Some("network_slow"),
            Self::Store(trouble) if trouble.down => Some("store_down"),
            Self::Store(trouble) if trouble.lose_answers_percent > 0 => Some("store_answers_lost"),
            Self::Store(trouble) if !trouble.slow.is_zero() => Some("store_slow"),
            Self::Streams(trouble) if *trouble != StreamTrouble::default() => {
                Some("streams_garbled")
            }
            Self::ChangeRole(..) => Some("role_change"),
            _ => None,
        }
    }

    /// Whether it is something that operators plan.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::ReplaceNode(_)
                | Self::EngineLeaves(_)
                | Self::ListEngineLeaving(_)
                | Self::ChangeRole(..)
                | Self::AddEngine(..)
                | Self::StartNode(_)
        )
    }
}

/// An action with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// From the start of the run.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// What a plan may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultMix {
    /// Only what operators plan: role changes, departures, replacements.
    PlannedOnly,
    /// Everything.
    All,
}

/// Bounds of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanBounds {
    /// Nodes in the world.
    pub nodes: usize,
    /// Engines in the world.
    pub engines: usize,
    /// No fault before.
    pub from: Duration,
    /// No fault after; all is mended some time later.
    pub until: Duration,
    /// Number of faults.
    pub faults: usize,
}

/// Makes a plan. Each fault is mended after a time of its own, so several overlap.
pub fn make_plan(
    rng: &mut impl Rng,
    bounds: PlanBounds,
    mix: FaultMix,
    zones: &[ZoneId],
    zone_of_engine: &[ZoneId],
) -> Vec<Planned> {
    let mut plan = Vec::new();
    if mix == FaultMix::All {
        lose_a_holder(rng, bounds, &mut plan);
    }
    for number in 0..bounds.faults {
        let span_ms = (bounds.until - bounds.from).as_millis() as u64;
        let at = bounds.from + Duration::from_millis(rng.random_range(0..span_ms));
        let lasts = Duration::from_millis(rng.random_range(200..9_000));
        let pairs = match mix {
            FaultMix::PlannedOnly => planned_fault(rng, bounds, zone_of_engine),
            FaultMix::All => any_fault(rng, bounds, number as u64, zones, zone_of_engine),
        };
        plan.push(Planned { at, action: pairs.0 });
        if let Some(mend) = pairs.1 {
            plan.push(Planned { at: at + lasts, action: mend });
        }
    }
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// A node that may have the authority is cut off from the store, so that it loses its lease,
/// while its orders are on a slow way: they arrive when another holds the lease.
fn lose_a_holder(rng: &mut impl Rng, bounds: PlanBounds, plan: &mut Vec<Planned>) {
    /// Numbers of cuts that no other fault uses.
    const FIRST_ID: u64 = 1 << 32;
    const LASTS: Duration = Duration::from_secs(11);
    // Nodes come zone by zone, and the first of a zone is the first to take the lease.
    let node = rng.random_range(0..bounds.nodes);
    let span_ms = (bounds.until - bounds.from).as_millis() as u64;
    let at = bounds.from + Duration::from_millis(rng.random_range(0..span_ms));
    let added = Duration::from_millis(rng.random_range(6_500..9_500));
    let from = Endpoint::Node(node);
    let slow = Slow { id: FIRST_ID, from: from.clone(), only_to_engines: true, added };
    let cut = Cut { id: FIRST_ID + 1, from: Group::One(from), to: Group::One(Endpoint::Store) };
    plan.push(Planned { at, action: Action::Slow(slow) });
    plan.push(Planned { at, action: Action::Cut(cut) });
    for engine in 0..bounds.engines {
        let wait = Duration::from_millis(rng.random_range(0..4_000));
        plan.push(Planned { at: at + wait, action: Action::ChangeRole(engine, pick_role(rng)) });
    }
    plan.push(Planned { at: at + LASTS, action: Action::Heal(FIRST_ID) });
    plan.push(Planned { at: at + LASTS, action: Action::Heal(FIRST_ID + 1) });
}

fn pick_role(rng: &mut impl Rng) -> EngineRole {
    const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
    *ROLES.choose(rng).unwrap_or(&EngineRole::Mixed)
}

fn planned_fault(
    rng: &mut impl Rng,
    bounds: PlanBounds,
    zone_of_engine: &[ZoneId],
) -> (Action, Option<Action>) {
    let engine = rng.random_range(0..bounds.engines);
    match rng.random_range(0..10) {
        0..5 => (Action::ChangeRole(engine, pick_role(rng)), None),
        5..8 => (Action::ReplaceNode(rng.random_range(0..bounds.nodes)), None),
        8 => {
            let zone = zone_of_engine[engine].clone();
            (Action::EngineLeaves(engine), Some(Action::AddEngine(zone, EngineRole::Mixed)))
        }
        _ => {
            let zone = zone_of_engine[engine].clone();
            (Action::ListEngineLeaving(engine), Some(Action::AddEngine(zone, EngineRole::Mixed)))
        }
    }
}

fn any_fault(
    rng: &mut impl Rng,
    bounds: PlanBounds,
    number: u64,
    zones: &[ZoneId],
    zone_of_engine: &[ZoneId],
) -> (Action, Option<Action>) {
    let node = rng.random_range(0..bounds.nodes);
    let engine = rng.random_range(0..bounds.engines);
    let kind = rng.random_range(0..100);
    match kind {
        0..12 => (Action::KillNode(node), Some(Action::StartNode(node))),
        12..26 => (Action::PauseNode(node), Some(Action::WakeNode(node))),
        26..32 => {
            let zone = zone_of_engine[engine].clone();
            (Action::KillEngine(engine), Some(Action::AddEngine(zone, EngineRole::Mixed)))
        }
        32..40 => (Action::PauseEngine(engine), Some(Action::WakeEngine(engine))),
        40..46 => (Action::CutStreams(engine), None),
        46..62 => {
            let cut = pick_cut(rng, node, engine, number, zones);
            (Action::Cut(cut), Some(Action::Heal(number)))
        }
        62..70 => {
            let down = StoreTrouble { down: true, ..StoreTrouble::default() };
            (Action::Store(down), Some(Action::Store(StoreTrouble::default())))
        }
        70..76 => {
            let lossy = StoreTrouble { lose_answers_percent: 50, ..StoreTrouble::default() };
            (Action::Store(lossy), Some(Action::Store(StoreTrouble::default())))
        }
        76..82 => {
            let slow = StoreTrouble { slow: Duration::from_secs(3), ..StoreTrouble::default() };
            (Action::Store(slow), Some(Action::Store(StoreTrouble::default())))
        }
        82..85 => {
            let added = Duration::from_millis(rng.random_range(500..9_000));
            let from = Endpoint::Node(node);
            let slow = Slow { id: number, from, only_to_engines: false, added };
            (Action::Slow(slow), Some(Action::Heal(number)))
        }
        85..88 => {
            let garbled =
                StreamTrouble { doubled_permille: 30, crossed_permille: 10, broken_permille: 10 };
            (Action::Streams(garbled), Some(Action::Streams(StreamTrouble::default())))
        }
        _ => planned_fault(rng, bounds, zone_of_engine),
    }
}

fn pick_cut(rng: &mut impl Rng, node: usize, engine: usize, id: u64, zones: &[ZoneId]) -> Cut {
    let node = Group::One(Endpoint::Node(node));
    let engine = Group::One(Endpoint::Engine(engine));
    let zone = zones.choose(rng).cloned().map_or(Group::All, Group::Zone);
    let store = Group::One(Endpoint::Store);
    let (from, to) = match rng.random_range(0..8) {
        0 => (node, Group::All),
        1 => (Group::All, node),
        2 => (zone, Group::All),
        3 => (Group::All, zone),
        4 => (node, store),
        5 => (store, node),
        6 => (node, engine),
        _ => (engine, node),
    };
    Cut { id, from, to }
}

/// Does an action.
pub fn perform(world: &mut World, action: Action) {
    if let Some(kind) = action.kind() {
        let now = world.now;
        world.history.note(now, Event::Fault { kind });
    }
    match action {
        Action::KillNode(place) => world.kill_node(place),
        Action::StartNode(place) => {
            if world.nodes[place].node.is_none() {
                world.start_node(place);
            }
        }
        Action::PauseNode(place) => world.nodes[place].paused = true,
        Action::WakeNode(place) => world.wake_node(place),
        Action::ReplaceNode(place) => {
            world.leave_node(place);
            // Longer than any stream of a run.
            world.add_fault(Duration::from_secs(12), Action::StartNode(place));
        }
        Action::KillEngine(place) => world.kill_engine(place),
        Action::AddEngine(zone, role) => {
            let number = world.engines.len();
            let name = EngineId::new(format!("{zone}/engine-{number:02}"));
            world.add_engine(name, zone, role);
        }
        Action::PauseEngine(place) => world.engines[place].paused = true,
        Action::WakeEngine(place) => world.wake_engine(place),
        Action::EngineLeaves(place) => world.leave_engine(place, false),
        Action::ListEngineLeaving(place) => world.leave_engine(place, true),
        Action::CutStreams(place) => world.cut_streams(place),
        Action::Cut(cut) => world.network.cut(cut),
        Action::Slow(slow) => world.network.slow_down(slow),
        Action::Heal(id) => world.network.heal(id),
        Action::Store(trouble) => world.store_trouble = trouble,
        Action::Streams(trouble) => world.stream_trouble = trouble,
        Action::ChangeRole(place, role) => change_role(world, place, role),
    }
}

/// Asks every node of the engine's zone; those without the authority refuse.
fn change_role(world: &mut World, place: usize, role: EngineRole) {
    use pitchstall_protocol::engine::OrderKind;
    use pitchstall_protocol::operator::EngineChangeRequest;
    use pitchstall_runtime::{Input, OperatorCall, OperatorRequest};
    let engine = world.engines[place].model.engine().clone();
    let zone = world.engines[place].zone.clone();
    let nodes: Vec<usize> =
        (0..world.nodes.len()).filter(|node| world.nodes[*node].zone == zone).collect();
    for node in nodes {
        let change = OrderKind::SetRole { role };
        let request = EngineChangeRequest { engine: engine.clone(), change };
        let request = OperatorRequest::ChangeEngine(request);
        world.feed(node, Input::Operator { call: OperatorCall(0), request });
    }
}
