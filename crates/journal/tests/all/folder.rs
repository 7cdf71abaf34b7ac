//! Lock and identity of the data folder.

use std::{
    fs,
    os::unix::fs::PermissionsExt as _, //
};

use assert_matches::assert_matches;
use tempfile::tempdir;
use yuccaseam_journal::{
    DataFolder,
    JournalError,
    Log,
    LogOptions, //
};

#[test]
fn second_open_fails_with_locked() {
    let dir = tempdir().unwrap();
    let _held = DataFolder::open(dir.path()).unwrap();
    assert_matches!(
        DataFolder::open(dir.path()),
        Err(JournalError::Locked { .. })
    );
}

#[test]
fn reopened_folder_keeps_its_identity() {
    let dir = tempdir().unwrap();
    let folder = dir.path().join("a/b");
    let first = DataFolder::open(&folder).unwrap();
    assert!(first.was_empty());
    let identity = first.identity();
    drop(first);
    let second = DataFolder::open(&folder).unwrap();
    assert!(!second.was_empty());
    assert_eq!(second.identity(), identity);
}

#[test]
fn emptied_folder_gets_a_new_identity() {
    let dir = tempdir().unwrap();
    let folder = dir.path().join("data");
    let lost = DataFolder::open(&folder).unwrap().identity();
    fs::remove_dir_all(&folder).unwrap();
    let empty = DataFolder::open(&folder).unwrap();
    assert!(empty.was_empty());
    assert_ne!(empty.identity(), lost);
}

#[test]
fn data_without_identity_is_refused() {
    let dir = tempdir().unwrap();
    let folder = DataFolder::open(dir.path()).unwrap();
    Log::open(&folder, LogOptions::default()).unwrap();
    drop(folder);
    fs::remove_file(dir.path().join("identity")).unwrap();
    assert_matches!(
        DataFolder::open(dir.path()),
        Err(JournalError::Corrupt { .. })
    );
}

#[test]
fn damaged_identity_is_refused() {
    let dir = tempdir().unwrap();
    drop(DataFolder::open(dir.path()).unwrap());
    let file = dir.path().join("identity");
    let mut content = fs::read(&file).unwrap();
    content[3] ^= 1;
    fs::write(&file, content).unwrap();
    assert_matches!(
        DataFolder::open(dir.path()),
        Err(JournalError::Corrupt { .. })
    );
}

/// Logs hold what their users stored, secrets among it.
#[test]
fn folder_and_files_are_accessible_to_their_own_user_only() {
    let dir = tempdir().unwrap();
    let folder = dir.path().join("data");
    let _held = DataFolder::open(&folder).unwrap();
    let mode = |path| fs::metadata(path).unwrap().permissions().mode() & 0o777;
    assert_eq!(mode(folder.clone()), 0o700);
    for entry in fs::read_dir(&folder).unwrap() {
        let path = entry.unwrap().path();
        assert_eq!(mode(path.clone()), 0o600, "{}", path.display());
    }
}
