//! What a runner of the soak does with a request, and what it says of itself.

use crate::fleet::{answer_body, LAST_EVENT};
use crate::history::{Event, Recorder};
use crate::proxy::Link;
use crate::regions::{comes_from_afar, RegionLink, DELAY};
use crate::reported_limits::{LimitPhases, NamedLimit};
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
const FAULTY_SHARE: f64 = 0.03;
/// Share of requests that a runner turns away to have rest, and for how long.
const REST_SHARE: f64 = 0.02;
const REST: (&str, u64) = ("1.5", 1_500_000);
/// Share of orders under which a runner ends: it is back, and nobody has an answer.
const ENDS_UNDER_ORDERS: f64 = 0.5;
/// Beginning of the body of a request that ends runners.
const DEADLY: &str = "deadly ";
/// Time for which such a request runs.
const DEADLY_RUNS_FOR: Duration = Duration::from_millis(40);

/// Which runner it is, and where.
pub(crate) struct Place {
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

impl Place {
    /// Holds up what comes from another region; `false` if it does not come.
    fn let_in(&self, request: &ReceivedRequest) -> bool {
        let from_afar = request.id().is_some_and(|id| comes_from_afar(id, self.zone));
        if from_afar && !self.regions.is_cut() {
            // There and back: a runner's answer has as far to go.
            std::thread::sleep(DELAY * 2);
        }
        !(from_afar && self.regions.is_cut())
    }
}

/// What a runner is up to when a request comes.
#[derive(Clone, Copy)]
struct Mood {
    /// It turns the request away to have rest.
    rests: bool,
    /// It may name a limit.
    may_name_limits: bool,
}

/// What a runner says of itself.
pub(crate) struct Voice {
    /// Whether it says anything of itself: that it leaves, or now and then that it wants rest.
    pub(crate) speaks: bool,
    /// Whether its answers say that it leaves.
    pub(crate) says_that_it_leaves: Arc<AtomicBool>,
    /// What it takes from all nodes together; `None`: it never names a limit.
    pub(crate) limits: Option<LimitPhases>,
    /// The limit that it named last.
    pub(crate) named: Mutex<Option<NamedLimit>>,
}

impl Voice {
    /// What the runner takes now; notes when that changes.
    fn limit_now(&self, runner: &str, recorder: &Recorder, may_name: bool) -> Option<NamedLimit> {
        let limit = self.limits.as_ref().filter(|_| may_name).and_then(LimitPhases::now);
        let before = std::mem::replace(&mut *lock(&self.named), limit);
        if before != limit {
            let thousandths = limit.map(|limit| limit.thousandths);
            recorder.note(Event::LimitChanged { runner: runner.to_owned(), thousandths });
        }
        limit
    }

    /// Does as the runner does with a request, and says what it has to say of itself.
    fn say(
        &self,
        request: &ReceivedRequest,
        runner: &str,
        recorder: &Recorder,
        mood: Mood,
        work: impl FnOnce() -> Reaction,
    ) -> Reaction {
        let Some(name) = request.id().filter(|_| self.speaks) else { return work() };
        let (request, runner) = (name.to_owned(), runner.to_owned());
        recorder.note(Event::Arrived { request: request.clone(), runner: runner.clone() });
        let leaving = self.says_that_it_leaves.load(Ordering::SeqCst);
        let limit = self.limit_now(&runner, recorder, mood.may_name_limits);
        let rests = mood.rests;
        let reaction = if rests { Reaction::Decline } else { work() };
        // What ends a runner, or is cut before its head, says nothing.
        if !matches!(reaction, Reaction::Answer { .. } | Reaction::Stream(_) | Reaction::Decline) {
            return reaction;
        }
        if leaving {
            let (request, runner) = (request.clone(), runner.clone());
            recorder.note(Event::ToldLeaving { request, runner });
        }
        if limit.is_some() {
            let (request, runner) = (request.clone(), runner.clone());
            recorder.note(Event::NamedLimit { request, runner });
        }
        let (seconds, rest_us) = REST;
        if rests {
            recorder.note(Event::AskedForRest { request, runner, rest_us });
        }
        let limit = limit.map(|limit| limit.text);
        let report = SelfReport { leaving, retry_after: rests.then_some(seconds), limit };
        Reaction::Saying(report, Box::new(reaction))
    }
}

/// What a runner does: it runs what it is given, notes it, and now and then fails.
pub(crate) fn script(
    place: Place,
    worker: Worker,
    voice: Voice,
    recorder: Recorder,
    seed: u64,
    own_link: Arc<OnceLock<Link>>,
) -> impl Fn(&ReceivedRequest) -> Reaction + Send + Sync {
    let work = work(worker, recorder.clone(), seed, own_link);
    // What it says of itself is drawn apart, so that older seeds keep what they do.
    let chance = Mutex::new(ChaCha8Rng::seed_from_u64(!seed));
    move |request| {
        if !place.let_in(request) {
            return Reaction::Silent;
        }
        // Where a region is cut off from the others, two rests of its two runners of a service leave nobody.
        let may_rest = voice.speaks && !place.regions.is_cut();
        let rests = may_rest && lock(&chance).random_bool(REST_SHARE);
        // What two limited runners take is no measure of whether their region serves its callers alone.
        let mood = Mood { rests, may_name_limits: !place.regions.is_cut() };
        voice.say(request, &place.id, &recorder, mood, || work(request))
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
    let chance = Mutex::new(ChaCha8Rng::seed_from_u64(seed));
    let (id, stage) = (worker.id.clone(), worker.stage);
    move |request| {
        if let Some(role) = worker.role.as_ref().filter(|_| request.is_report()) {
            return role.report();
        }
        if let Some((holder, fence)) = request.order() {
            recorder.note(Event::Ordered { runner: id.clone(), holder, fence });
            let Some(role) = &worker.role else { return OrderOutcome::Taken.answer() };
            let outcome = role.order(request);
            let ends =
                outcome == OrderOutcome::Taken && lock(&chance).random_bool(ENDS_UNDER_ORDERS);
            if ends {
                recorder.note(Event::Crashed { runner: id.clone(), under: None });
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
        if let Some(number) = deadly_number(&request.body) {
            let under = Some((name.to_owned(), number));
            recorder.note(Event::Crashed { runner: id.clone(), under });
            let head = if stage.is_some() { CrashHead::Chunked } else { CrashHead::None };
            return crash(&own_link, head);
        }
        let tenant = tenant_of(name);
        let shows_key = request.headers.iter().any(|(_, value)| value.contains(tenant.key));
        if shows_key || request.tenant() != Some(tenant.name) {
            let (request, runner) = (name.to_owned(), id.clone());
            recorder.note(Event::Unguarded { request, runner });
        }
        let (request_id, body) = (name.to_owned(), request.body.clone());
        recorder.note(Event::Ran { request: request_id, runner: id.clone(), body });
        if let Some(limit) = tenant.limit {
            let (request, tenant) = (name.to_owned(), tenant.name);
            recorder.note(Event::Charged { request, tenant, units: limit.units_of_a_run() });
        }
        let mut chance = lock(&chance);
        let reaction = react(&mut *chance, request, name, stage, &engine);
        if matches!(&reaction, Reaction::Stream(stream) if stream.breaks_after.is_some()) {
            recorder.note(Event::BrokenOff { request: name.to_owned() });
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
        std::thread::sleep(DEADLY_RUNS_FOR);
        if let Some(link) = own_link.get() {
            link.close();
        }
    });
    Reaction::Crash { head, runs_for: DEADLY_RUNS_FOR }
}

/// The body of a request that ends runners: the same each time it comes.
pub(crate) fn deadly_body(number: usize) -> String {
    format!("{DEADLY}{number}")
}

fn deadly_number(body: &[u8]) -> Option<usize> {
    std::str::from_utf8(body).ok()?.strip_prefix(DEADLY)?.parse().ok()
}

fn react(
    chance: &mut impl Rng,
    request: &ReceivedRequest,
    name: &str,
    stage: Option<&str>,
    engine: &impl Fn(&ReceivedRequest) -> Reaction,
) -> Reaction {
    let is_faulty = chance.random_bool(FAULTY_SHARE);
    if stage.is_none() {
        let answer = Reaction::Answer { status: 200, body: answer_body(name).into_bytes() };
        let faults = [
            Reaction::RawThenClose(Vec::new()),
            Reaction::RawThenReset(Vec::new()),
            Reaction::Answer { status: 500, body: b"failed".to_vec() },
        ];
        let index = chance.random_range(0..faults.len());
        return if is_faulty { faults[index].clone() } else { answer };
    }
    match engine(request) {
        Reaction::Stream(mut stream) => {
            stream.pause = Duration::from_millis(chance.random_range(1..15));
            if is_faulty {
                stream.breaks_after = Some(chance.random_range(0..LAST_EVENT));
            }
            Reaction::Stream(stream)
        }
        other => other,
    }
}
