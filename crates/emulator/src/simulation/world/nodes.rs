//! Feeding nodes, and what they send to each other.

use super::*;

impl World {
    pub(super) fn tick(&mut self, place: usize, incarnation: u64) {
        let slot = &self.nodes[place];
        if slot.incarnation != incarnation || slot.node.is_none() {
            return;
        }
        if !slot.paused {
            self.feed(place, Input::Tick);
        }
        let tick = self.topology.tick;
        self.schedule(tick, Happening::Tick { node: place, incarnation });
    }

    pub(super) fn send_to_node(
        &mut self,
        wait: Duration,
        node: usize,
        incarnation: u64,
        input: Input,
    ) {
        let input = Box::new(input);
        self.schedule(wait, Happening::Node { node, incarnation, input });
    }

    pub(super) fn node_place(&self, node: usize) -> Place {
        let zone = Some(self.nodes[node].zone.clone());
        Place { endpoint: Endpoint::Node(node), zone }
    }

    pub(super) fn engine_place(&self, engine: usize) -> Place {
        let zone = Some(self.engines[engine].zone.clone());
        Place { endpoint: Endpoint::Engine(engine), zone }
    }

    /// Feeds an input to a node and does what comes of it.
    pub fn feed(&mut self, place: usize, input: Input) {
        let slot = &mut self.nodes[place];
        if slot.paused {
            slot.backlog.push(input);
            return;
        }
        let Some(node) = &mut slot.node else {
            return;
        };
        let elapsed_us = self.now.0 - slot.started.0;
        let drift_us = (elapsed_us as i64 * slot.drift_ppm) / 1_000_000;
        let local = Timestamp(elapsed_us.saturating_add_signed(drift_us));
        let mut outputs = Vec::new();
        let began = std::time::Instant::now();
        node.step(local, input, &mut outputs);
        slot.busy += began.elapsed();
        let revision = node.configuration().revision();
        if revision != slot.applied {
            slot.applied = revision;
            let name = slot.name.clone();
            self.history.note(self.now, Event::Applied { node: name, revision });
        }
        for output in outputs {
            self.perform_node(place, output);
        }
    }

    pub(super) fn perform_node(&mut self, place: usize, output: Output) {
        let incarnation = self.nodes[place].incarnation;
        match output {
            Output::Caller { connection, event } => {
                let Some(caller) = self.nodes[place].callers.get(&connection).copied() else {
                    return;
                };
                if !matches!(event, CallerEvent::Piece { .. }) {
                    self.nodes[place].callers.remove(&connection);
                }
                let connection = (place, connection.0);
                let event = Some(event);
                self.schedule(CALLER_DELAY, Happening::Caller { caller, connection, event });
            }
            Output::Engine { call, address, request, .. } => {
                self.call_engine(place, incarnation, call, &address, request);
            }
            Output::CloseStream(call) => {
                if let Some((engine, reader)) = self.nodes[place].readers.remove(&call) {
                    let wait = self.topology.delay_in_zone;
                    self.schedule(wait, Happening::ReaderGone { engine, reader });
                }
            }
            Output::Store { call, delay_ms, request } => {
                self.call_store(place, incarnation, call, delay_ms, request);
            }
            Output::Watch(on) => self.nodes[place].watching = on,
            Output::Peer { envelope, report, .. } => self.send_peer(place, envelope, report),
            Output::PollMembers { since } => self.poll_members(place, incarnation, since),
            Output::Operator { call, reply } => {
                if let Some(change) = self.applying.remove(&(place, call)) {
                    if let OperatorReply::Apply(outcome) = reply {
                        let outcome = Some(outcome);
                        self.history.note(self.now, Event::ApplyEnds { change, outcome });
                    }
                }
            }
            Output::Left => {
                let name = self.nodes[place].name.clone();
                self.members.remove_node(self.now, &name);
                self.history.note(self.now, Event::NodeLeft { node: name });
                self.kill_node(place);
            }
        }
    }

    pub(super) fn send_peer(
        &mut self,
        place: usize,
        envelope: PeerEnvelope,
        report: Option<CallId>,
    ) {
        let bytes = serde_json::to_vec(&envelope).map_or(0, |line| line.len() as u64 + 1);
        let is_data =
            matches!(envelope.message, PeerMessage::Forward { .. } | PeerMessage::Forwarded { .. });
        if !is_data {
            self.nodes[place].peer_bytes += bytes;
            self.nodes[place].peer_messages += 1;
        }
        let Some(to) = self.node_by_name.get(&envelope.to).copied() else {
            return;
        };
        if let PeerMessage::Forward { request, .. } = &envelope.message {
            let event = Event::Moved {
                node: self.nodes[place].name.clone(),
                service: request.service.clone(),
                to: self.nodes[to].zone.clone(),
            };
            self.history.note(self.now, event);
        }
        let (from, target) = (self.node_place(place), self.node_place(to));
        if !self.network.passes(&from, &target) {
            return;
        }
        let wait = self.network.delay(&from, &target);
        if self.nodes[to].node.is_none() {
            let own = self.nodes[place].incarnation;
            if let Some(call) = report {
                self.send_to_node(wait * 2, place, own, Input::PeerUnreachable { call });
            }
            return;
        }
        let incarnation = self.nodes[to].incarnation;
        self.send_to_node(wait, to, incarnation, Input::Peer(envelope));
    }

    pub(super) fn poll_members(&mut self, place: usize, incarnation: u64, since: u64) {
        let from = self.node_place(place);
        let list = Place { endpoint: Endpoint::Members, zone: None };
        if !self.network.passes(&from, &list) {
            return;
        }
        let wait = self.network.delay(&from, &list) * 2;
        if let Some(members) = self.members.poll(self.now, since).cloned() {
            self.note_listed_leaving(place, &members);
            self.send_to_node(wait, place, incarnation, Input::Members(members));
        }
    }

    /// An engine counts as named by the list once a node of its zone has seen that.
    pub(super) fn note_listed_leaving(&mut self, place: usize, list: &MembershipList) {
        let zone = self.nodes[place].zone.clone();
        let leaving = list.engines.iter().filter(|it| it.state == MemberState::Leaving);
        for member in leaving.filter(|it| it.zone == zone) {
            if self.listed_leaving.insert(member.engine.clone()) {
                let engine = member.engine.clone();
                self.history.note(self.now, Event::EngineLeaves { engine });
            }
        }
    }
}
