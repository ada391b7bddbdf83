//! `pitchstall check`.

use crate::{CommandError, EXIT_FAILED};
use gumdrop::Options;
use pitchstall_gateway::settings::Settings;
use pitchstall_node::DaemonSettings;
use pitchstall_protocol::configuration::Configuration;
use pitchstall_protocol::ids::{ServiceName, TenantId};
use pitchstall_scheduling::policy::{PolicyEngine, PolicyInput};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Arguments of `pitchstall check`.
#[derive(Debug, Options)]
pub struct CheckArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "a settings file or a configuration file, TOML")]
    file: PathBuf,
}

/// Checks a file. A file with a `[node]` section is a settings file, with `[store]` one of
/// `serve`; any other is a configuration.
pub fn run(arguments: &CheckArguments) -> Result<ExitCode, CommandError> {
    let text = read(&arguments.file)?;
    let has_section = |name: &str| text.lines().any(|line| line.trim() == name);
    if has_section("[node]") && has_section("[store]") {
        Settings::parse(&arguments.file, &text)?;
        println!("{}: valid settings", arguments.file.display());
        return Ok(ExitCode::SUCCESS);
    }
    if has_section("[node]") {
        DaemonSettings::parse(&arguments.file, &text)?;
        println!("{}: valid settings", arguments.file.display());
        return Ok(ExitCode::SUCCESS);
    }
    let configuration = parse_configuration(&arguments.file, &text)?;
    let problems = problems_of(&configuration);
    for problem in &problems {
        eprintln!("{}: {problem}", arguments.file.display());
    }
    if problems.is_empty() {
        println!("{}: valid configuration", arguments.file.display());
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_FAILED))
}

/// Reads a file as text.
pub fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|error| CommandError::File(format!("{}: {error}", path.display())))
}

/// Reads a configuration from the text of a file.
pub fn parse_configuration(path: &Path, text: &str) -> Result<Configuration, CommandError> {
    toml::from_str(text).map_err(|error| CommandError::File(format!("{}: {error}", path.display())))
}

/// Everything wrong with a configuration, its programs included.
pub fn problems_of(configuration: &Configuration) -> Vec<String> {
    let mut problems: Vec<String> =
        configuration.problems().iter().map(ToString::to_string).collect();
    for (name, service) in &configuration.services {
        if let Some(source) = &service.policy {
            if let Err(error) = try_policy(name, service, source) {
                problems.push(format!("services.{name}.policy: {error}"));
            }
        }
    }
    problems
}

/// Compiles a program and runs it on sample requests from each zone of the service, so that
/// a program that loops or names a forbidden zone is found before it is in force.
fn try_policy(
    name: &ServiceName,
    service: &pitchstall_protocol::configuration::ServiceSpec,
    source: &str,
) -> Result<(), pitchstall_scheduling::policy::PolicyError> {
    const SAMPLE_SIZES: [(u32, u32); 3] = [(10, 10), (500, 200), (20_000, 1_000)];
    let engine = PolicyEngine::new();
    let policy = engine.compile(source)?;
    let tenant = TenantId::new("sample");
    for zone in &service.zones {
        for (prompt_tokens, max_tokens) in SAMPLE_SIZES {
            let input = PolicyInput {
                tenant: &tenant,
                service: name,
                prompt_tokens,
                max_tokens,
                zone,
                zones: &service.zones,
            };
            engine.run(&policy, &input)?;
        }
    }
    Ok(())
}
