//! Model of grants out of a retry pool: one keeper, two queries, and a pool that starts with two
//! tokens. An attempt costs two. Messages are lost, delayed, overtaken and delivered twice, and the
//! keeper restarts.

use std::collections::BTreeMap;

const TICKETS: usize = 2;
/// Tokens that were deposited.
const DEPOSITED: u8 = 2;
/// Tokens that an attempt costs.
const ATTEMPT_COST: u8 = 2;
/// Tokens that a query lacks for an attempt. The second requester has one of its own.
const WANTED: [u8; TICKETS] = [2, 1];
/// How often a message may be delivered.
const MAX_DELIVERIES: u8 = 2;

/// The safeguards of the protocol. All on: the pool as implemented.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// A repeated query is granted what it was granted before.
    pub remembered_grants: bool,
    /// A grant is put back once.
    pub returned_once: bool,
    /// A query whose return has overtaken it is granted nothing.
    pub remembered_returns: bool,
    /// A requester returns a grant that does not cover an attempt.
    pub unused_is_returned: bool,
    /// A requester that does not wait for a reply any more returns the grant that it may have got.
    pub unanswered_is_returned: bool,
    /// A requester ignores a reply that comes after it has returned the grant.
    pub late_reply_is_ignored: bool,
    /// A requester does not return a grant that it has used.
    pub used_is_kept: bool,
}

impl Safeguards {
    pub const ALL: Self = Self {
        remembered_grants: true,
        returned_once: true,
        remembered_returns: true,
        unused_is_returned: true,
        unanswered_is_returned: true,
        late_reply_is_ignored: true,
        used_is_kept: true,
    };
}

/// A message, with the ticket of its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Query(usize),
    Reply(usize, u8),
    Return(usize),
}

/// What a keeper knows of a ticket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Grant {
    #[default]
    Unknown,
    Granted(u8),
    Returned,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Requester {
    #[default]
    Idle,
    Waiting,
    /// It has enough for an attempt, which is not sent yet.
    Holding(u8),
    Ended,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pooled: u8,
    grants: [Grant; TICKETS],
    requesters: [Requester; TICKETS],
    /// Messages under way, and how often each has been delivered.
    messages: BTreeMap<Message, u8>,
    used: u8,
    /// Whether a message, or what the keeper had, has been lost.
    has_loss: bool,
}

impl State {
    pub fn initial() -> Self {
        Self {
            pooled: DEPOSITED,
            grants: Default::default(),
            requesters: Default::default(),
            messages: BTreeMap::new(),
            used: 0,
            has_loss: false,
        }
    }

    /// Whether there are more tokens than were deposited.
    pub fn has_created(&self) -> bool {
        self.existing() > DEPOSITED
    }

    /// Whether tokens are gone although nothing was lost and nothing is under way.
    pub fn has_vanished(&self) -> bool {
        let is_settled = self.messages.values().all(|deliveries| *deliveries > 0)
            && !self.requesters.contains(&Requester::Waiting);
        is_settled && !self.has_loss && self.existing() < DEPOSITED
    }

    fn existing(&self) -> u8 {
        let held = self.requesters.iter().map(|requester| match requester {
            Requester::Holding(tokens) => *tokens,
            _ => 0,
        });
        self.pooled + self.used + held.sum::<u8>()
    }

    pub fn next(&self, guards: Safeguards) -> Vec<Self> {
        if self.has_created() {
            return Vec::new();
        }
        let mut states = vec![self.after_restart()];
        for ticket in 0..TICKETS {
            self.requester_steps(ticket, guards, &mut states);
        }
        for (message, deliveries) in &self.messages {
            states.push(self.without(*message, *deliveries));
            states.push(self.deliver(*message, guards));
        }
        states
    }

    fn after_restart(&self) -> Self {
        let grants = Default::default();
        Self { pooled: 0, grants, has_loss: true, ..self.clone() }
    }

    fn without(&self, message: Message, deliveries: u8) -> Self {
        let mut next = self.clone();
        next.messages.remove(&message);
        next.has_loss |= deliveries == 0;
        next
    }

    fn requester_steps(&self, ticket: usize, guards: Safeguards, states: &mut Vec<Self>) {
        match self.requesters[ticket] {
            Requester::Idle => {
                let mut next = self.with_requester(ticket, Requester::Waiting);
                next.send(Message::Query(ticket));
                states.push(next);
            }
            Requester::Waiting => {
                let mut next = self.with_requester(ticket, Requester::Ended);
                if guards.unanswered_is_returned {
                    next.send(Message::Return(ticket));
                }
                states.push(next);
            }
            Requester::Holding(tokens) => {
                let mut refunded = self.with_requester(ticket, Requester::Ended);
                refunded.send(Message::Return(ticket));
                states.push(refunded);
                let mut used = self.with_requester(ticket, Requester::Ended);
                used.used += tokens;
                if !guards.used_is_kept {
                    used.send(Message::Return(ticket));
                }
                states.push(used);
            }
            Requester::Ended => {}
        }
    }

    fn deliver(&self, message: Message, guards: Safeguards) -> Self {
        let mut next = self.clone();
        let deliveries = next.messages.entry(message).or_default();
        *deliveries += 1;
        if *deliveries == MAX_DELIVERIES {
            next.messages.remove(&message);
        }
        match message {
            Message::Query(ticket) => next.on_query(ticket, guards),
            Message::Reply(ticket, tokens) => next.on_reply(ticket, tokens, guards),
            Message::Return(ticket) => next.on_return(ticket, guards),
        }
        next
    }

    fn on_query(&mut self, ticket: usize, guards: Safeguards) {
        let granted = match self.grants[ticket] {
            Grant::Granted(tokens) if guards.remembered_grants => tokens,
            Grant::Returned => 0,
            Grant::Unknown | Grant::Granted(_) => self.take(ticket),
        };
        self.send(Message::Reply(ticket, granted));
    }

    fn take(&mut self, ticket: usize) -> u8 {
        let granted = self.pooled.min(WANTED[ticket]);
        self.pooled -= granted;
        self.grants[ticket] = Grant::Granted(granted);
        granted
    }

    fn on_reply(&mut self, ticket: usize, granted: u8, guards: Safeguards) {
        let is_late = self.requesters[ticket] == Requester::Ended;
        let waits = self.requesters[ticket] == Requester::Waiting;
        if !waits && (guards.late_reply_is_ignored || !is_late) {
            return;
        }
        let own = ATTEMPT_COST - WANTED[ticket];
        let covers_attempt = own + granted >= ATTEMPT_COST;
        if covers_attempt {
            self.requesters[ticket] = Requester::Holding(granted);
            return;
        }
        self.requesters[ticket] = Requester::Ended;
        if guards.unused_is_returned {
            self.send(Message::Return(ticket));
        }
    }

    fn on_return(&mut self, ticket: usize, guards: Safeguards) {
        match self.grants[ticket] {
            Grant::Granted(tokens) => {
                self.pooled += tokens;
                if guards.returned_once {
                    self.grants[ticket] = Grant::Returned;
                }
            }
            Grant::Unknown if guards.remembered_returns => self.grants[ticket] = Grant::Returned,
            Grant::Unknown | Grant::Returned => {}
        }
    }

    fn with_requester(&self, ticket: usize, requester: Requester) -> Self {
        let mut next = self.clone();
        next.requesters[ticket] = requester;
        next
    }

    /// Sends a message. One that is under way already counts as its repetition.
    fn send(&mut self, message: Message) {
        self.messages.entry(message).or_default();
    }
}
