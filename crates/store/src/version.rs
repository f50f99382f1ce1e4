//! Format version of the records in a folder: records of an older version are migrated, a newer version is rejected.

use crate::error::StoreError;
use redb::{Database, ReadableDatabase, TableDefinition, TableError, WriteTransaction};

/// Format version of the records that this program writes.
pub const VERSION: u32 = 1;

const META: TableDefinition<&str, u32> = TableDefinition::new("meta");
const VERSION_KEY: &str = "version";

type Migration = fn(&WriteTransaction) -> Result<(), StoreError>;

/// Migrations from each version to the next, the first from version 1 to 2. Each runs in a commit of its own.
const MIGRATIONS: &[Migration] = &[];

/// Checks the version of a database, and migrates its records if the version is older. A new database gets the current
/// version.
///
/// # Errors
///
/// If the version is newer than [`VERSION`], or the database fails.
pub(crate) fn migrate(database: &Database) -> Result<(), StoreError> {
    match stored_version(database)? {
        Some(found) if found > VERSION => Err(StoreError::NewerVersion {
            found,
            known: VERSION,
        }),
        Some(0) => Err(StoreError::Corrupted(
            "the stored version is 0, which is invalid".into(),
        )),
        Some(found) => (found..VERSION).try_for_each(|from| {
            let migration = MIGRATIONS.get(from as usize - 1);
            set_version(database, from + 1, migration)
        }),
        None => set_version(database, VERSION, None),
    }
}

fn stored_version(database: &Database) -> Result<Option<u32>, StoreError> {
    let transaction = database.begin_read().map_err(StoreError::database)?;
    let meta = match transaction.open_table(META) {
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        meta => meta.map_err(StoreError::database)?,
    };
    let version = meta.get(VERSION_KEY).map_err(StoreError::database)?;
    Ok(version.map(|version| version.value()))
}

fn set_version(
    database: &Database,
    version: u32,
    migration: Option<&Migration>,
) -> Result<(), StoreError> {
    let transaction = database.begin_write().map_err(StoreError::database)?;
    if let Some(migration) = migration {
        migration(&transaction)?;
    }
    {
        let mut meta = transaction.open_table(META).map_err(StoreError::database)?;
        meta.insert(VERSION_KEY, version)
            .map_err(StoreError::database)?;
    }
    transaction.commit().map_err(StoreError::database)
}
