//! Catches a panic while a future is polled, so that the task that awaits it goes on.

use std::any::Any;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::task::Poll;

/// A future panicked, and has been dropped without a result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("panicked: {message}")]
pub struct CaughtPanic {
    /// The panic's message; empty if it is not text.
    pub message: String,
}

impl CaughtPanic {
    fn new(payload: &(dyn Any + Send)) -> Self {
        let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let message = text.or_else(|| payload.downcast_ref::<String>().cloned());
        Self { message: message.unwrap_or_default() }
    }
}

/// Awaits a future. A panic in it becomes an error.
///
/// What the future has changed before the panic stays changed. State that is shared by tasks stays usable, since cells
/// are released while the stack unwinds.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Result<T, CaughtPanic> {
    let mut future = pin!(future);
    poll_fn(|context| match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context))) {
        Ok(Poll::Pending) => Poll::Pending,
        Ok(Poll::Ready(value)) => Poll::Ready(Ok(value)),
        Err(payload) => Poll::Ready(Err(CaughtPanic::new(payload.as_ref()))),
    })
    .await
}
