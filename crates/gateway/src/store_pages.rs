//! Reads of all entries with a prefix, which the store returns in pages of a few hundred.

use pitchstall_platform_adapter::store::{Item, Page};

/// Reads pages until there are no more. `read` receives the key after which the page starts. The
/// result has the revision of the first page, since the pages do not form a snapshot.
pub async fn read_pages<E>(
    read: impl AsyncFnMut(Option<String>) -> Result<Page, E>,
) -> Result<Page, E> {
    read_remaining_pages(&mut None, read).await
}

/// Reads pages like [`read_pages`], after those that `received` holds from an earlier attempt. If a
/// page fails, `received` holds all pages before it.
pub async fn read_remaining_pages<E>(
    received: &mut Option<Page>,
    mut read: impl AsyncFnMut(Option<String>) -> Result<Page, E>,
) -> Result<Page, E> {
    let mut all = match received.take() {
        Some(all) => all,
        None => read(None).await?,
    };
    while all.has_more {
        let after = all.items.last().map(|item: &Item| item.key.clone());
        match read(after).await {
            Ok(page) => {
                all.has_more = page.has_more && !page.items.is_empty();
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
