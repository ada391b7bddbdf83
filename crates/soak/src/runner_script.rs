//! How a runner of the soak reacts to a request, and what it reports about itself.

use crate::fleet::{response_body, LAST_EVENT};
use crate::history::{Event, Recorder};
use crate::proxy::Link;
use crate::regions::{is_from_other_zone, RegionLink, ONE_WAY_DELAY};
use crate::reported_limits::{LimitPhases, ReportedLimit};
use crate::tenants::tenant_of;
use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::role::{OrderOutcome, Role};
use pitchstall_platform_standins::runner::{
    engine_script, CrashHead, LongPause, NoticeHeaders, Reaction,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// Probability that a runner fails a request that it runs: it closes or resets the connection,
/// responds with an error, or aborts the stream.
const FAULT_PROBABILITY: f64 = 0.03;
/// Probability that a runner that pauses in streams does so in one stream, and the length of the pause in milliseconds.
/// Nodes look for another runner after 1,000.
const STREAM_PAUSE_PROBABILITY: f64 = 0.1;
const STREAM_PAUSE_MS: std::ops::Range<u64> = 200..2_500;
/// Probability that such a runner declines to continue a stream of another runner.
const RESUMPTION_DECLINE_PROBABILITY: f64 = 0.5;
/// Probability that a runner declines a request and asks for a pause.
const DECLINE_PROBABILITY: f64 = 0.02;
/// Length of that pause: seconds, as in the header, and the same in microseconds.
const RETRY_AFTER: (&str, u64) = ("1.5", 1_500_000);
/// Probability that a runner crashes on an order that it has accepted: it restarts, and nobody has
/// received a response.
const CRASH_ON_ORDER_PROBABILITY: f64 = 0.5;
/// Prefix of the bodies of poison requests.
const POISON_BODY_PREFIX: &str = "deadly ";
/// Time for which a poison request runs before its runner crashes.
const POISON_RUN_TIME: Duration = Duration::from_millis(40);

/// Identity and location of a runner.
pub(crate) struct RunnerLocation {
    /// Id of the runner.
    pub(crate) id: String,
    /// Zone of the runner.
    pub(crate) zone: &'static str,
    /// The link between the runner's region and the other one.
    pub(crate) regions: RegionLink,
}

/// Identity and role of a runner.
pub(crate) struct Worker {
    /// Id of the runner.
    pub(crate) id: String,
    /// Initial stage; `None` if it runs no language model.
    pub(crate) stage: Option<&'static str>,
    /// Current role; `None` if the runner does not accept orders.
    pub(crate) role: Option<Arc<Role>>,
    /// Whether it pauses in some streams and then goes on.
    pub(crate) pauses_in_streams: bool,
}

impl RunnerLocation {
    /// Delays a request from the remote region; `false` if the request is lost because the regions
    /// are cut off.
    fn delay_or_drop(&self, request: &ReceivedRequest) -> bool {
        let is_cross_region = request.id().is_some_and(|id| is_from_other_zone(id, self.zone));
        if is_cross_region && !self.regions.is_cut() {
            // Covers both directions, because the response is not delayed separately.
            std::thread::sleep(ONE_WAY_DELAY * 2);
        }
        !(is_cross_region && self.regions.is_cut())
    }
}

/// What a runner reports about itself in the response to one request.
#[derive(Clone, Copy)]
struct ReportingDecision {
    /// Whether it declines the request and asks for a pause.
    is_declined: bool,
    /// Whether it may report a limit.
    may_report_limit: bool,
}

/// The reports of a runner about itself.
pub(crate) struct SelfReporting {
    /// Whether the runner reports anything about itself, such as leaving or asking for a pause.
    pub(crate) is_enabled: bool,
    /// Whether responses announce that the runner is leaving.
    pub(crate) reports_leaving: Arc<AtomicBool>,
    /// The limits that it reports; `None` if it never reports any.
    pub(crate) limits: Option<LimitPhases>,
    /// The limit reported last.
    pub(crate) last_reported: Mutex<Option<ReportedLimit>>,
}

impl SelfReporting {
    /// The limit that the runner reports now. Records an event when it changes.
    fn current_limit(
        &self,
        runner: &str,
        recorder: &Recorder,
        may_report: bool,
    ) -> Option<ReportedLimit> {
        let limit = self.limits.as_ref().filter(|_| may_report).and_then(LimitPhases::current);
        let before = std::mem::replace(&mut *lock(&self.last_reported), limit);
        if before != limit {
            let milli_requests_per_s = limit.map(|limit| limit.milli_requests_per_s);
            recorder
                .record(Event::LimitChanged { runner: runner.to_owned(), milli_requests_per_s });
        }
        limit
    }

    /// Declines the request or lets `work` handle it, and adds the runner's reports about itself to
    /// the response.
    fn react_and_report(
        &self,
        request: &ReceivedRequest,
        runner: &str,
        recorder: &Recorder,
        decision: ReportingDecision,
        work: impl FnOnce() -> Reaction,
    ) -> Reaction {
        let Some(name) = request.id().filter(|_| self.is_enabled) else { return work() };
        let (request, runner) = (name.to_owned(), runner.to_owned());
        recorder.record(Event::Arrived { request: request.clone(), runner: runner.clone() });
        let leaving = self.reports_leaving.load(Ordering::SeqCst);
        let limit = self.current_limit(&runner, recorder, decision.may_report_limit);
        let is_declined = decision.is_declined;
        let reaction = if is_declined { Reaction::Decline } else { work() };
        // Reactions that crash the runner or end before the response head carry no report.
        if !matches!(reaction, Reaction::Respond { .. } | Reaction::Stream(_) | Reaction::Decline) {
            return reaction;
        }
        if leaving {
            let (request, runner) = (request.clone(), runner.clone());
            recorder.record(Event::LeavingReported { request, runner });
        }
        if limit.is_some() {
            let (request, runner) = (request.clone(), runner.clone());
            recorder.record(Event::LimitReported { request, runner });
        }
        let (seconds, backoff_us) = RETRY_AFTER;
        if is_declined {
            recorder.record(Event::BackoffRequested { request, runner, backoff_us });
        }
        let limit = limit.map(|limit| limit.text);
        let report = NoticeHeaders { leaving, retry_after: is_declined.then_some(seconds), limit };
        Reaction::WithNotice(report, Box::new(reaction))
    }
}

/// The reaction of a runner to each request: it records the request, runs it, and sometimes fails
/// it.
pub(crate) fn script(
    location: RunnerLocation,
    worker: Worker,
    self_reporting: SelfReporting,
    recorder: Recorder,
    seed: u64,
    own_link: Arc<OnceLock<Link>>,
) -> impl Fn(&ReceivedRequest) -> Reaction + Send + Sync {
    let work = work(worker, recorder.clone(), seed, own_link);
    // A separate random generator draws the reports, so that the reactions of older seeds stay the
    // same.
    let rng = Mutex::new(ChaCha8Rng::seed_from_u64(!seed));
    move |request| {
        if !location.delay_or_drop(request) {
            return Reaction::Silent;
        }
        // If both runners of a service in a region that is cut off asked for a pause, the region
        // would have no runner left.
        let may_decline = self_reporting.is_enabled && !location.regions.is_cut();
        let is_declined = may_decline && lock(&rng).random_bool(DECLINE_PROBABILITY);
        // With limits, the two runners of a region that is cut off could not serve all its clients,
        // so the check of the region would prove nothing.
        let decision =
            ReportingDecision { is_declined, may_report_limit: !location.regions.is_cut() };
        self_reporting
            .react_and_report(request, &location.id, &recorder, decision, || work(request))
    }
}

/// The reaction to a request without the runner's reports about itself.
fn work(
    worker: Worker,
    recorder: Recorder,
    seed: u64,
    own_link: Arc<OnceLock<Link>>,
) -> impl Fn(&ReceivedRequest) -> Reaction + Send + Sync {
    let engine = engine_script(LAST_EVENT);
    let rng = Mutex::new(ChaCha8Rng::seed_from_u64(seed));
    let (id, stage) = (worker.id.clone(), worker.stage);
    move |request| {
        if let Some(role) = worker.role.as_ref().filter(|_| request.is_report()) {
            return role.report();
        }
        if let Some((holder, fence)) = request.order() {
            recorder.record(Event::OrderReceived { runner: id.clone(), holder, fence });
            let Some(role) = &worker.role else { return OrderOutcome::Taken.response() };
            let outcome = role.order(request);
            let crashes = outcome == OrderOutcome::Taken
                && lock(&rng).random_bool(CRASH_ON_ORDER_PROBABILITY);
            if crashes {
                recorder.record(Event::RunnerCrashed { runner: id.clone(), cause: None });
                return crash(&own_link, CrashHead::None);
            }
            return outcome.response();
        }
        let Some(name) = request.id().filter(|_| !request.is_prefill()) else {
            return engine(request);
        };
        if request.expected_runner().is_some_and(|expected| expected != id) {
            return Reaction::Misdirected;
        }
        if let Some(number) = poison_number(&request.body) {
            let cause = Some((name.to_owned(), number));
            recorder.record(Event::RunnerCrashed { runner: id.clone(), cause });
            let head = if stage.is_some() { CrashHead::Chunked } else { CrashHead::None };
            return crash(&own_link, head);
        }
        let is_resumption = request.header("last-event-id").is_some();
        if worker.pauses_in_streams
            && is_resumption
            && lock(&rng).random_bool(RESUMPTION_DECLINE_PROBABILITY)
        {
            return Reaction::Decline;
        }
        let tenant = tenant_of(name);
        let shows_key = request.headers.iter().any(|(_, value)| value.contains(tenant.key));
        if shows_key || request.tenant() != Some(tenant.name) {
            let (request, runner) = (name.to_owned(), id.clone());
            recorder.record(Event::TenantIdentityFault { request, runner });
        }
        let (request_id, body) = (name.to_owned(), request.body.clone());
        recorder.record(Event::Ran { request: request_id, runner: id.clone(), body });
        if let Some(limit) = tenant.limit {
            let (request, tenant) = (name.to_owned(), tenant.name);
            recorder.record(Event::Charged { request, tenant, units: limit.units_per_run() });
        }
        let mut rng = lock(&rng);
        let mut reaction = react(&mut *rng, request, name, stage, &engine);
        if worker.pauses_in_streams {
            add_pause(&mut *rng, &mut reaction);
        }
        if matches!(&reaction, Reaction::Stream(stream) if stream.cut_after_event.is_some()) {
            recorder.record(Event::StreamAborted { request: name.to_owned() });
        }
        reaction
    }
}

/// Makes a stream pause before one of its events, with a probability.
fn add_pause(rng: &mut impl Rng, reaction: &mut Reaction) {
    let Reaction::Stream(stream) = reaction else { return };
    if rng.random_bool(STREAM_PAUSE_PROBABILITY) && stream.first < stream.last {
        let before_event = rng.random_range(stream.first..stream.last);
        let length = Duration::from_millis(rng.random_range(STREAM_PAUSE_MS));
        stream.long_pause = Some(LongPause { before_event, length });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Crashes the runner a short time after it has started to run a request.
fn crash(own_link: &Arc<OnceLock<Link>>, head: CrashHead) -> Reaction {
    let own_link = own_link.clone();
    std::thread::spawn(move || {
        std::thread::sleep(POISON_RUN_TIME);
        if let Some(link) = own_link.get() {
            link.close();
        }
    });
    Reaction::Crash { head, crash_after: POISON_RUN_TIME }
}

/// The body of a poison request, which is the same at each repeat.
pub(crate) fn poison_body(number: usize) -> String {
    format!("{POISON_BODY_PREFIX}{number}")
}

fn poison_number(body: &[u8]) -> Option<usize> {
    std::str::from_utf8(body).ok()?.strip_prefix(POISON_BODY_PREFIX)?.parse().ok()
}

fn react(
    rng: &mut impl Rng,
    request: &ReceivedRequest,
    name: &str,
    stage: Option<&str>,
    engine: &impl Fn(&ReceivedRequest) -> Reaction,
) -> Reaction {
    let is_faulty = rng.random_bool(FAULT_PROBABILITY);
    if stage.is_none() {
        let response = Reaction::Respond { status: 200, body: response_body(name).into_bytes() };
        let faults = [
            Reaction::RawThenClose(Vec::new()),
            Reaction::RawThenReset(Vec::new()),
            Reaction::Respond { status: 500, body: b"failed".to_vec() },
        ];
        let index = rng.random_range(0..faults.len());
        return if is_faulty { faults[index].clone() } else { response };
    }
    match engine(request) {
        Reaction::Stream(mut stream) => {
            stream.pause = Duration::from_millis(rng.random_range(1..15));
            if is_faulty {
                stream.cut_after_event = Some(rng.random_range(0..LAST_EVENT));
            }
            Reaction::Stream(stream)
        }
        other => other,
    }
}
