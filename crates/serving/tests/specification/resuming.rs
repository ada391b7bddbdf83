//! A stream that continues at another runner: one node, two runners, one client.
//!
//! Runners produce events 1 to [`EVENTS`] and may break off, also in the middle of an event. The
//! node forwards what arrives and, if the route allows it, has another runner continue.

const EVENTS: u8 = 2;
const RUNNERS: usize = 2;
/// Part of an event that was never completed.
const TRUNCATED_EVENT: u8 = 99;

/// Switches of the safeguards; with all of them on, the protocol is as implemented.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// Only complete events are forwarded.
    pub whole_events: bool,
    /// The next runner begins after the last event that was forwarded.
    pub after_last_forwarded: bool,
    /// An abandoned run is stopped before the next one begins.
    pub stop_first: bool,
    /// Only resumable streams continue.
    pub only_resumable: bool,
    /// The response ends as complete only when the runner itself ended it.
    pub own_end: bool,
}

impl Safeguards {
    pub const ALL: Self = Self {
        whole_events: true,
        after_last_forwarded: true,
        stop_first: true,
        only_resumable: true,
        own_end: true,
    };
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Run {
    /// Events produced so far, including those before the start of this run.
    produced: u8,
    is_running: bool,
    /// Whether the node still reads the run's events.
    is_read: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    resumable: bool,
    runs: [Option<Run>; RUNNERS],
    client: Vec<u8>,
    complete: bool,
    cut: bool,
    pub violated: bool,
}

impl State {
    pub fn initial(resumable: bool) -> Self {
        let first = Run { produced: 0, is_running: true, is_read: true };
        Self { resumable, runs: [Some(first), None], ..Self::default() }
    }

    pub fn next(&self, safeguards: Safeguards) -> Vec<Self> {
        let mut states = Vec::new();
        if !self.complete && !self.cut {
            for runner in 0..RUNNERS {
                self.run_steps(runner, safeguards, &mut states);
            }
            self.next_run(safeguards, &mut states);
        }
        states
    }

    fn run_steps(&self, runner: usize, safeguards: Safeguards, states: &mut Vec<Self>) {
        let Some(run) = self.runs[runner].clone().filter(|run| run.is_running && run.is_read)
        else {
            return;
        };
        if run.produced < EVENTS {
            let mut produced = self.clone();
            produced.run(runner).produced += 1;
            produced.client.push(run.produced + 1);
            states.push(produced);
            // The run breaks off in the middle of the next event, or only appears to the node to do
            // so.
            for keeps_running in [false, true] {
                let mut broken = self.clone();
                broken.run(runner).is_read = false;
                broken.run(runner).is_running = keeps_running && !safeguards.stop_first;
                if !safeguards.whole_events {
                    broken.client.push(TRUNCATED_EVENT);
                }
                states.push(broken);
            }
        }
        if run.produced == EVENTS || !safeguards.own_end {
            let mut ended = self.clone();
            ended.complete = true;
            ended.violated |= ended.client != (1..=EVENTS).collect::<Vec<u8>>();
            states.push(ended);
        }
    }

    fn next_run(&self, safeguards: Safeguards, states: &mut Vec<Self>) {
        let [Some(first), None] = &self.runs else { return };
        if first.is_read {
            return;
        }
        let mut cut = self.clone();
        cut.cut = true;
        states.push(cut);
        if self.resumable || !safeguards.only_resumable {
            let mut resumed = self.clone();
            let last = self.client.len() as u8;
            let produced = if safeguards.after_last_forwarded { last } else { 0 };
            resumed.runs[1] = Some(Run { produced, is_running: true, is_read: true });
            resumed.violated |= !self.resumable || first.is_running;
            states.push(resumed);
        }
    }

    fn run(&mut self, runner: usize) -> &mut Run {
        self.runs[runner].as_mut().expect("the run has begun")
    }
}
