//! Reading the configuration anew when told to, while serving. Of what it says only discovery's address is taken
//! over: all else is fixed from the start on.

use crate::config::Told;
use std::net::SocketAddr;
use wrenfork_decision::Micros;

/// The first pause before a file that could not be read is read again, and the longest: it may be half written.
const PAUSES: (Micros, Micros) = (50_000, 2_000_000);

/// The file, and how reading it goes.
pub struct Reload {
    told: Told,
    /// The pause before the next try; none while no reading is due.
    pause: Option<Micros>,
    next: Micros,
    failed: bool,
}

impl Reload {
    /// Nothing is to be read yet.
    pub fn new(told: Told) -> Self {
        Reload { told, pause: None, next: 0, failed: false }
    }

    /// The file is to be read, now and until that succeeds.
    pub fn asked(&mut self) {
        (self.pause, self.next, self.failed) = (Some(PAUSES.0), 0, false);
    }

    /// Reads the file, whose address of discovery comes before that of the environment. With an error comes the
    /// time to try again; none where nothing is due, as when a later signal's reading has succeeded meanwhile.
    pub fn read(&mut self, now: Micros) -> Result<SocketAddr, Option<Micros>> {
        let Some(pause) = self.pause.filter(|_| now >= self.next) else { return Err(None) };
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty() && name != "LB_DISCOVERY");
        match self.told.read(var) {
            Ok(config) => {
                tracing::info!("reload: discovery at {}", config.enforced.discovery);
                self.pause = None;
                Ok(config.enforced.discovery)
            }
            Err(why) => {
                if !std::mem::replace(&mut self.failed, true) {
                    tracing::warn!("reload: {why}; going on as before, and trying again");
                }
                (self.next, self.pause) = (now + pause, Some((pause * 2).min(PAUSES.1)));
                Err(Some(self.next))
            }
        }
    }
}
