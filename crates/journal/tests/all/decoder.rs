//! Segments with arbitrary content: opening never panics and yields only written data.

use std::{
    fs,
    path::Path, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use tempfile::tempdir;
use yuccaseam_base::cases;
use yuccaseam_journal::{
    BlobStore,
    DataFolder,
    Entry,
    Log,
    LogOptions, //
};

const ROUNDS: usize = 400;

/// Mutation of a file's content.
type Mutation = fn(&mut Vec<u8>, &mut ChaCha8Rng);

#[expect(clippy::ptr_arg, reason = "all mutations have one signature")]
fn flip(content: &mut Vec<u8>, rng: &mut ChaCha8Rng) {
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..content.len());
        content[at] ^= 1 << rng.random_range(0..8);
    }
}

fn splice(content: &mut Vec<u8>, rng: &mut ChaCha8Rng) {
    let from = rng.random_range(0..content.len());
    let len = rng.random_range(0..content.len() - from);
    let part = content[from..from + len].to_vec();
    let at = rng.random_range(0..content.len());
    content.truncate(at);
    content.extend(part);
}

#[expect(clippy::ptr_arg, reason = "all mutations have one signature")]
fn overwrite(content: &mut Vec<u8>, rng: &mut ChaCha8Rng) {
    let from = rng.random_range(0..content.len());
    rng.fill(&mut content[from..]);
}

fn replace(content: &mut Vec<u8>, rng: &mut ChaCha8Rng) {
    content.resize(rng.random_range(0..2_000), 0);
    rng.fill(&mut content[..]);
}

/// Writes entries, some of which have the content of a segment as payload. The decoder must not
/// read records from these.
fn write_entries(dir: &Path) -> Vec<Entry> {
    let folder = DataFolder::open(dir).unwrap();
    let mut log = Log::open(&folder, LogOptions::default()).unwrap();
    let file = dir.join("log/0000000000000001.seg");
    let mut entries = Vec::new();
    for index in 1..=12 {
        let payload = match index % 4 {
            0 => fs::read(&file).unwrap(),
            _ => vec![index as u8; index as usize * 5],
        };
        let entry = Entry {
            index,
            term: 1,
            payload,
        };
        log.append(std::slice::from_ref(&entry)).unwrap();
        log.sync().unwrap();
        entries.push(entry);
    }
    entries
}

fn only_written_entries_are_read(mutate: Mutation) {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let dir = tempdir().unwrap();
    let entries = write_entries(dir.path());
    let file = dir.path().join("log/0000000000000001.seg");
    let original = fs::read(&file).unwrap();
    for round in 0..ROUNDS {
        let mut content = original.clone();
        mutate(&mut content, &mut rng);
        fs::write(&file, content).unwrap();
        let folder = DataFolder::open(dir.path()).unwrap();
        if let Ok(log) = Log::open(&folder, LogOptions::default()) {
            let read = log.entries(1..log.last().index + 1, usize::MAX).unwrap();
            assert_eq!(read, entries[..read.len()], "round {round}");
        }
    }
}

cases! { only_written_entries_are_read:
    after_flipped_bits(flip);
    after_a_spliced_part(splice);
    after_an_overwritten_tail(overwrite);
    in_random_bytes(replace);
}

fn only_written_blobs_are_read(mutate: Mutation) {
    let mut rng = ChaCha8Rng::seed_from_u64(12);
    let dir = tempdir().unwrap();
    let mut store = BlobStore::open(&DataFolder::open(dir.path()).unwrap()).unwrap();
    for byte in 0..12 {
        store.put(&[byte; 40]).unwrap();
        store.sync().unwrap();
    }
    drop(store);
    let file = dir.path().join("blobs/0000000000000001.seg");
    let original = fs::read(&file).unwrap();
    for _ in 0..ROUNDS {
        let mut content = original.clone();
        mutate(&mut content, &mut rng);
        fs::write(&file, content).unwrap();
        let Ok(store) = BlobStore::open(&DataFolder::open(dir.path()).unwrap()) else {
            continue;
        };
        for id in store.ids().unwrap() {
            let data = store.get(&id).unwrap().unwrap();
            assert_eq!(data, vec![data[0]; 40]);
        }
    }
}

cases! { only_written_blobs_are_read:
    blobs_after_flipped_bits(flip);
    blobs_after_a_spliced_part(splice);
    blobs_in_random_bytes(replace);
}
