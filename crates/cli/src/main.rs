//! The `pitchstall` command.

mod check;
mod dev;
mod explain;
mod quota;
mod runtime;
mod serve;

use gumdrop::Options;
use std::process::ExitCode;

/// Exit code when the command line or a file is at fault.
pub const EXIT_USAGE: u8 = 2;
/// Exit code when the work was done and its result is bad.
pub const EXIT_FAILED: u8 = 1;

/// Serving of language models on a fixed fleet.
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
    #[options(help = "serve callers on the platform")]
    Serve(serve::ServeArguments),
    #[options(help = "check a settings file or a policy program")]
    Check(check::CheckArguments),
    #[options(help = "run nodes, runners and a store in one process, to try it out")]
    Dev(dev::DevArguments),
    #[options(help = "print the story of a request from log files: explain ID FILE...")]
    Explain(explain::ExplainArguments),
    #[options(help = "print who keeps tenants' limits, as a node knows it: quota IP:PORT")]
    Quota(quota::QuotaArguments),
}

/// Why a command did not do its work.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line is at fault.
    #[error("{0}")]
    Usage(String),
    /// Settings cannot be used.
    #[error(transparent)]
    Settings(#[from] pitchstall_gateway::settings::SettingsError),
    /// `serve` failed.
    #[error(transparent)]
    Serve(#[from] pitchstall_gateway::daemon::DaemonError),
    /// A policy program cannot be used.
    #[error("{0}: {1}")]
    Policy(String, pitchstall_policy::PolicyError),
    /// The logger failed.
    #[error("the logger cannot be started: {0}")]
    Logging(String),
    /// A file cannot be read or is not valid.
    #[error("{0}")]
    File(String),
    /// The fleet could not be asked.
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
