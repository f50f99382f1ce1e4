//! Records, and changes of several of them.

use redb::TableDefinition;

/// Maximum length of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 16 << 20;
/// Maximum length of a record's name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Kind of a record; each kind has a table of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// Generations that are enforced, and votes.
    Control,
    /// The audit log.
    Audit,
    /// Quota leases.
    Lease,
    /// Usage still to be exported.
    Use,
    /// The last valid configuration.
    Config,
}

impl RecordKind {
    /// All kinds.
    pub const ALL: [RecordKind; 5] = [
        RecordKind::Control,
        RecordKind::Audit,
        RecordKind::Lease,
        RecordKind::Use,
        RecordKind::Config,
    ];

    pub(crate) fn table(self) -> TableDefinition<'static, &'static str, &'static [u8]> {
        TableDefinition::new(match self {
            RecordKind::Control => "control",
            RecordKind::Audit => "audit",
            RecordKind::Lease => "lease",
            RecordKind::Use => "use",
            RecordKind::Config => "config",
        })
    }
}

/// A record with its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedRecord {
    /// Its name.
    pub name: String,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// A change of one record.
#[derive(Clone, Debug)]
pub(crate) struct RecordChange {
    pub(crate) kind: RecordKind,
    pub(crate) name: String,
    /// The new content; none if the record is deleted.
    pub(crate) bytes: Option<Vec<u8>>,
}

impl RecordChange {
    pub(crate) fn is_too_long(&self) -> bool {
        let length = self.bytes.as_ref().map_or(0, Vec::len);
        self.name.len() > MAX_NAME_BYTES || length > MAX_RECORD_BYTES
    }
}

/// Changes that are made in one commit.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub(crate) changes: Vec<RecordChange>,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new() -> Self {
        Batch::default()
    }

    /// Adds a record, which replaces the one with its name.
    #[must_use]
    pub fn put(mut self, kind: RecordKind, name: &str, record: impl Into<Vec<u8>>) -> Self {
        self.changes.push(RecordChange {
            kind,
            name: name.into(),
            bytes: Some(record.into()),
        });
        self
    }

    /// Adds the deletion of a record.
    #[must_use]
    pub fn delete(mut self, kind: RecordKind, name: &str) -> Self {
        self.changes.push(RecordChange {
            kind,
            name: name.into(),
            bytes: None,
        });
        self
    }
}
