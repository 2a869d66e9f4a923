//! Runs a scenario's variants with each seed, paired and interleaved, and combines their results.

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::figures::Figures;
use crate::rules::{self, Verdict};
use crate::run::{self, CompletedRun, Failure};
use crate::run_figures::{self, Slice};
use crate::scenario::{Scenario, Variant};
use crate::scenario_file::ScenarioFile;
use crate::{arrivals, record};

/// Version of the JSON results' schema; increases when a field changes its meaning.
pub const SCHEMA: u32 = 1;

pub struct Experiment {
    pub source: ScenarioFile,
    pub seed: Option<u64>,
    pub seeds: u64,
    pub short: bool,
    pub program: PathBuf,
    /// The folder that keeps the records; without it they are deleted after the run.
    pub out: Option<PathBuf>,
    pub stop: Arc<AtomicBool>,
}

/// One run of one variant.
pub struct RunOutcome {
    pub variant: String,
    pub seed: u64,
    /// Whether the rules are not judged, as for a baseline.
    pub skip_rules: bool,
    pub plan: String,
    pub scenario: Scenario,
    pub ran: CompletedRun,
    pub figures: Figures,
    pub verdict: Verdict,
    pub series: Vec<Slice>,
    pub missed: Vec<String>,
    /// The printed timelines of the breaches.
    pub timelines: Vec<String>,
}

/// The ratio of a figure between two variants over all seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ratio {
    pub figure: String,
    pub of: String,
    pub to: String,
    /// The median, minimum and maximum over the seeds.
    pub ratio: f64,
    pub least: f64,
    pub most: f64,
    pub missed: Option<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunResult {
    pub variant: String,
    pub seed: u64,
    #[serde(rename = "lawless")]
    pub skip_rules: bool,
    /// A hash of all planned arrivals and faults.
    pub plan: String,
    pub rules_broken: usize,
    pub breaches: Vec<String>,
    pub taken: usize,
    pub excused: usize,
    pub crossed: usize,
    pub late_p99_us: i64,
    pub late_max_us: i64,
    /// The machine was too busy for time checks to be reliable.
    pub unsure: bool,
    /// Why the run is invalid, if it is.
    #[serde(default)]
    pub void: Option<String>,
    pub missed: Vec<String>,
    pub figures: Figures,
    /// Counts over time, in slices of equal length.
    #[serde(default)]
    pub series: Vec<Slice>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Results {
    pub schema: u32,
    pub scenario: String,
    pub lasts_s: f64,
    /// Total over all runs whose rules count.
    pub rules_broken: usize,
    pub bounds_missed: usize,
    pub unsure: bool,
    /// Whether a run was invalid since its simulated network between proxies was late itself.
    #[serde(default)]
    pub void: bool,
    pub runs: Vec<RunResult>,
    pub ratios: Vec<Ratio>,
}

impl Results {
    /// The exit status of the command.
    pub fn status(&self) -> u8 {
        match self {
            r if r.void => 1,
            r if r.rules_broken > 0 => 3,
            r if r.bounds_missed > 0 && r.unsure => 1,
            r if r.bounds_missed > 0 => 4,
            _ => 0,
        }
    }
}

impl Experiment {
    /// Resolves all variants, which validates the input before any process starts.
    pub fn variants(&self) -> Result<Vec<(Variant, Scenario)>, String> {
        let base = self.source.scenario(None, self.short)?;
        let plain = Variant::unchanged();
        let mut variants = if base.variants.is_empty() { vec![plain] } else { base.variants.clone() };
        for (key, values) in &base.matrix {
            let with = |variant: &Variant, value: &toml::Value| {
                let mut variant = variant.clone();
                variant.name = format!("{} {key}={value}", variant.name);
                variant.set.insert(key.clone(), value.clone());
                variant
            };
            variants = variants.iter().flat_map(|v| values.iter().map(move |value| with(v, value))).collect();
        }
        let with = |variant: Variant| {
            let scenario = self.source.scenario(Some(&variant), self.short)?;
            Ok((variant, scenario))
        };
        variants.into_iter().map(with).collect()
    }

    /// Runs all variants and seeds; `progress` gets the number of completed runs, the total, the completed
    /// part of the current run and its variant.
    pub fn run(&self, progress: &mut dyn FnMut(usize, usize, f64, &str)) -> Result<Vec<RunOutcome>, Failure> {
        let variants = self.variants().map_err(Failure::InvalidInput)?;
        let first = self.seed.unwrap_or_else(|| variants.first().map_or(1, |(_, scenario)| scenario.seed));
        let total = variants.len() * self.seeds as usize;
        let scratch = Scratch::new(self.out.as_deref()).map_err(Failure::Environment)?;
        let mut runs = Vec::new();
        for seed in first..first + self.seeds {
            for (variant, scenario) in &variants {
                let done = runs.len();
                let dir = run::run_dir(&scratch.dir, &variant.name, seed);
                let (program, stop) = (self.program.clone(), self.stop.clone());
                let options = run::Options { program, dir, stop, first_proxy_address: None };
                let mut report_part = |part: f64| progress(done, total, part, &variant.name);
                let ran = run::run(scenario, seed, &options, &mut report_part)?;
                let run =
                    RunOutcome::of(variant, scenario.clone(), seed, ran).map_err(Failure::Environment)?;
                runs.push(run);
                if self.out.is_none() {
                    let _ = std::fs::remove_dir_all(&options.dir);
                }
            }
        }
        Ok(runs)
    }
}

/// The folder of the runs, deleted at the end unless the user named it.
struct Scratch {
    dir: PathBuf,
    keep: bool,
}

impl Scratch {
    fn new(out: Option<&Path>) -> Result<Scratch, String> {
        let scratch = || {
            use std::sync::atomic::{AtomicU32, Ordering};
            static COUNT: AtomicU32 = AtomicU32::new(0);
            let count = COUNT.fetch_add(1, Ordering::Relaxed);
            std::env::temp_dir().join(format!("sparlug-lab-{}-{count}", std::process::id()))
        };
        let dir = out.map_or_else(scratch, Path::to_path_buf);
        std::fs::create_dir_all(&dir).map_err(|e| format!("cannot write to {}: {e}", dir.display()))?;
        let dir = dir.canonicalize().map_err(|e| format!("{}: {e}", dir.display()))?;
        Ok(Scratch { dir, keep: out.is_some() })
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl RunOutcome {
    pub fn of(
        variant: &Variant,
        scenario: Scenario,
        seed: u64,
        ran: CompletedRun,
    ) -> Result<RunOutcome, String> {
        let records = record::read(&run::records_path(&ran.dir))?;
        let verdict = rules::judge(&records, &scenario);
        let figures = run_figures::figures(&records, &scenario, ran.start);
        let mut missed = figures.missed(&scenario.bounds);
        let series = run_figures::slices(&records, ran.start, ran.duration);
        if figures.intents == 0 {
            missed.push("no intent was ever over: nothing was measured".to_string());
        }
        let mut timelines = Vec::new();
        for breach in verdict.breaches.iter().take(5) {
            let at = (breach.at.0 - ran.start.0) as f64 / 1000.0;
            timelines.push(format!("rule broken: {}, at {at:.1} ms: {}", breach.rule.name(), breach.text));
            if let Some(id) = &breach.id {
                let logs = read_logs(&ran.dir);
                timelines.extend(
                    rules::timeline(&records, id, ran.start, &logs).into_iter().map(|l| format!("    {l}")),
                );
            }
        }
        let (variant, skip_rules) = (variant.name.clone(), variant.skip_rules);
        let faults = records.iter().filter_map(|record| match &record.kind {
            record::RecordKind::Fault { text, on, .. } => Some(format!("{text} {on}")),
            _ => None,
        });
        // For a closed loop, the seed identifies the plan: the requests sent depend on the responses.
        let arrivals = if scenario.load.closed > 0 {
            seed
        } else {
            arrivals::digest(&arrivals::intents(&scenario, seed))
        };
        let plan = format!(
            "{arrivals:016x}-{:016x}",
            arrivals::hash_with_seed(0, &faults.collect::<Vec<_>>().join(";"))
        );
        Ok(RunOutcome {
            variant,
            seed,
            skip_rules,
            plan,
            scenario,
            ran,
            figures,
            verdict,
            series,
            missed,
            timelines,
        })
    }

    fn result(&self) -> RunResult {
        let v = &self.verdict;
        RunResult {
            variant: self.variant.clone(),
            seed: self.seed,
            skip_rules: self.skip_rules,
            plan: self.plan.clone(),
            rules_broken: v.breaches.len(),
            breaches: v.breaches.iter().take(50).map(|b| format!("{}: {}", b.rule.name(), b.text)).collect(),
            taken: v.accepted,
            excused: v.excused,
            crossed: v.close_races,
            late_p99_us: v.late_p99.0,
            late_max_us: v.late.0,
            unsure: v.unsure(),
            void: v.void.clone(),
            missed: self.missed.clone(),
            figures: self.figures.clone(),
            series: self.series.clone(),
        }
    }
}

fn read_logs(dir: &Path) -> Vec<(String, String)> {
    let files = std::fs::read_dir(dir).into_iter().flatten().flatten().map(|entry| entry.path());
    let logs = files.filter(|path| path.extension().is_some_and(|e| e == "log"));
    let read = |path: PathBuf| {
        let name = path.file_stem()?.to_string_lossy().into_owned();
        Some((name, std::fs::read_to_string(&path).ok()?))
    };
    logs.filter_map(read).collect()
}

/// Combines the runs into results.
pub fn results(runs: &[RunOutcome]) -> Results {
    let scenario = runs.first().map(|run| &run.scenario);
    let of = |variant: &str, figure: &str| -> Vec<(u64, f64)> {
        let own = runs.iter().filter(|run| run.variant == variant);
        own.filter_map(|run| Some((run.seed, run.figures.get(figure)?))).collect()
    };
    let mut ratios = Vec::new();
    for compare in scenario.iter().flat_map(|scenario| &scenario.comparisons) {
        let (a, b) = (of(&compare.of, &compare.figure), of(&compare.to, &compare.figure));
        let mut all: Vec<f64> = Vec::new();
        for (seed, value) in a {
            let other = b.iter().find(|(other, _)| *other == seed);
            all.extend(other.filter(|(_, other)| *other != 0.0).map(|(_, other)| value / other));
        }
        all.sort_by(f64::total_cmp);
        let ratio = all.get(all.len() / 2).copied().unwrap_or(f64::NAN);
        let description = || format!("{} of {} to {} is {ratio:.3}", compare.figure, compare.of, compare.to);
        let high = compare.most.filter(|most| ratio > *most || ratio.is_nan());
        let low = compare.least.filter(|least| ratio < *least || ratio.is_nan());
        let high = high.map(|most| format!("{}, wanted at most {most}", description()));
        let missed = high.or_else(|| low.map(|least| format!("{}, wanted at least {least}", description())));
        ratios.push(Ratio {
            figure: compare.figure.clone(),
            of: compare.of.clone(),
            to: compare.to.clone(),
            ratio,
            least: all.first().copied().unwrap_or(f64::NAN),
            most: all.last().copied().unwrap_or(f64::NAN),
            missed,
        });
    }
    let judged = runs.iter().filter(|run| !run.skip_rules);
    Results {
        schema: SCHEMA,
        scenario: scenario.map(|scenario| scenario.name.clone()).unwrap_or_default(),
        lasts_s: scenario.map_or(0.0, |scenario| scenario.duration.secs()),
        rules_broken: judged.map(|run| run.verdict.breaches.len()).sum(),
        bounds_missed: runs.iter().map(|run| run.missed.len()).sum::<usize>()
            + ratios.iter().filter(|ratio| ratio.missed.is_some()).count(),
        unsure: runs.iter().any(|run| run.verdict.unsure()),
        void: runs.iter().any(|run| run.verdict.void.is_some()),
        runs: runs.iter().map(RunOutcome::result).collect(),
        ratios,
    }
}

/// The table of fleet figures; empty if no run has any.
fn fleet_table(results: &Results) -> String {
    let has_figures = |run: &&RunResult| {
        let f = &run.figures.fleet;
        f.dead_first > 0 || f.cold_most > 0.0 || f.back_s > 0.0 || f.talk_per_s > 0.0 || f.moved > 0.0
    };
    if results.runs.iter().filter(has_figures).count() == 0 {
        return String::new();
    }
    let mut out = format!(
        "{:<14} {:>6} {:>9} {:>7} {:>6} {:>9} {:>8} {:>6} {:>6} {:>8} {:>8} {:>7} {:>8}\n",
        "fleet",
        "seed",
        "dead 6 s",
        "then/s",
        "cold",
        "backends",
        "proxies",
        "moved",
        "calm",
        "talk/s",
        "B/s",
        "back s",
        "wakes/s"
    );
    for run in &results.runs {
        let f = &run.figures.fleet;
        out += &format!(
            "{:<14} {:>6} {:>9} {:>7.2} {:>6.2} {:>9.2} {:>8.2} {:>6.2} {:>6.2} {:>8.1} {:>8.0} {:>7.1} {:>8.1}\n",
            run.variant, run.seed, f.dead_first, f.dead_per_s, f.cold_most, f.backend_spread, f.proxy_spread,
            f.moved, f.moved_calm, f.talk_per_s, f.talk_bytes_per_s, f.back_s, f.proxy_wakeups
        );
    }
    out
}

/// The lines on membership and duties; empty if no proxy was polled.
fn members_table(results: &Results) -> String {
    let was_polled = |run: &&RunResult| run.figures.fleet.shares_most > 0.0;
    let mut out = String::new();
    for run in results.runs.iter().filter(was_polled) {
        let f = &run.figures.fleet;
        out += &format!(
            "members, {} {}: a killed one gone after {:.1} s (most {:.1}), {} false deaths, all agree after {:.1} s, \
             parts at most {:.2}, {:.1} ms/s and {:.0} wakes/s each\n",
            run.variant, run.seed, f.gone_s, f.gone_most_s, f.false_deaths, f.agree_s, f.shares_most, f.proxy_cpu_ms,
            f.proxy_wakeups
        );
        if f.duties > 0 {
            out += &format!(
                "duties, {} {}: {} held, {} changes of holder, held twice {} times, a killed one's held again after \
                 {:.1} s at the most, a leaving one's after {:.2} s\n",
                run.variant, run.seed, f.duties, f.duties_changed, f.duties_twice, f.duties_gap_s, f.duties_left_s
            );
        }
    }
    out
}

/// The summary table printed after the runs.
pub fn table(results: &Results) -> String {
    let mut out = format!(
        "{:<14} {:>6} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {:>7} {:>7} {:>6}\n",
        "variant",
        "seed",
        "intents",
        "honoured",
        "at end",
        "p50 ms",
        "p99 ms",
        "refused",
        "failed",
        "amplif.",
        "rules"
    );
    for run in &results.runs {
        let f = &run.figures;
        let rules = match run.rules_broken {
            0 => "kept".to_string(),
            n if run.skip_rules => format!("({n})"),
            n => n.to_string(),
        };
        out += &format!(
            "{:<14} {:>6} {:>8} {:>8.2}% {:>8.2}% {:>8.1} {:>8.1} {:>8} {:>7} {:>7.2} {:>6}\n",
            run.variant,
            run.seed,
            f.intents,
            100.0 * f.honoured_share,
            100.0 * f.end_honoured_share,
            f.p50_ms,
            f.p99_ms,
            f.turned_back,
            f.forfeited + f.lost,
            f.amplification,
            rules
        );
    }
    out += &fleet_table(results);
    out += &members_table(results);
    for r in &results.ratios {
        let (figure, of, to) = (&r.figure, &r.of, &r.to);
        out +=
            &format!("{figure}, {of} to {to}: {:.3} ({:.3} to {:.3} over seeds)\n", r.ratio, r.least, r.most);
    }
    for run in results.runs.iter().filter(|run| run.unsure) {
        let late = run.late_p99_us as f64 / 1000.0;
        out += &format!(
            "{} {}: the machine was too busy, the lab itself ran {late:.1} ms late (p99)\n",
            run.variant, run.seed
        );
    }
    for (run, why) in results.runs.iter().filter_map(|run| Some((run, run.void.as_ref()?))) {
        out += &format!("{} {}: void: {why}\n", run.variant, run.seed);
    }
    let missed = results
        .runs
        .iter()
        .flat_map(|run| run.missed.iter().map(|m| format!("{} {}: {m}", run.variant, run.seed)));
    let missed = missed.chain(results.ratios.iter().filter_map(|r| r.missed.clone()));
    missed.for_each(|line| out += &format!("bound missed: {line}\n"));
    out
}
