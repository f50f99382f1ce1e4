//! `wrenctl config check`: checks configuration files, alone and together.

use super::{discovery, failed, print, Format};
use clap::Args;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use wrenfork_config::set::Set;

#[derive(Args)]
pub struct Options {
    /// A site, its applications, a fleet snapshot: all are checked together
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Checks routes against the nodes that discovery lists at this address
    #[arg(long, value_name = "IP:PORT")]
    discovery: Option<SocketAddr>,
    /// Output format, for people or for scripts
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

pub fn main(options: &Options) -> ExitCode {
    let mut files = options.files.clone();
    // The list goes into a temporary file, so that its errors are reported like those of any other file.
    let node_list = match options.discovery.map(discovery::list) {
        Some(Ok(file)) => Some(file),
        Some(Err(error)) => return failed(error),
        None => None,
    };
    files.extend(
        node_list
            .as_ref()
            .map(|f: &discovery::Listed| Path::to_path_buf(f.path())),
    );
    let set = Set::read(&files);
    match options.format {
        Format::Text => print::text(&set),
        Format::Json => print::json(&set),
    }
}
