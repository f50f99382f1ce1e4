//! Who may listen at a path, and what is removed.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use wrenfork_control_plane::socket::{listen, SocketError};

const MODE: u32 = 0o600;

#[test]
fn a_socket_is_the_owners_alone_and_replaced_after_a_crash_but_not_while_it_lives() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control");
    let socket = listen(&path, MODE).unwrap();
    let mode = fs::metadata(&path).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, MODE);
    let second = listen(&path, MODE).unwrap_err();
    assert!(matches!(second, SocketError::InUse { .. }), "{second:?}");
    assert!(second.to_string().contains("another process"), "{second}");
    // As by a crash: the file stays.
    drop(socket);
    assert!(path.exists());
    let socket = listen(&path, MODE).unwrap();
    assert!(UnixStream::connect(&path).is_ok());
    socket.file.remove();
    assert!(!path.exists());
}

#[test]
fn a_file_of_another_is_neither_replaced_nor_removed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control");
    fs::write(&path, "text").unwrap();
    let refused = listen(&path, MODE).unwrap_err();
    assert!(refused.to_string().contains("no socket"), "{refused}");
    fs::remove_file(&path).unwrap();
    let socket = listen(&path, MODE).unwrap();
    fs::remove_file(&path).unwrap();
    fs::write(&path, "another's").unwrap();
    socket.file.remove();
    assert_eq!(fs::read_to_string(&path).unwrap(), "another's");
}
