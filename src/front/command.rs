//! Command line of the program: its commands, their flags and exit statuses.

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
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::{Map, Value, json};
use tokio::runtime::Runtime;

use super::inspect::{self, Inspection};
use super::relay as relay_host;
use super::serve;
use super::settings::{self, Flags, Settings, flags};
use super::trace::{self, Subject};
use crate::config::{Config, Difference, KEYS};
use crate::error::{Error, Result};
use crate::systems::Tuning;

/// Exit status of a command that failed.
const FAILURE_STATUS: u8 = 1;

/// Exit status for an invalid file, flag or environment variable.
const INVALID_INPUT_STATUS: u8 = 2;

/// Default port of the operators' server on the platform; the customary port of metrics
/// exporters.
const DEFAULT_OPS_PORT: u16 = 9_464;

/// Timeout of a dump request.
const DUMP_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a dump, in bytes.
const MAX_DUMP_BYTES: usize = 256 << 20;

/// Maximum width of the help text, in characters.
const HELP_WIDTH: usize = 100;

/// A layer-4 load balancer.
#[derive(Bpaf, Clone)]
#[bpaf(options, version, footer(COMMAND_FOOTER))]
enum Command {
    /// Run a host that balances traffic.
    #[bpaf(command, usage(SERVE_USAGE), footer(SERVE_FOOTER))]
    Serve(#[bpaf(external(flags), map(Box::new))] Box<Flags>),

    /// Run a host on the platform, with the settings file that
    /// `JACINTHHINGE_CONFIG` names.
    #[bpaf(command)]
    Relay(#[bpaf(external(relay))] RelayFlags),

    /// Print the log lines of all hosts about one flow or endpoint in time order, with
    /// a one-sentence summary.
    #[bpaf(command)]
    Trace(#[bpaf(external(trace))] Trace),

    /// Check a configuration file and exit with status 2 if it is invalid.
    #[bpaf(command)]
    Check(#[bpaf(external(check))] Check),

    /// Print the tables of a running process as JSON.
    #[bpaf(command)]
    Dump(#[bpaf(external(dump))] Dump),

    /// Explain where a new flow would go now and why, without sending it.
    #[bpaf(command, footer(WHERE_FOOTER))]
    Where(#[bpaf(external(inspect_flags))] InspectFlags),
}

#[derive(Bpaf, Clone)]
#[bpaf(generate(relay))]
struct RelayFlags {
    /// Settings file, overrides `JACINTHHINGE_CONFIG`
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
    /// Port of the operators' server for metrics, dumps and probes, 9464 by default
    #[bpaf(argument("PORT"), fallback(DEFAULT_OPS_PORT))]
    ops_port: u16,
    /// Delay in milliseconds that sending a flow to another zone must save, overrides
    /// `JACINTHHINGE_ZONE_COST`; 20 by default
    #[bpaf(argument("MS"))]
    zone_cost: Option<String>,
    /// Log level, or a list of levels by module; info by default
    #[bpaf(argument("LEVEL"), fallback("info".to_owned()))]
    log: String,
}

#[derive(Bpaf, Clone)]
struct Check {
    /// Print each effective value and its source, for a scope such as
    /// `endpoint/a-3` or `service/adserve class/photo`
    #[bpaf(argument("SCOPE"))]
    explain: Option<String>,
    /// Print the changes from OTHER to FILE, and reject an unsafe change
    #[bpaf(argument("OTHER"))]
    diff: Option<PathBuf>,
    /// Print the values to publish on the platform, without the secrets in `keys`
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
    #[bpaf(positional("LOG"), some("pass at least one log file"))]
    files: Vec<PathBuf>,
}

#[derive(Bpaf, Clone)]
struct Dump {
    /// Print only this table
    #[bpaf(argument("NAME"))]
    table: Option<String>,
    /// Address that the process was given with --ops
    #[bpaf(positional("ADDR"))]
    addr: String,
}

#[derive(Bpaf, Clone)]
#[bpaf(generate(inspect_flags))]
struct InspectFlags {
    /// Address of the caller, with or without its port, to count its other requests and the
    /// endpoints that it has tried
    #[bpaf(argument("ADDR"))]
    caller: Option<String>,
    /// Address of the operators' server of a running host, as for `dump`
    #[bpaf(argument("URL"))]
    from: Option<String>,
    /// File with the output of `dump`, instead of a running host
    #[bpaf(argument("FILE"))]
    dump: Option<PathBuf>,
    /// Print one JSON object instead of text
    json: bool,
    /// Front address, or name of a route or a service
    #[bpaf(positional("FRONT"))]
    front: String,
}

const WHERE_FOOTER: &str =
    "Each row is an endpoint. The ones that the flow may get are marked with \
    `*`, one that gets it as a trial with `t`. Lower tiers go first, then lower scores; with \
    several choices, there is one tier for each. The last column tells what speaks against an \
    endpoint.
 Examples:
  jacinthhinge where 198.18.0.1:8443 --from 10.1.0.10:9464
  jacinthhinge where streams --caller 192.0.2.7:40001 --from 10.1.0.10:9464 --json
  jacinthhinge where streams --dump saved.json";

const COMMAND_FOOTER: &str = "Examples:
  jacinthhinge check config/hraunvik.toml
  jacinthhinge check config/hraunvik.toml --explain endpoint/a-3
  jacinthhinge check new.toml --diff published.toml
  jacinthhinge dump 127.0.0.1:9080 --table flows
  jacinthhinge where 198.18.0.1:8443 --from 10.1.0.10:9464
  jacinthhinge trace --flow 192.0.2.7:40001 sv-a-1.log sv-b-1.log
  jacinthhinge serve --help";

const SERVE_USAGE: &str = "Usage: jacinthhinge serve --name=NAME --zone=ZONE --region=REGION \
    --peer-addr=IP:PORT --lane=IP:PORT --platform=http://IP:PORT --key=SECRET [OPTIONS]";

const SERVE_FOOTER: &str =
    "A flag that is not given is read from the environment: --peer-addr from \
    JACINTHHINGE_PEER_ADDR, and so on; lists are separated by commas. Pass secrets that way, \
    since other users of the machine can read flags.
 Example:
 JACINTHHINGE_KEY=... jacinthhinge serve --name sv-a-1 --zone sv-a
      --region is-sudvestur --peer-addr 10.1.0.3:9000 --lane 10.1.0.3:9100
      --platform http://10.1.0.9:8500 --peer 10.1.0.4:9000";

/// Runs the command that the program's arguments name and returns the exit status.
#[must_use]
pub fn run() -> ExitCode {
    let command = match command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_failure(&failure),
    };
    let result = match command {
        Command::Serve(flags) => run_serve(*flags),
        Command::Relay(flags) => run_relay(flags),
        Command::Check(check) => run_check(&check),
        Command::Trace(trace) => run_trace(&trace),
        Command::Dump(dump) => run_dump(&dump),
        Command::Where(flags) => run_where(&flags),
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
        ParseFailure::Stderr(_) => ExitCode::from(INVALID_INPUT_STATUS),
        _ => ExitCode::SUCCESS,
    }
}

fn exit_code(error: &Error) -> ExitCode {
    use crate::error::Category::{Config, Setting};
    match error.classify() {
        Config | Setting => ExitCode::from(INVALID_INPUT_STATUS),
        _ => ExitCode::from(FAILURE_STATUS),
    }
}

fn run_serve(flags: Flags) -> Result<(), Report<Error>> {
    let settings = Settings::new(flags, |name| std::env::var(name).ok())?;
    settings.check_bind()?;
    serve::run(&settings)
}

fn run_relay(flags: RelayFlags) -> Result<(), Report<Error>> {
    let variable = || std::env::var(settings::ZONE_COST_VARIABLE).ok();
    let zone_cost = flags.zone_cost.or_else(variable);
    let zone_cost = match zone_cost.filter(|text| !text.is_empty()) {
        Some(text) => settings::parse_zone_cost(&text)?,
        None => Tuning::DEFAULT.zone_cost,
    };
    relay_host::run(flags.settings, flags.ops_port, zone_cost, &flags.log)
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

/// Prints a line. A closed pipe, as with `head`, is not an error.
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
    let fault = format!("the file cannot be read: {source}");
    let error = Error::config(name, fault, "check the path and the permissions");
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
    let remedy = "pass --flow with the caller's IP:PORT, or --endpoint NAME";
    Error::setting("trace", "no flow or endpoint is given".to_owned(), remedy)
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
    let text = client_runtime()?.block_on(fetch_dump(addr, uri))?;
    Ok(print_line(&text)?)
}

/// Returns the runtime for a request to a running host.
fn client_runtime() -> Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::io("start a runtime", source))
}

fn run_where(flags: &InspectFlags) -> Result<(), Report<Error>> {
    let caller = flags.caller.as_deref().map(inspect::parse_caller);
    let caller = caller.transpose()?;
    let inspection = match (&flags.from, &flags.dump) {
        (Some(from), None) => {
            let host = from.strip_prefix("http://").unwrap_or(from);
            let host = host.trim_end_matches('/');
            let addr: SocketAddr = host.parse().map_err(|_| invalid_host(from))?;
            client_runtime()?.block_on(fetch_explanation(addr, &flags.front, caller))?
        }
        (None, Some(_)) if caller.is_some() => return Err(caller_without_host().into()),
        (None, Some(file)) => inspect::read_dump(file, &flags.front)?,
        _ => return Err(ambiguous_source().into()),
    };
    let text = if flags.json {
        format!("{:#}", json!(inspection))
    } else {
        inspect::render(&inspection)
    };
    Ok(print_line(&text)?)
}

#[cold]
fn invalid_host(text: &str) -> Error {
    let remedy = "pass the address of the operators' server, such as 10.1.0.10:9464";
    Error::setting("--from", format!("`{text}` is not an address"), remedy)
}

#[cold]
fn caller_without_host() -> Error {
    let fault = "a dump explains only flows of a caller that has none yet";
    Error::setting(
        "--caller",
        fault,
        "omit it, or use --from with a running host",
    )
}

#[cold]
fn ambiguous_source() -> Error {
    let remedy = "pass --from with the address of a running host, or --dump FILE, but not both";
    Error::setting("where", "the source of the tables is not clear", remedy)
}

/// Asks the host at `addr` where a flow would go.
async fn fetch_explanation(
    addr: SocketAddr,
    front: &str,
    caller: Option<SocketAddr>,
) -> Result<Inspection> {
    let encode = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
    let caller = caller.map_or_else(String::new, |caller| {
        format!("&caller={}", encode(&caller.to_string()))
    });
    let uri = format!("http://{addr}/where?front={}{caller}", encode(front));
    let uri: Uri = uri
        .parse()
        .map_err(|_| Error::setting("FRONT", "too long", "pass a name or an address"))?;
    let response = tokio::time::timeout(DUMP_TIMEOUT, send_request(addr, uri)).await;
    let (status, body) =
        response.map_err(|_| Error::peer(addr, "no response within the time limit"))??;
    if status == StatusCode::OK {
        return inspect::parse_answer(addr, &body);
    }
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    let (fault, remedy) = (text_of(&answer, "error"), text_of(&answer, "remedy"));
    Err(match status {
        StatusCode::NOT_FOUND if fault == "unknown path" => {
            Error::peer(addr, "its release does not have `where`")
        }
        StatusCode::NOT_FOUND => Error::setting("FRONT", fault, remedy),
        _ => Error::peer(addr, format!("{fault}; {remedy}")),
    })
}

fn text_of(answer: &Value, field: &str) -> String {
    answer[field].as_str().unwrap_or_default().to_owned()
}

#[cold]
fn invalid_addr(text: &str) -> Error {
    let remedy = "pass the --ops address of the process, such as 127.0.0.1:9080";
    Error::setting("ADDR", format!("`{text}` is not an address"), remedy)
}

#[cold]
fn unknown_table() -> Error {
    let remedy = "omit --table to print all tables";
    Error::setting("--table", "unknown table", remedy)
}

async fn fetch_dump(addr: SocketAddr, uri: Uri) -> Result<String> {
    let response = tokio::time::timeout(DUMP_TIMEOUT, send_request(addr, uri)).await;
    let (status, body) =
        response.map_err(|_| Error::peer(addr, "no response within the time limit"))??;
    let text = String::from_utf8_lossy(&body).into_owned();
    let value: Value =
        serde_json::from_slice(&body).map_err(|_| Error::peer(addr, "the response is not JSON"))?;
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

/// Returns the message of the innermost error.
fn root_cause(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => root_cause(source),
        None => error.to_string(),
    }
}
