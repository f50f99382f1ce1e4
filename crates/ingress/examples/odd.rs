//! Versions of the program that are odd on purpose, for tests of rollouts: never shipped. What is odd is a word beside the program's
//! file, `FILE.odd`: a copy of this program under another name, with its own bytes behind its end, is a version of its own.
//!
//! - `equal`: nothing.
//! - `newer`: a handover's layout of its own, one beyond the shipped one.
//! - `stranger`: newer numbers of everything.
//! - `fails:PERCENT`, `fails-quote:PERCENT`, `fails-busy:PERCENT`: so many of what was served become failures; of one class; with five
//!   or more requests open.
//! - `slow`: one turn of 50 takes 30 ms more.
//! - `dies:MS`: ends so long after its start.
//! - `never`: never comes into service.
//! - `hup`: ends at its first SIGHUP.
//! - `leaks`: 1 MB a second.
//! - `chatty`: each message to a peer three times.

use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use wrenfork::{ExtensionError, FormatVersions, HandoverFormat, Variant};

/// What is odd.
#[derive(Default)]
struct Odd {
    word: String,
    number: u64,
    turns: u64,
    asked: u64,
}

/// Form 6, as a later version might have it: a mark behind all else.
const MARK: &[u8] = b"odd";

fn write_extension(layout: u32, state: &mut Vec<u8>) {
    if layout >= 6 {
        state.extend_from_slice(MARK);
    }
}

fn read_extension(layout: u32, extension: &[u8]) -> Result<(), ExtensionError> {
    let wanted: &[u8] = if layout >= 6 { MARK } else { &[] };
    if extension == wanted {
        Ok(())
    } else {
        Err(ExtensionError("the mark is missing"))
    }
}

impl Odd {
    fn is(&self, word: &str) -> bool {
        self.word == word
    }

    /// Whether this one of so many in a hundred is spoilt: evenly, not by chance.
    fn spoilt(&mut self) -> bool {
        self.asked += 1;
        self.asked * self.number / 100 != (self.asked - 1) * self.number / 100
    }

    fn begun(&mut self) {
        match self.word.as_str() {
            "never" => loop {
                thread::sleep(Duration::from_secs(3600));
            },
            "dies" => {
                let after = Duration::from_millis(self.number);
                thread::spawn(move || {
                    thread::sleep(after);
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
                    let mut all: Vec<Vec<u8>> = Vec::new();
                    loop {
                        all.push(vec![1; 100 << 10]);
                        thread::sleep(Duration::from_millis(100));
                    }
                });
            }
            _ => {}
        }
    }

    fn turned(&mut self) {
        self.turns += 1;
        if self.is("slow") && self.turns.is_multiple_of(50) {
            thread::sleep(Duration::from_millis(30));
        }
    }

    fn spoils(&mut self, class: &str, open: usize) -> bool {
        match self.word.as_str() {
            "fails" => self.spoilt(),
            "fails-quote" => class == "quote" && self.spoilt(),
            "fails-busy" => open >= 5 && self.spoilt(),
            _ => false,
        }
    }
}

/// The same for each layout and number of copies, which the loop is compiled for.
macro_rules! version {
    ($name:ident, $layout:expr, $copies:expr) => {
        struct $name(Odd);

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
                    for form in [
                        &mut versions.peers,
                        &mut versions.control,
                        &mut versions.group_states,
                    ] {
                        form.newest += 1;
                    }
                    versions.store.newest += 1;
                    (versions.handover.oldest, versions.handover.newest) = (7, 7);
                }
                versions
            }

            fn start(&mut self) {
                self.0.begun();
            }

            fn turn(&mut self) {
                self.0.turned();
            }

            fn fails_served(&mut self, class: &str, _plan: &str, open: usize) -> bool {
                self.0.spoils(class, open)
            }
        }
    };
}

version!(Equal, 5, 1);
version!(Newer, 6, 1);
version!(Chatty, 5, 3);

fn main() -> ExitCode {
    let own = std::env::current_exe().ok();
    let word = own
        .and_then(|own| std::fs::read_to_string(own.with_extension("odd")).ok())
        .unwrap_or_default();
    let (word, number) = word.trim().split_once(':').unwrap_or((word.trim(), "0"));
    let odd = Odd {
        word: word.into(),
        number: number.parse().unwrap_or(0),
        ..Odd::default()
    };
    match word {
        "newer" => wrenfork::main(Newer(odd)),
        "chatty" => wrenfork::main(Chatty(odd)),
        _ => wrenfork::main(Equal(odd)),
    }
}
