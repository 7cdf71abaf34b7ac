//! Digests of the tables, for finding records that another daemon has missed.

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::{
    instance::{
        InstanceRecord,
        Status, //
    },
    members::Members,
    target::TargetState,
    targets::{
        Entry,
        Targets, //
    }, //
};

/// Number of buckets over which names are distributed.
pub(crate) const BUCKET_COUNT: usize = 128;

/// One hash per bucket, equal on daemons with equal records of the bucket's names.
///
/// Dead instances and gone targets are excluded because daemons remove them at different times.
/// Suspicion is excluded because it is short-lived.
pub(crate) type Digest = Vec<u32>;

/// Bucket for the hash of a name.
pub(crate) fn bucket(hash: u64) -> u8 {
    (hash % BUCKET_COUNT as u64) as u8
}

/// Computes the digest of the tables.
pub(crate) fn digest(members: &Members, targets: &Targets) -> Digest {
    let mut digest = vec![0; BUCKET_COUNT];
    for (_, member) in members.iter() {
        if member.record.is_reachable() {
            digest[usize::from(bucket(member.hash))] ^= instance_hash(member.hash, &member.record);
        }
    }
    for (_, entry) in targets.iter() {
        if entry.record.state != TargetState::Gone {
            digest[usize::from(bucket(entry.hash))] ^= target_hash(entry);
        }
    }
    digest
}

/// Buckets in which two digests differ.
pub(crate) fn differing_buckets(ours: &Digest, theirs: &Digest) -> Vec<u8> {
    let pairs = ours.iter().zip(theirs).enumerate();
    pairs
        .filter(|(_, (ours, theirs))| ours != theirs)
        .map(|(bucket, _)| bucket as u8)
        .collect()
}

fn instance_hash(hash: u64, record: &InstanceRecord) -> u32 {
    let leaving = u64::from(record.status == Status::Leaving);
    hash_numbers(hash, [record.incarnation, leaving, 0, 0])
}

fn target_hash(entry: &Entry) -> u32 {
    let record = &entry.record;
    let holder = xxh3_64(record.holder.as_str().as_bytes());
    let leaving = u64::from(record.leaving);
    hash_numbers(
        entry.hash,
        [entry.fingerprint, leaving, record.version, holder],
    )
}

fn hash_numbers(seed: u64, numbers: [u64; 4]) -> u32 {
    let mut bytes = [0; 32];
    for (chunk, number) in bytes.chunks_exact_mut(8).zip(numbers) {
        chunk.copy_from_slice(&number.to_le_bytes());
    }
    xxh3_64_with_seed(&bytes, seed) as u32
}
