//! Queries to other nodes that wait for a reply.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_gateway::pending_replies::PendingReplies;
use pitchstall_serving::scheduling::Ticket;
use std::time::Duration;

const TICKET: Ticket = Ticket { incarnation: 1, number: 1 };

#[ntex::test]
async fn a_reply_reaches_the_query_that_waits_for_it() {
    let pending = PendingReplies::default();
    let query = pending.register(TICKET);
    assert!(pending.on_reply(TICKET, "granted"));
    assert_eq!(query.wait(Duration::from_secs(1)).await, Some("granted"));
    assert!(!pending.on_reply(TICKET, "again"));
}

/// Guards against queries that are kept for ever because their client has gone.
#[ntex::test]
async fn a_query_that_is_given_up_is_forgotten() {
    let pending = PendingReplies::default();
    drop(pending.register(TICKET));
    assert!(!pending.on_reply(TICKET, "late"));
    assert_eq!(pending.register(TICKET).wait(Duration::from_millis(1)).await, None);
    assert!(!pending.on_reply(TICKET, "late"));
}
