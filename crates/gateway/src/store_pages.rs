//! Reads of all entries with a prefix, which the store returns in pages of a few hundred.

use pitchstall_platform_adapter::store::{Item, Page};

/// Maximum size of all pages of a read together, in memory. 20,000 runners whose entries have 1 KB each take 20 MB.
pub const MAX_LISTING_BYTES: usize = 48 * 1024 * 1024;

/// Why the pages that the store returned are no whole list, though each of them was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListingError {
    /// The pages are longer than any read may be.
    #[error("the pages of the store exceed {MAX_LISTING_BYTES} bytes")]
    TooLong,
    /// A page has no items and says that more keys follow, so that no key is known to continue after.
    #[error("a page of the store has no items and says that more keys follow")]
    NoProgress,
}

/// Reads pages until there are no more. `read` receives the key after which the page starts. The
/// result has the revision of the first page, since the pages do not form a snapshot.
pub async fn read_pages<E: From<ListingError>>(
    read: impl AsyncFnMut(Option<String>) -> Result<Page, E>,
) -> Result<Page, E> {
    read_remaining_pages(&mut None, read).await
}

/// Reads pages like [`read_pages`], after those that `received` holds from an earlier attempt. If a
/// page fails, `received` holds all pages before it; if they are no list, it holds none.
pub async fn read_remaining_pages<E: From<ListingError>>(
    received: &mut Option<Page>,
    mut read: impl AsyncFnMut(Option<String>) -> Result<Page, E>,
) -> Result<Page, E> {
    let mut all = match received.take() {
        Some(all) => all,
        None => read(None).await?,
    };
    let mut bytes = size_of_items(&all.items);
    check_progress(&all)?;
    while all.has_more {
        let after = all.items.last().map(|item: &Item| item.key.clone());
        match read(after).await {
            Ok(page) => {
                check_progress(&page)?;
                all.has_more = page.has_more;
                bytes += size_of_items(&page.items);
                if bytes > MAX_LISTING_BYTES {
                    return Err(ListingError::TooLong.into());
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

/// Fails if more keys follow after a page, but none is known after which the next page starts.
fn check_progress(page: &Page) -> Result<(), ListingError> {
    match page.has_more && page.items.is_empty() {
        true => Err(ListingError::NoProgress),
        false => Ok(()),
    }
}

/// Memory that items take, in bytes.
fn size_of_items(items: &[Item]) -> usize {
    let size =
        |item: &Item| size_of::<Item>() + item.key.len() + item.value.as_ref().map_or(0, Vec::len);
    items.iter().map(size).sum()
}
