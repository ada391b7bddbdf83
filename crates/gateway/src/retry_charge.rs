//! The charge for a request's next extra attempt.

use crate::node::Node;
use crate::retry_pools;
use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::retry_budget::SharedRetryBudget;
use std::cell::Cell;
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
    is_charged: Cell<bool>,
}

impl RetryCharge {
    /// Creates the charge for a request to a service. Nothing is charged yet.
    pub fn new(node: &Rc<Node>, request: &str, service: &ServiceName) -> Self {
        let (node, request, service) = (node.clone(), request.to_owned(), service.clone());
        Self { node, request, service, is_charged: Cell::new(false) }
    }

    /// Charges the budget, unless that is done already. Returns `false` if the budget is exhausted.
    pub async fn charge(&self) -> bool {
        if self.is_charged.get() {
            return true;
        }
        let is_own = self.node.with_retry_budget(&self.service, SharedRetryBudget::withdraw);
        let is_pooled = self.node.with_retry_budget(&self.service, |budget| budget.is_pooled());
        let is_allowed = is_own || (is_pooled && self.charge_pool().await);
        let metrics = &self.node.metrics;
        if is_allowed { &metrics.retries } else { &metrics.retries_denied }.inc();
        self.is_charged.set(is_allowed);
        is_allowed
    }

    async fn charge_pool(&self) -> bool {
        let is_allowed = retry_pools::take_attempt(&self.node, &self.service).await;
        let (request, service) = (self.request.as_str(), self.service.as_str());
        let result = if is_allowed { "granted" } else { "denied" };
        log::info!(target: "retry", request, service, result; "pool queried for a retry");
        is_allowed
    }

    /// Uses the charge for an attempt that is sent now. Returns `false` if there is none.
    pub fn take(&self) -> bool {
        self.is_charged.take()
    }

    /// Refunds the charge, if there is one: no attempt was sent for it.
    pub fn refund(&self) {
        if self.is_charged.take() {
            self.node.with_retry_budget(&self.service, SharedRetryBudget::refund);
        }
    }

    /// Whether the next charge may succeed. Whether a pool has tokens is only known after a query.
    pub fn may_succeed(&self) -> bool {
        let has_tokens =
            |budget: &mut SharedRetryBudget| budget.has_attempt() || budget.is_pooled();
        self.is_charged.get() || self.node.with_retry_budget(&self.service, has_tokens)
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
