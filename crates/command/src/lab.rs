//! `sparlug lab`: lists and runs scenarios, searches for schedules of faults that break a rule or a bound,
//! and reports and compares results.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use sparlug_lab::clock::Micros;
use sparlug_lab::experiment::{self, Experiment, Results};
use sparlug_lab::rules::Rule;
use sparlug_lab::run::Failure;
use sparlug_lab::scenario_file::ScenarioFile;
use sparlug_lab::search::{self, Finding, Search};
use sparlug_lab::{component, report};

use crate::{hold, CommandError};

#[derive(Subcommand)]
pub enum Lab {
    /// Run a scenario's variants and judge the four rules and its bounds
    Run(RunArguments),
    /// List the scenarios of a folder
    List {
        #[arg(default_value = "lab")]
        folder: PathBuf,
    },
    /// Search for schedules of faults that break a rule or a bound, and cut them down
    Hunt(SearchArguments),
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
pub struct SearchArguments {
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
    duration: Option<Micros>,
    /// No run begins after so many seconds
    #[arg(long)]
    seconds: Option<f64>,
    /// So many runs at once; a third of the cores unless it is given
    #[arg(long)]
    jobs: Option<usize>,
    /// Change a field, such as load.rate=300 or tier.0.backends=8
    #[arg(long = "set", value_name = "KEY=VALUE")]
    settings: Vec<String>,
    /// Where the scenarios that were found go; `found` beside the file unless it is given
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// No progress bar
    #[arg(long)]
    quiet: bool,
}

impl SearchArguments {
    fn run(self) -> Result<(), CommandError> {
        let mut source = ScenarioFile::read(&self.file).map_err(CommandError::usage)?;
        self.settings.iter().try_for_each(|setting| source.set(setting)).map_err(CommandError::usage)?;
        if self.duration.is_some_and(|duration| duration < Micros::from_millis(500)) {
            return Err(CommandError::usage("--for must be at least 500ms"));
        }
        let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
        let search = Search {
            source,
            program: current_program()?,
            seed: self.seed,
            runs: self.runs,
            duration: self.duration,
            jobs: self.jobs.unwrap_or(cores / 3).clamp(1, 25),
            time_limit_s: self.seconds,
            out: self.out.unwrap_or_else(|| search::default_folder(&self.file)),
            stop: install_stop_flag()?,
        };
        let progress = progress_bar(self.quiet, self.runs);
        let show_progress = |played: u64, found: usize, activity: &str| {
            progress.set_position(played);
            progress.set_message(if activity.is_empty() {
                format!("{found} found")
            } else {
                activity.to_string()
            });
        };
        let outcome = search.run(&show_progress);
        progress.finish_and_clear();
        let outcome = outcome.map_err(command_error)?;
        for found in &outcome.found {
            let broken_checks: Vec<&str> = found.broken_checks.iter().map(String::as_str).collect();
            let (remaining, drawn, (broken, replays)) = (found.faults.len(), found.drawn, found.replayed);
            println!("schedule {}: breaks {}: {}", found.number, broken_checks.join(", "), found.text);
            match replays {
                0 => println!("  {} ({drawn} faults, as drawn)", found.path.display()),
                _ => println!(
                    "  {} ({remaining} of {drawn} faults, broke {broken} times of {replays})",
                    found.path.display()
                ),
            }
        }
        println!(
            "{} schedules run, {} void, {} break a rule or a bound",
            outcome.played,
            outcome.void,
            outcome.found.len()
        );
        let rule_names: Vec<&str> = Rule::ALL.iter().map(|rule| rule.name()).collect();
        let breaks_rule =
            |found: &Finding| found.broken_checks.iter().any(|check| rule_names.contains(&check.as_str()));
        match outcome.found.len() {
            0 => Ok(()),
            count if outcome.found.iter().any(breaks_rule) => Err(CommandError {
                exit_status: 3,
                message: format!("{count} schedules break a rule or a bound"),
            }),
            count => Err(CommandError { exit_status: 4, message: format!("{count} schedules miss a bound") }),
        }
    }
}

/// A progress bar on standard error; hidden with `--quiet` or if standard error is not a terminal.
fn progress_bar(quiet: bool, length: u64) -> ProgressBar {
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
pub struct RunArguments {
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
    settings: Vec<String>,
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

/// Installs handlers of SIGINT and SIGTERM that set the returned flag.
pub fn install_stop_flag() -> Result<Arc<AtomicBool>, CommandError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // A second signal ends the process at once, with exit status 1.
        let installed = signal_hook::flag::register_conditional_shutdown(signal, 1, stop.clone())
            .and_then(|_| signal_hook::flag::register(signal, stop.clone()));
        installed.map_err(|e| CommandError::failure(format!("cannot install signal handlers: {e}")))?;
    }
    Ok(stop)
}

/// Maps a failed run of the lab to an error of the command line.
pub fn command_error(failure: Failure) -> CommandError {
    match failure {
        Failure::Environment(message) => CommandError::failure(message),
        Failure::InvalidInput(message) => CommandError::usage(message),
        Failure::Interrupted => {
            CommandError::failure("interrupted; all processes of the run have been stopped")
        }
    }
}

/// Path of this executable, which the lab also starts for proxies and for components in processes of their
/// own.
pub fn current_program() -> Result<PathBuf, CommandError> {
    std::env::current_exe().map_err(|e| CommandError::failure(format!("cannot find this program: {e}")))
}

fn read_results(path: &Path) -> Result<Results, CommandError> {
    let invalid_file = |e: String| CommandError::usage(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| invalid_file(e.to_string()))?;
    let results: Results =
        serde_json::from_str(&text).map_err(|e| invalid_file(format!("not the results of a run: {e}")))?;
    if results.schema != experiment::SCHEMA {
        return Err(invalid_file(format!(
            "results have schema {}, expected {}",
            results.schema,
            experiment::SCHEMA
        )));
    }
    Ok(results)
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), CommandError> {
    std::fs::write(path, bytes)
        .map_err(|e| CommandError::failure(format!("cannot write {}: {e}", path.display())))
}

impl RunArguments {
    /// Runs all files and reports the errors of all. The exit status is that of the worst error; from worst
    /// to least: a broken rule (3), invalid input (2), a failed run (1), a missed bound (4).
    fn run(&self) -> Result<(), CommandError> {
        let stop = install_stop_flag()?;
        let mut worst: Option<CommandError> = None;
        for file in &self.files {
            let path_for_file = |dir: &PathBuf| match self.files.len() {
                1 => dir.clone(),
                _ => dir.join(file.file_stem().unwrap_or_default()),
            };
            let (out, json) = (self.out.as_ref().map(path_for_file), self.json.as_ref().map(path_for_file));
            let json = json.map(|json| if self.files.len() > 1 { json.with_extension("json") } else { json });
            if let (Some(folder), true) = (json.as_ref().and_then(|json| json.parent()), self.files.len() > 1)
            {
                let created = std::fs::create_dir_all(folder);
                created.map_err(|e| {
                    CommandError::failure(format!("cannot write to {}: {e}", folder.display()))
                })?;
            }
            let severity =
                |error: &CommandError| [4, 1, 2, 3].iter().position(|status| *status == error.exit_status);
            if let Err(error) = self.run_file(file, out.as_deref(), json.as_deref(), stop.clone()) {
                if stop.load(std::sync::atomic::Ordering::Relaxed) {
                    return Err(error);
                }
                let message = format!("{}: {}", file.display(), error.message);
                let error = CommandError { exit_status: error.exit_status, message };
                worst = match worst {
                    Some(previous) if severity(&previous) >= severity(&error) => Some(CommandError {
                        message: format!("{}\n{}", previous.message, error.message),
                        ..previous
                    }),
                    Some(previous) => Some(CommandError {
                        message: format!("{}\n{}", previous.message, error.message),
                        ..error
                    }),
                    None => Some(error),
                };
            }
        }
        worst.map_or(Ok(()), Err)
    }

    /// Runs one scenario file, prints its results and writes the requested files.
    fn run_file(
        &self,
        file: &Path,
        out: Option<&Path>,
        json: Option<&Path>,
        stop: Arc<AtomicBool>,
    ) -> Result<(), CommandError> {
        let mut source = ScenarioFile::read(file).map_err(CommandError::usage)?;
        self.settings.iter().try_for_each(|setting| source.set(setting)).map_err(CommandError::usage)?;
        let program = current_program()?;
        let (seed, seeds, short, kept_records) =
            (self.seed, self.seeds, self.short, out.map(Path::to_path_buf));
        let plan = Experiment { source, seed, seeds, short, program, out: kept_records, stop };
        let progress = progress_bar(self.quiet, 1000);
        let runs = plan.run(&mut |done, total, fraction, variant| {
            progress.set_message(format!("{} {}/{total}", variant, done + 1));
            progress.set_position(((done as f64 + fraction.clamp(0.0, 1.0)) / total as f64 * 1000.0) as u64);
        });
        progress.finish_and_clear();
        let runs = runs.map_err(command_error)?;
        let results = experiment::results(&runs);
        for run in &runs {
            let suffix = if run.skip_rules { " (a baseline, not judged)" } else { "" };
            if !run.timelines.is_empty() && !run.skip_rules {
                println!("{} {}{suffix}:", run.variant, run.seed);
                run.timelines.iter().for_each(|line| println!("  {line}"));
            }
        }
        println!("{}: {}", results.scenario, file.display());
        print!("{}", experiment::table(&results));
        println!("rules_broken: {}", results.rules_broken);
        let bytes = serde_json::to_vec_pretty(&results).map_err(|e| CommandError::failure(e.to_string()))?;
        if let Some(path) = json {
            write(path, &bytes)?;
        }
        if let Some(out) = out {
            write(&out.join("results.json"), &bytes)?;
            let scenario = std::fs::read_to_string(file).unwrap_or_default();
            write(&out.join("scenario.toml"), scenario.as_bytes())?;
            let page = report::page(&results, &report::charts(&runs).map_err(CommandError::failure)?);
            write(&out.join("report.html"), page.as_bytes())?;
            println!("report: {}", out.join("report.html").display());
        }
        match results.status() {
            0 => Ok(()),
            1 if results.void => Err(CommandError::failure(
                "run void: the lab's emulated network between the proxies was itself late",
            )),
            3 => Err(CommandError {
                exit_status: 3,
                message: format!("{} rules broken", results.rules_broken),
            }),
            1 => Err(CommandError::failure("bounds missed, but the machine was too busy to tell")),
            exit_status => {
                Err(CommandError { exit_status, message: format!("{} bounds missed", results.bounds_missed) })
            }
        }
    }
}

impl Lab {
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Lab::Run(run) => run.run(),
            Lab::Hunt(search) => search.run(),
            Lab::List { folder } => list(&folder),
            Lab::Report { out } => {
                let results = read_results(&out.join("results.json"))?;
                let source = ScenarioFile::read(&out.join("scenario.toml")).map_err(CommandError::usage)?;
                let charts =
                    report::charts_from_records(&results, &source, &out).map_err(CommandError::usage)?;
                let path = out.join("report.html");
                write(&path, report::page(&results, &charts).as_bytes())?;
                println!("report: {}", path.display());
                Ok(())
            }
            Lab::Compare { a, b } => {
                print!("{}", report::compare(&read_results(&a)?, &read_results(&b)?));
                Ok(())
            }
            Lab::Peer => component::process_main().map_err(CommandError::failure),
            Lab::Hold { pin, program } => hold::exec_with_parent(pin, &program),
        }
    }
}

/// Prints the scenarios in a folder, one line each.
fn list(folder: &Path) -> Result<(), CommandError> {
    let files =
        std::fs::read_dir(folder).map_err(|e| CommandError::usage(format!("{}: {e}", folder.display())))?;
    let mut files: Vec<PathBuf> = files.flatten().map(|entry| entry.path()).collect();
    files.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
    files.sort();
    for path in files {
        let source = ScenarioFile::read(&path).map_err(CommandError::usage)?;
        let scenario = source.scenario(None, false).map_err(CommandError::usage)?;
        let runs = scenario.variants.len().max(1);
        println!("{:<28} {:>4.0} s x {runs}  {}", path.display(), scenario.duration.secs(), scenario.about);
    }
    Ok(())
}
