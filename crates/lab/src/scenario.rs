//! A scenario as its file describes it: the deployment, the load, a timeline of faults, bounds on the
//! results, and variants that are compared with each other.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use toml::{Table, Value};

use crate::clock::Micros;
pub use crate::deployment::{
    Balance, Burst, Class, ClientBehavior, Distribution, Effect, Fleet, Group, Link, Load, RateStep,
    SeededDefect, Tier,
};
use crate::fault::parse_numbers;
pub use crate::fault::{Direction, Fault, FaultKind, KnownBackends};
pub use crate::fault_range::SearchSpace;
pub use crate::figures::Bounds;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    pub about: String,
    #[serde(rename = "lasts")]
    pub duration: Micros,
    /// Duration of the short form; all times of faults and steps are scaled down to it.
    pub short: Micros,
    #[serde(default = "default_seed")]
    pub seed: u64,
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    pub load: Load,
    #[serde(default, rename = "callers")]
    pub client_behavior: ClientBehavior,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    #[serde(default)]
    pub bounds: Bounds,
    #[serde(default, rename = "variant")]
    pub variants: Vec<Variant>,
    /// Fields with several values each; every variant is run with every combination of them.
    #[serde(default)]
    pub matrix: BTreeMap<String, Vec<Value>>,
    #[serde(default, rename = "compare")]
    pub comparisons: Vec<Comparison>,
    /// The faults that a search draws from.
    #[serde(default)]
    pub hunt: SearchSpace,
}

fn default_seed() -> u64 {
    1
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    pub name: String,
    #[serde(default)]
    pub set: Table,
    /// Replaces the scenario's bounds.
    pub bounds: Option<Bounds>,
    /// Whether the rules are not judged: a baseline may break them.
    #[serde(default, rename = "lawless")]
    pub skip_rules: bool,
}

impl Variant {
    /// The scenario without changes.
    pub fn unchanged() -> Variant {
        Variant { name: "sparlug".to_string(), set: Table::new(), bounds: None, skip_rules: false }
    }
}

/// A bound on the ratio of one figure between two variants.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Comparison {
    pub figure: String,
    pub of: String,
    pub to: String,
    pub most: Option<f64>,
    pub least: Option<f64>,
}

impl Scenario {
    /// The components that a name or a pattern selects: tier, letter of the kind, number.
    pub fn components(&self, pattern: &str) -> Vec<(usize, char, usize)> {
        if pattern == "callers" {
            return vec![(0, 'k', 0)];
        }
        let Some((tier, rest)) = pattern.split_once('/') else { return Vec::new() };
        let Some((letter, number)) = rest.split_once('-') else { return Vec::new() };
        let mut letters = letter.chars();
        let (Some(letter), None) = (letters.next(), letters.next()) else { return Vec::new() };
        let Some(tier_index) = self.tiers.iter().position(|t| t.name == tier) else { return Vec::new() };
        let numbers = parse_numbers(number, self.component_count(tier_index, letter));
        numbers.into_iter().map(|n| (tier_index, letter, n)).collect()
    }

    fn component_count(&self, tier: usize, letter: char) -> usize {
        let t = &self.tiers[tier];
        let (direct, sparlug) = (t.balance == Balance::Direct, t.balance == Balance::Sparlug);
        match letter {
            's' => t.backends,
            'p' if !direct => t.proxies,
            'a' if sparlug => t.proxies,
            'l' if t.link.is_some() => t.backends,
            'w' if t.fleet.is_some() => t.proxies,
            'c' if tier == 0 && self.client_behavior.link.is_some() && !direct => t.proxies,
            _ => 0,
        }
    }

    /// Whether a tier's proxies are processes of their own: the proxy under test always, a stand-in balancer
    /// only if a fault of the scenario needs a process to act on.
    pub fn has_processes(&self, tier: usize) -> bool {
        let needs_process = |fault: &Fault| {
            let components = self.components(&fault.components);
            fault.kind.needs_process()
                && components.first().is_some_and(|(t, letter, _)| (*t, *letter) == (tier, 'p'))
        };
        match self.tiers[tier].balance {
            Balance::Sparlug => true,
            Balance::Direct => false,
            _ => self.faults.iter().any(needs_process),
        }
    }

    /// The proxies of a tier that are absent at the start, since a fault adds them later.
    pub fn initially_absent(&self, tier: usize) -> Vec<usize> {
        let mut first: BTreeMap<usize, (Micros, bool)> = BTreeMap::new();
        for fault in &self.faults {
            let grows = fault.kind == FaultKind::Grow;
            if !grows && fault.kind != FaultKind::Shrink {
                continue;
            }
            let components = self.components(&fault.components);
            for (n, (_, _, proxy)) in
                components.iter().enumerate().filter(|(_, (t, letter, _))| (*t, *letter) == (tier, 'p'))
            {
                let at = fault.at + fault.step.scaled(n as f64);
                let known = first.entry(*proxy).or_insert((at, grows));
                if at < known.0 {
                    *known = (at, grows);
                }
            }
        }
        first.into_iter().filter(|(_, (_, grows))| *grows).map(|(n, _)| n).collect()
    }

    /// The tier of a fault between proxies and the directed paths that it affects.
    pub fn network_paths(&self, fault: &Fault) -> Result<(usize, Vec<(usize, usize)>), String> {
        let proxies = |pattern: &str, field: &str, letters: &str| -> Result<(usize, Vec<usize>), String> {
            let found = self.components(pattern);
            let Some((tier, letter, _)) = found.first().copied().filter(|(_, l, _)| letters.contains(*l))
            else {
                let parts = self.component_ranges().join(", ");
                return Err(format!("{field}: there is no proxy {pattern:?}; there are {parts}"));
            };
            if self.component_count(tier, 'w') == 0 || letter == 'c' {
                return Err(format!("{field}: tier {:?} has no fleet", self.tiers[tier].name));
            }
            Ok((tier, found.into_iter().map(|(_, _, n)| n).collect()))
        };
        let (forth, back) = match fault.direction {
            None => (true, true),
            Some(direction) => (direction == Direction::Forth, direction == Direction::Back),
        };
        let (mut paths, mut tiers) = (BTreeSet::new(), BTreeSet::new());
        let mut add = |from: usize, to: usize| {
            paths.extend((forth && from != to).then_some((from, to)));
            paths.extend((back && from != to).then_some((to, from)));
        };
        let selectors = [!fault.sides.is_empty(), !fault.pairs.is_empty(), !fault.components.is_empty()];
        if selectors.iter().filter(|is_set| **is_set).count() != 1 {
            return Err("wanted one of sides, pairs and part".to_string());
        }
        for pair in &fault.pairs {
            let (tier, from) = proxies(&pair[0], "pairs", "pw")?;
            let (other, to) = proxies(&pair[1], "pairs", "pw")?;
            tiers.extend([tier, other]);
            from.iter().for_each(|from| to.iter().for_each(|to| add(*from, *to)));
        }
        let mut sides = Vec::new();
        for (n, side) in fault.sides.iter().enumerate() {
            let field = format!("sides.{n}");
            let mut all = BTreeSet::new();
            for pattern in side {
                let (tier, found) = proxies(pattern, &field, "pw")?;
                tiers.insert(tier);
                all.extend(found);
            }
            if all.is_empty() {
                return Err(format!("{field}: no proxy is on this side"));
            }
            sides.push(all);
        }
        let through = fault.through.as_ref().map(|through| proxies(through, "through", "pw")).transpose()?;
        let through = through.map(|(tier, all)| {
            tiers.insert(tier);
            all[0]
        });
        for (n, side) in sides.iter().enumerate() {
            for other in &sides[n + 1..] {
                for (from, to) in side.iter().flat_map(|from| other.iter().map(move |to| (*from, *to))) {
                    if Some(from) != through && Some(to) != through {
                        if from == to {
                            return Err(format!("sides: proxy {from} is on two of them"));
                        }
                        add(from, to);
                    }
                }
            }
        }
        if !fault.components.is_empty() {
            let (tier, found) = proxies(&fault.components, "part", "w")?;
            tiers.insert(tier);
            let count = self.tiers[tier].proxies;
            found.iter().for_each(|from| (0..count).for_each(|to| add(*from, to)));
        }
        match tiers.len() {
            1 => Ok((tiers.pop_first().unwrap_or_default(), paths.into_iter().collect())),
            _ => Err("wanted proxies of one tier".to_string()),
        }
    }

    /// Checks that a fault can be played; the error says why it can't.
    pub fn check_fault(&self, fault: &Fault) -> Result<(), String> {
        let on_paths = !fault.sides.is_empty() || !fault.pairs.is_empty();
        let kind = || serde_json::to_string(&fault.kind).unwrap_or_default();
        let found = self.components(&fault.components);
        if found.is_empty() && !on_paths {
            let parts = self.component_ranges().join(", ");
            return Err(format!("there is no such part; there are {parts}"));
        }
        let letter = if on_paths { 'w' } else { found[0].1 };
        if !fault.kind.component_kinds().contains(letter) {
            return Err(format!(
                "{} befalls parts of the kind {:?} only",
                kind(),
                fault.kind.component_kinds()
            ));
        }
        if letter == 'w' {
            self.network_paths(fault)?;
        }
        let (sides, bridge) = (fault.sides.len(), fault.kind == FaultKind::Bridge);
        let is_share = |share: Option<f64>| share.is_none_or(|share| (0.0..=1.0).contains(&share));
        let why = match fault.kind {
            FaultKind::Herd if fault.duration.is_some() => {
                "a herd has no duration: all clients reconnect at once"
            }
            FaultKind::Partition if !(2..=3).contains(&sides) => "sides: wanted two or three",
            FaultKind::Bridge if sides != 2 => "sides: wanted two",
            FaultKind::Bridge if fault.through.is_none() => "through: wanted the proxy that both sides reach",
            FaultKind::Slow
                if letter == 'p' && !fault.amount.is_some_and(|share| (0.01..=0.9).contains(&share)) =>
            {
                "amount: wanted the part of its time that it has, 0.01 to 0.9"
            }
            _ if !bridge && fault.through.is_some() => "through: only a bridge has one",
            _ if !is_share(fault.chance) => "chance: wanted 0 to 1",
            _ if fault.times > 1 && fault.every == Micros::ZERO => "times: wanted every as well",
            _ => return Ok(()),
        };
        Err(why.to_string())
    }

    /// The components of the scenario as patterns, for error messages.
    pub fn component_ranges(&self) -> Vec<String> {
        let kinds = |tier: usize| "spalcw".chars().map(move |letter| (tier, letter));
        let all = (0..self.tiers.len())
            .flat_map(kinds)
            .filter(|(tier, letter)| self.component_count(*tier, *letter) > 0);
        let named = |(tier, l): (usize, char)| {
            format!("{}/{l}-0..{}", self.tiers[tier].name, self.component_count(tier, l) - 1)
        };
        all.map(named).chain(["callers".to_string()]).collect()
    }

    /// Scales the duration and all times of faults, rate steps and cold starts, for the short form.
    pub fn scale_times(&mut self, by: f64) {
        self.duration = self.duration.scaled(by);
        for fault in &mut self.faults {
            (fault.at, fault.step, fault.every) =
                (fault.at.scaled(by), fault.step.scaled(by), fault.every.scaled(by));
            fault.duration = fault.duration.map(|duration| duration.scaled(by));
        }
        self.load.steps.iter_mut().for_each(|step| step.at = step.at.scaled(by));
        for tier in &mut self.tiers {
            tier.cold_ramp = tier.cold_ramp.scaled(by);
            tier.fall_window = tier.fall_window.scaled(by);
        }
    }

    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }
}
