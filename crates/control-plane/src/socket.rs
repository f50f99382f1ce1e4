//! A Unix socket whose file mode is in effect before any client can connect. A socket file left by a crash is replaced, one in use
//! is not, and on shutdown the file is removed only if it is still the one created here.

use rustix::fs::{flock, FlockOperation};
use std::fs::{self, File, OpenOptions, Permissions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::{FileTypeExt, MetadataExt, OpenOptionsExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// File mode of the lock file.
const LOCK_MODE: u32 = 0o600;

/// Why a process can't listen on a socket path.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// Another process listens on this path.
    #[error("{}: another process listens there", path.display())]
    InUse {
        /// The socket's path.
        path: PathBuf,
    },
    /// The path names a file that is not a socket.
    #[error("{}: the file at this path is not a socket", path.display())]
    NotASocket {
        /// The socket's path.
        path: PathBuf,
    },
    /// A system call failed.
    #[error("{}: {step}: {source}", path.display())]
    Io {
        /// The socket's path.
        path: PathBuf,
        /// The step that failed, as shown in the message.
        step: &'static str,
        /// The underlying I/O error.
        source: io::Error,
    },
}

/// A listener together with its socket file.
#[derive(Debug)]
pub struct BoundSocket {
    /// The listener of the socket.
    pub listener: UnixListener,
    /// The socket file, locked until this value is dropped.
    pub file: SocketFile,
}

/// Identifies a file independently of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileId {
    device: u64,
    inode: u64,
}

impl FileId {
    fn of(path: &Path) -> io::Result<FileId> {
        let metadata = fs::symlink_metadata(path)?;
        Ok(FileId {
            device: metadata.dev(),
            inode: metadata.ino(),
        })
    }
}

/// The file of a bound socket, with the lock that protects the path.
#[derive(Debug)]
pub struct SocketFile {
    path: PathBuf,
    created: FileId,
    _lock: File,
}

impl SocketFile {
    /// Removes the socket file, unless it has been replaced by another file.
    pub fn remove(&self) {
        if FileId::of(&self.path).is_ok_and(|found| found == self.created) {
            let _ = fs::remove_file(&self.path);
        }
    }
}

/// Listens on a Unix socket at `path`, whose file mode is set before any client can connect.
///
/// # Errors
///
/// See [`SocketError`].
pub fn listen(path: &Path, mode: u32) -> Result<BoundSocket, SocketError> {
    // Held as long as the socket exists: otherwise two processes that start together could both find the old socket stale
    // and replace it.
    let lock = lock(path)?;
    check_replaceable(path)?;
    // Bound under a temporary name, so that the mode is set before the socket appears under its real name.
    let temporary = with_suffix(path, ".new");
    remove_leftover(path, &temporary)?;
    let error_in = |step| move |source| io_error(path, step, source);
    let listener = UnixListener::bind(&temporary).map_err(error_in("cannot listen"))?;
    fs::set_permissions(&temporary, Permissions::from_mode(mode))
        .map_err(error_in("cannot set the mode of the socket file"))?;
    let created =
        FileId::of(&temporary).map_err(error_in("cannot read the metadata of the socket file"))?;
    fs::rename(&temporary, path).map_err(error_in("cannot rename the socket file into place"))?;
    let file = SocketFile {
        path: path.into(),
        created,
        _lock: lock,
    };
    Ok(BoundSocket { listener, file })
}

fn io_error(path: &Path, step: &'static str, source: io::Error) -> SocketError {
    SocketError::Io {
        path: path.into(),
        step,
        source,
    }
}

fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    name.into()
}

fn lock(path: &Path) -> Result<File, SocketError> {
    let lock = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .mode(LOCK_MODE)
        .open(with_suffix(path, ".lock"))
        .map_err(|error| io_error(path, "cannot open the lock file", error))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| SocketError::InUse { path: path.into() })?;
    Ok(lock)
}

/// Checks that the path is free, or holds only a stale socket left by a crash.
fn check_replaceable(path: &Path) -> Result<(), SocketError> {
    match fs::symlink_metadata(path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(()),
        Err(error) => {
            return Err(io_error(
                path,
                "cannot read the metadata of the socket file",
                error,
            ))
        }
        Ok(found) if !found.file_type().is_socket() => {
            return Err(SocketError::NotASocket { path: path.into() });
        }
        Ok(_) => {}
    }
    match UnixStream::connect(path) {
        Ok(_) => Err(SocketError::InUse { path: path.into() }),
        // A stale socket left by a crash.
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Ok(()),
        Err(error) => {
            let step = "cannot determine whether a process listens on the socket";
            Err(io_error(path, step, error))
        }
    }
}

fn remove_leftover(path: &Path, temporary: &Path) -> Result<(), SocketError> {
    match fs::remove_file(temporary) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(io_error(
            path,
            "cannot remove the temporary socket file left by a crash",
            error,
        )),
        _ => Ok(()),
    }
}
