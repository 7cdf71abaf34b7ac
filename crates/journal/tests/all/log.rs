//! The log on a disk that crashes or is damaged.

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

const SMALL: LogOptions = LogOptions { segment_bytes: 300 };

pub(crate) fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: format!("payload {index} of term {term}").into_bytes(),
    }
}

fn open(dir: &Path) -> Result<Log, JournalError> {
    Log::open(&DataFolder::open(dir)?, SMALL)
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

/// Three entries that are synced one by one, then one that is not. Returns the segment's length
/// before the last one.
fn three_synced_and_one(dir: &Path) -> u64 {
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
fn what_was_synced_is_there_after_a_restart() {
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
fn a_tail_torn_at_any_byte_is_cut_off() {
    let dir = tempdir().unwrap();
    let synced = three_synced_and_one(dir.path());
    let file = segments(dir.path()).pop().unwrap();
    let whole = fs::read(&file).unwrap();
    for len in synced as usize..whole.len() {
        fs::write(&file, &whole[..len]).unwrap();
        let mut log = open(dir.path()).unwrap();
        assert_eq!(log.last().index, 3, "cut to {len} bytes");
        log.append(&[entry(4, 2)]).unwrap();
        log.sync().unwrap();
        drop(log);
        assert_eq!(open(dir.path()).unwrap().term(4), Some(2));
    }
}

#[test]
fn a_tail_with_any_byte_changed_is_cut_off() {
    let dir = tempdir().unwrap();
    let synced = three_synced_and_one(dir.path());
    let file = segments(dir.path()).pop().unwrap();
    let whole = fs::read(&file).unwrap();
    for at in synced as usize..whole.len() {
        let mut torn = whole.clone();
        torn[at] ^= 0x40;
        fs::write(&file, torn).unwrap();
        assert_eq!(open(dir.path()).unwrap().last().index, 3, "byte {at}");
    }
}

#[test]
fn an_unsynced_batch_with_a_hole_is_cut_off_whole() {
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
fn damage_to_any_synced_byte_stops_the_open() {
    let dir = tempdir().unwrap();
    let synced = three_synced_and_one(dir.path()) as usize;
    let file = segments(dir.path()).pop().unwrap();
    let whole = fs::read(&file).unwrap();
    let third = synced - (whole.len() - synced);
    for at in 0..third {
        let mut damaged = whole.clone();
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
fn damage_in_an_older_segment_stops_the_open() {
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
fn a_missing_segment_stops_the_open() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    for index in 1..=40 {
        log.append(&[entry(index, 1)]).unwrap();
    }
    drop(log);
    let paths = segments(dir.path());
    for lost in &paths[..paths.len() - 1] {
        let content = fs::read(lost).unwrap();
        fs::remove_file(lost).unwrap();
        assert_matches!(open(dir.path()), Err(JournalError::Corrupt { .. }));
        fs::write(lost, content).unwrap();
    }
}

#[test]
fn a_segment_whose_creation_was_cut_short_is_removed() {
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
    // Under its final name it was synced, so that a short one is damaged.
    fs::write(unfinished.with_extension("seg"), vec![0; 20]).unwrap();
    assert_matches!(open(dir.path()), Err(JournalError::Corrupt { .. }));
}

#[test]
fn a_conflicting_suffix_is_replaced() {
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
fn a_dropped_prefix_frees_its_segments() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    for index in 1..=60 {
        log.append(&[entry(index, 1)]).unwrap();
    }
    let before = log.disk_bytes();
    let place = Position { index: 55, term: 1 };
    log.drop_prefix(place).unwrap();
    assert!(log.disk_bytes() < before / 4);
    drop(log);
    let log = open(dir.path()).unwrap();
    assert_eq!(log.start(), place);
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
fn a_snapshot_beyond_the_log_resets_it() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    log.append(&[entry(1, 1), entry(2, 1)]).unwrap();
    let place = Position { index: 90, term: 4 };
    log.drop_prefix(place).unwrap();
    assert_eq!(log.last(), place);
    log.append(&[entry(91, 4)]).unwrap();
    log.sync().unwrap();
    drop(log);
    let log = open(dir.path()).unwrap();
    assert_eq!(log.start(), place);
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
fn a_read_is_bounded_by_bytes() {
    let dir = tempdir().unwrap();
    let mut log = open(dir.path()).unwrap();
    log.append(&[entry(1, 1), entry(2, 1), entry(3, 1)])
        .unwrap();
    assert_eq!(log.entries(1..4, 1).unwrap(), [entry(1, 1)]);
    assert_eq!(log.entries(1..4, 60).unwrap().len(), 2);
}
