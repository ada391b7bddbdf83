//! Operators' requests.

use crate::io::{OperatorCall, OperatorReply, OperatorRequest};
use crate::node::{Node, Purpose};
use pitchstall_coordination::authority::Target;
use pitchstall_coordination::commit::{decode_document, history_key, Commit, CommitStep};
use pitchstall_protocol::configuration::ConfigurationProblem;
use pitchstall_protocol::engine::OrderKind;
use pitchstall_protocol::error::{ErrorBody, ErrorCode};
use pitchstall_protocol::ids::Revision;
use pitchstall_protocol::operator::{
    ApplyOutcome, ApplyRequest, EngineChangeOutcome, EngineChangeRequest, FleetStatus, NodeStatus,
    SpreadStatus, UnconfirmedZone,
};
use pitchstall_protocol::store::{StoreError, StoreReply, StoreRequest};
use std::rc::Rc;

/// Milliseconds after which a store that failed may be asked again.
const RETRY_STORE_MS: u64 = 1_000;

impl Node {
    pub(crate) fn on_operator(&mut self, call: OperatorCall, request: OperatorRequest) {
        match request {
            OperatorRequest::Apply(request) => self.on_apply(call, *request),
            OperatorRequest::Configuration => {
                let document = self.replica.document().map(|it| Box::new((**it).clone()));
                self.answer(call, OperatorReply::Document(document));
            }
            OperatorRequest::History(revision) => {
                let request = StoreRequest::Get { keys: vec![history_key(revision)] };
                self.call_store(Purpose::History(call), request);
            }
            OperatorRequest::Spread => {
                self.want_zones();
                let status = self.spread_status();
                self.answer(call, OperatorReply::Spread(status));
            }
            OperatorRequest::Fleet => {
                self.want_zones();
                let status = self.fleet_status();
                self.answer(call, OperatorReply::Fleet(Box::new(status)));
            }
            OperatorRequest::ChangeEngine(request) => {
                let outcome = self.change_engine(&request);
                self.answer(call, OperatorReply::ChangeEngine(outcome));
            }
        }
    }

    fn answer(&mut self, call: OperatorCall, reply: OperatorReply) {
        self.out.push(crate::io::Output::Operator { call, reply });
    }

    fn on_apply(&mut self, call: OperatorCall, request: ApplyRequest) {
        let mut problems = request.configuration.problems();
        for (name, service) in &request.configuration.services {
            let source = service.policy.as_deref().unwrap_or_default();
            if let Err(error) = self.policy_engine.compile(source) {
                let place = format!("services.{name}.policy");
                problems.push(ConfigurationProblem { place, problem: error.to_string() });
            }
        }
        if !problems.is_empty() {
            self.answer(call, OperatorReply::Apply(ApplyOutcome::Invalid { problems }));
            return;
        }
        let give_up_at = self.now + self.settings.control.commit_timeout;
        let (commit, step) = Commit::begin(request, give_up_at);
        self.commits.insert(call, commit);
        self.follow_commit(call, step);
    }

    pub(crate) fn on_commit_reply(
        &mut self,
        call: OperatorCall,
        reply: &Result<StoreReply, StoreError>,
    ) {
        let now = self.now;
        let Some(commit) = self.commits.get_mut(&call) else {
            return;
        };
        let step = commit.on_reply(now, reply);
        self.follow_commit(call, step);
    }

    fn follow_commit(&mut self, call: OperatorCall, step: CommitStep) {
        match step {
            CommitStep::Send(request) => self.call_store(Purpose::Commit(call), request),
            CommitStep::SendLater(pause, request) => {
                self.call_store_later(Purpose::Commit(call), pause, request);
            }
            CommitStep::Done(outcome) => {
                let commit = self.commits.remove(&call);
                if let (ApplyOutcome::Committed { revision }, Some(commit)) = (&outcome, commit) {
                    self.apply_document(Rc::new(commit.document(*revision)));
                    self.broadcast_document();
                }
                self.answer(call, OperatorReply::Apply(outcome));
            }
        }
    }

    pub(crate) fn on_history_reply(
        &mut self,
        call: OperatorCall,
        reply: Result<StoreReply, StoreError>,
    ) {
        let reply = match reply {
            Ok(StoreReply::Values { values, .. }) => {
                let document = values.first().and_then(|value| decode_document(&value.value));
                OperatorReply::Document(document.map(Box::new))
            }
            _ => OperatorReply::Failed(
                ErrorBody::refused(ErrorCode::PlatformUnavailable, "the store cannot be asked")
                    .retry_after_ms(RETRY_STORE_MS),
            ),
        };
        self.answer(call, reply);
    }

    /// How far the configuration in force here has spread.
    pub fn spread_status(&self) -> SpreadStatus {
        let revision = self.replica.revision();
        let mut unconfirmed = Vec::new();
        if let Some(own_zone) = self.unconfirmed_here(revision) {
            unconfirmed.push(own_zone);
        }
        for (zone, _) in self.members.remote_zones() {
            let knowledge = self.zones.get(zone);
            let lowest = knowledge.map_or(Revision(0), |it| it.summary.lowest_revision);
            if lowest < revision {
                let behind = knowledge.map(|it| it.summary.behind.clone()).unwrap_or_default();
                unconfirmed.push(UnconfirmedZone {
                    zone: zone.clone(),
                    lowest_revision: lowest,
                    behind,
                });
            }
        }
        let in_force_everywhere = unconfirmed.is_empty();
        // Whoever has not heard of this revision one bound after it was learnt here, and so
        // after it was committed, has no fresh proof and moves no data.
        let bound_passed = self.now.since(self.revision_learnt) >= self.replica.movement_bound();
        SpreadStatus {
            revision,
            in_force_everywhere,
            in_force_for_data_movement: in_force_everywhere || bound_passed,
            unconfirmed,
        }
    }

    fn unconfirmed_here(&self, revision: Revision) -> Option<UnconfirmedZone> {
        let bound = self.replica.movement_bound();
        let behind: Vec<_> = self
            .members
            .peers()
            .filter(|(_, peer)| peer.revision < revision)
            .filter(|(node, _)| {
                self.members.silent_for(self.now, node).is_some_and(|silent| silent < bound)
            })
            .collect();
        let lowest_revision = behind.iter().map(|(_, peer)| peer.revision).min()?;
        let behind = behind.into_iter().map(|(node, _)| node.clone()).collect();
        Some(UnconfirmedZone { zone: self.settings.zone.clone(), lowest_revision, behind })
    }

    fn fleet_status(&self) -> FleetStatus {
        let peers = self.members.peers().map(|(node, peer)| NodeStatus {
            node: node.clone(),
            revision: peer.revision,
            leaving: !self.members.takes_work(self.now, node),
            suspected: self.members.suspects(self.now, node),
        });
        let own = NodeStatus {
            node: self.settings.node.clone(),
            revision: self.replica.revision(),
            leaving: self.is_leaving(),
            suspected: false,
        };
        FleetStatus {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            authority: self.lease.epoch(self.now),
            nodes: std::iter::once(own).chain(peers).collect(),
            engines: self.engines.values().map(|load| load.report.clone()).collect(),
            zones: self.zones.values().map(|it| it.summary.clone()).collect(),
        }
    }

    fn change_engine(&mut self, request: &EngineChangeRequest) -> EngineChangeOutcome {
        if self.lease.epoch(self.now).is_none() {
            let holder = self.authority_heard.as_ref().map(|(node, _, _)| node.clone());
            return EngineChangeOutcome::NotAuthority { holder };
        }
        let Some(load) = self.engines.get(&request.engine) else {
            return EngineChangeOutcome::UnknownEngine;
        };
        let standing = load.report.standing.clone();
        let role_after = match &request.change {
            OrderKind::SetRole { role } => Some(*role),
            OrderKind::Drain | OrderKind::LoadModel { .. } => None,
            OrderKind::RaiseFence => Some(standing.role),
        };
        // With the changes that are under way already.
        let served_before = self.allocation_of(&standing.model, None).serves();
        let after = self.allocation_of(&standing.model, Some((&request.engine, role_after)));
        if served_before && !after.serves() {
            return EngineChangeOutcome::LeavesNoneToServe;
        }
        let known = match &request.change {
            OrderKind::Drain => self.authority.drain(&request.engine),
            OrderKind::SetRole { role } => {
                let target = Target { role: *role, model: standing.model };
                self.authority.set_target(&request.engine, target)
            }
            OrderKind::LoadModel { model } => {
                let target = Target { role: standing.role, model: model.clone() };
                self.authority.set_target(&request.engine, target)
            }
            OrderKind::RaiseFence => true,
        };
        if !known {
            return EngineChangeOutcome::UnknownEngine;
        }
        self.send_orders();
        EngineChangeOutcome::Scheduled
    }
}
