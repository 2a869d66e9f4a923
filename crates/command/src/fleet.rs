//! `sparlug fleet`: asks proxies at their operators' addresses who is there, and sets their answers beside each other.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use clap::{Subcommand, ValueEnum};
use serde_json::Value;

use crate::Failed;

const PATIENCE: Duration = Duration::from_secs(2);

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
        #[arg(value_enum)]
        what: What,
        /// The duty's name
        duty: String,
    },
}

#[derive(Clone, Copy, ValueEnum)]
pub enum What {
    Pause,
    Resume,
}

/// One proxy's answer.
struct View {
    address: SocketAddr,
    name: String,
    states: BTreeMap<String, String>,
    /// Of each duty: whether it is held there, under which term, and who is said to hold it.
    duties: BTreeMap<String, (bool, u64, Option<String>)>,
    line: String,
}

/// One call; the body of an answer of 200.
fn call(address: SocketAddr, call: &str) -> Result<String, String> {
    let fail = |e: std::io::Error| format!("{address}: no answer: {e}");
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).map_err(fail)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(fail)?;
    stream.write_all(format!("{call} HTTP/1.1\r\nHost: fleet\r\n\r\n").as_bytes()).map_err(fail)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(fail)?;
    let (head, body) =
        text.split_once("\r\n\r\n").ok_or_else(|| format!("{address}: no answer that can be read"))?;
    if !head.starts_with("HTTP/1.1 200") {
        return Err(format!("{address}: {}", body.trim()));
    }
    Ok(body.to_string())
}

fn ask(address: SocketAddr) -> Result<View, String> {
    let body = call(address, "GET /fleet")?;
    let json: Value =
        serde_json::from_str(&body).map_err(|e| format!("{address}: no answer that can be read: {e}"))?;
    let text = |value: &Value, field: &str| value[field].as_str().unwrap_or_default().to_string();
    let members = json["members"].as_array().cloned().unwrap_or_default();
    let states = members.iter().map(|member| (text(member, "name"), text(member, "state"))).collect();
    let duties = json["duties"].as_array().cloned().unwrap_or_default();
    let held = |duty: &Value| {
        let holder = duty["holder"].as_str().map(str::to_string);
        (text(duty, "name"), (duty["held_here"] == true, duty["term"].as_u64().unwrap_or(0), holder))
    };
    let duties = duties.iter().map(held).collect();
    let line = format!(
        "{:<24} {:<20} {:>5} of {:>4}  {:<8} divides by {:>4}{}",
        text(&json, "self"),
        address.to_string(),
        json["alive"],
        json["expected"],
        if json["majority"] == true { "majority" } else { "minority" },
        json["counted"],
        if json["kept_out"] == true { "  KEPT OUT" } else { "" },
    );
    Ok(View { address, name: text(&json, "self"), states, duties, line })
}

impl Fleet {
    pub fn run(self) -> Result<(), Failed> {
        let addresses = match self {
            Fleet::Status { addresses } => addresses,
            Fleet::Duty { address, what, duty } => {
                let what = if matches!(what, What::Pause) { "pause" } else { "resume" };
                let done = call(address, &format!("PUT /fleet/duties/{what}/{duty}"));
                return done.map(|_| ()).map_err(Failed::could_not);
            }
        };
        let answers: Vec<_> = std::thread::scope(|scope| {
            let threads: Vec<_> =
                addresses.iter().map(|address| scope.spawn(move || ask(*address))).collect();
            threads.into_iter().map(|thread| thread.join()).collect()
        });
        let (mut views, mut silent) = (Vec::new(), Vec::new());
        for answer in answers {
            match answer.unwrap_or_else(|_| Err("an asker panicked".to_string())) {
                Ok(view) => views.push(view),
                Err(why) => silent.push(why),
            }
        }
        views.iter().for_each(|view| println!("{}", view.line));
        let (table, differ) = table(&views);
        print!("\n{table}{}", held(&views));
        silent.iter().for_each(|why| println!("{why}"));
        match (differ, silent.len()) {
            (0, 0) => Ok(()),
            (0, silent) => Err(Failed::could_not(format!("{silent} of {} gave no answer", addresses.len()))),
            (differ, _) => Err(Failed::could_not(format!("views differ on {differ} members"))),
        }
    }
}

/// Members by viewers; a row on which they disagree bears a mark.
fn table(views: &[View]) -> (String, usize) {
    let names: BTreeSet<&String> = views.iter().flat_map(|view| view.states.keys()).collect();
    let mut out = format!("{:<24}", "member");
    views.iter().for_each(|view| out += &format!(" {:>10}", short(&view.name, view.address)));
    out.push('\n');
    let mut differ = 0;
    for name in names {
        let states: Vec<&str> =
            views.iter().map(|view| view.states.get(name).map_or("-", String::as_str)).collect();
        let there = |state: &&str| matches!(*state, "alive" | "suspect");
        let mixed = states.iter().any(there) && !states.iter().all(there);
        differ += usize::from(mixed);
        out += &format!("{name:<24}");
        states.iter().for_each(|state| out += &format!(" {state:>10}"));
        out += if mixed { "  <- they disagree\n" } else { "\n" };
    }
    (out, differ)
}

/// Duties with those that hold them, and with who others say does where nobody that was asked holds them.
fn held(views: &[View]) -> String {
    let names: BTreeSet<&String> = views.iter().flat_map(|view| view.duties.keys()).collect();
    let mut out = String::new();
    for name in names {
        let of = |view: &View| view.duties.get(name).cloned();
        let here = views.iter().filter_map(|view| of(view).filter(|held| held.0).map(|held| (view, held.1)));
        let here: Vec<String> = here.map(|(view, term)| format!("{} (term {term})", view.name)).collect();
        let told = views.iter().filter_map(|view| of(view)?.2).next();
        let by = match here.len() {
            0 => told.map_or("nobody".to_string(), |name| format!("{name}, as others say")),
            _ => here.join(", "),
        };
        // The answers were not given at one moment: a change in between shows so, and twice in a row is a fault.
        let twice = if here.len() > 1 { "  <- HELD BY TWO" } else { "" };
        out += &format!("duty {name:<20} {by}{twice}\n");
    }
    out
}

fn short(name: &str, address: SocketAddr) -> String {
    if name.is_empty() {
        return address.port().to_string();
    }
    let from = name.len().saturating_sub(10);
    name.get(from..).unwrap_or(name).to_string()
}
