//! The JSON gateway of etcd's version 3 interface, as far as pitchstall uses it: both the
//! requests and the answers, for the adapter and for the stand-in.
//!
//! Keys and values are base64, 64-bit numbers are strings, and fields with their zero value
//! are left out.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use pitchstall_protocol::store::{
    Compare, StoreLease, StoreReply, StoreRequest, StoredValue, Write,
};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Path of reads.
pub const RANGE_PATH: &str = "/v3/kv/range";
/// Path of transactions.
pub const TRANSACTION_PATH: &str = "/v3/kv/txn";
/// Path to ask for leases.
pub const GRANT_PATH: &str = "/v3/lease/grant";
/// Path to renew leases.
pub const KEEP_ALIVE_PATH: &str = "/v3/lease/keepalive";
/// Path to end leases.
pub const REVOKE_PATH: &str = "/v3/lease/revoke";
/// Path of watches.
pub const WATCH_PATH: &str = "/v3/watch";

/// Text in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64Text(pub String);

impl Serialize for Base64Text {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Text {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let encoded = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(encoded).map_err(serde::de::Error::custom)?;
        String::from_utf8(bytes).map(Self).map_err(serde::de::Error::custom)
    }
}

/// A 64-bit number as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Number(pub u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Plain(u64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
            Form::Plain(number) => Ok(Self(number)),
        }
    }
}

/// Head of every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The store's revision.
    #[serde(default)]
    pub revision: Number,
}

/// A key with its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Base64Text,
    /// The value.
    #[serde(default)]
    pub value: Base64Text,
    /// Revision of its creation.
    #[serde(default)]
    pub create_revision: Number,
    /// Revision of its last change.
    #[serde(default)]
    pub mod_revision: Number,
}

/// A read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The key.
    pub key: Base64Text,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Head.
    #[serde(default)]
    pub header: Header,
    /// The keys found.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// A comparison in a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareRequest {
    /// The key.
    pub key: Base64Text,
    /// Always `MOD`.
    pub target: String,
    /// Always `EQUAL`.
    pub result: String,
    /// The revision it must have.
    #[serde(default)]
    pub mod_revision: Number,
}

/// A write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: Base64Text,
    /// The value.
    pub value: Base64Text,
    /// The lease, or zero.
    #[serde(default)]
    pub lease: Number,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// A read.
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    /// A write.
    #[serde(rename = "request_put")]
    Put(PutRequest),
    /// A deletion.
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
}

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionRequest {
    /// What must hold.
    #[serde(default)]
    pub compare: Vec<CompareRequest>,
    /// What is done if it holds.
    #[serde(default)]
    pub success: Vec<Operation>,
}

/// The answer to one operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationResponse {
    /// To a read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Head.
    #[serde(default)]
    pub header: Header,
    /// Whether the comparisons held.
    #[serde(default)]
    pub succeeded: bool,
    /// The answers to the operations.
    #[serde(default)]
    pub responses: Vec<OperationResponse>,
}

/// Asks for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Seconds to live.
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

/// Names a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Number,
}

/// The answer about a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "ID", default)]
    pub id: Number,
    /// Seconds to live; zero: it has ended.
    #[serde(rename = "TTL", default)]
    pub ttl: Number,
}

/// An answer in a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The answer.
    pub result: T,
}

/// Starts a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: RangeRequest,
}

/// A change seen by a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key with its new value.
    #[serde(default)]
    pub kv: KeyValue,
}

/// Changes seen by a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The changes.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

impl From<StoredValue> for KeyValue {
    fn from(value: StoredValue) -> Self {
        Self {
            key: Base64Text(value.key),
            value: Base64Text(value.value),
            create_revision: Number(value.create_revision),
            mod_revision: Number(value.mod_revision),
        }
    }
}

impl From<KeyValue> for StoredValue {
    fn from(pair: KeyValue) -> Self {
        Self {
            key: pair.key.0,
            value: pair.value.0,
            create_revision: pair.create_revision.0,
            mod_revision: pair.mod_revision.0,
        }
    }
}

fn range(key: &str) -> RangeRequest {
    RangeRequest { key: Base64Text(key.to_owned()) }
}

/// Path and body of a request.
pub fn encode_request(request: &StoreRequest) -> (&'static str, Result<String, serde_json::Error>) {
    match request {
        StoreRequest::Get { keys } => {
            let success = keys.iter().map(|key| Operation::Range(range(key))).collect();
            let body = TransactionRequest { compare: Vec::new(), success };
            (TRANSACTION_PATH, serde_json::to_string(&body))
        }
        StoreRequest::Transaction { compare, writes } => {
            let body = TransactionRequest {
                compare: compare.iter().map(encode_compare).collect(),
                success: writes.iter().map(encode_write).collect(),
            };
            (TRANSACTION_PATH, serde_json::to_string(&body))
        }
        StoreRequest::Grant { ttl_s } => {
            (GRANT_PATH, serde_json::to_string(&GrantRequest { ttl: Number(*ttl_s) }))
        }
        StoreRequest::KeepAlive { lease } => {
            (KEEP_ALIVE_PATH, serde_json::to_string(&LeaseRequest { id: Number(lease.0) }))
        }
        StoreRequest::Revoke { lease } => {
            (REVOKE_PATH, serde_json::to_string(&LeaseRequest { id: Number(lease.0) }))
        }
    }
}

fn encode_compare(compare: &Compare) -> CompareRequest {
    CompareRequest {
        key: Base64Text(compare.key.clone()),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: Number(compare.mod_revision),
    }
}

fn encode_write(write: &Write) -> Operation {
    match &write.value {
        Some(value) => Operation::Put(PutRequest {
            key: Base64Text(write.key.clone()),
            value: Base64Text(value.clone()),
            lease: Number(write.lease.map_or(0, |lease| lease.0)),
        }),
        None => Operation::Delete(range(&write.key)),
    }
}

/// Reads the answer to a request.
pub fn decode_reply(request: &StoreRequest, body: &[u8]) -> Result<StoreReply, serde_json::Error> {
    Ok(match request {
        StoreRequest::Get { .. } => {
            let response: TransactionResponse = serde_json::from_slice(body)?;
            let ranges = response.responses.into_iter().filter_map(|it| it.response_range);
            let values = ranges.flat_map(|it| it.kvs).map(StoredValue::from).collect();
            StoreReply::Values { values, revision: response.header.revision.0 }
        }
        StoreRequest::Transaction { .. } => {
            let response: TransactionResponse = serde_json::from_slice(body)?;
            StoreReply::Transaction {
                succeeded: response.succeeded,
                revision: response.header.revision.0,
            }
        }
        StoreRequest::Grant { .. } => {
            let response: LeaseResponse = serde_json::from_slice(body)?;
            StoreReply::Granted { lease: StoreLease(response.id.0) }
        }
        StoreRequest::KeepAlive { .. } => {
            let response: Streamed<LeaseResponse> = serde_json::from_slice(body)?;
            StoreReply::KeptAlive { ttl_s: response.result.ttl.0 }
        }
        StoreRequest::Revoke { .. } => StoreReply::Revoked,
    })
}

/// Turns a transaction from the wire into a request, for the stand-in. A transaction without
/// comparisons that only reads is a read.
pub fn decode_transaction(body: &TransactionRequest) -> StoreRequest {
    let reads: Vec<String> = body
        .success
        .iter()
        .filter_map(|operation| match operation {
            Operation::Range(range) => Some(range.key.0.clone()),
            _ => None,
        })
        .collect();
    if body.compare.is_empty() && reads.len() == body.success.len() {
        return StoreRequest::Get { keys: reads };
    }
    let compare = body
        .compare
        .iter()
        .map(|it| Compare { key: it.key.0.clone(), mod_revision: it.mod_revision.0 });
    let writes = body.success.iter().filter_map(|operation| match operation {
        Operation::Put(put) => Some(Write {
            key: put.key.0.clone(),
            value: Some(put.value.0.clone()),
            lease: (put.lease.0 != 0).then_some(StoreLease(put.lease.0)),
        }),
        Operation::Delete(range) => {
            Some(Write { key: range.key.0.clone(), value: None, lease: None })
        }
        Operation::Range(_) => None,
    });
    StoreRequest::Transaction { compare: compare.collect(), writes: writes.collect() }
}
