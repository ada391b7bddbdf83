//! The gateway between clients and the runners that serve language models.
//!
//! Modules in the order in which a request passes through them:
//!
//! | module | what it does |
//! | --- | --- |
//! | [`listener`] | accepts connections of clients |
//! | [`connection`] | reads requests from a client connection and writes responses |
//! | [`intake`] | validates a request and finds its route, tenant and service |
//! | [`stream_origins`] | finds the software version that began the stream which a request resumes |
//! | [`stream_origin_handover`] | tells the keepers of streams where these began, after nodes have stopped or started |
//! | [`policy`] | runs the operators' policy program |
//! | [`dispatch`] | plans and makes attempts until the request has its final response |
//! | [`scheduling`] | places the request by querying the scheduler of the runners' shard |
//! | [`prefill`] | runs a separate prefill and holds the KV handle that it returns |
//! | [`prepared_connection`] | prepares a connection to the runner of an attempt |
//! | [`attempt`] | makes one attempt on one runner |
//! | [`attempt_wait`] | ends an attempt that is silent or whose runner is suspected |
//! | [`interrupted_attempt`] | handles an attempt that ended before its response was complete |
//! | [`response_end`] | finds out whether a response that ends with its connection is whole |
//! | [`runner_connection`] | opens a connection to a runner, through another node if this node's link is lost |
//! | [`runner_probe`] | checks whether a silent runner can be reached, and whether a lost link works again |
//! | [`relay`] | forwards a stream to the client, also across several runners |
//! | [`local_responses`] | defines the responses that the node creates itself |
//!
//! Before an extra attempt is sent, [`retry_charge`] charges it to the retry budget, to which [`retry_pools`] adds
//! tokens of other nodes. Before a run is sent, [`quota`] charges it to its tenant if the tenant has a limit, and [`runner_limits`]
//! requests a permit for it if the runner has a limit.
//!
//! The other modules:
//!
//! - [`daemon`] starts all tasks of the node and stops it. [`settings`] reads the settings file. [`node`] holds the
//!   state that the tasks share, [`clock`] measures elapsed time, and [`logging`] and [`metrics`] report on the node.
//! - [`watcher`] keeps replicas of the store up to date, either through [`platform_client`] ([`store_pages`],
//!   [`store_responses`]) or from another node ([`replication`], [`json_lines`], [`compression`]).
//!   [`replica_limits`] bounds the age of a replica, and [`transfer`] tracks the progress of a large response.
//! - [`entries`] applies the entries of the store, and [`refused_entries`] reports those that cannot be used.
//! - [`peers`] discovers the other nodes and exchanges [`peer_messages`] with them. [`peer_traffic`] counts
//!   the messages by kind, and [`cross_region_traffic`] the bytes of those to other regions.
//! - [`shard_scheduler`] places the requests of other nodes. [`missed_replies`] tracks schedulers and keepers that do
//!   not reply, [`pending_replies`] the queries that wait for one, [`cache_listing`] requests the contents of runners' caches after a start, and
//!   [`prefix_announcements`] announces cached prefixes to other regions.
//! - [`authority`] holds the leases that [`roles`], [`scaling`] and [`usage`] need before they give orders or
//!   report something on behalf of all nodes.
//! - [`tunnel`] carries connections to runners through other nodes. [`peer_listener`] accepts connections of other nodes,
//!   and [`health_listener`] those for readiness, metrics and reports.
//! - [`open_connections`] makes room among the connections of an address when there are too many, [`open_counter`] counts what is open,
//!   and [`descriptor_shares`] says how many descriptors each may use.
//! - [`response_memory`] bounds what the node holds of runners' responses.
//! - [`reachability`] reports how many runners the node cannot reach.
//! - [`caught_panic`] lets a task go on after a panic in one request.
//! - [`quarantine`] keeps requests that crash runners away from them.
//! - [`http`] is the HTTP client for runners and the store, and [`unknown_headers`] tracks names of response headers
//!   that this version does not know.

pub mod attempt;
pub mod attempt_wait;
pub mod authority;
pub mod cache_listing;
pub mod caught_panic;
pub mod clock;
pub mod close_control;
pub mod compression;
pub mod connection;
pub mod cross_region_traffic;
pub mod daemon;
pub mod descriptor_shares;
pub mod dispatch;
pub mod entries;
pub mod health_listener;
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
pub mod open_connections;
pub mod open_counter;
pub mod peer_listener;
pub mod peer_messages;
pub mod peer_traffic;
pub mod peers;
pub mod pending_replies;
pub mod platform_client;
pub mod policy;
pub mod prefill;
pub mod prefix_announcements;
pub mod prepared_connection;
pub mod quarantine;
pub mod quota;
pub mod reachability;
pub mod refused_entries;
pub mod relay;
pub mod replica_limits;
pub mod replication;
pub mod response_end;
pub mod response_head;
pub mod response_memory;
pub mod retry_charge;
pub mod retry_pools;
pub mod roles;
pub mod runner_connection;
pub mod runner_limits;
pub mod runner_probe;
pub mod scaling;
pub mod scheduling;
pub mod settings;
pub mod shard_scheduler;
pub mod store_pages;
pub mod store_responses;
pub mod stream_origin_handover;
pub mod stream_origins;
pub mod transfer;
pub mod tunnel;
pub mod unframed_head;
pub mod unknown_headers;
pub mod usage;
pub mod version_reads;
pub mod version_record;
pub mod watcher;
