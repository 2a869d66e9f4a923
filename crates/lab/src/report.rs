//! Writes a self-contained HTML page with charts for a set of runs, and compares two results.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use crate::clock::{Micros, Timestamp};
use crate::experiment::{Results, RunOutcome};
use crate::record::{self, Record, RecordKind};
use crate::run;
use crate::run_figures::{self, Slice, SLICE_COUNT};
use crate::scenario_file::ScenarioFile;

/// The charts of one run.
pub struct RunCharts {
    pub title: String,
    pub svgs: Vec<String>,
}

/// The time span of a fault, shaded in the charts.
struct FaultBand {
    from: f64,
    to: f64,
    text: String,
}

/// Draws the charts of runs that have just ended.
pub fn charts(runs: &[RunOutcome]) -> Result<Vec<RunCharts>, String> {
    let charts =
        |run: &RunOutcome| run_charts(&run.variant, run.seed, &run.ran.dir, run.ran.start, run.ran.duration);
    runs.iter().map(charts).collect()
}

/// Draws the charts from the records of earlier runs.
pub fn charts_from_records(
    results: &Results,
    source: &ScenarioFile,
    out: &Path,
) -> Result<Vec<RunCharts>, String> {
    let duration = source.scenario(None, false)?.duration;
    let duration = if results.lasts_s > 0.0 { Micros::from_ms(results.lasts_s * 1000.0) } else { duration };
    let one = |run: &crate::experiment::RunResult| {
        let dir = run::run_dir(out, &run.variant, run.seed);
        let records = record::read(&run::records_path(&dir))?;
        let first = records.iter().find_map(|r| match &r.kind {
            RecordKind::Sent { due, .. } => Some(*due),
            _ => None,
        });
        run_charts(&run.variant, run.seed, &dir, first.unwrap_or_default(), duration)
    };
    results.runs.iter().map(one).collect()
}

fn run_charts(
    variant: &str,
    seed: u64,
    dir: &Path,
    start: Timestamp,
    duration: Micros,
) -> Result<RunCharts, String> {
    let records = record::read(&run::records_path(dir))?;
    let slices = run_figures::slices(&records, start, duration);
    let bands = bands(&records, start, duration);
    let seconds = duration.secs();
    let rate = SLICE_COUNT as f64 / seconds;
    let line = |name: &str, value: &dyn Fn(&Slice) -> f64| -> Line {
        let points = slices.iter().enumerate();
        (name.to_string(), points.map(|(n, slice)| ((n as f64 + 0.5) / rate, value(slice))).collect())
    };
    let mut latency = [line("p50", &|s| s.p50_ms), line("p99", &|s| s.p99_ms)];
    // A slice without served requests has no latency, so no point is drawn.
    latency.iter_mut().for_each(|(_, points)| points.retain(|(_, ms)| *ms > 0.0));
    let outcomes = [
        line("honoured", &|s| s.honoured as f64 * rate),
        line("turned back", &|s| s.turned_back as f64 * rate),
        line("forfeited", &|s| s.forfeited as f64 * rate),
        line("lost", &|s| s.lost as f64 * rate),
    ];
    let hosts: Vec<String> = slices.iter().flat_map(|slice| slice.held.keys().cloned()).collect();
    let hosts: BTreeMap<String, ()> = hosts.into_iter().map(|host| (host, ())).collect();
    let held = |host: &String| line(host, &|s: &Slice| s.held.get(host).copied().unwrap_or(0) as f64);
    let held: Vec<Line> = hosts.keys().take(24).map(held).collect();
    let mut svgs = vec![
        chart("Latency of honoured exchanges, ms", seconds, &latency, &bands)?,
        chart("Answers a second", seconds, &outcomes, &bands)?,
        chart("Held by each backend", seconds, &held, &bands)?,
    ];
    let mut add_chart_if_any = |title: &str, lines: &[Line]| -> Result<(), String> {
        if lines.iter().any(|(_, points)| points.iter().any(|(_, y)| *y > 0.0)) {
            svgs.push(chart(title, seconds, lines, &bands)?);
        }
        Ok(())
    };
    add_chart_if_any(
        "Requests a second at dead backends, from all",
        &[line("at dead backends", &|s| s.dead as f64 * rate)],
    )?;
    add_chart_if_any(
        "Datagrams a second between proxies, of all",
        &[line("datagrams", &|s| s.talk as f64 * rate)],
    )?;
    let evenness = |of: fn(&Slice) -> &BTreeMap<String, u64>| {
        move |s: &Slice| {
            let counts: Vec<f64> = of(s).values().map(|count| *count as f64).collect();
            let mean = counts.iter().sum::<f64>() / counts.len().max(1) as f64;
            counts.iter().fold(0.0, |most: f64, count| most.max(*count)) / mean.max(1e-9)
        }
    };
    let (backends, proxies) = (evenness(|s| &s.came), evenness(|s| &s.sent));
    let lines = [line("backends", &backends), line("proxies", &proxies)];
    add_chart_if_any("Load, largest over mean", &lines)?;
    let limits = limits(dir, start);
    if !limits.is_empty() {
        svgs.push(chart("The limit, as the proxies' logs tell it", seconds, &limits, &bands)?);
    }
    Ok(RunCharts { title: format!("{variant}, seed {seed}"), svgs })
}

fn bands(records: &[Record], start: Timestamp, duration: Micros) -> Vec<FaultBand> {
    let mut bands: Vec<FaultBand> = Vec::new();
    let second = |t: Timestamp| (t.0 - start.0) as f64 / 1e6;
    for record in records {
        match &record.kind {
            RecordKind::Fault { text, on: true, .. } => {
                bands.push(FaultBand { from: second(record.t), to: f64::NAN, text: text.clone() });
            }
            RecordKind::Fault { text, on: false, .. } => {
                let open = bands.iter_mut().find(|band| band.to.is_nan() && band.text == *text);
                if let Some(band) = open {
                    band.to = second(record.t);
                }
            }
            _ => {}
        }
    }
    // A fault without an end is an event, not a state, and is drawn as a narrow band.
    bands
        .iter_mut()
        .filter(|band| band.to.is_nan())
        .for_each(|band| band.to = band.from + duration.secs() / 200.0);
    bands
}

type Line = (String, Vec<(f64, f64)>);

/// The limit over time, read from the proxies' log lines on a change of mode.
fn limits(dir: &Path, start: Timestamp) -> Vec<Line> {
    let files = std::fs::read_dir(dir).into_iter().flatten().flatten().map(|entry| entry.path());
    let mut lines = Vec::new();
    for path in files.filter(|path| path.extension().is_some_and(|e| e == "log")) {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let point = |line: &str| {
            let limit = line.split_once("limit ")?.1.split([',', ' ']).next()?.parse().ok()?;
            Some((unix_seconds(line.split(' ').next()?)? - start_unix_seconds(start), limit))
        };
        let points: Vec<(f64, f64)> = text.lines().filter_map(point).collect();
        if points.len() > 1 {
            let name = path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
            lines.push((name, points));
        }
    }
    lines
}

fn start_unix_seconds(start: Timestamp) -> f64 {
    crate::agent::unix_ms(start) / 1000.0
}

/// Seconds since 1970 of a time such as `2026-12-01T12:00:00.000000Z`.
fn unix_seconds(text: &str) -> Option<f64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hour, minute, second) = (time.next()??, time.next()??, time.next()??);
    // Converts a civil date into days since 1970, with March as the first month of the year.
    let (y, m) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let (era, of_era) = (y.div_euclid(400), y.rem_euclid(400));
    let day_of_year = (153 * m + 2) / 5 + day - 1;
    let days = era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + day_of_year - 719_468;
    Some(days as f64 * 86_400.0 + hour * 3600.0 + minute * 60.0 + second)
}

fn chart(title: &str, seconds: f64, lines: &[Line], bands: &[FaultBand]) -> Result<String, String> {
    let mut svg = String::new();
    let most = lines.iter().flat_map(|(_, points)| points.iter().map(|(_, y)| *y)).fold(1.0, f64::max) * 1.08;
    {
        let draw = |e: &dyn std::fmt::Display| format!("cannot draw: {e}");
        let area = SVGBackend::with_string(&mut svg, (760, 260)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| draw(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds, 0.0..most)
            .map_err(|e| draw(&e))?;
        let mesh = chart.configure_mesh().light_line_style(WHITE).x_desc("s").draw();
        mesh.map_err(|e| draw(&e))?;
        let band = |band: &FaultBand| {
            let corners = [(band.from.max(0.0), 0.0), (band.to.min(seconds), most)];
            Rectangle::new(corners, RGBColor(230, 120, 60).mix(0.16).filled())
        };
        chart.draw_series(bands.iter().map(band)).map_err(|e| draw(&e))?;
        for (n, (name, points)) in lines.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
            let series = chart.draw_series(series).map_err(|e| draw(&e))?;
            if lines.len() <= 12 {
                let key = move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color.stroke_width(2));
                series.label(name).legend(key);
            }
        }
        if lines.len() <= 12 {
            let mut labels = chart.configure_series_labels();
            labels.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.8));
            labels.draw().map_err(|e| draw(&e))?;
        }
        area.present().map_err(|e| draw(&e))?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

pub fn page(results: &Results, charts: &[RunCharts]) -> String {
    let mut out = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title><style>\
         body{{font:14px/1.5 sans-serif;margin:2em;max-width:1640px}}pre{{background:#f5f5f2;padding:1em;overflow:auto}}\
         .runs{{display:flex;flex-wrap:wrap;gap:1.5em}}.bad{{color:#a00}}svg{{max-width:100%}}</style>\
         <h1>{name}</h1><pre>{}</pre><p>rules broken: <b>{}</b>, bounds missed: <b>{}</b>. Shaded: faults.</p>",
        escape(&crate::experiment::table(results)),
        results.rules_broken,
        results.bounds_missed,
        name = escape(&results.scenario),
    );
    for run in results.runs.iter().filter(|run| !run.breaches.is_empty()) {
        out += &format!("<h3 class=\"bad\">{} {}</h3><pre>", escape(&run.variant), run.seed);
        run.breaches.iter().for_each(|breach| out += &format!("{}\n", escape(breach)));
        out += "</pre>";
    }
    out += "<div class=\"runs\">";
    for run in charts {
        out += &format!("<div><h2>{}</h2>{}</div>", escape(&run.title), run.svgs.join("<br>"));
    }
    out + "</div></html>\n"
}

/// A table of the figures of two results by variant, as means over the seeds.
pub fn compare(a: &Results, b: &Results) -> String {
    use crate::figures::FIGURES;
    let means = |results: &Results| {
        let mut sums: BTreeMap<(String, &str), (f64, u32)> = BTreeMap::new();
        for run in &results.runs {
            for (name, read) in FIGURES {
                let sum = sums.entry((run.variant.clone(), *name)).or_default();
                *sum = (sum.0 + read(&run.figures), sum.1 + 1);
            }
        }
        sums
    };
    let (first, second) = (means(a), means(b));
    let mut out = format!("{:<16} {:<20} {:>12} {:>12} {:>8}\n", "variant", "figure", "a", "b", "b/a");
    for ((variant, name), (sum, count)) in &first {
        let Some((other, others)) = second.get(&(variant.clone(), name)) else { continue };
        let (x, y) = (sum / f64::from(*count), other / f64::from(*others));
        let ratio = if x == 0.0 { "-".to_string() } else { format!("{:.3}", y / x) };
        out += &format!("{variant:<16} {name:<20} {x:>12.3} {y:>12.3} {ratio:>8}\n");
    }
    out + &format!("rules broken: {} and {}\n", a.rules_broken, b.rules_broken)
}
