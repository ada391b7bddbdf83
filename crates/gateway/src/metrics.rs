//! Metrics of a node in the OpenMetrics text format.

use crate::peer_messages::PeerSocket;
use crate::quota::metrics::QuotaMetrics;
use pitchstall_serving::attempt::DeclineDoubt;
use pitchstall_serving::fleet::VersionHistory;
use pitchstall_serving::scheduling::CrossRegionReason;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// Content type of the rendered metrics.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Outcome of the request, see [`crate::intake::RequestOutcome::name`].
    pub outcome: &'static str,
}

/// Labels of a request that was placed through another region.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CrossRegionLabels {
    /// Why the request left its region.
    pub reason: &'static str,
}

/// Labels of a notice that a runner gives about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NoticeLabels {
    /// What the runner announced, such as `leaving` or `rest`.
    pub notice: &'static str,
}

/// Labels of a stream that the node ended before it was complete.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StreamCutLabels {
    /// Why there was no further attempt, see [`pitchstall_serving::attempt::EndReason::name`].
    pub reason: &'static str,
}

/// Labels of a response whose end only the end of the runner's connection marks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnframedResponseLabels {
    /// `whole`, or why that is not proven, see [`crate::response_end::EndDoubt::name`] and
    /// [`pitchstall_serving::framing_habit::HeadDamage::name`].
    pub verdict: &'static str,
}

/// Labels of a request that resumes a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResumedStreamLabels {
    /// What is known of the stream: `one_version`, `version_known` or `version_unknown`.
    pub outcome: &'static str,
}

/// Labels of a response that declines a request without proving that it has not run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DoubtedDeclineLabels {
    /// Why the response proves nothing, see [`DeclineDoubt::name`].
    pub reason: &'static str,
}

/// Labels of the runners of a software version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct VersionLabels {
    /// Name of the service.
    pub service: String,
    /// Version of the runners' software.
    pub version: String,
}

/// Labels of a stalled run that was not replaced by one at another runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StalledRunLabels {
    /// Why the run was kept, such as `resumed` or the reason for which there was no successor.
    pub reason: &'static str,
}

/// Labels of a response that was cut because it is too long.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResponseLimitLabels {
    /// What was too long, see [`crate::http::ResponsePart::name`].
    pub part: &'static str,
}

/// Labels of a store entry that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EntryLabels {
    /// Kind of thing that the entry describes.
    pub subject: &'static str,
}

/// Labels of a read of all entries of a subject from the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FullReadLabels {
    /// Kind of thing that the entries describe.
    pub subject: &'static str,
    /// Why the node has read them itself.
    pub reason: &'static str,
}

/// All metrics of a node. Counters are shared with the registry, so counting needs no lookup.
#[derive(Debug)]
pub struct Metrics {
    /// Finished requests, by outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts sent to runners, including separate prefills.
    pub attempts: Counter,
    /// Attempts that were charged to the retry budget.
    pub retries: Counter,
    /// Retries that the budget did not allow.
    pub retries_denied: Counter,
    /// Queries to keepers of retry pools that received no reply in time.
    pub retry_pool_timeouts: Counter,
    /// Requests that were running on a runner when it crashed.
    pub requests_on_crashed_runners: Counter,
    /// Requests that entered quarantine, as observed by this node.
    pub quarantines: Counter,
    /// Streams that were interrupted at one runner and may continue at another.
    pub resumes: Counter,
    /// Streams that the node ended after their head and before they were complete, by reason.
    pub streams_cut: Family<StreamCutLabels, Counter>,
    /// Responses whose end only the end of the runner's connection marked, by whether they are proven to be whole.
    pub unframed_responses: Family<UnframedResponseLabels, Counter>,
    /// Requests that resume a stream, by what is known of the stream.
    pub streams_resumed_by_clients: Family<ResumedStreamLabels, Counter>,
    /// Stalled runs for which a successor was sought and that were kept, by reason.
    pub stalled_runs_kept: Family<StalledRunLabels, Counter>,
    /// Responses that were cut because a part of them is too long, by part.
    pub responses_too_long: Family<ResponseLimitLabels, Counter>,
    /// New connections to runners, including those that could not be opened.
    pub connections: Counter,
    /// Connections to runners that this node uses through other nodes.
    pub tunnels_used: Counter,
    /// Connections to runners that this node has opened for other nodes.
    pub tunnels_carried: Counter,
    /// Bytes that this node has moved between runners and other nodes.
    pub tunnel_bytes: Counter,
    /// Placement replies received from schedulers in time.
    pub placements: Counter,
    /// Placements that this node rejected because the chosen runner accepts no requests from it.
    pub placements_rejected: Counter,
    /// Notices that runners gave about themselves in responses; a repeated notice counts once.
    pub runner_notices: Family<NoticeLabels, Counter>,
    /// Responses that declined a request without proving that it had not run. Expected to stay 0.
    pub doubted_declines: Family<DoubtedDeclineLabels, Counter>,
    /// Attempts sent to runners that had announced that they accept none. Expected to stay 0.
    pub unwanted_attempts: Counter,
    /// Requests that a limit keeper allowed to be sent to a runner.
    pub limit_grants: Counter,
    /// Requests sent to another runner because a runner's limit was used up.
    pub limit_refusals: Counter,
    /// Requests sent to another runner because no limit keeper replied.
    pub limit_timeouts: Counter,
    /// Datagrams that could not be decoded: from a later or an earlier build, or damaged.
    pub unreadable_datagrams: Counter,
    /// Placement queries to which the scheduler did not reply in time.
    pub placement_timeouts: Counter,
    /// Placement queries that this node forwarded to the scheduler of another shard.
    pub placements_forwarded: Counter,
    /// Requests for which a scheduler of another region was queried.
    pub cross_region_requests: Family<CrossRegionLabels, Counter>,
    /// Metrics of tenants' limits.
    pub quota: QuotaMetrics,
    /// Calls to the store, including those that failed.
    pub store_calls: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Revisions of store entries that could not be used.
    pub refused_entries: Family<EntryLabels, Counter>,
    /// Reads of all entries from the store that this node began, by subject and reason.
    pub full_reads: Family<FullReadLabels, Counter>,
    /// Time since another node first reported a configuration that this node has not received, in seconds; 0 if there
    /// is none.
    pub configuration_lag: Gauge<f64, AtomicU64>,
    /// Runners to which this node has lost its own link, and which other nodes reach.
    pub links_lost: Gauge<f64, AtomicU64>,
    /// Runners to which no connection could recently be opened, neither by this node nor through another one.
    pub runners_unreachable: Gauge<f64, AtomicU64>,
    /// Runners that have a registry entry, by service and software version.
    pub runners: Family<VersionLabels, Gauge<f64, AtomicU64>>,
    /// Streams of which other nodes may have to be told after nodes have stopped or started.
    pub stream_origins_untold: Gauge<f64, AtomicU64>,
    /// Era of the store that this node uses.
    pub store_era: Gauge<f64, AtomicU64>,
    /// Calls to the platform for duties that one node performs on behalf of all.
    pub cloud_calls: Counter,
    /// Panics in tasks of client connections. Expected to stay 0.
    pub request_panics: Counter,
    /// Time from a request's arrival to the first byte of its response, in seconds.
    pub first_byte: Histogram,
    registry: Registry,
}

impl Metrics {
    /// Creates the metrics with all values 0. `socket` counts the datagrams to other nodes.
    pub fn new(socket: &PeerSocket) -> Self {
        const FIRST_BUCKET_S: f64 = 0.002;
        const BUCKETS: u16 = 14;
        let mut metrics = Self {
            requests: Family::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            retry_pool_timeouts: Counter::default(),
            requests_on_crashed_runners: Counter::default(),
            quarantines: Counter::default(),
            resumes: Counter::default(),
            streams_cut: Family::default(),
            unframed_responses: Family::default(),
            streams_resumed_by_clients: Family::default(),
            stalled_runs_kept: Family::default(),
            responses_too_long: Family::default(),
            connections: Counter::default(),
            tunnels_used: Counter::default(),
            tunnels_carried: Counter::default(),
            tunnel_bytes: Counter::default(),
            placements: Counter::default(),
            placements_rejected: Counter::default(),
            runner_notices: Family::default(),
            doubted_declines: Family::default(),
            unwanted_attempts: Counter::default(),
            limit_grants: Counter::default(),
            limit_refusals: Counter::default(),
            limit_timeouts: Counter::default(),
            unreadable_datagrams: Counter::default(),
            placement_timeouts: Counter::default(),
            placements_forwarded: Counter::default(),
            cross_region_requests: Family::default(),
            quota: QuotaMetrics::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
            refused_entries: Family::default(),
            full_reads: Family::default(),
            configuration_lag: Gauge::default(),
            links_lost: Gauge::default(),
            runners_unreachable: Gauge::default(),
            runners: Family::default(),
            stream_origins_untold: Gauge::default(),
            store_era: Gauge::default(),
            cloud_calls: Counter::default(),
            request_panics: Counter::default(),
            first_byte: Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS)),
            registry: Registry::with_prefix("pitchstall"),
        };
        metrics.register();
        let help = "Bytes of datagrams sent to nodes of other regions";
        metrics.registry.register("far_bytes", help, socket.cross_region_traffic().bytes());
        let (datagrams, bytes) = (socket.traffic().datagrams(), socket.traffic().bytes());
        metrics.registry.register("sent_datagrams", "Datagrams sent to other nodes", datagrams);
        metrics.registry.register("sent_bytes", "Bytes of datagrams sent to other nodes", bytes);
        metrics
    }

    fn register(&mut self) {
        let counters = [
            ("attempts", "Attempts sent to runners", &self.attempts),
            ("retries", "Attempts charged to the retry budget", &self.retries),
            ("retries_denied", "Retries that the budget did not allow", &self.retries_denied),
            (
                "retry_pool_timeouts",
                "Queries to keepers of retry pools without a reply in time",
                &self.retry_pool_timeouts,
            ),
            (
                "requests_under_ended_runners",
                "Requests running on a runner when it crashed",
                &self.requests_on_crashed_runners,
            ),
            ("quarantines", "Requests that entered quarantine", &self.quarantines),
            (
                "resumes",
                "Streams that broke on one runner and may continue on another",
                &self.resumes,
            ),
            ("connections", "Connections opened to runners", &self.connections),
            ("tunnels_used", "Connections to runners through other nodes", &self.tunnels_used),
            (
                "tunnels_carried",
                "Connections to runners opened for other nodes",
                &self.tunnels_carried,
            ),
            ("tunnel_bytes", "Bytes moved between runners and other nodes", &self.tunnel_bytes),
            (
                "placements_told",
                "Placement replies received from schedulers in time",
                &self.placements,
            ),
            (
                "placements_dropped",
                "Placements rejected because the runner accepts no requests from this node",
                &self.placements_rejected,
            ),
            (
                "unwanted_attempts",
                "Attempts sent to runners that had announced that they accept none",
                &self.unwanted_attempts,
            ),
            (
                "limit_grants",
                "Requests allowed by the keeper of a runner's limit",
                &self.limit_grants,
            ),
            (
                "limit_refusals",
                "Requests sent to another runner because a runner's limit was used up",
                &self.limit_refusals,
            ),
            (
                "limit_unanswered",
                "Requests sent to another runner because no limit keeper replied",
                &self.limit_timeouts,
            ),
            (
                "words_unread",
                "Datagrams of other nodes that could not be decoded",
                &self.unreadable_datagrams,
            ),
            (
                "placements_missed",
                "Placement queries without a timely reply",
                &self.placement_timeouts,
            ),
            (
                "placements_handed_on",
                "Placement queries forwarded to another scheduler",
                &self.placements_forwarded,
            ),
            ("store_calls", "Calls to the store", &self.store_calls),
            ("store_failures", "Calls to the store that failed", &self.store_failures),
            (
                "cloud_calls",
                "Calls to the platform for duties performed on behalf of all nodes",
                &self.cloud_calls,
            ),
            ("request_panics", "Panics in tasks of client connections", &self.request_panics),
        ];
        for (name, help, counter) in counters {
            self.registry.register(name, help, counter.clone());
        }
        self.quota.register(&mut self.registry);
        let requests = self.requests.clone();
        self.registry.register("requests", "Finished requests by outcome", requests);
        let cross_region_requests = self.cross_region_requests.clone();
        self.registry.register(
            "left_region",
            "Requests for which a scheduler of another region was queried",
            cross_region_requests,
        );
        let runner_notices = self.runner_notices.clone();
        let help = "New notices that runners gave about themselves in responses";
        self.registry.register("runner_notices", help, runner_notices);
        let streams_cut = self.streams_cut.clone();
        let help = "Streams that the node ended before they were complete, by reason";
        self.registry.register("streams_cut", help, streams_cut);
        let help = "Responses whose end only the end of the runner's connection marked, by verdict";
        self.registry.register("unframed_responses", help, self.unframed_responses.clone());
        let streams_resumed_by_clients = self.streams_resumed_by_clients.clone();
        let help = "Requests that resume a stream, by what is known of the version that began it";
        self.registry.register("streams_resumed_by_clients", help, streams_resumed_by_clients);
        let stalled_runs_kept = self.stalled_runs_kept.clone();
        let help = "Stalled runs for which a successor was sought and that were kept, by reason";
        self.registry.register("stalled_runs_kept", help, stalled_runs_kept);
        let help =
            "Responses that declined a request without proving that it had not run, by reason";
        self.registry.register("declines_not_believed", help, self.doubted_declines.clone());
        let responses_too_long = self.responses_too_long.clone();
        let help = "Responses that were cut because a part of them is too long, by part";
        self.registry.register("responses_too_long", help, responses_too_long);
        let refused_entries = self.refused_entries.clone();
        let help = "Revisions of store entries that could not be used";
        self.registry.register("entries_refused", help, refused_entries);
        let help = "Reads of all entries from the store, by subject and reason";
        self.registry.register("store_full_reads", help, self.full_reads.clone());
        let help =
            "Time since another node first reported a configuration that this node lacks, in seconds";
        let configuration_lag = self.configuration_lag.clone();
        self.registry.register("configuration_behind_seconds", help, configuration_lag);
        let help = "Runners that only other nodes reach";
        self.registry.register("links_lost", help, self.links_lost.clone());
        let help = "Runners that this node reaches neither itself nor through other nodes";
        self.registry.register("runners_unreachable", help, self.runners_unreachable.clone());
        let help = "Runners that have a registry entry, by service and software version";
        self.registry.register("runners", help, self.runners.clone());
        let help = "Streams of which other nodes may have to be told";
        self.registry.register("stream_origins_untold", help, self.stream_origins_untold.clone());
        let help = "Era of the store that this node uses";
        self.registry.register("store_era", help, self.store_era.clone());
        let first_byte = self.first_byte.clone();
        let help = "Time to the first byte of a response, in seconds";
        self.registry.register("first_byte_seconds", help, first_byte);
    }

    /// Counts a finished request. `outcome` is the name of its outcome.
    pub fn on_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&RequestLabels { outcome }).inc();
    }

    /// Counts a stream that the node ended before it was complete. `reason` is the name of the reason.
    pub fn on_stream_cut(&self, reason: &'static str) {
        self.streams_cut.get_or_create(&StreamCutLabels { reason }).inc();
    }

    /// Counts a response whose end only the end of the runner's connection marked. `verdict` tells whether it is proven to be
    /// whole.
    pub fn on_unframed_response(&self, verdict: &'static str) {
        self.unframed_responses.get_or_create(&UnframedResponseLabels { verdict }).inc();
    }

    /// Counts a request that resumes a stream. `outcome` names what is known of the stream.
    pub fn on_stream_resumed_by_client(&self, outcome: &'static str) {
        self.streams_resumed_by_clients.get_or_create(&ResumedStreamLabels { outcome }).inc();
    }

    /// Replaces the numbers of runners by service and software version.
    pub fn set_runners(&self, versions: &VersionHistory) {
        self.runners.clear();
        for (service, version, runners) in versions.runners_by_version() {
            let labels =
                VersionLabels { service: service.to_string(), version: version.to_string() };
            self.runners.get_or_create(&labels).set(runners as f64);
        }
    }

    /// Counts a stalled run that was kept after a successor had been sought.
    pub fn on_stalled_run_kept(&self, reason: &'static str) {
        self.stalled_runs_kept.get_or_create(&StalledRunLabels { reason }).inc();
    }

    /// Counts a response that declined a request without proving that it had not run.
    pub fn on_doubted_decline(&self, doubt: DeclineDoubt) {
        self.doubted_declines.get_or_create(&DoubtedDeclineLabels { reason: doubt.name() }).inc();
    }

    /// Counts a response that was cut. `part` names what was too long.
    pub fn on_response_too_long(&self, part: &'static str) {
        self.responses_too_long.get_or_create(&ResponseLimitLabels { part }).inc();
    }

    /// Counts a revision of a store entry that could not be used.
    pub fn on_refused_entry(&self, subject: &'static str) {
        self.refused_entries.get_or_create(&EntryLabels { subject }).inc();
    }

    /// Counts a read of all entries of a subject from the store.
    pub fn on_full_read(&self, subject: &'static str, reason: &'static str) {
        self.full_reads.get_or_create(&FullReadLabels { subject, reason }).inc();
    }

    /// Counts a new notice of a runner about itself.
    pub fn on_runner_notice(&self, notice: &'static str) {
        self.runner_notices.get_or_create(&NoticeLabels { notice }).inc();
    }

    /// Counts a request for which a scheduler of another region was queried.
    pub fn on_cross_region_request(&self, reason: CrossRegionReason) {
        self.cross_region_requests
            .get_or_create(&CrossRegionLabels { reason: reason.name() })
            .inc();
    }

    /// Renders all metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
