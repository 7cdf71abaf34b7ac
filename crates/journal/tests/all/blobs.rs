//! Storage, recovery and compaction of blobs.

use std::{
    collections::HashSet,
    fs,
    path::Path, //
};

use assert_matches::assert_matches;
use tempfile::tempdir;
use yuccaseam_journal::{
    BlobId,
    BlobStore,
    DataFolder,
    JournalError, //
};

const SEGMENT_BYTES: u64 = 1_000;

fn open(dir: &Path) -> Result<BlobStore, JournalError> {
    BlobStore::open_with(&DataFolder::open(dir)?, SEGMENT_BYTES)
}

fn data(number: u8) -> Vec<u8> {
    vec![number; 100]
}

fn put_all(store: &mut BlobStore, numbers: std::ops::Range<u8>) -> Vec<BlobId> {
    let ids = numbers.map(|number| store.put(&data(number)).unwrap());
    let ids = ids.collect();
    store.sync().unwrap();
    ids
}

#[test]
fn blobs_survive_a_restart() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path()).unwrap();
    let ids = put_all(&mut store, 0..50);
    let bytes = store.disk_bytes();
    assert_eq!(put_all(&mut store, 0..50), ids);
    assert_eq!(store.disk_bytes(), bytes);
    drop(store);
    let store = open(dir.path()).unwrap();
    assert_eq!(store.len(), 50);
    for (number, id) in ids.iter().enumerate() {
        assert_eq!(store.get(id).unwrap().unwrap(), data(number as u8));
    }
    let listed: HashSet<_> = store.ids().unwrap().into_iter().collect();
    assert_eq!(listed, ids.into_iter().collect());
    assert!(!store.contains(&BlobId::of(b"other")).unwrap());
    assert_eq!(store.get(&BlobId::of(b"other")).unwrap(), None);
}

#[test]
fn tail_torn_at_any_byte_is_truncated() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path()).unwrap();
    put_all(&mut store, 0..2);
    let synced = store.disk_bytes() as usize;
    store.put(&data(2)).unwrap();
    drop(store);
    let file = dir.path().join("blobs/0000000000000001.seg");
    let original = fs::read(&file).unwrap();
    for len in synced..original.len() {
        fs::write(&file, &original[..len]).unwrap();
        assert_eq!(open(dir.path()).unwrap().len(), 2, "cut to {len} bytes");
    }
}

#[test]
fn damaged_blob_is_detected_and_replaced() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path()).unwrap();
    let ids = put_all(&mut store, 0..20);
    drop(store);
    let file = dir.path().join("blobs/0000000000000001.seg");
    let mut content = fs::read(&file).unwrap();
    content[100] ^= 1;
    fs::write(&file, content).unwrap();
    let mut store = open(dir.path()).unwrap();
    assert_matches!(store.get(&ids[0]), Err(JournalError::Corrupt { .. }));
    store.remove(&ids[0]).unwrap();
    assert!(!store.contains(&ids[0]).unwrap());
    store.put(&data(0)).unwrap();
    assert_eq!(store.get(&ids[0]).unwrap().unwrap(), data(0));
    drop(store);
    let store = open(dir.path()).unwrap();
    assert_eq!(store.get(&ids[0]).unwrap().unwrap(), data(0));
}

#[test]
fn damage_to_a_synced_header_fails_the_open() {
    let dir = tempdir().unwrap();
    put_all(&mut open(dir.path()).unwrap(), 0..20);
    let file = dir.path().join("blobs/0000000000000001.seg");
    let mut content = fs::read(&file).unwrap();
    content[30] ^= 1;
    fs::write(&file, content).unwrap();
    assert_matches!(open(dir.path()), Err(JournalError::Corrupt { .. }));
}

#[test]
fn compaction_removes_dead_blobs() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path()).unwrap();
    let ids = put_all(&mut store, 0..100);
    let live: HashSet<_> = ids.iter().copied().step_by(10).collect();
    let before = store.disk_bytes();
    let done = store.compact(|id| live.contains(id)).unwrap();
    assert_eq!(done.removed, 90);
    assert_eq!(done.copied, 10);
    assert_eq!(done.freed_bytes, before - store.disk_bytes());
    assert!(store.disk_bytes() < before / 5);
    drop(store);
    let store = open(dir.path()).unwrap();
    assert_eq!(store.len(), 10);
    for (number, id) in ids.iter().enumerate() {
        let kept = store.get(id).unwrap();
        assert_eq!(kept, live.contains(id).then(|| data(number as u8)));
    }
}

#[test]
fn compaction_keeps_mostly_live_segments() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path()).unwrap();
    let ids = put_all(&mut store, 0..60);
    let before = store.disk_bytes();
    let done = store.compact(|id| *id != ids[3]).unwrap();
    assert_eq!(done, Default::default());
    assert_eq!(store.disk_bytes(), before);
}

#[test]
fn crash_during_compaction_loses_nothing() {
    let dir = tempdir().unwrap();
    let mut store = open(dir.path()).unwrap();
    let ids = put_all(&mut store, 0..30);
    let old = dir.path().join("blobs/0000000000000001.seg");
    let content = fs::read(&old).unwrap();
    store.compact(|id| *id == ids[1]).unwrap();
    drop(store);
    // The crash precedes the sync of the folder, so the removed segment reappears.
    fs::write(&old, content).unwrap();
    let store = open(dir.path()).unwrap();
    assert_eq!(store.get(&ids[1]).unwrap().unwrap(), data(1));
}
