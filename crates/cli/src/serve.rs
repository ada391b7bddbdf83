//! `pitchstall serve`: runs a node.

use crate::runtime::block_on;
use crate::CommandError;
use gumdrop::Options;
use pitchstall_gateway::daemon::{self, Signals};
use pitchstall_gateway::logging;
use pitchstall_gateway::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

/// Arguments of `pitchstall serve`.
#[derive(Debug, Options)]
pub struct ServeArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file (TOML)", required)]
    settings: PathBuf,
}

/// Serves clients until the process receives a signal to stop and has finished its open work.
pub fn run(arguments: ServeArguments) -> Result<ExitCode, CommandError> {
    // Handlers are registered before anything else: a SIGHUP for a reload that arrives earlier would
    // terminate the process.
    let signals = Signals::register()?;
    let settings = Settings::read(&arguments.settings)?;
    let _logger = logging::start(&settings.log.levels)
        .map_err(|error| CommandError::Logging(error.to_string()))?;
    block_on("pitchstall", daemon::run(settings, arguments.settings, signals))?;
    Ok(ExitCode::SUCCESS)
}
