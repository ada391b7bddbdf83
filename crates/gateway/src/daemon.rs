//! Starts the node and stops it without interrupting a request.
//!
//! On a planned stop the node reports at once that it is not ready, so that no new clients are
//! routed to it. Clients that still connect are served during the first part of the grace period.
//! The node then stops accepting connections, closes idle ones, and exits after the last open request.

use crate::authority;
use crate::cache_listing;
use crate::clock::Instant;
use crate::health_listener;
use crate::listener;
use crate::node::Node;
use crate::peer_listener;
use crate::peer_messages::PeerSocket;
use crate::peers::Peers;
use crate::policy::PolicyProgram;
use crate::quarantine;
use crate::quota;
use crate::reachability;
use crate::retry_pools;
use crate::roles;
use crate::runner_probe;
use crate::scaling;
use crate::settings::{NodeSection, Settings, SettingsError};
use crate::shard_scheduler;
use crate::stream_origin_handover;
use crate::usage;
use crate::version_record;
use crate::watcher;
use pitchstall_serving::store_replica::Subject;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

/// Interval between checks for received signals.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between checks for a changed settings file.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between removals of idle connections that are no longer usable.
const PRUNE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Share of the grace period in which new connections are still accepted.
const ACCEPTING_GRACE_SHARE: f64 = 0.3;
/// Share of the grace period after which the process exits even if requests are open.
const SHUTDOWN_GRACE_SHARE: f64 = 0.96;
/// Share of the grace period after which the process exits even if other nodes have not been told of all streams.
const HANDOVER_GRACE_SHARE: f64 = 0.98;

/// An error that prevents the daemon from running.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The node cannot listen on an address of its settings.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address from the settings.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The policy program that the settings name cannot be read or does not compile.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A signal handler cannot be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(std::io::Error),
}

/// Flags for the signals that the process has received. Clones share the flags.
#[derive(Clone, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers handlers for SIGTERM and SIGINT (stop) and for SIGHUP (reload the settings).
    pub fn register() -> Result<Self, DaemonError> {
        let signals = Self::default();
        let flags = [(SIGTERM, &signals.stop), (SIGINT, &signals.stop), (SIGHUP, &signals.reload)];
        for (signal, flag) in flags {
            signal_hook::flag::register(signal, flag.clone()).map_err(DaemonError::Signals)?;
        }
        Ok(signals)
    }

    /// Requests a planned stop, as SIGTERM does.
    pub fn request_stop(&self) {
        self.stop.store(true, Ordering::Release);
    }

    fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::AcqRel)
    }
}

/// Runs a node until it is asked to stop and its open requests have finished or the grace period has passed.
pub async fn run(settings: Settings, path: PathBuf, signals: Signals) -> Result<(), DaemonError> {
    let client_listener = bind(settings.listen.callers).await?;
    let health_listener = bind(settings.listen.health).await?;
    let peer_socket = bind_datagrams(settings.listen.peers).await?;
    let peer_listener = bind(settings.listen.peers).await?;
    let name = settings.node.name.clone();
    let zone = settings.node.zone.clone();
    log::info!(target: "process", name, zone; "started");
    let program = PolicyProgram::read(&settings.policy)?;
    let socket = PeerSocket::new(Rc::new(peer_socket));
    let node = Node::new(settings, socket.clone());
    ntex::rt::spawn(socket.traffic().clone().log_counts());
    node.adopt_policy_program(program);
    node.log_topology();
    for subject in Subject::ALL {
        ntex::rt::spawn(watcher::follow(node.clone(), subject));
    }
    let peers = Peers::new(node.clone(), socket);
    ntex::rt::spawn(peers.clone().receive());
    ntex::rt::spawn(peers.clone().announce());
    ntex::rt::spawn(shard_scheduler::report_loads(node.clone()));
    ntex::rt::spawn(peers.register());
    ntex::rt::spawn(authority::hold_fleet_authority(node.clone()));
    ntex::rt::spawn(authority::hold_roles_authority(node.clone()));
    ntex::rt::spawn(roles::order_role_changes(node.clone()));
    ntex::rt::spawn(quarantine::persist_crashes(node.clone()));
    ntex::rt::spawn(version_record::record_versions(node.clone()));
    ntex::rt::spawn(retry_pools::deposit_tokens(node.clone()));
    ntex::rt::spawn(runner_probe::probe_lost_links(node.clone()));
    ntex::rt::spawn(reachability::report_unreachable_runners(node.clone()));
    ntex::rt::spawn(usage::run_reporter(node.clone()));
    ntex::rt::spawn(quota::candidate::run(node.clone()));
    ntex::rt::spawn(scaling::order_runners(node.clone()));
    ntex::rt::spawn(stream_origin_handover::run(node.clone()));
    ntex::rt::spawn(cache_listing::list_own_shards(node.clone()));
    ntex::rt::spawn(peer_listener::accept_peers(peer_listener, node.clone()));
    ntex::rt::spawn(health_listener::accept_health(health_listener, node.clone()));
    ntex::rt::spawn(prune_connections(node.clone()));
    let accept_task = ntex::rt::spawn(listener::accept_clients(client_listener, node.clone()));
    wait_for_stop(&node, &path, &signals).await;
    let stop_requested_at = Instant::now();
    node.begin_stop();
    stream_origin_handover::begin_stop(&node);
    log::info!(target: "process", open = node.open_requests.count(); "stopping");
    let grace = Duration::from_secs_f64(node.settings().bounds.grace_s);
    sleep(grace.mul_f64(ACCEPTING_GRACE_SHARE)).await;
    accept_task.cancel();
    node.begin_closing();
    wait_for_connections(&node, stop_requested_at + grace.mul_f64(SHUTDOWN_GRACE_SHARE)).await;
    let handover_deadline = stop_requested_at + grace.mul_f64(HANDOVER_GRACE_SHARE);
    stream_origin_handover::finish(&node, handover_deadline).await;
    log::info!(target: "process", open = node.open_requests.count(); "stopped");
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|cause| DaemonError::Listen { address, cause })
}

async fn bind_datagrams(address: std::net::SocketAddr) -> Result<UdpSocket, DaemonError> {
    UdpSocket::bind(address).await.map_err(|cause| DaemonError::Listen { address, cause })
}

async fn prune_connections(node: Rc<Node>) {
    loop {
        sleep(PRUNE_INTERVAL).await;
        node.pool.prune();
    }
}

async fn wait_for_stop(node: &Node, path: &Path, signals: &Signals) {
    let mut file = SettingsFile::new(path);
    while !signals.stop_requested() {
        sleep(SIGNAL_POLL_INTERVAL).await;
        // The platform may replace the file without sending a signal.
        if signals.take_reload() || file.has_changed() {
            reload(node, path);
        }
    }
}

/// Detects changes of a settings file by its modification time.
struct SettingsFile<'a> {
    path: &'a Path,
    modified: Option<SystemTime>,
    checked_at: Instant,
}

impl<'a> SettingsFile<'a> {
    fn new(path: &'a Path) -> Self {
        Self { path, modified: modified(path), checked_at: Instant::now() }
    }

    fn has_changed(&mut self) -> bool {
        if self.checked_at.elapsed() < SETTINGS_POLL_INTERVAL {
            return false;
        }
        self.checked_at = Instant::now();
        let before = std::mem::replace(&mut self.modified, modified(self.path));
        self.modified.is_some() && self.modified != before
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

/// Applies a changed settings file. An invalid file changes nothing. The `[listen]` section, and the `[node]`
/// section except for its regions, take effect at the next start only.
fn reload(node: &Node, path: &Path) {
    let current = node.settings();
    let (mut settings, program) = match read_settings_and_program(path) {
        Ok(read) => read,
        Err(error) => {
            let error = error.to_string();
            log::error!(target: "process", error; "settings reload failed; the previous settings stay in force");
            return;
        }
    };
    node.adopt_policy_program(program);
    let current_node =
        NodeSection { regions: settings.node.regions.clone(), ..current.node.clone() };
    let needs_restart = settings.node != current_node || settings.listen != current.listen;
    settings.node = current_node;
    settings.listen = current.listen.clone();
    let changed = settings != *current;
    node.adopt_settings(settings);
    log::info!(target: "process", changed, needs_restart; "reloaded");
}

fn read_settings_and_program(
    path: &Path,
) -> Result<(Settings, Option<PolicyProgram>), SettingsError> {
    let settings = Settings::read(path)?;
    let program = PolicyProgram::read(&settings.policy)?;
    Ok((settings, program))
}

/// Waits until all client connections, and all connections that are carried for other nodes, are closed. Waiting for open requests is not enough, because a
/// connection may be in the middle of reading one.
async fn wait_for_connections(node: &Node, deadline: Instant) {
    const POLL: Duration = Duration::from_millis(10);
    while node.client_connections.count() + node.open_tunnels.count() > 0
        && Instant::now() < deadline
    {
        sleep(POLL).await;
    }
    // The last responses may still be in the socket buffers.
    sleep(POLL * 5).await;
}
