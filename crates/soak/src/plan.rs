//! The faults of a seed: what strikes, where, when, for how long.

use crate::proxy::LinkMode;
use pitchstall_platform_standins::store::StoreMode;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Something that is done to the system from outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A node's process is killed and started again after the time.
    Kill {
        /// The node.
        node: usize,
    },
    /// Many processes are killed at once.
    KillAll,
    /// A node's process is paused for the time.
    Pause {
        /// The node.
        node: usize,
    },
    /// A node is told to stop, as planned, and started again.
    Stop {
        /// The node.
        node: usize,
    },
    /// A node's link to the store is faulty for the time.
    StoreLink {
        /// The node.
        node: usize,
        /// How.
        mode: LinkMode,
    },
    /// A node's link to the interface for duties is faulty for the time.
    CloudLink {
        /// The node.
        node: usize,
        /// How.
        mode: LinkMode,
    },
    /// The link to a runner is faulty for the time.
    RunnerLink {
        /// Which of the runners that are listed then, modulo their number.
        runner: usize,
        /// How.
        mode: LinkMode,
    },
    /// The store misbehaves for the time.
    StoreFault {
        /// How.
        mode: StoreMode,
    },
    /// The store forgets its history.
    ForgetHistory,
    /// The store goes away for the time and comes back from an older copy. What was written meanwhile by the operator and
    /// the runners is written again.
    RestoreBackup {
        /// How old the copy is when the store goes away.
        backup_age: Duration,
    },
    /// A runner is replaced: the new one starts first, the old one drains.
    ReplaceRunner {
        /// Which of the runners that are listed then, modulo their number.
        runner: usize,
    },
    /// The operators change the configuration.
    Configure,
    /// A node is told that its settings file has changed.
    ReloadSettings {
        /// The node.
        node: usize,
    },
    /// Two regions are cut off from each other for the time.
    CutRegions,
    /// A runner ends by itself, with all that it has under way.
    CrashRunner {
        /// Which of the runners that are listed then, modulo their number.
        runner: usize,
    },
}

/// An action, its time since the start of the load, and how long it lasts.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// For how long.
    pub duration: Duration,
    /// What.
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
/// Kinds of actions that are drawn from.
const ACTION_CHOICES: u32 = 12;
/// Time between two actions, milliseconds.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 200..1_800;
/// Time between two actions of a series, milliseconds.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 20..250;
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..4_000;
/// Every so many seeds nothing unplanned happens, so that rules on planned work are tried.
const PLANNED_ONLY_EVERY: u64 = 3;
/// First seed with regions and limits.
const FIRST_SEED_WITH_REGIONS_AND_LIMITS: u64 = 1_000;
/// First seed with runners that start again under their names, and with large configurations.
const FIRST_SEED_WITH_INCARNATIONS: u64 = 2_000;
/// First seed with runners that say of themselves that they leave, long before the store hears of it, or that
/// they want rest.
const FIRST_SEED_WITH_SELF_REPORTS: u64 = 3_000;
/// First seed with runners that name for a time how many requests a second they take from all nodes together.
const FIRST_SEED_WITH_REPORTED_LIMITS: u64 = 6_000;
/// First seed with a store that comes back from older copies.
const FIRST_SEED_WITH_RESTORES: u64 = 7_000;
/// Time for which regions are cut off from each other.
const REGION_CUT_DURATION: Duration = Duration::from_secs(10);
/// Quiet time at the end, in which everything has to recover.
pub const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// The steps of a seed, in order of time.
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
    if has_isolated_restore(seed) && has_faults(seed) {
        let restore = isolated_restore(length);
        steps.retain(|step| !overlaps_isolated_restore(step, &restore));
        steps.extend(planned_steps_after(&restore));
        steps.push(restore);
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// The store comes back from an older copy once in the first half, and twice in quick succession in the second. They are
/// drawn apart, so that a seed keeps its other steps.
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

/// Whether the store of a seed comes back from older copies.
pub fn has_restores(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_RESTORES
}

/// Whether after one return of the store nothing is disturbed until nodes are bound again by rules with a time, and
/// neither answers of runners nor a cut tell or excuse anything.
pub fn has_isolated_restore(seed: u64) -> bool {
    has_restores(seed) && !seed.is_multiple_of(2)
}

/// Time after the beginning of the judged return until which nothing else is disturbed.
const ISOLATION_TIME: Duration = Duration::from_secs(12);
/// Time after it at which planned work begins: the store is back, and what it had lost was written again.
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

/// Planned work of which nodes have to hear from the store alone.
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

/// Whether the nodes of a seed lie in two regions. Seeds below the first are played as they always
/// were.
pub fn has_regions(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_REGIONS_AND_LIMITS && seed % 4 != 3 && !has_isolated_restore(seed)
}

/// Whether some tenants of a seed have limits.
pub fn has_limits(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_REGIONS_AND_LIMITS && seed % 4 != 2
}

/// Whether runners of a seed start again under their names, and tell when they started.
pub fn has_incarnations(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_INCARNATIONS
}

/// Whether a seed's configurations are large, and its nodes read them over narrow links.
pub fn has_large_configurations(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_INCARNATIONS && seed.is_multiple_of(2)
}

/// Whether runners of a seed say in their answers that they leave or want rest.
pub fn has_self_reports(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_SELF_REPORTS && !has_isolated_restore(seed)
}

/// Whether runners of a seed name for a time what they take from all nodes together.
pub fn has_reported_limits(seed: u64) -> bool {
    (FIRST_SEED_WITH_REPORTED_LIMITS..FIRST_SEED_WITH_RESTORES).contains(&seed)
}

/// The regions are cut off from each other in the middle, long enough for their nodes to be bound
/// again by rules with a time.
fn region_cut_step(length: Duration) -> Step {
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    Step {
        at: faults_end / 3,
        duration: REGION_CUT_DURATION.min(faults_end / 2),
        action: Action::CutRegions,
    }
}

/// Whether a step would disturb nodes while the regions are cut off, so that what is seen then
/// would prove nothing.
fn overlaps_region_cut(step: &Step, cut: &Step) -> bool {
    const MARGIN: Duration = Duration::from_secs(2);
    step.at < cut.at + cut.duration && step.at + step.duration + MARGIN > cut.at
}

/// Nodes that keep limits are killed, paused and cut off from the store: any node may be one. They
/// are drawn apart, so that a seed keeps its other steps.
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

/// Whether a seed has unplanned faults.
fn has_faults(seed: u64) -> bool {
    !seed.is_multiple_of(PLANNED_ONLY_EVERY)
}

/// Signals, restarts and changes in quick succession, so that they overlap: one series in the first
/// half, one in the second. They are drawn apart, so that older seeds keep their other steps.
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

/// Faults on the way to the interface for duties. They are drawn apart, so that older seeds keep
/// their other steps.
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
    let is_planned_only = seed.is_multiple_of(PLANNED_ONLY_EVERY);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(STEP_INTERVAL_MS));
        if at + RECOVERY_TIME >= length {
            return steps;
        }
        let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let action = if is_planned_only {
            planned_action(&mut rng, nodes)
        } else {
            random_action(&mut rng, nodes)
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
