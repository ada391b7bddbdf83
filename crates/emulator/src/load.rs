//! The load tool: sends requests to nodes and checks that each answer is the whole answer to
//! its own prompt. A broken stream is resumed at the next node, as a caller would.

use crate::models::text::ExpectedAnswer;
use ntex::client::Client;
use ntex::time::{sleep, Millis};
use ntex::util::stream_recv;
use pitchstall_coordination::placement::{mix, stable_hash};
use pitchstall_platform::http::{new_client, ClientUnavailable};
use pitchstall_platform::lines::{event_data, LineBuffer};
use pitchstall_protocol::error::{ErrorBody, Execution};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Callers' addresses of the nodes.
    pub nodes: Vec<String>,
    /// The tenant's key.
    pub key: String,
    /// The service.
    pub service: String,
    /// Number of requests.
    pub requests: usize,
    /// How many at the same time.
    pub concurrency: usize,
    /// Seed of the prompts.
    pub seed: u64,
    /// Sizes of prompts in bytes.
    pub prompt_bytes: Range<usize>,
    /// Most tokens of an answer.
    pub max_tokens: u32,
    /// Whether each request carries an idempotency key.
    pub idempotent: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer to its own prompt.
    Whole,
    /// Refused: not run.
    Refused,
    /// Failed with an error that says so.
    Failed,
    /// An answer that is not the expected one: must never happen.
    Wrong,
    /// Ended without an answer or an error.
    Lost,
}

/// What came of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests by outcome.
    pub outcomes: BTreeMap<Outcome, usize>,
    /// Streams resumed at another node.
    pub resumed: usize,
    /// Output tokens received.
    pub tokens: u64,
    /// Duration of the whole load.
    pub elapsed: Duration,
    /// Times to the first token, sorted.
    pub first_token: Vec<Duration>,
    /// Some errors, for a person.
    pub samples: Vec<String>,
}

impl LoadReport {
    /// Whether every answer was whole.
    pub fn all_whole(&self) -> bool {
        self.outcomes.keys().all(|outcome| *outcome == Outcome::Whole) && !self.outcomes.is_empty()
    }

    /// Number of requests with an outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    fn first_token_percentile(&self, percent: usize) -> Duration {
        let last = self.first_token.len().saturating_sub(1);
        self.first_token.get(last * percent / 100).copied().unwrap_or_default()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.elapsed.as_secs_f64().max(0.001);
        let requests: usize = self.outcomes.values().sum();
        writeln!(formatter, "requests        {requests}")?;
        for (outcome, count) in &self.outcomes {
            writeln!(formatter, "  {outcome:?}: {count}")?;
        }
        writeln!(formatter, "resumed         {}", self.resumed)?;
        writeln!(formatter, "elapsed         {seconds:.2} s")?;
        writeln!(formatter, "requests/s      {:.1}", requests as f64 / seconds)?;
        writeln!(formatter, "tokens/s        {:.0}", self.tokens as f64 / seconds)?;
        let median = self.first_token_percentile(50).as_secs_f64() * 1_000.0;
        let high = self.first_token_percentile(95).as_secs_f64() * 1_000.0;
        write!(formatter, "first token     median {median:.1} ms, 95 in 100 within {high:.1} ms")?;
        for sample in &self.samples {
            write!(formatter, "\n  {sample}")?;
        }
        Ok(())
    }
}

#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    text: String,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct ErrorEnvelope {
    error: ErrorBody,
}

/// A prompt of a size, from words that differ with the seed.
pub fn prompt_of(seed: u64, bytes: usize) -> String {
    let mut prompt = String::with_capacity(bytes + 16);
    let mut state = seed;
    while prompt.len() < bytes {
        state = mix(state.wrapping_add(0x9e37_79b9_7f4a_7c15));
        prompt.push_str(&format!("log{} ", state % 100_000));
    }
    prompt.truncate(bytes.max(1));
    prompt
}

/// Runs a load.
pub async fn run(plan: LoadPlan) -> Result<LoadReport, ClientUnavailable> {
    let client = new_client().await?;
    let plan = Rc::new(plan);
    let next = Rc::new(Cell::new(0));
    let report = Rc::new(RefCell::new(LoadReport::default()));
    let started = Instant::now();
    let workers: Vec<_> = (0..plan.concurrency.max(1))
        .map(|_| {
            let worker = Worker {
                client: client.clone(),
                plan: plan.clone(),
                next: next.clone(),
                report: report.clone(),
            };
            ntex::rt::spawn(worker.work())
        })
        .collect();
    for worker in workers {
        // A worker that failed has left its requests without an outcome.
        let _ = worker.await;
    }
    let mut report = report.borrow().clone();
    report.elapsed = started.elapsed();
    report.first_token.sort();
    let counted: usize = report.outcomes.values().sum();
    if counted < plan.requests {
        report.outcomes.insert(Outcome::Lost, plan.requests - counted);
    }
    Ok(report)
}

struct Worker {
    client: Client,
    plan: Rc<LoadPlan>,
    next: Rc<Cell<usize>>,
    report: Rc<RefCell<LoadReport>>,
}

/// How one connection ended.
enum Ending {
    Whole,
    Error(ErrorBody),
    Broken,
}

#[derive(Default)]
struct Progress {
    text: String,
    tokens: u64,
    last_event: Option<String>,
    /// Identifier of the event that is being read; it counts once its data is there.
    coming_event: Option<String>,
    first_token: Option<Duration>,
}

impl Worker {
    async fn work(self) {
        loop {
            let number = self.next.get();
            if number >= self.plan.requests {
                return;
            }
            self.next.set(number + 1);
            let outcome = self.send(number).await;
            *self.report.borrow_mut().outcomes.entry(outcome).or_default() += 1;
        }
    }

    async fn send(&self, number: usize) -> Outcome {
        const TRIES: usize = 6;
        const PAUSE: Millis = Millis(300);
        let plan = &self.plan;
        let seed = stable_hash(&(plan.seed, number));
        let span = plan.prompt_bytes.end.saturating_sub(plan.prompt_bytes.start).max(1);
        let bytes = plan.prompt_bytes.start + (seed as usize) % span;
        let prompt = prompt_of(seed, bytes);
        let expected = ExpectedAnswer::to(&prompt, plan.max_tokens).whole();
        let mut progress = Progress::default();
        let started = Instant::now();
        for attempt in 0..TRIES {
            let node = &plan.nodes[(number + attempt) % plan.nodes.len()];
            match self.connect(node, number, &prompt, started, &mut progress).await {
                Ending::Whole => return self.judge(&expected, &progress),
                Ending::Error(error) => {
                    let again = error.execution == Execution::NotRun
                        && error.retry_after_ms.is_some()
                        && attempt + 1 < TRIES;
                    if !again {
                        return self.note_error(&error);
                    }
                    let wait = error.retry_after_ms.unwrap_or(0).min(2_000);
                    sleep(Millis(wait as u32)).await;
                }
                Ending::Broken => {
                    let resumable = progress.last_event.is_some() || plan.idempotent;
                    if progress.last_event.is_some() {
                        self.report.borrow_mut().resumed += 1;
                    }
                    if !resumable && attempt + 1 == TRIES {
                        return Outcome::Lost;
                    }
                    sleep(PAUSE).await;
                }
            }
        }
        Outcome::Lost
    }

    fn judge(&self, expected: &str, progress: &Progress) -> Outcome {
        let mut report = self.report.borrow_mut();
        report.tokens += progress.tokens;
        report.first_token.extend(progress.first_token);
        if progress.text == expected {
            Outcome::Whole
        } else {
            report.samples.push(format!(
                "wrong answer: {} bytes, expected {}",
                progress.text.len(),
                expected.len()
            ));
            Outcome::Wrong
        }
    }

    fn note_error(&self, error: &ErrorBody) -> Outcome {
        const SAMPLES: usize = 5;
        let mut report = self.report.borrow_mut();
        if report.samples.len() < SAMPLES {
            report.samples.push(error.to_string());
        }
        match error.execution {
            Execution::NotRun => Outcome::Refused,
            Execution::Unknown | Execution::Partial => Outcome::Failed,
        }
    }

    async fn connect(
        &self,
        node: &str,
        number: usize,
        prompt: &str,
        started: Instant,
        progress: &mut Progress,
    ) -> Ending {
        const HEAD_TIMEOUT: Millis = Millis(60_000);
        let body = Body {
            model: &self.plan.service,
            prompt,
            max_tokens: self.plan.max_tokens,
            stream: true,
        };
        let mut request = self
            .client
            .post(format!("http://{node}/v1/completions"))
            .bearer_auth(&self.plan.key)
            .timeout(HEAD_TIMEOUT);
        if let Some(event) = &progress.last_event {
            request = request.header("last-event-id", event.as_str());
        }
        if self.plan.idempotent {
            let key = format!("load-{}-{number}", self.plan.seed);
            request = request.header("idempotency-key", key);
        }
        let Ok(answer) = request.send_json(&body).await else {
            return Ending::Broken;
        };
        if !answer.status().is_success() {
            let body = answer.body().await.unwrap_or_default();
            return match serde_json::from_slice::<ErrorEnvelope>(&body) {
                Ok(envelope) => Ending::Error(envelope.error),
                Err(_) => Ending::Broken,
            };
        }
        let mut payload = answer.take_payload();
        let mut buffer = LineBuffer::default();
        while let Some(Ok(bytes)) = stream_recv(&mut payload).await {
            let mut lines = Vec::new();
            if buffer.push(&bytes, &mut lines).is_err() {
                return Ending::Broken;
            }
            for line in lines {
                if let Some(ending) = progress.take_line(&line, started) {
                    return ending;
                }
            }
        }
        Ending::Broken
    }
}

impl Progress {
    fn take_line(&mut self, line: &[u8], started: Instant) -> Option<Ending> {
        if let Some(id) = line.strip_prefix(b"id: ") {
            self.coming_event = Some(String::from_utf8_lossy(id).into_owned());
            return None;
        }
        let data = event_data(line)?;
        if let Ok(envelope) = serde_json::from_slice::<ErrorEnvelope>(data) {
            return Some(Ending::Error(envelope.error));
        }
        let chunk = serde_json::from_slice::<Chunk>(data).ok()?;
        let choice = chunk.choices.into_iter().next()?;
        if choice.finish_reason.is_some() {
            return Some(Ending::Whole);
        }
        self.first_token.get_or_insert_with(|| started.elapsed());
        self.tokens += 1;
        self.text.push_str(&choice.text);
        self.last_event = self.coming_event.take();
        None
    }
}
