//! `pitchstall experiment`.

use crate::{CommandError, EXIT_FAILED};
use gumdrop::Options;
use pitchstall_emulator::experiments::faults::{self, FaultRunSpec, FaultSummary};
use pitchstall_emulator::experiments::scale::{self, FleetSize};
use serde::Serialize;
use std::process::ExitCode;

/// Arguments of `pitchstall experiment`.
#[derive(Debug, Options)]
pub struct ExperimentArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "faults or scale", required)]
    scenario: String,
    #[options(help = "scale: nodes in all", default = "330")]
    nodes: usize,
    #[options(help = "scale: engines in all", default = "1300")]
    runners: usize,
    #[options(help = "scale: zones", default = "31")]
    zones: usize,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(help = "number of runs; the seeds follow the first", default = "1")]
    runs: u64,
    #[options(help = "json or text", default = "text")]
    format: String,
    #[options(help = "threads", default = "4")]
    threads: usize,
}

/// Runs an experiment.
pub fn run(arguments: &ExperimentArguments) -> Result<ExitCode, CommandError> {
    match arguments.scenario.as_str() {
        "faults" => run_faults(arguments),
        "scale" => run_scale(arguments),
        other => Err(CommandError::Usage(format!("--scenario {other}: expected faults or scale"))),
    }
}

fn run_faults(arguments: &ExperimentArguments) -> Result<ExitCode, CommandError> {
    let spec = FaultRunSpec::default();
    let summary = faults::run_many(arguments.seed, arguments.runs, spec, arguments.threads);
    match arguments.format.as_str() {
        "json" => print_json(&summary)?,
        "text" => print_faults(&summary),
        other => {
            return Err(CommandError::Usage(format!("--format {other}: expected json or text")))
        }
    }
    Ok(if summary.is_violated() { ExitCode::from(EXIT_FAILED) } else { ExitCode::SUCCESS })
}

fn run_scale(arguments: &ExperimentArguments) -> Result<ExitCode, CommandError> {
    let size =
        FleetSize { nodes: arguments.nodes, engines: arguments.runners, zones: arguments.zones };
    if size.zones == 0 || size.nodes < size.zones {
        return Err(CommandError::Usage("expected at least one node in each zone".to_owned()));
    }
    // Text and JSON are the same here: every figure has a name.
    print_json(&scale::run(size, arguments.seed))?;
    Ok(ExitCode::SUCCESS)
}

fn print_json<T: Serialize>(value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| CommandError::File(error.to_string()))?;
    println!("{text}");
    Ok(())
}

fn print_faults(summary: &FaultSummary) {
    println!("{} runs from seed {}", summary.runs, summary.first_seed);
    println!("{:<28} {:>10} {:>10}  seeds", "promise", "checked", "violations");
    for (promise, result) in &summary.promises {
        let seeds: Vec<String> = result.seeds.iter().take(8).map(u64::to_string).collect();
        let name = format!("{promise:?}");
        println!(
            "{name:<28} {:>10} {:>10}  {}",
            result.checked,
            result.violations,
            seeds.join(" ")
        );
        if let Some(first) = &result.first {
            println!("    {first}");
        }
    }
    println!("faults: {:?}", summary.faults);
    println!("requests: {:?}", summary.requests);
}
