//! Colours for people. They vanish where the output is no terminal or `NO_COLOR` is set (`anstream` sees to that).

use anstyle::{AnsiColor, Style};
use std::fmt::Display;

fn paint(style: Style, text: impl Display) -> String {
    format!("{style}{text}{style:#}")
}

/// Something is as it should be.
pub fn good(text: impl Display) -> String {
    paint(AnsiColor::Green.on_default(), text)
}

/// Something is wrong.
pub fn bad(text: impl Display) -> String {
    paint(AnsiColor::Red.on_default().bold(), text)
}

/// Something is doubtful.
pub fn doubtful(text: impl Display) -> String {
    paint(AnsiColor::Yellow.on_default(), text)
}

/// A heading.
pub fn head(text: impl Display) -> String {
    paint(Style::new().bold(), text)
}

/// A table with plain borders: it reads the same on a terminal and in a file.
pub fn table(header: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(header.to_vec());
    table
}

/// Values from 0 to 1 as a line of bars.
pub fn bars(values: &[f64]) -> String {
    const BARS: [char; 8] = ['▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    values
        .iter()
        .map(|v| BARS[((v.clamp(0.0, 1.0) * 7.0).round()) as usize])
        .collect()
}
