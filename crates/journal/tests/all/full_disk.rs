//! A disk that is full or fails.

use std::sync::Arc;

use assert_matches::assert_matches;
use tempfile::{
    TempDir,
    tempdir, //
};
use yuccaseam_base::Verdict;
use yuccaseam_journal::{
    BlobStore,
    DataFolder,
    JournalError,
    Log,
    LogOptions, //
};

use crate::{
    faulty::Faulty,
    log::entry, //
};

const SMALL: LogOptions = LogOptions { segment_bytes: 400 };

fn folder(dir: &TempDir, disk: &Faulty) -> DataFolder {
    DataFolder::open_in(Arc::new(disk.clone()), dir.path()).unwrap()
}

#[test]
fn a_full_disk_refuses_and_loses_nothing() {
    for room in 0..300 {
        let dir = tempdir().unwrap();
        let disk = Faulty::default();
        let mut log = Log::open(&folder(&dir, &disk), SMALL).unwrap();
        for index in 1..=5 {
            log.append(&[entry(index, 1)]).unwrap();
        }
        log.sync().unwrap();
        disk.set_room(Some(room));
        let (mut last, e) = fill(&mut log, 6);
        assert_matches!(e, JournalError::Full { .. });
        assert_eq!(e.refusal().verdict, Verdict::NotRun);
        assert_eq!(log.last().index, last);
        disk.set_room(None);
        last += 1;
        log.append(&[entry(last, 1)]).unwrap();
        log.sync().unwrap();
        drop(log);
        let log = Log::open(&folder(&dir, &disk), SMALL).unwrap();
        assert_eq!(log.last().index, last, "room for {room} bytes");
    }
}

/// Appends until it fails. Returns the last index that was appended.
fn fill(log: &mut Log, from: u64) -> (u64, JournalError) {
    for index in from.. {
        if let Err(e) = log.append(&[entry(index, 1)]) {
            return (index - 1, e);
        }
    }
    unreachable!("the disk has an end")
}

#[test]
fn a_failed_sync_ends_writing() {
    let dir = tempdir().unwrap();
    let disk = Faulty::default();
    let mut log = Log::open(&folder(&dir, &disk), SMALL).unwrap();
    log.append(&[entry(1, 1)]).unwrap();
    log.sync().unwrap();
    log.append(&[entry(2, 1)]).unwrap();
    disk.set_fail_sync(true);
    let e = log.sync().unwrap_err();
    assert_matches!(e, JournalError::Sync { .. });
    assert_eq!(e.refusal().verdict, Verdict::MayHaveRun);
    disk.set_fail_sync(false);
    assert_matches!(log.sync(), Err(JournalError::Failed));
    assert_matches!(log.append(&[entry(3, 1)]), Err(JournalError::Failed));
    assert_eq!(log.durable_index(), 1);
    drop(log);
    disk.crash(3);
    let log = Log::open(&folder(&dir, &disk), SMALL).unwrap();
    assert!(log.last().index >= 1);
}

#[test]
fn a_full_disk_keeps_the_blobs() {
    let dir = tempdir().unwrap();
    let disk = Faulty::default();
    let mut blobs = BlobStore::open(&folder(&dir, &disk)).unwrap();
    let kept = blobs.put(b"kept").unwrap();
    blobs.sync().unwrap();
    disk.set_room(Some(30));
    assert_matches!(blobs.put(b"refused"), Err(JournalError::Full { .. }));
    disk.set_room(None);
    let later = blobs.put(b"later").unwrap();
    blobs.sync().unwrap();
    drop(blobs);
    let blobs = BlobStore::open(&folder(&dir, &disk)).unwrap();
    assert_eq!(blobs.len(), 2);
    assert_eq!(blobs.get(&kept).unwrap().unwrap(), b"kept");
    assert_eq!(blobs.get(&later).unwrap().unwrap(), b"later");
}
