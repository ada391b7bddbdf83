//! Runs a future on ntex's runtime, on this thread.

use ntex::rt::{DefaultRuntime, System};
use std::future::Future;

/// Runs a future to its end.
pub fn block_on<F>(name: &str, future: F) -> F::Output
where
    F: Future + 'static,
    F::Output: 'static,
{
    System::build().name(name).signals(true).build(DefaultRuntime).block_on(future)
}
