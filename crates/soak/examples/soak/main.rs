//! Runs the real programs under faults and checks what callers and runners see.
//!
//! `cargo build --release && cargo run --release -p pitchstall-soak --example soak -- --first 1 --count 8`
//!
//! Each seed prints its violations; the exit code is 1 if there were any. Logs of the nodes are
//! kept for seeds with violations.
#![allow(missing_docs)]

mod processes;
mod report;
mod run;

use gumdrop::Options;
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
    #[options(help = "seconds of each seed", default = "30")]
    seconds: u64,
    #[options(help = "nodes", default = "4")]
    nodes: usize,
    #[options(help = "callers", default = "8")]
    callers: usize,
    #[options(help = "the program", default = "target/release/pitchstall")]
    program: PathBuf,
    #[options(help = "a former build: nodes change between both at each start", no_short)]
    former: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
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
