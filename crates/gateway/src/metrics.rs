//! Counters and histograms in the text format of OpenMetrics.

use crate::cross_region_traffic::CrossRegionTraffic;
use crate::quota::metrics::QuotaMetrics;
use pitchstall_serving::scheduling::CrossRegionReason;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// Content type of the text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// How it ended.
    pub outcome: &'static str,
}

/// Labels of a request that left its region.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LeavingLabels {
    /// Why.
    pub reason: &'static str,
}

/// Labels of what a runner says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NoticeLabels {
    /// What.
    pub notice: &'static str,
}

/// Labels of an entry of the store that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EntryLabels {
    /// What it should have told of.
    pub subject: &'static str,
}

/// All metrics of a node. Counters are shared with the registry, so counting costs no look-up.
#[derive(Debug)]
pub struct Metrics {
    /// Finished requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts sent to runners.
    pub attempts: Counter,
    /// Attempts that drew on the retry budget.
    pub retries: Counter,
    /// Retries that the budget did not allow.
    pub retries_denied: Counter,
    /// Requests that were under way at a runner when it ended.
    pub requests_under_ended_runners: Counter,
    /// Requests that went into quarantine, as far as this node knows.
    pub quarantines: Counter,
    /// Streams that went on at another runner.
    pub resumes: Counter,
    /// Connections opened to runners.
    pub connections: Counter,
    /// Requests that a scheduler has placed.
    pub placements_told: Counter,
    /// Choices of schedulers that were made again, as the runner takes nothing from this node.
    pub placements_dropped: Counter,
    /// What runners have said of themselves in answers, once for each time that it was new.
    pub runner_notices: Family<NoticeLabels, Counter>,
    /// Attempts sent to runners that had said that they take none: always 0.
    pub unwanted_attempts: Counter,
    /// Requests that keepers of runners' limits let be sent.
    pub limit_grants: Counter,
    /// Requests that went elsewhere, as a runner's limit was used up.
    pub limit_refusals: Counter,
    /// Requests that went elsewhere, as no keeper of a runner's limit answered.
    pub limit_unanswered: Counter,
    /// Datagrams that this program can't read: of a later or an earlier build, or damaged.
    pub unread_words: Counter,
    /// Requests whose scheduler did not answer soon.
    pub placements_missed: Counter,
    /// Questions that were handed on to another shard's scheduler.
    pub placements_handed_on: Counter,
    /// Requests for which another region's scheduler was asked.
    pub left_region: Family<LeavingLabels, Counter>,
    /// Tenants' limits.
    pub quota: QuotaMetrics,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Revisions of entries of the store that could not be used.
    pub refused_entries: Family<EntryLabels, Counter>,
    /// Time for which other nodes have told of a configuration that this one has not got, seconds.
    pub configuration_behind: Gauge<f64, AtomicU64>,
    /// The era of the store that this node goes by.
    pub store_era: Gauge<f64, AtomicU64>,
    /// Calls of duties that one node does for all.
    pub cloud_calls: Counter,
    /// Time to the first byte of an answer, seconds.
    pub first_byte: Histogram,
    registry: Registry,
}

impl Metrics {
    /// Nothing counted; what goes to other regions is counted by the socket.
    pub fn new(cross_region_traffic: &CrossRegionTraffic) -> Self {
        const FIRST_BUCKET_S: f64 = 0.002;
        const BUCKETS: u16 = 14;
        let mut metrics = Self {
            requests: Family::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            requests_under_ended_runners: Counter::default(),
            quarantines: Counter::default(),
            resumes: Counter::default(),
            connections: Counter::default(),
            placements_told: Counter::default(),
            placements_dropped: Counter::default(),
            runner_notices: Family::default(),
            unwanted_attempts: Counter::default(),
            limit_grants: Counter::default(),
            limit_refusals: Counter::default(),
            limit_unanswered: Counter::default(),
            unread_words: Counter::default(),
            placements_missed: Counter::default(),
            placements_handed_on: Counter::default(),
            left_region: Family::default(),
            quota: QuotaMetrics::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            refused_entries: Family::default(),
            configuration_behind: Gauge::default(),
            store_era: Gauge::default(),
            cloud_calls: Counter::default(),
            first_byte: Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS)),
            registry: Registry::with_prefix("pitchstall"),
        };
        metrics.register();
        let help = "Bytes of words to nodes of other regions";
        metrics.registry.register("far_bytes", help, cross_region_traffic.bytes());
        metrics
    }

    fn register(&mut self) {
        let counters = [
            ("attempts", "Attempts sent to runners", &self.attempts),
            ("retries", "Attempts that drew on the retry budget", &self.retries),
            ("retries_denied", "Retries that the budget did not allow", &self.retries_denied),
            (
                "requests_under_ended_runners",
                "Requests under way at a runner when it ended",
                &self.requests_under_ended_runners,
            ),
            ("quarantines", "Requests that went into quarantine", &self.quarantines),
            ("resumes", "Streams that went on at another runner", &self.resumes),
            ("connections", "Connections opened to runners", &self.connections),
            ("placements_told", "Requests that a scheduler has placed", &self.placements_told),
            (
                "placements_dropped",
                "Choices of schedulers that were made again",
                &self.placements_dropped,
            ),
            (
                "unwanted_attempts",
                "Attempts sent to runners that had said that they take none",
                &self.unwanted_attempts,
            ),
            ("limit_grants", "Requests sent to runners that name a limit", &self.limit_grants),
            (
                "limit_refusals",
                "Requests that went elsewhere as a runner's limit was used up",
                &self.limit_refusals,
            ),
            (
                "limit_unanswered",
                "Requests that went elsewhere as no keeper of a runner's limit answered",
                &self.limit_unanswered,
            ),
            ("words_unread", "Datagrams of other nodes that cannot be read", &self.unread_words),
            (
                "placements_missed",
                "Requests whose scheduler did not answer soon",
                &self.placements_missed,
            ),
            (
                "placements_handed_on",
                "Questions handed on to another scheduler",
                &self.placements_handed_on,
            ),
            ("store_calls", "Calls to the store", &self.store_calls),
            ("store_failures", "Calls to the store that failed", &self.store_failures),
            ("cloud_calls", "Calls of duties that one node does for all", &self.cloud_calls),
        ];
        for (name, help, counter) in counters {
            self.registry.register(name, help, counter.clone());
        }
        self.quota.register(&mut self.registry);
        let requests = self.requests.clone();
        self.registry.register("requests", "Finished requests by outcome", requests);
        let left_region = self.left_region.clone();
        self.registry.register("left_region", "Requests that left their region", left_region);
        let runner_notices = self.runner_notices.clone();
        let help = "What runners have newly said of themselves in answers";
        self.registry.register("runner_notices", help, runner_notices);
        let refused_entries = self.refused_entries.clone();
        let help = "Revisions of entries of the store that could not be used";
        self.registry.register("entries_refused", help, refused_entries);
        let help =
            "Time for which others have told of a configuration that is not in force here, seconds";
        let configuration_behind = self.configuration_behind.clone();
        self.registry.register("configuration_behind_seconds", help, configuration_behind);
        let help = "Era of the store that this node goes by";
        self.registry.register("store_era", help, self.store_era.clone());
        let first_byte = self.first_byte.clone();
        let help = "Time to the first byte of an answer, seconds";
        self.registry.register("first_byte_seconds", help, first_byte);
    }

    /// Counts a finished request.
    pub fn on_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&RequestLabels { outcome }).inc();
    }

    /// Counts a revision of an entry that could not be used.
    pub fn on_refused_entry(&self, subject: &'static str) {
        self.refused_entries.get_or_create(&EntryLabels { subject }).inc();
    }

    /// Counts what a runner has said of itself.
    pub fn on_notice(&self, notice: &'static str) {
        self.runner_notices.get_or_create(&NoticeLabels { notice }).inc();
    }

    /// Counts a request that left its region.
    pub fn on_left_region(&self, reason: CrossRegionReason) {
        self.left_region.get_or_create(&LeavingLabels { reason: reason.name() }).inc();
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
