//! The retry budgets of a node, one for each service, and what it pools of them.

use super::Node;
use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::retry_budget::{RetryPolicy, SharedRetryBudget};
use pitchstall_serving::retry_pool::{RetryTokens, ServiceDeposit};

impl Node {
    /// Calls `use_budget` with the retry budget of a service.
    pub fn with_retry_budget<R>(
        &self,
        service: &ServiceName,
        use_budget: impl FnOnce(&mut SharedRetryBudget) -> R,
    ) -> R {
        let policy = self.retry_policy();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let new_budget = || SharedRetryBudget::new_at(policy, self.now_us());
        let budget = retry_budgets.entry(service.clone()).or_insert_with(new_budget);
        budget.set_policy(policy);
        budget.expire_deposits(self.now_us());
        use_budget(budget)
    }

    fn retry_policy(&self) -> RetryPolicy {
        let settings = self.settings();
        let bounds = &settings.bounds;
        RetryPolicy::of_node(bounds.retry_ratio, bounds.retry_slack, self.known_node_count())
    }

    /// Takes the retry tokens of all services that are to be deposited in a pool.
    pub fn take_retry_deposits(&self) -> Vec<ServiceDeposit> {
        let (policy, now_us) = (self.retry_policy(), self.now_us());
        let mut budgets = self.retry_budgets.borrow_mut();
        let deposits = budgets.iter_mut().filter_map(|(service, budget)| {
            budget.set_policy(policy);
            let tokens = budget.take_deposit(now_us)?;
            Some(ServiceDeposit { service: service.clone(), tokens })
        });
        deposits.collect()
    }

    /// Maximum tokens of a service in this node's pool: no more than the budgets of all nodes of its
    /// zone could hold.
    pub fn retry_pool_capacity(&self) -> RetryTokens {
        let depositors = self.members.borrow().own_zone_count() as f64;
        RetryTokens::from_attempts(self.retry_policy().max_saved * depositors)
    }
}
