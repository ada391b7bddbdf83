//! Identifiers. Each kind has its own type, so that a zone cannot be passed where a node is
//! expected.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

macro_rules! text_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub std::sync::Arc<str>);

        impl $name {
            /// Creates the identifier from text, which is not checked.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(std::sync::Arc::from(text.as_ref()))
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

text_identifier!(
    /// A node: one process of the serving system. The identifier is unique to each start of a
    /// process.
    NodeId
);
text_identifier!(
    /// Name of a runner, which it keeps across restarts.
    RunnerName
);
text_identifier!(
    /// One incarnation of a runner: its name and the time of its start. All state about a runner is
    /// kept by incarnation, so that nothing carries over to the next one, and messages between
    /// nodes name the incarnation that they refer to.
    RunnerId
);
text_identifier!(
    /// A zone: machines that share a location and a network.
    ZoneId
);
text_identifier!(
    /// A region: zones that are near each other.
    RegionId
);
text_identifier!(
    /// A tenant, whose requests are served and counted.
    TenantName
);
text_identifier!(
    /// A service that operators define and clients name.
    ServiceName
);
text_identifier!(
    /// Version of the software that a runner runs, not of its model's weights.
    SoftwareVersion
);

text_identifier!(
    /// A stream, named by the id of the client's try that brought its first event.
    StreamId
);

impl StreamId {
    /// The stream that begins with a client's try. A long id is replaced by its digest, so that the length is bounded.
    pub fn of_request(id: &str) -> Self {
        const MAX_BYTES: usize = 64;
        if id.len() <= MAX_BYTES {
            return Self::new(id);
        }
        let digest = Sha256::digest(id);
        Self::new(digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>())
    }
}

/// Separates a runner's name from the time of its start.
const INCARNATION_SEPARATOR: char = '@';

impl RunnerId {
    /// The incarnation of a runner that started at a Unix time in milliseconds. With `None`, the
    /// platform does not report when runners start, and each start has its own name.
    pub fn of_incarnation(name: &RunnerName, started_at_ms: Option<u64>) -> Self {
        match started_at_ms {
            Some(started_at_ms) => {
                Self::new(format!("{name}{INCARNATION_SEPARATOR}{started_at_ms}"))
            }
            // Without a trailing separator, part of the name would be taken for the time.
            None if name.as_str().contains(INCARNATION_SEPARATOR) => {
                Self::new(format!("{name}{INCARNATION_SEPARATOR}"))
            }
            None => Self::new(name),
        }
    }

    /// Name of the runner, which all its incarnations share.
    pub fn name(&self) -> RunnerName {
        RunnerName::new(self.parts().0)
    }

    /// Time at which this incarnation started, in Unix milliseconds; `None`: not reported.
    pub fn started_at_ms(&self) -> Option<u64> {
        self.parts().1.parse().ok()
    }

    /// Whether a reported start time can be this incarnation's. A time that is unknown on either
    /// side matches.
    pub fn matches_start(&self, started_at_ms: Option<u64>) -> bool {
        match (self.started_at_ms(), started_at_ms) {
            (Some(own_ms), Some(other_ms)) => own_ms == other_ms,
            _ => true,
        }
    }

    fn parts(&self) -> (&str, &str) {
        let is_timestamp = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
        let parts = self.as_str().rsplit_once(INCARNATION_SEPARATOR);
        parts.filter(|(_, started)| is_timestamp(started)).unwrap_or((self.as_str(), ""))
    }
}
