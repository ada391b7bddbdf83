//! Engines, and the streams that they send.

use super::*;

impl World {
    pub(super) fn call_engine(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        address: &str,
        request: EngineCall,
    ) {
        let refused = Input::Engine { call, input: EngineInput::Unreachable };
        let Some(engine) = self.engine_by_address.get(address).copied() else {
            self.send_to_node(Duration::from_millis(1), node, incarnation, refused);
            return;
        };
        if let EngineCall::Generate(generate) = &request {
            let key = AttemptKey { request: generate.request.clone(), attempt: generate.attempt };
            let name = self.engines[engine].model.engine().clone();
            self.history.note(self.now, Event::Attempted { engine: name, key });
        }
        let (from, to) = (self.node_place(node), self.engine_place(engine));
        if !self.engines[engine].alive {
            self.send_to_node(Duration::from_millis(1), node, incarnation, refused);
            return;
        }
        if !self.network.passes(&from, &to) {
            let timeout = answer_timeout(&request);
            let input = Input::Engine { call, input: EngineInput::Broken };
            self.send_to_node(timeout, node, incarnation, input);
            return;
        }
        let wait = self.network.delay(&from, &to);
        let request = Box::new(request);
        self.schedule(wait, Happening::EngineCall { engine, node, incarnation, call, request });
    }

    pub(super) fn engine_call(
        &mut self,
        engine: usize,
        node: usize,
        incarnation: u64,
        call: CallId,
        request: EngineCall,
    ) {
        if !self.engines[engine].alive {
            let input = Input::Engine { call, input: EngineInput::Broken };
            self.send_to_node(Duration::from_millis(1), node, incarnation, input);
            return;
        }
        let now = self.now;
        match request {
            EngineCall::Generate(generate) => {
                let reader = self.open_reader(engine, node, incarnation, call);
                let actions = self.engines[engine].model.generate(now, reader, &generate);
                self.perform_engine(engine, actions);
            }
            EngineCall::Resume(resume) => {
                let reader = self.open_reader(engine, node, incarnation, call);
                let actions = self.engines[engine].model.resume(now, reader, &resume);
                self.perform_engine(engine, actions);
            }
            EngineCall::Cancel(key) => self.engines[engine].model.cancel(&key),
            EngineCall::Report => {
                let report = self.engines[engine].model.report(now);
                let input = Input::Engine { call, input: EngineInput::Report(report) };
                self.answer_from_engine(engine, node, incarnation, input);
            }
            EngineCall::Order(order) => {
                let (reply, actions) = self.engines[engine].model.on_order(now, &order);
                let event = Event::Ordered {
                    engine: self.engines[engine].model.engine().clone(),
                    node: self.nodes[node].name.clone(),
                    token: order.token,
                    kind: order.kind,
                    reply: reply.clone(),
                };
                self.history.note(now, event);
                if changes_state(&reply) {
                    let name = self.engines[engine].model.engine().clone();
                    self.history.note(now, Event::EngineChanged { engine: name });
                }
                let input = Input::Engine { call, input: EngineInput::Order(reply) };
                self.answer_from_engine(engine, node, incarnation, input);
                self.perform_engine(engine, actions);
            }
        }
    }

    pub(super) fn answer_from_engine(
        &mut self,
        engine: usize,
        node: usize,
        incarnation: u64,
        input: Input,
    ) {
        let (from, to) = (self.engine_place(engine), self.node_place(node));
        if self.network.passes(&from, &to) {
            let wait = self.network.delay(&from, &to);
            self.send_to_node(wait, node, incarnation, input);
        } else if let Input::Engine { call, .. } = input {
            let input = Input::Engine { call, input: EngineInput::Broken };
            self.send_to_node(ANSWER_TIMEOUT, node, incarnation, input);
        }
    }

    pub(super) fn open_reader(
        &mut self,
        engine: usize,
        node: usize,
        incarnation: u64,
        call: CallId,
    ) -> Reader {
        let now = self.now;
        let slot = &mut self.engines[engine];
        let reader = Reader(slot.next_reader);
        slot.next_reader += 1;
        let reader_slot =
            ReaderSlot { node, incarnation, call, last_delivery: now, ended: false, broken: false };
        slot.readers.insert(reader, reader_slot);
        let owner = &mut self.nodes[node];
        if owner.incarnation == incarnation && owner.node.is_some() {
            owner.readers.insert(call, (engine, reader));
        } else {
            let wait = self.topology.delay_in_zone;
            self.schedule(wait, Happening::ReaderGone { engine, reader });
        }
        reader
    }

    pub(super) fn reader_gone(&mut self, engine: usize, reader: Reader) {
        let now = self.now;
        let slot = &mut self.engines[engine];
        if slot.readers.remove(&reader).is_some() && slot.alive {
            slot.model.reader_gone(now, reader);
            self.schedule_engine(engine);
        }
    }

    pub(super) fn advance_engine(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        if !slot.alive || slot.paused {
            return;
        }
        let actions = slot.model.advance(self.now);
        self.perform_engine(engine, actions);
    }

    pub(super) fn perform_engine(&mut self, engine: usize, actions: Vec<EngineAction>) {
        let started = self.engines[engine].model.take_started_runs();
        for key in started {
            let name = self.engines[engine].model.engine().clone();
            self.history.note(self.now, Event::Started { engine: name, key });
        }
        for action in actions {
            match action {
                EngineAction::Send(reader, event) => self.send_event(engine, reader, event),
                EngineAction::End(reader) => self.end_reader(engine, reader),
                EngineAction::FetchCache { needed_by, address, key, .. } => {
                    self.fetch_cache(engine, needed_by, &address, &key);
                }
                EngineAction::LoadWeights { bytes } => {
                    let done = self.weights.load(self.now, bytes);
                    self.schedule(done.since(self.now), Happening::WeightsArrive { engine });
                }
            }
        }
        self.schedule_engine(engine);
    }

    pub(super) fn schedule_engine(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        let Some(wake) = slot.model.next_wake().map(|wake| wake.max(self.now)) else {
            return;
        };
        if slot.wake_at.is_some_and(|scheduled| scheduled <= wake) {
            return;
        }
        slot.wake_at = Some(wake);
        self.schedule(wake.since(self.now), Happening::EngineWake { engine });
    }

    pub(super) fn send_event(&mut self, engine: usize, reader: Reader, event: EngineEvent) {
        let trouble = self.stream_trouble;
        let mut roll = |permille: u32| permille > 0 && self.rng.random_range(0..1_000) < permille;
        let breaks = roll(trouble.broken_permille);
        let doubles = roll(trouble.doubled_permille);
        let crosses = roll(trouble.crossed_permille);
        if breaks {
            self.break_stream(engine, reader);
        }
        let Some(slot) = self.engines[engine].readers.get(&reader) else {
            return;
        };
        let (from, to) = (self.engine_place(engine), self.node_place(slot.node));
        if slot.broken {
            return;
        }
        if !self.network.passes(&from, &to) {
            // The rest of the stream is lost with this event; the node hears nothing.
            if let Some(slot) = self.engines[engine].readers.get_mut(&reader) {
                slot.broken = true;
            }
            return;
        }
        let delay = self.network.delay(&from, &to);
        let crossed = crosses.then(|| self.pick_recent_event()).flatten();
        if trouble != StreamTrouble::default() {
            self.remember_event(&event);
        }
        let copies = if doubles { 2 } else { 1 };
        for event in crossed.into_iter().chain(std::iter::repeat_n(event, copies)) {
            self.deliver_event(engine, reader, delay, event);
        }
    }

    pub(super) fn deliver_event(
        &mut self,
        engine: usize,
        reader: Reader,
        delay: Duration,
        event: EngineEvent,
    ) {
        let earliest = self.now + delay;
        let Some(slot) = self.engines[engine].readers.get_mut(&reader) else {
            return;
        };
        // A stream keeps its order.
        let at = earliest.max(slot.last_delivery);
        slot.last_delivery = at;
        slot.ended |= !matches!(event.kind, EngineEventKind::Tokens { .. });
        let (node, incarnation, call) = (slot.node, slot.incarnation, slot.call);
        let input = Input::Engine { call, input: EngineInput::Event(event) };
        self.send_to_node(at.since(self.now), node, incarnation, input);
    }

    pub(super) fn remember_event(&mut self, event: &EngineEvent) {
        const REMEMBERED: usize = 16;
        if self.recent_events.len() >= REMEMBERED {
            self.recent_events.remove(0);
        }
        self.recent_events.push(event.clone());
    }

    pub(super) fn pick_recent_event(&mut self) -> Option<EngineEvent> {
        if self.recent_events.is_empty() {
            return None;
        }
        let place = self.rng.random_range(0..self.recent_events.len());
        Some(self.recent_events[place].clone())
    }

    pub(super) fn end_reader(&mut self, engine: usize, reader: Reader) {
        let Some(slot) = self.engines[engine].readers.remove(&reader) else {
            return;
        };
        if !slot.ended && !slot.broken {
            // Another reader took the attempt over.
            let input = Input::Engine { call: slot.call, input: EngineInput::Broken };
            self.send_to_node(self.topology.delay_in_zone, slot.node, slot.incarnation, input);
        }
        self.nodes[slot.node].readers.remove(&slot.call);
    }

    pub(super) fn fetch_cache(
        &mut self,
        engine: usize,
        needed_by: AttemptKey,
        address: &str,
        key: &AttemptKey,
    ) {
        let source = self.engine_by_address.get(address).copied();
        let tokens = source
            .filter(|source| self.engines[*source].alive && !self.engines[*source].paused)
            .filter(|source| {
                let (from, to) = (self.engine_place(*source), self.engine_place(engine));
                self.network.passes(&from, &to)
            })
            .and_then(|source| self.engines[source].model.export(key));
        let wait = match tokens {
            Some(tokens) => self.engines[engine].model.transfer_time(tokens),
            None => Duration::from_millis(1),
        };
        let found = tokens.is_some();
        self.schedule(wait, Happening::CacheArrives { engine, needed_by, found });
    }

    /// Engines of a zone in a state.
    pub fn engines_in(&self, state: EngineState) -> usize {
        let live = self.engines.iter().filter(|slot| slot.alive);
        live.filter(|slot| slot.model.standing().state == state).count()
    }
}

fn answer_timeout(request: &EngineCall) -> Duration {
    match request {
        EngineCall::Generate(_) | EngineCall::Resume(_) => STREAM_HEAD_TIMEOUT,
        EngineCall::Cancel(_) | EngineCall::Report | EngineCall::Order(_) => ANSWER_TIMEOUT,
    }
}

fn changes_state(reply: &OrderReply) -> bool {
    matches!(reply, OrderReply::Accepted { standing } if standing.state == EngineState::Changing)
}
