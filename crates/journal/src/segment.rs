//! Segments: append-only files of frames.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc, //
};

use crate::{
    error::JournalError,
    frame::{
        self,
        HEADER_BYTES,
        Header,
        MAX_BODY_BYTES,
        Window, //
    },
    storage::{
        Storage,
        StorageFile, //
    }, //
};

/// Length of a segment header: magic, number, salt and their CRC-32.
const SEGMENT_HEADER_BYTES: usize = 28;

const MAGIC: [u8; 8] = *b"yseamsg1";
const SUFFIX: &str = ".seg";
const UNFINISHED_SUFFIX: &str = ".new";

/// Minimum size of a read when complete frames are scanned.
const READ_BYTES: usize = 256 << 10;

/// Minimum size of a read when bodies are skipped.
const SKIP_READ_BYTES: usize = 4 << 10;

/// An append-only file of frames.
#[derive(Debug)]
pub(crate) struct Segment {
    number: u64,
    path: PathBuf,
    file: Arc<dyn StorageFile>,
    salt: u64,
    end: u64,
    synced: u64,
}

/// A frame found by a scan.
pub(crate) struct ScannedFrame<'a> {
    /// Offset of the frame in the segment, in bytes.
    pub(crate) offset: u64,
    /// Length of the body in bytes.
    pub(crate) len: usize,
    /// The body, or the prefix of it that the scan reads.
    pub(crate) body: &'a [u8],
}

impl Segment {
    /// Creates a segment with the initial content that `fill` writes. The segment is durable on
    /// success, and removed on error. The file is renamed to its final name once its content is
    /// synced, so that no incomplete segment has a final name.
    pub(crate) fn create<F>(
        storage: &dyn Storage,
        folder: &Path,
        number: u64,
        fill: F,
    ) -> Result<Self, JournalError>
    where
        F: FnOnce(&mut Self) -> Result<(), JournalError>,
    {
        let path = path(folder, number);
        let unfinished = path.with_extension(&UNFINISHED_SUFFIX[1..]);
        let create = || {
            let mut segment = Self::create_unfinished(storage, &unfinished, number)?;
            fill(&mut segment)?;
            segment.sync()?;
            storage
                .rename(&unfinished, &path)
                .map_err(|e| JournalError::io(&path, e))?;
            storage
                .sync_folder(folder)
                .map_err(|e| JournalError::sync(folder, e))?;
            segment.path = path;
            Ok(segment)
        };
        let created = create();
        if created.is_err() {
            // The file may not exist. If it remains, the next open removes it.
            let _ = storage.remove(&unfinished);
        }
        created
    }

    fn create_unfinished(
        storage: &dyn Storage,
        path: &Path,
        number: u64,
    ) -> Result<Self, JournalError> {
        let io = |e| JournalError::io(path, e);
        let salt = rand::random();
        let file = storage.create(path).map_err(io)?;
        file.write_at(&encode_header(number, salt), 0).map_err(io)?;
        Ok(Self {
            number,
            path: path.to_owned(),
            file,
            salt,
            end: SEGMENT_HEADER_BYTES as u64,
            synced: 0,
        })
    }

    /// Opens an existing segment.
    ///
    /// # Errors
    ///
    /// [`JournalError::Corrupt`] if its header is invalid.
    pub(crate) fn open(
        storage: &dyn Storage,
        folder: &Path,
        number: u64,
    ) -> Result<Self, JournalError> {
        let path = path(folder, number);
        let io = |e| JournalError::io(&path, e);
        let invalid = || JournalError::corrupt(&path, 0, "invalid segment header");
        let file = storage.open(&path).map_err(io)?;
        let end = file.size().map_err(io)?;
        let mut header = [0; SEGMENT_HEADER_BYTES];
        if end < header.len() as u64 {
            return Err(invalid());
        }
        file.read_at(&mut header, 0).map_err(io)?;
        let salt = decode_header(&header, number).ok_or_else(invalid)?;
        Ok(Self {
            number,
            path,
            file,
            salt,
            end,
            synced: end,
        })
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn end(&self) -> u64 {
        self.end
    }

    /// Whether this is the offset of the first frame.
    pub(crate) fn starts_at(&self, offset: u64) -> bool {
        offset == SEGMENT_HEADER_BYTES as u64
    }

    pub(crate) fn is_synced(&self) -> bool {
        self.synced == self.end
    }

    /// Appends a frame to a buffer for [`Segment::write`]. Returns its offset in the segment.
    pub(crate) fn encode<F>(&self, buf: &mut Vec<u8>, fill: F) -> Result<u64, JournalError>
    where
        F: FnOnce(&mut Vec<u8>),
    {
        let before = buf.len();
        let offset = self.end + before as u64;
        frame::encode(buf, self.salt, offset, self.synced, fill);
        let len = buf.len() - before - HEADER_BYTES;
        if len > MAX_BODY_BYTES {
            buf.truncate(before);
            return Err(JournalError::TooLarge { len });
        }
        Ok(offset)
    }

    /// Writes encoded frames at the end. They become durable with [`Segment::sync`].
    ///
    /// # Errors
    ///
    /// After [`JournalError::Full`] the segment is unchanged; after any other error its end is
    /// unknown.
    pub(crate) fn write(&mut self, buf: &[u8]) -> Result<(), JournalError> {
        let Err(e) = self.file.write_at(buf, self.end) else {
            self.end += buf.len() as u64;
            return Ok(());
        };
        if let Err(e) = self.file.truncate(self.end) {
            return Err(JournalError::sync(&self.path, e));
        }
        Err(JournalError::io(&self.path, e))
    }

    /// Makes all written frames durable.
    pub(crate) fn sync(&mut self) -> Result<(), JournalError> {
        self.file
            .sync()
            .map_err(|e| JournalError::sync(&self.path, e))?;
        self.synced = self.end;
        Ok(())
    }

    /// Fills `buf` from an offset.
    pub(crate) fn read(&self, buf: &mut [u8], offset: u64) -> Result<(), JournalError> {
        self.file
            .read_at(buf, offset)
            .map_err(|e| JournalError::io(&self.path, e))
    }

    /// Reads the frame at an offset, whose body has `len` bytes, and verifies its checksums.
    /// Returns the body.
    pub(crate) fn read_frame_of(&self, offset: u64, len: usize) -> Result<Vec<u8>, JournalError> {
        let mut frame = vec![0; HEADER_BYTES + len];
        self.read(&mut frame, offset)?;
        let header = Header::decode(&frame, self.salt, offset);
        frame.drain(..HEADER_BYTES);
        if !header.is_some_and(|header| header.matches(&frame, self.salt, offset)) {
            return Err(self.corrupt(offset, "record checksum mismatch"));
        }
        Ok(frame)
    }

    /// Reads the length of the body of the frame at an offset.
    pub(crate) fn body_len(&self, offset: u64) -> Result<usize, JournalError> {
        let mut header = [0; HEADER_BYTES];
        self.read(&mut header, offset)?;
        match Header::decode(&header, self.salt, offset) {
            Some(header) if offset + (HEADER_BYTES + header.len) as u64 <= self.end => {
                Ok(header.len)
            }
            _ => Err(self.corrupt(offset, "invalid record header")),
        }
    }

    /// Calls `visit` with every frame. Returns the offset of the first invalid one, if any.
    pub(crate) fn scan<F>(&self, mut visit: F) -> Result<Option<u64>, JournalError>
    where
        F: FnMut(ScannedFrame<'_>) -> Result<(), JournalError>,
    {
        let mut window = Window::new(&*self.file, self.end, READ_BYTES);
        let mut offset = SEGMENT_HEADER_BYTES as u64;
        while offset < self.end {
            let Some(header) = self.header_in(&mut window, offset)? else {
                return Ok(Some(offset));
            };
            let frame_len = HEADER_BYTES + header.len;
            let frame = window
                .bytes(offset, frame_len)
                .map_err(|e| JournalError::io(&self.path, e))?;
            let Some(frame) = frame else {
                return Ok(Some(offset));
            };
            let body = &frame[HEADER_BYTES..];
            if !header.matches(body, self.salt, offset) {
                return Ok(Some(offset));
            }
            let len = header.len;
            visit(ScannedFrame { offset, len, body })?;
            offset += frame_len as u64;
        }
        Ok(None)
    }

    /// Calls `visit` with the first `prefix` bytes of every frame's body, and verifies only
    /// headers. Returns the offset of the first invalid one, if any.
    pub(crate) fn scan_prefixes<F>(
        &self,
        prefix: usize,
        mut visit: F,
    ) -> Result<Option<u64>, JournalError>
    where
        F: FnMut(ScannedFrame<'_>) -> Result<(), JournalError>,
    {
        let mut window = Window::new(&*self.file, self.end, SKIP_READ_BYTES);
        let mut offset = SEGMENT_HEADER_BYTES as u64;
        while offset < self.end {
            let Some(header) = self.header_in(&mut window, offset)? else {
                return Ok(Some(offset));
            };
            let len = header.len;
            let next = offset + (HEADER_BYTES + len) as u64;
            let body = window
                .bytes(offset + HEADER_BYTES as u64, prefix.min(len))
                .map_err(|e| JournalError::io(&self.path, e))?;
            let Some(body) = body.filter(|_| next <= self.end) else {
                return Ok(Some(offset));
            };
            visit(ScannedFrame { offset, len, body })?;
            offset = next;
        }
        Ok(None)
    }

    fn header_in(
        &self,
        window: &mut Window<'_>,
        offset: u64,
    ) -> Result<Option<Header>, JournalError> {
        let bytes = window
            .bytes(offset, HEADER_BYTES)
            .map_err(|e| JournalError::io(&self.path, e))?;
        Ok(bytes.and_then(|bytes| Header::decode(bytes, self.salt, offset)))
    }

    /// Truncates an unsynced tail at the first invalid frame, and syncs the rest, as the process
    /// that wrote it may have terminated before its sync.
    ///
    /// # Errors
    ///
    /// [`JournalError::Corrupt`] if a later frame records the invalid one as synced.
    pub(crate) fn recover_tail(&mut self, invalid: Option<u64>) -> Result<(), JournalError> {
        if let Some(offset) = invalid {
            self.check_unsynced(offset)?;
            self.file
                .truncate(offset)
                .map_err(|e| JournalError::io(&self.path, e))?;
            self.end = offset;
        }
        self.sync()
    }

    fn check_unsynced(&self, invalid: u64) -> Result<(), JournalError> {
        let mut rest = vec![0; (self.end - invalid) as usize];
        self.read(&mut rest, invalid)?;
        if frame::proves_synced(&rest, self.salt, invalid, invalid) {
            return Err(self.corrupt(invalid, "checksum mismatch in a synced record"));
        }
        Ok(())
    }

    pub(crate) fn corrupt(&self, offset: u64, what: &'static str) -> JournalError {
        JournalError::corrupt(&self.path, offset, what)
    }

    /// Removes the file. The caller syncs the folder.
    pub(crate) fn remove(self, storage: &dyn Storage) -> Result<(), JournalError> {
        storage
            .remove(&self.path)
            .map_err(|e| JournalError::io(&self.path, e))
    }
}

/// Removes segments whose creation was interrupted by a crash, and makes the names of the others
/// durable.
pub(crate) fn recover_folder(storage: &dyn Storage, folder: &Path) -> Result<(), JournalError> {
    let io = |e| JournalError::io(folder, e);
    for name in storage.list(folder).map_err(io)? {
        if name.ends_with(UNFINISHED_SUFFIX) {
            storage.remove(&folder.join(name)).map_err(io)?;
        }
    }
    storage.sync_folder(folder).map_err(io)
}

/// Lists the numbers of a folder's segments in ascending order.
pub(crate) fn list(storage: &dyn Storage, folder: &Path) -> Result<Vec<u64>, JournalError> {
    let names = storage
        .list(folder)
        .map_err(|e| JournalError::io(folder, e))?;
    let mut numbers: Vec<_> = names.iter().filter_map(|name| number_of(name)).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Path of a segment.
pub(crate) fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(file_name(number))
}

fn file_name(number: u64) -> String {
    format!("{number:016x}{SUFFIX}")
}

fn number_of(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(SUFFIX)?;
    u64::from_str_radix(digits, 16).ok()
}

fn encode_header(number: u64, salt: u64) -> [u8; SEGMENT_HEADER_BYTES] {
    let mut header = [0; SEGMENT_HEADER_BYTES];
    header[..8].copy_from_slice(&MAGIC);
    header[8..16].copy_from_slice(&number.to_le_bytes());
    header[16..24].copy_from_slice(&salt.to_le_bytes());
    let crc = crc32fast::hash(&header[..24]);
    header[24..].copy_from_slice(&crc.to_le_bytes());
    header
}

/// Returns the salt if the header is valid.
fn decode_header(header: &[u8; SEGMENT_HEADER_BYTES], number: u64) -> Option<u64> {
    let valid = header[..8] == MAGIC
        && frame::u64_at(header, 8) == number
        && frame::u32_at(header, 24) == crc32fast::hash(&header[..24]);
    valid.then(|| frame::u64_at(header, 16))
}
