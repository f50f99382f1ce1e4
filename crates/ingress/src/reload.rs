//! Reading the configuration anew when told to, while serving: all that may change is taken, whole or not at all, through the
//! same switch as a change that is applied. A file has one verdict; one that ends before its time may be half written, and is
//! looked at again.

use crate::config::{compile, Config, Enforced, Listen, Told};
use crate::status::{Outcome, Status};
use wrenfork_commit::state::State;
use wrenfork_config::enforced::{self, align, Pairs};
use wrenfork_decision::Micros;

/// The first pause before a file that could not be read is read again, and the longest: it may be half written.
const PAUSES: (Micros, Micros) = (50_000, 2_000_000);

/// The file, and how reading it goes.
pub struct Reload {
    told: Told,
    /// What was told at the start, with what is enforced now.
    has: enforced::Told,
    /// Where it listens, its descriptors, its memory.
    place: (Listen, usize, usize),
    peers: bool,
    /// The pause before the next try; none while no reading is due.
    pause: Option<Micros>,
    next: Micros,
    failed: bool,
    status: Status,
    /// Files taken and turned down.
    verdicts: (u64, u64),
}

impl Reload {
    /// Nothing is to be read yet.
    pub fn new(told: Told, config: &Config, status: Status) -> Self {
        let (has, peers) = (config.told.clone(), config.peers.is_some());
        let place = (config.listen.clone(), config.sockets, config.memory);
        Reload {
            told,
            has,
            place,
            peers,
            pause: None,
            next: 0,
            failed: false,
            status,
            verdicts: (0, 0),
        }
    }

    /// What is enforced and passes to the next process.
    pub fn told(&self) -> &enforced::Told {
        &self.has
    }

    /// This is what stands: it was applied, whatever the files say.
    pub fn stands(&mut self, state: Pairs) {
        self.has.state = state;
    }

    /// Goes on with what another process enforced; what the files say by now, if that is something else and `by_files` is what
    /// decides.
    pub fn resume(&mut self, has: enforced::Told, by_files: bool) -> Option<Box<Enforced>> {
        self.has = has;
        if !by_files {
            return None;
        }
        let read = self.told.read(|_| None).and_then(|config| {
            let wanted = config.told.state;
            let same = align(&[&self.has.state], &wanted)? == self.has.state;
            if same {
                Ok(None)
            } else {
                self.enforce(wanted).map(Some)
            }
        });
        match read {
            Ok(enforced) => enforced.map(Box::new),
            Err(why) => {
                tracing::warn!("handover: {why}; enforcing what the other process did");
                None
            }
        }
    }

    /// The file is to be read, now and until that succeeds.
    pub fn asked(&mut self) {
        (self.pause, self.next, self.failed) = (Some(PAUSES.0), 0, false);
    }

    /// What this ingress enforces is not a matter of its files any more.
    pub fn refuse(&mut self, why: &str) {
        tracing::warn!("reload: refused: {why}");
        self.status.say(Outcome::Refused, why);
    }

    /// How many files were taken, and how many turned down, each once.
    pub fn verdicts(&self) -> (u64, u64) {
        self.verdicts
    }

    /// The process ends.
    pub fn end(&self) {
        self.status.end();
    }

    /// Reads the file, whose address of discovery comes before that of the environment. With an error comes the
    /// time to try again; none where nothing is due, as when a later signal's reading has succeeded meanwhile, or where
    /// another try would find the same.
    pub fn read(&mut self, now: Micros) -> Result<Box<Enforced>, Option<Micros>> {
        let Some(pause) = self.pause.filter(|_| now >= self.next) else {
            return Err(None);
        };
        let config = match self.told.read(|_| None) {
            Ok(config) => config,
            Err(why) => {
                let again = self.told.may_be_half_written(&why);
                if !std::mem::replace(&mut self.failed, true) {
                    let then = if again {
                        "; going on as before, and trying again"
                    } else {
                        "; going on as before"
                    };
                    tracing::warn!("reload: {why}{then}");
                    self.verdicts.1 += 1;
                    self.status.say(
                        if again {
                            Outcome::Waiting
                        } else {
                            Outcome::Refused
                        },
                        &why,
                    );
                }
                (self.next, self.pause) = (now + pause, again.then_some((pause * 2).min(PAUSES.1)));
                return Err(again.then_some(self.next));
            }
        };
        self.pause = None;
        // It is told once the loop enforces it, which it does before it looks at anything else.
        let whole = self
            .unmoved(&config)
            .and_then(|()| self.enforce(config.told.state));
        match whole {
            Ok(enforced) => {
                self.verdicts.0 += 1;
                self.status.say(Outcome::Taken, "");
                Ok(Box::new(enforced))
            }
            Err(why) => {
                tracing::warn!("reload: refused: {why}; going on as before");
                self.verdicts.1 += 1;
                self.status.say(Outcome::Refused, &why);
                Err(None)
            }
        }
    }

    /// Whether new files change nothing that is fixed from the start on. The platform's says besides how it stands at the
    /// moment, such as the kinds of machines that there are: what is fixed is not taken from it, and no reason to refuse it.
    fn unmoved(&self, config: &Config) -> Result<(), String> {
        if matches!(self.told, Told::Platform(..)) {
            return Ok(());
        }
        let (old, new) = (&self.has.fixed, &config.told.fixed);
        // The list of models follows from the pools and the nodes that are known; nothing is decided by it.
        let other =
            |pair: &&(String, String)| pair.0 != "skus" && old.contains(pair) != new.contains(pair);
        let other = old.iter().chain(new).find(other);
        if let Some((key, _)) = other {
            return Err(format!(
                "{key} is fixed from the start on, and takes a restart"
            ));
        }
        if self.place != (config.listen.clone(), config.sockets, config.memory) {
            return Err(
                "listen, memory and descriptors are fixed from the start on, and take a restart"
                    .into(),
            );
        }
        Ok(())
    }

    /// All that may change, from new files.
    fn enforce(&mut self, wanted: Pairs) -> Result<Enforced, String> {
        let state = align(&[&self.has.state], &wanted)?;
        // Peers name plans by their places. Each of them would find places of its own; pools are each one's own matter.
        let told = |key: &&String| key.starts_with("contracts.") || key.starts_with("grades.");
        let moved = |a: &Pairs, b: &Pairs| {
            a.iter()
                .any(|(key, value)| told(&key) && b.get(key) != Some(value))
        };
        // The platform tells all ingresses at once.
        let together = matches!(self.told, Told::Platform(..));
        if self.peers && !together && (moved(&state, &wanted) || moved(&wanted, &state)) {
            return Err(
                "plans or classes have moved, which several ingresses must do together: wrenctl apply".into(),
            );
        }
        let state = State(state);
        let enforced = compile(&self.has.fixed, &state)?;
        let discovery = enforced.discovery;
        tracing::info!(digest = state.digest().short(), %discovery, "reload: enforcing the new files");
        self.has.state = state.0;
        Ok(enforced)
    }
}
