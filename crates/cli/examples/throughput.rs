//! Requests and tokens a second through one node, beside a bare ntex handler that streams the
//! same bytes, in one run; and the time that a node adds.
//!
//! `cargo run --release --example throughput`. The node serves on one thread, as always; the
//! bare handler on one thread too. The engine's stand-in is a handler that streams events as
//! fast as they are taken, so that the node is what is measured.
#![allow(clippy::unwrap_used)]

use ntex::channel::mpsc;
use ntex::client::Client;
use ntex::http::HttpService;
use ntex::rt::{DefaultRuntime, System};
use ntex::time::{sleep, Millis};
use ntex::util::{stream_recv, Bytes};
use ntex::web::{self, App, HttpResponse};
use pitchstall_node::daemon::{serve, Departure, Listeners};
use pitchstall_node::keys::digest_of;
use pitchstall_node::DaemonSettings;
use pitchstall_protocol::engine::{
    EngineEvent, EngineEventKind, EngineReport, EngineRole, EngineStanding, EngineState,
    FencingToken, GenerateRequest, OrderReply, RoleOrder,
};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

const TOKENS: u32 = 64;
const KEY: &str = "bench-key";

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn spawn<F: std::future::Future<Output = ()> + 'static>(
    name: &'static str,
    run: impl FnOnce() -> F + Send + 'static,
) {
    std::thread::spawn(move || {
        System::build().name(name).build(DefaultRuntime).block_on(async move { run().await });
    });
}

/// The bytes of one answer as the node writes them.
fn piece(place: u32) -> Bytes {
    Bytes::from(format!(
        "id: bench-64a1b2c3d4e5f-1~247273894707201~bench~{place}~0123456789abcdef\ndata: \
         {{\"id\":\"cmpl-bench-64a1b2c3d4e5f-1\",\"object\":\"text_completion\",\
         \"created\":1796190000,\"model\":\"status\",\"choices\":[{{\"index\":0,\
         \"text\":\" w{place}\",\"finish_reason\":null}}]}}\n\n"
    ))
}

/// Streams pieces one by one, giving way between them, paced by `pause`.
fn stream(make: impl Fn(u32) -> Bytes + 'static, last: Bytes, pause: Duration) -> HttpResponse {
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>();
    ntex::rt::spawn(async move {
        for place in 0..TOKENS {
            // The runtime's timers are coarse (about 16 ms), so full speed gives way by itself.
            if pause.is_zero() {
                give_way().await;
            } else {
                sleep(Millis(pause.as_millis() as u32)).await;
            }
            if sender.send(Ok(make(place))).is_err() {
                return;
            }
        }
        let _ = sender.send(Ok(last));
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(receiver)
}

/// Lets other tasks run once.
async fn give_way() {
    let mut given = false;
    std::future::poll_fn(|context| {
        if given {
            return std::task::Poll::Ready(());
        }
        given = true;
        context.waker().wake_by_ref();
        std::task::Poll::Pending
    })
    .await;
}

async fn bare(_body: Bytes) -> HttpResponse {
    stream(piece, Bytes::from_static(b"data: [DONE]\n\n"), Duration::ZERO)
}

async fn bare_paced(_body: Bytes) -> HttpResponse {
    stream(piece, Bytes::from_static(b"data: [DONE]\n\n"), Duration::from_millis(10))
}

fn event(request: &GenerateRequest, kind: EngineEventKind) -> Bytes {
    let key = pitchstall_protocol::engine::AttemptKey {
        request: request.request.clone(),
        attempt: request.attempt,
    };
    let json = serde_json::to_string(&EngineEvent { key, kind }).unwrap();
    Bytes::from(format!("data: {json}\n\n"))
}

async fn generate(body: Bytes) -> HttpResponse {
    let request: GenerateRequest = serde_json::from_slice(&body).unwrap();
    let paced = request.prompt.starts_with("paced");
    let pause = if paced { Duration::from_millis(10) } else { Duration::ZERO };
    let last =
        event(&request, EngineEventKind::Finished { prompt_tokens: 4, total_tokens: TOKENS });
    let make = move |place| {
        let text = format!(" w{place}");
        event(&request, EngineEventKind::Tokens { offset: place, count: 1, text })
    };
    stream(make, last, pause)
}

fn standing(fence: FencingToken) -> EngineStanding {
    EngineStanding {
        role: EngineRole::Mixed,
        model: "base".into(),
        state: EngineState::Ready,
        fence,
    }
}

thread_local! {
    static REPORTS: Cell<u64> = const { Cell::new(0) };
}

async fn report() -> HttpResponse {
    let number = REPORTS.with(|reports| {
        reports.set(reports.get() + 1);
        reports.get()
    });
    HttpResponse::Ok().json(&EngineReport {
        engine: "bench".into(),
        zone: "z".into(),
        report: number,
        standing: standing(FencingToken::default()),
        running: 0,
        waiting: 0,
        waiting_prompt_tokens: 0,
        waiting_output_tokens: 0,
        cache_used_permille: 0,
        accepted_total: 0,
        cached_blocks: Vec::new(),
    })
}

async fn order(body: Bytes) -> HttpResponse {
    let order: RoleOrder = serde_json::from_slice(&body).unwrap();
    HttpResponse::Ok().json(&OrderReply::Accepted { standing: standing(order.token) })
}

fn start_handlers() -> SocketAddr {
    let (listener, address) = listen();
    spawn("handlers", move || async move {
        let server = ntex::server::build().workers(1).disable_signals().listen(
            "handlers",
            listener,
            async |_| {
                HttpService::new(
                    App::new()
                        .route("/bare", web::post().to(bare))
                        .route("/bare-paced", web::post().to(bare_paced)),
                )
            },
        );
        server.unwrap().run().await.unwrap();
    });
    address
}

fn start_engine() -> SocketAddr {
    let (listener, address) = listen();
    spawn("engine", move || async move {
        // More threads than the node has: it must not be the engine that limits.
        let server = ntex::server::build().workers(3).disable_signals().listen(
            "engine",
            listener,
            async |_| {
                HttpService::new(
                    App::new()
                        .route("/v1/completions", web::post().to(generate))
                        .route("/v1/load", web::get().to(report))
                        .route("/v1/orders", web::post().to(order)),
                )
            },
        );
        server.unwrap().run().await.unwrap();
    });
    address
}

async fn start_node(engine: SocketAddr) -> SocketAddr {
    use pitchstall_emulator::servers::platform;
    let (platform_listener, platform_address) = listen();
    let params = platform::PlatformParams {
        membership_lag: Duration::ZERO,
        ..platform::PlatformParams::default()
    };
    spawn("platform", move || async move {
        platform::serve(platform_listener, params).await.unwrap();
    });
    let (callers, callers_address) = listen();
    let (operators, operators_address) = listen();
    let (peers, peers_address) = listen();
    let text = format!(
        "[node]\nname = \"bench\"\nzone = \"z\"\n[listen]\ncallers = \"{callers_address}\"\n\
         operators = \"{operators_address}\"\npeers = \"{peers_address}\"\n\
         [platform]\nstore = \"{platform_address}\"\nmembers = \"{platform_address}\"\n\
         [operators]\nkey_sha256 = \"{}\"\n",
        digest_of(KEY)
    );
    let settings = DaemonSettings::parse(Path::new("bench"), &text).unwrap();
    let listeners = Listeners { callers, operators, peers };
    spawn("node", move || async move {
        serve(settings, listeners, Departure::default()).await.unwrap();
    });
    let client = Client::new().await;
    sleep(Millis(300)).await;
    let member = format!(
        "{{\"engine\":\"bench\",\"zone\":\"z\",\"address\":\"{engine}\",\"state\":\"live\"}}"
    );
    client
        .post(format!("http://{platform_address}/members/engines"))
        .send_body(member)
        .await
        .unwrap();
    let change = format!(
        "{{\"expected_revision\":0,\"change\":\"bench\",\"configuration\":{{\
         \"models\":{{\"base\":{{\"kv_bytes_per_token\":1,\"speed\":{{\
         \"prompt_tokens_per_second\":1000000,\"step_base_us\":1,\"step_per_sequence_us\":1,\
         \"max_sequences\":4000}}}}}},\
         \"services\":{{\"status\":{{\"model\":\"base\",\"zones\":[\"z\"],\"repeatable\":true}}}},\
         \"tenants\":{{\"t\":{{\"key_sha256\":\"{}\",\"tokens_per_second\":100000000,\
         \"burst_tokens\":1000000000}}}},\"planner\":{{\"enabled\":false}}}}}}",
        digest_of(KEY)
    );
    let answer = client
        .post(format!("http://{operators_address}/configuration"))
        .bearer_auth(KEY)
        .send_body(change)
        .await
        .unwrap();
    assert!(answer.status().is_success(), "{:?}", answer.body().await);
    sleep(Millis(4_000)).await;
    callers_address
}

/// Processor seconds of the threads of a server so far, from the kernel's own accounts.
fn processor_seconds(server: &str) -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let mut ticks = 0.0;
    for task in std::fs::read_dir("/proc/self/task").unwrap().flatten() {
        let Ok(stat) = std::fs::read_to_string(task.path().join("stat")) else {
            continue;
        };
        let Some((head, fields)) = stat.rsplit_once(')') else {
            continue;
        };
        if head.contains(&format!("({server}:worker")) {
            let fields: Vec<&str> = fields.split_whitespace().collect();
            ticks += fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
        }
    }
    ticks / TICKS_PER_SECOND
}

struct Measured {
    requests: u64,
    /// Connections that broke before an answer began.
    broken: u64,
    first_token_p95: Duration,
    between_tokens_p95: Duration,
}

/// Sends requests from several connections for a while.
async fn measure(url: String, prompt: &str, connections: usize, time: Duration) -> Measured {
    let body = format!(
        "{{\"model\":\"status\",\"prompt\":\"{prompt}\",\"max_tokens\":{TOKENS},\"stream\":true}}"
    );
    let end = Instant::now() + time;
    let done = Rc::new(Cell::new(0u64));
    let broken = Rc::new(Cell::new(0u64));
    let first: Rc<std::cell::RefCell<Vec<Duration>>> = Rc::default();
    let gaps: Rc<std::cell::RefCell<Vec<Duration>>> = Rc::default();
    let workers: Vec<_> = (0..connections)
        .map(|_| {
            let (url, body) = (url.clone(), body.clone());
            let (done, broken) = (done.clone(), broken.clone());
            let (first, gaps) = (first.clone(), gaps.clone());
            ntex::rt::spawn(async move {
                let client = Client::new().await;
                while Instant::now() < end {
                    let sent = Instant::now();
                    let request = client.post(&url).bearer_auth(KEY);
                    let Ok(answer) = request.send_body(body.clone()).await else {
                        broken.set(broken.get() + 1);
                        continue;
                    };
                    assert!(answer.status().is_success(), "{:?}", answer.status());
                    let mut payload = answer.take_payload();
                    let mut last = None;
                    while let Some(Ok(_)) = stream_recv(&mut payload).await {
                        let now = Instant::now();
                        match last {
                            None => first.borrow_mut().push(now - sent),
                            Some(before) => gaps.borrow_mut().push(now - before),
                        }
                        last = Some(now);
                    }
                    done.set(done.get() + 1);
                }
            })
        })
        .collect();
    for worker in workers {
        worker.await.unwrap();
    }
    let percentile = |times: &Rc<std::cell::RefCell<Vec<Duration>>>| {
        let mut times = times.borrow().clone();
        times.sort();
        times.get(times.len() * 95 / 100).copied().unwrap_or_default()
    };
    Measured {
        requests: done.get(),
        broken: broken.get(),
        first_token_p95: percentile(&first),
        between_tokens_p95: percentile(&gaps),
    }
}

#[ntex::main]
async fn main() {
    const TIME: Duration = Duration::from_secs(4);
    const FULL: usize = 32;
    const PACED_STREAMS: usize = 100;
    let handlers = start_handlers();
    let node = start_node(start_engine()).await;
    let bare_url = format!("http://{handlers}/bare");
    let node_url = format!("http://{node}/v1/completions");
    for round in 1..=3 {
        // The client has one thread and may be what limits; so requests are counted for a
        // second of the server's own processor time, which is what one core would do.
        let before = processor_seconds("handlers");
        let bare = measure(bare_url.clone(), "full", FULL, TIME).await;
        let bare_rate = bare.requests as f64 / (processor_seconds("handlers") - before);
        let before = processor_seconds("node");
        let through = measure(node_url.clone(), "full", FULL, TIME).await;
        let node_rate = through.requests as f64 / (processor_seconds("node") - before);
        println!(
            "round {round}, for a core: bare {bare_rate:.0} requests/s, {:.0} tokens/s; node \
             {node_rate:.0} requests/s, {:.0} tokens/s; ratio {:.2}; broken connections {} and {}",
            bare_rate * f64::from(TOKENS),
            node_rate * f64::from(TOKENS),
            node_rate / bare_rate,
            bare.broken,
            through.broken
        );
        let connections = PACED_STREAMS;
        let paced_url = format!("http://{handlers}/bare-paced");
        let bare = measure(paced_url, "paced", connections, TIME).await;
        let through = measure(node_url.clone(), "paced", connections, TIME).await;
        println!(
            "  {connections} paced streams: first token 95th bare {:.2} ms, node {:.2} ms; between tokens 95th bare {:.2} ms, node {:.2} ms",
            bare.first_token_p95.as_secs_f64() * 1e3,
            through.first_token_p95.as_secs_f64() * 1e3,
            bare.between_tokens_p95.as_secs_f64() * 1e3,
            through.between_tokens_p95.as_secs_f64() * 1e3
        );
    }
}
