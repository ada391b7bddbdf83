//! What a node decides about requests, runners and answers.
//!
//! Everything here is plain state: time is handed in as microseconds of a steady clock, and
//! nothing reads a socket, a clock or a random source. The daemon and the tests run the same
//! code. Modules in the order in which a request meets them:
//!
//! | module | decides |
//! | --- | --- |
//! | [`ids`] | nothing: the types of identifiers |
//! | [`configuration`] | what the operators have put in force |
//! | [`topology`] | which zones belong to one region |
//! | [`distance`] | how far zones are from each other |
//! | [`regions`] | when a request leaves its region |
//! | [`routing`] | which route and which service a request belongs to |
//! | [`prefix`] | which parts of a prompt requests share |
//! | [`request`] | what of a request and an answer matters to a node |
//! | [`request_identity`] | which requests are the same one, whatever ids they carry |
//! | [`digest`] | what every node tells the others now and then |
//! | [`store_replica`] | what brings another node's copy of the store up to date |
//! | [`store_revision`] | points in the store's history, across its returns from older copies |
//! | [`membership`] | which nodes read the store, and which follow them |
//! | [`freshness`] | how fresh the copy of the store is, by all nodes' word |
//! | [`runner`], [`fleet`] | which runners exist, how loaded and how healthy they are |
//! | [`runner_limit`], [`limit_keeper`] | what a runner takes from all nodes together, and who counts it |
//! | [`runner_notice`] | whether a runner takes requests, by its own word |
//! | [`prefix_cache`], [`failure_rate`] | what a runner probably holds, how often it fails |
//! | [`suspicion`] | whether a runner that is silent is busy or gone |
//! | [`read_pace`], [`runner_pace`] | how fast prompts are read, and how much each runner differs |
//! | [`placement`] | which runner reads a prompt and which one writes the answer |
//! | [`urgency`] | what goes ahead of what at a runner |
//! | [`scheduling`] | which node places a request, and what nodes say to each other for that |
//! | [`scheduler`], [`reservations`] | what that node decides, and what it has set aside |
//! | [`role_planner`] | when a runner changes its role |
//! | [`capacity_planner`] | how many runners there are, of which kind and where |
//! | [`authority`] | which node may order that |
//! | [`tenancy`] | who may send requests, and for whom they run |
//! | [`usage`], [`wall_clock`] | how many requests of each tenant began, and when |
//! | [`quota`] | what a tenant may have run, and what nodes say to each other for that |
//! | [`quota_slots`], [`quota_share`] | which keepers a tenant's limit is split among, and into what |
//! | [`quota_keeper`], [`quota_bucket`] | whether a run is paid for |
//! | [`quota_grants`], [`quota_turns`] | what may be given back, and how long others wait |
//! | [`quota_term`], [`quota_candidacy`] | which node is a keeper, and until when |
//! | [`quota_desk`], [`quota_outcome`] | which keeper a node asks, and what follows from the answer or from none |
//! | [`retry_budget`] | whether one more attempt may be made |
//! | [`crash_evidence`] | which requests were under way at a runner when it ended |
//! | [`quarantine`] | which requests end runners, and reach none any more |
//! | [`attempt`] | what a failed attempt proves, and the final answer that follows |
//! | [`event_stream`] | which bytes of a stream may be forwarded, and where it can go on |

mod asked_rate;
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
pub mod prefix;
pub mod prefix_cache;
pub mod quarantine;
pub mod quota;
pub mod quota_bucket;
pub mod quota_candidacy;
pub mod quota_desk;
pub mod quota_grants;
pub mod quota_keeper;
pub mod quota_outcome;
pub mod quota_share;
pub mod quota_slots;
pub mod quota_term;
pub mod quota_turns;
pub mod read_pace;
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
pub mod runner_pace;
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
