//! The HTML report of a rollout: its phases, the measures that were compared with their test wealth, and why it ended.

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, RGBColor, SVGBackend, BLACK, WHITE,
};
use std::fmt::Write as _;
use std::path::Path;
use wrenfork_rollout::comparison::Measure;
use wrenfork_rollout::{MeasureReport, StageReport};

/// Maximum number of samples kept; of a longer rollout the chart shows the newest ones.
const MAX_SAMPLES: usize = 20_000;
/// Width and height of the chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 320);
/// Lower bound of the chart: a smaller test wealth is no evidence and is drawn at this value.
const MIN_CHART_WEALTH: f64 = 1e-3;

/// The state of a rollout at one time.
struct Sample {
    /// Seconds since the start of the watch.
    at: f64,
    phase: String,
    reason: String,
    report: Option<StageReport>,
}

/// The samples of a rollout, oldest first.
#[derive(Default)]
pub struct Page {
    samples: Vec<Sample>,
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

impl Page {
    /// Adds a sample, and removes the oldest if there are too many.
    pub fn add_sample(
        &mut self,
        at: f64,
        phase: String,
        reason: String,
        report: Option<StageReport>,
    ) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.remove(0);
        }
        self.samples.push(Sample {
            at,
            phase,
            reason,
            report,
        });
    }

    /// The phases in order, with the first and the last sample of each.
    fn phases(&self) -> Vec<(&Sample, &Sample)> {
        let mut phases: Vec<(&Sample, &Sample)> = Vec::new();
        for sample in &self.samples {
            match phases.last_mut() {
                Some((first, last)) if first.phase == sample.phase => *last = sample,
                _ => phases.push((sample, sample)),
            }
        }
        phases
    }

    /// Draws the test wealth over time: per measure that the change is worse, and overall that it is good.
    fn chart(&self) -> Result<String, String> {
        let error = |e: &dyn std::fmt::Display| format!("cannot draw the chart: {e}");
        let log_wealth = |s: f64| s.max(MIN_CHART_WEALTH).log10();
        let reports: Vec<(f64, &StageReport)> = self
            .samples
            .iter()
            .filter_map(|m| Some((m.at, m.report.as_ref()?)))
            .collect();
        let values = reports.iter().flat_map(|(_, s)| {
            s.measures
                .iter()
                .map(|m| m.wealth)
                .chain([s.good, s.needed])
        });
        let top = values.fold(10.0, f64::max).min(1e9).log10() + 0.2;
        let end = self.samples.last().map_or(1.0, |m| m.at.max(1.0));
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
            area.fill(&WHITE).map_err(|e| error(&e))?;
            let mut chart = ChartBuilder::on(&area)
                .margin(12)
                .x_label_area_size(32)
                .y_label_area_size(48)
                .build_cartesian_2d(0.0..end, MIN_CHART_WEALTH.log10()..top)
                .map_err(|e| error(&e))?;
            chart
                .configure_mesh()
                .x_desc("seconds")
                .y_desc("test wealth, powers of ten")
                .draw()
                .map_err(|e| error(&e))?;
            let mut line = |points: Vec<(f64, f64)>, colour: RGBColor, width: u32| {
                let series = LineSeries::new(points, colour.stroke_width(width));
                chart.draw_series(series).map(drop).map_err(|e| error(&e))
            };
            for (n, measure) in Measure::ALL.into_iter().enumerate() {
                let of = |s: &StageReport| {
                    s.measures
                        .iter()
                        .find(|m| m.measure == measure)
                        .map(|m| m.wealth)
                };
                let points = reports
                    .iter()
                    .filter_map(|(at, s)| Some((*at, log_wealth(of(s)?).min(top))));
                line(points.collect(), MEASURE_COLOURS[n], 1)?;
            }
            line(
                reports
                    .iter()
                    .map(|(at, s)| (*at, log_wealth(s.good).min(top)))
                    .collect(),
                GOOD_COLOUR,
                2,
            )?;
            line(
                reports
                    .iter()
                    .map(|(at, s)| (*at, log_wealth(s.needed)))
                    .collect(),
                BLACK,
                1,
            )?;
            area.present().map_err(|e| error(&e))?;
        }
        Ok(svg)
    }

    /// Renders the whole report.
    ///
    /// # Errors
    ///
    /// If the chart cannot be drawn.
    pub fn html(&self, name: &str) -> Result<String, String> {
        let last = self.samples.last();
        let end = last.map_or(String::new(), |m| m.phase.clone());
        let reason = last.map_or(String::new(), |m| m.reason.clone());
        let mut text = format!(
            "<!doctype html>\n<meta charset=\"utf-8\">\n<title>Rollout: {name}</title>\n\
             <style>body{{font:15px sans-serif;max-width:60em;margin:2em auto}}td,th{{padding:.2em .8em;text-align:left}}</style>\n\
             <h1>Rollout: {name}</h1>\n<p><b>{}</b> {}</p>\n<h2>Phases</h2>\n<table><tr><th>phase<th>from, s<th>to, s<th>why</tr>\n",
            escaped(&end),
            escaped(&reason),
            name = escaped(name)
        );
        for (first, until) in self.phases() {
            let (phase, reason) = (escaped(&first.phase), escaped(&until.reason));
            let _ = writeln!(
                text,
                "<tr><td>{phase}<td>{:.0}<td>{:.0}<td>{reason}</tr>",
                first.at, until.at
            );
        }
        text.push_str("</table>\n<h2>What was compared</h2>\n");
        for (first, until) in self.phases() {
            let Some(s) = &until.report else { continue };
            let _ = writeln!(
                text,
                "<h3>{}</h3>\n<p>{} blocks; good {:.1} of {:.0}</p>\n<table><tr><th>measure<th>new compared with old, beyond the \
                 difference between members<th>test wealth that it is worse</tr>",
                escaped(&first.phase),
                s.blocks,
                s.good,
                s.needed
            );
            for MeasureReport {
                measure,
                mean,
                wealth,
            } in &s.measures
            {
                let _ = writeln!(
                    text,
                    "<tr><td>{measure}<td>{:+.2}%<td>{wealth:.2}</tr>",
                    mean * 100.0
                );
            }
            text.push_str("</table>\n");
        }
        text.push_str("<h2>Test wealth</h2>\n<p>Starts at 1. Black: the threshold of a decision. Wide green: that the change is good.");
        for (measure, colour) in Measure::ALL.into_iter().zip(MEASURE_COLOURS) {
            let RGBColor(r, g, b) = colour;
            let _ = write!(
                text,
                " <span style=\"color:rgb({r},{g},{b})\">{measure}</span>;"
            );
        }
        let _ = writeln!(text, "</p>\n{}", self.chart()?);
        Ok(text)
    }

    /// Writes the report to a file.
    ///
    /// # Errors
    ///
    /// If the chart cannot be drawn or the file cannot be written.
    pub fn write(&self, name: &str, to: &Path) -> Result<(), String> {
        std::fs::write(to, self.html(name)?).map_err(|e| format!("{}: {e}", to.display()))
    }
}

/// Line of the evidence that the change is good.
const GOOD_COLOUR: RGBColor = RGBColor(46, 160, 67);
/// One line colour per measure, in the order of `Measure::ALL`.
const MEASURE_COLOURS: [RGBColor; 6] = [
    RGBColor(200, 30, 30),
    RGBColor(220, 120, 20),
    RGBColor(120, 60, 180),
    RGBColor(30, 90, 200),
    RGBColor(90, 90, 90),
    RGBColor(160, 120, 60),
];

#[cfg(test)]
mod tests {
    use super::{Measure, MeasureReport, Page, StageReport};

    #[test]
    fn report_names_phases_reason_and_measures_and_escapes_html() {
        let mut page = Page::default();
        assert!(page.html("empty").is_ok(), "report without samples");
        let report = |wealth| StageReport {
            changing: Vec::new(),
            measures: vec![MeasureReport {
                measure: Measure::Percentile99,
                mean: 0.031,
                wealth,
            }],
            good: 2.0,
            needed: 400.0,
            blocks: 7,
            unavailable: Vec::new(),
        };
        page.add_sample(0.0, "stage 1 of 2".into(), String::new(), Some(report(1.5)));
        page.add_sample(
            9.0,
            "stage 1 of 2".into(),
            String::new(),
            Some(report(f64::INFINITY)),
        );
        page.add_sample(10.0, "stopped".into(), "answers later <b>".into(), None);
        let html = page.html("desk & co").unwrap();
        for part in [
            "Rollout: desk &amp; co",
            "<b>stopped</b> answers later &lt;b&gt;",
            "<td>stage 1 of 2<td>0<td>9<td>",
            "7 blocks; good 2.0 of 400",
            "responses later than the previous 99th percentile<td>+3.10%",
            "<svg",
        ] {
            assert!(html.contains(part), "{part} is not in\n{html}");
        }
    }
}
