//! Writing, transfer and recovery of snapshots.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use assert_matches::assert_matches;
use tempfile::tempdir;
use yuccaseam_journal::{
    DataFolder,
    JournalError,
    Log,
    LogOptions,
    Position,
    SnapshotMeta,
    Snapshots, //
};

const POSITION: Position = Position { index: 40, term: 3 };

fn open(dir: &Path) -> Result<Snapshots, JournalError> {
    Snapshots::open(&DataFolder::open(dir)?)
}

fn write(snapshots: &mut Snapshots, position: Position, data: &[u8]) -> SnapshotMeta {
    let mut writer = snapshots.writer(position).unwrap();
    for chunk in data.chunks(7) {
        writer.write(chunk).unwrap();
    }
    let sealed = writer.seal().unwrap();
    snapshots.install(sealed).unwrap()
}

fn files(dir: &Path) -> Vec<PathBuf> {
    let names = fs::read_dir(dir.join("snapshots")).unwrap();
    names.map(|name| name.unwrap().path()).collect()
}

#[test]
fn newest_snapshot_is_used_after_a_restart() {
    let dir = tempdir().unwrap();
    let mut snapshots = open(dir.path()).unwrap();
    assert_eq!(snapshots.latest(), None);
    write(&mut snapshots, POSITION, b"older");
    let newer = Position { index: 90, term: 3 };
    let meta = write(
        &mut snapshots,
        newer,
        b"the newer data of the state machine",
    );
    drop(snapshots);
    let snapshots = open(dir.path()).unwrap();
    assert_eq!(snapshots.latest(), Some(meta));
    assert_eq!(files(dir.path()).len(), 1);
    let reader = snapshots.reader().unwrap().unwrap();
    assert_eq!(reader.read(4, 5).unwrap(), b"newer");
    assert_eq!(reader.read(meta.len - 2, 9).unwrap(), b"ne");
    assert_eq!(reader.read_all().unwrap().len() as u64, meta.len);
}

#[test]
fn incomplete_snapshot_is_removed() {
    let dir = tempdir().unwrap();
    let mut snapshots = open(dir.path()).unwrap();
    let meta = write(&mut snapshots, POSITION, b"whole");
    let mut writer = snapshots.writer(Position { index: 90, term: 3 }).unwrap();
    writer.write(b"half").unwrap();
    // A crash runs no destructors.
    std::mem::forget(writer);
    drop(snapshots);
    assert_eq!(files(dir.path()).len(), 2);
    let snapshots = open(dir.path()).unwrap();
    assert_eq!(snapshots.latest(), Some(meta));
    assert_eq!(files(dir.path()).len(), 1);
}

#[test]
fn newest_snapshot_is_used_after_a_crash_before_the_older_was_removed() {
    let dir = tempdir().unwrap();
    let mut snapshots = open(dir.path()).unwrap();
    write(&mut snapshots, POSITION, b"older");
    let older = files(dir.path()).remove(0);
    let content = fs::read(&older).unwrap();
    let meta = write(&mut snapshots, Position { index: 90, term: 3 }, b"newer");
    drop(snapshots);
    fs::write(&older, &content).unwrap();
    assert_eq!(open(dir.path()).unwrap().latest(), Some(meta));
}

#[test]
fn damage_to_any_byte_is_detected() {
    let dir = tempdir().unwrap();
    write(&mut open(dir.path()).unwrap(), POSITION, b"data");
    let file = files(dir.path()).remove(0);
    let original = fs::read(&file).unwrap();
    for at in 0..original.len() {
        let mut damaged = original.clone();
        damaged[at] ^= 4;
        fs::write(&file, damaged).unwrap();
        assert_matches!(open(dir.path()), Err(JournalError::Corrupt { .. }));
    }
}

#[test]
fn older_valid_snapshot_replaces_a_damaged_one() {
    let dir = tempdir().unwrap();
    let mut snapshots = open(dir.path()).unwrap();
    let meta = write(&mut snapshots, POSITION, b"data");
    drop(snapshots);
    let damaged = dir
        .path()
        .join("snapshots/00000000000000ff-0000000000000003.snap");
    fs::write(&damaged, b"not a snapshot").unwrap();
    let snapshots = open(dir.path()).unwrap();
    assert_eq!(snapshots.latest(), Some(meta));
    assert_eq!(snapshots.damaged(), [damaged]);
}

#[test]
fn log_that_starts_after_the_snapshot_is_refused() {
    let dir = tempdir().unwrap();
    let folder = DataFolder::open(dir.path()).unwrap();
    let mut snapshots = Snapshots::open(&folder).unwrap();
    let mut log = Log::open(&folder, LogOptions::default()).unwrap();
    snapshots.check_covers(&log).unwrap();
    log.drop_prefix(POSITION).unwrap();
    assert_matches!(
        snapshots.check_covers(&log),
        Err(JournalError::Corrupt { .. })
    );
    write(&mut snapshots, POSITION, b"data");
    snapshots.check_covers(&log).unwrap();
}

#[test]
fn transfer_resumes_after_a_disconnect() {
    let (from, to) = (tempdir().unwrap(), tempdir().unwrap());
    let mut source = open(from.path()).unwrap();
    let data: Vec<u8> = (0..1_000u32).map(|i| i as u8).collect();
    let meta = write(&mut source, POSITION, &data);
    let reader = source.reader().unwrap().unwrap();
    let mut target = open(to.path()).unwrap();
    let mut receiver = target.receiver(meta).unwrap();
    assert_eq!(
        receiver.write(0, &reader.read(0, 300).unwrap()).unwrap(),
        300
    );
    // A chunk after a gap is ignored, and bytes received before are skipped.
    assert_eq!(
        receiver.write(400, &reader.read(400, 9).unwrap()).unwrap(),
        300
    );
    assert_eq!(
        receiver.write(250, &reader.read(250, 90).unwrap()).unwrap(),
        340
    );
    assert_eq!(
        receiver.write(0, &reader.read(0, 20).unwrap()).unwrap(),
        340
    );
    while !receiver.is_complete() {
        let chunk = reader.read(receiver.next_offset(), 128).unwrap();
        receiver.write(receiver.next_offset(), &chunk).unwrap();
    }
    let sealed = receiver.seal().unwrap();
    assert_eq!(target.install(sealed).unwrap(), meta);
    let received = target.reader().unwrap().unwrap();
    assert_eq!(received.read_all().unwrap(), data);
}

#[test]
fn data_of_another_snapshot_is_refused() {
    let dir = tempdir().unwrap();
    let mut snapshots = open(dir.path()).unwrap();
    let meta = write(&mut snapshots, POSITION, b"data");
    let mut receiver = snapshots.receiver(meta).unwrap();
    assert_matches!(receiver.write(2, b"long"), Err(JournalError::WrongSnapshot));
    receiver.write(0, b"dato").unwrap();
    assert_matches!(receiver.seal(), Err(JournalError::WrongSnapshot));
    assert_eq!(files(dir.path()).len(), 1);
}
