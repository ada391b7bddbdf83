//! Reads of the store's entries in pages.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_gateway::store_pages::{read_pages, ListingError, MAX_LISTING_BYTES};
use pitchstall_platform_adapter::store::{Item, Page};
use pitchstall_serving::store_revision::RevisionNumber;
use std::cell::Cell;
use test_case::test_case;

const PAGE_BYTES: usize = 1024 * 1024;

/// A page with one item that takes 1 MiB in memory.
fn page(number: usize, has_more: bool) -> Page {
    let key = format!("key-{number:04}");
    let value = vec![b'x'; PAGE_BYTES - size_of::<Item>() - key.len()];
    let items = vec![Item { key, value: Some(value), revision: RevisionNumber(1) }];
    Page { items, has_more, revision: RevisionNumber(1) }
}

/// Reads pages until the given number of them; returns the result and how many were read.
async fn read_up_to(pages: usize) -> (Result<usize, ListingError>, usize) {
    let read = Cell::new(0);
    let all = read_pages(async |_| {
        read.set(read.get() + 1);
        Ok::<Page, ListingError>(page(read.get(), read.get() < pages))
    });
    (all.await.map(|all| all.items.len()), read.get())
}

#[ntex::test]
async fn pages_of_the_maximum_size_pass() {
    const PAGES: usize = MAX_LISTING_BYTES / PAGE_BYTES;
    assert_eq!(read_up_to(PAGES).await, (Ok(PAGES), PAGES));
}

#[ntex::test]
async fn pages_without_end_are_read_up_to_the_maximum_size() {
    const PAGES: usize = MAX_LISTING_BYTES / PAGE_BYTES;
    assert_eq!(read_up_to(200).await, (Err(ListingError::TooLong), PAGES + 1));
}

/// Guards against a page that names more keys and brings none, which was taken for the end of the list.
#[test_case(0; "as the first page")]
#[test_case(1; "as a later page")]
#[ntex::test]
async fn a_page_without_items_that_is_not_the_last_one_does_not_end_the_list(pages_before: usize) {
    let read = Cell::new(0);
    let all = read_pages(async |_| {
        read.set(read.get() + 1);
        let mut page = page(read.get(), true);
        if read.get() > pages_before {
            page.items.clear();
        }
        Ok::<Page, ListingError>(page)
    });
    assert!(all.await.is_err());
}
