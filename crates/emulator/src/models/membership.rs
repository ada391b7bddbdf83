//! A stand-in for the platform's membership list, which shows changes late.

use pitchstall_coordination::Timestamp;
use pitchstall_protocol::ids::{EngineId, NodeId};
use pitchstall_protocol::membership::{EngineMember, MemberState, MembershipList, NodeMember};
use std::collections::VecDeque;
use std::time::Duration;

/// The list.
#[derive(Clone, Debug)]
pub struct MembershipModel {
    lag: Duration,
    present: MembershipList,
    pending: VecDeque<(Timestamp, MembershipList)>,
    shown: MembershipList,
}

impl MembershipModel {
    /// An empty list that shows changes after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            present: MembershipList::default(),
            pending: VecDeque::new(),
            shown: MembershipList::default(),
        }
    }

    fn changed(&mut self, now: Timestamp) {
        self.present.version += 1;
        self.pending.push_back((now + self.lag, self.present.clone()));
    }

    /// A node is there.
    pub fn add_node(&mut self, now: Timestamp, member: NodeMember) {
        self.present.nodes.retain(|it| it.node != member.node);
        self.present.nodes.push(member);
        self.changed(now);
    }

    /// A node is gone.
    pub fn remove_node(&mut self, now: Timestamp, node: &NodeId) {
        self.present.nodes.retain(|it| it.node != *node);
        self.changed(now);
    }

    /// An engine is there.
    pub fn add_engine(&mut self, now: Timestamp, member: EngineMember) {
        self.present.engines.retain(|it| it.engine != member.engine);
        self.present.engines.push(member);
        self.changed(now);
    }

    /// An engine is gone.
    pub fn remove_engine(&mut self, now: Timestamp, engine: &EngineId) {
        self.present.engines.retain(|it| it.engine != *engine);
        self.changed(now);
    }

    /// A machine that runs an engine is about to go.
    pub fn engine_leaves(&mut self, now: Timestamp, engine: &EngineId) {
        for member in self.present.engines.iter_mut().filter(|it| it.engine == *engine) {
            member.state = MemberState::Leaving;
        }
        self.changed(now);
    }

    /// A machine that runs a node is about to go.
    pub fn node_leaves(&mut self, now: Timestamp, node: &NodeId) {
        for member in self.present.nodes.iter_mut().filter(|it| it.node == *node) {
            member.state = MemberState::Leaving;
        }
        self.changed(now);
    }

    /// The list as shown now; `None` if it is no newer than `since`.
    pub fn poll(&mut self, now: Timestamp, since: u64) -> Option<&MembershipList> {
        while self.pending.front().is_some_and(|(shown_at, _)| *shown_at <= now) {
            if let Some((_, list)) = self.pending.pop_front() {
                self.shown = list;
            }
        }
        (self.shown.version > since).then_some(&self.shown)
    }
}
