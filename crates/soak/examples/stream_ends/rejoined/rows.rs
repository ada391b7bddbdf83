//! The list of scenarios.

use super::clients::{Clients, Takeup};
use super::steps::Step;
use super::Rejoined;
use crate::fleet::FleetSize;
use pitchstall_platform_standins::store::StoreMode;
use std::ops::Range;
use std::time::Duration;
use Step::{
    BackUp, ChangeVersion, Continue, Join, Kill, Leave, Pause, Restart, Restore, Start, Store, Wait,
};

/// Software version of the runners that leave, but for scenarios that say otherwise.
const OLD: &str = "v1";
const NEW: &str = "v2";
const TWO_VERSIONS: &[&str] = &[OLD, OLD, NEW, NEW];
const THREE_OF_EACH: &[&str] = &[OLD, OLD, OLD, NEW, NEW, NEW];
const THREE_OLD: &[&str] = &[OLD; 3];
/// Number of nodes of the larger scenarios.
const NODES: usize = 7;
/// Time from a version's end until all nodes are killed.
const SHORT_WAIT: Duration = Duration::from_millis(800);
const ONE_SECOND: Duration = Duration::from_secs(1);
/// A client's absence that is a little shorter than the time for which streams are taken up.
const LONG_ABSENCE: Duration = Duration::from_secs(50);
/// Time from the return of the nodes after which takeups have to succeed.
const RECOVERY: Duration = Duration::from_secs(3);
/// Minimum share of takeups that succeed after that time where one version has served all along, percent.
const MIN_TAKEUPS_PERCENT: usize = 95;

/// Clients that have left and come back after all steps.
const COME_BACK: Clients =
    Clients::Leave { takeup: Takeup::AfterAllSteps, names_origin: true, begin_nodes: NODES };

/// All scenarios of this module.
pub fn scenarios() -> Vec<Rejoined> {
    let mut all = killed_together();
    all.extend(left_some_seconds_before());
    all.extend(rolling_restarts());
    all.extend(one_version());
    all.extend(versions_that_join());
    all.extend(versions_that_return());
    all.extend(paused_nodes());
    all.extend(store_faults());
    all.extend(unnamed_origins());
    all
}

/// A scenario of clients that have left their streams.
fn row(
    name: impl Into<String>,
    versions: &'static [&'static str],
    before: &[Step],
    steps: &[Step],
) -> Rejoined {
    Rejoined {
        name: name.into(),
        size: FleetSize { nodes: 7, versions, has_eras: false },
        clients: COME_BACK,
        before: before.to_vec(),
        steps: steps.to_vec(),
        min_whole_percent: 0,
    }
}

fn kill_all() -> Step {
    Kill(0..NODES)
}

/// Nodes that are killed together beside open streams of two versions.
fn killed_together() -> Vec<Rejoined> {
    const DOWN: [Duration; 2] = [Duration::ZERO, Duration::from_millis(600)];
    const KILLED: [(u8, Range<usize>, &str); 5] = [
        (3, 0..3, "All"),
        (7, 0..7, "All"),
        (7, 0..6, "AllButOne"),
        (7, 0..4, "Half"),
        (3, 0..0, "Nobody"),
    ];
    let mut scenarios = Vec::new();
    for old_version in ["Stays", "LeavesBeforeKill", "LeavesWhileNodesAreDown"] {
        for (nodes, killed, killed_name) in KILLED {
            for down in DOWN {
                let kill = Kill(killed.clone());
                let mut steps = match old_version {
                    "LeavesBeforeKill" => vec![Leave(OLD), kill],
                    "LeavesWhileNodesAreDown" => vec![kill, Leave(OLD)],
                    _ => vec![kill],
                };
                steps.extend([Wait(down), Start]);
                let name =
                    format!("killed-{killed_name}-of-{nodes} old-{old_version} down-{down:?}");
                let size = FleetSize { nodes, versions: TWO_VERSIONS, has_eras: false };
                let clients = Clients::Stay;
                scenarios.push(Rejoined { size, clients, ..row(name, TWO_VERSIONS, &[], &steps) });
            }
        }
    }
    scenarios
}

/// All nodes are killed some seconds after the last runner of a version.
fn left_some_seconds_before() -> Vec<Rejoined> {
    let scenario = |seconds| {
        let steps = [Leave(OLD), Wait(Duration::from_secs(seconds)), kill_all(), Start];
        row(format!("killed-all, old left {seconds} s before"), THREE_OF_EACH, &[], &steps)
    };
    let long_absence = row(
        "killed-all, old left 0.8 s before, takeups 50 s later",
        THREE_OF_EACH,
        &[],
        &[Leave(OLD), Wait(SHORT_WAIT), kill_all(), Start, Wait(LONG_ABSENCE)],
    );
    vec![scenario(2), scenario(6), long_absence]
}

/// All nodes are restarted one after the other; some clients come back meanwhile.
fn rolling_restarts() -> Vec<Rejoined> {
    const GAPS_MS: [u64; 4] = [200, 600, 1_200, 2_500];
    let mut scenarios = Vec::new();
    for (is_left, old_version) in [(false, "stays"), (true, "left before")] {
        for gap in GAPS_MS.map(Duration::from_millis) {
            let name = format!("rolling-restart gap-{gap:?}, old {old_version}, takeups meanwhile");
            let mut steps = Vec::new();
            if is_left {
                steps.extend([Leave(OLD), Wait(SHORT_WAIT)]);
            }
            steps.extend((0..NODES).flat_map(|node| [Restart(node), Wait(gap)]));
            let clients = Clients::Leave {
                takeup: Takeup::DuringSteps,
                names_origin: true,
                begin_nodes: NODES,
            };
            scenarios.push(Rejoined { clients, ..row(name, THREE_OF_EACH, &[], &steps) });
            let name =
                format!("rolling-restart gap-{gap:?}, old {old_version}, takeups at the end");
            scenarios.push(row(name, THREE_OF_EACH, &[], &steps));
        }
    }
    scenarios
}

/// One version serves all along: takeups have to go on.
fn one_version() -> Vec<Rejoined> {
    let steps = [kill_all(), Start, Wait(RECOVERY)];
    let killed = row("one-version killed-all, 3 s later", THREE_OLD, &[], &steps);
    let steps: Vec<Step> = (0..NODES).flat_map(|node| [Restart(node), Wait(SHORT_WAIT)]).collect();
    let restarted = row("one-version rolling-restart", THREE_OLD, &[], &steps);
    let min_whole_percent = MIN_TAKEUPS_PERCENT;
    [killed, restarted].map(|it| Rejoined { min_whole_percent, ..it }).to_vec()
}

/// A second version joins around the time at which all nodes are killed.
fn versions_that_join() -> Vec<Rejoined> {
    vec![
        row("new joins while killed-all", THREE_OLD, &[], &[kill_all(), Join(NEW), Start]),
        row(
            "new joins and old leaves while killed-all",
            THREE_OLD,
            &[],
            &[kill_all(), Join(NEW), Leave(OLD), Start],
        ),
        row(
            "new joins, old leaves, then killed-all",
            THREE_OLD,
            &[],
            &[Join(NEW), Leave(OLD), kill_all(), Start],
        ),
        row(
            "new has just joined, new leaves and killed-all",
            THREE_OLD,
            &[Join(NEW)],
            &[Leave(NEW), kill_all(), Start],
        ),
        row(
            "new has just replaced old, way back and killed-all",
            THREE_OLD,
            &[Join(NEW), Leave(OLD)],
            &[Join(OLD), Leave(NEW), kill_all(), Start],
        ),
        row(
            "new has just joined, old leaves and killed-all",
            THREE_OLD,
            &[Join(NEW)],
            &[Leave(OLD), kill_all(), Start],
        ),
    ]
}

/// A version leaves and returns.
fn versions_that_return() -> Vec<Rejoined> {
    vec![
        row(
            "old leaves, killed-all, old returns",
            THREE_OF_EACH,
            &[],
            &[Leave(OLD), Wait(SHORT_WAIT), kill_all(), Start, Wait(SHORT_WAIT), Join(OLD)],
        ),
        row(
            "old leaves, returns and leaves, killed-all",
            THREE_OF_EACH,
            &[],
            &[
                Leave(OLD),
                Wait(ONE_SECOND),
                Join(OLD),
                Wait(ONE_SECOND),
                Leave(OLD),
                kill_all(),
                Start,
            ],
        ),
        row(
            "old runners return as new, killed-all",
            THREE_OLD,
            &[],
            &[kill_all(), ChangeVersion(OLD, NEW), Start],
        ),
        row(
            "old runners have returned as new, killed-all later",
            THREE_OLD,
            &[],
            &[ChangeVersion(OLD, NEW), Wait(SHORT_WAIT), kill_all(), Start],
        ),
        row(
            "way back to old: new joins and leaves, killed-all",
            THREE_OLD,
            &[Join(NEW), Leave(OLD), Wait(ONE_SECOND)],
            &[Join(OLD), Leave(NEW), Wait(SHORT_WAIT), kill_all(), Start],
        ),
    ]
}

/// The last node is paused while a version joins and leaves, and all others are killed.
fn paused_nodes() -> Vec<Rejoined> {
    const PAUSED: usize = NODES - 1;
    let joins_and_leaves = [Leave(NEW), Wait(SHORT_WAIT), Kill(0..PAUSED), Continue(PAUSED), Start];
    let before = [Pause(PAUSED), Join(NEW), Leave(OLD), Wait(ONE_SECOND), Join(OLD)];
    let awake = [Leave(NEW), Wait(SHORT_WAIT), Continue(PAUSED), Wait(SHORT_WAIT)];
    let clients =
        Clients::Leave { takeup: Takeup::AfterAllSteps, names_origin: true, begin_nodes: PAUSED };
    let scenarios = [
        row("new joins and leaves beside a paused node", THREE_OLD, &before, &awake),
        row(
            "new joins and leaves beside a paused node, others killed",
            THREE_OLD,
            &before,
            &joins_and_leaves,
        ),
        row(
            "old leaves beside a paused node, others killed",
            THREE_OF_EACH,
            &[Pause(PAUSED)],
            &[Leave(OLD), Wait(SHORT_WAIT), Kill(0..PAUSED), Continue(PAUSED), Start],
        ),
    ];
    scenarios.map(|it| Rejoined { clients, ..it }).to_vec()
}

/// The store is away, or comes back older, around the time at which all nodes are killed.
fn store_faults() -> Vec<Rejoined> {
    const SERVING: Step = Store(StoreMode::Serving);
    let mut scenarios = Vec::new();
    for mode in [StoreMode::Unavailable, StoreMode::Silent] {
        let away = Store(mode);
        scenarios.push(row(
            format!("store {mode:?}, old leaves, killed-all, store serves"),
            THREE_OF_EACH,
            &[],
            &[away.clone(), Leave(OLD), kill_all(), Start, Wait(ONE_SECOND), SERVING],
        ));
        scenarios.push(row(
            format!("old leaves, killed-all, store {mode:?} while they start"),
            THREE_OF_EACH,
            &[],
            &[Leave(OLD), Wait(SHORT_WAIT), kill_all(), away, Start, Wait(ONE_SECOND), SERVING],
        ));
    }
    let restored = [
        row(
            "store older by new's life, new leaves, killed-all",
            THREE_OLD,
            &[BackUp, Join(NEW), Leave(OLD), Wait(ONE_SECOND)],
            &[Join(OLD), Leave(NEW), kill_all(), Restore, Start],
        ),
        row(
            "store older before old leaves, killed-all later",
            THREE_OF_EACH,
            &[BackUp],
            &[Restore, Leave(OLD), Wait(SHORT_WAIT), kill_all(), Start],
        ),
        row(
            "old leaves, killed-all, store older after the start",
            THREE_OF_EACH,
            &[BackUp],
            &[Leave(OLD), kill_all(), Start, Wait(ONE_SECOND), Restore],
        ),
    ];
    let with_eras = |it: Rejoined| {
        let size = FleetSize { has_eras: true, ..it.size };
        Rejoined { size, ..it }
    };
    scenarios.extend(restored.map(with_eras));
    scenarios
}

/// Clients that do not name the try that began their stream.
fn unnamed_origins() -> Vec<Rejoined> {
    let scenarios = [
        row("origin not named, old leaves", THREE_OF_EACH, &[], &[Leave(OLD), Wait(SHORT_WAIT)]),
        row(
            "origin not named, old leaves, killed-all",
            THREE_OF_EACH,
            &[],
            &[Leave(OLD), Wait(SHORT_WAIT), kill_all(), Start],
        ),
        Rejoined {
            min_whole_percent: MIN_TAKEUPS_PERCENT,
            ..row(
                "origin not named, one-version killed-all, 3 s later",
                THREE_OLD,
                &[],
                &[kill_all(), Start, Wait(RECOVERY)],
            )
        },
    ];
    let clients =
        Clients::Leave { takeup: Takeup::AfterAllSteps, names_origin: false, begin_nodes: NODES };
    scenarios.map(|it| Rejoined { clients, ..it }).to_vec()
}
