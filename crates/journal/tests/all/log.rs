//! Recovery of the log after crashes and damage.

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
    Entry,
    HardState,
    JournalError,
    Log,
    LogOptions,
    Position, //
};

const SMALL_SEGMENTS: LogOptions = LogOptions { segment_bytes: 300 };

pub(crate) fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: format!("payload {index} of term {term}").into_bytes(),
    }
}

fn open(dir: &Path) -> Result<Log, JournalError> {
    Log::open(&DataFolder::open(dir)?, SMALL_SEGMENTS)
}

fn all(log: &Log) -> Vec<Entry> {
    let range = log.start().index + 1..log.last().index + 1;
    log.entries(range, usize::MAX).unwrap()
}

fn segments(dir: &Path) -> Vec<PathBuf> {
    let names = fs::read_dir(dir.join("log")).unwrap();
    let mut paths: Vec<_> = names.map(|name| name.unwrap().path()).collect();
    paths.sort();
    paths
}

/// Appends three entries, each synced, and an unsynced one. Returns the synced length of the
/// segment.
fn append_three_synced_and_one_unsynced(dir: &Path) -> u64 {
    let mut log = open(dir).unwrap();
    for index in 1..=3 {
        log.append(&[entry(index, 1)]).unwrap();
        log.sync().unwrap();
    }
    let synced = log.disk_bytes();
    log.append(&[entry(4, 1)]).unwrap();
    assert_eq!(log.durable_index(), 3);
    synced
}

#[test]
fn synced_data_survives_a_restart() {
    let dir = tempdir().unwrap();
    let hard = HardState {
        term: 3,
        vote: Some(7),
        commit: 12,
    };
    let mut log = open(dir.path()).unwrap();
    let entries: Vec<_> = (1..=40).map(|index| entry(index, 2)).collect();
    for batch in entries.chunks(3) {
        log.append(batch).unwrap();
    }
    log.set_hard_state(hard).unwrap();
    log.sync().unwrap();
    drop(log);

    let log = open(dir.path()).unwrap();
    assert!(segments(dir.path()).len() > 3);
    assert_eq!(all(&log), entries);
    assert_eq!(log.hard_state(), hard);
    assert_eq!(log.durable_index(), 40);
    assert_eq!(log.last(), Position { index: 40, term: 2 });
}

#[test]
fn tail_torn_at_any_byte_is_truncated() {
    let dir = tempdir().unwrap();
    let synced = append_three_synced_and_one_unsynced(dir.path());
    let file = segments(dir.path()).pop().unwrap();
    let content = fs::read(&file).unwrap();
    for len in synced as usize..content.len() {
        fs::write(&file, &content[..len]).unwrap();
        let mut log = open(dir.path()).unwrap();
        assert_eq!(log.last().index, 3, "cut to {len} bytes");
        log.append(&[entry(4, 2)]).unwrap();
        log.sync().unwrap();
        drop(log);
        assert_eq!(open(dir.path()).unwrap().term(4), Some(2));
    }
}

#[test]
fn tail_with_any_byte_changed_is_truncated() {
    let dir = tempdir().unwrap();
    let synced = append_three_synced_and_one_unsynced(dir.path());
    let file = segments(dir.path()).pop().unwrap();
    let content = fs::read(&file).unwrap();
    for at in synced as usize..content.len() {
        let mut torn = content.clone();
        torn[at] ^= 0x40;
        fs::write(&file, torn).unwrap();
        assert_eq!(open(dir.path()).unwrap().last().index, 3, "byte {at}");
    }
}

#[test]
fn unsynced_batch_with_a_hole_is_truncated_completely() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    log.append(&[entry(1, 1)]).unwrap();
    log.sync().unwrap();
    let synced = log.disk_bytes() as usize;
    log.append(&[entry(2, 1), entry(3, 1)]).unwrap();
    drop(log);
    let file = segments(dir.path()).pop().unwrap();
    let mut content = fs::read(&file).unwrap();
    content[synced..synced + 8].fill(0);
    fs::write(&file, content).unwrap();
    assert_eq!(open(dir.path()).unwrap().last().index, 1);
}

#[test]
fn damage_to_any_synced_byte_fails_the_open() {
    let dir = tempdir().unwrap();
    let synced = append_three_synced_and_one_unsynced(dir.path()) as usize;
    let file = segments(dir.path()).pop().unwrap();
    let content = fs::read(&file).unwrap();
    let third_start = synced - (content.len() - synced);
    for at in 0..third_start {
        let mut damaged = content.clone();
        damaged[at] ^= 0x40;
        fs::write(&file, damaged).unwrap();
        let e = open(dir.path()).unwrap_err();
        assert_matches!(&e, JournalError::Corrupt { file: named, offset, .. } => {
            assert_eq!(*named, file);
            assert!(*offset as usize <= at);
        });
        assert!(e.to_string().contains("rejoins as a learner"));
    }
}

#[test]
fn damage_in_an_older_segment_fails_the_open() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    for index in 1..=20 {
        log.append(&[entry(index, 1)]).unwrap();
    }
    drop(log);
    let file = segments(dir.path()).remove(0);
    let mut content = fs::read(&file).unwrap();
    let last = content.len() - 1;
    content[last] ^= 1;
    fs::write(&file, content).unwrap();
    assert_matches!(open(dir.path()), Err(JournalError::Corrupt { .. }));
}

#[test]
fn missing_segment_fails_the_open() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    for index in 1..=40 {
        log.append(&[entry(index, 1)]).unwrap();
    }
    drop(log);
    let paths = segments(dir.path());
    for missing in &paths[..paths.len() - 1] {
        let content = fs::read(missing).unwrap();
        fs::remove_file(missing).unwrap();
        assert_matches!(open(dir.path()), Err(JournalError::Corrupt { .. }));
        fs::write(missing, content).unwrap();
    }
}

#[test]
fn incompletely_created_segment_is_removed() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    for index in 1..=20 {
        log.append(&[entry(index, 1)]).unwrap();
    }
    log.sync().unwrap();
    drop(log);
    let number = segments(dir.path()).len() + 1;
    let unfinished = dir.path().join(format!("log/{number:016x}.new"));
    for len in 0..20 {
        fs::write(&unfinished, vec![0; len]).unwrap();
        assert_eq!(open(dir.path()).unwrap().last().index, 20);
        assert!(!unfinished.exists());
    }
    // A segment with its final name was synced, so a short one is damaged.
    fs::write(unfinished.with_extension("seg"), vec![0; 20]).unwrap();
    assert_matches!(open(dir.path()), Err(JournalError::Corrupt { .. }));
}

#[test]
fn conflicting_suffix_is_replaced() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    for index in 1..=30 {
        log.append(&[entry(index, 1)]).unwrap();
    }
    log.sync().unwrap();
    log.truncate(12).unwrap();
    assert_eq!(log.durable_index(), 11);
    log.append(&[entry(12, 2)]).unwrap();
    log.sync().unwrap();
    drop(log);
    let log = open(dir.path()).unwrap();
    assert_eq!(log.last(), Position { index: 12, term: 2 });
    assert_eq!(log.term(11), Some(1));
}

#[test]
fn dropped_prefix_frees_its_segments() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    for index in 1..=60 {
        log.append(&[entry(index, 1)]).unwrap();
    }
    let before = log.disk_bytes();
    let position = Position { index: 55, term: 1 };
    log.drop_prefix(position).unwrap();
    assert!(log.disk_bytes() < before / 4);
    drop(log);
    let log = open(dir.path()).unwrap();
    assert_eq!(log.start(), position);
    assert_eq!(
        all(&log),
        (56..=60).map(|i| entry(i, 1)).collect::<Vec<_>>()
    );
    assert_matches!(
        log.entries(55..57, 100),
        Err(JournalError::OutOfRange { index: 55 })
    );
}

#[test]
fn snapshot_beyond_the_log_resets_it() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    log.append(&[entry(1, 1), entry(2, 1)]).unwrap();
    let position = Position { index: 90, term: 4 };
    log.drop_prefix(position).unwrap();
    assert_eq!(log.last(), position);
    log.append(&[entry(91, 4)]).unwrap();
    log.sync().unwrap();
    drop(log);
    let log = open(dir.path()).unwrap();
    assert_eq!(log.start(), position);
    assert_eq!(all(&log), [entry(91, 4)]);
}

#[test]
fn entries_out_of_order_are_refused() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    assert_matches!(
        log.append(&[entry(2, 1)]),
        Err(JournalError::NotContiguous {
            expected: 1,
            found: 2
        })
    );
    assert_eq!(log.last(), Position::default());
}

#[test]
fn read_is_bounded_by_bytes() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    log.append(&[entry(1, 1), entry(2, 1), entry(3, 1)])
        .unwrap();
    assert_eq!(log.entries(1..4, 1).unwrap(), [entry(1, 1)]);
    assert_eq!(log.entries(1..4, 60).unwrap().len(), 2);
}
