//! The commands of the program.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use axum::body::Bytes;
use axum::http::{StatusCode, Uri};
use bpaf::{Args, Bpaf, ParseFailure};
use error_stack::Report;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Map, Value};

use super::relay as relay_host;
use super::serve;
use super::settings::{Flags, Settings, flags};
use super::trace::{self, Subject};
use crate::config::{Config, Difference, KEYS};
use crate::error::{Error, Result};

/// Exit status when a command failed.
const FAILURE_STATUS: u8 = 1;

/// Exit status when a file, a flag or a variable was refused.
const INVALID_STATUS: u8 = 2;

/// Port for operators on the users' platform; the usual one of metrics exporters.
const DEFAULT_OPS_PORT: u16 = 9_464;

/// Longest time that a dump may take.
const DUMP_TIMEOUT: Duration = Duration::from_secs(10);

/// Most bytes of a dump.
const MAX_DUMP_BYTES: usize = 256 << 20;

/// Widest help text, in characters.
const HELP_WIDTH: usize = 100;

/// A layer-4 load balancer.
#[derive(Bpaf, Clone)]
#[bpaf(options, version, footer(COMMAND_FOOTER))]
enum Command {
    /// Carry traffic as a host of the system.
    #[bpaf(command, usage(SERVE_USAGE), footer(SERVE_FOOTER))]
    Serve(#[bpaf(external(flags), map(Box::new))] Box<Flags>),

    /// Carry traffic as a host on the users' platform, whose settings file
    /// `JACINTHHINGE_CONFIG` names.
    #[bpaf(command)]
    Relay(#[bpaf(external(relay))] RelayFlags),

    /// Put the log lines of all hosts on one flow or endpoint in order, and say in
    /// a sentence what happened.
    #[bpaf(command)]
    Trace(#[bpaf(external(trace))] Trace),

    /// Check a configuration file, and exit with status 2 if it is refused.
    #[bpaf(command)]
    Check(#[bpaf(external(check))] Check),

    /// Print the tables of a running process as JSON.
    #[bpaf(command)]
    Dump(#[bpaf(external(dump))] Dump),
}

#[derive(Bpaf, Clone)]
#[bpaf(generate(relay))]
struct RelayFlags {
    /// Settings file, instead of the one that `JACINTHHINGE_CONFIG` names
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
    /// Port of this host for metrics, dumps and probes, 9464 by default
    #[bpaf(argument("PORT"), fallback(DEFAULT_OPS_PORT))]
    ops_port: u16,
    /// Log level, or levels by module; info by default
    #[bpaf(argument("LEVEL"), fallback("info".to_owned()))]
    log: String,
}

#[derive(Bpaf, Clone)]
struct Check {
    /// Say where each value in effect comes from, at a scope such as
    /// `endpoint/a-3` or `service/adserve class/photo`
    #[bpaf(argument("SCOPE"))]
    explain: Option<String>,
    /// Show what changes from OTHER to FILE, and refuse an unsafe step
    #[bpaf(argument("OTHER"))]
    diff: Option<PathBuf>,
    /// Print the values to publish on the platform, but for the secrets in `keys`
    values: bool,
    /// Configuration file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

#[derive(Bpaf, Clone)]
struct Trace {
    /// Address and port of the caller
    #[bpaf(argument("IP:PORT"))]
    flow: Option<SocketAddr>,
    /// Name of an endpoint
    #[bpaf(argument("NAME"))]
    endpoint: Option<String>,
    /// Log files of the hosts
    #[bpaf(positional("LOG"), some("name the log files"))]
    files: Vec<PathBuf>,
}

#[derive(Bpaf, Clone)]
struct Dump {
    /// Print this table only
    #[bpaf(argument("NAME"))]
    table: Option<String>,
    /// The process's --ops address
    #[bpaf(positional("ADDR"))]
    addr: String,
}

const COMMAND_FOOTER: &str = "Examples:
  jacinthhinge check config/hraunvik.toml
  jacinthhinge check config/hraunvik.toml --explain endpoint/a-3
  jacinthhinge check new.toml --diff published.toml
  jacinthhinge dump 127.0.0.1:9080 --table flows
  jacinthhinge trace --flow 192.0.2.7:40001 sv-a-1.log sv-b-1.log
  jacinthhinge serve --help";

const SERVE_USAGE: &str = "Usage: jacinthhinge serve --name=NAME --zone=ZONE --region=REGION \
    --peer-addr=IP:PORT --lane=IP:PORT --platform=http://IP:PORT --key=SECRET [OPTIONS]";

const SERVE_FOOTER: &str = "A flag that is left out comes from the environment: --peer-addr from \
    JACINTHHINGE_PEER_ADDR, and so on; a list has commas in it. Give secrets that way, since \
    other users of the machine can read flags.
 Example:
 JACINTHHINGE_KEY=... jacinthhinge serve --name sv-a-1 --zone sv-a
      --region is-sudvestur --peer-addr 10.1.0.3:9000 --lane 10.1.0.3:9100
      --platform http://10.1.0.9:8500 --peer 10.1.0.4:9000";

/// Runs the program with its arguments, and gives its exit status.
#[must_use]
pub fn run() -> ExitCode {
    let command = match command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_failure(&failure),
    };
    let result = match command {
        Command::Serve(flags) => run_serve(*flags),
        Command::Relay(flags) => relay_host::run(flags.settings, flags.ops_port, &flags.log),
        Command::Check(check) => run_check(&check),
        Command::Trace(trace) => run_trace(&trace),
        Command::Dump(dump) => run_dump(&dump),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report}");
            exit_code(report.current_context())
        }
    }
}

fn print_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(INVALID_STATUS),
        _ => ExitCode::SUCCESS,
    }
}

fn exit_code(error: &Error) -> ExitCode {
    use crate::error::Category::{Config, Setting};
    match error.classify() {
        Config | Setting => ExitCode::from(INVALID_STATUS),
        _ => ExitCode::from(FAILURE_STATUS),
    }
}

fn run_serve(flags: Flags) -> Result<(), Report<Error>> {
    let settings = Settings::new(flags, |name| std::env::var(name).ok())?;
    settings.check_bind()?;
    serve::run(&settings)
}

fn run_check(check: &Check) -> Result<(), Report<Error>> {
    let config = read_config(&check.file)?;
    if let Some(scope) = &check.explain {
        for value in config.explain(scope)? {
            print_line(&format!(
                "{} = {}  ({})",
                value.field, value.value, value.from
            ))?;
        }
    }
    if let Some(other) = &check.diff {
        let other = read_config(other)?;
        for difference in other.diff(&config) {
            print_difference(&difference)?;
        }
        Config::check_change(&other, &config)?;
    }
    if check.values {
        let values = config.values().into_iter();
        let published: Map<String, Value> = values.filter(|(key, _)| key != KEYS).collect();
        print_line(&format!("{:#}", Value::Object(published)))?;
    }
    eprintln!("{}: accepted: {config}", check.file.display());
    Ok(())
}

/// Prints a line; a closed pipe, as under `head`, is not an error.
fn print_line(line: &str) -> Result<()> {
    match writeln!(io::stdout(), "{line}") {
        Err(source) if source.kind() != io::ErrorKind::BrokenPipe => {
            Err(Error::io("print the output", source))
        }
        _ => Ok(()),
    }
}

fn print_difference(difference: &Difference) -> Result<()> {
    let none = "(none)";
    let old = difference.old.as_deref().unwrap_or(none);
    let new = difference.new.as_deref().unwrap_or(none);
    print_line(&format!("{}: {old} -> {new}", difference.path))
}

fn read_config(path: &Path) -> Result<Config, Report<Error>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| unreadable_file(&name, source))?;
    Ok(Config::parse(&name, &text)?)
}

#[cold]
fn unreadable_file(name: &str, source: io::Error) -> Report<Error> {
    let fault = format!("it cannot be read: {source}");
    let error = Error::config(name, fault, "check the path and permissions");
    Report::new(source).change_context(error)
}

fn run_trace(trace: &Trace) -> Result<(), Report<Error>> {
    let mut lines = Vec::new();
    for path in &trace.files {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|source| unreadable_file(&name, source))?;
        lines.extend(trace::parse(&text));
    }
    let subject = match (trace.flow, &trace.endpoint) {
        (Some(flow), _) => Subject::Flow(flow.to_string()),
        (None, Some(endpoint)) => Subject::Endpoint(endpoint.clone()),
        (None, None) => return Err(missing_subject().into()),
    };
    let report = trace::build_report(lines, &subject);
    for line in &report.lines {
        print_line(line)?;
    }
    Ok(print_line(&report.summary)?)
}

#[cold]
fn missing_subject() -> Error {
    let remedy = "pass --flow IP:PORT of the caller or --endpoint NAME";
    Error::setting("trace", "nothing to look for".to_owned(), remedy)
}

fn run_dump(dump: &Dump) -> Result<(), Report<Error>> {
    let addr: SocketAddr = dump.addr.parse().map_err(|_| invalid_addr(&dump.addr))?;
    let path = match &dump.table {
        Some(table) => format!("/dump/{table}"),
        None => "/dump".to_owned(),
    };
    let uri: Uri = format!("http://{addr}{path}")
        .parse()
        .map_err(|_| unknown_table())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::io("start a runtime", source))?;
    let text = runtime.block_on(fetch_dump(addr, uri))?;
    Ok(print_line(&text)?)
}

#[cold]
fn invalid_addr(text: &str) -> Error {
    let remedy = "write the process's --ops address, as in 127.0.0.1:9080";
    Error::setting("ADDR", format!("`{text}` is not an address"), remedy)
}

#[cold]
fn unknown_table() -> Error {
    let remedy = "leave --table out to see all tables";
    Error::setting("--table", "no table has such a name", remedy)
}

async fn fetch_dump(addr: SocketAddr, uri: Uri) -> Result<String> {
    let response = tokio::time::timeout(DUMP_TIMEOUT, send_request(addr, uri)).await;
    let (status, body) = response.map_err(|_| Error::peer(addr, "no answer in time"))??;
    let text = String::from_utf8_lossy(&body).into_owned();
    let value: Value =
        serde_json::from_slice(&body).map_err(|_| Error::peer(addr, "the answer is not JSON"))?;
    match status {
        StatusCode::OK => Ok(format!("{value:#}")),
        StatusCode::NOT_FOUND => Err(unknown_table()),
        _ => Err(Error::peer(addr, text)),
    }
}

async fn send_request(addr: SocketAddr, uri: Uri) -> Result<(StatusCode, Bytes)> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let response = client
        .get(uri)
        .await
        .map_err(|error| Error::peer(addr, root_cause(&error)))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_DUMP_BYTES)
        .collect()
        .await
        .map_err(|error| Error::peer(addr, error.to_string()))?;
    Ok((status, body.to_bytes()))
}

/// Message of the innermost error.
fn root_cause(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => root_cause(source),
        None => error.to_string(),
    }
}
