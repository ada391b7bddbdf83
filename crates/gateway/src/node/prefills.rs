//! What the node has measured and expects of prefills at runners.

use super::Node;
use crate::shard_scheduler;
use pitchstall_serving::ids::{RunnerId, ServiceName};
use pitchstall_serving::prefill_speed::{PrefillSample, PrefillSpeed};
use pitchstall_serving::prefix::PromptPart;

impl Node {
    /// Records that a runner holds prompt parts in its KV cache, after it has prefilled or fetched
    /// them.
    pub fn on_prefix_cached(&self, runner: &RunnerId, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let service = self.fleet.borrow().get(runner).map(|runner| runner.record.service.clone());
        let Some(service) = service else { return };
        let capacity = self.kv_cache_tokens(&service);
        self.fleet.borrow_mut().on_prefix_cached(runner, parts, self.now_us(), capacity);
    }

    /// Calls `use_speed` with the measured prefill speed of a service's runners.
    pub fn with_prefill_speed<R>(
        &self,
        service: &ServiceName,
        use_speed: impl FnOnce(&mut PrefillSpeed) -> R,
    ) -> R {
        use_speed(self.prefill_speeds.borrow_mut().entry(service.clone()).or_default())
    }

    /// Records that a runner of a service has prefilled a prompt.
    pub fn on_prefill_measured(
        &self,
        service: &ServiceName,
        runner: &RunnerId,
        sample: PrefillSample,
    ) {
        let observes_all_prefills = shard_scheduler::is_scheduler_of(self, runner);
        let timing = self.with_prefill_speed(service, |speed| {
            speed.on_prefilled(sample);
            speed.timing_of(&sample, observes_all_prefills)
        });
        let measured = self.fleet.borrow_mut().on_prefill_measured(runner, timing, self.now_us());
        if let Some(measured) = measured {
            self.with_prefill_speed(service, |speed| speed.on_prefill_timed(measured));
        }
    }

    /// Whether a runner is estimated to have nothing to prefill but the `sent_tokens` tokens that
    /// this node has just sent, and no other requests.
    pub fn has_no_other_requests(&self, runner: &RunnerId, sent_tokens: u64) -> bool {
        let fleet = self.fleet.borrow();
        let Some(runner) = fleet.get(runner) else { return false };
        let peer_requests = runner.peer_requests(self.now_us());
        runner.prefill_tokens <= sent_tokens && runner.in_flight <= 1 && peer_requests < 1.0
    }
}
