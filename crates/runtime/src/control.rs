//! Authority over the zone: holding the lease, ordering engines, planning roles.

use crate::exchange::Exchange;
use crate::io::{EngineCall, Output};
use crate::node::{Node, Purpose};
use pitchstall_coordination::authority::Target;
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::engine::{EngineState, FencingToken, OrderKind, OrderReply};
use pitchstall_protocol::ids::{EngineId, ModelName};
use pitchstall_protocol::peer::ArrivedWork;
use pitchstall_protocol::store::{StoreError, StoreReply};
use pitchstall_scheduling::planner::{work_of, PlannedEngine, Planner};

impl Node {
    pub(crate) fn tick_control(&mut self) {
        let wanted = self.wants_authority();
        if let Some(request) = self.lease.poll(self.now, wanted) {
            self.call_store(Purpose::Lease { sent: self.now }, request);
        }
        self.follow_lease();
        if self.now >= self.schedule.reports {
            self.schedule.reports = self.now + self.settings.control.report_every;
            self.ask_reports();
        }
        if self.authority.epoch().is_some() {
            self.plan_roles();
        }
        self.send_orders();
    }

    /// The first live node of the zone tries for the lease, unless another is heard to hold
    /// it. A holder keeps it until it leaves, so that the authority moves seldom.
    fn wants_authority(&self) -> bool {
        if self.is_leaving() || self.members.version() == 0 {
            return false;
        }
        if self.lease.epoch(self.now).is_some() {
            return true;
        }
        let heard_lately = self.authority_heard.as_ref().is_some_and(|(node, _, heard)| {
            self.now.since(*heard) < self.settings.members.heartbeat_every * 3
                && self.members.takes_work(self.now, node)
        });
        !heard_lately && self.carries_digests()
    }

    pub(crate) fn on_lease_reply(
        &mut self,
        sent: Timestamp,
        reply: &Result<StoreReply, StoreError>,
    ) {
        if let Some(request) = self.lease.on_reply(self.now, sent, reply) {
            self.call_store(Purpose::Lease { sent: self.now }, request);
        }
        self.follow_lease();
    }

    /// Brings the authority in line with the lease as it is at this instant.
    fn follow_lease(&mut self) {
        let epoch = self.lease.epoch(self.now);
        if epoch != self.authority.epoch() {
            self.authority.set_epoch(epoch);
            let engines: Vec<EngineId> =
                self.members.zone_engines().map(|it| it.engine.clone()).collect();
            self.authority.set_engines(engines.into_iter());
            self.schedule.heartbeat = self.now;
        }
        let holds = epoch.is_some();
        if holds != self.watching {
            self.watching = holds;
            self.out.push(Output::Watch(holds));
        }
    }

    pub(crate) fn send_orders(&mut self) {
        // The lease was compared with the clock just now, in this same step.
        self.follow_lease();
        for (engine, order) in self.authority.poll(self.now) {
            self.counters.orders += 1;
            if matches!(order.kind, OrderKind::SetRole { .. } | OrderKind::LoadModel { .. }) {
                self.counters.role_changes += 1;
            }
            let purpose = Purpose::Order { engine: engine.clone(), token: order.token };
            self.call_engine(purpose, &engine, EngineCall::Order(order));
        }
    }

    pub(crate) fn on_order_reply(
        &mut self,
        engine: &EngineId,
        token: FencingToken,
        reply: Option<&OrderReply>,
    ) {
        self.authority.on_reply(self.now, engine, token, reply);
        // What the engine said of itself is newer than its last report.
        let standing = match reply {
            Some(OrderReply::Accepted { standing } | OrderReply::Busy { standing }) => standing,
            _ => return,
        };
        if let Some(load) = self.engines.get_mut(engine) {
            if standing.fence >= load.report.standing.fence {
                load.report.standing = standing.clone();
            }
        }
        self.send_orders();
    }

    /// Asks for the reports of the engines that this node watches over: each engine is
    /// asked by one node, which tells the zone.
    fn ask_reports(&mut self) {
        for engine in self.watched_engines() {
            let purpose = Purpose::Report { engine: engine.clone(), sent: self.now };
            self.call_engine(purpose, &engine, EngineCall::Report);
        }
    }

    /// The engines that this node watches over: those of the zone are dealt out in turn over
    /// its live nodes, so that none has many more than another.
    pub(crate) fn watched_engines(&self) -> Vec<EngineId> {
        let live = self.members.live_in_zone(self.now);
        let Some(rank) = live.iter().position(|node| *node == self.settings.node) else {
            return Vec::new();
        };
        let engines = self.members.zone_engines().skip(rank).step_by(live.len());
        engines.map(|member| member.engine.clone()).collect()
    }

    // --- planning ---------------------------------------------------------------------

    pub(crate) fn count_arrival(&mut self, exchange: &Exchange) {
        let model = exchange.model.clone();
        let prompt_tokens = exchange.prompt_tokens();
        let output_tokens = exchange.expected_output;
        let arrived = self.arrived.entry(model.clone()).or_insert(ArrivedWork {
            model: model.clone(),
            prompt_tokens: 0,
            output_tokens: 0,
        });
        arrived.prompt_tokens += prompt_tokens;
        arrived.output_tokens += output_tokens;
        self.note_demand(&model, prompt_tokens, output_tokens);
    }

    /// Every node measures the demand of its zone, so that a new holder of the authority
    /// does not plan from nothing.
    pub(crate) fn note_demand(
        &mut self,
        model: &ModelName,
        prompt_tokens: u64,
        output_tokens: u64,
    ) {
        if prompt_tokens == 0 && output_tokens == 0 {
            return;
        }
        let work = work_of(&self.speed_of(model), prompt_tokens, output_tokens);
        let config = self.settings.planner;
        let planner = self.planners.entry(model.clone()).or_insert_with(|| Planner::new(config));
        planner.on_request(self.now.0, work);
    }

    fn plan_roles(&mut self) {
        let Some(configuration) = self.replica.configuration() else {
            return;
        };
        let spec = configuration.planner.clone();
        let models: Vec<ModelName> = configuration.models.keys().cloned().collect();
        let mut away = self.authority.engines_away();
        for model in models {
            let engines = self.planned_engines(&model);
            let speed = self.speed_of(&model);
            let Some(planner) = self.planners.get_mut(&model) else {
                continue;
            };
            let Some(change) = planner.decide(self.now.0, &engines, &spec, &speed, away) else {
                continue;
            };
            away += 1;
            let target = Target { role: change.role, model };
            self.authority.set_target(&change.engine, target);
        }
    }

    fn planned_engines(&self, model: &ModelName) -> Vec<PlannedEngine> {
        let mut planned = Vec::new();
        for (engine, load) in &self.engines {
            let Some(standing) = self.authority.confirmed(engine) else {
                continue;
            };
            let stays = load.stays(self.now.0, self.settings.routing.silent_after_us);
            if standing.model != *model || !stays {
                continue;
            }
            planned.push(PlannedEngine {
                engine: engine.clone(),
                role: self.authority.intended_role(engine).unwrap_or(standing.role),
                free: standing.state == EngineState::Ready,
                sequences: load.sequences(),
            });
        }
        planned
    }
}
