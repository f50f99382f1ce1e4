//! Crashes at any write, length change or sync: every commit that has returned must be found again, and none in part.
//! The backend keeps the changes since the last sync separate; at a crash, any selection of them may have reached the
//! disk, and a write may have been torn.

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};
use wrenfork_store::{Batch, NamedRecord, RecordKind, Store};

#[derive(Clone, Debug)]
enum Change {
    /// Offset and bytes of a write.
    Write(u64, Vec<u8>),
    /// The new length of the file.
    SetLength(u64),
}

#[derive(Debug, Default)]
struct Disk {
    /// Content at the last sync, which survives a crash.
    synced: Vec<u8>,
    /// Content that a reader sees.
    current: Vec<u8>,
    /// Changes since the last sync.
    pending: Vec<Change>,
    /// Number of steps until the crash; none for no crash.
    steps_left: Option<usize>,
    /// Number of writes, length changes and syncs so far.
    steps: usize,
    /// Whether the file can't grow.
    full: bool,
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::SetLength(length) => bytes.resize(*length as usize, 0),
        Change::Write(at, data) => {
            let end = *at as usize + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*at as usize..end].copy_from_slice(data);
        }
    }
}

impl Disk {
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        match &mut self.steps_left {
            Some(0) => Err(io::Error::other("the machine has crashed")),
            Some(n) => {
                *n -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Content after a crash: the synced content with a random selection of the pending changes, some writes of them
    /// torn.
    fn after_crash(&self, rng: &mut fastrand::Rng) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        let keep = rng.u8(0..4);
        for change in &self.pending {
            let kept = match keep {
                0 => false,
                1 => true,
                _ => rng.bool(),
            };
            if kept {
                match change {
                    Change::Write(at, data) if rng.u8(0..4) == 0 => {
                        // A disk writes whole sectors, but may write only some sectors of a write.
                        let sectors = data.len().div_ceil(512);
                        let torn = data
                            .iter()
                            .copied()
                            .take(rng.usize(0..=sectors) * 512)
                            .collect();
                        apply(&mut bytes, &Change::Write(*at, torn));
                    }
                    change => apply(&mut bytes, change),
                }
            }
        }
        bytes
    }
}

#[derive(Clone, Debug, Default)]
struct Backend(Arc<Mutex<Disk>>);

impl Backend {
    fn with_content(bytes: Vec<u8>) -> Backend {
        Backend(Arc::new(Mutex::new(Disk {
            synced: bytes.clone(),
            current: bytes,
            ..Disk::default()
        })))
    }

    fn apply_change(&self, change: Change) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        if disk.full
            && matches!(change, Change::SetLength(length) if length as usize > disk.current.len())
        {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        disk.step()?;
        apply(&mut disk.current, &change);
        disk.pending.push(change);
        Ok(())
    }
}

impl StorageBackend for Backend {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().unwrap().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let disk = self.0.lock().unwrap();
        let found = disk
            .current
            .get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(found.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        self.apply_change(Change::SetLength(len))
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut disk = self.0.lock().unwrap();
        disk.step()?;
        disk.synced = disk.current.clone();
        disk.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        self.apply_change(Change::Write(offset, data.to_vec()))
    }
}

/// The `n`th commit of a history. It replaces two records that must always be equal and adds an audit record; every
/// third commit also deletes the previous audit record.
fn batch(n: u64) -> Batch {
    let text = format!("generation {n}");
    let batch = Batch::new()
        .put(RecordKind::Control, "enforced", text.as_bytes())
        .put(RecordKind::Control, "promise", text.as_bytes())
        .put(
            RecordKind::Audit,
            &format!("{n:08}"),
            vec![n as u8; 40 + (n as usize * 97) % 3000],
        );
    if n % 3 == 2 {
        batch.delete(RecordKind::Audit, &format!("{:08}", n - 1))
    } else {
        batch
    }
}

/// Returns the number of the last commit found in the store, after checking that the store has exactly the records that
/// this commit and the ones before it leave.
fn check_records(store: &Store) -> Option<u64> {
    let get = |name| {
        store
            .get(RecordKind::Control, name)
            .unwrap()
            .map(|v| String::from_utf8(v).unwrap())
    };
    let (enforced, promise) = (get("enforced"), get("promise"));
    assert_eq!(enforced, promise, "only a part of a commit was stored");
    let n = enforced.map(|t| t.trim_start_matches("generation ").parse::<u64>().unwrap());
    let audit = store.list(RecordKind::Audit, 1000).unwrap();
    let is_expected =
        |m: &u64| n.is_some_and(|n| *m <= n) && !(m % 3 == 1 && n.is_some_and(|n| *m < n));
    let names: Vec<String> = (0..1000)
        .filter(is_expected)
        .map(|m| format!("{m:08}"))
        .collect();
    assert_eq!(
        audit.iter().map(|a| a.name.clone()).collect::<Vec<_>>(),
        names,
        "audit records after commit {n:?}"
    );
    for NamedRecord { name, bytes } in audit {
        let m: u64 = name.parse().unwrap();
        assert_eq!(bytes, vec![m as u8; 40 + (m as usize * 97) % 3000]);
    }
    n
}

/// Opens the store and makes the commits after `last_commit` and before `commits`, until the crash. Sets `last_commit`
/// to the last commit that returned. Returns whether the store was opened: before that, its file would not have its
/// final name.
fn run_until_crash(backend: &Backend, commits: u64, last_commit: &mut Option<u64>) -> bool {
    let Ok(store) = Store::with_backend(backend.clone()) else {
        return false;
    };
    let next = last_commit.map_or(0, |n| n + 1);
    for n in next..commits {
        if store.commit(&batch(n)).is_err() {
            break;
        }
        *last_commit = Some(n);
    }
    true
}

/// Number of steps of a history without a crash.
fn count_steps(commits: u64) -> usize {
    let backend = Backend::default();
    run_until_crash(&backend, commits, &mut None);
    let steps = backend.0.lock().unwrap().steps;
    steps
}

/// Crashes at a step of a history, and once more during recovery; then checks what the store has.
fn check_crash_at(crash_step: usize, commits: u64, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (backend, mut last_commit) = (Backend::default(), None);
    backend.0.lock().unwrap().steps_left = Some(crash_step);
    let created = run_until_crash(&backend, commits, &mut last_commit);
    let content = if created {
        backend.0.lock().unwrap().after_crash(&mut rng)
    } else {
        Vec::new()
    };
    // Recovery, with another crash during it.
    let recovering = Backend::with_content(content);
    recovering.0.lock().unwrap().steps_left = Some(rng.usize(0..20));
    let reopened = Store::with_backend(recovering.clone());
    let content = if created || reopened.is_ok() {
        recovering.0.lock().unwrap().after_crash(&mut rng)
    } else {
        Vec::new()
    };
    drop(reopened);
    let store = Store::with_backend(Backend::with_content(content))
        .unwrap_or_else(|e| panic!("crash at step {crash_step}, seed {seed}: {e}"));
    let found = check_records(&store);
    assert!(
        found >= last_commit,
        "crash at step {crash_step}, seed {seed}: last commit {last_commit:?}, found {found:?}"
    );
    assert!(
        found <= last_commit.map_or(Some(0), |n| Some(n + 1)),
        "crash at step {crash_step}, seed {seed}: found commit {found:?}, which was never begun"
    );
    // The store accepts commits after recovery.
    let next = found.map_or(0, |n| n + 1);
    store.commit(&batch(next)).unwrap();
    assert_eq!(check_records(&store), Some(next));
}

/// Each crash point is run with several random selections of the changes that reached the disk.
#[test]
fn commits_survive_a_crash_at_every_step_of_a_short_history() {
    let steps = count_steps(6);
    assert!(steps > 30, "only {steps} steps");
    for crash_step in 0..steps {
        for seed in 0..6 {
            check_crash_at(crash_step, 6, crash_step as u64 * 100 + seed);
        }
    }
}

#[test]
fn commits_survive_a_crash_at_random_steps_of_a_long_history() {
    let steps = count_steps(60);
    let mut rng = fastrand::Rng::with_seed(7);
    for seed in 0..800 {
        check_crash_at(rng.usize(0..steps), 60, 1_000_000 + seed);
    }
}

/// Guards against a commit to a full disk that damages the records stored before.
#[test]
fn commit_fails_on_a_full_disk_and_stored_records_remain() {
    let backend = Backend::default();
    let store = Store::with_backend(backend.clone()).unwrap();
    store.commit(&batch(0)).unwrap();
    backend.0.lock().unwrap().full = true;
    let large = vec![9; 12 << 20];
    let result = store.commit(&Batch::new().put(RecordKind::Config, "large", large));
    assert!(result.is_err());
    backend.0.lock().unwrap().full = false;
    drop(store);
    let bytes = backend.0.lock().unwrap().current.clone();
    assert_eq!(
        check_records(&Store::with_backend(Backend::with_content(bytes)).unwrap()),
        Some(0)
    );
}
