//! Where streams began: the service and the software version of the runner that wrote a stream's first event.
//!
//! A client that resumes a stream names the try that brought its first event, and may send it to any node. Only a runner
//! of the version that began the stream may continue it. While the runners of a service run several versions, the node
//! that forwards a stream's first event therefore tells a few keepers, which are chosen by the stream's id. A node that is
//! asked to continue a stream that it does not know queries them.

use crate::fleet::MAX_STREAM_AGE_US;
use crate::ids::{ServiceName, SoftwareVersion, StreamId};
use crate::scheduling::Ticket;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// Maximum number of streams whose origin a node keeps, about 2 MB. The earliest ones are dropped first.
const MAX_STREAMS: usize = 8_192;

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service of the runner that wrote the first event.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The version of that runner's software.
    #[serde(rename = "v")]
    pub version: SoftwareVersion,
}

/// Reports to a keeper what began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginMessage {
    /// The stream that the report is about.
    #[serde(rename = "i")]
    pub stream: StreamId,
    /// What began it.
    #[serde(rename = "o")]
    pub origin: StreamOrigin,
}

/// Asks a keeper what began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginQuery {
    /// Identifies the query at the asking node.
    #[serde(rename = "t")]
    pub ticket: Ticket,
    /// The stream whose origin is asked for.
    #[serde(rename = "i")]
    pub stream: StreamId,
    /// The service that is to continue the stream.
    #[serde(rename = "s")]
    pub service: ServiceName,
}

/// A keeper's reply to a [`StreamOriginQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginReply {
    /// Ticket of the query.
    #[serde(rename = "t")]
    pub ticket: Ticket,
    /// What began the stream; `None` if the keeper does not know.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<StreamOrigin>,
    /// Whether the keeper has seen several versions serve recently.
    #[serde(rename = "m", default)]
    pub has_several_versions: bool,
    /// The origins that count in the keeper's view. Earlier builds leave them out.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub counted: Vec<StreamOrigin>,
    /// Time since the keeper started, before which it knows nothing, in milliseconds. Earlier builds leave it out.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    #[serde(deserialize_with = "crate::bounded::optional_time_ms")]
    pub uptime_ms: Option<u64>,
}

/// What is known of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Known {
    Origin(StreamOrigin),
    /// Several streams of different origins bear the id.
    Ambiguous,
}

#[derive(Clone, Debug)]
struct Entry {
    known: Known,
    recorded_at_us: u64,
}

/// The origins of recent streams, as far as a node knows them.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    entries: HashMap<StreamId, Entry>,
    /// All streams in the order in which they were recorded first.
    order: VecDeque<StreamId>,
}

impl StreamOrigins {
    /// Records what began a stream.
    pub fn record(&mut self, stream: StreamId, origin: StreamOrigin, now_us: u64) {
        self.remove_expired(now_us);
        if let Some(entry) = self.entries.get_mut(&stream) {
            if entry.known != Known::Origin(origin) {
                entry.known = Known::Ambiguous;
            }
            return;
        }
        if self.order.len() >= MAX_STREAMS {
            self.remove_earliest();
        }
        self.order.push_back(stream.clone());
        let entry = Entry { known: Known::Origin(origin), recorded_at_us: now_us };
        self.entries.insert(stream, entry);
    }

    /// What began a stream; `None` if that is not known, or not for certain.
    pub fn find(&self, stream: &StreamId, now_us: u64) -> Option<&StreamOrigin> {
        let entry = self.entries.get(stream).filter(|entry| !is_expired(entry, now_us))?;
        match &entry.known {
            Known::Origin(origin) => Some(origin),
            Known::Ambiguous => None,
        }
    }

    /// All known origins.
    pub fn recent(&self, now_us: u64) -> Vec<StreamOriginMessage> {
        let known =
            self.order.iter().filter_map(|stream| Some((stream, self.find(stream, now_us)?)));
        let message = |(stream, origin): (&StreamId, &StreamOrigin)| StreamOriginMessage {
            stream: stream.clone(),
            origin: origin.clone(),
        };
        known.map(message).collect()
    }

    /// The known origins of a service's streams.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
        now_us: u64,
    ) -> impl Iterator<Item = StreamOriginMessage> + 'a {
        let streams = self.entries.keys().map(move |stream| (stream, self.find(stream, now_us)));
        let known = streams.filter_map(|(stream, origin)| Some((stream, origin?)));
        known.filter(move |(_, origin)| origin.service == *service).map(|(stream, origin)| {
            StreamOriginMessage { stream: stream.clone(), origin: origin.clone() }
        })
    }

    fn remove_expired(&mut self, now_us: u64) {
        while let Some(stream) = self.order.front() {
            if !self.entries.get(stream).is_none_or(|entry| is_expired(entry, now_us)) {
                return;
            }
            self.remove_earliest();
        }
    }

    fn remove_earliest(&mut self) {
        if let Some(stream) = self.order.pop_front() {
            self.entries.remove(&stream);
        }
    }
}

fn is_expired(entry: &Entry, now_us: u64) -> bool {
    now_us >= entry.recorded_at_us + MAX_STREAM_AGE_US
}
