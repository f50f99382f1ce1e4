//! Which socket files are replaced at start and removed at shutdown.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use wrenfork_control_plane::socket::{listen, SocketError};

const MODE: u32 = 0o600;

#[test]
fn socket_is_private_and_replaced_only_after_a_crash() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control");
    let socket = listen(&path, MODE).unwrap();
    let mode = fs::metadata(&path).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, MODE);
    let in_use = listen(&path, MODE).unwrap_err();
    assert!(matches!(in_use, SocketError::InUse { .. }), "{in_use:?}");
    assert!(in_use.to_string().contains("another process"), "{in_use}");
    // Simulate a crash: dropping the socket leaves its file in place.
    drop(socket);
    assert!(path.exists());
    let socket = listen(&path, MODE).unwrap();
    assert!(UnixStream::connect(&path).is_ok());
    socket.file.remove();
    assert!(!path.exists());
}

#[test]
fn foreign_file_at_the_path_is_neither_replaced_nor_removed() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("control");
    fs::write(&path, "text").unwrap();
    let not_a_socket = listen(&path, MODE).unwrap_err();
    assert!(
        not_a_socket.to_string().contains("is not a socket"),
        "{not_a_socket}"
    );
    fs::remove_file(&path).unwrap();
    let socket = listen(&path, MODE).unwrap();
    fs::remove_file(&path).unwrap();
    fs::write(&path, "another's").unwrap();
    socket.file.remove();
    assert_eq!(fs::read_to_string(&path).unwrap(), "another's");
}
