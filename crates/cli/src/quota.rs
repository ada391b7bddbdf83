//! `pitchstall quota`: prints the quota keepers that a node knows, and the tenants' remaining quotas at the
//! keepers that it holds.

use crate::{CommandError, EXIT_FAILED};
use gumdrop::Options;
use pitchstall_gateway::health_listener::QUOTA_PATH;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// Timeout for connecting to the node, and for each read.
const NODE_TIMEOUT: Duration = Duration::from_secs(5);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Arguments of `pitchstall quota`.
#[derive(Debug, Options)]
pub struct QuotaArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the health address of a node, IP:port")]
    rest: Vec<String>,
}

/// Prints the quota keepers that a node knows and the quotas that remain at the keepers it holds itself.
/// The result is negative if tenants have limits and the node knows no keeper.
pub fn run(arguments: &QuotaArguments) -> Result<ExitCode, CommandError> {
    let [address] = arguments.rest.as_slice() else {
        return Err(CommandError::Usage("expected the health address of one node".to_owned()));
    };
    let address: SocketAddr =
        address.parse().map_err(|_| CommandError::Usage(format!("{address} is not an IP:port")))?;
    let failed = |error: String| CommandError::Fleet(format!("{address}: {error}"));
    let response = fetch_report(address).map_err(|error| failed(error.to_string()))?;
    let body = response_body(&response)
        .ok_or_else(|| failed(format!("{QUOTA_PATH} is not served there")))?;
    let report: Value = serde_json::from_str(body).map_err(|error| failed(error.to_string()))?;
    print!("{}", render(&report));
    let is_known = report["keepers"].as_array().is_some_and(|keepers| !keepers.is_empty());
    let is_healthy = is_known || report["has_limits"] == false;
    Ok(if is_healthy { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) })
}

fn fetch_report(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, NODE_TIMEOUT)?;
    stream.set_read_timeout(Some(NODE_TIMEOUT))?;
    let request =
        format!("GET {QUOTA_PATH} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}

/// The body of a response with status 200; `None` for other statuses.
fn response_body(response: &str) -> Option<&str> {
    let (head, body) = response.split_once("\r\n\r\n")?;
    head.split(' ').nth(1).filter(|status| *status == "200").map(|_| body)
}

fn render(report: &Value) -> String {
    if report["has_limits"] == false {
        return "no tenant has a limit\n".to_owned();
    }
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let (held, keepers) = (list(&report["held"]), list(&report["keepers"]));
    let mut text = String::new();
    for keeper in &held {
        let (name, left) = (text_field(keeper, "keeper"), seconds_field(keeper, "left_ms"));
        text.push_str(&format!("{name} is kept here for {left} s more, if not renewed\n"));
        for tenant in list(&keeper["tenants"]) {
            let name = text_field(&tenant, "tenant");
            let amount = |field: &str| tenant[field].as_i64().unwrap_or_default();
            let (level, debt, granted) = (amount("level"), amount("debt"), amount("granted"));
            text.push_str(&format!(
                "  {name}: {level} units left, down to -{debt}; {granted} granted; configuration {}\n",
                amount("version")
            ));
        }
    }
    if keepers.is_empty() {
        text.push_str("no keeper is known: requests of tenants with a limit are refused\n");
    }
    for keeper in &keepers {
        let note = if keeper["asked"] == true { "" } else { ", passed over" };
        text.push_str(&format!(
            "{} is held by {} at {}, heard of {} s ago{note}\n",
            text_field(keeper, "keeper"),
            text_field(keeper, "node"),
            text_field(keeper, "address"),
            seconds_field(keeper, "heard_ms"),
        ));
    }
    text
}

fn text_field<'a>(value: &'a Value, field: &str) -> &'a str {
    value[field].as_str().unwrap_or_default()
}

fn seconds_field(value: &Value, field: &str) -> String {
    let millis = value[field].as_u64().unwrap_or_default();
    format!("{:.1}", millis as f64 / MILLIS_PER_SECOND)
}
