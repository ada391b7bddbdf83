//! Callers at work.

use super::*;

impl World {
    pub(super) fn ask(&mut self, caller: usize) {
        let Some(node) = self.pick_node(caller) else {
            // No node of the zone can be reached.
            self.follow_broken(caller);
            return;
        };
        let number = self.next_request;
        self.next_request += 1;
        let incarnation = self.nodes[node].incarnation;
        let id = RequestId::new(format!("{}.{incarnation}-{number}", self.nodes[node].name));
        let request = self.callers[caller].submission(self.now, id);
        let connection = (node, self.next_connection);
        self.next_connection += 1;
        self.callers[caller].connection = Some(connection);
        self.nodes[node].callers.insert(ConnectionId(connection.1), caller);
        let event = Event::Submitted {
            wish: caller,
            request: request.request.clone(),
            key: request.idempotency_key.clone(),
            service: request.service.clone(),
        };
        self.history.note(self.now, event);
        let input =
            Input::Caller(CallerInput::Submit { connection: ConnectionId(connection.1), request });
        self.send_to_node(CALLER_DELAY, node, incarnation, input);
        self.schedule(CALLER_PATIENCE, Happening::Patience { caller, connection });
    }

    /// A node of the caller's zone whose process takes connections.
    pub(super) fn pick_node(&mut self, caller: usize) -> Option<usize> {
        let zone = &self.callers[caller].wish.zone;
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].zone == *zone && self.nodes[*node].node.is_some())
            .collect();
        if up.is_empty() {
            return None;
        }
        let place = self.rng.random_range(0..up.len());
        Some(up[place])
    }

    pub(super) fn deliver_to_caller(
        &mut self,
        caller: usize,
        connection: (usize, u64),
        event: Option<CallerEvent>,
    ) {
        if self.callers[caller].connection != Some(connection) {
            return;
        }
        let now = self.now;
        let Some(event) = event else {
            self.follow_broken(caller);
            return;
        };
        let step = self.callers[caller].on_event(now, &event);
        self.note_caller_event(caller, event);
        self.follow(caller, step);
    }

    pub(super) fn note_caller_event(&mut self, wish: usize, event: CallerEvent) {
        let caller = &self.callers[wish];
        let request = caller.request.clone().unwrap_or_default();
        match event {
            CallerEvent::Piece { point, text } => {
                if self.record {
                    self.history.note(self.now, Event::Piece { wish, point, text });
                }
            }
            CallerEvent::Finished { .. } => {
                let text = caller.text.clone();
                let expected = caller.expected.whole();
                self.history.note(self.now, Event::Finished { wish, request, text, expected });
            }
            CallerEvent::Failed { error } => {
                self.history.note(self.now, Event::Failed { wish, request, error });
            }
        }
    }

    pub(super) fn follow_broken(&mut self, caller: usize) {
        let now = self.now;
        let step = self.callers[caller].on_broken(now);
        if step == CallerStep::Done {
            self.history.note(now, Event::GaveUp { wish: caller });
        }
        self.follow(caller, step);
    }

    pub(super) fn follow(&mut self, caller: usize, step: CallerStep) {
        if let CallerStep::AskAgain(wait) = step {
            self.schedule(wait, Happening::Ask { caller });
        }
    }

    pub(super) fn check_patience(&mut self, caller: usize, connection: (usize, u64)) {
        if self.callers[caller].connection != Some(connection) {
            return;
        }
        let silent = self.now.since(self.callers[caller].heard);
        if silent < CALLER_PATIENCE {
            let wait = CALLER_PATIENCE.saturating_sub(silent);
            self.schedule(wait, Happening::Patience { caller, connection });
            return;
        }
        // The caller closes the connection and goes elsewhere.
        let (node, number) = connection;
        self.nodes[node].callers.remove(&ConnectionId(number));
        let incarnation = self.nodes[node].incarnation;
        let input = Input::Caller(CallerInput::Gone { connection: ConnectionId(number) });
        self.send_to_node(CALLER_DELAY, node, incarnation, input);
        self.follow_broken(caller);
    }
}
