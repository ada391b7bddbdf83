//! What nodes tell each other: heartbeats inside a zone, digests between zones, and the
//! configuration by both.

use crate::io::Output;
use crate::node::{spread_of, Node, Purpose, RemoteClock, ZoneKnowledge};
use pitchstall_coordination::commit::{decode_document, CURRENT_KEY};
use pitchstall_coordination::configuration::Exchange;
use pitchstall_coordination::members::PeerWord;
use pitchstall_coordination::placement::stable_hash;
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::configuration::Document;
use pitchstall_protocol::ids::{Incarnation, ModelName, NodeId, Revision, ZoneId};
use pitchstall_protocol::membership::{MemberState, MembershipList};
use pitchstall_protocol::peer::{
    Digest, Heartbeat, ModelCapacity, PeerEnvelope, PeerMessage, SharedReport, ZoneSummary,
};
use pitchstall_protocol::store::{StoreError, StoreReply, StoreRequest, StoredValue};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Most nodes of a zone that a summary names as behind.
const BEHIND_NAMED: usize = 4;

impl Node {
    pub(crate) fn on_peer(&mut self, envelope: PeerEnvelope) {
        // The address may have passed to this process from another one.
        if envelope.to != self.settings.node {
            return;
        }
        let from = envelope.from;
        let incarnation = envelope.from_incarnation;
        // Clock readings echoed from an earlier start of this process prove nothing.
        let for_this_start = envelope.to_incarnation == Some(self.settings.incarnation);
        match envelope.message {
            PeerMessage::Heartbeat(mut heartbeat) => {
                heartbeat.echo_us = heartbeat.echo_us.filter(|_| for_this_start);
                self.on_heartbeat(&from, incarnation, *heartbeat);
            }
            PeerMessage::Digest(mut digest) => {
                digest.echo_us = digest.echo_us.filter(|_| for_this_start);
                self.on_digest(&from, incarnation, digest);
            }
            PeerMessage::PullDigest => self.on_pull_digest(&from),
            PeerMessage::PullConfiguration { have } => self.on_pull(&from, have),
            PeerMessage::PushConfiguration(document) => {
                self.apply_document(Rc::new(*document));
            }
            PeerMessage::Forward { request, reply_to } => {
                self.reply_addresses.insert(from.clone(), reply_to);
                self.on_forward(from, *request);
            }
            PeerMessage::ForwardsInWork { requests } => self.on_forwards_in_work(&from, &requests),
            PeerMessage::Forwarded { request, sequence, event } => {
                self.on_forwarded(&from, &request, sequence, event);
            }
            PeerMessage::CancelForward { request } => self.on_cancel_forward(&from, &request),
            PeerMessage::AskClaim { claim } => self.on_ask_claim(&from, claim),
            PeerMessage::ClaimFate { claim, fate } => self.on_claim_fate(&from, &claim, &fate),
        }
    }

    pub(crate) fn tick_spread(&mut self) {
        if self.now >= self.schedule.members {
            self.schedule.members = self.now + self.settings.control.members_every;
            self.out.push(Output::PollMembers { since: self.members.version() });
        }
        if self.now >= self.schedule.heartbeat {
            self.schedule.heartbeat = self.now + self.settings.members.heartbeat_every;
            self.send_heartbeats();
        }
        if self.now >= self.schedule.digest {
            self.schedule.digest = self.now + self.settings.control.digest_every;
            self.send_digests();
        }
        self.pull_digest();
        if self.now >= self.schedule.verify {
            self.schedule.verify = self.now + self.settings.control.verify_every;
            self.verify_configuration();
        }
    }

    pub(crate) fn on_members(&mut self, list: MembershipList) {
        self.members.on_list(self.now, list);
        let listed: BTreeSet<_> =
            self.members.zone_engines().map(|member| member.engine.clone()).collect();
        self.engines.retain(|engine, _| listed.contains(engine));
        let peers: BTreeSet<NodeId> = self.members.peers().map(|(node, _)| node.clone()).collect();
        self.arrived_seen.retain(|(node, _), _| peers.contains(node));
        self.authority.set_engines(listed.into_iter());
        let members = &self.members;
        self.reply_addresses.retain(|node, _| members.peer_address(node).is_none());
        self.remote_clocks.retain(|node, _| self.members.peer_address(node).is_some());
        self.mark_leaving_engines();
    }

    /// Engines that the list names as leaving get no new work, whatever they report.
    fn mark_leaving_engines(&mut self) {
        for engine in self.members.leaving_engines() {
            if let Some(load) = self.engines.get_mut(engine) {
                load.name_leaving();
            }
        }
    }

    // --- heartbeats -----------------------------------------------------------------

    fn send_heartbeats(&mut self) {
        let reports = self.reports_to_share();
        let suspects = self.members.locally_suspected(self.now);
        let heartbeat = Heartbeat {
            zone: self.settings.zone.clone(),
            sent_at_us: self.now.0,
            echo_us: None,
            revision: self.replica.revision(),
            verified_age_us: self.replica.verified_age_us(self.now),
            leaving: self.is_leaving(),
            authority: self.lease.epoch(self.now),
            reports,
            leaving_engines: self.members.leaving_engines().cloned().collect(),
            arrived: self.arrived.values().cloned().collect(),
            suspects,
        };
        let peers: Vec<(NodeId, Option<u64>)> =
            self.members.peers().map(|(node, peer)| (node.clone(), peer.clock_us)).collect();
        for (node, echo_us) in peers {
            let heartbeat = Heartbeat { echo_us, ..heartbeat.clone() };
            self.tell_peer(&node, PeerMessage::Heartbeat(Box::new(heartbeat)));
        }
    }

    /// Reports that this node asked for itself since the last heartbeat but one.
    fn reports_to_share(&self) -> Vec<SharedReport> {
        let fresh = self.settings.members.heartbeat_every * 2;
        self.watched_engines()
            .into_iter()
            .filter_map(|engine| self.engines.get(&engine))
            .filter(|load| self.now.since(Timestamp(load.reported_us)) < fresh)
            .map(|load| {
                let age_us = self.now.0.saturating_sub(load.reported_us);
                SharedReport::of(&load.report, age_us)
            })
            .collect()
    }

    fn on_heartbeat(&mut self, from: &NodeId, incarnation: Incarnation, heartbeat: Heartbeat) {
        let word = PeerWord {
            incarnation,
            revision: heartbeat.revision,
            leaving: heartbeat.leaving,
            sent_at_us: heartbeat.sent_at_us,
            suspects: heartbeat.suspects.iter().cloned().collect(),
        };
        self.members.on_heartbeat(self.now, from, word);
        // What the echo proves to have been sent after; without it nothing is proved, and
        // a message may have waited in a buffer for as long as this process was paused.
        let echo = heartbeat.echo_us.map(Timestamp);
        let age = heartbeat.verified_age_us.map(Duration::from_micros);
        self.compare_configuration(from, heartbeat.revision, echo, age);
        if let Some(epoch) = heartbeat.authority {
            let newer = self.authority_heard.as_ref().is_none_or(|(_, known, _)| epoch >= *known);
            if newer {
                self.authority_heard = Some((from.clone(), epoch, self.now));
            }
        }
        for engine in &heartbeat.leaving_engines {
            self.members.on_engine_leaving(engine);
        }
        let sent_after = echo.unwrap_or(self.now);
        self.mark_leaving_engines();
        for shared in heartbeat.reports {
            let made = sent_after.before(Duration::from_micros(shared.age_us));
            self.on_report(shared.into_report(heartbeat.zone.clone()), made);
        }
        for arrived in heartbeat.arrived {
            self.on_arrived_elsewhere(from, arrived);
        }
    }

    // --- digests ---------------------------------------------------------------------

    /// Whether this node speaks for its zone: the first of its live nodes.
    pub(crate) fn carries_digests(&self) -> bool {
        !self.is_leaving()
            && self.members.live_in_zone(self.now).first() == Some(&self.settings.node)
    }

    /// Notes that other zones matter to this node for a while. Most nodes never need to
    /// know of them, so only those that do ask the carrier of their zone.
    pub(crate) fn want_zones(&mut self) {
        const WANTED_FOR: Duration = Duration::from_secs(5);
        self.zones_wanted_until = self.now + WANTED_FOR;
        self.pull_digest();
    }

    fn pull_digest(&mut self) {
        if self.now >= self.zones_wanted_until || self.now < self.schedule.pull_digest {
            return;
        }
        self.schedule.pull_digest = self.now + self.settings.control.digest_every / 2;
        let carrier = self.members.live_in_zone(self.now).into_iter().next();
        if let Some(carrier) = carrier.filter(|carrier| *carrier != self.settings.node) {
            self.tell_peer(&carrier, PeerMessage::PullDigest);
        }
    }

    fn on_pull_digest(&mut self, from: &NodeId) {
        let echo_us = self.members.peer(from).and_then(|peer| peer.clock_us);
        // A node of the own zone asks for all that is known.
        let zones = self.zones.values().map(|knowledge| knowledge.summary.clone()).collect();
        let digest = Digest { echo_us, zones, ..self.make_digest() };
        self.tell_peer(from, PeerMessage::Digest(digest));
    }

    fn send_digests(&mut self) {
        if !self.carries_digests() {
            return;
        }
        let digest = self.make_digest();
        for node in self.digest_receivers() {
            let echo_us = self.remote_clocks.get(&node).map(|clock| clock.clock_us);
            self.tell_peer(&node, PeerMessage::Digest(Digest { echo_us, ..digest.clone() }));
        }
    }

    fn make_digest(&mut self) -> Digest {
        let own = self.summarize_zone();
        let mut zones: Vec<ZoneSummary> = vec![own];
        zones.extend(self.freshest_summaries());
        Digest {
            sent_at_us: self.now.0,
            echo_us: None,
            revision: self.replica.revision(),
            verified_age_us: self.replica.verified_age_us(self.now),
            zones,
        }
    }

    /// The summaries that were heard last, at most a fixed number: so a digest does not grow
    /// with the number of zones, and what is new travels first.
    fn freshest_summaries(&self) -> Vec<ZoneSummary> {
        let mut known: Vec<&ZoneKnowledge> = self.zones.values().collect();
        known.sort_by_key(|knowledge| std::cmp::Reverse(knowledge.heard));
        let freshest = known.into_iter().take(self.settings.control.digest_summaries);
        freshest.map(|knowledge| knowledge.summary.clone()).collect()
    }

    fn summarize_zone(&mut self) -> ZoneSummary {
        self.summary_sequence += 1;
        let bound = self.replica.movement_bound();
        let revision = self.replica.revision();
        let mut lowest = revision;
        let mut behind = Vec::new();
        for (node, peer) in self.members.peers() {
            // A node that was silent past the bound moves no data by itself.
            let silent = self.members.silent_for(self.now, node);
            if silent.is_none_or(|silent| silent >= bound) {
                continue;
            }
            lowest = lowest.min(peer.revision);
            if peer.revision < revision && behind.len() < BEHIND_NAMED {
                behind.push(node.clone());
            }
        }
        ZoneSummary {
            zone: self.settings.zone.clone(),
            carrier: self.settings.node.clone(),
            sequence: self.now.0,
            lowest_revision: lowest,
            live_nodes: self.members.live_in_zone(self.now).len() as u32,
            behind,
            capacity: self.zone_capacity(),
        }
    }

    fn zone_capacity(&self) -> Vec<ModelCapacity> {
        let silent_after_us = self.settings.routing.silent_after_us;
        let mut by_model: BTreeMap<ModelName, ModelCapacity> = BTreeMap::new();
        for load in self.engines.values() {
            if !load.takes_work(self.now.0, silent_after_us) {
                continue;
            }
            let model = load.report.standing.model.clone();
            let capacity = by_model.entry(model.clone()).or_insert(ModelCapacity {
                model,
                engines: 0,
                sequences: 0,
            });
            capacity.engines += 1;
            capacity.sequences += load.sequences() as u32;
        }
        by_model.into_values().collect()
    }

    /// Some other zones' carriers, another choice each time, the same in each run.
    fn digest_receivers(&self) -> Vec<NodeId> {
        let round = self.summary_sequence;
        let mut zones: Vec<&ZoneId> = self.members.remote_zones().map(|(zone, _)| zone).collect();
        zones.sort_by_key(|zone| stable_hash(&(&self.settings.node, round, *zone)));
        let receivers = zones.into_iter().take(self.settings.control.digest_fanout);
        receivers.filter_map(|zone| self.carrier_of(zone, round)).collect()
    }

    /// The carrier of a zone as last heard, or some listed node of it.
    fn carrier_of(&self, zone: &ZoneId, round: u64) -> Option<NodeId> {
        let listed = self.members.remote_nodes(zone);
        let known = self
            .zones
            .get(zone)
            .filter(|it| self.now.since(it.heard) < self.settings.control.zone_silent_after);
        if let Some(known) = known {
            let carrier = &known.summary.carrier;
            if listed.iter().any(|it| it.node == *carrier) {
                return Some(carrier.clone());
            }
        }
        let live: Vec<&NodeId> =
            listed.iter().filter(|it| it.state == MemberState::Live).map(|it| &it.node).collect();
        let place = stable_hash(&(&self.settings.node, round)) as usize;
        live.get(place % live.len().max(1)).map(|node| (*node).clone())
    }

    fn on_digest(&mut self, from: &NodeId, incarnation: Incarnation, digest: Digest) {
        let echo = digest.echo_us.map(Timestamp);
        let age = digest.verified_age_us.map(Duration::from_micros);
        let heard = RemoteClock { incarnation, clock_us: digest.sent_at_us };
        let known = self.remote_clocks.entry(from.clone()).or_insert(heard);
        if (heard.incarnation, heard.clock_us) > (known.incarnation, known.clock_us) {
            *known = heard;
        }
        self.compare_configuration(from, digest.revision, echo, age);
        for summary in digest.zones {
            self.on_summary(summary);
        }
        self.dispatch_queued();
    }

    fn on_summary(&mut self, summary: ZoneSummary) {
        if summary.zone == self.settings.zone {
            return;
        }
        let newer = match self.zones.get(&summary.zone) {
            Some(known) if known.summary.carrier == summary.carrier => {
                summary.sequence > known.summary.sequence
            }
            // Another carrier took over; keep the known one while it is still heard.
            Some(known) => self.now.since(known.heard) >= self.settings.control.digest_every * 2,
            None => true,
        };
        if newer {
            let knowledge = ZoneKnowledge { summary: summary.clone(), heard: self.now };
            self.zones.insert(summary.zone, knowledge);
        }
    }

    // --- configuration ------------------------------------------------------------------

    fn compare_configuration(
        &mut self,
        from: &NodeId,
        revision: Revision,
        echo: Option<Timestamp>,
        age: Option<Duration>,
    ) {
        match self.replica.on_peer(revision, echo, age) {
            Exchange::Nothing => {}
            Exchange::Pull => {
                let have = self.replica.revision();
                self.tell_peer(from, PeerMessage::PullConfiguration { have });
            }
            Exchange::Push => self.push_document(from),
        }
    }

    fn on_pull(&mut self, from: &NodeId, have: Revision) {
        if self.replica.revision() > have {
            self.push_document(from);
        }
    }

    fn push_document(&mut self, to: &NodeId) {
        if let Some(document) = self.replica.document().cloned() {
            self.tell_peer(to, PeerMessage::PushConfiguration(Box::new((*document).clone())));
        }
    }

    pub(crate) fn apply_document(&mut self, document: Rc<Document>) {
        if self.replica.on_document(document) {
            self.on_new_revision();
        }
    }

    fn on_new_revision(&mut self) {
        self.revision_learnt = self.now;
        // Tell the zone now; the others pull at the next heartbeat otherwise.
        self.schedule.heartbeat = self.now;
        let known: BTreeSet<ModelName> = self
            .replica
            .configuration()
            .map(|it| it.models.keys().cloned().collect())
            .unwrap_or_default();
        self.planners.retain(|model, _| known.contains(model));
    }

    /// A change was committed through this node: tell every node of the zone and one node of
    /// each other zone, so that an outage of the store right now does not strand it.
    pub(crate) fn broadcast_document(&mut self) {
        let mut receivers: Vec<NodeId> =
            self.members.peers().map(|(node, _)| node.clone()).collect();
        let zones: Vec<ZoneId> = self.members.remote_zones().map(|it| it.0.clone()).collect();
        receivers.extend(zones.iter().filter_map(|zone| self.carrier_of(zone, 0)));
        for node in receivers {
            self.push_document(&node);
        }
    }

    /// Reads the configuration at the store, which proves that it is the latest. One node of
    /// the zone does so for all; a node that has nothing, or whose proof has grown old
    /// because nobody else's reaches it, does so for itself.
    fn verify_configuration(&mut self) {
        let age = self.replica.verified_age(self.now);
        let holder = self.lease.epoch(self.now).is_some();
        let bound = self.replica.movement_bound();
        let is_old = age.is_none_or(|age| age >= bound / 2);
        if !holder && !is_old {
            return;
        }
        let request = StoreRequest::Get { keys: vec![CURRENT_KEY.to_owned()] };
        self.call_store(Purpose::Verify { sent: self.now }, request);
        // Nodes that verify for themselves do so at different instants.
        if !holder {
            let pause = self.settings.control.verify_every;
            self.schedule.verify = self.now + pause + spread_of(&self.settings.node, pause);
        }
    }

    pub(crate) fn on_verify_reply(
        &mut self,
        sent: Timestamp,
        reply: Result<StoreReply, StoreError>,
    ) {
        let Ok(StoreReply::Values { values, .. }) = reply else {
            return;
        };
        let stored = values.iter().find(|value| value.key == CURRENT_KEY);
        let document = stored.and_then(|value| decode_document(&value.value));
        // A value that cannot be read proves nothing.
        if stored.is_some() && document.is_none() {
            return;
        }
        if self.replica.on_store_read(sent, document.map(Rc::new)) {
            self.on_new_revision();
        }
    }

    pub(crate) fn on_watched(&mut self, value: &StoredValue) {
        if value.key != CURRENT_KEY {
            return;
        }
        if let Some(document) = decode_document(&value.value) {
            self.apply_document(Rc::new(document));
        }
    }

    // --- engines' reports ------------------------------------------------------------------

    /// Takes a report that was asked for at `made` or later.
    pub(crate) fn on_report(
        &mut self,
        report: pitchstall_protocol::engine::EngineReport,
        made: Timestamp,
    ) {
        let Some(member) = self.members.engine(&report.engine) else {
            return;
        };
        if member.zone != self.settings.zone {
            return;
        }
        for block in &report.cached_blocks {
            self.prefixes.on_block(*block, &report.engine);
        }
        self.authority.on_report(&report.engine, &report.standing);
        let engine = report.engine.clone();
        let load = self.engines.entry(engine).or_insert_with(|| {
            pitchstall_scheduling::load::EngineLoad::new(report.clone(), made.0)
        });
        load.on_report(report, made.0);
        self.mark_leaving_engines();
        self.dispatch_queued();
    }

    /// Totals of work that came in at another node of the zone.
    fn on_arrived_elsewhere(
        &mut self,
        from: &NodeId,
        arrived: pitchstall_protocol::peer::ArrivedWork,
    ) {
        let key = (from.clone(), arrived.model.clone());
        let before = self.arrived_seen.insert(key, arrived.clone());
        let Some(before) = before else {
            return;
        };
        let prompt_tokens = arrived.prompt_tokens.saturating_sub(before.prompt_tokens);
        let output_tokens = arrived.output_tokens.saturating_sub(before.output_tokens);
        self.note_demand(&arrived.model, prompt_tokens, output_tokens);
    }
}
