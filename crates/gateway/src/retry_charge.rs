//! The charge for a request's next extra attempt.

use crate::node::Node;
use crate::retry_pools::{self, PooledAttempt};
use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::retry_budget::SharedRetryBudget;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause after an extra attempt was denied, before the budget is charged again.
const DENIED_PAUSE: Duration = Duration::from_millis(500);

/// Charges the retry budget for the next extra attempt of a request, before it is known whether and
/// when the attempt is sent. The charge is refunded on drop unless it has been used.
pub struct RetryCharge {
    node: Rc<Node>,
    request: String,
    service: ServiceName,
    charged: RefCell<Option<ChargedAttempt>>,
}

/// What an attempt costs, by where its tokens were taken from.
pub enum ChargedAttempt {
    /// Nothing: the attempt is not an extra one.
    Free,
    /// The node's own budget.
    Own,
    /// The node's own budget and the pool of its zone.
    Pooled(PooledAttempt),
}

impl ChargedAttempt {
    fn refund(self, node: &Node, service: &ServiceName) {
        match self {
            Self::Free => {}
            Self::Own => node.with_retry_budget(service, SharedRetryBudget::refund),
            Self::Pooled(attempt) => attempt.refund(node),
        }
    }
}

impl RetryCharge {
    /// Creates the charge for a request to a service. Nothing is charged yet.
    pub fn new(node: &Rc<Node>, request: &str, service: &ServiceName) -> Self {
        let (node, request, service) = (node.clone(), request.to_owned(), service.clone());
        Self { node, request, service, charged: RefCell::default() }
    }

    /// Charges the budget, unless that is done already. Returns `false` if the budget is exhausted.
    pub async fn charge(&self) -> bool {
        if self.charged.borrow().is_some() {
            return true;
        }
        let Some(charged) = self.take_tokens().await else {
            self.node.metrics.retries_denied.inc();
            return self.charged.borrow().is_some();
        };
        self.node.metrics.retries.inc();
        // Another task of the request may have charged the budget in the meantime.
        self.refund();
        self.charged.replace(Some(charged));
        true
    }

    async fn take_tokens(&self) -> Option<ChargedAttempt> {
        if self.node.with_retry_budget(&self.service, SharedRetryBudget::withdraw) {
            return Some(ChargedAttempt::Own);
        }
        if !self.node.with_retry_budget(&self.service, |budget| budget.is_pooled()) {
            return None;
        }
        let attempt = retry_pools::take_attempt(&self.node, &self.service).await;
        let (request, service) = (self.request.as_str(), self.service.as_str());
        let result = if attempt.is_some() { "granted" } else { "denied" };
        log::info!(target: "retry", request, service, result; "pool queried for a retry");
        attempt.map(ChargedAttempt::Pooled)
    }

    /// Uses the charge for an attempt that is sent now. Returns `None` if there is none.
    pub fn take(&self) -> Option<ChargedAttempt> {
        self.charged.take()
    }

    /// Refunds an attempt that was sent and turned out not to be an extra one.
    pub fn refund_sent(&self, sent: ChargedAttempt) {
        sent.refund(&self.node, &self.service);
    }

    /// Refunds the charge, if there is one: no attempt was sent for it.
    pub fn refund(&self) {
        if let Some(charged) = self.charged.take() {
            charged.refund(&self.node, &self.service);
        }
    }

    /// Whether the next charge may succeed. Whether a pool has tokens is only known after a query.
    pub fn may_succeed(&self) -> bool {
        let has_tokens =
            |budget: &mut SharedRetryBudget| budget.has_attempt() || budget.is_pooled();
        self.charged.borrow().is_some() || self.node.with_retry_budget(&self.service, has_tokens)
    }

    /// Completes once the condition for which `wait` waits holds and the budget has been charged.
    /// While the budget is exhausted, it is charged again at intervals.
    pub async fn charged_when<F: Future<Output = ()>>(&self, wait: impl Fn() -> F) {
        loop {
            wait().await;
            if self.charge().await {
                return;
            }
            sleep(DENIED_PAUSE).await;
        }
    }

    /// Completes once a time has passed and the budget has been charged.
    pub async fn charged_after(&self, time: Duration) {
        sleep(time).await;
        self.charged_when(|| std::future::ready(())).await;
    }
}

impl Drop for RetryCharge {
    fn drop(&mut self) {
        self.refund();
    }
}
