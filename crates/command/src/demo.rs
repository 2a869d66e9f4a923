//! `sparlug demo`: runs a small deployment on loopback, shows a live table of its requests and injects faults
//! on key presses.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

use clap::Args;
use sparlug_lab::clock::{Micros, Timestamp};
use sparlug_lab::record::{Record, RecordKind};
use sparlug_lab::run::{self, Options};
use sparlug_lab::run_figures;
use sparlug_lab::scenario::Fault;
use sparlug_lab::scenario_file::ScenarioFile;

use crate::lab::{command_error, current_program, install_stop_flag};
use crate::CommandError;

const SCENARIO: &str = include_str!("demo.toml");
const TABLE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Args)]
pub struct Demo {
    /// How long it goes on, such as 5s; without it until Ctrl-C or q
    #[arg(long = "for", value_name = "SPAN")]
    duration: Option<Micros>,
    /// Where the proxy listens
    #[arg(long, default_value = "127.0.0.1:8080")]
    listen: SocketAddr,
    /// So many proxies; several are members of one fleet, and the table shows whom each sees
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=12))]
    proxies: u64,
    /// Requests a second of its own callers
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// A fault after three seconds
    #[arg(long, value_name = "crash|stall|drain|kill")]
    fault: Option<String>,
}

/// Figures of the live table, updated from the lab's records as they are written.
#[derive(Default)]
struct LiveStats {
    served: u64,
    refused: u64,
    failed: u64,
    /// Latencies of served requests since the last table, in microseconds.
    latencies_us: Vec<u64>,
    /// Requests in flight at each backend.
    in_flight: BTreeMap<String, i64>,
    /// Requests that reached each backend since the last table.
    arrivals: BTreeMap<String, u64>,
    /// State of each backend and proxy, as text.
    states: BTreeMap<String, String>,
    /// For each proxy: how many members it sees present, how many it considers dead, and the member count by
    /// which it divides the tier.
    views: BTreeMap<String, (usize, usize, u64)>,
    total_served: u64,
}

impl LiveStats {
    fn apply(&mut self, record: Record) {
        let Record { t, component, kind } = record;
        match kind {
            RecordKind::ResponseReceived { status: 200, .. } => {
                self.served += 1;
                self.total_served += 1;
            }
            RecordKind::ResponseReceived { status: 429 | 503, .. } => self.refused += 1,
            RecordKind::ResponseReceived { .. }
            | RecordKind::ConnectionLost { .. }
            | RecordKind::GaveUp { .. } => self.failed += 1,
            RecordKind::IntentFinished { due, served: true, .. } => {
                self.latencies_us.push(t.since(due).0 as u64)
            }
            RecordKind::Arrived { .. } => {
                *self.in_flight.entry(component.clone()).or_default() += 1;
                *self.arrivals.entry(component).or_default() += 1;
            }
            RecordKind::Refused { .. } | RecordKind::Finished { .. } | RecordKind::CallerGone { .. } => {
                *self.in_flight.entry(component).or_default() -= 1;
            }
            RecordKind::MembershipView { proxy, present, dead, member_count } => {
                self.views.insert(proxy, (present.len(), dead.len(), member_count));
            }
            RecordKind::ProxyDown { proxy, how } => {
                self.views.remove(&proxy);
                self.states.insert(proxy, how);
            }
            RecordKind::ProxyUp { proxy } => drop(self.states.insert(proxy, "up".to_string())),
            RecordKind::Started { warm, .. } => {
                let state = if warm { "up" } else { "up, restarted cold" };
                self.states.insert(component, state.to_string());
            }
            RecordKind::Stopped { how } => {
                self.in_flight.insert(component.clone(), 0);
                self.states.insert(component, how);
            }
            RecordKind::Fault { text, on, .. } => {
                if let Some((fault, component)) = text.split_once(' ') {
                    let state = if on { fault.to_lowercase() } else { "up".to_string() };
                    self.states.insert(component.to_string(), state);
                }
            }
            _ => {}
        }
    }

    /// Formats the table and resets the counts that it shows per second.
    fn table(&mut self, seconds: u64) -> String {
        let mut histogram = run_figures::histogram();
        self.latencies_us.drain(..).for_each(|us| histogram.record(us.max(1)).unwrap_or_default());
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let (p50, p99) = (quantile_ms(0.5), quantile_ms(0.99));
        let mut output = format!(
            "{seconds:>4} s   served {:>4}/s   refused {:>3}/s   failed {:>3}/s   p50 {p50:>5.1} ms   p99 {p99:>5.1} ms\n",
            self.served, self.refused, self.failed
        );
        for (host, state) in self.states.iter().filter(|(host, _)| host.contains("/s-")) {
            let in_flight = self.in_flight.get(host).copied().unwrap_or(0).max(0);
            let arrivals = self.arrivals.get(host).copied().unwrap_or(0);
            output += &format!("      {host:<10} {in_flight:>3} in flight {arrivals:>4}/s   {state}\n");
        }
        if !self.views.is_empty() {
            for (proxy, state) in self.states.iter().filter(|(name, _)| name.contains("/p-")) {
                let view = self.views.get(proxy).map_or(
                    "sees no members yet".to_string(),
                    |(present, dead, member_count)| {
                        format!("sees {present} present, {dead} dead, divides by {member_count}")
                    },
                );
                output += &format!("      {proxy:<10} {state:<6} {view}\n");
            }
        }
        (self.served, self.refused, self.failed) = (0, 0, 0);
        self.arrivals.clear();
        output
    }
}

/// Follows a file of records: each call reads the lines appended since the previous one.
struct RecordTail {
    reader: Option<BufReader<File>>,
    /// A line whose end is not written yet.
    partial_line: String,
}

impl RecordTail {
    fn read(&mut self, path: &Path, stats: &mut LiveStats) {
        if self.reader.is_none() {
            self.reader = File::open(path).ok().map(BufReader::new);
        }
        let Some(reader) = &mut self.reader else { return };
        while reader.read_line(&mut self.partial_line).is_ok_and(|read| read > 0) {
            if !self.partial_line.ends_with('\n') {
                break;
            }
            if let Ok(record) = serde_json::from_str(&self.partial_line) {
                stats.apply(record);
            }
            self.partial_line.clear();
        }
    }
}

/// The fault for a key or a fault's name; `injected_count` spreads the faults over the four backends.
fn fault_for_key(key: &str, injected_count: usize) -> Option<Fault> {
    let backend = format!("demo/s-{}", injected_count % 4);
    let (component, kind, duration_ms) = match key {
        "c" | "crash" => (backend, "crash", 3000),
        "s" | "stall" => (backend, "stall", 2000),
        "d" | "drain" => (backend, "drain", 4000),
        "k" | "kill" => ("demo/p-0".to_string(), "kill", 500),
        _ => return None,
    };
    Fault::now(&component, kind, Micros::from_millis(duration_ms))
}

/// Reads keys from standard input on a thread of its own and sends their faults; `q` raises SIGINT.
fn read_keys(faults: Sender<Fault>, first_count: usize) {
    std::thread::spawn(move || {
        let mut injected_count = first_count;
        for line in std::io::stdin().lines().map_while(Result::ok) {
            let key = line.trim();
            if key == "q" {
                let _ = signal_hook::low_level::raise(signal_hook::consts::SIGINT);
                return;
            }
            match fault_for_key(key, injected_count) {
                Some(fault) => {
                    injected_count += 1;
                    if faults.send(fault).is_err() {
                        return;
                    }
                }
                None => eprintln!("keys: c crash, s stall, d drain, k kill the proxy, q quit"),
            }
        }
    });
}

impl Demo {
    pub fn run(self) -> Result<(), CommandError> {
        let mut source =
            ScenarioFile::of(Path::new("demo.toml"), SCENARIO.to_string()).map_err(CommandError::failure)?;
        let duration = self.duration.unwrap_or(Micros::from_millis(3_600_000));
        if duration < Micros::from_millis(1000) || !(0.1..=5000.0).contains(&self.rate) {
            return Err(CommandError::usage("--for must be at least 1s and --rate between 0.1 and 5000"));
        }
        let settings = [
            format!("lasts=\"{duration}\""),
            "short=\"1s\"".to_string(),
            format!("load.rate={:?}", self.rate),
        ];
        let fleet_settings = [
            format!("tier.0.proxies={}", self.proxies),
            "tier.0.fleet={members=true, talk=false}".to_string(),
        ];
        let fleet_settings = fleet_settings.iter().filter(|_| self.proxies > 1);
        fleet_settings
            .chain(&settings)
            .try_for_each(|setting| source.set(setting))
            .map_err(CommandError::failure)?;
        let scenario = source.scenario(None, false).map_err(CommandError::failure)?;
        let (fault_sender, fault_receiver): (Sender<Fault>, Receiver<Fault>) = channel();
        let mut pending_fault = match &self.fault {
            None => None,
            Some(name) => {
                let fault = fault_for_key(name, 1).ok_or_else(|| {
                    CommandError::usage(format!("--fault {name}: expected crash, stall, drain or kill"))
                })?;
                Some(fault)
            }
        };
        let stop = install_stop_flag()?;
        let dir = std::env::temp_dir().join(format!("sparlug-demo-{}", std::process::id()));
        let options = Options {
            program: current_program()?,
            dir: dir.clone(),
            stop,
            first_proxy_address: Some(self.listen),
        };
        let is_terminal = std::io::stdout().is_terminal();
        if std::io::stdin().is_terminal() {
            read_keys(fault_sender.clone(), 2);
        }
        let (mut stats, mut tail) =
            (LiveStats::default(), RecordTail { reader: None, partial_line: String::new() });
        let records_path = run::records_path(&dir);
        let (mut last_shown, mut table_lines, mut started_at) = (Instant::now(), 0, None);
        let mut progress = |_: f64| {
            tail.read(&records_path, &mut stats);
            if started_at.is_none() {
                started_at = Some(Timestamp::now());
                last_shown = Instant::now();
                println!("A proxy in front of four backends listens on {}. Send it requests:\n", self.listen);
                println!("  curl -H \"Request-Id: $RANDOM$RANDOM\" http://{}/check-free", self.listen);
                println!(
                    "  curl -X POST -H \"Request-Id: $RANDOM$RANDOM\" http://{}/book-slot\n",
                    self.listen
                );
                if std::io::stdin().is_terminal() {
                    println!("Keys, with Enter: c crash a backend, s stall one, d drain one, k kill the proxy, q quit\n");
                }
            }
            let elapsed = started_at.map_or(Micros::ZERO, |started_at| Timestamp::now().since(started_at));
            if elapsed > Micros::from_millis(3000) {
                if let Some(fault) = pending_fault.take() {
                    let _ = fault_sender.send(fault);
                }
            }
            if last_shown.elapsed() >= TABLE_INTERVAL {
                last_shown = Instant::now();
                let table = stats.table(elapsed.0 as u64 / 1_000_000);
                if is_terminal && table_lines > 0 {
                    print!("\x1b[{table_lines}A\x1b[J");
                }
                table_lines = table.lines().count();
                print!("{table}");
                let _ = std::io::stdout().flush();
            }
        };
        let result = run::run_with(&scenario, scenario.seed, &options, Some(&fault_receiver), &mut progress);
        tail.read(&records_path, &mut stats);
        let _ = std::fs::remove_dir_all(&dir);
        match result {
            Ok(_) => {}
            Err(run::Failure::Interrupted) if stats.total_served > 0 => {}
            Err(failure) => return Err(command_error(failure)),
        }
        println!("served {} requests", stats.total_served);
        if stats.total_served == 0 {
            return Err(CommandError::failure("no request was served"));
        }
        Ok(())
    }
}
