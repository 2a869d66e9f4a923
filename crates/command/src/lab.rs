//! `sparlug lab`: runs experiments, lists them, and shows and compares what came of them.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use sparlug_lab::experiment::{self, Plan, Results};
use sparlug_lab::scenario::Source;
use sparlug_lab::world::Failure;
use sparlug_lab::{peer, report};

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
        let bar = if self.quiet || !std::io::stderr().is_terminal() {
            ProgressBar::hidden()
        } else {
            ProgressBar::new(1000)
        };
        if let Ok(style) = ProgressStyle::with_template("{msg:<24} [{bar:40}] {percent:>3}%  {eta} left") {
            bar.set_style(style);
        }
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
            Lab::Peer => peer::peer_main().map_err(Failed::could_not),
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
