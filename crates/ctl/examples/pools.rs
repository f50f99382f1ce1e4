//! Measures what a pool's loss costs: with a fallback, without one, and beside a naive relay that sends all at once to the
//! other pool. Prints a table, and draws the worth earned in each second.
//!
//!     cargo build --release && cargo run --release -p wrenctl --example pools
//!
//! `docs/measurements/pools.md` has what it printed; it wants the machine to itself.

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, Rectangle,
    SVGBackend, BLACK, WHITE,
};
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use wrenfork_testbed::report::{Report, Verdict};
use wrenfork_testbed::rig::{play, Run};
use wrenfork_testbed::scenario::Scenario;

const PLOT: &str = "docs/measurements/pool-lost.svg";
/// The second in which the pool is lost, and in which it is back.
const LOST: (usize, usize) = (6, 14);

fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("this program's path");
    own.parent()
        .and_then(Path::parent)
        .expect("the folder of programs")
        .join(name)
}

fn script(folder: &Path, name: &str, line: &str) -> PathBuf {
    let at = folder.join(name);
    fs::write(&at, format!("#!/bin/sh\n{line}\n")).expect("a script");
    fs::set_permissions(&at, fs::Permissions::from_mode(0o755)).expect("a mode");
    at
}

fn pools(fallback: &str) -> String {
    format!(
        "version = 1\nkind = \"ingress\"\n[[pool]]\nname = \"a\"\nhalls = [\"hall-a\"]\n{fallback}\
         [[pool]]\nname = \"b\"\nhalls = [\"hall-b\"]\n[[route]]\nclass = \"quote\"\npool = \"a\"\n\
         [[route]]\nclass = \"referral\"\npool = \"b\"\n"
    )
}

fn one(scenario: &Scenario, program: &Path) -> Report {
    loop {
        let stop = AtomicBool::new(false);
        let report = play(
            scenario,
            Run {
                program,
                stop: &stop,
                watch: None,
            },
        )
        .unwrap_or_else(|e| panic!("{e}"));
        if report.verdict != Verdict::Late {
            return report;
        }
        eprintln!("the machine held the rig up: played again");
    }
}

fn mean(seconds: &[f64]) -> f64 {
    seconds.iter().sum::<f64>() / seconds.len().max(1) as f64
}

fn draw(runs: &[(&str, Report)]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(PLOT, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let last = runs.iter().map(|r| r.1.seconds.len()).max().unwrap_or(1);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Worth earned of what was offered, by second; the pool of the quotes is lost from 6 s to 14 s",
            ("sans-serif", 16),
        )
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0..last, 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("share of the worth")
        .draw()?;
    chart.draw_series([Rectangle::new(
        [(LOST.0, 0.0), (LOST.1, 1.05)],
        BLACK.mix(0.06).filled(),
    )])?;
    for (n, (name, report)) in runs.iter().enumerate() {
        let colour = Palette99::pick(n).stroke_width(2);
        let points = report
            .seconds
            .iter()
            .enumerate()
            .map(|(s, share)| (s, share.min(1.05)));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn main() {
    let scenario = Scenario::read(Path::new("crates/testbed/measurements/pool-lost.toml"));
    let scenario = scenario.unwrap_or_else(|found| panic!("{}", found[0]));
    let folder = tempfile::tempdir().expect("a folder");
    let ingress = |name: &str, fallback: &str| {
        let file = folder.path().join(format!("{name}.toml"));
        fs::write(&file, pools(fallback)).expect("a file");
        let line = format!(
            "exec '{}' --operator '{}'",
            program("wrenfork").display(),
            file.display()
        );
        script(folder.path(), name, &line)
    };
    let relay = format!(
        "WRENFORK_RELAY=fallback exec '{}'",
        program("wrenfork-relay").display()
    );
    let kinds = [
        ("with a fallback", ingress("with", "fallback = \"b\"\n")),
        ("without one", ingress("without", "")),
        ("naive: all at once", script(folder.path(), "naive", &relay)),
    ];
    let runs: Vec<(&str, Report)> = kinds
        .iter()
        .map(|(name, at)| (*name, one(&scenario, at)))
        .collect();
    println!("| | whole run | quotes | referrals | while lost | worst 10 s | refused | failed |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, r) in &runs {
        let of = |class: &str| {
            r.classes
                .iter()
                .find(|c| c.name == class)
                .map_or(0.0, |c| c.share)
        };
        let lost = mean(&r.seconds[LOST.0.min(r.seconds.len())..LOST.1.min(r.seconds.len())]);
        println!(
            "| {name} | {:.3} | {:.3} | {:.3} | {lost:.3} | {:.3} | {} | {} |",
            r.goodput,
            of("quote"),
            of("referral"),
            r.worst_10s,
            r.refused,
            r.failed
        );
    }
    draw(&runs).unwrap_or_else(|e| panic!("{PLOT}: {e}"));
}
