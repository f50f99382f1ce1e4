//! The file that says in which stages a change goes through, and what is asked of each.

use serde::Deserialize;
use std::path::Path;
use wrenfork_config::values::time;
use wrenfork_rollout::{RolloutPolicy, StageScope};

/// The only version of the form so far.
const VERSION: u32 = 1;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: u32,
    kind: String,
    stages: Vec<String>,
    watch: Option<String>,
    patience: Option<String>,
    pause: Option<String>,
    away: Option<usize>,
    worse: Option<f64>,
    error: Option<f64>,
}

fn millionths(share: f64, key: &str) -> Result<u32, String> {
    let share = Some(share).filter(|s| (0.0..=1.0).contains(s));
    share
        .map(|s| (s * 1e6).round() as u32)
        .ok_or_else(|| format!("{key} is a share from 0 to 1"))
}

fn parse(text: &str) -> Result<(Vec<StageScope>, RolloutPolicy), String> {
    let file: File = toml::from_str(text).map_err(|e| e.to_string())?;
    if file.version != VERSION || file.kind != "rollout" {
        return Err(format!(
            "it must say version = {VERSION} and kind = \"rollout\""
        ));
    }
    let ms = |text: &Option<String>, key: &str, absent: u64| match text {
        None => Ok(absent),
        Some(text) => time(text)
            .map(|us| us / 1_000)
            .map_err(|why| format!("{key}: {why}")),
    };
    let usual = RolloutPolicy::default();
    let watch_ms = ms(&file.watch, "watch", usual.min_watch_ms)?;
    let terms = RolloutPolicy {
        min_watch_ms: watch_ms,
        timeout_ms: ms(
            &file.patience,
            "patience",
            usual.timeout_ms.max(10 * watch_ms),
        )?,
        rollback_interval_ms: ms(&file.pause, "pause", usual.rollback_interval_ms)?,
        max_unavailable: file.away.unwrap_or(usual.max_unavailable),
        regression_ppm: file
            .worse
            .map_or(Ok(usual.regression_ppm), |s| millionths(s, "worse"))?,
        false_alarm_ppm: file
            .error
            .map_or(Ok(usual.false_alarm_ppm), |s| millionths(s, "error"))?,
    };
    terms.validate().map_err(|error| error.to_string())?;
    let reach = file
        .stages
        .iter()
        .map(|s| s.parse::<StageScope>().map_err(|error| error.to_string()))
        .collect::<Result<Vec<_>, _>>()?;
    Ok((reach, terms))
}

/// Reads the file.
///
/// # Errors
///
/// With what is wrong, and the file's name.
pub fn read(path: &Path) -> Result<(Vec<StageScope>, RolloutPolicy), String> {
    let told = |why: String| format!("{}: {}", path.display(), why.trim_end());
    let text = std::fs::read_to_string(path).map_err(|e| told(e.to_string()))?;
    parse(&text).map_err(told)
}

#[cfg(test)]
mod tests {
    use super::{parse, RolloutPolicy};

    const GOOD: &str = include_str!("../../../../deploy/rollout.toml");

    #[test]
    fn the_file_that_ships_is_good_and_what_is_wrong_with_one_is_told() {
        let (reach, terms) = parse(GOOD).unwrap();
        assert_eq!((reach.len(), terms), (4, RolloutPolicy::default()));
        for (good, bad, why) in [
            ("version = 1", "version = 2", "version = 1"),
            (
                "kind = \"rollout\"",
                "kind = \"site\"",
                "kind = \"rollout\"",
            ),
            ("\"10%\"", "\"some\"", "a stage is written"),
            ("watch = \"60s\"", "watch = \"60\"", "watch: "),
            ("watch = \"60s\"", "watch = \"0s\"", "1 s to a day"),
            ("patience = \"10m\"", "patience = \"1s\"", "patience"),
            ("worse = 0.02", "worse = 2", "worse is a share"),
            ("error = 0.01", "error = 0", "a chance from"),
            ("away = 1", "away = -1", "away"),
            ("away = 1", "colour = 1", "unknown field"),
        ] {
            assert!(GOOD.contains(good), "{good}");
            let found = parse(&GOOD.replacen(good, bad, 1)).unwrap_err();
            assert!(found.contains(why), "{bad}: {found}");
        }
    }
}
