//! Machines that come, stop and go.

use super::*;

impl World {
    /// Adds a machine with a node.
    pub fn add_node(&mut self, name: NodeId, zone: ZoneId) -> usize {
        let place = self.nodes.len();
        self.node_by_name.insert(name.clone(), place);
        self.nodes.push(NodeSlot {
            name,
            zone,
            incarnation: 0,
            node: None,
            paused: false,
            leaving: false,
            peer_bytes: 0,
            peer_messages: 0,
            busy: Duration::ZERO,
            started: self.now,
            drift_ppm: 0,
            backlog: Vec::new(),
            readers: BTreeMap::new(),
            callers: BTreeMap::new(),
            watching: false,
            applied: Revision(0),
        });
        self.start_node(place);
        place
    }

    /// Starts the process of a node anew.
    pub fn start_node(&mut self, place: usize) {
        /// Clocks of machines run apart by at most this much, in millionths.
        const DRIFT_PPM: i64 = 500;
        let drift_ppm = self.rng.random_range(-DRIFT_PPM..=DRIFT_PPM);
        let slot = &mut self.nodes[place];
        slot.incarnation += 1;
        let incarnation = slot.incarnation;
        let address = slot.name.to_string();
        let mut settings = NodeSettings::new(
            slot.name.clone(),
            Incarnation(incarnation),
            slot.zone.clone(),
            address,
        );
        (self.topology.tune)(&mut settings);
        slot.node = Some(Node::new(settings));
        slot.paused = false;
        slot.leaving = false;
        slot.started = self.now;
        slot.drift_ppm = drift_ppm;
        slot.applied = Revision(0);
        slot.watching = false;
        let member = NodeMember {
            node: slot.name.clone(),
            zone: slot.zone.clone(),
            peer_address: slot.name.to_string(),
            state: MemberState::Live,
        };
        self.members.add_node(self.now, member);
        let tick_us = self.topology.tick.as_micros() as u64;
        let first = Duration::from_micros(self.rng.random_range(0..tick_us.max(1)));
        self.schedule(first, Happening::Tick { node: place, incarnation });
    }

    /// Kills the process of a node: all its connections break.
    pub fn kill_node(&mut self, place: usize) {
        let slot = &mut self.nodes[place];
        if slot.node.take().is_none() {
            return;
        }
        slot.backlog.clear();
        slot.paused = false;
        let readers: Vec<(usize, Reader)> =
            std::mem::take(&mut slot.readers).into_values().collect();
        let callers = std::mem::take(&mut slot.callers);
        for (engine, reader) in readers {
            self.schedule(Duration::from_micros(500), Happening::ReaderGone { engine, reader });
        }
        for (connection, caller) in callers {
            let connection = (place, connection.0);
            self.schedule(CALLER_DELAY, Happening::Caller { caller, connection, event: None });
        }
        let lost: Vec<(usize, OperatorCall)> =
            self.applying.keys().filter(|(node, _)| *node == place).copied().collect();
        for key in lost {
            if let Some(change) = self.applying.remove(&key) {
                self.history.note(self.now, Event::ApplyEnds { change, outcome: None });
            }
        }
    }

    /// Tells a node to finish its work and leave.
    pub fn leave_node(&mut self, place: usize) {
        let slot = &mut self.nodes[place];
        if slot.node.is_none() || slot.leaving {
            return;
        }
        slot.leaving = true;
        let (name, incarnation) = (slot.name.clone(), slot.incarnation);
        self.history.note(self.now, Event::NodeLeaves { node: name.clone() });
        self.members.node_leaves(self.now, &name);
        let input = Box::new(Input::Leave);
        self.schedule(Duration::ZERO, Happening::Node { node: place, incarnation, input });
    }

    /// Adds an engine.
    pub fn add_engine(&mut self, name: EngineId, zone: ZoneId, role: EngineRole) -> usize {
        let place = self.engines.len();
        let address = name.to_string();
        let model = EngineModel::new(
            name.clone(),
            zone.clone(),
            self.topology.profile.clone(),
            role,
            ModelName::new(MODEL),
        );
        self.engine_by_address.insert(address.clone(), place);
        let member = EngineMember {
            engine: name,
            zone: zone.clone(),
            address: address.clone(),
            state: MemberState::Live,
        };
        self.members.add_engine(self.now, member);
        self.engines.push(EngineSlot {
            model,
            zone,
            address,
            alive: true,
            paused: false,
            leaving: false,
            backlog: Vec::new(),
            readers: BTreeMap::new(),
            next_reader: 1,
            wake_at: None,
        });
        place
    }

    /// Kills the process of an engine: its streams break, and it is listed no more.
    pub fn kill_engine(&mut self, place: usize) {
        let slot = &mut self.engines[place];
        if !slot.alive {
            return;
        }
        slot.alive = false;
        slot.backlog.clear();
        let name = slot.model.engine().clone();
        let readers: Vec<ReaderSlot> = std::mem::take(&mut slot.readers).into_values().collect();
        self.members.remove_engine(self.now, &name);
        for reader in readers.into_iter().filter(|it| !it.ended) {
            let input = Input::Engine { call: reader.call, input: EngineInput::Broken };
            self.send_to_node(Duration::from_micros(500), reader.node, reader.incarnation, input);
        }
    }

    /// Tells an engine to take no new work.
    pub fn leave_engine(&mut self, place: usize, by_list: bool) {
        let slot = &mut self.engines[place];
        if !slot.alive || slot.leaving {
            return;
        }
        slot.leaving = true;
        let name = slot.model.engine().clone();
        if by_list {
            self.members.engine_leaves(self.now, &name);
        } else {
            slot.model.leave();
            self.history.note(self.now, Event::EngineLeaves { engine: name });
        }
    }

    /// Breaks all streams of an engine off.
    pub fn cut_streams(&mut self, place: usize) {
        let readers: Vec<Reader> = self.engines[place].readers.keys().copied().collect();
        for reader in readers {
            self.break_stream(place, reader);
        }
    }

    pub(super) fn break_stream(&mut self, place: usize, reader: Reader) {
        let Some(slot) = self.engines[place].readers.get_mut(&reader) else {
            return;
        };
        if slot.ended || slot.broken {
            return;
        }
        slot.broken = true;
        let (node, incarnation, call) = (slot.node, slot.incarnation, slot.call);
        let input = Input::Engine { call, input: EngineInput::Broken };
        self.send_to_node(Duration::from_micros(300), node, incarnation, input);
        self.schedule(Duration::from_micros(300), Happening::ReaderGone { engine: place, reader });
    }

    /// Lets a stopped process go on: first it sees all that has waited for it.
    pub fn wake_node(&mut self, place: usize) {
        let slot = &mut self.nodes[place];
        if !slot.paused {
            return;
        }
        slot.paused = false;
        let backlog = std::mem::take(&mut slot.backlog);
        for input in backlog {
            self.feed(place, input);
        }
    }

    /// Lets a stopped engine go on.
    pub fn wake_engine(&mut self, place: usize) {
        let slot = &mut self.engines[place];
        if !slot.paused {
            return;
        }
        slot.paused = false;
        let backlog = std::mem::take(&mut slot.backlog);
        for happening in backlog {
            self.happen(happening);
        }
        self.advance_engine(place);
    }
}
