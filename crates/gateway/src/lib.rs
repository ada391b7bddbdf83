//! The gateway between clients and the runners that serve language models.
//!
//! Modules in the order in which a request passes through them:
//!
//! | module | what it does |
//! | --- | --- |
//! | [`daemon`] | starts and stops the node |
//! | [`listener`] | accepts connections |
//! | [`connection`] | reads requests from a client connection and writes responses |
//! | [`intake`] | rejects invalid requests early, finds the route and the service |
//! | [`policy`] | runs the operators' policy program |
//! | [`dispatch`] | plans and makes attempts until the request has its final response |
//! | [`scheduling`] | asks the scheduler that owns the runners where the request is to run |
//! | [`prefill`] | runs a separate prefill and keeps the KV handle that it returns |
//! | [`attempt`] | makes one attempt on one runner |
//! | [`broken_attempt`] | updates the state of a runner whose attempt ended early |
//! | [`runner_probe`] | checks whether a silent runner can be reached |
//! | [`relay`] | forwards a stream to the client, also across several runners |
//! | [`local_responses`] | the responses that the node creates itself |
//!
//! Before a run is sent, [`quota`] charges it to its tenant if the tenant has a limit.
//!
//! The other modules:
//!
//! - [`entries`] applies entries of the store, and [`refused_entries`] reports those that cannot be used.
//! - [`authority`] holds the leases that [`roles`], [`scaling`] and [`usage`] need before they give orders or
//!   report something on behalf of all nodes.
//! - [`peers`] exchanges digests with other nodes over [`json_lines`].
//! - [`watcher`] follows the store through [`platform_client`] ([`store_answers`], [`store_pages`]) or through
//!   another node with [`mirror`] ([`compression`]). [`copy_limits`] bounds the age of what is read, and
//!   [`transfer`] measures the progress of a transfer.
//! - [`quarantine`] keeps requests that crash runners away from them.
//! - [`node`] holds the state of the node, [`clock`] measures elapsed time, and [`http`] speaks HTTP to runners
//!   and to the store.

pub mod attempt;
pub mod authority;
pub mod cache_listing;
pub mod clock;
pub mod compression;
pub mod connection;
pub mod cross_region_traffic;
pub mod daemon;
pub mod dispatch;
pub mod entries;
pub mod http;
pub mod intake;
pub mod interrupted_attempt;
pub mod json_lines;
pub mod listener;
pub mod local_responses;
pub mod logging;
pub mod metrics;
pub mod missed_replies;
pub mod node;
pub mod peer_messages;
pub mod peers;
pub mod platform_client;
pub mod policy;
pub mod prefill;
pub mod prefix_announcements;
pub mod quarantine;
pub mod quota;
pub mod refused_entries;
pub mod relay;
pub mod replica_limits;
pub mod replication;
pub mod roles;
pub mod runner_limits;
pub mod runner_probe;
pub mod scaling;
pub mod scheduling;
pub mod settings;
pub mod shard_scheduler;
pub mod store_pages;
pub mod store_responses;
pub mod transfer;
pub mod unknown_headers;
pub mod usage;
pub mod watcher;
