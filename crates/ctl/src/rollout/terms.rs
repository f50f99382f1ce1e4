//! Reads the rollout file: the stages of a rollout and its policy.

use serde::Deserialize;
use std::path::Path;
use wrenfork_config::values::time;
use wrenfork_rollout::{RolloutPolicy, StageScope};

/// The only format version.
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
            "the file must have version = {VERSION} and kind = \"rollout\""
        ));
    }
    let ms = |text: &Option<String>, key: &str, default: u64| match text {
        None => Ok(default),
        Some(text) => time(text)
            .map(|us| us / 1_000)
            .map_err(|reason| format!("{key}: {reason}")),
    };
    let defaults = RolloutPolicy::default();
    let watch_ms = ms(&file.watch, "watch", defaults.min_watch_ms)?;
    let policy = RolloutPolicy {
        min_watch_ms: watch_ms,
        timeout_ms: ms(
            &file.patience,
            "patience",
            defaults.timeout_ms.max(10 * watch_ms),
        )?,
        rollback_interval_ms: ms(&file.pause, "pause", defaults.rollback_interval_ms)?,
        max_unavailable: file.away.unwrap_or(defaults.max_unavailable),
        regression_ppm: file
            .worse
            .map_or(Ok(defaults.regression_ppm), |s| millionths(s, "worse"))?,
        false_alarm_ppm: file
            .error
            .map_or(Ok(defaults.false_alarm_ppm), |s| millionths(s, "error"))?,
    };
    policy.validate().map_err(|error| error.to_string())?;
    let scopes = file
        .stages
        .iter()
        .map(|s| s.parse::<StageScope>().map_err(|error| error.to_string()))
        .collect::<Result<Vec<_>, _>>()?;
    Ok((scopes, policy))
}

/// Reads and validates the rollout file.
///
/// # Errors
///
/// With the file's name and the invalid field or syntax error.
pub fn read(path: &Path) -> Result<(Vec<StageScope>, RolloutPolicy), String> {
    let in_file = |reason: String| format!("{}: {}", path.display(), reason.trim_end());
    let text = std::fs::read_to_string(path).map_err(|e| in_file(e.to_string()))?;
    parse(&text).map_err(in_file)
}

#[cfg(test)]
mod tests {
    use super::{parse, RolloutPolicy};

    const VALID: &str = include_str!("../../../../deploy/rollout.toml");

    #[test]
    fn shipped_file_is_valid_and_each_invalid_value_is_reported() {
        let (scopes, policy) = parse(VALID).unwrap();
        assert_eq!((scopes.len(), policy), (4, RolloutPolicy::default()));
        for (valid, invalid, reason) in [
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
            assert!(VALID.contains(valid), "{valid}");
            let error = parse(&VALID.replacen(valid, invalid, 1)).unwrap_err();
            assert!(error.contains(reason), "{invalid}: {error}");
        }
    }
}
