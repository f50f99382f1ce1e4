//! Reloading the configuration at SIGHUP while serving. A reload is applied completely or not at all, through the same path as a
//! change made with `wrenctl apply`. Each file is accepted or refused once; a truncated file may still be in the middle of
//! being written and is read again.

#[cfg(test)]
mod tests;

use crate::config::{compile, ActiveConfig, Config, ConfigError, ConfigSource, ListenAddress};
use crate::error::BoxError;
use crate::reload_status::{ReloadOutcome, ReloadStatusFile};
use wrenfork_commit::state::State;
use wrenfork_config::enforced::{align, Pairs, SplitSettings};
use wrenfork_decision::Micros;

/// Initial backoff before a file that may be half written is read again, in microseconds; doubled up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Micros = 50_000;
/// Maximum backoff before the next reading, in microseconds.
const MAX_BACKOFF: Micros = 2_000_000;
/// Key of the list of machine types, which is derived from the pools and the known endpoints. It may differ after a reload,
/// since no decision depends on it.
const DERIVED_KEY: &str = "skus";

/// Why a reload is refused.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The files are invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The classes and plans of the new state cannot be aligned with those of the enforced state.
    #[error("{0}")]
    Align(#[source] BoxError),
    /// A setting differs that can only be changed by a restart.
    #[error("setting {0} is fixed and can only be changed by a restart")]
    FixedSetting(String),
    /// The listen address or a resource limit differs.
    #[error("listen, memory and descriptors can only be changed by a restart")]
    FixedLimits,
    /// The indices of plans or classes differ. Peers refer to plans and classes by index, so all must change together.
    #[error(
        "the files change indices of plans or classes, which must change at all ingresses at once: use wrenctl apply"
    )]
    ChangedIndices,
}

/// Number of reloads that were accepted and refused since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReloadCounts {
    /// Reloads that were applied.
    pub accepted: u64,
    /// Reloads that were refused, each counted once however often its files are read again.
    pub refused: u64,
}

/// Result of reading the files.
pub enum Reload {
    /// The configuration is valid and is to be enforced.
    Apply(Box<ActiveConfig>),
    /// The files may be half written and are to be read again at this time.
    RetryAt(Micros),
    /// No reading is due, or the files were refused and reading them again would give the same result.
    Nothing,
}

/// Values other than settings that can only be changed by a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FixedLimits {
    listen: ListenAddress,
    max_descriptors: usize,
    memory: usize,
}

impl FixedLimits {
    fn of(config: &Config) -> FixedLimits {
        FixedLimits {
            listen: config.listen.clone(),
            max_descriptors: config.max_descriptors,
            memory: config.memory,
        }
    }
}

/// Reloads the configuration, and keeps the pairs of the enforced configuration to compare with.
pub struct ConfigReloader {
    source: ConfigSource,
    /// The fixed settings from the start, and the state that is enforced now.
    enforced: SplitSettings,
    limits: FixedLimits,
    has_peers: bool,
    /// Backoff after the next failed reading; `None` while no reading is due.
    backoff: Option<Micros>,
    retry_at: Micros,
    /// Whether a reading for the latest request has failed, so that the next one is a retry. Only the first failure counts.
    has_failed: bool,
    /// Whether a retry applied the enforced files. It may have read files whose own signal is still to come.
    applied_by_retry: bool,
    status: ReloadStatusFile,
    counts: ReloadCounts,
}

impl ConfigReloader {
    /// Creates a reloader for a configuration that was just read from `source`. No reading is due.
    pub fn new(source: ConfigSource, config: &Config, status: ReloadStatusFile) -> Self {
        ConfigReloader {
            source,
            enforced: config.source_pairs.clone(),
            limits: FixedLimits::of(config),
            has_peers: config.peers.is_some(),
            backoff: None,
            retry_at: 0,
            has_failed: false,
            applied_by_retry: false,
            status,
            counts: ReloadCounts::default(),
        }
    }

    /// The enforced configuration as pairs, which is handed over to a successor.
    pub fn enforced(&self) -> &SplitSettings {
        &self.enforced
    }

    /// Records the state that was applied through the control port and is now enforced, even if the files differ.
    pub fn set_enforced(&mut self, state: Pairs) {
        self.enforced.state = state;
    }

    /// Continues with the configuration that the predecessor enforced. If the files decide what is enforced, as they do without
    /// a control port, and their content differs, returns the configuration compiled from them.
    pub fn resume(
        &mut self,
        enforced: SplitSettings,
        files_decide: bool,
    ) -> Option<Box<ActiveConfig>> {
        self.enforced = enforced;
        if !files_decide {
            return None;
        }
        match self.read_if_changed() {
            Ok(active) => active.map(Box::new),
            Err(error) => {
                tracing::warn!(%error, "handover: files refused, keeping the configuration of the predecessor");
                None
            }
        }
    }

    fn read_if_changed(&mut self) -> Result<Option<ActiveConfig>, ReloadError> {
        let requested = self.source.read(|_| None)?.source_pairs.state;
        if self.align_indices(&requested)? == self.enforced.state {
            return Ok(None);
        }
        self.enforce(&requested).map(Some)
    }

    /// Gives classes and plans of a new state the indices that they have in the enforced state.
    fn align_indices(&self, requested: &Pairs) -> Result<Pairs, ReloadError> {
        align(&[&self.enforced.state], requested).map_err(|e| ReloadError::Align(e.into()))
    }

    /// Requests a reading of the files, which is repeated while they may be half written.
    pub fn request(&mut self) {
        self.backoff = Some(FIRST_BACKOFF);
        self.retry_at = 0;
        self.has_failed = false;
    }

    /// Reports a reload as refused without reading the files, because they do not decide what is enforced.
    pub fn refuse(&mut self, reason: &str) {
        tracing::warn!("reload: refused: {reason}");
        self.status.record(ReloadOutcome::Refused, reason);
    }

    /// Number of accepted and refused reloads.
    pub fn counts(&self) -> ReloadCounts {
        self.counts
    }

    /// Removes the status file when the process exits.
    pub fn close(&self) {
        self.status.remove();
    }

    /// Reads the files if a reading is due. It may not be: a reading for a later signal may already have succeeded.
    pub fn read(&mut self, now: Micros) -> Reload {
        let Some(backoff) = self.backoff.filter(|_| now >= self.retry_at) else {
            return Reload::Nothing;
        };
        let config = match self.source.read(|_| None) {
            Ok(config) => config,
            Err(error) => return self.handle_read_error(&error, backoff, now),
        };
        self.backoff = None;
        if std::mem::take(&mut self.applied_by_retry) && self.is_enforced(&config) {
            self.status.record(ReloadOutcome::Applied, "");
            return Reload::Nothing;
        }
        let checked = self.check_fixed(&config);
        // Reporting success here is safe: the event loop enforces the result before it handles anything else.
        match checked.and_then(|()| self.enforce(&config.source_pairs.state)) {
            Ok(active) => {
                self.counts.accepted += 1;
                self.applied_by_retry = self.has_failed;
                self.status.record(ReloadOutcome::Applied, "");
                Reload::Apply(Box::new(active))
            }
            Err(error) => {
                self.handle_refusal(&error);
                Reload::Nothing
            }
        }
    }

    /// Handles files that were read and cannot be enforced.
    fn handle_refusal(&mut self, error: &ReloadError) {
        tracing::warn!("reload: refused: {error}; keeping the current configuration");
        if !std::mem::replace(&mut self.has_failed, true) {
            self.counts.refused += 1;
        }
        self.status
            .record(ReloadOutcome::Refused, &error.to_string());
    }

    /// Whether the files have the same content as the enforced configuration.
    fn is_enforced(&self, config: &Config) -> bool {
        let aligned = self.align_indices(&config.source_pairs.state);
        self.check_fixed(config).is_ok() && aligned.is_ok_and(|state| state == self.enforced.state)
    }

    /// Handles files that cannot be read: reports the first failure of a reload, and schedules another reading if they may be
    /// half written.
    fn handle_read_error(&mut self, error: &ConfigError, backoff: Micros, now: Micros) -> Reload {
        let retry = self.source.may_be_half_written(error);
        if !std::mem::replace(&mut self.has_failed, true) {
            let (outcome, consequence) = if retry {
                (
                    ReloadOutcome::Retrying,
                    "keeping the current configuration and reading the files again",
                )
            } else {
                (ReloadOutcome::Refused, "keeping the current configuration")
            };
            tracing::warn!("reload: {error}; {consequence}");
            self.counts.refused += 1;
            self.status.record(outcome, &error.to_string());
        }
        self.retry_at = now + backoff;
        self.backoff = retry.then_some((backoff * 2).min(MAX_BACKOFF));
        if retry {
            Reload::RetryAt(self.retry_at)
        } else {
            Reload::Nothing
        }
    }

    /// Checks that new files change nothing that requires a restart. The platform's file is exempt: it also describes the
    /// current situation, such as the existing machine types, so differences in its fixed part are ignored.
    fn check_fixed(&self, config: &Config) -> Result<(), ReloadError> {
        if matches!(self.source, ConfigSource::Platform { .. }) {
            return Ok(());
        }
        let (old, new) = (&self.enforced.fixed, &config.source_pairs.fixed);
        let changed = old
            .iter()
            .chain(new)
            .find(|pair| pair.0 != DERIVED_KEY && old.contains(pair) != new.contains(pair));
        if let Some((key, _)) = changed {
            return Err(ReloadError::FixedSetting(key.clone()));
        }
        if self.limits != FixedLimits::of(config) {
            return Err(ReloadError::FixedLimits);
        }
        Ok(())
    }

    /// Compiles the state of new files and records it as enforced.
    fn enforce(&mut self, requested: &Pairs) -> Result<ActiveConfig, ReloadError> {
        let state = self.align_indices(requested)?;
        // The platform changes the files of all ingresses at the same time.
        let all_at_once = matches!(self.source, ConfigSource::Platform { .. });
        if self.has_peers && !all_at_once && changes_indices(&state, requested) {
            return Err(ReloadError::ChangedIndices);
        }
        let state = State(state);
        let active = compile(&self.enforced.fixed, &state)?;
        let discovery = active.discovery;
        tracing::info!(digest = state.digest().short(), %discovery, "reload: enforcing the new files");
        self.enforced.state = state.0;
        Ok(active)
    }
}

/// Whether the aligned state has other indices of classes or plans than the files. Peers refer to classes and plans by index,
/// and each ingress would align them differently. Pools are local to each ingress.
fn changes_indices(aligned: &Pairs, requested: &Pairs) -> bool {
    let is_shared = |key: &str| key.starts_with("contracts.") || key.starts_with("grades.");
    let differs = |left: &Pairs, right: &Pairs| {
        left.iter()
            .any(|(key, value)| is_shared(key) && right.get(key) != Some(value))
    };
    differs(aligned, requested) || differs(requested, aligned)
}
