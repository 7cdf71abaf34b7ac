//! Full and failing disks.

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

const SMALL_SEGMENTS: LogOptions = LogOptions { segment_bytes: 400 };

fn folder(dir: &TempDir, disk: &Faulty) -> DataFolder {
    DataFolder::open_in(Arc::new(disk.clone()), dir.path()).unwrap()
}

#[test]
fn full_disk_refuses_appends_and_loses_nothing() {
    for available in 0..300 {
        let dir = tempdir().unwrap();
        let disk = Faulty::default();
        let mut log = Log::open(&folder(&dir, &disk), SMALL_SEGMENTS).unwrap();
        for index in 1..=5 {
            log.append(&[entry(index, 1)]).unwrap();
        }
        log.sync().unwrap();
        disk.set_available(Some(available));
        let (mut last, e) = fill(&mut log, 6);
        assert_matches!(e, JournalError::Full { .. });
        assert_eq!(e.refusal().verdict, Verdict::NotRun);
        assert_eq!(log.last().index, last);
        disk.set_available(None);
        last += 1;
        log.append(&[entry(last, 1)]).unwrap();
        log.sync().unwrap();
        drop(log);
        let log = Log::open(&folder(&dir, &disk), SMALL_SEGMENTS).unwrap();
        assert_eq!(log.last().index, last, "{available} bytes available");
    }
}

/// Appends until an append fails. Returns the last appended index and the error.
fn fill(log: &mut Log, from: u64) -> (u64, JournalError) {
    for index in from.. {
        if let Err(e) = log.append(&[entry(index, 1)]) {
            return (index - 1, e);
        }
    }
    unreachable!("the disk has limited space")
}

#[test]
fn writes_are_refused_after_a_failed_sync() {
    let dir = tempdir().unwrap();
    let disk = Faulty::default();
    let mut log = Log::open(&folder(&dir, &disk), SMALL_SEGMENTS).unwrap();
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
    let log = Log::open(&folder(&dir, &disk), SMALL_SEGMENTS).unwrap();
    assert!(log.last().index >= 1);
}

#[test]
fn full_disk_keeps_existing_blobs() {
    let dir = tempdir().unwrap();
    let disk = Faulty::default();
    let mut blobs = BlobStore::open(&folder(&dir, &disk)).unwrap();
    let kept = blobs.put(b"kept").unwrap();
    blobs.sync().unwrap();
    disk.set_available(Some(30));
    assert_matches!(blobs.put(b"refused"), Err(JournalError::Full { .. }));
    disk.set_available(None);
    let later = blobs.put(b"later").unwrap();
    blobs.sync().unwrap();
    drop(blobs);
    let blobs = BlobStore::open(&folder(&dir, &disk)).unwrap();
    assert_eq!(blobs.len(), 2);
    assert_eq!(blobs.get(&kept).unwrap().unwrap(), b"kept");
    assert_eq!(blobs.get(&later).unwrap().unwrap(), b"later");
}
