//! The search: schedules are drawn and played, several at once; one on which a rule or a bound breaks is cut down to the
//! fewest and shortest faults that still break it, and written as a scenario that can be played again.

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

/// What breaks is told apart by the rules and bounds that it breaks.
pub type Marks = BTreeSet<String>;

/// A candidate counts only if it breaks each of so many times.
const SURE: usize = 2;
/// How often the cut-down schedule is played at the end.
pub const REPLAYS: usize = 5;
const SHORTEST: Micros = Micros::from_millis(100);
const SEEDS: u64 = 0x7fff_ffff; // what a scenario's file can hold, and people read

pub struct Search {
    pub source: ScenarioFile,
    pub program: PathBuf,
    pub seed: u64,
    pub runs: u64,
    pub lasts: Option<Micros>,
    pub jobs: usize,
    /// No run begins after this long.
    pub seconds: Option<f64>,
    /// Where the scenarios that were found go.
    pub out: PathBuf,
    pub stop: Arc<AtomicBool>,
}

/// A schedule that breaks something.
#[derive(Clone, Debug)]
pub struct Finding {
    pub number: u64,
    pub marks: Marks,
    pub faults: Vec<Fault>,
    /// How many faults it had when it was drawn.
    pub drawn: usize,
    pub path: PathBuf,
    /// How often the file broke the same when it was played again, of how often.
    pub replayed: (usize, usize),
    /// The first break, as the ledger or the bound words it.
    pub text: String,
}

#[derive(Clone, Debug, Default)]
pub struct SearchResult {
    pub played: u64,
    /// Runs that told nothing: the machine was too busy, or the lab itself stood in the way.
    pub void: u64,
    pub found: Vec<Finding>,
}

/// What a schedule came to.
enum Came {
    Kept,
    Broke(Marks, String),
    Void,
}

impl Search {
    /// The seed of the n-th schedule, which is also that of its load.
    fn seed_of(&self, number: u64) -> u64 {
        arrivals::hash_with_seed(self.seed, &format!("hunt {number}")) & SEEDS
    }

    fn over(&self, since: Instant) -> bool {
        self.stop.load(Ordering::Relaxed)
            || self.seconds.is_some_and(|most| since.elapsed().as_secs_f64() >= most)
    }

    fn lasts(&self) -> Result<Micros, Failure> {
        let scenario = self.source.scenario(None, false).map_err(Failure::InvalidInput)?;
        Ok(self.lasts.unwrap_or(scenario.duration))
    }

    /// Plays a schedule once.
    fn play(&self, faults: &[Fault], seed: u64) -> Result<Came, Failure> {
        let source = self.source.with_faults(faults, seed, self.lasts()?).map_err(Failure::InvalidInput)?;
        let scenario = source.scenario(None, false).map_err(Failure::InvalidInput)?;
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("sparlug-hunt-{}-{count}", std::process::id()));
        let (program, stop) = (self.program.clone(), self.stop.clone());
        let options = run::Options { program, dir: dir.clone(), stop, front: None };
        let ran = run::run(&scenario, seed, &options, &mut |_| {});
        let run = ran.and_then(|ran| {
            RunOutcome::of(&Variant::unchanged(), scenario, seed, ran).map_err(Failure::Environment)
        });
        let _ = std::fs::remove_dir_all(&dir);
        let run = run?;
        let verdict = &run.verdict;
        if verdict.void.is_some() {
            return Ok(Came::Void);
        }
        let mut marks: Marks = verdict.breaches.iter().map(|breach| breach.rule.name().to_string()).collect();
        if verdict.unsure() && marks.is_empty() && !run.missed.is_empty() {
            return Ok(Came::Void);
        }
        if !verdict.unsure() {
            let name = |missed: &String| missed.split(' ').next().unwrap_or_default().to_string();
            marks.extend(run.missed.iter().map(name));
        }
        let text = verdict.breaches.first().map(|breach| format!("{}: {}", breach.rule.name(), breach.text));
        let text = text.or_else(|| run.missed.first().cloned()).unwrap_or_default();
        Ok(if marks.is_empty() { Came::Kept } else { Came::Broke(marks, text) })
    }

    /// Whether a candidate breaks one of these each time that it is played.
    fn breaks(&self, faults: &[Fault], seed: u64, marks: &Marks, times: usize) -> Result<usize, Failure> {
        let broke = |came: &Came| matches!(came, Came::Broke(found, _) if !found.is_disjoint(marks));
        let mut count = 0;
        for played in 0..times {
            count += usize::from(broke(&self.play(faults, seed)?));
            // One that kept is enough to know that it is not sure.
            if count <= played && times < REPLAYS {
                break;
            }
        }
        Ok(count)
    }

    /// The first candidate that breaks for sure, of some that are tried several at once.
    fn first_sure(
        &self,
        candidates: &[Vec<Fault>],
        seed: u64,
        marks: &Marks,
    ) -> Result<Option<usize>, Failure> {
        for (round, some) in candidates.chunks(self.jobs.max(1)).enumerate() {
            let results = std::thread::scope(|scope| {
                let one = |faults: &'_ Vec<Fault>| self.breaks(faults, seed, marks, SURE);
                let threads: Vec<_> = some.iter().map(|faults| scope.spawn(move || one(faults))).collect();
                threads.into_iter().map(|thread| thread.join()).collect::<Vec<_>>()
            });
            for (n, result) in results.into_iter().enumerate() {
                let count = result.map_err(|_| Failure::Environment("a run panicked".to_string()))??;
                if count == SURE {
                    return Ok(Some(round * self.jobs.max(1) + n));
                }
            }
        }
        Ok(None)
    }

    /// Leaves out one fault after another, then shortens those that are left, as long as it still breaks.
    fn cut_down(
        &self,
        mut faults: Vec<Fault>,
        seed: u64,
        marks: &Marks,
        since: Instant,
    ) -> Result<Vec<Fault>, Failure> {
        while faults.len() > 1 && !self.over(since) {
            let without = |n: usize| {
                let mut rest = faults.clone();
                rest.remove(n);
                rest
            };
            let candidates: Vec<Vec<Fault>> = (0..faults.len()).map(without).collect();
            match self.first_sure(&candidates, seed, marks)? {
                Some(n) => faults = candidates[n].clone(),
                None => break,
            }
        }
        for n in 0..faults.len() {
            while let Some(lasts) = faults[n].duration.filter(|lasts| *lasts >= SHORTEST.scaled(2.0)) {
                if self.over(since) {
                    break;
                }
                let mut shorter = faults.clone();
                shorter[n].duration = Some(Micros((lasts.0 / 2_000).max(1) * 1000));
                let candidates = [shorter];
                if self.first_sure(&candidates, seed, marks)?.is_none() {
                    break;
                }
                [faults] = candidates;
            }
        }
        Ok(faults)
    }

    fn write(&self, found: &Finding, seed: u64) -> Result<(), Failure> {
        let source =
            self.source.with_faults(&found.faults, seed, self.lasts()?).map_err(Failure::InvalidInput)?;
        let marks: Vec<&str> = found.marks.iter().map(String::as_str).collect();
        let (file, marks) = (self.source.path.display(), marks.join(", "));
        let (played, of) = found.replayed;
        let head = format!(
            "# Found by `sparlug lab hunt {file} --seed {}`, schedule {}: breaks {marks}.\n# {}\n# {} of {} faults are left; \
             played again it broke {played} times of {of}.\n",
            self.seed,
            found.number,
            found.text.replace('\n', " "),
            found.faults.len(),
            found.drawn
        );
        let text = head + source.text();
        let could_not = |e| Failure::Environment(format!("cannot write {}: {e}", found.path.display()));
        std::fs::write(&found.path, text).map_err(could_not)
    }

    /// Plays all schedules; `told` hears of each run and of what is found. What was found by an interruption stays.
    pub fn run(&self, told: &(dyn Fn(u64, usize, &str) + Sync)) -> Result<SearchResult, Failure> {
        let scenario = self.source.scenario(None, false).map_err(Failure::InvalidInput)?;
        let could_not = |e| Failure::Environment(format!("cannot write to {}: {e}", self.out.display()));
        std::fs::create_dir_all(&self.out).map_err(could_not)?;
        let mut drawn_over = scenario.clone();
        drawn_over.duration = self.lasts.unwrap_or(scenario.duration);
        let since = Instant::now();
        let (next, hunted) = (AtomicU64::new(0), Mutex::new(SearchResult::default()));
        let failed: Mutex<Option<Failure>> = Mutex::new(None);
        // A run is played by the thread that started its processes: they end with it.
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let stopped = failed.lock().is_ok_and(|failed| failed.is_some());
                    if number >= self.runs || self.over(since) || stopped {
                        return;
                    }
                    let seed = self.seed_of(number);
                    let faults = fault_schedule::draw_schedule(&drawn_over, seed);
                    let came = self.play(&faults, seed);
                    let Ok(mut hunted) = hunted.lock() else { return };
                    hunted.played += 1;
                    match came {
                        Ok(Came::Kept) => {}
                        Ok(Came::Void) => hunted.void += 1,
                        Ok(Came::Broke(marks, text)) => {
                            let path = self.file(number);
                            let (drawn, replayed) = (faults.len(), (0, 0));
                            let found = Finding { number, marks, faults, drawn, path, replayed, text };
                            if let Err(e) = self.write(&found, seed) {
                                keep_first(&failed, e);
                            }
                            hunted.found.push(found);
                        }
                        Err(Failure::Interrupted) => return,
                        Err(e) => {
                            keep_first(&failed, e);
                        }
                    }
                    told(hunted.played, hunted.found.len(), "");
                });
            }
        });
        let failed = failed.into_inner().ok().flatten();
        if let Some(failed) = failed {
            return Err(failed);
        }
        let mut hunted =
            hunted.into_inner().map_err(|_| Failure::Environment("a run panicked".to_string()))?;
        hunted.found.sort_by_key(|found| found.number);
        let mut first = BTreeSet::new();
        for n in 0..hunted.found.len() {
            // One of each kind is cut down; the others stay as they were drawn.
            if self.over(since) || !first.insert(hunted.found[n].marks.clone()) {
                continue;
            }
            told(
                hunted.played,
                hunted.found.len(),
                &format!("cutting down schedule {}", hunted.found[n].number),
            );
            match self.finish(&hunted.found[n], since) {
                Ok(found) => hunted.found[n] = found,
                Err(Failure::Interrupted) => break,
                Err(e) => return Err(e),
            }
        }
        Ok(hunted)
    }

    fn finish(&self, found: &Finding, since: Instant) -> Result<Finding, Failure> {
        let seed = self.seed_of(found.number);
        let faults = self.cut_down(found.faults.clone(), seed, &found.marks, since)?;
        let mut cut = Finding { faults, ..found.clone() };
        cut.replayed = (self.breaks(&cut.faults, seed, &found.marks, REPLAYS)?, REPLAYS);
        self.write(&cut, seed)?;
        Ok(cut)
    }

    fn file(&self, number: u64) -> PathBuf {
        let stem = self.source.path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        self.out.join(format!("{stem}-{}-{number}.toml", self.seed))
    }
}

fn keep_first(failed: &Mutex<Option<Failure>>, e: Failure) {
    if let Ok(mut failed) = failed.lock() {
        failed.get_or_insert(e);
    }
}

/// The folder that finds go to where none is named.
pub fn default_folder(file: &Path) -> PathBuf {
    file.with_file_name("found")
}
