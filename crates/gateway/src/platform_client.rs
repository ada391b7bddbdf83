//! Calls to the platform's interfaces, one at a time over one kept connection.
//!
//! After a failure the connection is dropped: once an answer is lost on a connection, nothing
//! more comes on it.

use crate::http::request::encode_request;
use crate::http::{BodyDecoder, ConnectError, ReadError, ResponseHead, Upstream};
use crate::transfer::{read_body, Transfer, TransferFailure};
use pitchstall_platform_adapter::call::PlatformCall;
use pitchstall_platform_adapter::store::{parse_era, EraError};
use pitchstall_serving::store_revision::StoreEra;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(700);
/// Largest answer that is read.
const MOST_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A call got no answer. Unless it never left, it may have been done.
#[derive(Debug, thiserror::Error)]
pub enum PlatformFailure {
    /// No connection could be made.
    #[error("the platform cannot be reached: {0}")]
    Unreachable(#[from] ConnectError),
    /// The connection failed.
    #[error("the platform did not answer: {0}")]
    Unanswered(#[from] ReadError),
    /// Nothing came in time.
    #[error("the platform did not answer in time")]
    TimedOut,
    /// The answer began to come, and did not come whole.
    #[error("the platform's answer did not come whole: {0}")]
    Broken(#[from] TransferFailure),
}

/// An answer.
#[derive(Debug)]
pub struct PlatformAnswer {
    /// HTTP status.
    pub status: u16,
    /// The era that the platform's store tells; another interface tells none.
    pub era: Result<StoreEra, EraError>,
    /// Body.
    pub body: Vec<u8>,
}

/// A client of one interface.
#[derive(Default)]
pub struct PlatformClient {
    kept: Option<(SocketAddr, Upstream)>,
    transfer: Rc<Transfer>,
}

impl PlatformClient {
    /// A client that tells `transfer` of the progress of its answers.
    pub fn with_transfer(transfer: Rc<Transfer>) -> Self {
        Self { kept: None, transfer }
    }

    /// Makes a call to the interface at an address and waits at most `limit` for the head of its
    /// answer; the body is waited for as long as it makes progress.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        call: &PlatformCall,
        limit: Duration,
    ) -> Result<PlatformAnswer, PlatformFailure> {
        let kept = self.kept.take().filter(|(to, kept)| *to == address && kept.is_reusable());
        let connection = match kept {
            Some((_, connection)) => connection,
            None => Upstream::open(address, CONNECT_LIMIT).await?,
        };
        self.transfer.begin();
        let head = timeout(limit, ask(&connection, address, call));
        let head = head.await.map_err(|_| PlatformFailure::TimedOut)??;
        let decoder = BodyDecoder::new(head.framing);
        let body = read_body(&connection, &decoder, MOST_ANSWER_BYTES, &self.transfer).await?;
        let (keep, era) = (head.keep_alive, parse_era(head.header_pairs()));
        let answer = PlatformAnswer { status: head.status, era, body };
        if keep && connection.is_reusable() {
            self.kept = Some((address, connection));
        }
        Ok(answer)
    }
}

async fn ask(
    connection: &Upstream,
    address: SocketAddr,
    call: &PlatformCall,
) -> Result<ResponseHead, ReadError> {
    let mut headers = vec![("host".to_owned(), address.to_string().into_bytes())];
    let own = call.headers.iter();
    headers.extend(own.map(|(name, value)| ((*name).to_owned(), value.clone().into_bytes())));
    if !call.body.is_empty() {
        headers.push(("content-type".to_owned(), b"application/json".to_vec()));
    }
    connection.send(encode_request(call.method, &call.target, &headers, &call.body))?;
    connection.read_head().await
}
