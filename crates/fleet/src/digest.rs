//! Digests of what a daemon knows, for finding what another one has missed.

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

/// How many buckets names are spread over.
pub(crate) const BUCKETS: usize = 128;

/// One number for each bucket, which is the same on daemons that know the same of its names.
///
/// The dead and the gone are left out, because daemons forget them at different times. Suspicion
/// is left out, because it ends soon in one way or the other.
pub(crate) type Digest = Vec<u32>;

/// The bucket of a name's hash.
pub(crate) fn bucket(hash: u64) -> u8 {
    (hash % BUCKETS as u64) as u8
}

/// The digest of the tables.
pub(crate) fn digest(members: &Members, targets: &Targets) -> Digest {
    let mut digest = vec![0; BUCKETS];
    for (_, member) in members.iter() {
        if member.record.is_reachable() {
            digest[usize::from(bucket(member.hash))] ^= of_instance(member.hash, &member.record);
        }
    }
    for (_, entry) in targets.iter() {
        if entry.record.state != TargetState::Gone {
            digest[usize::from(bucket(entry.hash))] ^= of_target(entry);
        }
    }
    digest
}

/// The buckets in which two digests differ.
pub(crate) fn differing(ours: &Digest, theirs: &Digest) -> Vec<u8> {
    let pairs = ours.iter().zip(theirs).enumerate();
    pairs
        .filter(|(_, (ours, theirs))| ours != theirs)
        .map(|(bucket, _)| bucket as u8)
        .collect()
}

fn of_instance(hash: u64, record: &InstanceRecord) -> u32 {
    let leaving = u64::from(record.status == Status::Leaving);
    of_numbers(hash, [record.incarnation, leaving, 0, 0])
}

fn of_target(entry: &Entry) -> u32 {
    let record = &entry.record;
    let holder = xxh3_64(record.holder.as_str().as_bytes());
    let leaving = u64::from(record.leaving);
    of_numbers(
        entry.hash,
        [entry.fingerprint, leaving, record.version, holder],
    )
}

fn of_numbers(seed: u64, numbers: [u64; 4]) -> u32 {
    let mut bytes = [0; 32];
    for (chunk, number) in bytes.chunks_exact_mut(8).zip(numbers) {
        chunk.copy_from_slice(&number.to_le_bytes());
    }
    xxh3_64_with_seed(&bytes, seed) as u32
}
