//! Reads of all entries with a prefix, which the store returns in pages of a few hundred.

use pitchstall_platform_adapter::store::{Item, Page};

/// Maximum size of all pages of a read together, in memory. 20,000 runners whose entries have 1 KB each take 20 MB.
pub const MAX_LISTING_BYTES: usize = 48 * 1024 * 1024;

/// The store returned more pages than any read may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the pages of the store exceed {MAX_LISTING_BYTES} bytes")]
pub struct ListingTooLong;

/// Reads pages until there are no more. `read` receives the key after which the page starts. The
/// result has the revision of the first page, since the pages do not form a snapshot.
pub async fn read_pages<E: From<ListingTooLong>>(
    read: impl AsyncFnMut(Option<String>) -> Result<Page, E>,
) -> Result<Page, E> {
    read_remaining_pages(&mut None, read).await
}

/// Reads pages like [`read_pages`], after those that `received` holds from an earlier attempt. If a
/// page fails, `received` holds all pages before it; if they are too long, it holds none.
pub async fn read_remaining_pages<E: From<ListingTooLong>>(
    received: &mut Option<Page>,
    mut read: impl AsyncFnMut(Option<String>) -> Result<Page, E>,
) -> Result<Page, E> {
    let mut all = match received.take() {
        Some(all) => all,
        None => read(None).await?,
    };
    let mut bytes = size_of_items(&all.items);
    while all.has_more {
        let after = all.items.last().map(|item: &Item| item.key.clone());
        match read(after).await {
            Ok(page) => {
                all.has_more = page.has_more && !page.items.is_empty();
                bytes += size_of_items(&page.items);
                if bytes > MAX_LISTING_BYTES {
                    return Err(ListingTooLong.into());
                }
                all.items.extend(page.items);
            }
            Err(error) => {
                *received = Some(all);
                return Err(error);
            }
        }
    }
    Ok(all)
}

/// Memory that items take, in bytes.
fn size_of_items(items: &[Item]) -> usize {
    let size =
        |item: &Item| size_of::<Item>() + item.key.len() + item.value.as_ref().map_or(0, Vec::len);
    items.iter().map(size).sum()
}
