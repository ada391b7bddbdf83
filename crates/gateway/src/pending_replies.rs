//! Queries to other nodes that wait for their replies.

use pitchstall_serving::scheduling::Ticket;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The pending queries of one kind, whose replies are of type `R`.
#[derive(Debug)]
pub struct PendingReplies<R> {
    senders: RefCell<HashMap<Ticket, oneshot::Sender<R>>>,
}

impl<R> Default for PendingReplies<R> {
    fn default() -> Self {
        Self { senders: RefCell::default() }
    }
}

impl<R> PendingReplies<R> {
    /// Registers a query. Must be called before the query is sent.
    pub fn register(&self, ticket: Ticket) -> PendingReply<'_, R> {
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(ticket, sender);
        PendingReply { pending: self, ticket, receiver }
    }

    /// Passes a reply to the query that waits for it. Returns `false` if none does any more.
    pub fn on_reply(&self, ticket: Ticket, reply: R) -> bool {
        let sender = self.senders.borrow_mut().remove(&ticket);
        sender.is_some_and(|sender| sender.send(reply).is_ok())
    }
}

/// A registered query. It is forgotten when this is dropped.
pub struct PendingReply<'a, R> {
    pending: &'a PendingReplies<R>,
    ticket: Ticket,
    receiver: oneshot::Receiver<R>,
}

impl<R> PendingReply<'_, R> {
    /// Waits for the reply; `None` if it does not arrive within `limit`.
    pub async fn wait(mut self, limit: Duration) -> Option<R> {
        timeout(limit, &mut self.receiver).await.ok()?.ok()
    }
}

impl<R> Drop for PendingReply<'_, R> {
    fn drop(&mut self) {
        self.pending.senders.borrow_mut().remove(&self.ticket);
    }
}
