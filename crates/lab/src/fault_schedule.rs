//! Draws schedules of faults from the ranges of a scenario; the same seed gives the same schedule.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Micros;
use crate::fault_range::FaultRange;
use crate::scenario::{Balance, Direction, Fault, FaultKind, KnownBackends, Scenario};

const DEFAULT_FAULT_COUNTS: [usize; 2] = [1, 4]; // minimum and maximum per schedule
const MIN_FAULT_DURATION: Micros = Micros::from_millis(200);
const ROUNDING_US: f64 = 10_000.0; // times are rounded to 10 ms to be readable

/// Checks the search's settings; an error names the index of the wrong kind, if it is about one.
pub fn check(scenario: &Scenario) -> Result<(), (Option<usize>, String)> {
    if let Some([fewest, most]) = scenario.hunt.faults.filter(|[fewest, most]| *fewest == 0 || fewest > most)
    {
        return Err((
            None,
            format!("faults: wanted the fewest before the most, above 0, found [{fewest}, {most}]"),
        ));
    }
    for (n, range) in scenario.hunt.ranges.iter().enumerate() {
        let fail = |why: String| Err((Some(n), why));
        if range.parts.is_empty() {
            return fail("parts: wanted at least one".to_string());
        }
        for part in &range.parts {
            let sides = matches!(range.kind, FaultKind::Partition | FaultKind::Bridge);
            let letters = if sides { "w" } else { range.kind.component_kinds() };
            match scenario.components(part).first() {
                Some((_, letter, _)) if letters.contains(*letter) => {}
                Some(_) => return fail(format!("parts: {part:?}: wanted the kind {letters:?}")),
                // A stand-in has no agent, so faults of agents are not drawn.
                None if part.contains("/a-")
                    && scenario.tiers.iter().any(|tier| tier.balance != Balance::Sparlug) => {}
                None => {
                    let parts = scenario.component_ranges().join(", ");
                    return fail(format!("parts: there is no {part:?}; there are {parts}"));
                }
            }
        }
        let spans = [range.at, range.duration];
        if spans.iter().flatten().any(|[from, to]| from > to) {
            return fail("at and for: wanted the least before the most".to_string());
        }
        if [range.amount, range.chance].iter().flatten().any(|[from, to]| from > to) {
            return fail("amount and chance: wanted the least before the most".to_string());
        }
        if range.weight.is_nan() || range.weight <= 0.0 {
            return fail("weight: wanted a number above 0".to_string());
        }
    }
    Ok(())
}

/// The kinds to draw from: those of the file, or a default set for each kind of component of the deployment.
fn fault_ranges(scenario: &Scenario) -> Vec<FaultRange> {
    use FaultKind::*;
    if !scenario.hunt.ranges.is_empty() {
        let has_components =
            |range: &&FaultRange| range.parts.iter().any(|part| !scenario.components(part).is_empty());
        return scenario.hunt.ranges.iter().filter(has_components).cloned().collect();
    }
    let mut all = Vec::new();
    for tier in &scenario.tiers {
        let of = |letter: char| match letter {
            's' => &[Crash, Stall, Slow, Drain, Silence, Error][..],
            'p' => &[Kill, Term, Freeze, Slow, Restart],
            'a' => &[Mute, Stale, Cut, Behind, Delay],
            'l' | 'c' => &[Reset, Close, BlackHole, Delay],
            _ => &[Partition, Bridge, Loss, Delay, Reorder, Duplicate, Corrupt, Replay, Flood],
        };
        for letter in "spalcw".chars() {
            let part = format!("{}/{letter}-*", tier.name);
            if !scenario.components(&part).is_empty() {
                all.extend(of(letter).iter().map(|kind| FaultRange::of(*kind, part.clone())));
            }
        }
    }
    all
}

/// Draws a schedule, the same for the same seed.
pub fn draw_schedule(scenario: &Scenario, seed: u64) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x4a07);
    let ranges = fault_ranges(scenario);
    let [fewest, most] = scenario.hunt.faults.unwrap_or(DEFAULT_FAULT_COUNTS);
    let weights: f64 = ranges.iter().map(|range| range.weight).sum();
    let fault = |_| {
        let mut remaining = rng.random::<f64>() * weights;
        let range = ranges.iter().find(|range| {
            remaining -= range.weight;
            remaining < 0.0
        });
        let range = range.or(ranges.last())?;
        Some(draw_fault(range, scenario, &mut rng))
    };
    let count = ChaCha8Rng::seed_from_u64(seed).random_range(fewest..=most);
    let mut faults: Vec<Fault> = (0..count).filter_map(fault).collect();
    faults.retain(|fault| scenario.check_fault(fault).is_ok());
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_between(rng: &mut ChaCha8Rng, [from, to]: [f64; 2]) -> f64 {
    from + (to - from) * rng.random::<f64>()
}

fn draw_span(rng: &mut ChaCha8Rng, [from, to]: [Micros; 2]) -> Micros {
    let drawn = draw_between(rng, [from.0 as f64, to.0 as f64]);
    Micros(((drawn / ROUNDING_US).round() * ROUNDING_US) as i64)
}

fn draw_fault(range: &FaultRange, scenario: &Scenario, rng: &mut ChaCha8Rng) -> Fault {
    let duration = scenario.duration;
    let at = draw_span(rng, range.at.unwrap_or([duration.scaled(0.05), duration.scaled(0.7)]));
    let max_duration = duration.scaled(0.4).max(MIN_FAULT_DURATION);
    let length = draw_span(rng, range.duration.unwrap_or([MIN_FAULT_DURATION, max_duration]));
    let place = rng.random_range(0..range.parts.len().max(1));
    let found = range.parts.get(place).map(|part| scenario.components(part)).unwrap_or_default();
    let (tier, letter, n) = match found.len() {
        0 => (0, 's', 0),
        count => found[rng.random_range(0..count)],
    };
    let name = |letter: char, n: usize| format!("{}/{letter}-{n}", scenario.tiers[tier].name);
    let mut fault = Fault { at, kind: range.kind, times: 1, duration: Some(length), ..Fault::default() };
    if range.kind == FaultKind::Grow || range.kind == FaultKind::Shrink {
        fault.duration = range.duration.map(|_| length);
    }
    fault.components = name(letter, n);
    let rounded = |value: f64| (value * 100.0).round() / 100.0;
    fault.amount = range.amounts(letter).map(|range| rounded(draw_between(rng, range)));
    fault.chance = range.chances().map(|range| rounded(draw_between(rng, range)));
    if matches!(range.kind, FaultKind::Restart | FaultKind::Kill | FaultKind::Term) {
        fault.known = [KnownBackends::Old, KnownBackends::Old, KnownBackends::None, KnownBackends::Now]
            [rng.random_range(0..4)];
    }
    fault.keeps_process = range.kind == FaultKind::Drain && rng.random::<f64>() < 0.75;
    if letter == 'w' {
        fault.direction = [None, None, Some(Direction::Forth), Some(Direction::Back)][rng.random_range(0..4)];
    }
    if matches!(range.kind, FaultKind::Partition | FaultKind::Bridge) {
        let count = if range.kind == FaultKind::Partition { rng.random_range(2..=3) } else { 2 };
        let mut sides = vec![Vec::new(); count];
        for (_, _, n) in &found {
            sides[rng.random_range(0..count)].push(name('p', *n));
        }
        sides.retain(|side| !side.is_empty());
        if range.kind == FaultKind::Bridge {
            fault.through = Some(name('p', n));
        }
        (fault.sides, fault.components) = (sides, String::new());
    }
    fault
}
