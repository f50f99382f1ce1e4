//! Reading the configuration anew at SIGHUP, while serving: all that may change is taken, or nothing, through the same path as a
//! change that is applied. A file has one verdict; one that ends before its time may be half written, and is read again.

use crate::config::{compile, ActiveConfig, Config, ConfigError, ConfigSource, ListenAddress};
use crate::error::BoxError;
use crate::reload_status::{ReloadOutcome, ReloadStatusFile};
use wrenfork_commit::state::State;
use wrenfork_config::enforced::{align, Pairs, SplitSettings};
use wrenfork_decision::Micros;

/// The backoff before a file that could not be read is read again, the first and the longest: it may be half written.
const FIRST_BACKOFF: Micros = 50_000;
const MAX_BACKOFF: Micros = 2_000_000;
/// The list of machine types follows from the pools and the endpoints that are known; nothing is decided by it.
const DERIVED_KEY: &str = "skus";

/// Why new files are refused that are good by themselves.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The files are refused.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The new state does not fit to the one enforced.
    #[error("{0}")]
    Align(#[source] BoxError),
    /// A setting that no change changes is another one.
    #[error("{0} is fixed from the start on, and takes a restart")]
    FixedSetting(String),
    /// The address or a limit is another one.
    #[error("listen, memory and descriptors are fixed from the start on, and take a restart")]
    FixedLimits,
    /// Peers address plans and classes by their indices.
    #[error(
        "plans or classes have moved, which several ingresses must do together: wrenctl apply"
    )]
    MovedIndices,
}

/// How many files were taken and refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReloadCounts {
    /// Files that are enforced, or were.
    pub accepted: u64,
    /// Files that were refused.
    pub refused: u64,
}

/// What a reading came to.
pub enum Reload {
    /// A configuration to be enforced.
    Apply(Box<ActiveConfig>),
    /// The files are to be read again at this time.
    RetryAt(Micros),
    /// Nothing is to be done: no reading is due, or another one would find the same.
    Nothing,
}

/// What no change changes besides settings.
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

/// Reads the configuration anew, and knows what is enforced.
pub struct ConfigReloader {
    source: ConfigSource,
    /// What was configured at the start, with what is enforced now.
    enforced: SplitSettings,
    limits: FixedLimits,
    has_peers: bool,
    /// The backoff before the next reading; none while none is due.
    backoff: Option<Micros>,
    retry_at: Micros,
    /// The reading that is due has failed before.
    failed: bool,
    status: ReloadStatusFile,
    counts: ReloadCounts,
}

impl ConfigReloader {
    /// Nothing is to be read yet.
    pub fn new(source: ConfigSource, config: &Config, status: ReloadStatusFile) -> Self {
        ConfigReloader {
            source,
            enforced: config.source_pairs.clone(),
            limits: FixedLimits::of(config),
            has_peers: config.peers.is_some(),
            backoff: None,
            retry_at: 0,
            failed: false,
            status,
            counts: ReloadCounts::default(),
        }
    }

    /// What is enforced and passes to the next process.
    pub fn enforced(&self) -> &SplitSettings {
        &self.enforced
    }

    /// A change was applied: this is enforced, whatever the files say.
    pub fn set_enforced(&mut self, state: Pairs) {
        self.enforced.state = state;
    }

    /// Goes on with what another process enforced; gives what the files say by now, if that is something else and the files
    /// decide, as they do without a control port.
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
                tracing::warn!(%error, "handover: files refused, enforcing what the other process did");
                None
            }
        }
    }

    fn read_if_changed(&mut self) -> Result<Option<ActiveConfig>, ReloadError> {
        let wanted = self.source.read(|_| None)?.source_pairs.state;
        if self.aligned(&wanted)? == self.enforced.state {
            return Ok(None);
        }
        self.enforce(&wanted).map(Some)
    }

    /// A wanted state with the indices that classes and plans have in the one enforced.
    fn aligned(&self, wanted: &Pairs) -> Result<Pairs, ReloadError> {
        align(&[&self.enforced.state], wanted).map_err(|e| ReloadError::Align(e.into()))
    }

    /// The files are to be read, now and until that succeeds.
    pub fn request(&mut self) {
        self.backoff = Some(FIRST_BACKOFF);
        self.retry_at = 0;
        self.failed = false;
    }

    /// Refuses to read the files, since they do not decide what is enforced.
    pub fn refuse(&mut self, why: &str) {
        tracing::warn!("reload: refused: {why}");
        self.status.record(ReloadOutcome::Refused, why);
    }

    /// How many files were taken, and how many refused, each once.
    pub fn counts(&self) -> ReloadCounts {
        self.counts
    }

    /// The process ends.
    pub fn close(&self) {
        self.status.remove();
    }

    /// Reads the files, if that is due; a later signal's reading may have succeeded meanwhile.
    pub fn read(&mut self, now: Micros) -> Reload {
        let Some(backoff) = self.backoff.filter(|_| now >= self.retry_at) else {
            return Reload::Nothing;
        };
        let config = match self.source.read(|_| None) {
            Ok(config) => config,
            Err(error) => return self.unreadable(&error, backoff, now),
        };
        self.backoff = None;
        let checked = self.check_fixed(&config);
        // It is reported once the event loop enforces it, which it does before it looks at anything else.
        match checked.and_then(|()| self.enforce(&config.source_pairs.state)) {
            Ok(active) => {
                self.counts.accepted += 1;
                self.status.record(ReloadOutcome::Applied, "");
                Reload::Apply(Box::new(active))
            }
            Err(error) => {
                tracing::warn!("reload: refused: {error}; going on as before");
                self.counts.refused += 1;
                self.status
                    .record(ReloadOutcome::Refused, &error.to_string());
                Reload::Nothing
            }
        }
    }

    /// The files can't be read. The first failure of a reading is reported.
    fn unreadable(&mut self, error: &ConfigError, backoff: Micros, now: Micros) -> Reload {
        let retry = self.source.may_be_half_written(error);
        if !std::mem::replace(&mut self.failed, true) {
            let (outcome, next) = if retry {
                (
                    ReloadOutcome::Retrying,
                    "going on as before, and trying again",
                )
            } else {
                (ReloadOutcome::Refused, "going on as before")
            };
            tracing::warn!("reload: {error}; {next}");
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

    /// Whether new files change nothing that is fixed from the start on. The platform's says besides how it stands at the
    /// moment, such as the machine types that there are: what is fixed is not taken from it, and no reason to refuse it.
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

    /// Compiles all that may change, from new files.
    fn enforce(&mut self, wanted: &Pairs) -> Result<ActiveConfig, ReloadError> {
        let state = self.aligned(wanted)?;
        // The platform configures all ingresses at once.
        let all_at_once = matches!(self.source, ConfigSource::Platform { .. });
        if self.has_peers && !all_at_once && moves_indices(&state, wanted) {
            return Err(ReloadError::MovedIndices);
        }
        let state = State(state);
        let active = compile(&self.enforced.fixed, &state)?;
        let discovery = active.discovery;
        tracing::info!(digest = state.digest().short(), %discovery, "reload: enforcing the new files");
        self.enforced.state = state.0;
        Ok(active)
    }
}

/// Whether a state has other indices of classes or plans than the files have. Peers address these by their indices, and each of
/// them would find indices of its own; pools are each one's own matter.
fn moves_indices(aligned: &Pairs, wanted: &Pairs) -> bool {
    let shared = |key: &str| key.starts_with("contracts.") || key.starts_with("grades.");
    let differs = |a: &Pairs, b: &Pairs| {
        a.iter()
            .any(|(key, value)| shared(key) && b.get(key) != Some(value))
    };
    differs(aligned, wanted) || differs(wanted, aligned)
}
