//! Colours and tables of text output. `anstream` drops the colours if the output is no terminal or `NO_COLOR` is set.

use anstyle::{AnsiColor, Style};
use std::fmt::Display;

fn styled(style: Style, text: impl Display) -> String {
    format!("{style}{text}{style:#}")
}

/// Green: a success or a healthy state.
pub fn good(text: impl Display) -> String {
    styled(AnsiColor::Green.on_default(), text)
}

/// Bold red: an error or a failed state.
pub fn bad(text: impl Display) -> String {
    styled(AnsiColor::Red.on_default().bold(), text)
}

/// Yellow: a warning or an uncertain state.
pub fn doubtful(text: impl Display) -> String {
    styled(AnsiColor::Yellow.on_default(), text)
}

/// Bold: a heading.
pub fn head(text: impl Display) -> String {
    styled(Style::new().bold(), text)
}

/// A table without borders, so that it reads the same on a terminal and in a file.
pub fn table(header: &[&str]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(header.to_vec());
    table
}

/// Draws values from 0 to 1 as a line of bar characters; values outside are clamped.
pub fn bars(values: &[f64]) -> String {
    const BARS: [char; 8] = ['▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    values
        .iter()
        .map(|value| BARS[((value.clamp(0.0, 1.0) * 7.0).round()) as usize])
        .collect()
}
