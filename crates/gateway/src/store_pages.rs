//! Reads of all entries with a prefix: the store tells them in pages of some hundred.

use pitchstall_platform_adapter::store::{Item, Page};

/// Reads page after page until there is no more. `read` is given the key after which the page starts. What
/// comes back counts as of the first page's revision: pages do not form a snapshot.
pub async fn read_pages<E>(
    mut read: impl AsyncFnMut(Option<String>) -> Result<Page, E>,
) -> Result<Page, E> {
    let mut all = read(None).await?;
    while all.has_more {
        let after = all.items.last().map(|item: &Item| item.key.clone());
        let page = read(after).await?;
        all.has_more = page.has_more && !page.items.is_empty();
        all.items.extend(page.items);
    }
    Ok(all)
}
