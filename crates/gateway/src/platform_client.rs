//! Calls to the platform's interfaces, one at a time over one kept connection.
//!
//! The connection is dropped after a failure: once a response has been lost on a connection, no
//! further response arrives on it.

use crate::http::request::encode_request;
use crate::http::response_codec::Framing;
use crate::http::{ConnectError, OpenResponse, ReadError, Upstream};
use crate::transfer::{read_body, Transfer, TransferError};
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{parse_era, EraError};
use pitchstall_serving::store_revision::StoreEra;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of a response body.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why a call received no complete response. Unless no connection could be opened, the call may
/// have been performed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No connection to the platform could be opened.
    #[error("cannot connect to the platform: {0}")]
    Unreachable(#[from] ConnectError),
    /// The connection failed before the head of the response.
    #[error("no response from the platform: {0}")]
    ReadFailed(#[from] ReadError),
    /// The head of the response did not arrive within the time limit.
    #[error("the platform did not respond in time")]
    TimedOut,
    /// The response began to arrive and was not completed.
    #[error("incomplete response from the platform: {0}")]
    Incomplete(#[from] TransferError),
    /// The response is longer than the caller accepts. Its body was not read.
    #[error("a response of {bytes} bytes is longer than expected")]
    TooLong {
        /// Length of the body by the response's head.
        bytes: u64,
    },
}

/// A complete response of the platform.
#[derive(Debug)]
pub struct PlatformResponse {
    /// HTTP status code.
    pub status: u16,
    /// Era that the platform's store reported; unknown for the other interfaces, which report none.
    pub era: Result<StoreEra, EraError>,
    /// The complete body; empty if the response has none.
    pub body: Vec<u8>,
}

/// Client of one of the platform's interfaces.
#[derive(Default)]
pub struct PlatformClient {
    connection: Option<(SocketAddr, Upstream)>,
    transfer: Rc<Transfer>,
}

impl PlatformClient {
    /// Creates a client that records the progress of responses in `transfer`.
    pub fn with_transfer(transfer: Rc<Transfer>) -> Self {
        Self { connection: None, transfer }
    }

    /// Makes a call to the interface at an address and waits at most `head_timeout` for the head of
    /// the response; the body is limited by its progress.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        call: &PlatformCall,
        head_timeout: Duration,
    ) -> Result<PlatformResponse, PlatformError> {
        self.call_limited(address, call, head_timeout, MAX_RESPONSE_BYTES).await
    }

    /// Makes a call like [`Self::call`], and gives up a response whose head announces a body of more than `max_bytes`.
    pub async fn call_limited(
        &mut self,
        address: SocketAddr,
        call: &PlatformCall,
        head_timeout: Duration,
        max_bytes: usize,
    ) -> Result<PlatformResponse, PlatformError> {
        let connection = self
            .connection
            .take()
            .filter(|(to, connection)| *to == address && connection.is_reusable());
        let connection = match connection {
            Some((_, connection)) => connection,
            None => Upstream::open(address, CONNECT_TIMEOUT).await?,
        };
        self.transfer.reset();
        let response = timeout(head_timeout, send_call(connection, address, call));
        let response = response.await.map_err(|_| PlatformError::TimedOut)??;
        if let Framing::Length(bytes) = response.head.framing {
            if bytes > max_bytes as u64 {
                return Err(PlatformError::TooLong { bytes });
            }
        }
        let body = read_body(&response, MAX_RESPONSE_BYTES, &self.transfer).await?;
        let (status, era) = (response.head.status, parse_era(response.head.header_pairs()));
        self.connection = response.into_connection().map(|connection| (address, connection));
        Ok(PlatformResponse { status, era, body })
    }
}

async fn send_call(
    connection: Upstream,
    address: SocketAddr,
    call: &PlatformCall,
) -> Result<OpenResponse, ReadError> {
    let mut headers = vec![("host".to_owned(), address.to_string().into_bytes())];
    let call_headers = call.headers.iter();
    headers
        .extend(call_headers.map(|(name, value)| ((*name).to_owned(), value.clone().into_bytes())));
    if !call.body.is_empty() {
        headers.push(("content-type".to_owned(), b"application/json".to_vec()));
    }
    let request = encode_request(call.method, &call.target, &headers, &call.body);
    connection.send(request)?.read_head().await
}
