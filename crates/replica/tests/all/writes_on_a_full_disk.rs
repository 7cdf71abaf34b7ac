//! A disk that is full from any of the writes of a snapshot, a truncation or a join on, and later has space
//! again: the replica continues from what it has.

use std::{
    sync::{
        Arc,
        mpsc::{
            self,
            Receiver,
            Sender, //
        },
    },
    time::Duration,
};

use tempfile::TempDir;
use yuccaseam_base::{
    Machine as _,
    Millis,
    cases, //
};
use yuccaseam_journal::{
    DataFolder,
    Position, //
};
use yuccaseam_quorum::{
    Chunk,
    Config,
    Core,
    DiskId,
    Entry,
    Event,
    HardState,
    Index,
    Membership,
    Payload,
    Persist,
    Snapshot,
    SnapshotId,
    SyncSeq,
    Term,
    Timing, //
};
use yuccaseam_replica::{
    Disk,
    DiskReply,
    DiskRequest,
    start, //
};

use crate::limited_space::{
    LimitedSpace,
    NO_LIMIT,
    Nothing, //
};

/// Longest time to a reply of the disk thread.
const PATIENCE: Duration = Duration::from_secs(10);
/// How long a reply that must not come is waited for.
const QUIET: Duration = Duration::from_millis(200);
/// Entries in the log before the disk is full.
const ENTRIES: u64 = 6;
/// Last entry that the replica's own snapshot covers.
const COVERED: u64 = 4;
/// Last entry that the snapshot of the leader covers, beyond the end of the log.
const AHEAD: u64 = 20;
/// More writes than any of the operations needs.
const MAX_WRITES: u64 = 12;
const TERM: Term = Term(1);

/// The disk thread of a replica.
struct Replica {
    _folder: TempDir,
    _data: DataFolder,
    space: LimitedSpace,
    requests: Sender<DiskRequest>,
    replies: Receiver<DiskReply<Nothing>>,
    next_seq: u64,
}

impl Replica {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder is created");
        let space = LimitedSpace::new();
        let data = DataFolder::open_in(Arc::new(space.clone()), folder.path());
        let data = data.expect("the data folder opens");
        let disk = Disk::open(&data).expect("the disk opens");
        let (tx, replies) = mpsc::channel();
        let requests = start::<Nothing, _>(disk, move |reply| drop(tx.send(reply)));
        Self {
            _folder: folder,
            _data: data,
            space,
            requests: requests.expect("the thread starts"),
            replies,
            next_seq: 0,
        }
    }

    fn send(&self, request: DiskRequest) {
        self.requests.send(request).expect("the thread runs");
    }

    fn reply(&self) -> DiskReply<Nothing> {
        self.replies
            .recv_timeout(PATIENCE)
            .expect("the thread replies")
    }

    /// Appends entries up to an index, after those before it are truncated from another one on.
    fn append(&mut self, truncate: Option<u64>, from: u64, to: u64) {
        self.next_seq += 1;
        let entries = (from..=to).map(|index| Entry {
            index: Index(index),
            term: TERM,
            payload: Payload::Command(vec![1; 100].into()),
        });
        self.send(DiskRequest::Persist(Persist {
            seq: SyncSeq(self.next_seq),
            hard_state: Some(HardState {
                term: TERM,
                vote: None,
            }),
            truncate: truncate.map(Index),
            entries: entries.collect(),
        }));
    }

    fn write_snapshot(&self, index: u64) {
        self.send(DiskRequest::Snapshot {
            position: Position {
                index,
                term: TERM.0,
            },
            members: Membership::default(),
            state: Nothing.snapshot(),
        });
    }

    /// Waits until all requests are executed, or ignored because the disk is full.
    fn finish(&self) {
        let id = unknown_snapshot();
        let (to, offset) = (DiskId(1), 0);
        self.send(DiskRequest::ReadChunk { to, id, offset });
        loop {
            match self.reply() {
                DiskReply::Full | DiskReply::Event(Event::ChunkRead { .. }) => return,
                _ => {}
            }
        }
    }

    /// Frees the disk, and restarts the core from it as the driver does. Returns the last entry.
    fn recover(&mut self) -> u64 {
        self.space.set(NO_LIMIT);
        self.send(DiskRequest::Reload);
        loop {
            if let DiskReply::Restored(restored) = self.reply() {
                let cfg = Config {
                    id: DiskId(1),
                    timing: Timing::default(),
                    seed: 1,
                };
                let core = Core::new(cfg, restored.0, Millis(1));
                return core.last_index().0;
            }
        }
    }

    /// Asserts that the disk takes an entry, a snapshot and a truncation again.
    fn assert_takes_all(&mut self, last: u64) {
        self.append(None, last + 1, last + 2);
        self.write_snapshot(last + 1);
        self.append(Some(last + 2), last + 2, last + 3);
        let (mut synced, mut snapshot) = (false, false);
        while !(synced && snapshot) {
            match self.reply() {
                DiskReply::Event(Event::Synced(seq)) => synced |= seq.0 == self.next_seq,
                DiskReply::Event(Event::SnapshotCreated(_)) => snapshot = true,
                DiskReply::Event(_) => {}
                _ => panic!("the disk refuses a write"),
            }
        }
        assert_eq!(self.recover(), last + 3);
    }
}

/// A snapshot that no replica has.
fn unknown_snapshot() -> SnapshotId {
    SnapshotId {
        index: Index(AHEAD),
        term: TERM,
        size: 0,
        digest: [0; 32],
    }
}

/// A snapshot of a leader, and its bytes.
fn leader_snapshot() -> (Snapshot, Chunk) {
    let mut leader = Replica::start();
    leader.append(None, 1, AHEAD);
    leader.write_snapshot(AHEAD);
    let snapshot = loop {
        if let DiskReply::Event(Event::SnapshotCreated(snapshot)) = leader.reply() {
            break snapshot;
        }
    };
    leader.send(DiskRequest::ReadChunk {
        to: DiskId(1),
        id: snapshot.id,
        offset: 0,
    });
    loop {
        if let DiskReply::Event(Event::ChunkRead { chunk, .. }) = leader.reply() {
            return (snapshot, chunk.expect("the snapshot is the latest"));
        }
    }
}

/// What a replica writes when its disk is full.
#[derive(Clone, Copy)]
enum Operation {
    Snapshot,
    Truncation,
    Join,
}

impl Operation {
    fn run(self, replica: &mut Replica) {
        match self {
            Self::Snapshot => replica.write_snapshot(COVERED),
            Self::Truncation => replica.append(Some(COVERED), COVERED, COVERED + 1),
            Self::Join => {
                let (snapshot, chunk) = leader_snapshot();
                replica.send(DiskRequest::StoreChunk(chunk));
                replica.send(DiskRequest::Install(snapshot.id));
            }
        }
    }

    /// Last entries that the replica may have afterwards.
    fn last(self) -> &'static [u64] {
        match self {
            Self::Snapshot => &[ENTRIES],
            Self::Truncation => &[ENTRIES, COVERED - 1, COVERED + 1],
            Self::Join => &[ENTRIES, AHEAD],
        }
    }
}

/// Guards against a replica that stops for good, while its process runs, because the disk was full in the middle
/// of an operation.
fn full_disk_from_any_write_on(operation: Operation) {
    for writes in 0..MAX_WRITES {
        let mut replica = Replica::start();
        replica.append(None, 1, ENTRIES);
        assert!(matches!(
            replica.reply(),
            DiskReply::Event(Event::Synced(_))
        ));
        replica.space.set(writes);
        operation.run(&mut replica);
        replica.finish();
        let last = replica.recover();
        assert!(operation.last().contains(&last), "{writes} writes: {last}");
        operation.run(&mut replica);
        replica.finish();
        let last = replica.recover();
        replica.assert_takes_all(last);
    }
}

cases! { full_disk_from_any_write_on:
    snapshot_on_a_full_disk_leaves_a_replica_that_goes_on(Operation::Snapshot);
    truncation_on_a_full_disk_leaves_a_replica_that_goes_on(Operation::Truncation);
    join_on_a_full_disk_leaves_a_replica_that_goes_on(Operation::Join);
}

/// Guards against a new core that takes its own writes as synced, because the disk reports the sync of a write of
/// the core before it.
#[test]
fn syncs_of_writes_before_a_restart_are_not_reported_after_it() {
    let mut replica = Replica::start();
    let gate = Arc::clone(&replica.space.gate);
    let closed = gate.lock().expect("no thread panics with the gate");
    replica.space.set(2);
    replica.append(None, 1, 1);
    replica.append(None, 2, 2);
    replica.send(DiskRequest::Reload);
    drop(closed);
    assert!(matches!(replica.reply(), DiskReply::Full));
    assert!(matches!(replica.reply(), DiskReply::Restored(_)));
    let reply = replica.replies.recv_timeout(QUIET);
    assert!(reply.is_err(), "a sync was reported");
}
