//! The settings file of a node: TOML, checked as a whole before anything starts.

use crate::duration::ReadableDuration;
use pitchstall_coordination::detector::DetectorConfig;
use pitchstall_protocol::ids::{Incarnation, NodeId, ZoneId};
use pitchstall_runtime::NodeSettings;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The settings of a node daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Who the node is.
    pub node: NodeSection,
    /// Where it listens.
    pub listen: ListenSection,
    /// Where the platform is.
    pub platform: PlatformSection,
    /// Who may operate it.
    pub operators: OperatorSection,
    /// Work on requests.
    #[serde(default)]
    pub requests: RequestSection,
    /// Timing of control traffic.
    #[serde(default)]
    pub control: ControlSection,
    /// Logs.
    #[serde(default)]
    pub log: LogSection,
}

/// Who the node is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    /// Its name in the platform's membership list.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// Where the node listens, `IP:port`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSection {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and for metrics.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

/// Where the platform is, `IP:port`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// The key-value service: etcd's JSON gateway, version 3.
    pub store: SocketAddr,
    /// The membership list.
    pub members: SocketAddr,
    /// Time after which a call counts as lost.
    #[serde(default = "default_platform_timeout")]
    pub timeout: ReadableDuration,
}

fn default_platform_timeout() -> ReadableDuration {
    ReadableDuration(Duration::from_millis(1_000))
}

/// Who may operate the node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSection {
    /// SHA-256 of the operators' key, in hexadecimal.
    pub key_sha256: String,
}

/// Work on requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSection {
    /// Largest body, in bytes.
    pub body_limit: usize,
    /// Deadline of requests that name none.
    pub default_deadline: ReadableDuration,
    /// Longest deadline that is granted.
    pub longest_deadline: ReadableDuration,
    /// Most requests that wait.
    pub queue_limit: usize,
    /// Silence between tokens after which an attempt counts as lost.
    pub between_tokens_timeout: ReadableDuration,
    /// Silence before the first token after which an attempt counts as lost.
    pub first_token_timeout: ReadableDuration,
    /// Time that an answer goes on after its caller's connection broke.
    pub resume_grace: ReadableDuration,
}

impl Default for RequestSection {
    fn default() -> Self {
        Self {
            body_limit: 4 * 1024 * 1024,
            default_deadline: ReadableDuration(Duration::from_secs(60)),
            longest_deadline: ReadableDuration(Duration::from_secs(600)),
            queue_limit: 512,
            between_tokens_timeout: ReadableDuration(Duration::from_secs(3)),
            first_token_timeout: ReadableDuration(Duration::from_secs(20)),
            resume_grace: ReadableDuration(Duration::from_secs(2)),
        }
    }
}

/// Timing of control traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSection {
    /// Between two heartbeats inside the zone.
    pub heartbeat_every: ReadableDuration,
    /// Silence after which a node of the zone is suspected.
    pub suspect_after: ReadableDuration,
    /// Silence after which an engine gets no new work.
    pub engine_silent_after: ReadableDuration,
    /// Time to live of the lease on the zone.
    pub lease_ttl: ReadableDuration,
    /// Between two renewals of the lease.
    pub lease_renew_every: ReadableDuration,
    /// Age of the proof of the latest configuration past which no data leaves the zone.
    pub movement_bound: ReadableDuration,
}

impl Default for ControlSection {
    fn default() -> Self {
        Self {
            heartbeat_every: ReadableDuration(Duration::from_millis(500)),
            suspect_after: ReadableDuration(Duration::from_millis(2_000)),
            engine_silent_after: ReadableDuration(Duration::from_millis(2_000)),
            lease_ttl: ReadableDuration(Duration::from_secs(6)),
            lease_renew_every: ReadableDuration(Duration::from_millis(1_500)),
            movement_bound: ReadableDuration(Duration::from_secs(6)),
        }
    }
}

/// Form of the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For reading in a terminal.
    Text,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSection {
    /// Levels by module, such as `info, pitchstall_node::peers=debug`.
    pub levels: String,
    /// Their form.
    pub format: LogFormat,
}

impl Default for LogSection {
    fn default() -> Self {
        Self { levels: "info".to_owned(), format: LogFormat::Json }
    }
}

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It does not parse. The message names line and column.
    #[error("{}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: Box<toml::de::Error>,
    },
    /// Settings do not fit together.
    #[error("{}: {}", path.display(), problems.join("; "))]
    Inconsistent {
        /// The file.
        path: PathBuf,
        /// Each with the place and what is expected.
        problems: Vec<String>,
    },
}

impl DaemonSettings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        Self::parse(path, &text)
    }

    /// Reads and checks the text of a settings file; `path` is for messages.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|source| SettingsError::Parse {
            path: path.to_owned(),
            source: Box::new(source),
        })?;
        let problems = settings.problems();
        if problems.is_empty() {
            return Ok(settings);
        }
        let lines = problems.iter().map(|problem| problem.with_line(text)).collect();
        Err(SettingsError::Inconsistent { path: path.to_owned(), problems: lines })
    }

    /// What does not fit together.
    fn problems(&self) -> Vec<Problem> {
        const HEX_DIGITS: usize = 64;
        let mut problems = Vec::new();
        let mut expect = |holds: bool, key: &'static str, expected: &'static str| {
            if !holds {
                problems.push(Problem { key, expected });
            }
        };
        let control = &self.control;
        expect(!self.node.name.is_empty(), "name", "a name");
        expect(!self.node.zone.is_empty(), "zone", "a zone");
        let key = &self.operators.key_sha256;
        let hexadecimal = key.bytes().all(|byte| byte.is_ascii_hexdigit());
        expect(key.len() == HEX_DIGITS && hexadecimal, "key_sha256", "64 hexadecimal digits");
        expect(
            control.suspect_after.0 >= control.heartbeat_every.0 * 3,
            "suspect_after",
            "at least three times heartbeat_every",
        );
        expect(
            control.lease_ttl.0 >= control.lease_renew_every.0 * 3,
            "lease_ttl",
            "at least three times lease_renew_every",
        );
        expect(
            control.lease_ttl.0.subsec_millis() == 0 && control.lease_ttl.0.as_secs() > 0,
            "lease_ttl",
            "whole seconds, as the store counts them",
        );
        expect(
            control.movement_bound.0 <= Duration::from_secs(7),
            "movement_bound",
            "at most 7s, so that a change is in force everywhere within 8s",
        );
        expect(
            control.engine_silent_after.0 <= Duration::from_secs(3),
            "engine_silent_after",
            "at most 3s, the bound on new work for an engine that leaves",
        );
        expect(
            self.requests.default_deadline <= self.requests.longest_deadline,
            "default_deadline",
            "at most longest_deadline",
        );
        expect(self.requests.queue_limit > 0, "queue_limit", "at least 1");
        problems
    }

    /// The settings of the state machine of a node that listens for others at an address.
    pub fn node_settings(&self, peer_address: SocketAddr) -> NodeSettings {
        let node = NodeId::new(&self.node.name);
        let zone = ZoneId::new(&self.node.zone);
        let mut settings =
            NodeSettings::new(node, new_incarnation(), zone, peer_address.to_string());
        let control = &self.control;
        settings.members.heartbeat_every = control.heartbeat_every.0;
        settings.members.detector =
            DetectorConfig::FixedTimeout { timeout: control.suspect_after.0 };
        settings.routing.silent_after_us = control.engine_silent_after.0.as_micros() as u64;
        settings.lease.ttl = control.lease_ttl.0;
        settings.lease.renew_every = control.lease_renew_every.0;
        settings.control.movement_bound = control.movement_bound.0;
        settings.requests.queue_limit = self.requests.queue_limit;
        settings.requests.between_tokens_timeout = self.requests.between_tokens_timeout.0;
        settings.requests.first_token_timeout = self.requests.first_token_timeout.0;
        settings.requests.resume_grace = self.requests.resume_grace.0;
        settings
    }
}

/// A setting that does not fit the others.
struct Problem {
    key: &'static str,
    expected: &'static str,
}

impl Problem {
    fn with_line(&self, text: &str) -> String {
        let line = text.lines().position(|line| {
            line.trim_start()
                .strip_prefix(self.key)
                .is_some_and(|rest| rest.trim_start().starts_with('='))
        });
        match line {
            Some(line) => format!("line {}: {}: expected {}", line + 1, self.key, self.expected),
            None => format!("{}: expected {}", self.key, self.expected),
        }
    }
}

/// A number that is higher at each start of a process, as long as the clock of the machine
/// does not run back by more than the time between two starts.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}
