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
    Store {
        /// How.
        mode: StoreMode,
    },
    /// The store forgets its history.
    ForgetHistory,
    /// The store goes away for the time and comes back from an older copy. What was written meanwhile by the operator and
    /// the runners is written again.
    ComeBackOlder {
        /// How old the copy is when the store goes away.
        loses: Duration,
    },
    /// A runner is replaced: the new one starts first, the old one drains.
    Replace {
        /// Which of the runners that are listed then, modulo their number.
        runner: usize,
    },
    /// The operators change the configuration.
    Configure,
    /// A node is told that its settings file has changed.
    Reload {
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
    pub lasts: Duration,
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
const KINDS: u32 = 12;
/// Time between two actions, milliseconds.
const BETWEEN_MS: std::ops::Range<u64> = 200..1_800;
/// Time between two actions of a series, milliseconds.
const BETWEEN_IN_SERIES_MS: std::ops::Range<u64> = 20..250;
const LASTS_MS: std::ops::Range<u64> = 300..4_000;
/// Every so many seeds nothing unplanned happens, so that rules on planned work are tried.
const PLANNED_ONLY_EVERY: u64 = 3;
/// First seed with regions and limits.
const FIRST_OF_REGIONS_AND_LIMITS: u64 = 1_000;
/// First seed with runners that start again under their names, and with large configurations.
const FIRST_OF_LIVES: u64 = 2_000;
/// First seed with runners that say of themselves that they leave, long before the store hears of it, or that
/// they want rest.
const FIRST_OF_SELF_REPORTS: u64 = 3_000;
/// First seed with runners that name for a time how many requests a second they take from all nodes together.
const FIRST_OF_NAMED_LIMITS: u64 = 6_000;
/// First seed with a store that comes back from older copies.
const FIRST_OF_RETURNS: u64 = 7_000;
/// Time for which regions are cut off from each other.
const REGIONS_CUT_FOR: Duration = Duration::from_secs(10);
/// Quiet time at the end, in which everything has to recover.
pub const RECOVERY: Duration = Duration::from_secs(6);

/// The steps of a seed, in order of time.
pub fn steps(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    let mut steps = system_steps(seed, length, nodes);
    steps.extend(series(seed, length, nodes));
    if has_faults(seed) {
        steps.extend(cloud_steps(seed, length, nodes));
    }
    if has_regions(seed) && has_faults(seed) {
        let cut = region_cut(length);
        steps.retain(|step| !is_near(step, &cut));
        steps.push(cut);
    }
    if has_limits(seed) && has_faults(seed) {
        steps.extend(limit_steps(seed, length, nodes));
    }
    if has_returns(seed) && has_faults(seed) {
        steps.extend(returns(seed, length));
    }
    if is_return_judged(seed) && has_faults(seed) {
        let judged = judged_return(length);
        steps.retain(|step| !is_around(step, &judged));
        steps.extend(planned_after(&judged));
        steps.push(judged);
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// The store comes back from an older copy once in the first half, and twice in quick succession in the second. They are
/// drawn apart, so that a seed keeps its other steps.
fn returns(seed: u64, length: Duration) -> Vec<Step> {
    const APART: u64 = 0x72_6574_7572;
    const LOSES_MS: std::ops::Range<u64> = 300..3_000;
    const AWAY_MS: std::ops::Range<u64> = 50..2_000;
    const LATER: Duration = Duration::from_secs(3);
    let mut chance = ChaCha8Rng::seed_from_u64(seed ^ APART);
    let last = length.saturating_sub(RECOVERY);
    let mut step = |at: Duration| {
        let loses = Duration::from_millis(chance.random_range(LOSES_MS));
        let lasts = Duration::from_millis(chance.random_range(AWAY_MS));
        Step { at, lasts, action: Action::ComeBackOlder { loses } }
    };
    vec![step(last / 5), step(last / 2), step(last / 2 + LATER)]
}

/// Whether the store of a seed comes back from older copies.
pub fn has_returns(seed: u64) -> bool {
    seed >= FIRST_OF_RETURNS
}

/// Whether after one return of the store nothing is disturbed until nodes are bound again by rules with a time, and
/// neither answers of runners nor a cut tell or excuse anything.
pub fn is_return_judged(seed: u64) -> bool {
    has_returns(seed) && !seed.is_multiple_of(2)
}

/// Time after the beginning of the judged return until which nothing else is disturbed.
const JUDGED_FOR: Duration = Duration::from_secs(12);
/// Time after it at which planned work begins: the store is back, and what it had lost was written again.
const PLANNED_AFTER: Duration = Duration::from_millis(3_200);

fn judged_return(length: Duration) -> Step {
    let loses = Duration::from_secs(1);
    let lasts = Duration::from_millis(500);
    let last = length.saturating_sub(RECOVERY);
    Step { at: last / 2, lasts, action: Action::ComeBackOlder { loses } }
}

fn is_around(step: &Step, judged: &Step) -> bool {
    step.at < judged.at + JUDGED_FOR && step.at + step.lasts + PLANNED_AFTER > judged.at
}

/// Planned work of which nodes have to hear from the store alone.
fn planned_after(judged: &Step) -> [Step; 4] {
    let planned = [
        Action::Configure,
        Action::Replace { runner: 0 },
        Action::Replace { runner: 1 },
        Action::Replace { runner: 3 },
    ];
    planned.map(|action| Step { at: judged.at + PLANNED_AFTER, lasts: Duration::ZERO, action })
}

/// Whether the nodes of a seed lie in two regions. Seeds below the first are played as they always
/// were.
pub fn has_regions(seed: u64) -> bool {
    seed >= FIRST_OF_REGIONS_AND_LIMITS && seed % 4 != 3 && !is_return_judged(seed)
}

/// Whether some tenants of a seed have limits.
pub fn has_limits(seed: u64) -> bool {
    seed >= FIRST_OF_REGIONS_AND_LIMITS && seed % 4 != 2
}

/// Whether runners of a seed start again under their names, and tell when they started.
pub fn has_lives(seed: u64) -> bool {
    seed >= FIRST_OF_LIVES
}

/// Whether a seed's configurations are large, and its nodes read them over narrow links.
pub fn has_large_configurations(seed: u64) -> bool {
    seed >= FIRST_OF_LIVES && seed.is_multiple_of(2)
}

/// Whether runners of a seed say in their answers that they leave or want rest.
pub fn has_self_reports(seed: u64) -> bool {
    seed >= FIRST_OF_SELF_REPORTS && !is_return_judged(seed)
}

/// Whether runners of a seed name for a time what they take from all nodes together.
pub fn has_named_limits(seed: u64) -> bool {
    (FIRST_OF_NAMED_LIMITS..FIRST_OF_RETURNS).contains(&seed)
}

/// The regions are cut off from each other in the middle, long enough for their nodes to be bound
/// again by rules with a time.
fn region_cut(length: Duration) -> Step {
    let last = length.saturating_sub(RECOVERY);
    Step { at: last / 3, lasts: REGIONS_CUT_FOR.min(last / 2), action: Action::CutRegions }
}

/// Whether a step would disturb nodes while the regions are cut off, so that what is seen then
/// would prove nothing.
fn is_near(step: &Step, cut: &Step) -> bool {
    const AROUND: Duration = Duration::from_secs(2);
    step.at < cut.at + cut.lasts && step.at + step.lasts + AROUND > cut.at
}

/// Nodes that keep limits are killed, paused and cut off from the store: any node may be one. They
/// are drawn apart, so that a seed keeps its other steps.
fn limit_steps(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    const APART: u64 = 0x6c_696d_6974;
    let mut chance = ChaCha8Rng::seed_from_u64(seed ^ APART);
    let last = length.saturating_sub(RECOVERY);
    let mut step = |part: u32, action: fn(usize) -> Action| {
        let lasts = Duration::from_millis(chance.random_range(LASTS_MS));
        Step { at: last / 8 * part, lasts, action: action(chance.random_range(0..nodes)) }
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
fn series(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    const APART: u64 = 0x73_6572_6965;
    const IN_A_SERIES: u32 = 8;
    let mut chance = ChaCha8Rng::seed_from_u64(seed ^ APART);
    let last = length.saturating_sub(RECOVERY);
    let mut steps = Vec::new();
    for part in [1_u32, 3] {
        let mut at = last / 4 * part;
        for _ in 0..IN_A_SERIES {
            at += Duration::from_millis(chance.random_range(BETWEEN_IN_SERIES_MS));
            let lasts = Duration::from_millis(chance.random_range(LASTS_MS));
            let action = in_series(&mut chance, has_faults(seed), nodes);
            let lasts = lasts.min(length.saturating_sub(at + RECOVERY));
            steps.push(Step { at, lasts, action });
        }
    }
    steps
}

fn in_series(chance: &mut impl Rng, with_faults: bool, nodes: usize) -> Action {
    let node = chance.random_range(0..nodes);
    let runner = chance.random_range(0..1_000);
    match chance.random_range(0..if with_faults { 7 } else { 4 }) {
        0 => Action::Stop { node },
        1 => Action::Reload { node },
        2 => Action::Configure,
        3 => Action::Replace { runner },
        4 => Action::Kill { node },
        5 => Action::Pause { node },
        _ => Action::CrashRunner { runner },
    }
}

/// Faults on the way to the interface for duties. They are drawn apart, so that older seeds keep
/// their other steps.
fn cloud_steps(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    const APART: u64 = 0x63_6c6f_7564;
    let mut chance = ChaCha8Rng::seed_from_u64(seed ^ APART);
    let last = length.saturating_sub(RECOVERY);
    let lasts = Duration::from_millis(LASTS_MS.end);
    let at = |part: u32| last / 4 * part;
    let mode = |chance: &mut ChaCha8Rng| *LINK_MODES.choose(chance).unwrap_or(&LinkMode::Silent);
    let step = |part: u32| {
        let (node, mode) = (chance.random_range(0..nodes), mode(&mut chance));
        Step { at: at(part), lasts, action: Action::CloudLink { node, mode } }
    };
    (1..4).map(step).collect()
}

fn system_steps(seed: u64, length: Duration, nodes: usize) -> Vec<Step> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let planned_only = seed.is_multiple_of(PLANNED_ONLY_EVERY);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(chance.random_range(BETWEEN_MS));
        if at + RECOVERY >= length {
            return steps;
        }
        let lasts = Duration::from_millis(chance.random_range(LASTS_MS));
        let action =
            if planned_only { planned(&mut chance, nodes) } else { any(&mut chance, nodes) };
        steps.push(Step { at, lasts: lasts.min(length.saturating_sub(at + RECOVERY)), action });
    }
}

fn planned(chance: &mut impl Rng, nodes: usize) -> Action {
    match chance.random_range(0..3) {
        0 => Action::Stop { node: chance.random_range(0..nodes) },
        1 => Action::Replace { runner: chance.random_range(0..1_000) },
        _ => Action::Configure,
    }
}

fn any(chance: &mut impl Rng, nodes: usize) -> Action {
    let node = chance.random_range(0..nodes);
    let runner = chance.random_range(0..1_000);
    let link = *LINK_MODES.choose(chance).unwrap_or(&LinkMode::Silent);
    match chance.random_range(0..KINDS) {
        0 => Action::Kill { node },
        1 => Action::KillAll,
        2 => Action::Pause { node },
        3 => Action::Stop { node },
        4 | 5 => Action::StoreLink { node, mode: link },
        6 | 7 => Action::RunnerLink { runner, mode: link },
        8 => Action::Store { mode: *STORE_MODES.choose(chance).unwrap_or(&StoreMode::Silent) },
        9 => Action::ForgetHistory,
        10 => Action::Replace { runner },
        _ => Action::Configure,
    }
}
