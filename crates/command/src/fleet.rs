//! `sparlug fleet`: reads the fleet status of several proxies over their management addresses and compares
//! their views of members and duties; pauses and resumes duties on one proxy.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use clap::{Subcommand, ValueEnum};
use serde_json::Value;

use crate::CommandError;

/// Limit for connecting to a proxy, and for each read of its response.
const PROXY_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Subcommand)]
pub enum Fleet {
    /// Print who sees whom, with what they disagree on marked; status 1 where views differ
    Status {
        /// Operators' addresses of some proxies
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
    },
    /// Have one proxy not hold a duty, so that another does, or allow it again
    Duty {
        /// The proxy's operators' address
        address: SocketAddr,
        #[arg(id = "what", value_name = "WHAT", value_enum)]
        action: DutyAction,
        /// The duty's name
        duty: String,
    },
}

/// What `sparlug fleet duty` does with a duty.
#[derive(Clone, Copy, ValueEnum)]
pub enum DutyAction {
    Pause,
    Resume,
}

/// The fleet as one proxy reports it.
struct ProxyView {
    address: SocketAddr,
    name: String,
    /// State of each member, by the member's name.
    states: BTreeMap<String, String>,
    /// For each duty: whether this proxy holds it, the term, and the holder that the proxy knows of.
    duties: BTreeMap<String, (bool, u64, Option<String>)>,
    /// The proxy's row in the printed overview.
    line: String,
}

/// Sends one HTTP request and returns the body of the response; any status but 200 is an error.
fn http_request(address: SocketAddr, request_line: &str) -> Result<String, String> {
    let connection_error = |e: std::io::Error| format!("{address}: no answer: {e}");
    let mut stream = TcpStream::connect_timeout(&address, PROXY_TIMEOUT).map_err(connection_error)?;
    stream.set_read_timeout(Some(PROXY_TIMEOUT)).map_err(connection_error)?;
    stream
        .write_all(format!("{request_line} HTTP/1.1\r\nHost: fleet\r\n\r\n").as_bytes())
        .map_err(connection_error)?;
    let mut response = String::new();
    stream.read_to_string(&mut response).map_err(connection_error)?;
    let (head, body) =
        response.split_once("\r\n\r\n").ok_or_else(|| format!("{address}: no answer that can be read"))?;
    if !head.starts_with("HTTP/1.1 200") {
        return Err(format!("{address}: {}", body.trim()));
    }
    Ok(body.to_string())
}

/// Fetches and parses a proxy's view of the fleet.
fn fetch_view(address: SocketAddr) -> Result<ProxyView, String> {
    let body = http_request(address, "GET /fleet")?;
    let json: Value =
        serde_json::from_str(&body).map_err(|e| format!("{address}: no answer that can be read: {e}"))?;
    let string_field = |value: &Value, field: &str| value[field].as_str().unwrap_or_default().to_string();
    let members = json["members"].as_array().cloned().unwrap_or_default();
    let states =
        members.iter().map(|member| (string_field(member, "name"), string_field(member, "state"))).collect();
    let duties = json["duties"].as_array().cloned().unwrap_or_default();
    let parse_duty = |duty: &Value| {
        let holder = duty["holder"].as_str().map(str::to_string);
        (string_field(duty, "name"), (duty["held_here"] == true, duty["term"].as_u64().unwrap_or(0), holder))
    };
    let duties = duties.iter().map(parse_duty).collect();
    let line = format!(
        "{:<24} {:<20} {:>5} of {:>4}  {:<8} divides by {:>4}{}",
        string_field(&json, "self"),
        address.to_string(),
        json["alive"],
        json["expected"],
        if json["majority"] == true { "majority" } else { "minority" },
        json["counted"],
        if json["kept_out"] == true { "  KEPT OUT" } else { "" },
    );
    Ok(ProxyView { address, name: string_field(&json, "self"), states, duties, line })
}

impl Fleet {
    pub fn run(self) -> Result<(), CommandError> {
        let addresses = match self {
            Fleet::Status { addresses } => addresses,
            Fleet::Duty { address, action, duty } => {
                let action = if matches!(action, DutyAction::Pause) { "pause" } else { "resume" };
                let result = http_request(address, &format!("PUT /fleet/duties/{action}/{duty}"));
                return result.map(|_| ()).map_err(CommandError::failure);
            }
        };
        let results: Vec<_> = std::thread::scope(|scope| {
            let threads: Vec<_> =
                addresses.iter().map(|address| scope.spawn(move || fetch_view(*address))).collect();
            threads.into_iter().map(|thread| thread.join()).collect()
        });
        let (mut views, mut failures) = (Vec::new(), Vec::new());
        for result in results {
            match result.unwrap_or_else(|_| Err("a thread that queried a proxy panicked".to_string())) {
                Ok(view) => views.push(view),
                Err(reason) => failures.push(reason),
            }
        }
        views.iter().for_each(|view| println!("{}", view.line));
        let (table, disagreements) = member_table(&views);
        print!("\n{table}{}", duty_table(&views));
        failures.iter().for_each(|reason| println!("{reason}"));
        match (disagreements, failures.len()) {
            (0, 0) => Ok(()),
            (0, failures) => Err(CommandError::failure(format!(
                "{failures} of {} proxies could not be queried",
                addresses.len()
            ))),
            (disagreements, _) => {
                Err(CommandError::failure(format!("views differ on {disagreements} members")))
            }
        }
    }
}

/// A table with a row per member and a column per proxy, and the number of members on which the proxies
/// disagree; their rows are marked.
fn member_table(views: &[ProxyView]) -> (String, usize) {
    let names: BTreeSet<&String> = views.iter().flat_map(|view| view.states.keys()).collect();
    let mut output = format!("{:<24}", "member");
    views.iter().for_each(|view| output += &format!(" {:>10}", short_name(&view.name, view.address)));
    output.push('\n');
    let mut disagreements = 0;
    for name in names {
        let states: Vec<&str> =
            views.iter().map(|view| view.states.get(name).map_or("-", String::as_str)).collect();
        let is_present = |state: &&str| matches!(*state, "alive" | "suspect");
        let views_differ = states.iter().any(is_present) && !states.iter().all(is_present);
        disagreements += usize::from(views_differ);
        output += &format!("{name:<24}");
        states.iter().for_each(|state| output += &format!(" {state:>10}"));
        output += if views_differ { "  <- they disagree\n" } else { "\n" };
    }
    (output, disagreements)
}

/// One line per duty with the proxies that hold it; where none of the queried proxies does, the holder that
/// they report.
fn duty_table(views: &[ProxyView]) -> String {
    let names: BTreeSet<&String> = views.iter().flat_map(|view| view.duties.keys()).collect();
    let mut output = String::new();
    for name in names {
        let duty_in = |view: &ProxyView| view.duties.get(name).cloned();
        let held_here =
            views.iter().filter_map(|view| duty_in(view).filter(|duty| duty.0).map(|duty| (view, duty.1)));
        let holders: Vec<String> =
            held_here.map(|(view, term)| format!("{} (term {term})", view.name)).collect();
        let reported_holder = views.iter().filter_map(|view| duty_in(view)?.2).next();
        let holder_text = match holders.len() {
            0 => reported_holder.map_or("nobody".to_string(), |name| format!("{name}, as others say")),
            _ => holders.join(", "),
        };
        // The proxies were not queried at the same instant, so a change of holder in between can look like
        // two holders; seen in two runs in a row it is a fault.
        let warning = if holders.len() > 1 { "  <- HELD BY TWO" } else { "" };
        output += &format!("duty {name:<20} {holder_text}{warning}\n");
    }
    output
}

/// The last ten characters of a proxy's name, or its port if it has no name.
fn short_name(name: &str, address: SocketAddr) -> String {
    if name.is_empty() {
        return address.port().to_string();
    }
    let start = name.len().saturating_sub(10);
    name.get(start..).unwrap_or(name).to_string()
}
