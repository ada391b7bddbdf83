//! Embeds a lease holder and two replicas of the configuration over a transport of its own:
//! here a pair of queues and a store in memory, with no other part of pitchstall.
//!
//! `cargo run -p pitchstall-coordination --example embed`

use pitchstall_coordination::configuration::{ConfigurationReplica, Exchange};
use pitchstall_coordination::lease::{LeaseConfig, LeaseHolder};
use pitchstall_coordination::Timestamp;
use pitchstall_protocol::configuration::Document;
use pitchstall_protocol::ids::{ChangeId, Incarnation, NodeId, Revision, ZoneId};
use pitchstall_protocol::store::{StoreError, StoreLease, StoreReply, StoreRequest};
use pitchstall_protocol::Configuration;
use std::rc::Rc;
use std::time::Duration;

/// A store that grants every lease and lets the first claim through.
fn answer(request: &StoreRequest) -> Result<StoreReply, StoreError> {
    Ok(match request {
        StoreRequest::Grant { .. } => StoreReply::Granted { lease: StoreLease(1) },
        StoreRequest::Transaction { .. } => {
            StoreReply::Transaction { succeeded: true, revision: 7 }
        }
        StoreRequest::KeepAlive { .. } => StoreReply::KeptAlive { ttl_s: 6 },
        StoreRequest::Get { .. } => StoreReply::Values { values: Vec::new(), revision: 7 },
        StoreRequest::Revoke { .. } => StoreReply::Revoked,
    })
}

fn hold_a_lease() {
    let (zone, node) = (ZoneId::new("east"), NodeId::new("east-1"));
    let config = LeaseConfig::default();
    let mut holder = LeaseHolder::new(config, &zone, node, Incarnation(1), Duration::ZERO);
    let mut now = Timestamp::from_millis(10);
    let mut next = holder.poll(now, true);
    while let Some(request) = next {
        println!("to the store: {request:?}");
        let sent = now;
        now = now + Duration::from_millis(2);
        next = holder.on_reply(now, sent, &answer(&request));
    }
    println!("epoch held: {:?}", holder.epoch(now));
    let later = now + config.ttl;
    println!("epoch held when the lease has lapsed unrenewed: {:?}", holder.epoch(later));
}

fn spread_a_configuration() {
    let document = Rc::new(Document {
        revision: Revision(1),
        change: ChangeId::new("first"),
        configuration: Configuration::default(),
    });
    let bound = Duration::from_secs(6);
    let mut reader = ConfigurationReplica::new(bound);
    let mut listener = ConfigurationReplica::new(bound);
    let (read_at, told_at) = (Timestamp::from_millis(100), Timestamp::from_millis(150));
    reader.on_store_read(read_at, Some(document.clone()));
    let age = reader.verified_age(told_at);
    if listener.on_peer(reader.revision(), Some(told_at), age) == Exchange::Pull {
        listener.on_document(document);
        listener.on_peer(reader.revision(), Some(told_at), age);
    }
    println!("revision at the listener: {}", listener.revision());
    println!("may move data now: {}", listener.may_move_data(told_at));
    println!("may move data after {bound:?} alone: {}", listener.may_move_data(told_at + bound));
}

fn main() {
    hold_a_lease();
    spread_a_configuration();
}
