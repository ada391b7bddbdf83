//! Plays ends of streams with real processes of nodes and runners, and counts what their clients received out of order.
//!
//! `cargo run --release -p pitchstall-soak --example stream_ends -- --program target/release/pitchstall`
//!
//! Each row is a scenario: what a runner does in the middle of a stream, how it delimits its response, and what happens to
//! the client's node meanwhile; in the rows "rejoined", what happens to all nodes, to the software versions and to the store. The exit code is 1 if a stream had a fault or too few were whole, and 2 if a scenario could not be played.
#![allow(missing_docs)]

mod fleet;
mod rejoined;

use fleet::{Fleet, FleetSize, HOST};
use gumdrop::Options;
use nix::sys::signal::Signal;
use pitchstall_soak::run_plan::{Framing, RunEnd, RunPlan};
use pitchstall_soak::runner_program::{self, Identity, LAST_EVENT};
use pitchstall_soak::stream_client::{fetch, StreamRequest, SHORT_PATIENCE};
use pitchstall_soak::stream_judgement::{faults_of, StreamFault, Try, TryEnd};
use rejoined::Rejoined;
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Number of the event after which the run, or the node, is disturbed.
const DISTURBED_AFTER: u64 = 3;
const ONE_VERSION: FleetSize = FleetSize { nodes: 3, versions: &["v1"; 4], has_eras: false };
const TWO_VERSIONS: FleetSize =
    FleetSize { nodes: 3, versions: &["v1", "v1", "v2", "v2"], has_eras: false };
/// Time for which a node is paused.
const NODE_PAUSE: Duration = Duration::from_millis(1_500);

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "path of the pitchstall program", default = "target/release/pitchstall")]
    program: PathBuf,
    #[options(help = "streams of each scenario", default = "8")]
    streams: usize,
    #[options(help = "scenarios that are played at once", default = "4")]
    jobs: usize,
    #[options(help = "play only scenarios whose names contain this text", no_short)]
    only: Option<String>,
    #[options(help = "keep the logs of the nodes in this folder", no_short)]
    logs: Option<PathBuf>,
    #[options(help = "be a runner with this id", no_short)]
    runner: Option<String>,
    #[options(help = "software version of the runner", default = "v1", no_short)]
    version: String,
}

/// What happens to the client's node in the middle of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeTrouble {
    None,
    Kill,
    Terminate,
    Pause,
}

/// How the route of a scenario lets its requests be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RouteUse {
    Resumable,
    Once,
    Plain,
}

#[derive(Clone, Copy)]
struct Scenario {
    framing: Framing,
    end: RunEnd,
    trouble: NodeTrouble,
    route: RouteUse,
    http_version: &'static str,
    size: FleetSize,
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { framing, end, trouble, route, http_version, size } = self;
        let versions = if size.versions.windows(2).any(|pair| pair[0] != pair[1]) { 2 } else { 1 };
        write!(f, "{framing:?} {end:?} node-{trouble:?} {route:?} client-{http_version} versions-{versions}")
    }
}

/// A row of the table: what is disturbed.
enum Row {
    /// One run, or the node of one client.
    OneStream(Scenario),
    /// Several nodes at once.
    Rejoined(Rejoined),
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OneStream(scenario) => scenario.fmt(f),
            Self::Rejoined(scenario) => scenario.fmt(f),
        }
    }
}

fn rows() -> Vec<Row> {
    let streams = scenarios().into_iter().map(Row::OneStream);
    streams.chain(rejoined::scenarios().into_iter().map(Row::Rejoined)).collect()
}

fn scenarios() -> Vec<Scenario> {
    const FRAMINGS: [Framing; 4] =
        [Framing::Chunked, Framing::Length, Framing::Unframed, Framing::Http10];
    const ENDS: [RunEnd; 9] = [
        RunEnd::Whole,
        RunEnd::Kill,
        RunEnd::KillInside,
        RunEnd::Exit,
        RunEnd::Close,
        RunEnd::CloseInside,
        RunEnd::Reset,
        RunEnd::Pause,
        RunEnd::Stop,
    ];
    let plain = Scenario {
        framing: Framing::Chunked,
        end: RunEnd::Whole,
        trouble: NodeTrouble::None,
        route: RouteUse::Resumable,
        http_version: "1.1",
        size: ONE_VERSION,
    };
    let mut scenarios = Vec::new();
    for framing in FRAMINGS {
        for end in ENDS {
            scenarios.push(Scenario { framing, end, ..plain });
            scenarios.push(Scenario { framing, end, size: TWO_VERSIONS, ..plain });
            scenarios.push(Scenario { framing, end, route: RouteUse::Once, ..plain });
        }
        for end in [RunEnd::Kill, RunEnd::KillInside, RunEnd::Close, RunEnd::Reset] {
            scenarios.push(Scenario { framing, end, route: RouteUse::Plain, ..plain });
            scenarios.push(Scenario { framing, end, http_version: "1.0", ..plain });
        }
    }
    for trouble in [NodeTrouble::Kill, NodeTrouble::Terminate, NodeTrouble::Pause] {
        for framing in [Framing::Chunked, Framing::Unframed] {
            for route in [RouteUse::Resumable, RouteUse::Once] {
                scenarios.push(Scenario { framing, trouble, route, ..plain });
                scenarios.push(Scenario { framing, trouble, route, size: TWO_VERSIONS, ..plain });
                scenarios.push(Scenario { framing, trouble, route, http_version: "1.0", ..plain });
            }
        }
    }
    scenarios
}

/// What came of the streams of a scenario.
#[derive(Default)]
struct Counts {
    whole: usize,
    /// Streams that are not whole, and whose client knows it.
    cut: usize,
    refused: usize,
    faults: BTreeMap<StreamFault, usize>,
    /// Number of streams by which `whole` is below the required number.
    missing_whole: usize,
}

impl Counts {
    /// Notes how many of the required whole streams are missing.
    fn require_whole(&mut self, required: usize) {
        self.missing_whole = required.saturating_sub(self.whole);
    }

    /// Number of faults, each missing whole stream included.
    fn fault_count(&self) -> usize {
        self.faults.values().sum::<usize>() + self.missing_whole
    }

    fn add(&mut self, tries: &[Try], is_resumable: bool) {
        let faults = faults_of(tries, LAST_EVENT, is_resumable);
        for fault in &faults {
            *self.faults.entry(*fault).or_default() += 1;
        }
        let has_events = tries.iter().any(|it| !it.events.is_empty());
        let end = tries.last().map(|it| it.end);
        match end {
            _ if !faults.is_empty() => {}
            Some(TryEnd::Complete) => self.whole += 1,
            Some(TryEnd::Status(_)) if !has_events => self.refused += 1,
            _ => self.cut += 1,
        }
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { whole, cut, refused, faults, missing_whole } = self;
        write!(f, "whole {whole}, cut {cut}, refused {refused}, faults {faults:?}")?;
        if *missing_whole > 0 {
            write!(f, ", {missing_whole} too few whole")?;
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if let Some(id) = arguments.runner {
        let identity = Identity { id, version: arguments.version };
        return match runner_program::run(identity) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => could_not_run(&error),
        };
    }
    let folder =
        std::env::temp_dir().join(format!("pitchstall-stream-ends-{}", std::process::id()));
    let folder = arguments.logs.clone().unwrap_or(folder);
    if let Err(error) = std::fs::create_dir_all(&folder) {
        return could_not_run(&error);
    }
    let result = play_all(&arguments, &folder);
    if arguments.logs.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => could_not_run(&error),
    }
}

fn could_not_run(error: &std::io::Error) -> ExitCode {
    eprintln!("stream_ends: {error}");
    ExitCode::from(2)
}

/// Plays the chosen scenarios and prints a line for each. Returns the number of streams with a fault.
fn play_all(arguments: &Arguments, folder: &Path) -> std::io::Result<usize> {
    let only = arguments.only.as_deref().unwrap_or_default();
    let chosen: Vec<Row> = rows().into_iter().filter(|it| it.to_string().contains(only)).collect();
    let next = AtomicUsize::new(0);
    let failure = Mutex::new(None);
    let faults = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for job in 0..arguments.jobs {
            let (chosen, next, failure, faults) = (&chosen, &next, &failure, &faults);
            scope.spawn(move || {
                while let Some(row) = chosen.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let number = u8::try_from(job).unwrap_or_default();
                    let played = match row {
                        Row::OneStream(scenario) => play(arguments, folder, number, *scenario),
                        Row::Rejoined(scenario) => {
                            rejoined::play(arguments, folder, number, scenario)
                        }
                    };
                    match played {
                        Ok(counts) => {
                            println!("{row}: {counts}");
                            faults.fetch_add(counts.fault_count(), Ordering::SeqCst);
                        }
                        Err(error) => {
                            eprintln!("stream_ends: {row}: {error}");
                            if let Ok(mut failure) = failure.lock() {
                                failure.get_or_insert(error);
                            }
                        }
                    }
                }
            });
        }
    });
    let faults = faults.into_inner();
    println!("{} scenarios, {faults} faults", chosen.len());
    match failure.into_inner() {
        Ok(Some(error)) => Err(error),
        _ => Ok(faults),
    }
}

fn play(
    arguments: &Arguments,
    folder: &Path,
    number: u8,
    scenario: Scenario,
) -> std::io::Result<Counts> {
    let mut fleet = Fleet::start(&arguments.program, folder, number, scenario.size)?;
    let mut counts = Counts::default();
    let (path, is_resumable) = match scenario.route {
        RouteUse::Resumable => ("/resumable/", true),
        RouteUse::Once => ("/once/", false),
        RouteUse::Plain => ("/plain/", true),
    };
    let plan = RunPlan {
        framing: scenario.framing,
        end: scenario.end,
        after: DISTURBED_AFTER,
        is_split: false,
    };
    let request = StreamRequest {
        host: HOST,
        key: None,
        path,
        is_resumable,
        http_version: scenario.http_version,
        plan,
        patience: SHORT_PATIENCE,
        names_origin: true,
    };
    for stream in 0..arguments.streams {
        let nodes = fleet.client_addresses();
        let first = stream % nodes.len();
        let fetched = std::thread::scope(|scope| {
            fetch(&nodes, first, request, |attempt, event| {
                if attempt == 0 && event.number == DISTURBED_AFTER {
                    disturb(&fleet, first, scenario.trouble, scope);
                }
            })
        });
        counts.add(&fetched.tries, is_resumable && scenario.route != RouteUse::Plain);
        if matches!(scenario.trouble, NodeTrouble::Kill | NodeTrouble::Terminate) {
            fleet.wait_for_end(first);
        }
        fleet.repair()?;
    }
    Ok(counts)
}

fn disturb<'scope>(
    fleet: &'scope Fleet,
    node: usize,
    trouble: NodeTrouble,
    scope: &'scope std::thread::Scope<'scope, '_>,
) {
    match trouble {
        NodeTrouble::None => {}
        NodeTrouble::Kill => fleet.signal_node(node, Signal::SIGKILL),
        NodeTrouble::Terminate => fleet.signal_node(node, Signal::SIGTERM),
        NodeTrouble::Pause => {
            fleet.signal_node(node, Signal::SIGSTOP);
            scope.spawn(move || {
                std::thread::sleep(NODE_PAUSE);
                fleet.signal_node(node, Signal::SIGCONT);
            });
        }
    }
}
