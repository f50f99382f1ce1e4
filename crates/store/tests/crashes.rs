//! A crash at any write, length change or sync: what was promised is there, and nothing half. The backend keeps what was
//! written since the last sync apart; at the cut, any part of that may have reached the disk, the last write torn.

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};
use wrenfork_store::{Batch, NamedRecord, RecordKind, Store};

#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct Disk {
    /// What is on the disk for sure, what a reader sees, and what lies between.
    synced: Vec<u8>,
    seen: Vec<u8>,
    pending: Vec<Change>,
    /// Steps left until the cut; none means that there is none.
    left: Option<usize>,
    steps: usize,
    full: bool,
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Length(n) => bytes.resize(*n as usize, 0),
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
        match &mut self.left {
            Some(0) => Err(io::Error::other("the machine is off")),
            Some(n) => {
                *n -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// What is found after a crash: some of what was not synced, in any choice, the last of it torn.
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
                        // A disk writes sectors whole, but not all of a write's.
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
    fn of(bytes: Vec<u8>) -> Backend {
        Backend(Arc::new(Mutex::new(Disk {
            synced: bytes.clone(),
            seen: bytes,
            ..Disk::default()
        })))
    }

    fn change(&self, change: Change) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        if disk.full && matches!(change, Change::Length(n) if n as usize > disk.seen.len()) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        disk.step()?;
        apply(&mut disk.seen, &change);
        disk.pending.push(change);
        Ok(())
    }
}

impl StorageBackend for Backend {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().unwrap().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let disk = self.0.lock().unwrap();
        let found = disk.seen.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(found.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        self.change(Change::Length(len))
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut disk = self.0.lock().unwrap();
        disk.step()?;
        disk.synced = disk.seen.clone();
        disk.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        self.change(Change::Write(offset, data.to_vec()))
    }
}

/// The `n`th commit of a history: two records that must always agree, one that grows, one that is taken away.
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

/// What the store says: the number of the last commit that is there, all of it and nothing else.
fn told(store: &Store) -> Option<u64> {
    let get = |name| {
        store
            .get(RecordKind::Control, name)
            .unwrap()
            .map(|v| String::from_utf8(v).unwrap())
    };
    let (enforced, promise) = (get("enforced"), get("promise"));
    assert_eq!(enforced, promise, "half of a commit");
    let n = enforced.map(|t| t.trim_start_matches("generation ").parse::<u64>().unwrap());
    let audit = store.list(RecordKind::Audit, 1000).unwrap();
    let want = |m: &u64| n.is_some_and(|n| *m <= n) && !(m % 3 == 1 && n.is_some_and(|n| *m < n));
    let names: Vec<String> = (0..1000).filter(want).map(|m| format!("{m:08}")).collect();
    assert_eq!(
        audit.iter().map(|a| a.name.clone()).collect::<Vec<_>>(),
        names,
        "at {n:?}"
    );
    for NamedRecord { name, bytes } in audit {
        let m: u64 = name.parse().unwrap();
        assert_eq!(bytes, vec![m as u8; 40 + (m as usize * 97) % 3000]);
    }
    n
}

/// Opens, commits from where it stands until `commits` or the cut; which commit was the last that returned.
/// Whether the store was made at all is told as well: before that it has no name.
fn live(backend: &Backend, commits: u64, done: &mut Option<u64>) -> bool {
    let Ok(store) = Store::with_backend(backend.clone()) else {
        return false;
    };
    let next = done.map_or(0, |n| n + 1);
    for n in next..commits {
        if store.commit(&batch(n)).is_err() {
            break;
        }
        *done = Some(n);
    }
    true
}

fn steps_of(commits: u64) -> usize {
    let backend = Backend::default();
    live(&backend, commits, &mut None);
    let steps = backend.0.lock().unwrap().steps;
    steps
}

fn crash_at(cut: usize, commits: u64, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (backend, mut done) = (Backend::default(), None);
    backend.0.lock().unwrap().left = Some(cut);
    let made = live(&backend, commits, &mut done);
    let found = if made {
        backend.0.lock().unwrap().after_crash(&mut rng)
    } else {
        Vec::new()
    };
    // It starts again, and again after a crash while it recovers.
    let again = Backend::of(found);
    again.0.lock().unwrap().left = Some(rng.usize(0..20));
    let open = Store::with_backend(again.clone());
    let found = if made || open.is_ok() {
        again.0.lock().unwrap().after_crash(&mut rng)
    } else {
        Vec::new()
    };
    drop(open);
    let store = Store::with_backend(Backend::of(found))
        .unwrap_or_else(|e| panic!("cut {cut}, seed {seed}: {e}"));
    let has = told(&store);
    assert!(
        has >= done,
        "cut {cut}, seed {seed}: promised {done:?}, found {has:?}"
    );
    assert!(
        has <= done.map_or(Some(0), |n| Some(n + 1)),
        "cut {cut}, seed {seed}: {has:?} was never asked for"
    );
    // And it goes on.
    let next = has.map_or(0, |n| n + 1);
    store.commit(&batch(next)).unwrap();
    assert_eq!(told(&store), Some(next));
}

/// Every cut point of a short history, with several choices of what reached the disk.
#[test]
fn a_crash_at_every_step_of_a_short_history() {
    let steps = steps_of(6);
    assert!(steps > 30, "{steps}");
    for cut in 0..steps {
        for seed in 0..6 {
            crash_at(cut, 6, cut as u64 * 100 + seed);
        }
    }
}

/// Cut points drawn over a long history.
#[test]
fn a_crash_at_drawn_steps_of_a_long_history() {
    let steps = steps_of(60);
    let mut rng = fastrand::Rng::with_seed(7);
    for seed in 0..800 {
        crash_at(rng.usize(0..steps), 60, 1_000_000 + seed);
    }
}

/// A full disk refuses the change, and what is there stays and can be read.
#[test]
fn a_full_disk_refuses_a_commit_and_keeps_what_is_there() {
    let backend = Backend::default();
    let store = Store::with_backend(backend.clone()).unwrap();
    store.commit(&batch(0)).unwrap();
    backend.0.lock().unwrap().full = true;
    let large = vec![9; 12 << 20];
    let refused = store.commit(&Batch::new().put(RecordKind::Config, "large", large));
    assert!(refused.is_err());
    backend.0.lock().unwrap().full = false;
    drop(store);
    let bytes = backend.0.lock().unwrap().seen.clone();
    assert_eq!(
        told(&Store::with_backend(Backend::of(bytes)).unwrap()),
        Some(0)
    );
}
