//! Reads of all entries with a prefix, which the store returns in pages of a few hundred.

use pitchstall_platform_adapter::store::{Item, Page};

/// Reads pages until there are no more. `read` receives the key after which the page starts. The
/// result has the revision of the first page, since the pages do not form a snapshot.
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
