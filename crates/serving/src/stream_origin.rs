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
const MICROS_PER_MILLI: u64 = 1_000;

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
    /// Time since the origin was recorded, in milliseconds; 0 for a stream that has just begun.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    #[serde(deserialize_with = "crate::bounded::time_ms")]
    pub age_ms: u64,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "the signature is given by serde")]
fn is_zero(number: &u64) -> bool {
    *number == 0
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
    /// Whether the keeper knows that streams of different origins bear the id. Earlier builds leave it out.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_ambiguous: bool,
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

/// What is known of the streams that bear an id.
#[derive(Clone, Debug)]
struct Entry {
    origin: StreamOrigin,
    /// The origin of a second stream that bears the id, if it differs.
    other: Option<StreamOrigin>,
    /// The stream counts for [`MAX_STREAM_AGE_US`] after its origin was recorded, at this or another node.
    expires_at_us: u64,
}

/// The origins of recent streams, as far as a node knows them.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    entries: HashMap<StreamId, Entry>,
    /// All streams in the order in which they were recorded first.
    order: VecDeque<StreamId>,
}

impl StreamOrigins {
    /// Records what began a stream that has just begun.
    pub fn record(&mut self, stream: StreamId, origin: StreamOrigin, now_us: u64) {
        self.record_message(StreamOriginMessage { stream, origin, age_ms: 0 }, now_us);
    }

    /// Records what another node reports of a stream, which keeps its age. A stream that is too old is ignored.
    pub fn record_message(&mut self, message: StreamOriginMessage, now_us: u64) {
        let StreamOriginMessage { stream, origin, age_ms } = message;
        let remaining_us =
            MAX_STREAM_AGE_US.saturating_sub(age_ms.saturating_mul(MICROS_PER_MILLI));
        if remaining_us == 0 {
            return;
        }
        self.remove_expired(now_us);
        let entry = Entry { origin, other: None, expires_at_us: now_us + remaining_us };
        match self.entries.get_mut(&stream) {
            Some(known) if is_expired(known, now_us) => {
                *known = entry;
                return;
            }
            Some(known) if known.origin == entry.origin => return,
            Some(known) => {
                known.other.get_or_insert(entry.origin);
                return;
            }
            None => {}
        }
        if self.order.len() >= MAX_STREAMS {
            self.remove_earliest();
        }
        self.order.push_back(stream.clone());
        self.entries.insert(stream, entry);
    }

    /// What began a stream; `None` if that is not known, or not for certain.
    pub fn find(&self, stream: &StreamId, now_us: u64) -> Option<&StreamOrigin> {
        let entry = self.entry(stream, now_us)?;
        entry.other.is_none().then_some(&entry.origin)
    }

    /// Whether streams of different origins bear this id.
    pub fn is_ambiguous(&self, stream: &StreamId, now_us: u64) -> bool {
        self.entry(stream, now_us).is_some_and(|entry| entry.other.is_some())
    }

    /// All known origins.
    pub fn recent(&self, now_us: u64) -> Vec<StreamOriginMessage> {
        self.order.iter().flat_map(|stream| self.messages(stream, now_us)).collect()
    }

    /// What another node is told of the streams that bear an id: a message for each of their origins.
    pub fn messages(
        &self,
        stream: &StreamId,
        now_us: u64,
    ) -> impl Iterator<Item = StreamOriginMessage> + use<> {
        let entry = self.entry(stream, now_us).cloned();
        let stream = stream.clone();
        entry.into_iter().flat_map(move |entry| {
            let remaining_us = entry.expires_at_us.saturating_sub(now_us);
            let age_ms = MAX_STREAM_AGE_US.saturating_sub(remaining_us) / MICROS_PER_MILLI;
            let stream = stream.clone();
            let origins = std::iter::once(entry.origin).chain(entry.other);
            origins.map(move |origin| StreamOriginMessage {
                stream: stream.clone(),
                origin,
                age_ms,
            })
        })
    }

    /// The known origins of a service's streams.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
        now_us: u64,
    ) -> impl Iterator<Item = StreamOriginMessage> + 'a {
        let messages = self.entries.keys().flat_map(move |it| self.messages(it, now_us));
        messages.filter(move |message| message.origin.service == *service)
    }

    /// Whether anything is known of this id.
    pub fn is_known(&self, stream: &StreamId, now_us: u64) -> bool {
        self.entry(stream, now_us).is_some()
    }

    fn entry(&self, stream: &StreamId, now_us: u64) -> Option<&Entry> {
        self.entries.get(stream).filter(|entry| !is_expired(entry, now_us))
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
    now_us >= entry.expires_at_us
}
