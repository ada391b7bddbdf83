//! Metrics in the text format of OpenMetrics.

use pitchstall_protocol::error::ErrorCode;
use pitchstall_runtime::Node;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Content type of the text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FailureLabels {
    code: String,
}

/// The metrics of a node as text. The counts are the state machine's own; they are copied
/// when asked for, which is seldom.
pub fn render(node: &Node) -> String {
    let mut registry = Registry::with_prefix("pitchstall");
    register_counters(&mut registry, node);
    register_gauges(&mut registry, node);
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = encode(&mut text, &registry);
    text
}

fn register_counters(registry: &mut Registry, node: &Node) {
    let counters = node.counters();
    let mut register = |name: &str, help: &str, value: u64| {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        registry.register(name, help, counter);
    };
    register("requests", "Requests submitted by callers", counters.submitted);
    register("answers", "Answers delivered whole", counters.finished);
    register("pieces", "Pieces of answers delivered", counters.tokens);
    register("attempts", "Attempts sent to engines", counters.attempts);
    register("retries", "Attempts after the first of a request", counters.retries);
    register("stream_resumes", "Streams read on after a break", counters.stream_resumes);
    register("crossed_events", "Events of another request, dropped", counters.crossed_events);
    register("forwarded", "Requests passed to another zone", counters.forwarded);
    register("orders", "Orders sent to engines", counters.orders);
    register("role_changes", "Role changes and model loads ordered", counters.role_changes);
    register("claims", "Claims on idempotency keys", counters.claims);
    register("replays", "Answers replayed for a repeated key", counters.replays);
    register("store_requests", "Requests to the key-value service", counters.store_requests);
    register("peer_messages", "Messages to other nodes", counters.peer_messages);
    let failures = Family::<FailureLabels, Counter>::default();
    for (code, count) in &counters.failed {
        failures.get_or_create(&FailureLabels { code: code_name(*code) }).inc_by(*count);
    }
    registry.register("failures", "Failures by code", failures);
}

fn code_name(code: ErrorCode) -> String {
    let json = serde_json::to_string(&code).unwrap_or_default();
    json.trim_matches('"').to_owned()
}

fn register_gauges(registry: &mut Registry, node: &Node) {
    let gauges = node.gauges();
    let mut register = |name: &str, help: &str, value: u64| {
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        registry.register(name, help, gauge);
    };
    register("queued", "Requests that wait", gauges.queued as u64);
    register("in_work", "Requests in work", gauges.in_work as u64);
    register("configuration_revision", "Revision in force here", gauges.revision);
    let age = gauges.configuration_age_ms.unwrap_or(u64::MAX);
    register("configuration_age_ms", "Age of the proof that it is the latest", age);
    register("authority_epoch", "Epoch held, or zero", gauges.epoch);
    register("engines_ready", "Engines of the zone that take work", gauges.engines_ready as u64);
    register("nodes_live", "Live nodes of the zone", gauges.nodes_live as u64);
}
