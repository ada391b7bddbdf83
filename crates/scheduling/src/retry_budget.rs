//! A retry budget: retries may be only a share of requests, so that a failing fleet is not
//! buried under its own retries (as in Finagle and Linkerd).

/// Settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetConfig {
    /// Retries earned by each request, in thousandths.
    pub earned_permille: u64,
    /// Most retries that can be saved up.
    pub reserve: u64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self { earned_permille: 200, reserve: 20 }
    }
}

/// The budget of one node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    balance_permille: u64,
}

const WHOLE: u64 = 1_000;

impl RetryBudget {
    /// A full budget.
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self { config, balance_permille: config.reserve * WHOLE }
    }

    /// A new request earns its share.
    pub fn deposit(&mut self) {
        let full = self.config.reserve * WHOLE;
        self.balance_permille = (self.balance_permille + self.config.earned_permille).min(full);
    }

    /// Takes one retry. Returns whether it may be made.
    pub fn withdraw(&mut self) -> bool {
        if self.balance_permille < WHOLE {
            return false;
        }
        self.balance_permille -= WHOLE;
        true
    }
}
