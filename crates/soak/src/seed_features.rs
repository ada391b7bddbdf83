//! What the number of a seed says about its play: which kinds of faults, runners and tenants it has.

/// Every third seed has planned work only and no faults, so that the guarantees on planned work are
/// tested.
const PLANNED_ONLY_EVERY: u64 = 3;
/// Later seeds have regions and limits of tenants; earlier ones never do, so that their schedules
/// stay the same.
const FIRST_SEED_WITH_REGIONS_AND_LIMITS: u64 = 1_000;
/// Later seeds have runners that restart under the same id, and large configurations.
const FIRST_SEED_WITH_INCARNATIONS: u64 = 2_000;
/// Later seeds have runners that announce that they are leaving long before the registry shows it,
/// or ask for a pause.
const FIRST_SEED_WITH_SELF_REPORTS: u64 = 3_000;
/// Later seeds up to the first seed with restores have runners that temporarily report how many
/// requests per second they accept from all nodes together.
const FIRST_SEED_WITH_REPORTED_LIMITS: u64 = 6_000;
/// Later seeds up to the first seed with pauses in streams have a store that is restored from older backups.
const FIRST_SEED_WITH_RESTORES: u64 = 7_000;
/// Later seeds have streams that pause and go on, and nodes that reload their settings again and again.
const FIRST_SEED_WITH_STREAM_PAUSES: u64 = 8_000;
/// Later seeds have pauses in streams without limits of tenants and without large configurations.
const FIRST_SEED_WITH_STREAM_PAUSES_ALONE: u64 = 9_000;
/// Later seeds have nodes that lose their links to all runners, and no regions.
const FIRST_SEED_WITH_NODE_LINK_FAULTS: u64 = 10_000;
/// Later seeds have runners that are processes of their own and end at any moment.
const FIRST_SEED_WITH_RUNNER_PROCESSES: u64 = 13_000;
/// Later seeds have runner processes of several software versions, which join and leave while nodes restart, and clients that
/// take streams up.
const FIRST_SEED_WITH_RELEASES: u64 = 14_000;

/// Whether some nodes of the seed lose their links to all runners.
pub fn has_node_link_faults(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_NODE_LINK_FAULTS
}

/// Whether some runners of the seed are processes of their own, which end at any moment.
pub fn has_runner_processes(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_RUNNER_PROCESSES
}

/// Whether software versions of runner processes join and leave while nodes restart, and clients take streams up.
pub fn has_releases(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_RELEASES
}

/// Whether the seed restores the store from older backups.
pub fn has_restores(seed: u64) -> bool {
    (FIRST_SEED_WITH_RESTORES..FIRST_SEED_WITH_STREAM_PAUSES).contains(&seed)
}

/// Whether runners of the seed pause in some streams and then go on, and nodes reload their settings again and again.
pub fn has_stream_pauses(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_STREAM_PAUSES
}

/// Whether the seed has one restore of the store after which no other fault occurs until the time
/// bounds apply to nodes again. On such seeds, runners report nothing about themselves and regions
/// are not cut off, so that nodes learn of changes from the store alone and no check is suspended.
pub fn has_isolated_restore(seed: u64) -> bool {
    has_restores(seed) && !seed.is_multiple_of(2)
}

/// Whether the nodes of the seed lie in two regions.
pub fn has_regions(seed: u64) -> bool {
    (FIRST_SEED_WITH_REGIONS_AND_LIMITS..FIRST_SEED_WITH_NODE_LINK_FAULTS).contains(&seed)
        && seed % 4 != 3
        && !has_isolated_restore(seed)
}

/// Whether some tenants of the seed have limits.
pub fn has_limits(seed: u64) -> bool {
    (FIRST_SEED_WITH_REGIONS_AND_LIMITS..FIRST_SEED_WITH_STREAM_PAUSES_ALONE).contains(&seed)
        && seed % 4 != 2
}

/// Whether the runners of the seed restart under the same id and report when they started.
pub fn has_incarnations(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_INCARNATIONS
}

/// Whether the configurations of the seed are large and nodes read them over links of low
/// bandwidth.
pub fn has_large_configurations(seed: u64) -> bool {
    (FIRST_SEED_WITH_INCARNATIONS..FIRST_SEED_WITH_STREAM_PAUSES_ALONE).contains(&seed)
        && seed.is_multiple_of(2)
}

/// Whether the runners of the seed announce in their responses that they are leaving or ask for a
/// pause.
pub fn has_self_reports(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_SELF_REPORTS && !has_isolated_restore(seed)
}

/// Whether the runners of the seed temporarily report the rate that they accept from all nodes
/// together.
pub fn has_reported_limits(seed: u64) -> bool {
    (FIRST_SEED_WITH_REPORTED_LIMITS..FIRST_SEED_WITH_RESTORES).contains(&seed)
}

/// Whether the seed has faults in addition to planned work.
pub fn has_faults(seed: u64) -> bool {
    !seed.is_multiple_of(PLANNED_ONLY_EVERY)
}
