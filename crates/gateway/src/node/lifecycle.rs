//! Whether the node serves, and its planned stop.

use super::Node;

impl Node {
    /// Whether the node accepts requests of clients: it has a configuration that is not outdated, a
    /// list of runners and the list of crashes, and is not stopping.
    pub fn is_ready(&self) -> bool {
        let is_configured =
            self.configuration.borrow().is_some() && !self.has_outdated_configuration();
        let has_lists = self.has_runner_list.get() && self.has_listed_crashes();
        !self.is_stopping() && is_configured && has_lists
    }

    /// Logs when the node is able to serve for the first time since its start.
    pub fn log_first_readiness(&self) {
        if self.has_been_ready.get() || !self.is_ready() {
            return;
        }
        self.has_been_ready.set(true);
        let uptime_ms = self.started.elapsed().as_millis();
        let nodes = self.known_node_count();
        log::info!(target: "process", uptime_ms, nodes; "able to serve");
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Begins a planned stop. The node reports that it is not ready from then on.
    pub fn begin_stop(&self) {
        self.is_stopping.set(true);
        self.stop_began.notify_waiters();
    }

    /// Completes when a planned stop has begun.
    pub async fn wait_for_stop(&self) {
        let began = self.stop_began.notified();
        if !self.is_stopping() {
            began.await;
        }
    }

    /// Begins to close idle client connections; others are closed as soon as they are idle. The
    /// node accepts no new ones by then.
    pub fn begin_closing(&self) {
        self.is_closing.set(true);
        self.closing_started.notify_waiters();
    }

    /// Whether idle client connections are to be closed.
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }
}
