//! What a runner of the soak does with a request, and what it says of itself.

use crate::fleet::{response_body, LAST_EVENT};
use crate::history::{Event, Recorder};
use crate::proxy::Link;
use crate::regions::{is_from_other_zone, RegionLink, ONE_WAY_DELAY};
use crate::reported_limits::{LimitPhases, ReportedLimit};
use crate::tenants::tenant_of;
use pitchstall_platform_standins::http::ReceivedRequest;
use pitchstall_platform_standins::role::{OrderOutcome, Role};
use pitchstall_platform_standins::runner::{engine_script, CrashHead, Reaction, SelfReport};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// Share of requests that a runner runs and does not answer, or answers with a failure.
const FAULT_PROBABILITY: f64 = 0.03;
/// Share of requests that a runner turns away to have rest, and for how long.
const DECLINE_PROBABILITY: f64 = 0.02;
const RETRY_AFTER: (&str, u64) = ("1.5", 1_500_000);
/// Share of orders under which a runner ends: it is back, and nobody has an answer.
const CRASH_ON_ORDER_PROBABILITY: f64 = 0.5;
/// Beginning of the body of a request that ends runners.
const POISON_BODY_PREFIX: &str = "deadly ";
/// Time for which such a request runs.
const POISON_RUN_TIME: Duration = Duration::from_millis(40);

/// Which runner it is, and where.
pub(crate) struct RunnerLocation {
    /// Its id.
    pub(crate) id: String,
    /// Its zone.
    pub(crate) zone: &'static str,
    /// The way between its region and the other one.
    pub(crate) regions: RegionLink,
}

/// Which runner it is, and what it does.
pub(crate) struct Worker {
    /// Its id.
    pub(crate) id: String,
    /// What it does at first, if it runs a language model.
    pub(crate) stage: Option<&'static str>,
    /// What it does now, where it takes orders.
    pub(crate) role: Option<Arc<Role>>,
}

impl RunnerLocation {
    /// Holds up what comes from another region; `false` if it does not come.
    fn delay_or_drop(&self, request: &ReceivedRequest) -> bool {
        let is_cross_region = request.id().is_some_and(|id| is_from_other_zone(id, self.zone));
        if is_cross_region && !self.regions.is_cut() {
            // There and back: a runner's answer has as far to go.
            std::thread::sleep(ONE_WAY_DELAY * 2);
        }
        !(is_cross_region && self.regions.is_cut())
    }
}

/// What a runner is up to when a request comes.
#[derive(Clone, Copy)]
struct ReportingDecision {
    /// It turns the request away to have rest.
    is_declined: bool,
    /// It may name a limit.
    may_report_limit: bool,
}

/// What a runner says of itself.
pub(crate) struct SelfReporting {
    /// Whether it says anything of itself: that it leaves, or now and then that it wants rest.
    pub(crate) is_enabled: bool,
    /// Whether its answers say that it leaves.
    pub(crate) reports_leaving: Arc<AtomicBool>,
    /// What it takes from all nodes together; `None`: it never names a limit.
    pub(crate) limits: Option<LimitPhases>,
    /// The limit that it named last.
    pub(crate) last_reported: Mutex<Option<ReportedLimit>>,
}

impl SelfReporting {
    /// What the runner takes now; notes when that changes.
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

    /// Does as the runner does with a request, and says what it has to say of itself.
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
        // What ends a runner, or is cut before its head, says nothing.
        if !matches!(reaction, Reaction::Answer { .. } | Reaction::Stream(_) | Reaction::Decline) {
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
        let report = SelfReport { leaving, retry_after: is_declined.then_some(seconds), limit };
        Reaction::Saying(report, Box::new(reaction))
    }
}

/// What a runner does: it runs what it is given, notes it, and now and then fails.
pub(crate) fn script(
    location: RunnerLocation,
    worker: Worker,
    self_reporting: SelfReporting,
    recorder: Recorder,
    seed: u64,
    own_link: Arc<OnceLock<Link>>,
) -> impl Fn(&ReceivedRequest) -> Reaction + Send + Sync {
    let work = work(worker, recorder.clone(), seed, own_link);
    // What it says of itself is drawn apart, so that older seeds keep what they do.
    let rng = Mutex::new(ChaCha8Rng::seed_from_u64(!seed));
    move |request| {
        if !location.delay_or_drop(request) {
            return Reaction::Silent;
        }
        // Where a region is cut off from the others, two rests of its two runners of a service leave nobody.
        let may_decline = self_reporting.is_enabled && !location.regions.is_cut();
        let is_declined = may_decline && lock(&rng).random_bool(DECLINE_PROBABILITY);
        // What two limited runners take is no measure of whether their region serves its callers alone.
        let decision =
            ReportingDecision { is_declined, may_report_limit: !location.regions.is_cut() };
        self_reporting
            .react_and_report(request, &location.id, &recorder, decision, || work(request))
    }
}

/// What a runner does with a request, whatever it says of itself.
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
            let Some(role) = &worker.role else { return OrderOutcome::Taken.answer() };
            let outcome = role.order(request);
            let crashes = outcome == OrderOutcome::Taken
                && lock(&rng).random_bool(CRASH_ON_ORDER_PROBABILITY);
            if crashes {
                recorder.record(Event::RunnerCrashed { runner: id.clone(), cause: None });
                return crash(&own_link, CrashHead::None);
            }
            return outcome.answer();
        }
        let Some(name) = request.id().filter(|_| !request.is_reading()) else {
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
        let reaction = react(&mut *rng, request, name, stage, &engine);
        if matches!(&reaction, Reaction::Stream(stream) if stream.breaks_after.is_some()) {
            recorder.record(Event::StreamAborted { request: name.to_owned() });
        }
        reaction
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The runner ends under a request, a little after it has begun to run it.
fn crash(own_link: &Arc<OnceLock<Link>>, head: CrashHead) -> Reaction {
    let own_link = own_link.clone();
    std::thread::spawn(move || {
        std::thread::sleep(POISON_RUN_TIME);
        if let Some(link) = own_link.get() {
            link.close();
        }
    });
    Reaction::Crash { head, runs_for: POISON_RUN_TIME }
}

/// The body of a request that ends runners: the same each time it comes.
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
        let answer = Reaction::Answer { status: 200, body: response_body(name).into_bytes() };
        let faults = [
            Reaction::RawThenClose(Vec::new()),
            Reaction::RawThenReset(Vec::new()),
            Reaction::Answer { status: 500, body: b"failed".to_vec() },
        ];
        let index = rng.random_range(0..faults.len());
        return if is_faulty { faults[index].clone() } else { answer };
    }
    match engine(request) {
        Reaction::Stream(mut stream) => {
            stream.pause = Duration::from_millis(rng.random_range(1..15));
            if is_faulty {
                stream.breaks_after = Some(rng.random_range(0..LAST_EVENT));
            }
            Reaction::Stream(stream)
        }
        other => other,
    }
}
