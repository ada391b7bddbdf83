//! `pitchstall check`: validates a settings file or a policy program.

use crate::CommandError;
use gumdrop::Options;
use pitchstall_gateway::policy::PolicyProgram;
use pitchstall_gateway::settings::{NodeSection, Settings};
use pitchstall_policy::{PolicyEngine, PolicyError, PolicyInput};
use pitchstall_serving::ids::{ServiceName, ZoneId};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// File name extension of policy programs.
const PROGRAM_EXTENSION: &str = "rhai";
/// Sizes of the sample requests: prompt tokens and maximum output tokens.
const SAMPLE_SIZES: [(u64, u64); 3] = [(10, 10), (500, 200), (20_000, 1_000)];
const SAMPLE_ZONES: [&str; 3] = ["sample-east", "sample-west", "sample-north"];

/// Arguments of `pitchstall check`.
#[derive(Debug, Options)]
pub struct CheckArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "a settings file (TOML) or a policy program (.rhai)")]
    file: PathBuf,
}

/// Checks a file: a policy program if it has the extension `.rhai`, otherwise a settings file.
pub fn run(arguments: &CheckArguments) -> Result<ExitCode, CommandError> {
    let file = &arguments.file;
    if file.extension().is_some_and(|extension| extension == PROGRAM_EXTENSION) {
        let source = read(file)?;
        check_program(&source)
            .map_err(|error| CommandError::Policy(file.display().to_string(), error))?;
        println!("{}: valid policy program", file.display());
        return Ok(ExitCode::SUCCESS);
    }
    let settings = Settings::read(file)?;
    PolicyProgram::read(&settings.policy)?;
    println!("{}: valid settings", file.display());
    print_regions(&settings.node);
    Ok(ExitCode::SUCCESS)
}

/// Prints the region of the node's zone, and of every other zone that the settings name.
fn print_regions(node: &NodeSection) {
    let zone = &node.zone;
    match node.regions.get(zone) {
        Some(region) => println!("zone {zone} (this node): region {region}"),
        None => println!("zone {zone} (this node): not named, a region of its own"),
    }
    for (other, region) in node.regions.iter().filter(|(other, _)| *other != zone) {
        println!("zone {other}: region {region}");
    }
}

/// Reads a UTF-8 file; the error names its path.
pub fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|error| CommandError::File(format!("{}: {error}", path.display())))
}

/// Compiles a program and runs it on sample requests, so that a program that does not terminate or does
/// not return a decision is rejected before it is applied.
fn check_program(source: &str) -> Result<(), PolicyError> {
    let engine = PolicyEngine::new();
    let policy = engine.compile(source)?;
    let zones: BTreeSet<ZoneId> = SAMPLE_ZONES.into_iter().map(ZoneId::new).collect();
    for zone in &zones {
        for (prompt_tokens, max_tokens) in SAMPLE_SIZES {
            let input = PolicyInput {
                host: "sample.example",
                service: &ServiceName::new("sample"),
                prompt_tokens,
                max_tokens,
                zone,
                zones: &zones,
                priority: 0,
            };
            engine.run(&policy, &input)?;
        }
    }
    Ok(())
}
