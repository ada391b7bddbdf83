//! The decisions of a node about requests, runners and responses.
//!
//! The code here is pure state: time is passed in as microseconds of a monotonic clock, and
//! nothing reads a socket, a clock or a random source. The daemon and the tests run the same
//! code. The modules, in the order in which a request reaches them:
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`ids`] | types of identifiers |
//! | [`configuration`] | the configuration that the operators have put in force |
//! | [`topology`] | the regions to which zones belong |
//! | [`distance`] | distances between zones |
//! | [`regions`] | when a request is sent to another region |
//! | [`routing`] | the route and the service of a request |
//! | [`prefix`] | the shared prefixes of prompts |
//! | [`request`] | properties of requests and responses that matter to a node |
//! | [`request_identity`] | recognizing the same request under different ids |
//! | [`digest`] | the state that every node sends to others periodically |
//! | [`store_replica`] | updates that bring another node's replica of the store up to date |
//! | [`store_revision`] | order of the store's changes, also across restores from a backup |
//! | [`membership`] | which nodes read the store, and which follow them |
//! | [`freshness`] | freshness of a replica of the store, from all nodes' reports |
//! | [`runner`], [`fleet`] | the runners, their load and their health |
//! | [`runner_limit`], [`limit_keeper`] | limits that a runner sets for all nodes together, and their keepers |
//! | [`runner_notice`] | whether a runner takes requests, as it reports itself |
//! | [`prefix_cache`], [`failure_rate`] | estimates of what a runner has cached and how often it fails |
//! | [`suspicion`] | whether a silent runner is busy or unreachable |
//! | [`read_pace`], [`runner_pace`] | prefill speed in general, and how much each runner differs |
//! | [`placement`] | the prefill runner and the decode runner of a request |
//! | [`urgency`] | the order in which a runner processes requests |
//! | [`scheduling`] | the node that schedules a request, and the messages between nodes for that |
//! | [`scheduler`], [`reservations`] | decisions of that node, and the capacity that it has reserved |
//! | [`role_planner`] | when a runner changes its role |
//! | [`capacity_planner`] | number, kind and location of the runners |
//! | [`authority`] | the node that may give the orders for that |
//! | [`tenancy`] | who may send requests, and on behalf of which tenant they run |
//! | [`usage`], [`wall_clock`] | number of requests that each tenant started, and when |
//! | [`quota`] | quotas of tenants, and the messages between nodes for them |
//! | [`quota_slots`], [`quota_share`] | the keepers among which a quota is divided, and their shares |
//! | [`quota_keeper`], [`quota_bucket`] | whether a run is paid for |
//! | [`quota_grants`], [`quota_turns`] | grants that may be returned, and how long other nodes wait |
//! | [`quota_term`], [`quota_candidacy`] | which node is a keeper, and until when |
//! | [`quota_desk`], [`quota_outcome`] | the keeper that a node asks, and what follows from its reply or its silence |
//! | [`retry_budget`] | whether another attempt may be made |
//! | [`crash_evidence`] | the requests that were running at a runner when it crashed |
//! | [`quarantine`] | requests that crash runners, and are sent to none any more |
//! | [`attempt`] | what a failed attempt proves, and the final response that follows |
//! | [`event_stream`] | the bytes of a stream that may be forwarded, and where it can continue |

pub mod attempt;
pub mod authority;
pub mod capacity_planner;
pub mod configuration;
pub mod crash_evidence;
pub mod digest;
pub mod distance;
pub mod event_stream;
pub mod failure_rate;
pub mod fleet;
pub mod freshness;
pub mod ids;
pub mod limit_keeper;
pub mod membership;
pub mod placement;
mod prefill_demand;
pub mod prefill_speed;
pub mod prefix;
pub mod prefix_cache;
pub mod quarantine;
pub mod quota;
pub mod quota_bucket;
pub mod quota_candidacy;
pub mod quota_grants;
pub mod quota_keeper;
pub mod quota_outcome;
pub mod quota_requester;
pub mod quota_retry;
pub mod quota_share;
pub mod quota_slots;
pub mod quota_term;
pub mod regions;
pub mod request;
pub mod request_identity;
pub mod reservations;
pub mod retry_budget;
pub mod role_planner;
mod role_view;
pub mod routing;
pub mod runner;
pub mod runner_limit;
pub mod runner_notice;
pub mod runner_speed;
pub mod scheduler;
pub mod scheduling;
pub mod store_replica;
pub mod store_revision;
pub mod suspicion;
pub mod tenancy;
pub mod topology;
pub mod urgency;
pub mod usage;
pub mod wall_clock;
