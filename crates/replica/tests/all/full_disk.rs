//! A disk that takes no new file for a while.

use std::{
    sync::{
        Arc,
        mpsc, //
    },
    time::Duration,
};

use yuccaseam_journal::{
    DataFolder,
    Position, //
};
use yuccaseam_quorum::{
    Event,
    Membership, //
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

/// Guards against a snapshot that a full disk did not take and that nothing reported: the replica waited for
/// it until it was started again, wrote no other one, and its log grew.
#[test]
fn snapshot_that_a_full_disk_does_not_take_is_reported() {
    let folder = tempfile::tempdir().expect("a folder is created");
    let storage = LimitedSpace::new();
    let data = DataFolder::open_in(Arc::new(storage.clone()), folder.path());
    let data = data.expect("the data folder opens");
    let disk = Disk::open(&data).expect("the disk opens");
    let (tx, rx) = mpsc::channel();
    let requests = start::<Nothing, _>(disk, move |reply| drop(tx.send(reply)));
    let requests = requests.expect("the thread starts");
    let write = || {
        let request = DiskRequest::Snapshot {
            position: Position::default(),
            members: Membership::default(),
            state: vec![7; 10_000],
        };
        requests.send(request).expect("the thread runs");
        rx.recv_timeout(PATIENCE).expect("the thread replies")
    };
    storage.set(0);
    assert!(matches!(write(), DiskReply::SnapshotNotWritten));
    storage.set(NO_LIMIT);
    let reply = write();
    assert!(matches!(reply, DiskReply::Event(Event::SnapshotCreated(_))));
}
