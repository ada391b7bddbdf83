//! Identifiers. Each is a type of its own, so that a zone cannot be passed for a node.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! text_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub std::sync::Arc<str>);

        impl $name {
            /// Builds the identifier from text.
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
    /// A node: one process of the serving system. Unique for each start of a process.
    NodeId
);
text_identifier!(
    /// A runner's name, which it keeps when it starts again.
    RunnerName
);
text_identifier!(
    /// One life of a runner, from a start to an end: its name and when it began. Whatever is believed of a
    /// runner is believed of a life, so that nothing of one passes to the next, and a word between
    /// nodes says which it is about.
    RunnerId
);
text_identifier!(
    /// A zone: the machines that share one place and one network.
    ZoneId
);
text_identifier!(
    /// A region: zones that are near each other.
    RegionId
);
text_identifier!(
    /// A tenant: somebody whose requests are served and counted.
    TenantName
);
text_identifier!(
    /// A service that operators define and callers name.
    ServiceName
);

/// Stands between a runner's name and the time of its start.
const INCARNATION_SEPARATOR: char = '@';

impl RunnerId {
    /// The life of a runner that began at a Unix time, milliseconds; `None`: the platform does not tell when
    /// runners start, and each start has a name of its own.
    pub fn of_incarnation(name: &RunnerName, started_at_ms: Option<u64>) -> Self {
        match started_at_ms {
            Some(started_at_ms) => {
                Self::new(format!("{name}{INCARNATION_SEPARATOR}{started_at_ms}"))
            }
            // Otherwise a part of the name would pass for the time.
            None if name.as_str().contains(INCARNATION_SEPARATOR) => {
                Self::new(format!("{name}{INCARNATION_SEPARATOR}"))
            }
            None => Self::new(name),
        }
    }

    /// The runner.
    pub fn name(&self) -> RunnerName {
        RunnerName::new(self.parts().0)
    }

    /// When this life began, Unix milliseconds; `None`: not told.
    pub fn started_at_ms(&self) -> Option<u64> {
        self.parts().1.parse().ok()
    }

    /// Whether what says that it began then is this life, as far as both are told.
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
