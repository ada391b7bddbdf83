//! The `pitchstall` command.

mod check;
mod dev;
mod explain;
mod quota;
mod runtime;
mod serve;

use gumdrop::Options;
use std::process::ExitCode;

/// Exit code if the command line or a file is invalid, or if the command could not be carried out.
pub const EXIT_USAGE: u8 = 2;
/// Exit code if the command was carried out with a negative result.
pub const EXIT_FAILED: u8 = 1;

/// Serves language models on a fixed fleet.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a node that serves clients on the platform")]
    Serve(serve::ServeArguments),
    #[options(help = "check a settings file or a policy program")]
    Check(check::CheckArguments),
    #[options(help = "run nodes, runners and a store in one process, for evaluation")]
    Dev(dev::DevArguments),
    #[options(help = "print what log files say about a request: explain ID FILE...")]
    Explain(explain::ExplainArguments),
    #[options(
        help = "print the quota keepers of tenants' limits that a node knows: quota IP:PORT"
    )]
    Quota(quota::QuotaArguments),
}

/// Why a command failed. Each variant ends the process with [`EXIT_USAGE`].
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// The settings file cannot be read or is invalid.
    #[error(transparent)]
    Settings(#[from] pitchstall_gateway::settings::SettingsError),
    /// The node of `serve` failed.
    #[error(transparent)]
    Serve(#[from] pitchstall_gateway::daemon::DaemonError),
    /// A policy program, named by its path, is invalid.
    #[error("{0}: {1}")]
    Policy(String, pitchstall_policy::PolicyError),
    /// The logger cannot be started.
    #[error("the logger cannot be started: {0}")]
    Logging(String),
    /// A file cannot be read.
    #[error("{0}")]
    File(String),
    /// A node cannot be queried, or the fleet of `dev` cannot be started.
    #[error("{0}")]
    Fleet(String),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("pitchstall {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = match arguments.command {
        Some(Command::Serve(arguments)) => serve::run(arguments),
        Some(Command::Check(arguments)) => check::run(&arguments),
        Some(Command::Dev(arguments)) => dev::run(&arguments),
        Some(Command::Explain(arguments)) => explain::run(&arguments),
        Some(Command::Quota(arguments)) => quota::run(&arguments),
        None => Err(CommandError::Usage(format!(
            "expected a command\n\n{}\n\nCommands:\n{}",
            Arguments::usage(),
            Arguments::command_list().unwrap_or_default()
        ))),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("pitchstall: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
