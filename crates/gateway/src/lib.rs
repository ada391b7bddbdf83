//! The daemon between callers and runners.
//!
//! Modules in the order in which a request travels:
//!
//! | module | what it does |
//! | --- | --- |
//! | [`daemon`] | starts and stops everything |
//! | [`listener`] | takes connections |
//! | [`connection`] | reads requests from one client's connection and writes answers |
//! | [`intake`] | refuses what can be refused at once, finds the route |
//! | [`policy`] | runs the operators' program |
//! | [`dispatch`] | plans and makes attempts until the request has its final answer |
//! | [`scheduling`] | asks the scheduler of the runners where the request is to run |
//! | [`reading`] | has a prompt read and keeps its handle |
//! | [`attempt`] | one attempt at one runner |
//! | [`broken_attempt`] | what follows for the runner of an attempt that ended early |
//! | [`verification`] | looks whether a silent runner can be reached |
//! | [`relay`] | forwards a stream, and goes on at another runner |
//! | [`answers`] | the answers that the node makes itself |
//!
//! Before a run is sent, [`quota`] has it paid for if its tenant has a limit.
//!
//! Beside them: [`entries`] takes in what lies in the store, and [`refused_entries`] says what of it cannot be
//! used; [`authority`] holds what [`roles`], [`scaling`] and [`usage`] need before they order or
//! report something for all nodes, [`peers`] exchanges digests with other nodes over [`json_lines`], [`watcher`] follows the store with
//! [`platform_client`] ([`store_responses`], [`store_pages`]) or another node with [`replication`] ([`compression`]), as old as [`replica_limits`] allows and
//! judged by its progress ([`transfer`]), [`quarantine`] keeps
//! the requests that end runners there, [`node`] holds what the node believes, [`clock`] says how long ago
//! something was, [`http`] speaks HTTP to runners and to the store.

pub mod answers;
pub mod attempt;
pub mod authority;
pub mod broken_attempt;
pub mod cache_listing;
pub mod clock;
pub mod compression;
pub mod connection;
pub mod daemon;
pub mod dispatch;
pub mod entries;
pub mod far_traffic;
pub mod held_parts;
pub mod http;
pub mod intake;
pub mod json_lines;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod missed_answers;
pub mod node;
pub mod peer_words;
pub mod peers;
pub mod platform_client;
pub mod policy;
pub mod quarantine;
pub mod quota;
pub mod reading;
pub mod refused_entries;
pub mod relay;
pub mod replica_limits;
pub mod replication;
pub mod roles;
pub mod runner_limits;
pub mod scaling;
pub mod scheduling;
pub mod settings;
pub mod shard_scheduler;
pub mod store_pages;
pub mod store_responses;
pub mod transfer;
pub mod unknown_words;
pub mod usage;
pub mod verification;
pub mod watcher;
