//! The page at a rollout's end: one file, with what was compared, how sure it became, and why it ended as it did.

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, RGBColor, SVGBackend, BLACK, WHITE,
};
use std::fmt::Write as _;
use std::path::Path;
use wrenfork_rollout::comparison::Measure;
use wrenfork_rollout::{MeasureReport, StageReport};

/// Moments that are kept; of a longer rollout the charts show the last ones.
const MOST: usize = 20_000;
const SIZE: (u32, u32) = (900, 320);
/// Stakes below this are drawn as this: nothing speaks for it.
const LEAST: f64 = 1e-3;

/// A look at a rollout.
struct Moment {
    /// Seconds since the first look.
    at: f64,
    phase: String,
    why: String,
    standing: Option<StageReport>,
}

/// What was seen of a rollout.
#[derive(Default)]
pub struct Page {
    moments: Vec<Moment>,
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

impl Page {
    /// Notes a look.
    pub fn note(&mut self, at: f64, phase: String, why: String, standing: Option<StageReport>) {
        if self.moments.len() >= MOST {
            self.moments.remove(0);
        }
        self.moments.push(Moment {
            at,
            phase,
            why,
            standing,
        });
    }

    /// The phases in their order: from when to when, and the last look at each.
    fn phases(&self) -> Vec<(&Moment, &Moment)> {
        let mut phases: Vec<(&Moment, &Moment)> = Vec::new();
        for moment in &self.moments {
            match phases.last_mut() {
                Some((first, last)) if first.phase == moment.phase => *last = moment,
                _ => phases.push((moment, moment)),
            }
        }
        phases
    }

    /// The stakes over time, of all measures that it is worse and of the one that it is good.
    fn chart(&self) -> Result<String, String> {
        let told = |e: &dyn std::fmt::Display| format!("the chart can't be drawn: {e}");
        let stake = |s: f64| s.max(LEAST).log10();
        let looks: Vec<(f64, &StageReport)> = self
            .moments
            .iter()
            .filter_map(|m| Some((m.at, m.standing.as_ref()?)))
            .collect();
        let most = looks.iter().flat_map(|(_, s)| {
            s.measures
                .iter()
                .map(|m| m.wealth)
                .chain([s.good, s.needed])
        });
        let top = most.fold(10.0, f64::max).min(1e9).log10() + 0.2;
        let end = self.moments.last().map_or(1.0, |m| m.at.max(1.0));
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            area.fill(&WHITE).map_err(|e| told(&e))?;
            let mut chart = ChartBuilder::on(&area)
                .margin(12)
                .x_label_area_size(32)
                .y_label_area_size(48)
                .build_cartesian_2d(0.0..end, LEAST.log10()..top)
                .map_err(|e| told(&e))?;
            chart
                .configure_mesh()
                .x_desc("seconds")
                .y_desc("stake, powers of ten")
                .draw()
                .map_err(|e| told(&e))?;
            let mut line = |points: Vec<(f64, f64)>, colour: RGBColor, wide: u32| {
                let series = LineSeries::new(points, colour.stroke_width(wide));
                chart.draw_series(series).map(drop).map_err(|e| told(&e))
            };
            for (n, measure) in Measure::ALL.into_iter().enumerate() {
                let of = |s: &StageReport| {
                    s.measures
                        .iter()
                        .find(|m| m.measure == measure)
                        .map(|m| m.wealth)
                };
                let points = looks
                    .iter()
                    .filter_map(|(at, s)| Some((*at, stake(of(s)?).min(top))));
                line(points.collect(), COLOURS[n], 1)?;
            }
            line(
                looks
                    .iter()
                    .map(|(at, s)| (*at, stake(s.good).min(top)))
                    .collect(),
                GOOD,
                2,
            )?;
            line(
                looks.iter().map(|(at, s)| (*at, stake(s.needed))).collect(),
                BLACK,
                1,
            )?;
            area.present().map_err(|e| told(&e))?;
        }
        Ok(svg)
    }

    /// All of it.
    ///
    /// # Errors
    ///
    /// Where the chart can't be drawn.
    pub fn html(&self, name: &str) -> Result<String, String> {
        let last = self.moments.last();
        let end = last.map_or(String::new(), |m| m.phase.clone());
        let why = last.map_or(String::new(), |m| m.why.clone());
        let mut text = format!(
            "<!doctype html>\n<meta charset=\"utf-8\">\n<title>Rollout: {name}</title>\n\
             <style>body{{font:15px sans-serif;max-width:60em;margin:2em auto}}td,th{{padding:.2em .8em;text-align:left}}</style>\n\
             <h1>Rollout: {name}</h1>\n<p><b>{}</b> {}</p>\n<h2>Phases</h2>\n<table><tr><th>phase<th>from, s<th>to, s<th>why</tr>\n",
            escaped(&end),
            escaped(&why),
            name = escaped(name)
        );
        for (first, until) in self.phases() {
            let (phase, why) = (escaped(&first.phase), escaped(&until.why));
            let _ = writeln!(
                text,
                "<tr><td>{phase}<td>{:.0}<td>{:.0}<td>{why}</tr>",
                first.at, until.at
            );
        }
        text.push_str("</table>\n<h2>What was compared</h2>\n");
        for (first, until) in self.phases() {
            let Some(s) = &until.standing else { continue };
            let _ = writeln!(
                text,
                "<h3>{}</h3>\n<p>{} blocks; good {:.1} of {:.0}</p>\n<table><tr><th>measure<th>new beside old, beyond what \
                 members differ by<th>stake that it is worse</tr>",
                escaped(&first.phase),
                s.blocks,
                s.good,
                s.needed
            );
            for MeasureReport {
                measure,
                mean,
                wealth: stake,
            } in &s.measures
            {
                let _ = writeln!(
                    text,
                    "<tr><td>{measure}<td>{:+.2}%<td>{stake:.2}</tr>",
                    mean * 100.0
                );
            }
            text.push_str("</table>\n");
        }
        text.push_str("<h2>Stakes</h2>\n<p>What a stake of 1 came to. Black: from here on it counts. Wide green: that it is good.");
        for (measure, colour) in Measure::ALL.into_iter().zip(COLOURS) {
            let RGBColor(r, g, b) = colour;
            let _ = write!(
                text,
                " <span style=\"color:rgb({r},{g},{b})\">{measure}</span>;"
            );
        }
        let _ = writeln!(text, "</p>\n{}", self.chart()?);
        Ok(text)
    }

    /// Writes it.
    ///
    /// # Errors
    ///
    /// Where the chart can't be drawn, or the file can't be written.
    pub fn write(&self, name: &str, to: &Path) -> Result<(), String> {
        std::fs::write(to, self.html(name)?).map_err(|e| format!("{}: {e}", to.display()))
    }
}

const GOOD: RGBColor = RGBColor(46, 160, 67);
const COLOURS: [RGBColor; 6] = [
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
    fn it_says_why_it_ended_and_what_was_compared_and_is_one_whole_file() {
        let mut page = Page::default();
        assert!(page.html("empty").is_ok(), "nothing was seen yet");
        let standing = |stake| StageReport {
            changing: Vec::new(),
            measures: vec![MeasureReport {
                measure: Measure::Percentile99,
                mean: 0.031,
                wealth: stake,
            }],
            good: 2.0,
            needed: 400.0,
            blocks: 7,
            unavailable: Vec::new(),
        };
        page.note(
            0.0,
            "stage 1 of 2".into(),
            String::new(),
            Some(standing(1.5)),
        );
        page.note(
            9.0,
            "stage 1 of 2".into(),
            String::new(),
            Some(standing(f64::INFINITY)),
        );
        page.note(10.0, "stopped".into(), "answers later <b>".into(), None);
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
