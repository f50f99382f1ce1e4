//! Versions of the program with deliberate faults or other format versions, for tests of rollouts; never released. The fault is
//! read from the file `FILE.odd` beside the program `FILE`. A copy of this program under another name, with extra bytes appended
//! so that its digest differs, counts as a version of its own.
//!
//! - `equal`: no fault.
//! - `newer`: a handover layout one newer than the shipped one.
//! - `stranger`: newer versions of all formats.
//! - `fails:PERCENT`, `fails-quote:PERCENT`, `fails-busy:PERCENT`: fails this percentage of the served requests: of all, of class
//!   `quote`, or of those that end while five or more requests are open.
//! - `slow`: every 50th iteration of the event loop takes 30 ms longer.
//! - `dies:MS`: exits this many milliseconds after the start.
//! - `never`: never becomes ready.
//! - `hup`: exits at the first SIGHUP.
//! - `leaks`: leaks 1 MB of memory per second.
//! - `chatty`: sends each message to a peer three times.

use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use wrenfork::{ExtensionError, FormatVersions, HandoverFormat, Variant};

/// The fault of this version, and the counters that it needs.
#[derive(Default)]
struct Fault {
    kind: String,
    /// The number after the colon; 0 without one.
    parameter: u64,
    /// Iterations of the event loop so far.
    iterations: u64,
    /// Served requests that the fault applied to so far.
    served: u64,
}

/// Extension that layout 6 appends to the state, as a later version might do.
const EXTENSION: &[u8] = b"odd";

fn write_extension(layout: u32, state: &mut Vec<u8>) {
    if layout >= 6 {
        state.extend_from_slice(EXTENSION);
    }
}

fn read_extension(layout: u32, extension: &[u8]) -> Result<(), ExtensionError> {
    let expected: &[u8] = if layout >= 6 { EXTENSION } else { &[] };
    if extension == expected {
        Ok(())
    } else {
        Err(ExtensionError(
            "the extension of layout 6 is missing or invalid",
        ))
    }
}

impl Fault {
    fn is(&self, kind: &str) -> bool {
        self.kind == kind
    }

    /// Whether the next served request fails; failures are spread evenly, not at random.
    fn fails_next(&mut self) -> bool {
        self.served += 1;
        self.served * self.parameter / 100 != (self.served - 1) * self.parameter / 100
    }

    fn start(&mut self) {
        match self.kind.as_str() {
            "never" => loop {
                thread::sleep(Duration::from_secs(3600));
            },
            "dies" => {
                let lifetime = Duration::from_millis(self.parameter);
                thread::spawn(move || {
                    thread::sleep(lifetime);
                    std::process::exit(101);
                });
            }
            "hup" => {
                if let Ok(mut signals) =
                    signal_hook::iterator::Signals::new([signal_hook::consts::SIGHUP])
                {
                    thread::spawn(move || {
                        if signals.forever().next().is_some() {
                            std::process::exit(101);
                        }
                    });
                }
            }
            "leaks" => {
                thread::spawn(|| {
                    let mut leaked: Vec<Vec<u8>> = Vec::new();
                    loop {
                        leaked.push(vec![1; 100 << 10]);
                        thread::sleep(Duration::from_millis(100));
                    }
                });
            }
            _ => {}
        }
    }

    fn on_iteration(&mut self) {
        self.iterations += 1;
        if self.is("slow") && self.iterations.is_multiple_of(50) {
            thread::sleep(Duration::from_millis(30));
        }
    }

    fn fails_served(&mut self, class: &str, open: usize) -> bool {
        match self.kind.as_str() {
            "fails" => self.fails_next(),
            "fails-quote" => class == "quote" && self.fails_next(),
            "fails-busy" => open >= 5 && self.fails_next(),
            _ => false,
        }
    }
}

/// Defines a version with a handover layout and a number of message copies, which are compile-time constants.
macro_rules! version {
    ($name:ident, $layout:expr, $copies:expr) => {
        struct $name(Fault);

        impl HandoverFormat for $name {
            const LAYOUT: u32 = $layout;

            fn write_extension(layout: u32, state: &mut Vec<u8>) {
                write_extension(layout, state);
            }

            fn read_extension(layout: u32, extension: &[u8]) -> Result<(), ExtensionError> {
                read_extension(layout, extension)
            }
        }

        impl Variant for $name {
            const VERSION: &'static str = "odd";
            const MESSAGE_COPIES: usize = $copies;
            const FAILS_SERVED: bool = true;

            fn format_versions(&self) -> FormatVersions {
                let mut versions = wrenfork::format_versions(Self::VERSION, Self::LAYOUT);
                if self.0.is("stranger") {
                    for format in [
                        &mut versions.peers,
                        &mut versions.control,
                        &mut versions.group_states,
                    ] {
                        format.newest += 1;
                    }
                    versions.store.newest += 1;
                    (versions.handover.oldest, versions.handover.newest) = (7, 7);
                }
                versions
            }

            fn start(&mut self) {
                self.0.start();
            }

            fn turn(&mut self) {
                self.0.on_iteration();
            }

            fn fails_served(&mut self, class: &str, _plan: &str, open: usize) -> bool {
                self.0.fails_served(class, open)
            }
        }
    };
}

version!(Equal, 5, 1);
version!(Newer, 6, 1);
version!(Chatty, 5, 3);

fn main() -> ExitCode {
    let program = std::env::current_exe().ok();
    let description = program
        .and_then(|program| std::fs::read_to_string(program.with_extension("odd")).ok())
        .unwrap_or_default();
    let (kind, parameter) = description
        .trim()
        .split_once(':')
        .unwrap_or((description.trim(), "0"));
    let fault = Fault {
        kind: kind.into(),
        parameter: parameter.parse().unwrap_or(0),
        ..Fault::default()
    };
    match kind {
        "newer" => wrenfork::main(Newer(fault)),
        "chatty" => wrenfork::main(Chatty(fault)),
        _ => wrenfork::main(Equal(fault)),
    }
}
