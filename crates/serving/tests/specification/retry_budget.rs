//! Model of the retry budget: two nodes with a token bucket each, restarts, and one window that
//! starts at any time. Two requests earn one extra attempt; a bucket holds one, and the slack is
//! two.

const NODES: usize = 2;
/// Cost of an extra attempt, in units of which a request earns one.
const EXTRA_COST: u8 = 2;
/// Capacity of a bucket: its node's part of the slack.
const BUCKET_CAPACITY: u8 = 2;
/// Slack of the fleet.
const SLACK: u8 = BUCKET_CAPACITY * NODES as u8;
const MAX_REQUESTS: u8 = 6;
/// Capacity of a bucket without a limit in this search.
const UNBOUNDED_CAPACITY: u8 = 8;

/// The safeguards of the protocol. All on: the budget as implemented.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// An attempt that may turn out to be an extra one is charged before it is sent.
    pub pay_before_sending: bool,
    /// A bucket holds no more than its node's part of the slack.
    pub bounded_bucket: bool,
    /// A new process starts with an empty bucket.
    pub empty_start: bool,
}

impl Safeguards {
    pub const ALL: Self =
        Self { pay_before_sending: true, bounded_bucket: true, empty_start: true };
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    saved: [u8; NODES],
    has_window_started: bool,
    requests: u8,
    extras: u8,
}

impl State {
    /// Whether there are more extra attempts in the window than its requests and the slack allow.
    pub fn is_violated(&self) -> bool {
        self.has_window_started && self.extras * EXTRA_COST > self.requests + SLACK
    }

    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        for node in 0..NODES {
            self.request(node, guards, &mut states);
            self.extra_attempt(node, guards, &mut states);
            let mut restarted = self.clone();
            restarted.saved[node] = if guards.empty_start { 0 } else { BUCKET_CAPACITY };
            states.push(restarted);
        }
        if !self.has_window_started {
            states.push(Self { has_window_started: true, saved: self.saved, ..Self::default() });
        }
        states
    }

    fn request(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        if self.requests == MAX_REQUESTS {
            return;
        }
        let capacity = if guards.bounded_bucket { BUCKET_CAPACITY } else { UNBOUNDED_CAPACITY };
        let mut taken = self.clone();
        taken.saved[node] = (taken.saved[node] + 1).min(capacity);
        taken.requests += 1;
        states.push(taken);
    }

    fn extra_attempt(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let is_paid = self.saved[node] >= EXTRA_COST;
        if (guards.pay_before_sending && !is_paid) || self.is_violated() {
            return;
        }
        let mut sent = self.clone();
        sent.saved[node] = sent.saved[node].saturating_sub(EXTRA_COST);
        sent.extras += u8::from(self.has_window_started);
        states.push(sent);
    }
}
