//! Stand-ins for the platform and for engines, and a load tool, as processes.

use gumdrop::Options;
use pitchstall_emulator::load::{self, LoadPlan};
use pitchstall_emulator::models::profile::EngineProfile;
use pitchstall_emulator::servers::{engine, platform};
use pitchstall_protocol::engine::EngineRole;
use pitchstall_protocol::ids::{EngineId, ModelName, ZoneId};
use std::net::TcpListener;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "serve the platform: key-value service, membership list, weight store")]
    Platform(PlatformArguments),
    #[options(help = "serve one engine")]
    Engine(EngineArguments),
    #[options(help = "send requests to nodes and check each answer")]
    Load(LoadArguments),
}

#[derive(Debug, Options)]
struct PlatformArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on, IP:port", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "requests a second that the key-value service takes", default = "200")]
    store_rate: u64,
    #[options(help = "milliseconds by which the membership list lags", default = "1500")]
    membership_lag_ms: u64,
}

#[derive(Debug, Options)]
struct EngineArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on, IP:port", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "name; unique for each start", required)]
    name: String,
    #[options(help = "zone", required)]
    zone: String,
    #[options(help = "first role: prefill, decode or mixed", default = "mixed")]
    role: String,
    #[options(help = "first model", default = "base")]
    model: String,
    #[options(help = "address of the platform, IP:port", required)]
    platform: String,
    #[options(help = "file with engine parameters, TOML")]
    profile: Option<String>,
}

#[derive(Debug, Options)]
struct LoadArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "address of a node's callers' interface; may be given several times",
        required
    )]
    node: Vec<String>,
    #[options(help = "the tenant's key", required)]
    key: String,
    #[options(help = "the service to ask", required)]
    service: String,
    #[options(help = "requests", default = "100")]
    requests: usize,
    #[options(help = "requests at the same time", default = "8")]
    concurrency: usize,
    #[options(help = "seed of the prompts", default = "1")]
    seed: u64,
    #[options(help = "most tokens of an answer", default = "32")]
    max_tokens: u32,
    #[options(help = "send an idempotency key with each request")]
    once: bool,
}

#[ntex::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let result = match arguments.command {
        Some(Command::Platform(arguments)) => serve_platform(arguments).await,
        Some(Command::Engine(arguments)) => serve_engine(arguments).await,
        Some(Command::Load(arguments)) => run_load(arguments).await,
        None => Err(format!("expected a command\n\n{}", Arguments::usage())),
    };
    match result {
        Ok(code) => code,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(2)
        }
    }
}

fn listen(address: &str) -> Result<TcpListener, String> {
    let listener = TcpListener::bind(address)
        .map_err(|error| format!("cannot listen on {address}: {error}"))?;
    let bound = listener.local_addr().map_err(|error| error.to_string())?;
    // Whoever starts the process learns the port from this line.
    println!("listening on {bound}");
    Ok(listener)
}

async fn serve_platform(arguments: PlatformArguments) -> Result<ExitCode, String> {
    let params = platform::PlatformParams {
        store_requests_per_second: arguments.store_rate,
        membership_lag: Duration::from_millis(arguments.membership_lag_ms),
        ..platform::PlatformParams::default()
    };
    let listener = listen(&arguments.listen)?;
    platform::serve(listener, params).await.map_err(|error| error.to_string())?;
    Ok(ExitCode::SUCCESS)
}

async fn serve_engine(arguments: EngineArguments) -> Result<ExitCode, String> {
    let role = match arguments.role.as_str() {
        "prefill" => EngineRole::Prefill,
        "decode" => EngineRole::Decode,
        "mixed" => EngineRole::Mixed,
        other => return Err(format!("--role {other}: expected prefill, decode or mixed")),
    };
    let params = engine::EngineParams {
        engine: EngineId::new(&arguments.name),
        zone: ZoneId::new(&arguments.zone),
        role,
        model: ModelName::new(&arguments.model),
        profile: read_profile(arguments.profile.as_deref())?,
        platform: Some(arguments.platform),
    };
    let listener = listen(&arguments.listen)?;
    engine::serve(listener, params).await.map_err(|error| error.to_string())?;
    Ok(ExitCode::SUCCESS)
}

fn read_profile(path: Option<&str>) -> Result<EngineProfile, String> {
    let Some(path) = path else {
        return Ok(EngineProfile::default());
    };
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    toml::from_str(&text).map_err(|error| format!("{path}: {error}"))
}

async fn run_load(arguments: LoadArguments) -> Result<ExitCode, String> {
    let plan = LoadPlan {
        nodes: arguments.node,
        key: arguments.key,
        service: arguments.service,
        requests: arguments.requests,
        concurrency: arguments.concurrency,
        seed: arguments.seed,
        prompt_bytes: 400..4_000,
        max_tokens: arguments.max_tokens,
        idempotent: arguments.once,
    };
    let report = load::run(plan).await.map_err(|error| error.to_string())?;
    println!("{report}");
    Ok(if report.all_whole() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
