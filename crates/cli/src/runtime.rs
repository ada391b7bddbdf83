//! Runs a future on ntex's runtime, on this thread, and takes signals to stop.

use crate::CommandError;
use ntex::rt::{DefaultRuntime, System};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::future::Future;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Set once the process is told to stop.
pub type StopFlag = Arc<AtomicBool>;

/// A flag that SIGTERM and SIGINT set. The server's own handling of signals is off: it would
/// cut streams, where a node has to finish them.
pub fn stop_flag() -> Result<StopFlag, CommandError> {
    let flag = StopFlag::default();
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, flag.clone())
            .map_err(|error| CommandError::Usage(format!("signals cannot be handled: {error}")))?;
    }
    Ok(flag)
}

/// Runs a future to its end.
pub fn block_on<F>(name: &str, future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    System::build().name(name).build(DefaultRuntime).block_on(future)
}
