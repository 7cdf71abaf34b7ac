//! Store of immutable blobs, addressed by the SHA-256 of their content.

use std::{
    collections::BTreeMap,
    fmt,
    path::PathBuf,
    sync::Arc, //
};

use sha2::{
    Digest,
    Sha256, //
};
use yuccaseam_base::key;

use crate::{
    blob_index::{
        BlobIndex,
        Location, //
    },
    error::JournalError,
    folder::DataFolder,
    frame::HEADER_BYTES,
    segment::{
        self,
        Segment, //
    },
    storage::Storage, //
};

const FOLDER: &str = "blobs";

/// Length of a blob ID, which precedes the data in a record.
pub(crate) const ID_BYTES: usize = 32;

/// Size at which a segment is closed and a new one is started.
const DEFAULT_SEGMENT_BYTES: u64 = 128 << 20;

/// ID of a blob: the SHA-256 of its content.
#[key]
pub struct BlobId(pub [u8; 32]);

impl BlobId {
    /// Computes the ID of a blob with this content.
    pub fn of(data: &[u8]) -> Self {
        Self(Sha256::digest(data).into())
    }

    pub(crate) fn prefix(&self) -> u64 {
        crate::frame::u64_at(&self.0, 0)
    }
}

impl fmt::Display for BlobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// Immutable blobs in append-only segments.
///
/// As with [`Log`](crate::Log), blobs are durable after the next [`BlobStore::sync`], a write that
/// fails with [`JournalError::Full`] is rolled back, and any other failure makes the store refuse
/// further writes.
#[derive(Debug)]
pub struct BlobStore {
    pub(crate) storage: Arc<dyn Storage>,
    pub(crate) folder: PathBuf,
    /// Segments by number. Writes go to the last one.
    pub(crate) segments: BTreeMap<u32, Segment>,
    pub(crate) index: BlobIndex,
    segment_bytes: u64,
    failed: bool,
    buf: Vec<u8>,
}

impl BlobStore {
    /// Opens the blob store of a data folder, or creates an empty one.
    ///
    /// # Errors
    ///
    /// [`JournalError::Corrupt`] if synced record headers have changed. The content of a blob is
    /// verified when it is read.
    pub fn open(folder: &DataFolder) -> Result<Self, JournalError> {
        Self::open_with(folder, DEFAULT_SEGMENT_BYTES)
    }

    /// Opens a store that starts a new segment once the last one has reached `segment_bytes`.
    ///
    /// # Errors
    ///
    /// See [`BlobStore::open`].
    pub fn open_with(folder: &DataFolder, segment_bytes: u64) -> Result<Self, JournalError> {
        let mut store = Self {
            storage: folder.storage(),
            folder: folder.subfolder(FOLDER)?,
            segments: BTreeMap::new(),
            index: BlobIndex::default(),
            segment_bytes,
            failed: false,
            buf: Vec::new(),
        };
        store.replay()?;
        if store.segments.is_empty() {
            store.start_segment(1)?;
        }
        Ok(store)
    }

    /// Number of blobs.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether the store has no blobs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Total size of the store's files in bytes.
    pub fn disk_bytes(&self) -> u64 {
        self.segments.values().map(Segment::end).sum()
    }

    /// Adds a blob unless it is present. It is durable after the next [`BlobStore::sync`].
    ///
    /// # Errors
    ///
    /// [`JournalError::Full`] if the disk is full; see [`BlobStore`].
    pub fn put(&mut self, data: &[u8]) -> Result<BlobId, JournalError> {
        let id = BlobId::of(data);
        if self.find(&id)?.is_none() {
            self.write(id, None, data)?;
        }
        Ok(id)
    }

    /// Makes all blobs added before this call durable.
    ///
    /// # Errors
    ///
    /// [`JournalError::Sync`] if the disk fails; see [`BlobStore`].
    pub fn sync(&mut self) -> Result<(), JournalError> {
        self.check_usable()?;
        if self.active().is_synced() {
            return Ok(());
        }
        let result = self.active_mut().sync();
        self.record_failure(result)
    }

    /// Whether the store has a blob.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn contains(&self, id: &BlobId) -> Result<bool, JournalError> {
        Ok(self.find(id)?.is_some())
    }

    /// Reads a blob and verifies its content.
    ///
    /// # Errors
    ///
    /// [`JournalError::Corrupt`] if its content has changed. After [`BlobStore::remove`], a copy
    /// from another replica can be added.
    pub fn get(&self, id: &BlobId) -> Result<Option<Vec<u8>>, JournalError> {
        let Some(at) = self.find(id)? else {
            return Ok(None);
        };
        let segment = &self.segments[&at.segment];
        let offset = u64::from(at.offset);
        let len = segment.body_len(offset)?;
        let mut body = segment.read_frame_of(offset, len)?;
        body.drain(..ID_BYTES);
        if BlobId::of(&body) != *id {
            return Err(segment.corrupt(offset, "content does not match the blob ID"));
        }
        Ok(Some(body))
    }

    /// Removes a blob from the index, so that it can be added again. Its bytes stay on disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn remove(&mut self, id: &BlobId) -> Result<(), JournalError> {
        if let Some(at) = self.find(id)? {
            self.index.remove(id, at);
        }
        Ok(())
    }

    /// IDs of all blobs, in no particular order.
    ///
    /// # Errors
    ///
    /// Returns an error if the file system does.
    pub fn ids(&self) -> Result<Vec<BlobId>, JournalError> {
        self.index.locations().map(|at| self.id_at(at)).collect()
    }

    /// Finds the location of a blob.
    pub(crate) fn find(&self, id: &BlobId) -> Result<Option<Location>, JournalError> {
        for at in self.index.candidates(id) {
            if self.id_at(at)? == *id {
                return Ok(Some(at));
            }
        }
        Ok(None)
    }

    fn id_at(&self, at: Location) -> Result<BlobId, JournalError> {
        let mut id = [0; ID_BYTES];
        let offset = u64::from(at.offset) + HEADER_BYTES as u64;
        self.segments[&at.segment].read(&mut id, offset)?;
        Ok(BlobId(id))
    }

    /// Appends a blob, and updates its index entry if it was at `old`.
    pub(crate) fn write(
        &mut self,
        id: BlobId,
        old: Option<Location>,
        data: &[u8],
    ) -> Result<(), JournalError> {
        self.check_usable()?;
        if self.active().end() >= self.segment_bytes {
            self.roll()?;
        }
        let mut buf = std::mem::take(&mut self.buf);
        buf.clear();
        let offset = self.active().encode(&mut buf, |buf| {
            buf.extend(id.0);
            buf.extend(data);
        });
        let written = offset.and_then(|offset| {
            let offset = u32::try_from(offset);
            let offset = offset.map_err(|_| JournalError::TooLarge { len: data.len() })?;
            let result = self.active_mut().write(&buf);
            self.record_failure(result)?;
            Ok(offset)
        });
        self.buf = buf;
        let at = Location {
            segment: self.active_number(),
            offset: written?,
        };
        self.index.insert(id, old, at);
        Ok(())
    }

    /// Syncs the active segment and starts a new one.
    pub(crate) fn roll(&mut self) -> Result<(), JournalError> {
        self.sync()?;
        self.start_segment(self.active_number() + 1)
    }

    /// Number of the active segment, to which writes go.
    pub(crate) fn active_number(&self) -> u32 {
        let (number, _) = self
            .segments
            .last_key_value()
            .expect("an open store has a segment");
        *number
    }

    /// Marks the store as failed on any error but [`JournalError::Full`], after which the write was
    /// rolled back completely.
    pub(crate) fn record_failure<T>(
        &mut self,
        result: Result<T, JournalError>,
    ) -> Result<T, JournalError> {
        if let Err(e) = &result {
            self.failed |= !matches!(e, JournalError::Full { .. });
        }
        result
    }

    fn active(&self) -> &Segment {
        let (_, segment) = self
            .segments
            .last_key_value()
            .expect("an open store has a segment");
        segment
    }

    fn active_mut(&mut self) -> &mut Segment {
        let last = self
            .segments
            .last_entry()
            .expect("an open store has a segment");
        last.into_mut()
    }

    fn check_usable(&self) -> Result<(), JournalError> {
        if self.failed {
            return Err(JournalError::Failed);
        }
        Ok(())
    }

    fn start_segment(&mut self, number: u32) -> Result<(), JournalError> {
        let created = Segment::create(&*self.storage, &self.folder, number.into(), |_| Ok(()));
        let segment = self.record_failure(created)?;
        self.segments.insert(number, segment);
        Ok(())
    }

    fn replay(&mut self) -> Result<(), JournalError> {
        segment::recover_folder(&*self.storage, &self.folder)?;
        let numbers = segment::list(&*self.storage, &self.folder)?;
        let newest = numbers.last().copied();
        for number in numbers {
            let segment = Segment::open(&*self.storage, &self.folder, number)?;
            self.replay_segment(segment, Some(number) == newest)?;
        }
        Ok(())
    }

    fn replay_segment(&mut self, mut segment: Segment, newest: bool) -> Result<(), JournalError> {
        let number = segment.number() as u32;
        let mut found = Vec::new();
        let visit = |offset: u64, body: &[u8]| {
            let id = body.get(..ID_BYTES).and_then(|id| id.try_into().ok());
            let id = id.ok_or_else(|| segment.corrupt(offset, "record without a blob ID"))?;
            found.push((BlobId(id), offset as u32));
            Ok(())
        };
        let bad = Self::scan(&segment, newest, visit)?;
        match bad {
            _ if newest => segment.recover_tail(bad)?,
            Some(offset) => return Err(segment.corrupt(offset, "invalid synced record header")),
            None => {}
        }
        self.segments.insert(number, segment);
        for (id, offset) in found {
            let old = self.find(&id)?;
            let at = Location {
                segment: number,
                offset,
            };
            self.index.insert(id, old, at);
        }
        Ok(())
    }

    /// Scans the headers and IDs of a segment. In the newest segment the content is verified too,
    /// as it may end with unsynced bytes.
    fn scan<F>(segment: &Segment, newest: bool, mut visit: F) -> Result<Option<u64>, JournalError>
    where
        F: FnMut(u64, &[u8]) -> Result<(), JournalError>,
    {
        if newest {
            return segment.scan(|found| visit(found.offset, found.body));
        }
        segment.scan_prefixes(ID_BYTES, |found| visit(found.offset, found.body))
    }
}
