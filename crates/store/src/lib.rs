//! Durable storage: a folder with a transactional store of named records.
//!
//! A [`Store`] keeps its records in one file of an embedded database (`redb`: copy-on-write B-trees with checksums).
//! Once [`Store::commit`] has returned, its batch survives a crash at any later point. If a crash interrupts a commit,
//! its batch is stored completely or not at all. A record is a byte string, identified by a [`RecordKind`] and a name;
//! the store does not interpret it.
//!
//! A commit blocks until the disk has synced: call it from a thread that does not serve requests.
//!
//! ```
//! use wrenfork_store::{Batch, RecordKind, Store};
//!
//! let folder = tempfile::tempdir().unwrap();
//! let store = Store::open(folder.path()).unwrap();
//! store.commit(&Batch::new().put(RecordKind::Control, "enforced", b"generation 7")).unwrap();
//! assert_eq!(store.get(RecordKind::Control, "enforced").unwrap().as_deref(), Some(&b"generation 7"[..]));
//! ```

mod error;
mod folder;
mod record;
mod store;
mod version;

pub use error::StoreError;
pub use record::{Batch, NamedRecord, RecordKind, MAX_NAME_BYTES, MAX_RECORD_BYTES};
pub use store::Store;
pub use version::VERSION;
