//! Runs a future on ntex's runtime on the current thread, and registers the signals that stop the process.

use crate::CommandError;
use ntex::rt::{DefaultRuntime, System};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::future::Future;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Set once the process has received a signal to stop.
pub type StopFlag = Arc<AtomicBool>;

/// Registers a flag that SIGTERM and SIGINT set. ntex's own signal handling is disabled, because it would
/// cut open streams, which a node has to finish. Fails if a signal handler cannot be registered.
pub fn stop_flag() -> Result<StopFlag, CommandError> {
    let flag = StopFlag::default();
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, flag.clone())
            .map_err(|error| CommandError::Usage(format!("signals cannot be handled: {error}")))?;
    }
    Ok(flag)
}

/// Runs a future to completion on a runtime with the given name.
pub fn block_on<F>(name: &str, future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    System::build().name(name).build(DefaultRuntime).block_on(future)
}
