//! The requests that clients send to runner processes, and how often which process is ended.

use crate::fleet::HOST;
use crate::plan::{Action, Step, RECOVERY_TIME};
use crate::run_plan::{Framing, RunEnd, RunPlan};
use crate::runner_program::LAST_EVENT;
use crate::stream_client::{StreamRequest, SHORT_PATIENCE};
use crate::tenants::UNLIMITED;
use pitchstall_platform_standins::documents::RouteKind;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Number of runner processes that serve at a time.
pub const RUNNER_PROCESSES: usize = 6;
/// Service of the runner processes.
pub const PROCESS_SERVICE: &str = "processes";
/// One in so many requests ends its runner.
const REQUESTS_PER_END: u32 = 20;
const FRAMINGS: [Framing; 4] =
    [Framing::Chunked, Framing::Length, Framing::Unframed, Framing::Http10];
const ENDS: [RunEnd; 4] = [RunEnd::Kill, RunEnd::KillInside, RunEnd::Exit, RunEnd::Stop];

/// A route to the runner processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessRoute {
    /// Streams that may be resumed at another runner.
    ResumableStream,
    /// Streams that may not be resumed.
    SingleStream,
    /// Plain answers of requests that may run more than once.
    Repeatable,
    /// Plain answers of requests that run at most once.
    AtMostOnce,
}

impl ProcessRoute {
    /// All routes.
    pub const ALL: [Self; 4] =
        [Self::ResumableStream, Self::SingleStream, Self::Repeatable, Self::AtMostOnce];

    /// Name of the route in the configuration.
    pub fn name(self) -> &'static str {
        match self {
            Self::ResumableStream => "process-resumable",
            Self::SingleStream => "process-single",
            Self::Repeatable => "process-lookup",
            Self::AtMostOnce => "process-booking",
        }
    }

    /// How its requests may be retried.
    pub fn kind(self) -> RouteKind {
        match self {
            Self::ResumableStream => RouteKind::ResumableStream,
            Self::SingleStream => RouteKind::SingleStream,
            Self::Repeatable => RouteKind::Repeatable,
            Self::AtMostOnce => RouteKind::AtMostOnce,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::ResumableStream => "/process-resumable/",
            Self::SingleStream => "/process-single/",
            Self::Repeatable => "/process-lookup/",
            Self::AtMostOnce => "/process-booking/",
        }
    }

    /// Whether another run may continue the response.
    pub fn is_resumable(self) -> bool {
        self == Self::ResumableStream
    }

    /// The request of a client for this route, with what its runner does.
    pub fn request(self, plan: RunPlan) -> StreamRequest<'static> {
        StreamRequest {
            host: HOST,
            key: Some(UNLIMITED.key),
            path: self.path(),
            is_resumable: self.is_resumable(),
            http_version: "1.1",
            plan,
            patience: SHORT_PATIENCE,
            names_origin: true,
        }
    }
}

/// Draws a request. It ends its runner only if `may_end_runner`.
pub fn draw_request(rng: &mut impl Rng, may_end_runner: bool) -> (ProcessRoute, RunPlan) {
    let route = *ProcessRoute::ALL.choose(rng).unwrap_or(&ProcessRoute::ResumableStream);
    let framing = *FRAMINGS.choose(rng).unwrap_or(&Framing::Unframed);
    let ends_runner = rng.random_ratio(1, REQUESTS_PER_END) && may_end_runner;
    let end = match ends_runner {
        true => *ENDS.choose(rng).unwrap_or(&RunEnd::Kill),
        false => RunEnd::Whole,
    };
    let after = rng.random_range(0..LAST_EVENT);
    (route, RunPlan { framing, end, after, is_split: rng.random_bool(0.5) })
}

/// Ends of several processes at a time, again and again. A separate random generator draws these steps, so that the other
/// steps of a seed stay the same.
pub(crate) fn process_steps(seed: u64, length: Duration) -> Vec<Step> {
    const SEED_SALT: u64 = 0x70_726f_6365;
    const INTERVAL_MS: std::ops::Range<u64> = 300..1_500;
    const STOP_MS: std::ops::Range<u64> = 50..2_000;
    const MAX_ENDED_AT_A_TIME: usize = 4;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let faults_end = length.saturating_sub(RECOVERY_TIME);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(INTERVAL_MS));
        let duration = Duration::from_millis(rng.random_range(STOP_MS));
        let count = rng.random_range(1..=MAX_ENDED_AT_A_TIME);
        let processes = (0..RUNNER_PROCESSES).sample(&mut rng, count);
        let is_stopped_first = rng.random_ratio(1, 3);
        if at >= faults_end {
            return steps;
        }
        let action = Action::EndRunnerProcesses { processes, is_stopped_first };
        steps.push(Step { at, duration, action });
    }
}
