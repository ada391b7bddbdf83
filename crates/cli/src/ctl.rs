//! `pitchstall ctl`.

use crate::apply::{roll_back, submit};
use crate::check::{parse_configuration, problems_of, read};
use crate::runtime::block_on;
use crate::{CommandError, EXIT_FAILED};
use gumdrop::Options;
use ntex::client::{Client, ClientResponse};
use ntex::http::StatusCode;
use ntex::time::Millis;
use pitchstall_platform::http::new_client;
use pitchstall_protocol::configuration::{Configuration, Document};
use pitchstall_protocol::engine::{EngineRole, OrderKind};
use pitchstall_protocol::error::ErrorBody;
use pitchstall_protocol::ids::{EngineId, ModelName, Revision};
use pitchstall_protocol::operator::{
    EngineChangeOutcome, EngineChangeRequest, FleetStatus, SpreadStatus,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::process::ExitCode;

/// Arguments of `pitchstall ctl`.
#[derive(Debug, Options)]
pub struct CtlArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "operators' address of a node, IP:port", default = "127.0.0.1:7201")]
    node: String,
    #[options(help = "file with the operators' key; else PITCHSTALL_OPERATOR_KEY")]
    key_file: Option<PathBuf>,
    #[options(command)]
    command: Option<CtlCommand>,
}

#[derive(Debug, Options)]
enum CtlCommand {
    #[options(help = "print the configuration in force at the node")]
    Get(Nothing),
    #[options(help = "compare a configuration file with what is in force")]
    Diff(DiffArguments),
    #[options(help = "submit a configuration file")]
    Apply(ApplyArguments),
    #[options(help = "print a past revision")]
    History(HistoryArguments),
    #[options(help = "submit a past revision as a new one")]
    Rollback(RollbackArguments),
    #[options(help = "how far the configuration has spread")]
    Spread(Nothing),
    #[options(help = "nodes, engines and zones as the node knows them")]
    Fleet(Nothing),
    #[options(help = "change an engine's role")]
    Role(RoleArguments),
    #[options(help = "load a model into an engine")]
    Load(LoadArguments),
    #[options(help = "let an engine finish its work and take none")]
    Drain(DrainArguments),
}

#[derive(Debug, Options)]
struct Nothing {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Debug, Options)]
struct DiffArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "configuration file, TOML")]
    file: PathBuf,
}

#[derive(Debug, Options)]
struct ApplyArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "configuration file, TOML")]
    file: PathBuf,
    #[options(help = "revision the change was made from; default: the one in force")]
    expected_revision: Option<u64>,
    #[options(help = "seconds to wait until it is in force everywhere", default = "10")]
    wait: u64,
}

#[derive(Debug, Options)]
struct HistoryArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "revision")]
    revision: u64,
}

#[derive(Debug, Options)]
struct RollbackArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "revision whose content is wanted")]
    revision: u64,
    #[options(help = "seconds to wait until it is in force everywhere", default = "10")]
    wait: u64,
}

#[derive(Debug, Options)]
struct RoleArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "engine", required)]
    engine: String,
    #[options(help = "prefill, decode or mixed", required)]
    role: String,
}

#[derive(Debug, Options)]
struct LoadArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "engine", required)]
    engine: String,
    #[options(help = "model", required)]
    model: String,
}

#[derive(Debug, Options)]
struct DrainArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "engine", required)]
    engine: String,
}

/// A node of the fleet, asked over its operators' interface.
pub struct Fleet {
    client: Client,
    node: String,
    key: String,
}

#[derive(Deserialize)]
struct ErrorEnvelope {
    error: ErrorBody,
}

const TIMEOUT: Millis = Millis(15_000);

impl Fleet {
    /// Connects to nothing yet.
    pub async fn new(node: String, key: String) -> Result<Self, CommandError> {
        let client = new_client().await.map_err(|it| CommandError::Fleet(it.to_string()))?;
        Ok(Self { client, node, key })
    }

    /// Reads a resource.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let url = format!("http://{}{path}", self.node);
        let request = self.client.get(url).bearer_auth(&self.key).timeout(TIMEOUT);
        let answer = request.send().await.map_err(|error| self.unreachable(&error))?;
        self.read(answer).await
    }

    /// Submits to a resource.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CommandError> {
        let url = format!("http://{}{path}", self.node);
        let request = self.client.post(url).bearer_auth(&self.key).timeout(TIMEOUT);
        let answer = request.send_json(body).await.map_err(|error| self.unreachable(&error))?;
        self.read(answer).await
    }

    fn unreachable(&self, error: &ntex::client::error::ClientError) -> CommandError {
        CommandError::Fleet(format!("{}: {error}", self.node))
    }

    async fn read<T: DeserializeOwned>(&self, answer: ClientResponse) -> Result<T, CommandError> {
        let status = answer.status();
        let body = answer.body().await.map_err(|it| CommandError::Fleet(it.to_string()))?;
        if let Ok(envelope) = serde_json::from_slice::<ErrorEnvelope>(&body) {
            return Err(CommandError::Fleet(envelope.error.to_string()));
        }
        if status == StatusCode::NOT_FOUND {
            return Err(CommandError::Fleet(format!("{}: not found", self.node)));
        }
        serde_json::from_slice(&body)
            .map_err(|error| CommandError::Fleet(format!("{}: {error}", self.node)))
    }
}

/// Runs an operators' command.
pub fn run(arguments: CtlArguments) -> Result<ExitCode, CommandError> {
    let key = read_key(&arguments)?;
    let Some(command) = arguments.command else {
        return Err(CommandError::Usage(format!(
            "expected a command\n\n{}\n\nCommands:\n{}",
            CtlArguments::usage(),
            CtlArguments::command_list().unwrap_or_default()
        )));
    };
    block_on("ctl", async move {
        let fleet = Fleet::new(arguments.node, key).await?;
        match command {
            CtlCommand::Get(_) => print_configuration(&fleet, "/configuration").await,
            CtlCommand::Diff(arguments) => diff(&fleet, &arguments).await,
            CtlCommand::Apply(arguments) => apply(&fleet, &arguments).await,
            CtlCommand::History(arguments) => {
                let path = format!("/configuration/history/{}", arguments.revision);
                print_configuration(&fleet, &path).await
            }
            CtlCommand::Rollback(arguments) => {
                roll_back(&fleet, Revision(arguments.revision), arguments.wait).await
            }
            CtlCommand::Spread(_) => {
                let status: SpreadStatus = fleet.get("/configuration/spread").await?;
                print_json(&status)
            }
            CtlCommand::Fleet(_) => {
                let status: FleetStatus = fleet.get("/fleet").await?;
                print_json(&status)
            }
            CtlCommand::Role(arguments) => {
                let change = OrderKind::SetRole { role: parse_role(&arguments.role)? };
                change_engine(&fleet, &arguments.engine, change).await
            }
            CtlCommand::Load(arguments) => {
                let change = OrderKind::LoadModel { model: ModelName::new(&arguments.model) };
                change_engine(&fleet, &arguments.engine, change).await
            }
            CtlCommand::Drain(arguments) => {
                change_engine(&fleet, &arguments.engine, OrderKind::Drain).await
            }
        }
    })
}

fn read_key(arguments: &CtlArguments) -> Result<String, CommandError> {
    if let Some(path) = &arguments.key_file {
        return Ok(read(path)?.trim().to_owned());
    }
    std::env::var("PITCHSTALL_OPERATOR_KEY").map_err(|_| {
        CommandError::Usage("expected --key-file or PITCHSTALL_OPERATOR_KEY".to_owned())
    })
}

fn parse_role(text: &str) -> Result<EngineRole, CommandError> {
    match text {
        "prefill" => Ok(EngineRole::Prefill),
        "decode" => Ok(EngineRole::Decode),
        "mixed" => Ok(EngineRole::Mixed),
        other => {
            Err(CommandError::Usage(format!("--role {other}: expected prefill, decode or mixed")))
        }
    }
}

fn print_json<T: Serialize>(value: &T) -> Result<ExitCode, CommandError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| CommandError::Fleet(error.to_string()))?;
    println!("{text}");
    Ok(ExitCode::SUCCESS)
}

fn as_toml(configuration: &Configuration) -> Result<String, CommandError> {
    toml::to_string_pretty(configuration).map_err(|error| CommandError::Fleet(error.to_string()))
}

async fn print_configuration(fleet: &Fleet, path: &str) -> Result<ExitCode, CommandError> {
    let document: Document = fleet.get(path).await?;
    println!("# revision {}", document.revision);
    print!("{}", as_toml(&document.configuration)?);
    Ok(ExitCode::SUCCESS)
}

/// Lines that only one of the two has. Both are printed from their parsed form, so order
/// and comments in the file do not matter.
async fn diff(fleet: &Fleet, arguments: &DiffArguments) -> Result<ExitCode, CommandError> {
    let wanted = parse_configuration(&arguments.file, &read(&arguments.file)?)?;
    let present: Document = fleet.get("/configuration").await?;
    let (present, wanted) = (as_toml(&present.configuration)?, as_toml(&wanted)?);
    if present == wanted {
        println!("no difference");
        return Ok(ExitCode::SUCCESS);
    }
    for line in present.lines().filter(|line| !wanted.lines().any(|it| it == *line)) {
        println!("- {line}");
    }
    for line in wanted.lines().filter(|line| !present.lines().any(|it| it == *line)) {
        println!("+ {line}");
    }
    Ok(ExitCode::from(EXIT_FAILED))
}

async fn apply(fleet: &Fleet, arguments: &ApplyArguments) -> Result<ExitCode, CommandError> {
    let configuration = parse_configuration(&arguments.file, &read(&arguments.file)?)?;
    let problems = problems_of(&configuration);
    if !problems.is_empty() {
        return Err(CommandError::File(problems.join("\n")));
    }
    let expected = match arguments.expected_revision {
        Some(revision) => Revision(revision),
        None => fleet.get::<SpreadStatus>("/configuration/spread").await?.revision,
    };
    submit(fleet, expected, configuration, arguments.wait).await
}

async fn change_engine(
    fleet: &Fleet,
    engine: &str,
    change: OrderKind,
) -> Result<ExitCode, CommandError> {
    let request = EngineChangeRequest { engine: EngineId::new(engine), change };
    match fleet.post("/engines", &request).await? {
        EngineChangeOutcome::Scheduled => {
            println!("scheduled");
            Ok(ExitCode::SUCCESS)
        }
        EngineChangeOutcome::NotAuthority { holder } => {
            let holder = holder.map_or("not known".to_owned(), |node| node.to_string());
            eprintln!("this node has no authority over its zone; the holder is {holder}");
            Ok(ExitCode::from(EXIT_FAILED))
        }
        EngineChangeOutcome::LeavesNoneToServe => {
            eprintln!("not done: the engines left could not serve the model");
            Ok(ExitCode::from(EXIT_FAILED))
        }
        EngineChangeOutcome::UnknownEngine => {
            eprintln!("no engine of this zone is named {engine}");
            Ok(ExitCode::from(EXIT_FAILED))
        }
    }
}
