//! Runs the real programs under faults and checks what clients and runners observe.
//!
//! `cargo build --release && cargo run --release -p pitchstall-soak --example soak -- --first 1 --count 8`
//!
//! The violations of each seed are printed. The exit code is 1 if any were found, and 2 if a seed
//! could not be run. The logs of the nodes and the recorded events are kept for seeds with
//! violations.
#![allow(missing_docs)]

mod processes;
mod report;
mod run;

use gumdrop::Options;
use pitchstall_soak::runner_program::{self, Identity};
use processes::Programs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    first: u64,
    #[options(help = "number of seeds", default = "4")]
    count: u64,
    #[options(help = "length of the load of each seed, seconds", default = "30")]
    seconds: u64,
    #[options(help = "number of nodes", default = "4")]
    nodes: usize,
    #[options(help = "number of clients", default = "8")]
    callers: usize,
    #[options(help = "path of the pitchstall program", default = "target/release/pitchstall")]
    program: PathBuf,
    #[options(
        help = "path of a former build; each node alternates between both builds at its starts",
        no_short
    )]
    former: Option<PathBuf>,
    #[options(
        help = "be a runner with this id, for the soak that has started this process",
        no_short
    )]
    runner: Option<String>,
    #[options(help = "software version of the runner", default = "v1", no_short)]
    version: String,
}

fn serve_as_runner(identity: Identity) -> ExitCode {
    match runner_program::run(identity) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("soak: runner: {error}");
            ExitCode::from(2)
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if let Some(id) = arguments.runner {
        return serve_as_runner(Identity { id, version: arguments.version });
    }
    let mut failed = 0;
    for seed in arguments.first..arguments.first + arguments.count {
        let length = Duration::from_secs(arguments.seconds);
        let size = run::LoadSize { nodes: arguments.nodes, clients: arguments.callers };
        let programs = Programs::new(&arguments.program, arguments.former.as_deref());
        let report = match run::run(&programs, seed, length, size) {
            Ok(report) => report,
            Err(error) => {
                eprintln!("soak: seed {seed}: {error}");
                return ExitCode::from(2);
            }
        };
        println!("seed {seed}: {report}");
        if !report.violations.is_empty() {
            failed += 1;
        }
    }
    println!("{} seeds, {failed} with a broken promise", arguments.count);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
