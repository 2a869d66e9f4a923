//! `sparlug lab`: runs experiments, lists them, and shows and compares what came of them.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use sparlug_lab::clock::Micros;
use sparlug_lab::experiment::{self, Plan, Results};
use sparlug_lab::hunt::{self, Found, Search};
use sparlug_lab::ledger::Rule;
use sparlug_lab::source::Source;
use sparlug_lab::world::Failure;
use sparlug_lab::{component, report};

use crate::{hold, Failed};

#[derive(Subcommand)]
pub enum Lab {
    /// Run a scenario's variants and judge the four rules and its bounds
    Run(Run),
    /// List the scenarios of a folder
    List {
        #[arg(default_value = "lab")]
        folder: PathBuf,
    },
    /// Search for schedules of faults that break a rule or a bound, and cut them down
    Hunt(Hunt),
    /// Write the page of a run again from the records that --out kept
    Report { out: PathBuf },
    /// Set two JSON results beside each other
    Compare { a: PathBuf, b: PathBuf },
    /// Host one part of a run, told on standard input
    #[command(hide = true)]
    Peer,
    #[command(hide = true)]
    Hold {
        #[arg(long)]
        pin: Option<usize>,
        #[arg(last = true)]
        program: Vec<String>,
    },
}

#[derive(Args)]
pub struct Hunt {
    /// The scenario whose deployment, load and bounds are kept; its `[hunt]` says what is drawn
    file: PathBuf,
    /// Another seed draws other schedules
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many schedules
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    runs: u64,
    /// How long each lasts, instead of the file's
    #[arg(long = "for", value_name = "TIME")]
    lasts: Option<Micros>,
    /// No run begins after so many seconds
    #[arg(long)]
    seconds: Option<f64>,
    /// So many runs at once; a third of the cores unless it is given
    #[arg(long)]
    jobs: Option<usize>,
    /// Change a field, such as load.rate=300 or tier.0.backends=8
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// Where the scenarios that were found go; `found` beside the file unless it is given
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// No progress bar
    #[arg(long)]
    quiet: bool,
}

impl Hunt {
    fn run(self) -> Result<(), Failed> {
        let mut source = Source::read(&self.file).map_err(Failed::unusable)?;
        self.set.iter().try_for_each(|set| source.set(set)).map_err(Failed::unusable)?;
        if self.lasts.is_some_and(|lasts| lasts < Micros::from_millis(500)) {
            return Err(Failed::unusable("--for: wanted at least 500ms"));
        }
        let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
        let search = Search {
            source,
            program: own_program()?,
            seed: self.seed,
            runs: self.runs,
            lasts: self.lasts,
            jobs: self.jobs.unwrap_or(cores / 3).clamp(1, 25),
            seconds: self.seconds,
            out: self.out.unwrap_or_else(|| hunt::folder(&self.file)),
            stop: interrupted()?,
        };
        let bar = bar(self.quiet, self.runs);
        let told = |played: u64, found: usize, doing: &str| {
            bar.set_position(played);
            bar.set_message(if doing.is_empty() { format!("{found} found") } else { doing.to_string() });
        };
        let hunted = search.run(&told);
        bar.finish_and_clear();
        let hunted = hunted.map_err(failed)?;
        for found in &hunted.found {
            let marks: Vec<&str> = found.marks.iter().map(String::as_str).collect();
            let (left, drawn, (broke, of)) = (found.faults.len(), found.drawn, found.replayed);
            println!("schedule {}: breaks {}: {}", found.number, marks.join(", "), found.text);
            match of {
                0 => println!("  {} ({drawn} faults, as drawn)", found.path.display()),
                _ => println!(
                    "  {} ({left} of {drawn} faults, broke {broke} times of {of})",
                    found.path.display()
                ),
            }
        }
        println!(
            "{} schedules played, {} told nothing, {} break",
            hunted.played,
            hunted.void,
            hunted.found.len()
        );
        let ledgers: Vec<&str> = Rule::ALL.iter().map(|rule| rule.name()).collect();
        let rule = |found: &Found| found.marks.iter().any(|mark| ledgers.contains(&mark.as_str()));
        match hunted.found.len() {
            0 => Ok(()),
            n if hunted.found.iter().any(rule) => {
                Err(Failed { status: 3, text: format!("{n} schedules break") })
            }
            n => Err(Failed { status: 4, text: format!("{n} schedules miss a bound") }),
        }
    }
}

/// A bar on standard error, where somebody looks at it.
fn bar(quiet: bool, length: u64) -> ProgressBar {
    if quiet || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length);
    if let Ok(style) = ProgressStyle::with_template("{msg:<24} [{bar:40}] {percent:>3}%  {eta} left") {
        bar.set_style(style);
    }
    bar
}

#[derive(Args)]
pub struct Run {
    /// The scenarios, TOML files; with several, --out and --json name folders
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Draw everything from this seed instead of the file's
    #[arg(long)]
    seed: Option<u64>,
    /// Run so many seeds, from the first on
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Change a field, such as load.rate=300 or tier.0.backends=8
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// The short form, as CI runs it
    #[arg(long)]
    short: bool,
    /// Write the results as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Keep records and logs, and write a page with pictures
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// No progress bar
    #[arg(long)]
    quiet: bool,
}

/// Set when a signal asks for the end.
pub fn interrupted() -> Result<Arc<AtomicBool>, Failed> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // The second one ends at once.
        let hear = signal_hook::flag::register_conditional_shutdown(signal, 1, stop.clone())
            .and_then(|_| signal_hook::flag::register(signal, stop.clone()));
        hear.map_err(|e| Failed::could_not(format!("cannot hear signals: {e}")))?;
    }
    Ok(stop)
}

pub fn failed(failure: Failure) -> Failed {
    match failure {
        Failure::CouldNot(text) => Failed::could_not(text),
        Failure::Unusable(text) => Failed::unusable(text),
        Failure::Interrupted => Failed::could_not("interrupted; nothing is left running"),
    }
}

pub fn own_program() -> Result<PathBuf, Failed> {
    std::env::current_exe().map_err(|e| Failed::could_not(format!("cannot find this program: {e}")))
}

fn read_results(path: &Path) -> Result<Results, Failed> {
    let fail = |e: String| Failed::unusable(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| fail(e.to_string()))?;
    let results: Results =
        serde_json::from_str(&text).map_err(|e| fail(format!("no results of a run: {e}")))?;
    if results.schema != experiment::SCHEMA {
        return Err(fail(format!("schema {}, wanted {}", results.schema, experiment::SCHEMA)));
    }
    Ok(results)
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), Failed> {
    std::fs::write(path, bytes)
        .map_err(|e| Failed::could_not(format!("cannot write {}: {e}", path.display())))
}

impl Run {
    /// Runs all files; a broken rule counts more than what could not be run, and that more than a bound.
    fn run(&self) -> Result<(), Failed> {
        let stop = interrupted()?;
        let mut worst: Option<Failed> = None;
        for file in &self.files {
            let below = |dir: &PathBuf| match self.files.len() {
                1 => dir.clone(),
                _ => dir.join(file.file_stem().unwrap_or_default()),
            };
            let (out, json) = (self.out.as_ref().map(below), self.json.as_ref().map(below));
            let json = json.map(|json| if self.files.len() > 1 { json.with_extension("json") } else { json });
            if let (Some(folder), true) = (json.as_ref().and_then(|json| json.parent()), self.files.len() > 1)
            {
                let made = std::fs::create_dir_all(folder);
                made.map_err(|e| Failed::could_not(format!("cannot write to {}: {e}", folder.display())))?;
            }
            let rank = |failed: &Failed| [4, 1, 2, 3].iter().position(|status| *status == failed.status);
            if let Err(failed) = self.one(file, out.as_deref(), json.as_deref(), stop.clone()) {
                if stop.load(std::sync::atomic::Ordering::Relaxed) {
                    return Err(failed);
                }
                let text = format!("{}: {}", file.display(), failed.text);
                let failed = Failed { status: failed.status, text };
                worst = match worst {
                    Some(before) if rank(&before) >= rank(&failed) => {
                        Some(Failed { text: format!("{}\n{}", before.text, failed.text), ..before })
                    }
                    Some(before) => {
                        Some(Failed { text: format!("{}\n{}", before.text, failed.text), ..failed })
                    }
                    None => Some(failed),
                };
            }
        }
        worst.map_or(Ok(()), Err)
    }

    fn one(
        &self,
        file: &Path,
        out: Option<&Path>,
        json: Option<&Path>,
        stop: Arc<AtomicBool>,
    ) -> Result<(), Failed> {
        let mut source = Source::read(file).map_err(Failed::unusable)?;
        self.set.iter().try_for_each(|set| source.set(set)).map_err(Failed::unusable)?;
        let program = own_program()?;
        let (seed, seeds, short, kept) = (self.seed, self.seeds, self.short, out.map(Path::to_path_buf));
        let plan = Plan { source, seed, seeds, short, program, out: kept, stop };
        let bar = bar(self.quiet, 1000);
        let runs = plan.run(&mut |done, total, part, variant| {
            bar.set_message(format!("{} {}/{total}", variant, done + 1));
            bar.set_position(((done as f64 + part.clamp(0.0, 1.0)) / total as f64 * 1000.0) as u64);
        });
        bar.finish_and_clear();
        let runs = runs.map_err(failed)?;
        let results = experiment::results(&runs);
        for run in &runs {
            let beside = if run.lawless { " (a baseline, not judged)" } else { "" };
            if !run.timelines.is_empty() && !run.lawless {
                println!("{} {}{beside}:", run.variant, run.seed);
                run.timelines.iter().for_each(|line| println!("  {line}"));
            }
        }
        println!("{}: {}", results.scenario, file.display());
        print!("{}", experiment::table(&results));
        println!("rules_broken: {}", results.rules_broken);
        let bytes = serde_json::to_vec_pretty(&results).map_err(|e| Failed::could_not(e.to_string()))?;
        if let Some(path) = json {
            write(path, &bytes)?;
        }
        if let Some(out) = out {
            write(&out.join("results.json"), &bytes)?;
            let scenario = std::fs::read_to_string(file).unwrap_or_default();
            write(&out.join("scenario.toml"), scenario.as_bytes())?;
            let page = report::page(&results, &report::pictures(&runs).map_err(Failed::could_not)?);
            write(&out.join("report.html"), page.as_bytes())?;
            println!("report: {}", out.join("report.html").display());
        }
        match results.status() {
            0 => Ok(()),
            1 if results.void => {
                Err(Failed::could_not("void: what the lab put between proxies was late itself"))
            }
            3 => Err(Failed { status: 3, text: format!("{} rules broken", results.rules_broken) }),
            1 => Err(Failed::could_not("bounds missed, but the machine was too busy to tell")),
            status => Err(Failed { status, text: format!("{} bounds missed", results.bounds_missed) }),
        }
    }
}

impl Lab {
    pub fn run(self) -> Result<(), Failed> {
        match self {
            Lab::Run(run) => run.run(),
            Lab::Hunt(hunt) => hunt.run(),
            Lab::List { folder } => list(&folder),
            Lab::Report { out } => {
                let results = read_results(&out.join("results.json"))?;
                let source = Source::read(&out.join("scenario.toml")).map_err(Failed::unusable)?;
                let pictures = report::pictures_of(&results, &source, &out).map_err(Failed::unusable)?;
                let path = out.join("report.html");
                write(&path, report::page(&results, &pictures).as_bytes())?;
                println!("report: {}", path.display());
                Ok(())
            }
            Lab::Compare { a, b } => {
                print!("{}", report::compare(&read_results(&a)?, &read_results(&b)?));
                Ok(())
            }
            Lab::Peer => component::process_main().map_err(Failed::could_not),
            Lab::Hold { pin, program } => hold::hold(pin, &program),
        }
    }
}

fn list(folder: &Path) -> Result<(), Failed> {
    let files =
        std::fs::read_dir(folder).map_err(|e| Failed::unusable(format!("{}: {e}", folder.display())))?;
    let mut files: Vec<PathBuf> = files.flatten().map(|entry| entry.path()).collect();
    files.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
    files.sort();
    for path in files {
        let source = Source::read(&path).map_err(Failed::unusable)?;
        let scenario = source.scenario(None, false).map_err(Failed::unusable)?;
        let runs = scenario.variants.len().max(1);
        println!("{:<28} {:>4.0} s x {runs}  {}", path.display(), scenario.lasts.secs(), scenario.about);
    }
    Ok(())
}
