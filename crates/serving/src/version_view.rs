//! Determines the service and software version at which a stream began whose origin no node has recorded.

use crate::stream_origin::StreamOrigin;
use std::collections::BTreeSet;

/// The origins that the record in the store names, as one read of it shows. Routes may be split over services and moved
/// from one to another, so that the services of all routes count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedOrigins {
    /// The service and version of each entry.
    pub origins: BTreeSet<StreamOrigin>,
    /// Whether the record names the origins of all recent streams.
    pub is_complete: bool,
}

/// The only possible origin of a stream that no node has recorded; `None` if several are possible, or if that is not known.
/// `recorded` must come from a read of the store that began after the stream was requested, so that it includes every origin
/// that was entered before. `counted` are further origins, which the nodes have seen among runners.
pub fn only_origin<'a>(
    recorded: &'a RecordedOrigins,
    counted: impl IntoIterator<Item = &'a StreamOrigin>,
) -> Option<StreamOrigin> {
    let origins: BTreeSet<&StreamOrigin> = recorded.origins.iter().chain(counted).collect();
    let mut origins = origins.into_iter();
    let first = origins.next().filter(|_| recorded.is_complete)?;
    origins.next().is_none().then(|| first.clone())
}
