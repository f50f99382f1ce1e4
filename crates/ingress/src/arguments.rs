//! Command-line arguments. Their doc comments are the help text.

use crate::config::{ConfigSource, SidecarFiles};
use crate::error::IngressError;
use crate::logging::{LogFormat, LogLevel};
use clap::Parser;
use std::path::PathBuf;

/// The ingress. Without arguments it runs from the platform's file, which LB_CONFIG names.
#[derive(Parser)]
#[command(name = "wrenfork", version)]
pub struct Arguments {
    /// Runs as the sidecar of the application in this file
    #[arg(long, value_name = "FILE")]
    pub app: Option<PathBuf>,
    /// The site's file; site.toml beside the application's without it
    #[arg(long, value_name = "FILE", requires = "app")]
    pub site: Option<PathBuf>,
    /// A fleet snapshot, for the first list of nodes
    #[arg(long, value_name = "FILE", requires = "app")]
    pub fleet: Option<PathBuf>,
    /// The sidecar's name, where the application has several
    #[arg(long, value_name = "NAME", requires = "app")]
    pub sidecar: Option<String>,
    /// What an operator adds to the platform's file: pools and routes, halls by nearness, a control socket
    #[arg(long, value_name = "FILE", conflicts_with = "app")]
    pub operator: Option<PathBuf>,
    /// The socket for plan and apply; the application's file says it for a sidecar
    #[arg(long, value_name = "PATH")]
    pub control: Option<PathBuf>,
    /// The folder for what must survive a crash; the application's file says it for a sidecar
    #[arg(long, value_name = "DIR")]
    pub state: Option<PathBuf>,
    /// A file that says what became of the last reading of the configuration, for `wrenctl reload`
    #[arg(long, value_name = "FILE")]
    pub status: Option<PathBuf>,
    /// Tells what this program reads and writes of each form that others read and write, and ends
    #[arg(long)]
    pub speaks: bool,
    /// The log's form
    #[arg(long, value_enum, default_value_t)]
    pub log: LogFormat,
    /// What is logged: what goes wrong, what happens besides, or more
    #[arg(long, value_enum, default_value_t)]
    pub log_level: LogLevel,
}

impl Arguments {
    /// Returns the source of the configuration, and takes its paths out of the arguments. `variable` looks up environment
    /// variables.
    ///
    /// # Errors
    ///
    /// If neither the arguments nor `LB_CONFIG` name a file.
    pub fn config_source(
        &mut self,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<ConfigSource, IngressError> {
        if let Some(app) = self.app.take() {
            return Ok(ConfigSource::Sidecar(SidecarFiles {
                app,
                site: self.site.take(),
                fleet: self.fleet.take(),
                sidecar: self.sidecar.take(),
            }));
        }
        Ok(ConfigSource::Platform {
            path: variable("LB_CONFIG").ok_or(IngressError::ConfigFileNotSet)?,
            operator: self.operator.take(),
        })
    }
}
