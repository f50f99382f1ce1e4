//! The language of the three kinds of files: each table with its keys, what may stand there, and what it is for. The
//! reader, the JSON Schema, the operators' reference and the templates are all made from these tables.

mod tables;

pub use tables::{APPLICATION, FLEET, INGRESS, SITE};

/// The version of the form that this program writes and reads.
pub const VERSION: u64 = 1;

/// What may stand at a key.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Any text.
    Text,
    /// A name that others refer to.
    Name,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// True or false.
    Flag,
    /// A whole number from one to another.
    Whole(u64, u64),
    /// A number from one to another.
    Number(f64, f64),
    /// A rate in units a second, such as `"6/s"`.
    Rate,
    /// A span of time in microseconds, such as `"250ms"`.
    Time,
    /// Bytes of memory, such as `"48MiB"`.
    Size,
    /// `IP:PORT`.
    Address,
    /// `IP:PORT`, or `unix:` and a path: where a node is.
    NodeAddress,
    /// A list of these, not empty.
    NodeAddresses,
    /// `IP:PORT` on the loopback, or `unix:` and a path.
    Listener,
    /// An absolute path, short enough for a socket.
    Path,
    /// 16 hex digits.
    Account,
    /// A list of accounts, not empty.
    Accounts,
    /// An Ed25519 public key, 64 hex digits.
    PublicKey,
    /// The SHA-256 of a file, 64 hex digits.
    Digest,
    /// A moment, as RFC 3339 in UTC.
    Moment,
    /// Octal digits of a file's mode, such as `"0660"`.
    Mode,
    /// A list of names, not empty.
    Names,
    /// A list of whole numbers, not empty.
    Wholes(u64, u64),
    /// A table of its own.
    Table(&'static Table),
    /// Any number of tables, up to the most.
    Tables(&'static Table, usize),
}

/// Whether a key must be given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// It must.
    Must,
    /// Without it, this holds; shown to people, in words.
    May(&'static str),
}

/// A key.
#[derive(Debug)]
pub struct Field {
    /// Its name.
    pub key: &'static str,
    /// What may stand there.
    pub kind: Kind,
    /// Whether it must be given.
    pub need: Need,
    /// What it is for.
    pub about: &'static str,
    /// A value, as it is written.
    pub example: &'static str,
}

/// A table.
#[derive(Debug)]
pub struct Table {
    /// What it describes, as people say it.
    pub name: &'static str,
    /// What it is for.
    pub about: &'static str,
    /// Its keys, in the order in which they are written.
    pub fields: &'static [Field],
}

impl Table {
    /// A key of it.
    pub fn field(&self, key: &str) -> Option<&'static Field> {
        self.fields.iter().find(|f| f.key == key)
    }
}

/// The kinds of files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileKind {
    /// The classes, plans, ceilings, halls and limits of a site.
    Site,
    /// An application: its accounts, routes and sidecars.
    Application,
    /// The nodes of a fleet, as they were at a moment.
    Fleet,
    /// What an operator adds to an ingress that the platform's own file describes.
    Ingress,
}

impl FileKind {
    /// All of them.
    pub const ALL: [FileKind; 4] = [
        FileKind::Site,
        FileKind::Application,
        FileKind::Fleet,
        FileKind::Ingress,
    ];

    /// The word that stands at `kind`.
    pub fn word(self) -> &'static str {
        match self {
            FileKind::Site => "site",
            FileKind::Application => "application",
            FileKind::Fleet => "fleet",
            FileKind::Ingress => "ingress",
        }
    }

    /// The table that such a file is.
    pub fn table(self) -> &'static Table {
        match self {
            FileKind::Site => &SITE,
            FileKind::Application => &APPLICATION,
            FileKind::Fleet => &FLEET,
            FileKind::Ingress => &INGRESS,
        }
    }
}
