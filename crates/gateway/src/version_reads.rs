//! Reads of the record of versions on behalf of requests, each of which needs one that began after its arrival.

use crate::clock::Instant;
use crate::node::Node;
use crate::platform_client::PlatformClient;
use crate::store_pages::{read_pages, ListingError};
use pitchstall_platform_adapter::store::{self, StoreResponseError, StoreStatus};
use pitchstall_serving::version_record::VersionEntry;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Minimum time between the beginnings of two reads, which bounds the calls of a node while many streams are resumed.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The entries of a read; `None` if the store did not respond with all of them.
type Entries = Option<Rc<Vec<VersionEntry>>>;

/// Shares one read among all requests that arrive before it begins. Reads may overlap, so that a request waits for one at
/// most, however long the store takes.
#[derive(Default)]
pub struct VersionReads {
    /// The read that has not begun yet.
    next: RefCell<Option<watch::Receiver<Option<Entries>>>>,
    last_began: Cell<Option<Instant>>,
}

impl VersionReads {
    /// The entries of a read that begins after this call; `None` if it fails.
    pub async fn read(&self, node: &Rc<Node>) -> Entries {
        let mut receiver = self.next_read(node);
        let ended = receiver.wait_for(Option::is_some).await.ok()?;
        ended.clone().flatten()
    }

    fn next_read(&self, node: &Rc<Node>) -> watch::Receiver<Option<Entries>> {
        let mut next = self.next.borrow_mut();
        if let Some(receiver) = next.as_ref() {
            return receiver.clone();
        }
        let (sender, receiver) = watch::channel(None);
        *next = Some(receiver.clone());
        let node = node.clone();
        let pause = self.time_until_next();
        // The read goes on if the request that has caused it ends, since others may wait for it.
        ntex::rt::spawn(async move {
            sleep(pause).await;
            node.version_reads.on_read_begins();
            let entries = read_all(&node).await.map(Rc::new);
            // All requests that waited may have ended.
            let _ = sender.send(Some(entries));
        });
        receiver
    }

    fn on_read_begins(&self) {
        self.next.replace(None);
        self.last_began.set(Some(Instant::now()));
    }

    fn time_until_next(&self) -> Duration {
        let elapsed = self.last_began.get().map(|last_began| last_began.elapsed());
        elapsed.map_or(Duration::ZERO, |elapsed| MIN_READ_INTERVAL.saturating_sub(elapsed))
    }
}

/// Reads the entries of all versions; `None` if the store does not respond with all of them, or one cannot be used.
async fn read_all(node: &Node) -> Option<Vec<VersionEntry>> {
    match read_items(node).await {
        Ok(entries) => Some(entries),
        Err(error) => {
            log::info!(target: "stream", error = error.to_string(); "record of versions not read from the store");
            None
        }
    }
}

/// Why a read has failed.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("the call failed")]
    Call,
    #[error("the store responded with status {0:?}")]
    Status(StoreStatus),
    #[error("the response is of a superseded era of the store")]
    SupersededEra,
    #[error(transparent)]
    Response(#[from] StoreResponseError),
    #[error(transparent)]
    Listing(#[from] ListingError),
    #[error("the entry {key} cannot be parsed: {reason}")]
    Entry { key: String, reason: serde_json::Error },
}

async fn read_items(node: &Node) -> Result<Vec<VersionEntry>, ReadError> {
    let mut client = PlatformClient::default();
    let page = read_pages(async |after: Option<String>| {
        let call = store::read_versions(after.as_deref());
        let response = node.call_store(&mut client, &call, READ_TIMEOUT).await;
        let response = response.ok_or(ReadError::Call)?;
        if response.status != StoreStatus::Done {
            return Err(ReadError::Status(response.status));
        }
        if response.era != node.store_era() {
            return Err(ReadError::SupersededEra);
        }
        Ok(store::parse_page(&response.body)?)
    });
    page.await?.items.into_iter().map(parse).collect()
}

/// An entry that cannot be parsed may name any version, so that the whole read fails.
fn parse(item: store::Item) -> Result<VersionEntry, ReadError> {
    let value = item.value.as_deref().unwrap_or_default();
    serde_json::from_slice(value).map_err(|reason| ReadError::Entry { key: item.key, reason })
}
