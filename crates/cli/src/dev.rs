//! `pitchstall dev`: runs nodes and stand-ins for the platform in one process, for evaluation.

use crate::runtime::{stop_flag, StopFlag};
use crate::{CommandError, EXIT_FAILED};
use gumdrop::Options;
use ntex::rt::{DefaultRuntime, System};
use pitchstall_gateway::daemon::{self, Signals};
use pitchstall_gateway::logging;
use pitchstall_gateway::settings::{
    BoundsSection, CapacitySection, CloudSection, Duty, ListenSection, LogSection, MachineSection,
    NodeSection, PolicySection, QuotaSection, Settings, StoreSection, UsageSection,
};
use pitchstall_platform_standins::client::{example_request, send_load};
use pitchstall_platform_standins::fleet::{StandInFleet, LIMITED_KEY, ZONES};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Arguments of `pitchstall dev`.
#[derive(Debug, Options)]
pub struct DevArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "send a small mixed load, print a report and exit")]
    once: bool,
    #[options(help = "log levels by module", default = "warn")]
    log: String,
    #[options(
        help = "first of twelve consecutive ports on the loopback interface",
        default = "17380"
    )]
    port: u16,
    #[options(help = "number of regions that the zones belong to, 1 or 2", default = "1")]
    regions: usize,
    #[options(
        help = "one-way delay in milliseconds from nodes to runners of the other region, and from \
                the second region to the store",
        default = "30"
    )]
    region_delay_ms: u64,
}

const REGIONS: [&str; ZONES.len()] = ["region-1", "region-2"];
const NODES_PER_ZONE: u16 = 2;
/// Ports of a node on consecutive numbers: for clients, for health checks and for peers.
const PORTS_PER_NODE: u16 = 3;
const REQUESTS: usize = 60;
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the fleet of stand-ins and the nodes, and runs until SIGTERM or SIGINT, or with `--once` until a
/// small load is done.
pub fn run(arguments: &DevArguments) -> Result<ExitCode, CommandError> {
    if !(1..=REGIONS.len()).contains(&arguments.regions) {
        let max = REGIONS.len();
        return Err(CommandError::Usage(format!("--regions: expected 1 to {max}")));
    }
    let _logger =
        logging::start(&arguments.log).map_err(|error| CommandError::Logging(error.to_string()))?;
    let stop = stop_flag()?;
    let fleet = StandInFleet::start()
        .map_err(|error| CommandError::Fleet(format!("stand-ins cannot be started: {error}")))?;
    let store_addresses = store_addresses(&fleet, arguments)
        .map_err(|error| CommandError::Fleet(format!("links cannot be started: {error}")))?;
    let nodes = start_nodes(&fleet, &store_addresses, arguments);
    wait_until_ready(&nodes)?;
    for node in &nodes {
        println!("node on http://{node}");
    }
    println!("{}", example_request(nodes[0]));
    println!("the key {LIMITED_KEY} is of a tenant with a limit: status 429 above it");
    if arguments.once {
        return Ok(run_load(&nodes));
    }
    wait_for_stop(&stop);
    Ok(ExitCode::SUCCESS)
}

/// Addresses at which the nodes of each zone reach the store, in order of [`ZONES`].
fn store_addresses(
    fleet: &StandInFleet,
    arguments: &DevArguments,
) -> std::io::Result<Vec<SocketAddr>> {
    if arguments.regions == 1 {
        return Ok(vec![fleet.store.address(); ZONES.len()]);
    }
    let delay = Duration::from_millis(arguments.region_delay_ms);
    ZONES.iter().map(|zone| fleet.store_view_from(zone, delay)).collect()
}

fn start_nodes(
    fleet: &StandInFleet,
    store_addresses: &[SocketAddr],
    arguments: &DevArguments,
) -> Vec<SocketAddr> {
    let mut nodes = Vec::new();
    let placements =
        ZONES.iter().zip(store_addresses).zip((0..).step_by(usize::from(NODES_PER_ZONE)));
    for ((zone, store), first) in placements {
        for number in first..first + NODES_PER_ZONE {
            let port = arguments.port + number * PORTS_PER_NODE;
            let mut settings = settings(zone, number, port, fleet);
            settings.store.address = *store;
            settings.node.regions = regions(arguments.regions);
            nodes.push(settings.listen.callers);
            std::thread::spawn(move || run_node(settings));
        }
    }
    nodes
}

/// The region of each zone; empty if there is only one region.
fn regions(count: usize) -> BTreeMap<String, String> {
    let pairs = ZONES.iter().zip(REGIONS).filter(|_| count > 1);
    pairs.map(|(zone, region)| ((*zone).to_owned(), region.to_owned())).collect()
}

fn run_node(settings: Settings) {
    let name = settings.node.name.clone();
    let run = daemon::run(settings, PathBuf::new(), Signals::default());
    if let Err(error) = System::build().name(&name).build(DefaultRuntime).block_on(run) {
        eprintln!("pitchstall: {name}: {error}");
    }
}

fn settings(zone: &str, number: u16, port: u16, fleet: &StandInFleet) -> Settings {
    let address = |offset: u16| SocketAddr::from((Ipv4Addr::LOCALHOST, port + offset));
    Settings {
        node: NodeSection {
            name: format!("node-{number}"),
            zone: zone.to_owned(),
            regions: BTreeMap::new(),
            seeds: Vec::new(),
        },
        listen: ListenSection { callers: address(0), health: address(1), peers: address(2) },
        store: StoreSection { address: fleet.store.address() },
        bounds: BoundsSection {
            contact_ms: 3_000,
            grace_s: 8.0,
            lease_ms: 3_000,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            config_apply_ms: 2_000,
            revoke_strict: false,
            revoke_ms: None,
        },
        cloud: Some(CloudSection {
            address: fleet.cloud.address(),
            duties: vec![Duty::Usage],
            usage: Some(UsageSection { window_s: 5.0, due_s: 10.0 }),
        }),
        capacity: CapacitySection::default(),
        quota: QuotaSection::default(),
        machine: MachineSection::default(),
        policy: PolicySection::default(),
        log: LogSection::default(),
    }
}

/// Waits until each node has served a stream and a booking. Fails after [`READY_TIMEOUT`].
fn wait_until_ready(nodes: &[SocketAddr]) -> Result<(), CommandError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let is_ready = |node: &SocketAddr| {
        TcpStream::connect(node).is_ok() && send_load(&[*node], 2).failures.is_empty()
    };
    while !nodes.iter().all(is_ready) {
        if Instant::now() >= deadline {
            return Err(CommandError::Fleet("nodes did not become ready in time".to_owned()));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn run_load(nodes: &[SocketAddr]) -> ExitCode {
    let report = send_load(nodes, REQUESTS);
    println!("{} of {REQUESTS} answers were whole", report.complete);
    report.failures.iter().for_each(|failure| println!("{failure}"));
    if report.failures.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED)
    }
}

fn wait_for_stop(stop: &StopFlag) {
    while !stop.load(Ordering::Acquire) {
        std::thread::sleep(POLL_INTERVAL);
    }
}
