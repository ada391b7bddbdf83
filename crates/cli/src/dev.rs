//! `pitchstall dev`: everything in one process, to try it out.

use crate::runtime::{block_on, stop_flag, wait_for_stop};
use crate::{CommandError, EXIT_FAILED};
use gumdrop::Options;
use ntex::client::Client;
use ntex::rt::{DefaultRuntime, System};
use ntex::time::{sleep, Millis};
use pitchstall_emulator::load::{self, LoadPlan, Outcome};
use pitchstall_emulator::models::profile::EngineProfile;
use pitchstall_emulator::servers::{engine, platform};
use pitchstall_node::daemon::{serve, Departure, Listeners};
use pitchstall_node::keys::digest_of;
use pitchstall_node::settings::{LogFormat, LogSection};
use pitchstall_node::{logging, DaemonSettings};
use pitchstall_platform::http::new_client;
use pitchstall_protocol::configuration::Configuration;
use pitchstall_protocol::engine::EngineRole;
use pitchstall_protocol::ids::{ChangeId, EngineId, ModelName, NodeId, Revision, ZoneId};
use pitchstall_protocol::membership::{MemberState, NodeMember};
use pitchstall_protocol::operator::{ApplyOutcome, ApplyRequest, SpreadStatus};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Arguments of `pitchstall dev`.
#[derive(Debug, Options)]
pub struct DevArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "send a small mixed load, print a report and stop")]
    once: bool,
    #[options(help = "log levels by module", default = "warn")]
    log: String,
}

const ZONES: [&str; 2] = ["east", "west"];
const NODES_IN_ZONE: usize = 2;
const ENGINE_ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
const CALLER_KEY: &str = "dev-caller-key";
const OPERATOR_KEY: &str = "dev-operator-key";
const READY_WITHIN: Duration = Duration::from_secs(20);

/// The configuration that `dev` applies.
const CONFIGURATION: &str = include_str!("../../../examples/dev-configuration.toml");

/// Runs everything in this process.
pub fn run(arguments: &DevArguments) -> Result<ExitCode, CommandError> {
    let section = LogSection { levels: arguments.log.clone(), format: LogFormat::Text };
    let _logger =
        logging::start(&section).map_err(|error| CommandError::Logging(error.to_string()))?;
    let once = arguments.once;
    let stop = stop_flag()?;
    block_on("dev", async move {
        let fleet = DevFleet::start().await?;
        fleet.configure().await?;
        if once {
            return fleet.send_load().await;
        }
        fleet.explain();
        wait_for_stop(stop).await;
        Ok(ExitCode::SUCCESS)
    })
}

struct DevFleet {
    client: Client,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
}

fn listen() -> Result<(TcpListener, SocketAddr), CommandError> {
    let failed = |error: std::io::Error| CommandError::Fleet(format!("cannot listen: {error}"));
    let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

/// Runs a server on a thread of its own for as long as the process lives.
fn spawn_server<F, E>(name: &str, serve: impl FnOnce() -> F + Send + 'static)
where
    F: std::future::Future<Output = Result<(), E>> + 'static,
    E: std::fmt::Display + 'static,
{
    let name = name.to_owned();
    std::thread::spawn(move || {
        let system = System::build().name(&name).build(DefaultRuntime);
        let served = system.block_on(async move { serve().await });
        if let Err(error) = served {
            log::error!(server = name.as_str(), error:% = error; "a server failed");
        }
    });
}

impl DevFleet {
    async fn start() -> Result<Self, CommandError> {
        let client = new_client().await.map_err(|error| CommandError::Fleet(error.to_string()))?;
        let (listener, platform) = listen()?;
        let params = platform::PlatformParams {
            membership_lag: Duration::from_millis(50),
            ..platform::PlatformParams::default()
        };
        spawn_server("platform", move || platform::serve(listener, params));
        let mut fleet = Self { client, callers: Vec::new(), operators: Vec::new() };
        for zone in ZONES {
            for (number, role) in ENGINE_ROLES.into_iter().enumerate() {
                start_engine(zone, number, role, platform)?;
            }
            for number in 0..NODES_IN_ZONE {
                fleet.start_node(zone, number, platform).await?;
            }
        }
        Ok(fleet)
    }

    async fn start_node(
        &mut self,
        zone: &str,
        number: usize,
        platform: SocketAddr,
    ) -> Result<(), CommandError> {
        let name = format!("{zone}-{number}");
        let (callers, callers_address) = listen()?;
        let (operators, operators_address) = listen()?;
        let (peers, peers_address) = listen()?;
        let text = format!(
            "[node]\nname = \"{name}\"\nzone = \"{zone}\"\n\
             [listen]\ncallers = \"{callers_address}\"\noperators = \"{operators_address}\"\n\
             peers = \"{peers_address}\"\n\
             [platform]\nstore = \"{platform}\"\nmembers = \"{platform}\"\n\
             [operators]\nkey_sha256 = \"{}\"\n",
            digest_of(OPERATOR_KEY)
        );
        let settings = DaemonSettings::parse(Path::new("dev"), &text)?;
        let listeners = Listeners { callers, operators, peers };
        spawn_server(&name, move || serve(settings, listeners, Departure::default()));
        self.callers.push(callers_address);
        self.operators.push(operators_address);
        let member = NodeMember {
            node: NodeId::new(&name),
            zone: ZoneId::new(zone),
            peer_address: peers_address.to_string(),
            state: MemberState::Live,
        };
        self.list_node(platform, &member).await
    }

    async fn list_node(
        &self,
        platform: SocketAddr,
        member: &NodeMember,
    ) -> Result<(), CommandError> {
        let started = Instant::now();
        let url = format!("http://{platform}/members/nodes");
        while self.client.post(&url).send_json(member).await.is_err() {
            give_up_after(started, "the platform")?;
            sleep(Millis(20)).await;
        }
        Ok(())
    }

    /// Applies the configuration and waits until it is in force everywhere.
    async fn configure(&self) -> Result<(), CommandError> {
        let configuration: Configuration = toml::from_str(CONFIGURATION)
            .map_err(|error| CommandError::File(format!("dev configuration: {error}")))?;
        let request = ApplyRequest {
            expected_revision: Revision(0),
            change: ChangeId::new("dev"),
            configuration,
        };
        let started = Instant::now();
        loop {
            let answer = self.post_configuration(&request).await;
            if matches!(answer, Some(ApplyOutcome::Committed { .. })) {
                break;
            }
            give_up_after(started, "the commit of the configuration")?;
            sleep(Millis(100)).await;
        }
        while !self.is_ready().await {
            give_up_after(started, "the fleet")?;
            sleep(Millis(50)).await;
        }
        Ok(())
    }

    async fn post_configuration(&self, request: &ApplyRequest) -> Option<ApplyOutcome> {
        let url = format!("http://{}/configuration", self.operators[0]);
        let request = self.client.post(url).bearer_auth(OPERATOR_KEY).send_json(request);
        let answer = request.await.ok()?;
        serde_json::from_slice(&answer.body().await.ok()?).ok()
    }

    async fn is_ready(&self) -> bool {
        for operators in &self.operators {
            if !self.node_is_ready(operators).await {
                return false;
            }
        }
        true
    }

    /// Whether a node knows all engines of its zone and that its configuration is in force.
    async fn node_is_ready(&self, operators: &SocketAddr) -> bool {
        let Some(metrics) = self.fetch(operators, "/metrics").await else {
            return false;
        };
        let engines = format!("pitchstall_engines_ready {}\n", ENGINE_ROLES.len());
        let Some(spread) = self.fetch(operators, "/configuration/spread").await else {
            return false;
        };
        let spread = serde_json::from_str::<SpreadStatus>(&spread);
        metrics.contains(&engines) && spread.is_ok_and(|status| status.in_force_everywhere)
    }

    async fn fetch(&self, address: &SocketAddr, path: &str) -> Option<String> {
        let request = self.client.get(format!("http://{address}{path}"));
        let answer = request.bearer_auth(OPERATOR_KEY).send().await.ok()?;
        String::from_utf8(answer.body().await.ok()?.to_vec()).ok()
    }

    fn explain(&self) {
        println!("nodes for callers:");
        for address in &self.callers {
            println!("  http://{address}");
        }
        println!("nodes for operators (key {OPERATOR_KEY}):");
        for address in &self.operators {
            println!("  http://{address}");
        }
        println!("\ntry:\n");
        println!(
            "curl -N http://{}/v1/completions -H 'Authorization: Bearer {CALLER_KEY}' \\\n  \
             -H 'Content-Type: application/json' \\\n  \
             -d '{{\"model\":\"station-status\",\"prompt\":\"Is slot 4 free?\",\
             \"max_tokens\":16,\"stream\":true}}'\n",
            self.callers[0]
        );
        println!("stop with Ctrl-C");
    }

    /// Long prompts, short prompts, and requests that may not be repeated.
    async fn send_load(&self) -> Result<ExitCode, CommandError> {
        let plan = LoadPlan {
            nodes: self.callers.iter().map(ToString::to_string).collect(),
            key: CALLER_KEY.to_owned(),
            service: "station-status".to_owned(),
            requests: 40,
            concurrency: 8,
            seed: 1,
            prompt_bytes: 100..1_000,
            max_tokens: 16,
            idempotent: false,
        };
        let logs = LoadPlan {
            service: "shift-logs".to_owned(),
            requests: 8,
            concurrency: 4,
            prompt_bytes: 20_000..40_000,
            max_tokens: 32,
            ..plan.clone()
        };
        let bookings = LoadPlan {
            service: "booking".to_owned(),
            requests: 12,
            concurrency: 4,
            idempotent: true,
            ..plan.clone()
        };
        let mut all_whole = true;
        for plan in [plan, logs, bookings] {
            let service = plan.service.clone();
            let report =
                load::run(plan).await.map_err(|error| CommandError::Fleet(error.to_string()))?;
            println!("{service}\n{report}\n");
            all_whole &= report.all_whole() && report.count(Outcome::Whole) > 0;
        }
        println!(
            "{}",
            if all_whole { "every answer was whole" } else { "not every answer was whole" }
        );
        Ok(if all_whole { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) })
    }
}

fn start_engine(
    zone: &str,
    number: usize,
    role: EngineRole,
    platform: SocketAddr,
) -> Result<(), CommandError> {
    let (listener, _) = listen()?;
    let name = format!("{zone}-engine-{number}");
    let params = engine::EngineParams {
        engine: EngineId::new(&name),
        zone: ZoneId::new(zone),
        role,
        model: ModelName::new("base"),
        profile: EngineProfile::default(),
        platform: Some(platform.to_string()),
    };
    spawn_server(&name, move || engine::serve(listener, params));
    Ok(())
}

fn give_up_after(started: Instant, what: &str) -> Result<(), CommandError> {
    if started.elapsed() < READY_WITHIN {
        return Ok(());
    }
    let seconds = READY_WITHIN.as_secs();
    Err(CommandError::Fleet(format!("{what} was not ready within {seconds} s")))
}
