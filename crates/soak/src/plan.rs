//! The schedule of faults of a seed: which faults occur, where, when and for how long.

use crate::process_load::process_steps;
use crate::proxy::LinkMode;
use crate::releases::release_steps;
use crate::seed_features::{
    has_faults, has_isolated_restore, has_limits, has_node_link_faults, has_regions, has_releases,
    has_restores, has_runner_processes, has_stream_pauses,
};
use pitchstall_platform_standins::store::StoreMode;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// An intervention from outside the system.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Kills a node's process and restarts it after the step's duration.
    Kill {
        /// Index of the node.
        node: usize,
    },
    /// Kills all nodes at once and restarts them after the step's duration.
    KillAll,
    /// Kills several nodes at once and restarts them after the step's duration.
    KillSeveral {
        /// Indexes of the nodes, in ascending order.
        nodes: Vec<usize>,
    },
    /// Shuts the nodes down gracefully one after the other and starts each one again, with the step's duration between two
    /// nodes.
    RestartAll,
    /// Starts and registers runner processes of a software version.
    JoinVersion {
        /// Index of the version.
        version: usize,
    },
    /// Removes the registry entries of all runner processes of a software version, which serve on for a time.
    LeaveVersion {
        /// Index of the version.
        version: usize,
    },
    /// Pauses a node's process for the step's duration.
    Pause {
        /// Index of the node.
        node: usize,
    },
    /// Shuts a node down gracefully, then restarts it.
    Stop {
        /// Index of the node.
        node: usize,
    },
    /// Makes a node's link to the store faulty for the step's duration.
    StoreLink {
        /// Index of the node.
        node: usize,
        /// The behaviour while the fault lasts.
        mode: LinkMode,
    },
    /// Makes a node's link to the cloud interface faulty for the step's duration.
    CloudLink {
        /// Index of the node.
        node: usize,
        /// The behaviour while the fault lasts.
        mode: LinkMode,
    },
    /// Makes the link to a runner faulty for the step's duration.
    RunnerLink {
        /// Index into the runners registered at that time, modulo their number.
        runner: usize,
        /// How.
        mode: LinkMode,
    },
    /// Makes the store faulty for the step's duration.
    StoreFault {
        /// The behaviour while the fault lasts.
        mode: StoreMode,
    },
    /// Discards the store's history of changes.
    ForgetHistory,
    /// Makes the store unavailable for the step's duration, then restores it from an older backup.
    /// The operator and the runners write their data again after the restore.
    RestoreBackup {
        /// Age of the backup when the store becomes unavailable.
        backup_age: Duration,
    },
    /// Replaces a runner: the new one starts first, then the old one drains.
    ReplaceRunner {
        /// Index into the runners registered at that time, modulo their number.
        runner: usize,
    },
    /// Writes a new version of the configuration.
    Configure,
    /// Tells a node that its settings file has changed.
    ReloadSettings {
        /// Index of the node.
        node: usize,
    },
    /// Cuts the two regions off from each other for the step's duration.
    CutRegions,
    /// Makes the links of some nodes to all runners faulty for the step's duration. Clients, the store and the other nodes
    /// still reach these nodes.
    NodeLinks {
        /// Indexes of the nodes.
        nodes: Vec<usize>,
        /// The behaviour while the fault lasts.
        mode: LinkMode,
        /// Whether the links work again every second second.
        is_flapping: bool,
    },
    /// Crashes a runner with all requests in progress on it.
    CrashRunner {
        /// Index into the runners registered at that time, modulo their number.
        runner: usize,
    },
    /// Kills several runner processes at once; after they have been stopped for the step's duration, if `is_stopped_first`.
    EndRunnerProcesses {
        /// Indexes into the processes that serve at that time, modulo their number.
        processes: Vec<usize>,
        /// Whether SIGSTOP precedes SIGKILL.
        is_stopped_first: bool,
    },
}

/// An action with its start and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Start of the action, relative to the start of the load.
    pub at: Duration,
    /// Duration of the action; actions without an end ignore it.
    pub duration: Duration,
    /// The action to perform.
    pub action: Action,
}

const LINK_MODES: [LinkMode; 5] = [
    LinkMode::Slow,
    LinkMode::Resetting,
    LinkMode::CutToServer,
    LinkMode::CutToClient,
    LinkMode::Silent,
];
const STORE_MODES: [StoreMode; 3] =
    [StoreMode::Silent, StoreMode::Unavailable, StoreMode::Throttling];
/// Size of the range from which an action is drawn; some actions have two numbers in it.
const ACTION_CHOICES: u32 = 12;
/// Time between two steps, milliseconds.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 200..1_800;
/// Time between two steps of a series, milliseconds.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 20..250;
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..4_000;
/// Maximum time for which the regions are cut off from each other.
const REGION_CUT_DURATION: Duration = Duration::from_secs(10);
/// Time without faults at the end of a run, in which the system has to recover.
pub const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// The steps of a seed in order of time, for a load of the given length. The same arguments give
/// the same steps.
pub fn steps(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    let mut steps = main_steps(seed, length, nodes);
    steps.extend(series_steps(seed, length, nodes));
    if has_faults(seed) {
        steps.extend(cloud_steps(seed, length, nodes));
    }
    if has_regions(seed) && has_faults(seed) {
        let cut = region_cut_step(length);
        steps.retain(|step| !overlaps_region_cut(step, &cut));
        steps.push(cut);
    }
    if has_limits(seed) && has_faults(seed) {
        steps.extend(limit_steps(seed, length, nodes));
    }
    if has_restores(seed) && has_faults(seed) {
        steps.extend(restore_steps(seed, length));
    }
    if has_stream_pauses(seed) {
        steps.extend(reload_steps(seed, length, nodes));
    }
    if has_node_link_faults(seed) {
        let [isolated, overlapping] = node_link_steps(seed, length, nodes);
        steps.retain(|step| !overlaps_region_cut(step, &isolated) || is_reload(step));
        steps.extend([isolated, overlapping]);
    }
    if has_runner_processes(seed) {
        steps.extend(process_steps(seed, length));
    }
    if has_releases(seed) {
        steps.extend(release_steps(seed, length, nodes, has_faults(seed)));
    }
    if has_isolated_restore(seed) && has_faults(seed) {
        let restore = isolated_restore(length);
        steps.retain(|step| !overlaps_isolated_restore(step, &restore));
        steps.extend(planned_steps_after(&restore));
        steps.push(restore);
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Restores the store from an older backup once in the first half, and twice in quick succession in
/// the second half. A separate random generator draws these steps, so that the other steps of a
/// seed stay the same.
fn restore_steps(seed: u64, length: Duration) -> Vec<Step> {
    const SEED_SALT: u64 = 0x72_6574_7572;
    const BACKUP_AGE_MS: std::ops::Range<u64> = 300..3_000;
    const OUTAGE_MS: std::ops::Range<u64> = 50..2_000;
    const SECOND_RESTORE_DELAY: Duration = Duration::from_secs(3);
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    let mut step = |at: Duration| {
        let backup_age = Duration::from_millis(rng.random_range(BACKUP_AGE_MS));
        let duration = Duration::from_millis(rng.random_range(OUTAGE_MS));
        Step { at, duration, action: Action::RestoreBackup { backup_age } }
    };
    vec![step(faults_end / 5), step(faults_end / 2), step(faults_end / 2 + SECOND_RESTORE_DELAY)]
}

/// Reloads of all nodes within a short time, again and again. A separate random generator draws these steps, so that the
/// other steps of a seed stay the same.
fn reload_steps(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    const SEED_SALT: u64 = 0x72_656c_6f61;
    const INTERVAL_MS: std::ops::Range<u64> = 500..1_500;
    const SPREAD_MS: std::ops::Range<u64> = 0..300;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    while at < faults_end {
        at += Duration::from_millis(rng.random_range(INTERVAL_MS));
        steps.extend((0..nodes).map(|node| Step {
            at: at + Duration::from_millis(rng.random_range(SPREAD_MS)),
            duration: Duration::ZERO,
            action: Action::ReloadSettings { node },
        }));
    }
    steps
}

fn is_reload(step: &Step) -> bool {
    matches!(step.action, Action::ReloadSettings { .. })
}

/// Some nodes lose their links to all runners: once long enough that the time bounds apply to them and beside reloads alone,
/// and once beside other faults. A separate random generator draws these steps, so that the other steps of a seed stay the
/// same.
fn node_link_steps(seed: u64, length: Duration, nodes: usize) -> [Step; 2] {
    const SEED_SALT: u64 = 0x6c69_6e6b;
    const ISOLATED_DURATION: Duration = Duration::from_secs(8);
    const OVERLAPPING_DURATION: Duration = Duration::from_secs(4);
    const MODES: [LinkMode; 5] = [
        LinkMode::Silent,
        LinkMode::Resetting,
        LinkMode::ResettingNew,
        LinkMode::CutToServer,
        LinkMode::CutToClient,
    ];
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    let mut step = |at: Duration, duration: Duration| Step {
        at,
        duration: duration.min(faults_end / 2),
        action: Action::NodeLinks {
            nodes: cut_nodes(&mut rng, nodes),
            mode: *MODES.choose(&mut rng).unwrap_or(&LinkMode::Silent),
            is_flapping: rng.random_ratio(1, 4),
        },
    };
    [step(faults_end / 5, ISOLATED_DURATION), step(faults_end / 4 * 3, OVERLAPPING_DURATION)]
}

/// One node, the nodes of a zone, or all nodes but one.
fn cut_nodes(rng: &mut impl Rng, nodes: usize) -> Vec<usize> {
    let chosen = rng.random_range(0..nodes);
    match rng.random_range(0..3) {
        0 => vec![chosen],
        1 => (0..nodes).filter(|node| node % 2 == chosen % 2).collect(),
        _ => (0..nodes).filter(|node| *node != chosen).collect(),
    }
}

/// Time from the start of the isolated restore until other faults may start.
const ISOLATION_TIME: Duration = Duration::from_secs(12);
/// Time from the start of the isolated restore until planned work starts. By then the store is back
/// and the lost data has been written again.
const PLANNED_WORK_DELAY: Duration = Duration::from_millis(3_200);

fn isolated_restore(length: Duration) -> Step {
    let backup_age = Duration::from_secs(1);
    let duration = Duration::from_millis(500);
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    Step { at: faults_end / 2, duration, action: Action::RestoreBackup { backup_age } }
}

fn overlaps_isolated_restore(step: &Step, restore: &Step) -> bool {
    step.at < restore.at + ISOLATION_TIME
        && step.at + step.duration + PLANNED_WORK_DELAY > restore.at
}

/// Planned work that nodes can learn of only from the store.
fn planned_steps_after(restore: &Step) -> [Step; 4] {
    let planned = [
        Action::Configure,
        Action::ReplaceRunner { runner: 0 },
        Action::ReplaceRunner { runner: 1 },
        Action::ReplaceRunner { runner: 3 },
    ];
    planned.map(|action| Step {
        at: restore.at + PLANNED_WORK_DELAY,
        duration: Duration::ZERO,
        action,
    })
}

/// Cuts the regions off from each other after a third of the load, for long enough that the time
/// bounds apply to their nodes again.
fn region_cut_step(length: Duration) -> Step {
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    Step {
        at: faults_end / 3,
        duration: REGION_CUT_DURATION.min(faults_end / 2),
        action: Action::CutRegions,
    }
}

/// Whether a step would disturb nodes while the regions are cut off, which would suspend the check
/// of that period.
fn overlaps_region_cut(step: &Step, cut: &Step) -> bool {
    const MARGIN: Duration = Duration::from_secs(2);
    step.at < cut.at + cut.duration && step.at + step.duration + MARGIN > cut.at
}

/// Kills, pauses and cuts off from the store nodes that may be quota keepers; any node may be one.
/// A separate random generator draws these steps, so that the other steps of a seed stay the same.
fn limit_steps(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    const SEED_SALT: u64 = 0x6c_696d_6974;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    let mut step = |part: u32, action: fn(usize) -> Action| {
        let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        Step { at: faults_end / 8 * part, duration, action: action(rng.random_range(0..nodes)) }
    };
    vec![
        step(1, |node| Action::Kill { node }),
        step(6, |node| Action::Pause { node }),
        step(7, |node| Action::StoreLink { node, mode: LinkMode::Silent }),
    ]
}

/// Signals, restarts and changes in quick succession, so that they overlap: one series in the first
/// half, one in the second. A separate random generator draws these steps, so that the other steps
/// of older seeds stay the same.
fn series_steps(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    const SEED_SALT: u64 = 0x73_6572_6965;
    const STEPS_PER_SERIES: u32 = 8;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    let mut steps = Vec::new();
    for part in [1_u32, 3] {
        let mut at = faults_end / 4 * part;
        for _ in 0..STEPS_PER_SERIES {
            at += Duration::from_millis(rng.random_range(SERIES_INTERVAL_MS));
            let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
            let action = series_action(&mut rng, has_faults(seed), nodes);
            let duration = duration.min(length.saturating_sub(at + RECOVERY_TIME));
            steps.push(Step { at, duration, action });
        }
    }
    steps
}

fn series_action(rng: &mut impl Rng, with_faults: bool, nodes: usize) -> Action {
    let node = rng.random_range(0..nodes);
    let runner = rng.random_range(0..1_000);
    match rng.random_range(0..if with_faults { 7 } else { 4 }) {
        0 => Action::Stop { node },
        1 => Action::ReloadSettings { node },
        2 => Action::Configure,
        3 => Action::ReplaceRunner { runner },
        4 => Action::Kill { node },
        5 => Action::Pause { node },
        _ => Action::CrashRunner { runner },
    }
}

/// Faults of nodes' links to the cloud interface. A separate random generator draws these steps, so
/// that the other steps of older seeds stay the same.
fn cloud_steps(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    const SEED_SALT: u64 = 0x63_6c6f_7564;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    let duration = Duration::from_millis(FAULT_DURATION_MS.end);
    let at = |part: u32| faults_end / 4 * part;
    let mode = |rng: &mut ChaCha8Rng| *LINK_MODES.choose(rng).unwrap_or(&LinkMode::Silent);
    let step = |part: u32| {
        let (node, mode) = (rng.random_range(0..nodes), mode(&mut rng));
        Step { at: at(part), duration, action: Action::CloudLink { node, mode } }
    };
    (1..4).map(step).collect()
}

fn main_steps(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let has_faults = has_faults(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(STEP_INTERVAL_MS));
        if at + RECOVERY_TIME >= length {
            return steps;
        }
        let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let action = match has_faults {
            true => random_action(&mut rng, nodes),
            false => planned_action(&mut rng, nodes),
        };
        steps.push(Step {
            at,
            duration: duration.min(length.saturating_sub(at + RECOVERY_TIME)),
            action,
        });
    }
}

fn planned_action(rng: &mut impl Rng, nodes: usize) -> Action {
    match rng.random_range(0..3) {
        0 => Action::Stop { node: rng.random_range(0..nodes) },
        1 => Action::ReplaceRunner { runner: rng.random_range(0..1_000) },
        _ => Action::Configure,
    }
}

fn random_action(rng: &mut impl Rng, nodes: usize) -> Action {
    let node = rng.random_range(0..nodes);
    let runner = rng.random_range(0..1_000);
    let link_mode = *LINK_MODES.choose(rng).unwrap_or(&LinkMode::Silent);
    match rng.random_range(0..ACTION_CHOICES) {
        0 => Action::Kill { node },
        1 => Action::KillAll,
        2 => Action::Pause { node },
        3 => Action::Stop { node },
        4 | 5 => Action::StoreLink { node, mode: link_mode },
        6 | 7 => Action::RunnerLink { runner, mode: link_mode },
        8 => Action::StoreFault { mode: *STORE_MODES.choose(rng).unwrap_or(&StoreMode::Silent) },
        9 => Action::ForgetHistory,
        10 => Action::ReplaceRunner { runner },
        _ => Action::Configure,
    }
}
