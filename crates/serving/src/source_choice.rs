//! From where a node obtains its replica of one subject of the store: from the store itself, if it
//! reads the store on behalf of others, or else from one of the store readers.
//!
//! A follower queries its sources in rounds. A source that has a reliable replica is followed; one
//! that is reading all entries is waited for. After a round without success the follower may call
//! the store: [`FullReadGate`] bounds the calls that return all entries.

use crate::full_read_gate::{FullReadGate, Occasion, SourceState};
use crate::news_budget::NewsBudget;
use crate::start_up::Starting;
use std::net::SocketAddr;

/// Time between two calls to the store while no source's replica is confirmed, in percent of
/// `bounds.contact_ms`. Such calls are needed since this node alone may be cut off from the others.
const CALL_PAUSE_PERCENT: std::ops::Range<f64> = 50.0..150.0;
/// Minimum time between two calls to the store by a node that knows of a later change which no
/// source could provide, in microseconds. The change has to be in force within a few seconds.
const MIN_BEHIND_CALL_INTERVAL_US: u64 = 500_000;
/// Number of queries that wait at a source which is obtaining a replica before the next one is
/// queried, which may have one already.
const MAX_WAITS_WITHOUT_UPDATE: u32 = 3;
/// Number of other nodes that are queried before a node counts as cut off from all of them.
const MAX_OTHER_NODES: u32 = 3;

/// Where to send the next query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextQuery {
    /// To the store itself.
    Store,
    /// To a source. If `waits`, the source holds its reply back until it has a change.
    Source {
        /// Address of the source.
        address: SocketAddr,
        /// Whether the source holds its reply back.
        waits: bool,
    },
    /// To a node that is no source: one that has reported a later change, or else any.
    OtherNode,
    /// Nowhere: the sources that may still be starting are to be given up first, and others take
    /// their place.
    GiveUpStarting,
    /// Nowhere for the moment.
    Pause,
}

/// What a node knows when it chooses.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext<'a> {
    /// Nodes that this one may follow, in order of preference.
    pub sources: &'a [SocketAddr],
    /// Whether the list of nodes has been received. Without it the node does not know how many
    /// others would do the same.
    pub has_node_list: bool,
    /// Whether this node reads the store on behalf of others, by the nodes that it knows.
    pub is_store_reader: bool,
    /// Whether the store's next response is of use only if it holds all entries.
    pub needs_full_read: bool,
    /// Whether a node that has reported a later change can be queried.
    pub has_reporter: bool,
    /// Whether another node has reported a change that this one has not received in time.
    pub is_behind: bool,
    /// What is known of sources that may still be starting.
    pub starting: Starting,
    /// Time, size of the fleet, and a random number.
    pub occasion: Occasion,
}

/// What a source's reply has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceReply {
    /// Its replica can be relied on.
    Reliable,
    /// It is reading all entries, and holds replies back until it has them.
    Obtaining,
    /// It is reading all entries again; until it has them it replies at once, with an outdated update.
    ObtainingAnew,
    /// Its replica can't be relied on.
    Unconfirmed,
}

impl SourceReply {
    fn state(self) -> SourceState {
        match self {
            Self::Obtaining | Self::ObtainingAnew => SourceState::Obtaining,
            Self::Reliable | Self::Unconfirmed => SourceState::Unconfirmed,
        }
    }
}

/// Chooses the source of one subject's replica.
#[derive(Clone, Debug)]
pub struct SourceChoice {
    /// Index of the followed node among the possible sources.
    index: usize,
    /// Whether the next query to the followed node waits for a change.
    waits: bool,
    /// Queries that waited at the current source without an update.
    waits_without_update: u32,
    /// Other nodes that were queried in this round.
    other_nodes: u32,
    /// Earliest time of the next call that needs no full read, in microseconds.
    next_call_us: u64,
    /// The same while another node has reported a later change, in microseconds.
    next_behind_call_us: u64,
    news: NewsBudget,
    gate: FullReadGate,
}

impl SourceChoice {
    /// The choice of a node that makes no call to the store before `first_call_us`, in microseconds,
    /// unless it is a store reader.
    pub fn new(first_call_us: u64) -> Self {
        Self {
            index: 0,
            waits: false,
            waits_without_update: 0,
            other_nodes: 0,
            next_call_us: first_call_us,
            next_behind_call_us: 0,
            news: NewsBudget::default(),
            gate: FullReadGate::new(first_call_us),
        }
    }

    /// Chooses the next query.
    pub fn next(&mut self, context: &ChoiceContext<'_>) -> NextQuery {
        if context.is_store_reader && context.has_node_list {
            return NextQuery::Store;
        }
        if context.starting == Starting::Missed {
            return self.give_up_starting();
        }
        if !context.needs_full_read && self.news.is_used_up(context.occasion.now_us) {
            self.news.on_news();
            return NextQuery::Store;
        }
        let is_round_over = self.gate.has_lost_sources() || self.index >= context.sources.len();
        if !is_round_over {
            return self.source_at(self.index, context);
        }
        if context.has_reporter {
            return NextQuery::OtherNode;
        }
        if let Some(next) = self.next_while_starting(context) {
            return next;
        }
        if self.may_be_cut_off(context) {
            self.other_nodes += 1;
            return NextQuery::OtherNode;
        }
        (self.index, self.other_nodes) = (0, 0);
        if self.may_call_store(context) {
            return NextQuery::Store;
        }
        self.source_at(0, context)
    }

    /// What follows a round of a node without a usable replica in which sources were found that may
    /// still be starting. While another source is obtaining a replica, the node waits for that source
    /// and keeps the others in their places.
    fn next_while_starting(&mut self, context: &ChoiceContext<'_>) -> Option<NextQuery> {
        match context.starting {
            _ if !context.needs_full_read => None,
            Starting::Overdue if !self.gate.is_awaited() => Some(self.give_up_starting()),
            Starting::InTime if !self.gate.has_reply() => {
                self.begin_round();
                Some(NextQuery::Pause)
            }
            _ => None,
        }
    }

    fn give_up_starting(&mut self) -> NextQuery {
        self.begin_round();
        NextQuery::GiveUpStarting
    }

    fn begin_round(&mut self) {
        (self.index, self.other_nodes) = (0, 0);
        self.gate.begin_round();
    }

    fn source_at(&mut self, index: usize, context: &ChoiceContext<'_>) -> NextQuery {
        let Some(address) = context.sources.get(index) else { return NextQuery::Pause };
        self.news.on_query(context.occasion.now_us);
        NextQuery::Source { address: *address, waits: self.waits }
    }

    /// Whether no node has replied in this round and further ones have to be queried before this
    /// node counts as cut off.
    fn may_be_cut_off(&self, context: &ChoiceContext<'_>) -> bool {
        let has_others = context.occasion.nodes > 1;
        let needs_to_know = context.needs_full_read && context.has_node_list;
        has_others && needs_to_know && !self.gate.has_reply() && self.other_nodes < MAX_OTHER_NODES
    }

    fn may_call_store(&mut self, context: &ChoiceContext<'_>) -> bool {
        if context.needs_full_read && context.has_node_list {
            return self.gate.end_round(&context.occasion);
        }
        self.gate.begin_round();
        !context.needs_full_read && self.may_call_for_changes(context)
    }

    /// Whether the node makes a call that confirms its replica or returns the changes since.
    fn may_call_for_changes(&mut self, context: &ChoiceContext<'_>) -> bool {
        let now_us = context.occasion.now_us;
        let is_behind = context.is_behind && now_us >= self.next_behind_call_us;
        if now_us < self.next_call_us && !is_behind {
            return false;
        }
        self.next_behind_call_us = now_us + MIN_BEHIND_CALL_INTERVAL_US;
        self.next_call_us = now_us + context.occasion.pause_us(&CALL_PAUSE_PERCENT);
        true
    }

    /// Records the reply of the source that was queried last; returns whether it is kept.
    pub fn on_reply(&mut self, reply: SourceReply) -> bool {
        if reply == SourceReply::Reliable {
            self.gate.on_replica();
            self.news.on_news();
            (self.waits, self.waits_without_update) = (true, 0);
            return true;
        }
        self.gate.on_source(reply.state());
        let can_wait = self.waits_without_update < MAX_WAITS_WITHOUT_UPDATE;
        if reply == SourceReply::Obtaining && can_wait {
            (self.waits, self.waits_without_update) = (true, self.waits_without_update + 1);
            return true;
        }
        (self.waits, self.waits_without_update) = (false, 0);
        self.index += 1;
        false
    }

    /// Records that the source that was queried last did not reply. One that `is_gone` is not among
    /// the sources any more, and the next one has taken its index.
    pub fn on_silent(&mut self, is_gone: bool) {
        self.gate.on_source(SourceState::Silent);
        self.news.on_silent();
        (self.waits, self.waits_without_update) = (false, 0);
        if !is_gone {
            self.index += 1;
        }
    }

    /// Records the reply of a node that is no source.
    pub fn on_other_reply(&mut self, reply: SourceReply) {
        self.gate.on_source(reply.state());
    }
}
