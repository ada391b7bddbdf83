//! The HTTP client that all adapters share, with every time limit set on purpose.

use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientBuilder, Connector};
use ntex::time::{Millis, Seconds};
use ntex::SharedCfg;
use std::io::ErrorKind;
use std::time::Duration;

/// Idle connections are closed before the other side's 30 seconds are over, so that a
/// request is not lost in a connection that is just being closed.
const IDLE_SECONDS: u16 = 10;
/// Most connections to one server.
const CONNECTION_LIMIT: usize = 4_096;
/// Bytes of an answer that is read at once.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// The client could not be built.
#[derive(Debug, thiserror::Error)]
#[error("the HTTP client cannot be built: {0}")]
pub struct ClientUnavailable(String);

/// Builds the client.
pub async fn new_client() -> Result<Client, ClientUnavailable> {
    let connector = Connector::default().limit(CONNECTION_LIMIT).keep_alive(Seconds(IDLE_SECONDS));
    ClientBuilder::new()
        .connector::<()>(connector)
        .disable_redirects()
        .response_payload_limit(ANSWER_LIMIT)
        .response_payload_timeout(Millis(30_000))
        .build(SharedCfg::default())
        .await
        .map_err(|error| ClientUnavailable(error.to_string()))
}

/// How far a failed request can have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reached {
    /// No connection was made: the other side has seen nothing.
    Nowhere,
    /// It may have been seen.
    Perhaps,
}

/// Tells from a client's error how far the request came. Only a connection that was never
/// made proves that nothing was sent: the client also says `Disconnected` when the server
/// read a request on a kept connection and closed it unanswered.
pub fn how_far(error: &ClientError) -> Reached {
    match error {
        ClientError::Url(_) => Reached::Nowhere,
        ClientError::Connect(ConnectError::Disconnected(Some(cause)))
            if cause.kind() != ErrorKind::ConnectionRefused =>
        {
            Reached::Perhaps
        }
        ClientError::Connect(ConnectError::Disconnected(None)) => Reached::Perhaps,
        ClientError::Connect(_) => Reached::Nowhere,
        _ => Reached::Perhaps,
    }
}

/// A time limit as the client takes it.
pub fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}
