//! `wrenctl config`: creates, checks, formats and renders configuration files.

mod check;
mod discovery;
mod fmt;
mod new;
pub mod print;

use crate::style;
use anstream::{eprintln, println};
use clap::{Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use wrenfork_config::codes::{Code, Severity};
use wrenfork_config::form::FileKind;
use wrenfork_config::render::render;
use wrenfork_config::schema;
use wrenfork_config::set::Set;

/// Exit code if something could not be read or done.
const FAILED: u8 = 2;

#[derive(Subcommand)]
pub enum Verb {
    /// Writes the file of a new application, commented and good as it stands; asks for what no flag says
    New(new::Options),
    /// Checks files, alone and together; exit 0 good, 1 refused, 2 could not read
    Check(check::Options),
    /// Shows what a sidecar is told, as the deployment page's JSON
    Render {
        /// The application's file, its site's, and a fleet snapshot if there is one
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// The sidecar
        #[arg(long, value_name = "NAME")]
        ingress: String,
    },
    /// Tells what a code means and what to do; all codes without one
    Explain {
        /// Such as C101
        code: Option<String>,
    },
    /// Prints the JSON Schema of the files, so that editors complete and check
    Schema {
        /// Of one kind of file alone
        kind: Option<KindWord>,
    },
    /// Prints the operators' reference
    Reference,
    /// Writes files in the usual form; no comment is lost
    Fmt(fmt::Options),
}

#[derive(Clone, Copy, ValueEnum)]
pub enum KindWord {
    Site,
    Application,
    Fleet,
    Ingress,
}

impl KindWord {
    fn kind(self) -> FileKind {
        match self {
            KindWord::Site => FileKind::Site,
            KindWord::Application => FileKind::Application,
            KindWord::Fleet => FileKind::Fleet,
            KindWord::Ingress => FileKind::Ingress,
        }
    }
}

/// How results are printed.
#[derive(Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people
    #[default]
    Text,
    /// For scripts
    Json,
}

fn failed(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("{} {error}", style::bad("error:"));
    ExitCode::from(FAILED)
}

pub fn main(verb: Verb) -> ExitCode {
    match verb {
        Verb::New(options) => new::main(&options),
        Verb::Check(options) => check::main(&options),
        Verb::Render { files, ingress } => render_sidecar(&files, &ingress),
        Verb::Explain { code } => explain(code.as_deref()),
        Verb::Schema { kind } => {
            let schema = schema::schema(kind.map(KindWord::kind));
            println!(
                "{}",
                serde_json::to_string_pretty(&schema).unwrap_or_default()
            );
            ExitCode::SUCCESS
        }
        Verb::Reference => {
            anstream::print!("{}", schema::reference());
            ExitCode::SUCCESS
        }
        Verb::Fmt(options) => fmt::main(&options),
    }
}

/// Prints the configuration of one sidecar as JSON.
fn render_sidecar(files: &[PathBuf], ingress: &str) -> ExitCode {
    let set = Set::read(files);
    if set.refused() {
        return print::text(&set);
    }
    let apps = set.applications();
    let (Some(site), [app]) = (set.site(), &apps[..]) else {
        return failed("expected the files of one application and its site");
    };
    match render(
        app.content,
        site.content,
        set.fleet().map(|f| f.content),
        ingress,
    ) {
        Ok(rendered) => {
            println!(
                "{}",
                serde_json::to_string_pretty(&rendered).unwrap_or_default()
            );
            ExitCode::SUCCESS
        }
        Err(error) => failed(error),
    }
}

/// Explains a diagnostic code, or lists all.
fn explain(id: Option<&str>) -> ExitCode {
    let Some(id) = id else {
        let mut table = style::table(&["code", "what"]);
        for code in Code::ALL {
            table.add_row(vec![code.id(), code.title()]);
        }
        println!("{table}");
        return ExitCode::SUCCESS;
    };
    let Some(code) = Code::by_id(id) else {
        return failed(format!(
            "there is no code {id}; `wrenctl config explain` lists all"
        ));
    };
    let severity = match code.severity() {
        Severity::Warned => "told, not refused",
        Severity::Refused => "refused",
        Severity::Unreadable => "can't be read",
    };
    println!(
        "{} {} ({severity})\n\n{}",
        style::head(code.id()),
        style::head(code.title()),
        code.explain()
    );
    ExitCode::SUCCESS
}
