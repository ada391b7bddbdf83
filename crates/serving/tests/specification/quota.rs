//! Model of one slot of a tenant's limit: two nodes that may hold it, the key in the store, grants
//! and refunds that are lost, delayed or duplicated, a limit that is lowered, and one window that
//! starts at any moment. A holder may hand its level to the other node. Time advances in ticks, and a run costs one unit.
//!
//! A frozen holder takes no step while others do, and a restart of the whole system is a crash of
//! each holder. The duration of a lease is not modelled: it may expire whenever no node counts on
//! it.

const NODES: usize = 2;
/// Length of the window, ticks.
const WINDOW_TICKS: u8 = 3;
/// Ticks within which a grant must be used.
const GRANT_TTL_TICKS: u8 = 1;
/// Number of runs whose grants are tracked individually. All other runs are used at once.
const TRACKED_RUNS: usize = 2;

/// The share of the slot before and after the limit is lowered. `allowed` is the burst, the debt,
/// and the refill of a window plus the lifetime of a grant.
#[derive(Clone, Copy)]
struct Share {
    refill: i8,
    burst: i8,
    debt: i8,
    allowed: i8,
}

const HIGH: Share = Share { refill: 1, burst: 1, debt: 2, allowed: 1 + 2 + 4 };
const LOW: Share = Share { refill: 0, burst: 0, debt: 2, allowed: 2 };

fn share(is_low: bool) -> Share {
    if is_low {
        LOW
    } else {
        HIGH
    }
}

/// Safeguards of the protocol that can be disabled one by one. The implementation has all of them.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// A new holder starts in full debt.
    pub empty_start: bool,
    /// A holder's term ends no later than its lease in the store.
    pub term_from_send_time: bool,
    /// The key is written only if it is absent, or by the address that wrote it.
    pub create_if_absent: bool,
    /// A holder stops granting before it hands its level over.
    pub stop_before_handover: bool,
    /// A handover is used only while the key of the holder that made it is unchanged.
    pub handover_names_key: bool,
    /// A grant is used in time or not at all.
    pub grants_expire: bool,
    /// A grant that is delivered twice is used once.
    pub used_once: bool,
    /// A grant is either used or refunded.
    pub used_or_refunded: bool,
    /// A duplicate refund counts once.
    pub refunded_once: bool,
    /// A holder refunds only what it has granted itself.
    pub own_grants_only: bool,
    /// The amount by which a full bucket would have overflowed is not refunded.
    pub headroom_since_grant: bool,
    /// Two refunds share the headroom.
    pub shared_headroom: bool,
    /// A lowered limit caps the level at once.
    pub cap_at_once: bool,
}

impl Safeguards {
    pub const ALL: Self = Self {
        empty_start: true,
        term_from_send_time: true,
        create_if_absent: true,
        stop_before_handover: true,
        handover_names_key: true,
        grants_expire: true,
        used_once: true,
        used_or_refunded: true,
        refunded_once: true,
        own_grants_only: true,
        headroom_since_grant: true,
        shared_headroom: true,
        cap_at_once: true,
    };
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Holder {
    level: i8,
    is_low: bool,
    /// The minimum space below a full bucket since this holder granted each tracked run; `None` if
    /// it did not grant the run.
    min_headroom: [Option<i8>; TRACKED_RUNS],
}

/// State of a tracked run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Run {
    #[default]
    Idle,
    /// Granted the given number of ticks ago and not used.
    Granted(u8),
    /// Used; the grant may be delivered again.
    Used,
    /// The given number of refund messages are in transit.
    Refunding(u8),
    Over,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    key: Option<u8>,
    holders: [Option<Holder>; NODES],
    /// The level that a holder has handed over, if the handover can still be used.
    handover: Option<i8>,
    runs: [Run; TRACKED_RUNS],
    /// Ticks since the limit was lowered, up to the number that matters.
    lowered: Option<u8>,
    /// Ticks of the window that have passed, and the cost that has arrived in it.
    window: Option<u8>,
    spent: i8,
}

impl State {
    /// Whether more has arrived in the window than is allowed by the limit that was in force
    /// throughout it.
    pub fn is_violated(&self) -> bool {
        let Some(at) = self.window else { return false };
        // Grants made before the limit was lowered have expired when the window starts.
        let is_low = self.lowered.is_some_and(|since| since > at + GRANT_TTL_TICKS);
        self.spent > share(is_low).allowed
    }

    /// The distinct successor states. Nodes are interchangeable, and so are runs.
    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = self.successors(guards);
        for state in &mut states {
            state.canonicalize();
        }
        states
    }

    fn canonicalize(&mut self) {
        if self.holders[0] > self.holders[1] {
            self.holders.swap(0, 1);
            self.key = self.key.map(|node| 1 - node);
        }
        if self.runs[0] > self.runs[1] {
            self.runs.swap(0, 1);
            for holder in self.holders.iter_mut().flatten() {
                holder.min_headroom.swap(0, 1);
            }
        }
    }

    fn successors(&self, guards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        if self.is_violated() {
            return states;
        }
        for node in 0..NODES {
            self.key_steps(node, guards, &mut states);
            self.grant_steps(node, &mut states);
        }
        for run in 0..TRACKED_RUNS {
            self.run_steps(run, guards, &mut states);
        }
        self.time_steps(guards, &mut states);
        states
    }

    fn key_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let is_held = self.holders[node].is_some();
        // A process restarted at the address that wrote the key takes the key over.
        let may_take = self.key.is_none() || self.key == Some(node as u8);
        if !is_held && (may_take || !guards.create_if_absent) {
            let mut taken = self.clone();
            taken.set_key(Some(node as u8), guards);
            let is_low = self.lowered.is_some();
            let share = share(is_low);
            let level = if guards.empty_start { -share.debt } else { share.burst };
            taken.holders[node] =
                Some(Holder { level, is_low, min_headroom: [None; TRACKED_RUNS] });
            states.push(taken);
        }
        if is_held {
            // The holder crashes, or its term ends and it forgets its state.
            let mut lost = self.clone();
            lost.holders[node] = None;
            states.push(lost);
        }
        let is_term_valid = is_held && guards.term_from_send_time;
        if self.key == Some(node as u8) && !is_term_valid {
            let mut expired = self.clone();
            expired.set_key(None, guards);
            states.push(expired);
        }
        self.handover_steps(node, guards, states);
    }

    /// The holder of the key hands its level over, or the other node replaces the key and continues
    /// with that level.
    fn handover_steps(&self, node: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let is_key_of = |node: usize| self.key == Some(node as u8);
        if let Some(holder) = self.holders[node].filter(|_| is_key_of(node)) {
            let mut handing = self.clone();
            handing.handover = Some(holder.level);
            if guards.stop_before_handover {
                handing.holders[node] = None;
            }
            states.push(handing);
        }
        let Some(level) = self.handover else { return };
        let may_replace = is_key_of(1 - node) || !guards.handover_names_key;
        if self.holders[node].is_none() && may_replace {
            let mut taken = self.clone();
            taken.set_key(Some(node as u8), guards);
            let is_low = self.lowered.is_some();
            let level = level.min(share(is_low).burst);
            taken.holders[node] =
                Some(Holder { level, is_low, min_headroom: [None; TRACKED_RUNS] });
            states.push(taken);
        }
    }

    /// Writes or removes the key, whose revision changes.
    fn set_key(&mut self, key: Option<u8>, guards: Safeguards) {
        self.key = key;
        if guards.handover_names_key {
            self.handover = None;
        }
    }

    fn grant_steps(&self, node: usize, states: &mut Vec<Self>) {
        let Some(holder) = self.holders[node] else { return };
        let share = share(holder.is_low);
        if holder.level - 1 < -share.debt {
            return;
        }
        let mut used = self.clone();
        used.holders[node] = Some(Holder { level: holder.level - 1, ..holder });
        let mut tracked = used.clone();
        used.record_arrival();
        states.push(used);
        if let Some(run) = self.runs.iter().position(|run| *run == Run::Idle) {
            tracked.runs[run] = Run::Granted(0);
            if let Some(holder) = &mut tracked.holders[node] {
                holder.min_headroom[run] = Some(share.burst - holder.level);
            }
            states.push(tracked);
        }
    }

    fn run_steps(&self, run: usize, guards: Safeguards, states: &mut Vec<Self>) {
        let mut with = |next: Run, arrives: bool| {
            let mut state = self.clone();
            state.set_run(run, next);
            if arrives {
                state.record_arrival();
            }
            states.push(state);
        };
        match self.runs[run] {
            Run::Idle | Run::Over => {}
            Run::Granted(age) => {
                if age <= GRANT_TTL_TICKS || !guards.grants_expire {
                    with(Run::Used, true);
                    if !guards.used_or_refunded {
                        with(Run::Refunding(1), true);
                    }
                }
                with(Run::Refunding(2), false);
                // The reply is lost.
                with(Run::Over, false);
            }
            Run::Used => with(Run::Over, !guards.used_once),
            Run::Refunding(messages) => {
                // A message is lost.
                with(Run::Refunding(messages - 1), false);
                for node in 0..NODES {
                    self.refund_step(run, node, messages, guards, states);
                }
            }
        }
    }

    fn refund_step(
        &self,
        run: usize,
        node: usize,
        messages: u8,
        guards: Safeguards,
        states: &mut Vec<Self>,
    ) {
        let Some(holder) = self.holders[node] else { return };
        let burst = share(holder.is_low).burst;
        let headroom = holder.min_headroom[run].or((!guards.own_grants_only).then_some(burst));
        let Some(headroom) = headroom else { return };
        let units = if guards.headroom_since_grant { headroom.clamp(0, 1) } else { 1 };
        let mut state = self.clone();
        let level = (holder.level + units).min(burst);
        let left = |recorded: i8| match (guards.shared_headroom, units) {
            (true, 1) => (recorded - 1).min(burst - level),
            (true, _) => 0,
            (false, _) => recorded.min(burst - level),
        };
        let mut min_headroom = holder.min_headroom.map(|recorded| recorded.map(left));
        if guards.refunded_once {
            min_headroom[run] = None;
        }
        state.holders[node] = Some(Holder { level, min_headroom, ..holder });
        state.set_run(run, Run::Refunding(messages - 1));
        states.push(state);
    }

    fn time_steps(&self, guards: Safeguards, states: &mut Vec<Self>) {
        if self.window.is_none() {
            states.push(Self { window: Some(0), spent: 0, ..self.clone() });
        }
        if self.lowered.is_none() && self.window.is_none() {
            let mut lowered = self.clone();
            lowered.lowered = Some(0);
            for holder in lowered.holders.iter_mut().flatten() {
                holder.is_low = true;
                if guards.cap_at_once {
                    holder.level = holder.level.min(LOW.burst);
                }
                let headroom = LOW.burst - holder.level;
                holder.min_headroom = holder
                    .min_headroom
                    .map(|recorded| recorded.map(|recorded| recorded.min(headroom)));
            }
            states.push(lowered);
        }
        if self.window != Some(WINDOW_TICKS) {
            states.push(self.tick(guards));
        }
    }

    fn tick(&self, guards: Safeguards) -> Self {
        let mut passed = self.clone();
        for holder in passed.holders.iter_mut().flatten() {
            let share = share(holder.is_low);
            let cap = if guards.cap_at_once { share.burst } else { HIGH.burst };
            holder.level = (holder.level + share.refill).min(cap);
            let headroom = share.burst - holder.level;
            holder.min_headroom =
                holder.min_headroom.map(|recorded| recorded.map(|recorded| recorded.min(headroom)));
        }
        for run in &mut passed.runs {
            *run = match *run {
                Run::Granted(age) => Run::Granted((age + 1).min(GRANT_TTL_TICKS + 1)),
                other => other,
            };
        }
        // Runs granted under the old limit may still arrive until their grants expire.
        passed.lowered =
            self.lowered.map(|since| (since + 1).min(WINDOW_TICKS + GRANT_TTL_TICKS + 2));
        passed.window = self.window.map(|at| at + 1);
        passed
    }

    fn set_run(&mut self, run: usize, next: Run) {
        let is_over = matches!(next, Run::Over | Run::Used | Run::Refunding(0));
        self.runs[run] = if next == Run::Refunding(0) { Run::Over } else { next };
        if is_over {
            // No refund of this run is possible any more.
            for holder in self.holders.iter_mut().flatten() {
                holder.min_headroom[run] = None;
            }
        }
    }

    fn record_arrival(&mut self) {
        self.spent += i8::from(self.window.is_some());
    }
}
