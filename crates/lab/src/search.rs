//! Searches for failing fault schedules: draws random schedules and runs several at once. A schedule that
//! breaks a rule or a bound is reduced to the fewest and shortest faults that still break it and written as a
//! scenario that can be replayed.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::arrivals;
use crate::clock::Micros;
use crate::experiment::RunOutcome;
use crate::fault_schedule;
use crate::run::{self, Failure};
use crate::scenario::{Fault, Variant};
use crate::scenario_file::ScenarioFile;

/// The rules and bounds that a schedule breaks; they distinguish one failure from another.
pub type BrokenChecks = BTreeSet<String>;

/// A reduced schedule is accepted only if it fails in each of this many runs.
const CONFIRMATION_RUNS: usize = 2;
/// How often the reduced schedule is replayed at the end.
pub const REPLAYS: usize = 5;
const MIN_FAULT_DURATION: Micros = Micros::from_millis(100);
const SEED_MASK: u64 = 0x7fff_ffff; // a range that fits a scenario file and is readable

pub struct Search {
    pub source: ScenarioFile,
    pub program: PathBuf,
    pub seed: u64,
    pub runs: u64,
    /// The duration of each run, instead of the scenario's.
    pub duration: Option<Micros>,
    pub jobs: usize,
    /// No run starts after this many seconds.
    pub time_limit_s: Option<f64>,
    /// The folder for the scenarios found.
    pub out: PathBuf,
    pub stop: Arc<AtomicBool>,
}

/// A schedule that breaks a rule or a bound.
#[derive(Clone, Debug)]
pub struct Finding {
    pub number: u64,
    pub broken_checks: BrokenChecks,
    pub faults: Vec<Fault>,
    /// Number of faults before the reduction.
    pub drawn: usize,
    pub path: PathBuf,
    /// How many replays failed in the same way, and the number of replays.
    pub replayed: (usize, usize),
    /// The first breach or missed bound, in words.
    pub text: String,
}

#[derive(Clone, Debug, Default)]
pub struct SearchResult {
    pub played: u64,
    /// Inconclusive runs: the machine was too busy, or the lab itself interfered.
    pub void: u64,
    pub found: Vec<Finding>,
}

/// The result of running a schedule.
enum RunResult {
    Passed,
    Failed(BrokenChecks, String),
    Inconclusive,
}

impl Search {
    /// The seed of the n-th schedule and of its load.
    fn seed_of(&self, number: u64) -> u64 {
        arrivals::hash_with_seed(self.seed, &format!("hunt {number}")) & SEED_MASK
    }

    fn is_over(&self, started_at: Instant) -> bool {
        self.stop.load(Ordering::Relaxed)
            || self.time_limit_s.is_some_and(|most| started_at.elapsed().as_secs_f64() >= most)
    }

    fn run_duration(&self) -> Result<Micros, Failure> {
        let scenario = self.source.scenario(None, false).map_err(Failure::InvalidInput)?;
        Ok(self.duration.unwrap_or(scenario.duration))
    }

    /// Runs a schedule once.
    fn play(&self, faults: &[Fault], seed: u64) -> Result<RunResult, Failure> {
        let source =
            self.source.with_faults(faults, seed, self.run_duration()?).map_err(Failure::InvalidInput)?;
        let scenario = source.scenario(None, false).map_err(Failure::InvalidInput)?;
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("sparlug-hunt-{}-{count}", std::process::id()));
        let (program, stop) = (self.program.clone(), self.stop.clone());
        let options = run::Options { program, dir: dir.clone(), stop, first_proxy_address: None };
        let ran = run::run(&scenario, seed, &options, &mut |_| {});
        let run = ran.and_then(|ran| {
            RunOutcome::of(&Variant::unchanged(), scenario, seed, ran).map_err(Failure::Environment)
        });
        let _ = std::fs::remove_dir_all(&dir);
        let run = run?;
        let verdict = &run.verdict;
        if verdict.void.is_some() {
            return Ok(RunResult::Inconclusive);
        }
        let mut broken_checks: BrokenChecks =
            verdict.breaches.iter().map(|breach| breach.rule.name().to_string()).collect();
        if verdict.unsure() && broken_checks.is_empty() && !run.missed.is_empty() {
            return Ok(RunResult::Inconclusive);
        }
        if !verdict.unsure() {
            let name = |missed: &String| missed.split(' ').next().unwrap_or_default().to_string();
            broken_checks.extend(run.missed.iter().map(name));
        }
        let text = verdict.breaches.first().map(|breach| format!("{}: {}", breach.rule.name(), breach.text));
        let text = text.or_else(|| run.missed.first().cloned()).unwrap_or_default();
        Ok(if broken_checks.is_empty() { RunResult::Passed } else { RunResult::Failed(broken_checks, text) })
    }

    /// How many of the runs of a candidate break one of the given rules or bounds.
    fn count_failures(
        &self,
        faults: &[Fault],
        seed: u64,
        checks: &BrokenChecks,
        times: usize,
    ) -> Result<usize, Failure> {
        let is_failure =
            |result: &RunResult| matches!(result, RunResult::Failed(found, _) if !found.is_disjoint(checks));
        let mut count = 0;
        for played in 0..times {
            count += usize::from(is_failure(&self.play(faults, seed)?));
            // One run without a failure is enough to reject a candidate.
            if count <= played && times < REPLAYS {
                break;
            }
        }
        Ok(count)
    }

    /// The first candidate that fails every time; several candidates run at once.
    fn first_confirmed(
        &self,
        candidates: &[Vec<Fault>],
        seed: u64,
        broken_checks: &BrokenChecks,
    ) -> Result<Option<usize>, Failure> {
        for (round, some) in candidates.chunks(self.jobs.max(1)).enumerate() {
            let results = std::thread::scope(|scope| {
                let one = |faults: &'_ Vec<Fault>| {
                    self.count_failures(faults, seed, broken_checks, CONFIRMATION_RUNS)
                };
                let threads: Vec<_> = some.iter().map(|faults| scope.spawn(move || one(faults))).collect();
                threads.into_iter().map(|thread| thread.join()).collect::<Vec<_>>()
            });
            for (n, result) in results.into_iter().enumerate() {
                let count = result.map_err(|_| Failure::Environment("a run panicked".to_string()))??;
                if count == CONFIRMATION_RUNS {
                    return Ok(Some(round * self.jobs.max(1) + n));
                }
            }
        }
        Ok(None)
    }

    /// Removes faults one by one, then shortens the rest, as long as the schedule still fails.
    fn reduce(
        &self,
        mut faults: Vec<Fault>,
        seed: u64,
        broken_checks: &BrokenChecks,
        started_at: Instant,
    ) -> Result<Vec<Fault>, Failure> {
        while faults.len() > 1 && !self.is_over(started_at) {
            let without = |n: usize| {
                let mut rest = faults.clone();
                rest.remove(n);
                rest
            };
            let candidates: Vec<Vec<Fault>> = (0..faults.len()).map(without).collect();
            match self.first_confirmed(&candidates, seed, broken_checks)? {
                Some(n) => faults = candidates[n].clone(),
                None => break,
            }
        }
        for n in 0..faults.len() {
            while let Some(duration) =
                faults[n].duration.filter(|duration| *duration >= MIN_FAULT_DURATION.scaled(2.0))
            {
                if self.is_over(started_at) {
                    break;
                }
                let mut shorter = faults.clone();
                shorter[n].duration = Some(Micros((duration.0 / 2_000).max(1) * 1000));
                let candidates = [shorter];
                if self.first_confirmed(&candidates, seed, broken_checks)?.is_none() {
                    break;
                }
                [faults] = candidates;
            }
        }
        Ok(faults)
    }

    fn write(&self, found: &Finding, seed: u64) -> Result<(), Failure> {
        let source = self
            .source
            .with_faults(&found.faults, seed, self.run_duration()?)
            .map_err(Failure::InvalidInput)?;
        let broken_checks: Vec<&str> = found.broken_checks.iter().map(String::as_str).collect();
        let (file, broken_checks) = (self.source.path.display(), broken_checks.join(", "));
        let (played, of) = found.replayed;
        let head = format!(
            "# Found by `sparlug lab hunt {file} --seed {}`, schedule {}: breaks {broken_checks}.\n# {}\n# {} of {} faults are left; \
             played again it broke {played} times of {of}.\n",
            self.seed,
            found.number,
            found.text.replace('\n', " "),
            found.faults.len(),
            found.drawn
        );
        let text = head + source.text();
        let write_error = |e| Failure::Environment(format!("cannot write {}: {e}", found.path.display()));
        std::fs::write(&found.path, text).map_err(write_error)
    }

    /// Runs all schedules and reports each run and each finding to `on_progress`. Findings made before an
    /// interruption are kept.
    pub fn run(&self, on_progress: &(dyn Fn(u64, usize, &str) + Sync)) -> Result<SearchResult, Failure> {
        let scenario = self.source.scenario(None, false).map_err(Failure::InvalidInput)?;
        let write_error = |e| Failure::Environment(format!("cannot write to {}: {e}", self.out.display()));
        std::fs::create_dir_all(&self.out).map_err(write_error)?;
        let mut draw_scenario = scenario.clone();
        draw_scenario.duration = self.duration.unwrap_or(scenario.duration);
        let started_at = Instant::now();
        let (next, search_result) = (AtomicU64::new(0), Mutex::new(SearchResult::default()));
        let failed: Mutex<Option<Failure>> = Mutex::new(None);
        // The thread that starts a run's processes also drives it, since the processes end with that thread.
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let stopped = failed.lock().is_ok_and(|failed| failed.is_some());
                    if number >= self.runs || self.is_over(started_at) || stopped {
                        return;
                    }
                    let seed = self.seed_of(number);
                    let faults = fault_schedule::draw_schedule(&draw_scenario, seed);
                    let result = self.play(&faults, seed);
                    let Ok(mut search_result) = search_result.lock() else { return };
                    search_result.played += 1;
                    match result {
                        Ok(RunResult::Passed) => {}
                        Ok(RunResult::Inconclusive) => search_result.void += 1,
                        Ok(RunResult::Failed(broken_checks, text)) => {
                            let path = self.file(number);
                            let (drawn, replayed) = (faults.len(), (0, 0));
                            let found =
                                Finding { number, broken_checks, faults, drawn, path, replayed, text };
                            if let Err(e) = self.write(&found, seed) {
                                keep_first_error(&failed, e);
                            }
                            search_result.found.push(found);
                        }
                        Err(Failure::Interrupted) => return,
                        Err(e) => {
                            keep_first_error(&failed, e);
                        }
                    }
                    on_progress(search_result.played, search_result.found.len(), "");
                });
            }
        });
        let failed = failed.into_inner().ok().flatten();
        if let Some(failed) = failed {
            return Err(failed);
        }
        let mut search_result =
            search_result.into_inner().map_err(|_| Failure::Environment("a run panicked".to_string()))?;
        search_result.found.sort_by_key(|found| found.number);
        let mut first = BTreeSet::new();
        for n in 0..search_result.found.len() {
            // One finding of each kind is reduced; the others stay as drawn.
            if self.is_over(started_at) || !first.insert(search_result.found[n].broken_checks.clone()) {
                continue;
            }
            on_progress(
                search_result.played,
                search_result.found.len(),
                &format!("reducing schedule {}", search_result.found[n].number),
            );
            match self.finish(&search_result.found[n], started_at) {
                Ok(found) => search_result.found[n] = found,
                Err(Failure::Interrupted) => break,
                Err(e) => return Err(e),
            }
        }
        Ok(search_result)
    }

    fn finish(&self, found: &Finding, started_at: Instant) -> Result<Finding, Failure> {
        let seed = self.seed_of(found.number);
        let faults = self.reduce(found.faults.clone(), seed, &found.broken_checks, started_at)?;
        let mut cut = Finding { faults, ..found.clone() };
        cut.replayed = (self.count_failures(&cut.faults, seed, &found.broken_checks, REPLAYS)?, REPLAYS);
        self.write(&cut, seed)?;
        Ok(cut)
    }

    fn file(&self, number: u64) -> PathBuf {
        let stem = self.source.path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        self.out.join(format!("{stem}-{}-{number}.toml", self.seed))
    }
}

fn keep_first_error(failed: &Mutex<Option<Failure>>, e: Failure) {
    if let Ok(mut failed) = failed.lock() {
        failed.get_or_insert(e);
    }
}

/// The default folder for findings.
pub fn default_folder(file: &Path) -> PathBuf {
    file.with_file_name("found")
}
