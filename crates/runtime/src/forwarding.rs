//! Passing a request to a node of another zone, where the policy allows it.
//!
//! The prompt is data: it goes only to a zone that the service and the program allow, and
//! only while this node knows that its configuration is the latest. The receiving node
//! checks again by its own configuration.

use crate::exchange::{Exchange, Origin, Stage};
use crate::io::CallId;
use crate::node::{Node, Purpose};
use pitchstall_protocol::caller::{CallerEvent, ResumePoint};
use pitchstall_protocol::error::{ErrorBody, ErrorCode, Execution};
use pitchstall_protocol::ids::{EngineId, NodeId, RequestId, ZoneId};
use pitchstall_protocol::membership::{MemberState, NodeMember};
use pitchstall_protocol::peer::PeerMessage;
use std::collections::BTreeMap;

impl Node {
    /// Passes a request to the allowed zone with the most room. Returns whether it did.
    pub(crate) fn forward_to_best_zone(&mut self, request: &RequestId) -> bool {
        let Some(exchange) = self.exchanges.get(request) else {
            return false;
        };
        let silent_after = self.settings.control.zone_silent_after;
        let best = exchange
            .zones
            .iter()
            .filter(|zone| **zone != self.settings.zone)
            .filter_map(|zone| {
                let knowledge = self.zones.get(zone)?;
                let fresh = self.now.since(knowledge.heard) < silent_after;
                let room = knowledge.summary.capacity.iter().find(|it| it.model == exchange.model);
                let room = room.filter(|it| fresh && it.engines > 0)?;
                let load = f64::from(room.sequences) / f64::from(room.engines);
                Some((zone.clone(), load))
            })
            .min_by(|(_, left), (_, right)| left.total_cmp(right));
        match best {
            Some((zone, _)) => self.forward_to_zone(request, &zone),
            None => false,
        }
    }

    /// Passes a request to a node of one zone. Returns whether it did.
    pub(crate) fn forward_to_zone(&mut self, request: &RequestId, zone: &ZoneId) -> bool {
        let Some(exchange) = self.exchanges.get(request) else {
            return false;
        };
        // The last check before data leaves the zone, after any policy program.
        let allowed = exchange.zones.contains(zone)
            && self
                .replica
                .configuration()
                .and_then(|it| it.services.get(&exchange.request.service))
                .is_some_and(|service| service.zones.contains(zone))
            && self.replica.may_move_data(self.now);
        if !allowed {
            return false;
        }
        let Some(node) = self.node_of_zone(zone, &exchange.excluded_nodes) else {
            return false;
        };
        let mut forwarded = exchange.request.clone();
        forwarded.hops += 1;
        if exchange.delivered.tokens > 0 {
            // The other node makes the answer anew and sends only what is not delivered yet.
            forwarded.resume = Some(self.delivered_point(exchange));
        }
        forwarded.entry_zone.get_or_insert_with(|| self.settings.zone.clone());
        forwarded.deadline_ms = exchange.deadline.since(self.now).as_millis() as u64;
        let call = self.new_call(Purpose::Forward { request: request.clone() });
        let reply_to = self.settings.peer_address.clone();
        let message = PeerMessage::Forward { request: Box::new(forwarded), reply_to };
        if !self.send_to_peer(&node, message, Some(call)) {
            return false;
        }
        self.counters.forwarded += 1;
        let now = self.now;
        if let Some(exchange) = self.exchanges.get_mut(request) {
            // The other node claims the key; this one has nothing to keep.
            exchange.stage = Stage::Forwarded { node, call, next_sequence: 0, taken: false };
            exchange.may_have_started = true;
            exchange.attempts += 1;
            exchange.last_progress = now;
        }
        true
    }

    /// The point up to which a request's answer was handed on.
    fn delivered_point(&self, exchange: &Exchange) -> ResumePoint {
        ResumePoint {
            request: exchange.request.request.clone(),
            attempt: exchange.answer.attempt(),
            engine: EngineId::new("none"),
            offset: exchange.delivered.tokens,
            digest: exchange.delivered.digest,
        }
    }

    fn node_of_zone(&self, zone: &ZoneId, excluded: &[NodeId]) -> Option<NodeId> {
        let listed = self.members.remote_nodes(zone);
        let usable =
            |it: &NodeMember| it.state == MemberState::Live && !excluded.contains(&it.node);
        let is_live = |node: &NodeId| listed.iter().any(|it| it.node == *node && usable(it));
        let carrier = self.zones.get(zone).map(|it| it.summary.carrier.clone());
        if let Some(carrier) = carrier.filter(|carrier| is_live(carrier)) {
            return Some(carrier);
        }
        let live = listed.iter().filter(|it| usable(it));
        let nodes: Vec<&NodeId> = live.map(|it| &it.node).collect();
        pitchstall_coordination::placement::owner(&self.settings.node, nodes.iter().copied())
            .cloned()
    }

    /// Tells the nodes that forwarded requests which of them are in work here.
    pub(crate) fn tell_forwards_in_work(&mut self) {
        if self.now < self.schedule.forward_word {
            return;
        }
        self.schedule.forward_word = self.now + self.settings.requests.forward_word_every;
        let mut by_node: BTreeMap<NodeId, Vec<RequestId>> = BTreeMap::new();
        for (request, exchange) in &self.exchanges {
            if let Origin::Peer(node) = &exchange.origin {
                by_node.entry(node.clone()).or_default().push(request.clone());
            }
        }
        for (node, requests) in by_node {
            self.tell_peer(&node, PeerMessage::ForwardsInWork { requests });
        }
    }

    pub(crate) fn on_forwards_in_work(&mut self, from: &NodeId, requests: &[RequestId]) {
        let now = self.now;
        for request in requests {
            let Some(exchange) = self.exchanges.get_mut(request) else {
                continue;
            };
            if let Stage::Forwarded { node, taken, .. } = &mut exchange.stage {
                if node == from {
                    *taken = true;
                    exchange.last_progress = now;
                }
            }
        }
    }

    pub(crate) fn on_forwarded(
        &mut self,
        from: &NodeId,
        request: &RequestId,
        sequence: u64,
        event: CallerEvent,
    ) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        let Stage::Forwarded { node, next_sequence, taken, .. } = &mut exchange.stage else {
            return;
        };
        if node != from || sequence < *next_sequence {
            return;
        }
        if sequence > *next_sequence {
            self.on_forward_lost(request);
            return;
        }
        *next_sequence += 1;
        *taken = true;
        exchange.last_progress = now;
        match event {
            CallerEvent::Piece { point, text } => {
                exchange.answer = pitchstall_coordination::stream::StreamAssembler::resumed(
                    request.clone(),
                    point.attempt,
                    point.offset,
                    point.digest,
                );
                exchange.request.resume = Some(point.clone());
                self.deliver(request, point, text);
            }
            CallerEvent::Finished { usage } => {
                self.disown_claim(request);
                self.finish(request, usage);
            }
            CallerEvent::Failed { error } => self.on_forward_failed(request, error),
        }
    }

    fn on_forward_failed(&mut self, request: &RequestId, error: ErrorBody) {
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        let untouched = exchange.delivered.tokens == 0;
        if error.execution == Execution::NotRun && untouched {
            exchange.may_have_started = exchange.ran_before || exchange.read_before;
        }
        self.disown_claim(request);
        self.fail(request, error);
    }

    /// The claim is the other node's, so nothing is noted of it here.
    fn disown_claim(&mut self, request: &RequestId) {
        if let Some(exchange) = self.exchanges.get_mut(request) {
            exchange.claim_key = None;
        }
    }

    /// A forwarded request surely never reached its node.
    pub(crate) fn on_peer_unreachable(&mut self, call: CallId) {
        let Some(Purpose::Forward { request }) = self.calls.remove(&call) else {
            return;
        };
        let Some(exchange) = self.exchanges.get_mut(&request) else {
            return;
        };
        let Stage::Forwarded { node, call: present, .. } = &exchange.stage else {
            return;
        };
        if *present != call {
            return;
        }
        exchange.excluded_nodes.push(node.clone());
        exchange.may_have_started = exchange.ran_before || exchange.read_before;
        self.try_again(&request);
    }

    /// Events of the other node are missing.
    pub(crate) fn on_forward_lost(&mut self, request: &RequestId) {
        let Some(exchange) = self.exchanges.get(request) else {
            return;
        };
        let Stage::Forwarded { node, taken, .. } = &exchange.stage else {
            return;
        };
        let (node, taken) = (node.clone(), *taken);
        self.tell_peer(&node, PeerMessage::CancelForward { request: request.clone() });
        let Some(exchange) = self.exchanges.get_mut(request) else {
            return;
        };
        exchange.ran_before = true;
        exchange.excluded_nodes.push(node);
        let execution = crate::answers::execution_of(exchange.delivered.tokens);
        // A claim on its key keeps a request from running twice, even if the first node did
        // get it; so as long as nothing was heard, another node may be asked in any case.
        let is_safe = exchange.repeatable || (!taken && exchange.claim_key.is_some());
        let retry = is_safe && self.retry_budget.withdraw();
        let point = exchange.request.resume.clone();
        match (retry, point) {
            (true, Some(point)) => self.make_anew(request, point),
            (true, None) => self.try_again(request),
            (false, _) => {
                self.disown_claim(request);
                let message = "the node that had the request cannot be heard";
                self.fail(request, ErrorBody::failed(ErrorCode::EngineFailed, execution, message));
            }
        }
    }

    pub(crate) fn on_cancel_forward(&mut self, from: &NodeId, request: &RequestId) {
        let ours = self
            .exchanges
            .get(request)
            .is_some_and(|exchange| exchange.origin == Origin::Peer(from.clone()));
        if !ours {
            return;
        }
        if self.keeps_answer(request) {
            if let Some(exchange) = self.exchanges.get_mut(request) {
                exchange.origin = Origin::Nobody;
            }
        } else {
            self.close(request);
        }
    }
}
