//! Reads a scenario file, applies changes from the command line or a variant, and reports errors with their
//! line.

use std::path::{Path, PathBuf};

use toml::{Table, Value};

use crate::clock::Micros;
use crate::fault_schedule;
use crate::figures::Figures;
use crate::run::MAX_COMPONENTS_PER_KIND;
use crate::scenario::{Balance, Effect, Fault, Scenario, Variant};

/// A scenario file with the changes that were set.
#[derive(Clone)]
pub struct ScenarioFile {
    pub path: PathBuf,
    text: String,
    table: Table,
}

impl ScenarioFile {
    pub fn read(path: &Path) -> Result<ScenarioFile, String> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        ScenarioFile::of(path, text)
    }

    pub fn of(path: &Path, text: String) -> Result<ScenarioFile, String> {
        let at = |e: toml::de::Error| {
            let line = e.span().map_or(1, |span| text[..span.start].matches('\n').count() + 1);
            format!("{}:{line}: {}", path.display(), e.message().replace('\n', " "))
        };
        // Parsed as text first: an unknown field in a parsed table would be reported without its line.
        toml::from_str::<Scenario>(&text).map_err(at)?;
        let table = toml::from_str(&text).map_err(at)?;
        Ok(ScenarioFile { path: path.to_path_buf(), text, table })
    }

    /// The same deployment with only these faults and this seed, without variants, comparisons, matrix and
    /// search.
    pub fn with_faults(&self, faults: &[Fault], seed: u64, duration: Micros) -> Result<ScenarioFile, String> {
        let mut source = self.clone();
        let list: Result<Vec<Value>, _> = faults.iter().map(Value::try_from).collect();
        let list = list.map_err(|e| format!("a fault cannot be written: {e}"))?;
        for field in ["variant", "compare", "matrix", "hunt"] {
            source.table.remove(field);
        }
        source.table.insert("fault".to_string(), Value::Array(list));
        source.table.insert("seed".to_string(), Value::Integer(seed as i64));
        for field in ["lasts", "short"] {
            source.table.insert(field.to_string(), Value::String(duration.to_string()));
        }
        source.text = toml::to_string(&source.table).map_err(|e| format!("cannot be written: {e}"))?;
        Ok(source)
    }

    pub fn text(&self) -> &str {
        &self.text
    }

    /// Sets `a.b.0.c=value`; a value that is not valid TOML is taken as a string.
    pub fn set(&mut self, assignment: &str) -> Result<(), String> {
        let (key, text) =
            assignment.split_once('=').ok_or_else(|| format!("--set {assignment}: wanted KEY=VALUE"))?;
        let value = toml::from_str::<Table>(&format!("v = {text}"))
            .ok()
            .and_then(|mut table| table.remove("v"))
            .unwrap_or_else(|| Value::String(text.to_string()));
        set(&mut self.table, key, value).map_err(|e| format!("--set {assignment}: {e}"))
    }

    /// The checked scenario with a variant's changes, scaled down if `short`.
    pub fn scenario(&self, variant: Option<&Variant>, short: bool) -> Result<Scenario, String> {
        let mut table = self.table.clone();
        let named = |e: String| match variant {
            Some(variant) => format!("{}: variant {}: {e}", self.path.display(), variant.name),
            None => format!("{}: {e}", self.path.display()),
        };
        for (key, value) in variant.iter().flat_map(|variant| &variant.set) {
            set(&mut table, key, value.clone()).map_err(named)?;
        }
        let scenario = Value::Table(table).try_into::<Scenario>();
        let mut scenario: Scenario = scenario.map_err(|e| named(e.message().replace('\n', " ")))?;
        if let Some(bounds) = variant.and_then(|variant| variant.bounds.clone()) {
            scenario.bounds = bounds;
        }
        self.check(&scenario)?;
        if short {
            scenario.scale_times(scenario.short.secs() / scenario.duration.secs());
        }
        Ok(scenario)
    }

    /// Line number of the n-th table of an array.
    fn line_of(&self, header: &str, n: usize) -> usize {
        let mut found = self.text.lines().enumerate().filter(|(_, line)| line.trim() == header);
        found.nth(n).map_or(1, |(number, _)| number + 1)
    }

    fn check(&self, scenario: &Scenario) -> Result<(), String> {
        let path = self.path.display();
        if scenario.duration == Micros::ZERO
            || scenario.short == Micros::ZERO
            || scenario.short > scenario.duration
        {
            return Err(format!("{path}: lasts and short: wanted spans above 0, short no longer than lasts"));
        }
        if scenario.tiers.is_empty() || scenario.classes.is_empty() {
            return Err(format!("{path}: wanted at least one [[tier]] and one [[class]]"));
        }
        if (scenario.load.rate > 0.0) == (scenario.load.closed > 0) {
            return Err(format!("{path}: [load]: wanted one of rate and closed, above 0"));
        }
        if scenario.client_behavior.idle > 18_500 {
            return Err(format!("{path}: [callers] idle: wanted at most 18500, for want of descriptors"));
        }
        if scenario.load.clients == 0 {
            return Err(format!("{path}: [load] callers: wanted at least 1"));
        }
        for (n, tier) in scenario.tiers.iter().enumerate() {
            let at = self.line_of("[[tier]]", n);
            let last = n + 1 == scenario.tiers.len();
            let why = match tier {
                t if t.name.is_empty() || t.name.contains(['/', ' ']) => "name: wanted a word",
                t if !(1..=MAX_COMPONENTS_PER_KIND).contains(&t.backends) => "backends: wanted 1 to 1249",
                t if !(1..=MAX_COMPONENTS_PER_KIND).contains(&t.proxies) => "proxies: wanted 1 to 1249",
                t if t.sizes.iter().any(|size| !(0.1..=10.0).contains(size)) => {
                    "sizes: wanted 0.1 to 10 each"
                }
                t if t.fleet.is_some_and(|fleet| !(0.0..=1.0).contains(&fleet.loss)) => {
                    "fleet.loss: wanted 0 to 1"
                }
                t if t.fleet.is_some() && t.balance == Balance::Direct => "fleet: there are no proxies",
                t if !(1..=256).contains(&t.cores) => "cores: wanted 1 to 256",
                t if t.calls[0] > t.calls[1] => "calls: wanted the least before the most",
                t if t.calls[1] > 0 && last => "calls: there is no next tier to call",
                t if t.balance == Balance::Direct && n > 0 => "balance: direct is for the first tier only",
                t if !(1..=26).contains(&t.zones) || t.pod == 0 => {
                    "zones and pod: wanted 1 to 26 zones, pods above 0"
                }
                t if t.seeded_defect.is_some() && t.balance == Balance::Sparlug => {
                    "plant: only stand-ins have one"
                }
                t if scenario.tiers[..n].iter().any(|o| o.name == t.name) => {
                    "name: there is one of that name"
                }
                _ => continue,
            };
            return Err(format!("{path}:{at}: tier {:?}: {why}", tier.name));
        }
        for (n, class) in scenario.classes.iter().enumerate() {
            let numbered = class.effect == Effect::Keyed;
            if numbered != class.group.is_some() || numbered != class.window.is_some() {
                let at = self.line_of("[[class]]", n);
                let name = &class.name;
                return Err(format!(
                    "{path}:{at}: class {name:?}: a numbered effect, and only it, has group and window"
                ));
            }
        }
        for (n, fault) in scenario.faults.iter().enumerate() {
            let at = self.line_of("[[fault]]", n);
            let named = if fault.components.is_empty() {
                format!("{:?}", fault.kind)
            } else {
                fault.components.clone()
            };
            scenario.check_fault(fault).map_err(|why| format!("{path}:{at}: fault {named:?}: {why}"))?;
        }
        let all_bounds = std::iter::once(&scenario.bounds);
        let all_bounds =
            all_bounds.chain(scenario.variants.iter().filter_map(|variant| variant.bounds.as_ref()));
        for name in all_bounds.flat_map(|bounds| bounds.most.keys().chain(bounds.least.keys())) {
            let at = self.text.lines().position(|line| line.contains(name.as_str())).map_or(1, |at| at + 1);
            Figures::known(name).map_err(|why| format!("{path}:{at}: bounds: {why}"))?;
        }
        fault_schedule::check(scenario).map_err(|(n, why)| {
            let at = n.map_or_else(|| self.line_of("[hunt]", 0), |n| self.line_of("[[hunt.fault]]", n));
            format!("{path}:{at}: hunt: {why}")
        })?;
        for (n, compare) in scenario.comparisons.iter().enumerate() {
            let at = self.line_of("[[compare]]", n);
            for name in [&compare.of, &compare.to] {
                if !scenario.variants.iter().any(|variant| variant.name == *name) {
                    return Err(format!("{path}:{at}: compare: there is no variant {name:?}"));
                }
            }
            let known = Figures::known(&compare.figure);
            known.map_err(|why| format!("{path}:{at}: compare: {why}"))?;
        }
        Ok(())
    }
}

fn set(table: &mut Table, key: &str, value: Value) -> Result<(), String> {
    let (first, rest) = key.split_once('.').map_or((key, None), |(first, rest)| (first, Some(rest)));
    let Some(rest) = rest else {
        table.insert(first.to_string(), value);
        return Ok(());
    };
    match table.entry(first).or_insert_with(|| Value::Table(Table::new())) {
        Value::Table(inner) => set(inner, rest, value),
        Value::Array(list) => {
            let (place, rest) =
                rest.split_once('.').ok_or_else(|| format!("{key}: wanted a field behind the place"))?;
            let count = list.len();
            let entry = place.parse::<usize>().ok().and_then(|place| list.get_mut(place));
            match entry {
                Some(Value::Table(inner)) => set(inner, rest, value),
                _ => Err(format!("{first}.{place}: wanted a place from 0 to {}", count.saturating_sub(1))),
            }
        }
        _ => Err(format!("{first} holds no fields")),
    }
}
