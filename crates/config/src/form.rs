//! The form of all kinds of files: each table with its keys, their types and descriptions. The reader, the JSON Schema,
//! the operators' reference and the templates are generated from these tables.

mod tables;

pub use tables::{APPLICATION, FLEET, INGRESS, SITE};

/// Version of the form that this program reads and writes.
pub const VERSION: u64 = 1;

/// Type of a key's value.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Any text.
    Text,
    /// A name that others refer to.
    Name,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// True or false.
    Flag,
    /// An integer within an inclusive range.
    Integer(u64, u64),
    /// A number within an inclusive range.
    Number(f64, f64),
    /// A rate in units per second, such as `"6/s"`.
    Rate,
    /// A time in microseconds, such as `"250ms"`.
    Time,
    /// An amount of memory in bytes, such as `"48MiB"`.
    Size,
    /// `IP:PORT`.
    Address,
    /// Address of a node: `IP:PORT`, or `unix:` and a path.
    NodeAddress,
    /// A non-empty list of node addresses.
    NodeAddresses,
    /// A loopback `IP:PORT`, or `unix:` and a path.
    Listener,
    /// An absolute path that is short enough for a Unix socket.
    Path,
    /// An account id, 16 hex digits.
    Account,
    /// A non-empty list of account ids.
    Accounts,
    /// An Ed25519 public key, 64 hex digits.
    PublicKey,
    /// The SHA-256 of a file, 64 hex digits.
    Digest,
    /// A time as RFC 3339 in UTC.
    Moment,
    /// A file mode in octal digits, such as `"0660"`.
    Mode,
    /// A non-empty list of names.
    Names,
    /// A non-empty list of integers within an inclusive range.
    Integers(u64, u64),
    /// A nested table.
    Table(&'static Table),
    /// A list of tables, with the largest allowed number of them.
    Tables(&'static Table, usize),
}

/// Whether a key is required.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// The key must be given.
    Required,
    /// The key may be left out. The text describes the default or the effect of leaving it out.
    Optional(&'static str),
}

/// A key of a table.
#[derive(Debug)]
pub struct Field {
    /// Name of the key in the file.
    pub key: &'static str,
    /// Type of the value.
    pub kind: Kind,
    /// Whether the key is required.
    pub need: Need,
    /// Description for operators.
    pub about: &'static str,
    /// Example value in TOML; empty for tables.
    pub example: &'static str,
}

/// A table of a file.
#[derive(Debug)]
pub struct Table {
    /// Name of what the table describes, for messages.
    pub name: &'static str,
    /// Description for operators.
    pub about: &'static str,
    /// Keys, in the order of the reference and the templates.
    pub fields: &'static [Field],
}

impl Table {
    /// Finds a key by name.
    pub fn field(&self, key: &str) -> Option<&'static Field> {
        self.fields.iter().find(|f| f.key == key)
    }
}

/// Kind of a file, given by its key `kind`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileKind {
    /// A site: its classes, plans, ceilings, halls and limits.
    Site,
    /// An application: its accounts, routes and sidecars.
    Application,
    /// A snapshot of the nodes of a fleet.
    Fleet,
    /// An operator's additions to an ingress that the platform's own file describes.
    Ingress,
}

impl FileKind {
    /// All kinds, in the order of the reference.
    pub const ALL: [FileKind; 4] = [
        FileKind::Site,
        FileKind::Application,
        FileKind::Fleet,
        FileKind::Ingress,
    ];

    /// Value of the key `kind` in such a file.
    pub fn word(self) -> &'static str {
        match self {
            FileKind::Site => "site",
            FileKind::Application => "application",
            FileKind::Fleet => "fleet",
            FileKind::Ingress => "ingress",
        }
    }

    /// Top-level table of such a file.
    pub fn table(self) -> &'static Table {
        match self {
            FileKind::Site => &SITE,
            FileKind::Application => &APPLICATION,
            FileKind::Fleet => &FLEET,
            FileKind::Ingress => &INGRESS,
        }
    }
}
