//! A Unix socket that is its owner's alone from the first moment on. One that a crash left behind is taken over, a live one
//! is not, and at the end it is removed only if it is still the same.

use rustix::fs::{flock, FlockOperation};
use std::fs::{self, File, OpenOptions, Permissions};
use std::io::ErrorKind;
use std::os::unix::fs::{FileTypeExt, MetadataExt, OpenOptionsExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// The file of a socket.
#[derive(Debug)]
pub struct Socket {
    path: PathBuf,
    /// Device and number of the file that was made.
    made: (u64, u64),
    _lock: File,
}

fn beside(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(ending);
    name.into()
}

/// Listens at a path, with a mode that holds before anybody can connect.
///
/// # Errors
///
/// Where another process listens there, something else than a socket is there, or the folder can't be written.
pub fn listen(path: &Path, mode: u32) -> Result<(UnixListener, Socket), String> {
    let failed = |what: &str, e: std::io::Error| format!("{}: {what}: {e}", path.display());
    // Held for as long as the socket is: two that start at once must not both find the old one dead.
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(false).mode(0o600);
    let lock = options
        .open(beside(path, ".lock"))
        .map_err(|e| failed("cannot open its lock", e))?;
    flock(&lock, FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| format!("{}: another process listens there", path.display()))?;
    match fs::symlink_metadata(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => {}
        Err(e) => return Err(failed("cannot look at it", e)),
        Ok(found) if !found.file_type().is_socket() => {
            return Err(format!(
                "{}: something that is no socket is there",
                path.display()
            ));
        }
        Ok(_) => match UnixStream::connect(path) {
            Ok(_) => return Err(format!("{}: another process listens there", path.display())),
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {} // left by a crash
            Err(e) => return Err(failed("cannot tell whether somebody listens there", e)),
        },
    }
    // Made under another name: its mode is set before it has the one that others know.
    let new = beside(path, ".new");
    match fs::remove_file(&new) {
        Err(e) if e.kind() != ErrorKind::NotFound => {
            return Err(failed("cannot clear what a crash left", e))
        }
        _ => {}
    }
    let listener = UnixListener::bind(&new).map_err(|e| failed("cannot listen", e))?;
    fs::set_permissions(&new, Permissions::from_mode(mode))
        .map_err(|e| failed("cannot set its mode", e))?;
    let made = fs::symlink_metadata(&new).map_err(|e| failed("cannot look at it", e))?;
    fs::rename(&new, path).map_err(|e| failed("cannot give it its name", e))?;
    Ok((
        listener,
        Socket {
            path: path.into(),
            made: (made.dev(), made.ino()),
            _lock: lock,
        },
    ))
}

impl Socket {
    /// Removes the file, unless another has taken its place.
    pub fn remove(&self) {
        if fs::symlink_metadata(&self.path).is_ok_and(|m| (m.dev(), m.ino()) == self.made) {
            let _ = fs::remove_file(&self.path);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{fs, listen, UnixStream};
    use std::os::unix::fs::PermissionsExt;

    #[test]
    fn it_is_the_owners_alone_and_taken_over_after_a_crash_but_not_from_the_living() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("control");
        let (listener, socket) = listen(&path, 0o600).unwrap();
        assert_eq!(
            fs::metadata(&path).unwrap().permissions().mode() & 0o777,
            0o600
        );
        assert!(listen(&path, 0o600)
            .unwrap_err()
            .contains("another process"));
        drop((listener, socket)); // as a crash: the file stays
        assert!(path.exists());
        let (_listener, socket) = listen(&path, 0o600).unwrap();
        assert!(UnixStream::connect(&path).is_ok());
        socket.remove();
        assert!(!path.exists());
    }

    #[test]
    fn what_is_anothers_stays() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("control");
        fs::write(&path, "text").unwrap();
        assert!(listen(&path, 0o600).unwrap_err().contains("no socket"));
        fs::remove_file(&path).unwrap();
        let (_listener, socket) = listen(&path, 0o600).unwrap();
        fs::remove_file(&path).unwrap();
        fs::write(&path, "another's").unwrap();
        socket.remove();
        assert_eq!(fs::read_to_string(&path).unwrap(), "another's");
    }
}
