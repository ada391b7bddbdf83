//! How long a follower looks for a source that replies before it calls the store.
//!
//! A change has to be in force at every node within a few seconds of its write, however many sources
//! are silent. Each query to a silent source is limited by itself; the budget limits their sum.

/// Time from the first query after the last news until the store is called, unless the query that is
/// under way ends later; in microseconds. One query to a source that does not reply uses it up.
const NEWS_BUDGET_US: u64 = 500_000;

/// Time that a follower has spent on sources that do not reply.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewsBudget {
    /// Time at which the budget of the first query since the last news is used up, in microseconds.
    due_us: Option<u64>,
    /// Whether a source has been silent since the last news.
    has_silent_source: bool,
}

impl NewsBudget {
    /// Records that a source is queried.
    pub fn on_query(&mut self, now_us: u64) {
        self.due_us.get_or_insert(now_us + NEWS_BUDGET_US);
    }

    /// Records that a source did not reply.
    pub fn on_silent(&mut self) {
        self.has_silent_source = true;
    }

    /// Records that a source with a reliable replica has replied, or that the store is called.
    pub fn on_news(&mut self) {
        *self = Self::default();
    }

    /// Whether the store has to be called now. Sources that reply without a reliable replica do not
    /// use up the budget: the store is unavailable to them, and most likely to this node too.
    pub fn is_used_up(&self, now_us: u64) -> bool {
        self.has_silent_source && self.due_us.is_some_and(|due_us| now_us >= due_us)
    }
}
