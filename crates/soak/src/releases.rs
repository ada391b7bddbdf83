//! Releases of the software of runner processes: one version joins and another leaves, while nodes are killed or restarted
//! and clients are absent from their streams.

use crate::plan::{Action, Step, RECOVERY_TIME};
use crate::process_load::ProcessRoute;
use crate::run_plan::RunPlan;
use crate::runner_program::LAST_EVENT;
use crate::stream_client::{Patience, StreamRequest};
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// Names of the software versions. After the last one the first one returns.
pub const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "v4"];
/// Index of the version that serves at the start.
pub const FIRST_VERSION: usize = 0;
/// Clients that try to take their stream up until the nodes are back.
const TAKEUP_PATIENCE: Patience = Patience { max_tries: 40, pause: Duration::from_millis(100) };

/// A client's absence from its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// Number of the event after which the client leaves.
    pub after: u64,
    /// Time until it takes the stream up.
    pub duration: Duration,
}

/// Draws an absence: half of them are about as long as the restart of a node, the others outlast several restarts.
pub fn draw_absence(rng: &mut impl Rng) -> Absence {
    const SHORT_MS: Range<u64> = 20..600;
    const LONG_MS: Range<u64> = 600..7_000;
    let range = if rng.random_bool(0.5) { SHORT_MS } else { LONG_MS };
    Absence {
        after: rng.random_range(0..LAST_EVENT - 1),
        duration: Duration::from_millis(rng.random_range(range)),
    }
}

/// The request of a client that will be absent.
pub fn resumable_request(plan: RunPlan) -> StreamRequest<'static> {
    StreamRequest { patience: TAKEUP_PATIENCE, ..ProcessRoute::ResumableStream.request(plan) }
}

/// Versions that have served, as far as the next release depends on them.
struct Releases {
    serving: usize,
    /// The version that served before; `None` before the first release.
    previous: Option<usize>,
}

impl Releases {
    /// Draws the version that joins: one release in three goes back to the previous version.
    fn draw_next(&self, rng: &mut impl Rng) -> usize {
        let goes_back = rng.random_ratio(1, 3);
        let newer = (self.serving + 1) % VERSIONS.len();
        self.previous.filter(|_| goes_back).unwrap_or(newer)
    }

    fn replace_serving(&mut self, next: usize) {
        self.previous = Some(std::mem::replace(&mut self.serving, next));
    }
}

/// One release after the other, and a restart of nodes around the time at which each old version leaves. A separate random
/// generator draws these steps, so that the other steps of a seed stay the same. Without faults, all restarts are planned.
pub(crate) fn release_steps(
    seed: u64,
    length: Duration,
    nodes: usize,
    with_faults: bool,
) -> Vec<Step> {
    const SEED_SALT: u64 = 0x72_656c_6561_7365;
    const INTERVAL_MS: Range<u64> = 300..1_500;
    const BOTH_SERVE_MS: Range<u64> = 100..2_000;
    /// Time from the end of the old version until nodes restart.
    const RESTART_DELAY_MS: Range<u64> = 0..1_500;
    /// Time without the killed nodes, or between two nodes that restart one after the other.
    const DOWNTIME_MS: Range<u64> = 0..1_200;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    let mut releases = Releases { serving: FIRST_VERSION, previous: None };
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let mut draw_ms = |range| Duration::from_millis(rng.random_range(range));
        let joins_at = at + draw_ms(INTERVAL_MS);
        let leaves_at = joins_at + draw_ms(BOTH_SERVE_MS);
        let restarts_at = leaves_at + draw_ms(RESTART_DELAY_MS);
        let downtime = draw_ms(DOWNTIME_MS);
        if restarts_at + downtime >= faults_end {
            return steps;
        }
        let next = releases.draw_next(&mut rng);
        let step = |at, duration, action| Step { at, duration, action };
        let (joins, leaves) = (
            Action::JoinVersion { version: next },
            Action::LeaveVersion { version: releases.serving },
        );
        steps.push(step(joins_at, Duration::ZERO, joins));
        steps.push(step(leaves_at, Duration::ZERO, leaves));
        steps.push(step(restarts_at, downtime, draw_restart(&mut rng, nodes, with_faults)));
        releases.replace_serving(next);
        at = leaves_at;
    }
}

/// All nodes are killed, some are, or all are restarted one after the other.
fn draw_restart(rng: &mut impl Rng, nodes: usize, with_faults: bool) -> Action {
    let count = rng.random_range(1..=nodes);
    let mut killed = (0..nodes).sample(rng, count);
    killed.sort_unstable();
    match rng.random_range(0..4) {
        0 | 1 if with_faults => Action::KillAll,
        2 if with_faults => Action::KillSeveral { nodes: killed },
        _ => Action::RestartAll,
    }
}
