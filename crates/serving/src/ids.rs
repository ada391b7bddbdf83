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

text_identifier!(
    /// A node: one process of the serving system. Unique for each start of a process.
    NodeId
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
