//! `pitchstall node`.

use crate::runtime::{block_on, stop_flag, wait_for_stop, StopFlag};
use crate::CommandError;
use gumdrop::Options;
use pitchstall_node::daemon::{serve, DaemonError, Departure, Listeners};
use pitchstall_node::{logging, DaemonSettings};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Arguments of `pitchstall node`. Flags override the settings file.
#[derive(Debug, Options)]
pub struct NodeArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file, TOML", required)]
    settings: PathBuf,
    #[options(help = "name in the membership list")]
    name: Option<String>,
    #[options(help = "zone")]
    zone: Option<String>,
    #[options(help = "address for callers, IP:port")]
    callers: Option<SocketAddr>,
    #[options(help = "address for operators, IP:port")]
    operators: Option<SocketAddr>,
    #[options(help = "address for other nodes, IP:port")]
    peers: Option<SocketAddr>,
    #[options(help = "address of the key-value service, IP:port")]
    store: Option<SocketAddr>,
    #[options(help = "address of the membership list, IP:port")]
    members: Option<SocketAddr>,
}

/// Runs a node until it is asked to leave and has finished its work.
pub fn run(arguments: NodeArguments) -> Result<ExitCode, CommandError> {
    let mut settings = DaemonSettings::read(&arguments.settings)?;
    override_settings(&mut settings, arguments);
    let _logger =
        logging::start(&settings.log).map_err(|it| CommandError::Logging(it.to_string()))?;
    let listeners = Listeners::bind(&settings)?;
    // Whoever starts the process with port 0 learns the ports from this line.
    let addresses = listeners.addresses().map_err(DaemonError::Server)?;
    println!("{}", serde_json::to_string(&addresses).unwrap_or_default());
    let stop = stop_flag()?;
    let served: Result<(), DaemonError> = block_on("pitchstall", async move {
        let departure = Departure::default();
        ntex::rt::spawn(leave_when_told(stop, departure.clone()));
        serve(settings, listeners, departure).await
    });
    served?;
    Ok(ExitCode::SUCCESS)
}

fn override_settings(settings: &mut DaemonSettings, arguments: NodeArguments) {
    fn put<T>(place: &mut T, value: Option<T>) {
        if let Some(value) = value {
            *place = value;
        }
    }
    put(&mut settings.node.name, arguments.name);
    put(&mut settings.node.zone, arguments.zone);
    put(&mut settings.listen.callers, arguments.callers);
    put(&mut settings.listen.operators, arguments.operators);
    put(&mut settings.listen.peers, arguments.peers);
    put(&mut settings.platform.store, arguments.store);
    put(&mut settings.platform.members, arguments.members);
}

async fn leave_when_told(stop: StopFlag, departure: Departure) {
    wait_for_stop(stop).await;
    departure.request();
}
