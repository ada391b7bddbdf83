//! A randomized soak test of the real programs.
//!
//! Nodes run as separate processes. The store, the runners and the clients are stand-ins in the
//! process of the soak, connected through proxies that delay, reset, cut or stall connections. The
//! observations of clients and runners are recorded in one history, which is checked against each
//! guarantee.
//!
//! | module | contents |
//! | --- | --- |
//! | [`history`] | the observed events, with timestamps of one clock |
//! | [`checks`] | one check for each guarantee |
//! | `indexed_history` | the events, indexed for the checks |
//! | `configuration_checks` | the checks on configurations |
//! | [`seed_features`] | which kinds of faults, runners and tenants a seed has |
//! | [`plan`] | the schedule of faults of a seed |
//! | [`proxy`] | a link that can be faulty or slow |
//! | [`client`] | sends a request and reads the complete response |
//! | [`fleet`] | the stand-ins: store, runners, configuration |
//! | [`tenants`] | the tenants that send requests, and their limits |
//! | [`regions`] | the link between two regions |
//! | `runner_script` | how a runner reacts to a request, and what it reports about itself |
//! | `reported_limits` | the limits that a runner reports over time |
//! | [`tenant_limit_checks`] | the checks on tenants' limits |
//! | [`region_checks`] | the check on regions that are cut off |
//! | `self_report_checks` | the checks on what runners report about themselves |
//! | `reported_limit_checks` | the check on the limits that runners report |
//! | [`node_health`] | whether a node reports that it accepts clients |
//! | [`node_links`] | the links of each node to each runner |
//! | `lost_link_checks` | the check on nodes that have lost their links to runners |
//! | [`recovery`] | whether every node serves again after the last fault |
//! | `interrupted_streams` | the check on streams that nodes end |
//! | [`stream_judgement`] | what is wrong with a stream that its client has received |
//! | [`stream_client`] | a client that takes a broken stream up at another node |
//! | [`run_plan`] | what a runner process does with a request |
//! | [`runner_program`] | the program of a runner process |
//! | [`runner_processes`] | starts, signals and replaces runner processes |
//! | [`process_load`] | the requests to runner processes, and their ends |
//! | [`process_checks`] | the checks on responses of runner processes |
//! | [`releases`] | the releases of runner processes' software, and the absences of clients |
//! | [`takeup_checks`] | the checks on streams that clients take up |
//!
//! The example `soak` starts the processes and terminates them when it ends.

pub mod checks;
pub mod client;
mod configuration_checks;
pub mod fleet;
pub mod history;
mod indexed_history;
mod interrupted_streams;
mod lost_link_checks;
pub mod node_health;
pub mod node_links;
pub mod plan;
pub mod process_checks;
pub mod process_load;
pub mod recovery;
pub mod region_checks;
pub mod regions;
pub mod releases;
mod reported_limit_checks;
mod reported_limits;
pub mod run_plan;
pub mod runner_processes;
pub mod runner_program;
mod runner_script;
pub mod seed_features;
mod self_report_checks;
pub mod stream_client;
pub mod stream_judgement;
pub mod takeup_checks;
pub mod tenant_limit_checks;
pub mod tenants;

pub use pitchstall_platform_standins::proxy;
