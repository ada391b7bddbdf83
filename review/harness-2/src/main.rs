//! Drivers of the second review's scripts: one case each, with its stand-ins.

mod client;
mod common;
mod overlap;
mod reborn;
mod runner;
mod torn;

use common::Record;
use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let case = arguments.first().map(String::as_str).unwrap_or_default();
    if case == "runner" {
        return runner::run(&arguments[1..]);
    }
    let Some(path) = arguments.get(1).map(PathBuf::from) else { std::process::exit(2) };
    let record = Record::create(&path);
    let run = || match case {
        "torn" => torn::run(&record),
        "overlap" => overlap::run(&record),
        "reborn" => reborn::run(&record),
        _ => common::cannot_run("unknown case"),
    };
    // The stack is unwound, so that the processes that the case has started are ended.
    let is_broken = match std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)) {
        Ok(is_broken) => is_broken,
        Err(panic) => {
            let reason =
                panic.downcast_ref::<common::CannotRun>().map_or("a panic", |it| it.0.as_str());
            record.write(&format!("the case cannot run: {reason}"));
            std::process::exit(2);
        }
    };
    record.write(if is_broken { "the rule is broken" } else { "the rule held" });
    std::process::exit(i32::from(is_broken));
}
