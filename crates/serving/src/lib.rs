//! The decisions of a node about requests, runners and responses.
//!
//! This crate performs no I/O and reads neither a clock nor a random source: times are passed in as
//! microseconds of a monotonic clock. The tests therefore run the same code as the daemon. The
//! modules, from the request to the operation of the fleet:
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`ids`] | types of identifiers |
//! | [`configuration`] | the configuration that the operators have put in force |
//! | [`tenancy`] | authentication: the tenant that a request's key identifies |
//! | [`routing`] | assignment of requests to the services of a route |
//! | [`request`] | metadata of requests and responses that a node evaluates |
//! | [`request_identity`] | recognition of repeated requests, whatever request ids they carry |
//! | [`prefix`] | the ordered parts of a prompt and the prefixes that requests share |
//! | [`topology`], [`distance`] | zones and their regions, and round-trip times between zones |
//! | [`membership`] | the nodes of the fleet, and which of them read the store |
//! | [`digest`] | the state that every node sends to others periodically |
//! | [`store_revision`] | order of the store's changes, also across restores from a backup |
//! | [`store_replica`] | a node's replica of the store, and updates of other nodes' replicas |
//! | [`freshness`] | freshness of a replica, from the store's responses and other nodes' reports |
//! | [`runner`], [`fleet`] | a node's view of each runner: load, health and role |
//! | [`runner_notice`] | what a runner reports about its own availability |
//! | [`runner_limit`], [`limit_keeper`] | rate limits that runners report, and their enforcement |
//! | [`prefix_cache`], [`failure_rate`] | estimates of what a runner caches and how often it fails |
//! | [`suspicion`] | failure detection: whether a runner counts as unreachable |
//! | [`lost_links`], [`tunnel_peers`] | links to runners that this node has lost, and which nodes replace them |
//! | [`prefill_speed`], [`runner_speed`] | prefill speed of a service and of each of its runners |
//! | [`placement`] | choice of the prefill runner and of the decode runner of a request |
//! | [`urgency`] | the order in which a runner processes requests |
//! | [`regions`] | whether a request leaves its region |
//! | [`scheduling`] | assignment of runners to schedulers, and the messages about placement |
//! | [`scheduler`], [`reservations`] | a scheduler's decisions, and the capacity that it reserves |
//! | [`quota`] | limits of tenants, and the messages that nodes exchange to enforce them |
//! | [`quota_slots`], [`quota_share`] | the slots of a limit, their keepers and their shares |
//! | [`quota_keeper`], [`quota_bucket`] | a keeper's decisions, and the token bucket of one slot |
//! | [`quota_grants`], [`quota_retry`] | grants that can be refunded, and retries of refused runs |
//! | [`quota_candidacy`], [`quota_term`] | election of a keeper's holder, and the holder's term |
//! | [`quota_handover`] | what a holder that stops hands to its successor |
//! | [`quota_requester`], [`quota_outcome`] | a node's queries to keepers, and their outcome |
//! | [`retry_budget`] | a bound on extra attempts that holds without agreement between nodes |
//! | [`retry_pool`] | tokens that nodes with small retry budgets share |
//! | [`retry_grants`] | tokens that a keeper of a retry pool has given out and may get back |
//! | [`attempt`] | what an attempt proves, and the final response that follows |
//! | [`framing_habit`] | how a runner delimits its responses, and heads that have lost lines |
//! | [`event_stream`] | the complete events of a stream, and their ids |
//! | [`event_runs`] | the events of a stream's runs that may be forwarded, and where it can continue |
//! | [`stream_origin`] | the software version at which a stream began, and the messages about it |
//! | [`stream_origin_handover`] | which nodes have to be told where a stream began after nodes have stopped or started |
//! | [`connection_table`] | which connection is closed to make room for a new one |
//! | [`crash_evidence`] | the requests that were in progress at a runner when it terminated |
//! | [`blame`], [`proven_parts`] | which requests and prompt parts explain the crashes, and parts that are known to be harmless |
//! | [`crash_messages`] | crashes as nodes tell each other of them and keep them in the store |
//! | [`quarantine`] | requests that crash runners repeatedly and are no longer sent to any |
//! | [`authority`] | the lease under which one node at a time may issue orders |
//! | [`role_planner`] | when runners change their roles |
//! | [`capacity_planner`] | number, kind and location of a service's runners |
//! | [`usage`], [`wall_clock`] | requests started per tenant and time window, and consistent time |

pub mod attempt;
pub mod authority;
pub mod blame;
pub mod bounded;
pub mod capacity_planner;
pub mod configuration;
pub mod connection_table;
pub mod crash_evidence;
pub mod crash_messages;
pub mod digest;
pub mod distance;
pub mod event_runs;
pub mod event_stream;
pub mod failure_rate;
pub mod fleet;
pub mod fleet_share;
pub mod framing_habit;
pub mod freshness;
pub mod full_read_gate;
pub mod ids;
pub mod limit_keeper;
pub mod lost_links;
pub mod membership;
pub mod news_budget;
pub mod placement;
mod prefill_demand;
pub mod prefill_speed;
pub mod prefix;
pub mod prefix_cache;
pub mod proven_parts;
pub mod quarantine;
pub mod quota;
pub mod quota_bucket;
pub mod quota_candidacy;
pub mod quota_grants;
pub mod quota_handover;
pub mod quota_keeper;
pub mod quota_outcome;
pub mod quota_requester;
pub mod quota_retry;
pub mod quota_share;
pub mod quota_slots;
pub mod quota_term;
pub mod regions;
mod report_time;
pub mod request;
pub mod request_identity;
pub mod reservations;
pub mod retry_budget;
pub mod retry_grants;
pub mod retry_pool;
pub mod role_planner;
mod role_view;
pub mod routing;
pub mod runner;
pub mod runner_limit;
pub mod runner_notice;
pub mod runner_speed;
pub mod scheduler;
pub mod scheduling;
pub mod source_choice;
pub mod start_up;
pub mod store_replica;
pub mod store_revision;
pub mod stream_origin;
pub mod stream_origin_handover;
pub mod suspicion;
pub mod tenancy;
pub mod topology;
pub mod tunnel_peers;
pub mod urgency;
pub mod usage;
pub mod version_record;
pub mod version_view;
pub mod wall_clock;
