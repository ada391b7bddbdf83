//! Starts the node and stops it without cutting a request.
//!
//! A planned stop: the node says at once that it is not ready, so that no new clients are
//! sent to it. For some time they still come and are served. Then it takes no more, closes
//! idle connections, and ends with the last open request.

use crate::authority;
use crate::cache_listing;
use crate::clock::Instant;
use crate::listener;
use crate::node::Node;
use crate::peer_words::PeerSocket;
use crate::peers::Peers;
use crate::policy::PolicyProgram;
use crate::quarantine;
use crate::quota;
use crate::replication;
use crate::roles;
use crate::scaling;
use crate::settings::{NodeSection, Settings, SettingsError};
use crate::shard_scheduler;
use crate::usage;
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

/// Between two looks at the signals.
const SIGNAL_POLL: Duration = Duration::from_millis(50);
/// Between two looks at the settings file.
const FILE_POLL: Duration = Duration::from_millis(500);
/// Between two looks at idle connections.
const PRUNE_EVERY: Duration = Duration::from_millis(1_000);
/// Part of the grace time in which new clients are still taken.
const TAKING_SHARE: f64 = 0.3;
/// Part of the grace time after which the process ends, whatever is open.
const ENDING_SHARE: f64 = 0.96;

/// The daemon failed.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[error("{address} cannot be listened on: {cause}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Why.
        cause: std::io::Error,
    },
    /// The settings name a policy program that cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Signals cannot be handled.
    #[error("signals cannot be handled: {0}")]
    Signals(std::io::Error),
}

/// Signals that have come.
#[derive(Clone, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers for the process's signals.
    pub fn register() -> Result<Self, DaemonError> {
        let signals = Self::default();
        let flags = [(SIGTERM, &signals.stop), (SIGINT, &signals.stop), (SIGHUP, &signals.reload)];
        for (signal, flag) in flags {
            signal_hook::flag::register(signal, flag.clone()).map_err(DaemonError::Signals)?;
        }
        Ok(signals)
    }

    /// Asks for a planned stop.
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

/// Runs a node until it is asked to stop and has finished its work.
pub async fn run(settings: Settings, path: PathBuf, signals: Signals) -> Result<(), DaemonError> {
    let callers = bind(settings.listen.callers).await?;
    let health = bind(settings.listen.health).await?;
    let datagrams = bind_datagrams(settings.listen.peers).await?;
    let followers = bind(settings.listen.peers).await?;
    let name = settings.node.name.clone();
    let zone = settings.node.zone.clone();
    log::info!(target: "process", name, zone; "started");
    let program = PolicyProgram::read(&settings.policy)?;
    let socket = PeerSocket::new(Rc::new(datagrams));
    let node = Node::new(settings, socket.clone());
    node.adopt_policy_program(program);
    node.log_topology();
    for subject in Subject::ALL {
        ntex::rt::spawn(watcher::follow(node.clone(), subject));
    }
    let peers = Peers::new(node.clone(), socket);
    ntex::rt::spawn(peers.clone().receive());
    ntex::rt::spawn(peers.clone().announce());
    ntex::rt::spawn(shard_scheduler::tell_loads(node.clone()));
    ntex::rt::spawn(peers.register());
    ntex::rt::spawn(authority::hold_fleet(node.clone()));
    ntex::rt::spawn(authority::hold_roles(node.clone()));
    ntex::rt::spawn(roles::order_changes(node.clone()));
    ntex::rt::spawn(quarantine::keep_written(node.clone()));
    ntex::rt::spawn(usage::report(node.clone()));
    ntex::rt::spawn(quota::slots::keep(node.clone()));
    ntex::rt::spawn(scaling::order_runners(node.clone()));
    ntex::rt::spawn(cache_listing::list_own_shards(node.clone()));
    ntex::rt::spawn(replication::accept_followers(followers, node.clone()));
    ntex::rt::spawn(listener::accept_health(health, node.clone()));
    ntex::rt::spawn(prune(node.clone()));
    let taking = ntex::rt::spawn(listener::accept_clients(callers, node.clone()));
    wait_for_stop(&node, &path, &signals).await;
    let begun = Instant::now();
    node.begin_stop();
    log::info!(target: "process", open = node.open_requests(); "stopping");
    let grace = Duration::from_secs_f64(node.settings().bounds.grace_s);
    sleep(grace.mul_f64(TAKING_SHARE)).await;
    taking.cancel();
    node.begin_closing();
    wait_for_connections(&node, begun + grace.mul_f64(ENDING_SHARE)).await;
    log::info!(target: "process", open = node.open_requests(); "stopped");
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|cause| DaemonError::Listen { address, cause })
}

async fn bind_datagrams(address: std::net::SocketAddr) -> Result<UdpSocket, DaemonError> {
    UdpSocket::bind(address).await.map_err(|cause| DaemonError::Listen { address, cause })
}

async fn prune(node: Rc<Node>) {
    loop {
        sleep(PRUNE_EVERY).await;
        node.pool.prune();
    }
}

async fn wait_for_stop(node: &Node, path: &Path, signals: &Signals) {
    let mut file = SettingsFile::new(path);
    while !signals.stop_requested() {
        sleep(SIGNAL_POLL).await;
        // The file may change without a signal.
        if signals.take_reload() || file.has_changed() {
            reload(node, path);
        }
    }
}

/// Tells when a settings file has changed.
struct SettingsFile<'a> {
    path: &'a Path,
    modified: Option<SystemTime>,
    looked_at: Instant,
}

impl<'a> SettingsFile<'a> {
    fn new(path: &'a Path) -> Self {
        Self { path, modified: modified(path), looked_at: Instant::now() }
    }

    fn has_changed(&mut self) -> bool {
        if self.looked_at.elapsed() < FILE_POLL {
            return false;
        }
        self.looked_at = Instant::now();
        let before = std::mem::replace(&mut self.modified, modified(self.path));
        self.modified.is_some() && self.modified != before
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

/// Takes a changed settings file into force. A file that is not valid changes nothing; names
/// and addresses of this node hold from the next start.
fn reload(node: &Node, path: &Path) {
    let known = node.settings();
    let (mut settings, program) = match read_all(path) {
        Ok(read) => read,
        Err(error) => {
            let error = error.to_string();
            log::error!(target: "process", error; "reload refused");
            return;
        }
    };
    node.adopt_policy_program(program);
    let known_node = NodeSection { regions: settings.node.regions.clone(), ..known.node.clone() };
    let needs_restart = settings.node != known_node || settings.listen != known.listen;
    settings.node = known_node;
    settings.listen = known.listen.clone();
    let changed = settings != *known;
    node.adopt_settings(settings);
    log::info!(target: "process", changed, needs_restart; "reloaded");
}

fn read_all(path: &Path) -> Result<(Settings, Option<PolicyProgram>), SettingsError> {
    let settings = Settings::read(path)?;
    let program = PolicyProgram::read(&settings.policy)?;
    Ok((settings, program))
}

/// Not only for open requests: one may be being read just now.
async fn wait_for_connections(node: &Node, latest: Instant) {
    const POLL: Duration = Duration::from_millis(10);
    while node.open_connections() > 0 && Instant::now() < latest {
        sleep(POLL).await;
    }
    // The last answers leave the socket buffers.
    sleep(POLL * 5).await;
}
