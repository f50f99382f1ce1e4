//! Records, and batches of changes to them.

use redb::TableDefinition;

/// Maximum length of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 16 << 20;
/// Maximum length of a record's name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Kind of a record. Each kind has its own table, in which names are unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// Generations that are enforced, and the votes of the consensus and commit protocols.
    Control,
    /// Entries of the audit log.
    Audit,
    /// Quota leases.
    Lease,
    /// Usage that has not been exported yet.
    Use,
    /// The last valid configuration.
    Config,
}

impl RecordKind {
    /// All kinds, in declaration order.
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
    /// Name of the record, unique within its kind.
    pub name: String,
    /// Content of the record, which the store does not interpret.
    pub bytes: Vec<u8>,
}

/// A change to one record.
#[derive(Clone, Debug)]
pub(crate) struct RecordChange {
    pub(crate) kind: RecordKind,
    pub(crate) name: String,
    /// The new content; none to delete the record.
    pub(crate) bytes: Option<Vec<u8>>,
}

impl RecordChange {
    pub(crate) fn is_too_long(&self) -> bool {
        let length = self.bytes.as_ref().map_or(0, Vec::len);
        self.name.len() > MAX_NAME_BYTES || length > MAX_RECORD_BYTES
    }
}

/// Changes to records that one commit makes together, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub(crate) changes: Vec<RecordChange>,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new() -> Self {
        Batch::default()
    }

    /// Adds the insertion of a record, which replaces any record of the kind with the same name.
    #[must_use]
    pub fn put(mut self, kind: RecordKind, name: &str, record: impl Into<Vec<u8>>) -> Self {
        self.changes.push(RecordChange {
            kind,
            name: name.into(),
            bytes: Some(record.into()),
        });
        self
    }

    /// Adds the deletion of a record; nothing is deleted if there is no such record.
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
