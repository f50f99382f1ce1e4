//! Measures the cost of losing a pool: with a fallback, without one, and for a naive relay that sends all requests to the
//! other pool at once. Prints a table, and draws the worth earned in each second.
//!
//!     cargo build --release && cargo run --release -p wrenctl --example pools
//!
//! Results are in `docs/measurements/pools.md`. Needs an otherwise idle machine.

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
/// The seconds at which the pool is lost and at which it is back.
const OUTAGE: (usize, usize) = (6, 14);

fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("path of this executable");
    own.parent()
        .and_then(Path::parent)
        .expect("the build output folder")
        .join(name)
}

fn write_script(folder: &Path, name: &str, line: &str) -> PathBuf {
    let at = folder.join(name);
    fs::write(&at, format!("#!/bin/sh\n{line}\n")).expect("write a script");
    fs::set_permissions(&at, fs::Permissions::from_mode(0o755))
        .expect("make the script executable");
    at
}

fn ingress_file(fallback: &str) -> String {
    format!(
        "version = 1\nkind = \"ingress\"\n[[pool]]\nname = \"a\"\nhalls = [\"hall-a\"]\n{fallback}\
         [[pool]]\nname = \"b\"\nhalls = [\"hall-b\"]\n[[route]]\nclass = \"quote\"\npool = \"a\"\n\
         [[route]]\nclass = \"referral\"\npool = \"b\"\n"
    )
}

fn play_in_time(scenario: &Scenario, program: &Path) -> Report {
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
        eprintln!("the rig was late: the run is repeated");
    }
}

fn mean(seconds: &[f64]) -> f64 {
    seconds.iter().sum::<f64>() / seconds.len().max(1) as f64
}

fn draw_chart(runs: &[(&str, Report)]) -> Result<(), Box<dyn std::error::Error>> {
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
        [(OUTAGE.0, 0.0), (OUTAGE.1, 1.05)],
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
    let folder = tempfile::tempdir().expect("create a folder");
    let ingress = |name: &str, fallback: &str| {
        let file = folder.path().join(format!("{name}.toml"));
        fs::write(&file, ingress_file(fallback)).expect("write a file");
        let line = format!(
            "exec '{}' --operator '{}'",
            program("wrenfork").display(),
            file.display()
        );
        write_script(folder.path(), name, &line)
    };
    let relay = format!(
        "WRENFORK_RELAY=fallback exec '{}'",
        program("wrenfork-relay").display()
    );
    let programs = [
        ("with a fallback", ingress("with", "fallback = \"b\"\n")),
        ("without one", ingress("without", "")),
        (
            "naive: all at once",
            write_script(folder.path(), "naive", &relay),
        ),
    ];
    let runs: Vec<(&str, Report)> = programs
        .iter()
        .map(|(name, at)| (*name, play_in_time(&scenario, at)))
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
        let during_outage =
            mean(&r.seconds[OUTAGE.0.min(r.seconds.len())..OUTAGE.1.min(r.seconds.len())]);
        println!(
            "| {name} | {:.3} | {:.3} | {:.3} | {during_outage:.3} | {:.3} | {} | {} |",
            r.goodput,
            of("quote"),
            of("referral"),
            r.worst_10s,
            r.refused,
            r.failed
        );
    }
    draw_chart(&runs).unwrap_or_else(|e| panic!("{PLOT}: {e}"));
}
