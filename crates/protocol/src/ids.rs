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

macro_rules! number_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The identifier that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

text_identifier!(
    /// A node: one process of the serving system. Unique for each start of a process.
    NodeId
);
text_identifier!(
    /// An engine: one model runner that answers requests.
    EngineId
);
text_identifier!(
    /// One start of a runner: a runner that starts anew has another one.
    RunnerId
);
text_identifier!(
    /// A zone: the machines that share one place and one network.
    ZoneId
);
text_identifier!(
    /// A service that operators define and callers name.
    ServiceName
);
text_identifier!(
    /// A model that engines load.
    ModelName
);
text_identifier!(
    /// A tenant: the owner of a caller's key and of its limits.
    TenantId
);
text_identifier!(
    /// A request of a caller, unique over all nodes.
    RequestId
);
text_identifier!(
    /// One submission of a configuration change, unique for each submission.
    ChangeId
);
text_identifier!(
    /// One claim on an idempotency key, unique for each try to claim it.
    ClaimId
);
number_identifier!(
    /// A term of authority over a zone: the store's revision at which it was acquired.
    Epoch
);
number_identifier!(
    /// The place of an order within its epoch.
    OrderSequence
);
number_identifier!(
    /// A revision of the configuration document, counted from one.
    Revision
);
number_identifier!(
    /// A caller's connection at one node.
    ConnectionId
);
number_identifier!(
    /// One start of a node's process. A node that starts anew has another one, so that
    /// messages and claims of its earlier life are not taken for its own.
    Incarnation
);
number_identifier!(
    /// The number of an attempt to run one request.
    AttemptNumber
);
