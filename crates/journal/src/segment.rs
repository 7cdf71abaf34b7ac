//! One append-only file of frames.

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

/// Bytes of a segment's header: magic, number, salt and their CRC-32.
const SEGMENT_HEADER_BYTES: usize = 28;

/// A segment whose creation a crash interrupted is not longer than this: its header and what the
/// store puts first are synced before anything else is written to it.
const MAX_TORN_CREATION_BYTES: u64 = 256;

const MAGIC: [u8; 8] = *b"yseamsg1";
const SUFFIX: &str = ".seg";

/// How much is read at once where all bytes are needed.
const READ_BYTES: usize = 256 << 10;

/// How much is read at once where bodies are skipped.
const SKIP_READ_BYTES: usize = 4 << 10;

/// One append-only file of frames.
#[derive(Debug)]
pub(crate) struct Segment {
    number: u64,
    path: PathBuf,
    file: Arc<dyn StorageFile>,
    salt: u64,
    end: u64,
    synced: u64,
}

/// A frame that a scan found.
pub(crate) struct Found<'a> {
    /// Where the frame starts.
    pub(crate) offset: u64,
    /// Length of the body in bytes.
    pub(crate) len: usize,
    /// The body, or as much of it as the scan reads.
    pub(crate) body: &'a [u8],
}

impl Segment {
    /// Creates an empty segment. It is durable once [`Segment::sync`] and a sync of the folder
    /// have followed.
    pub(crate) fn create(
        storage: &dyn Storage,
        folder: &Path,
        number: u64,
    ) -> Result<Self, JournalError> {
        let path = folder.join(file_name(number));
        let io = |e| JournalError::io(&path, e);
        let salt = rand::random();
        let file = storage.create(&path).map_err(io)?;
        file.write_at(&encode_header(number, salt), 0).map_err(io)?;
        Ok(Self {
            number,
            path,
            file,
            salt,
            end: SEGMENT_HEADER_BYTES as u64,
            synced: 0,
        })
    }

    /// Opens an existing segment; `None` if its header is not whole.
    pub(crate) fn open(
        storage: &dyn Storage,
        folder: &Path,
        number: u64,
    ) -> Result<Option<Self>, JournalError> {
        let path = folder.join(file_name(number));
        let io = |e| JournalError::io(&path, e);
        let file = storage.open(&path).map_err(io)?;
        let end = file.size().map_err(io)?;
        let mut header = [0; SEGMENT_HEADER_BYTES];
        if end < header.len() as u64 {
            return Ok(None);
        }
        file.read_at(&mut header, 0).map_err(io)?;
        let Some(salt) = decode_header(&header, number) else {
            return Ok(None);
        };
        Ok(Some(Self {
            number,
            path,
            file,
            salt,
            end,
            synced: end,
        }))
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn end(&self) -> u64 {
        self.end
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.end <= SEGMENT_HEADER_BYTES as u64
    }

    pub(crate) fn is_synced(&self) -> bool {
        self.synced == self.end
    }

    /// Appends one frame to a buffer for [`Segment::write`], and returns where it will start.
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

    /// Writes encoded frames at the end. They are durable after [`Segment::sync`].
    ///
    /// # Errors
    ///
    /// After [`JournalError::Full`] the segment is as before; any other error leaves its end
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

    /// Makes everything written durable.
    pub(crate) fn sync(&mut self) -> Result<(), JournalError> {
        self.file
            .sync()
            .map_err(|e| JournalError::sync(&self.path, e))?;
        self.synced = self.end;
        Ok(())
    }

    /// Reads a part of the file.
    pub(crate) fn read(&self, buf: &mut [u8], offset: u64) -> Result<(), JournalError> {
        self.file
            .read_at(buf, offset)
            .map_err(|e| JournalError::io(&self.path, e))
    }

    /// Reads and checks the frame at an offset, whose body has `len` bytes.
    pub(crate) fn read_frame_of(&self, offset: u64, len: usize) -> Result<Vec<u8>, JournalError> {
        let mut frame = vec![0; HEADER_BYTES + len];
        self.read(&mut frame, offset)?;
        let header = Header::decode(&frame, self.salt, offset);
        frame.drain(..HEADER_BYTES);
        if !header.is_some_and(|header| header.matches(&frame, self.salt, offset)) {
            return Err(self.corrupt(offset, "bad checksum of record"));
        }
        Ok(frame)
    }

    /// The length of the body of the frame at an offset.
    pub(crate) fn body_len(&self, offset: u64) -> Result<usize, JournalError> {
        let mut header = [0; HEADER_BYTES];
        self.read(&mut header, offset)?;
        match Header::decode(&header, self.salt, offset) {
            Some(header) if offset + (HEADER_BYTES + header.len) as u64 <= self.end => {
                Ok(header.len)
            }
            _ => Err(self.corrupt(offset, "bad record header")),
        }
    }

    /// Calls `visit` with every frame. Returns the offset of the first bad one, if any.
    pub(crate) fn scan<F>(&self, mut visit: F) -> Result<Option<u64>, JournalError>
    where
        F: FnMut(Found<'_>) -> Result<(), JournalError>,
    {
        let mut window = Window::new(&*self.file, self.end, READ_BYTES);
        let mut offset = SEGMENT_HEADER_BYTES as u64;
        while offset < self.end {
            let Some(header) = self.header_in(&mut window, offset)? else {
                return Ok(Some(offset));
            };
            let whole = HEADER_BYTES + header.len;
            let frame = window
                .bytes(offset, whole)
                .map_err(|e| JournalError::io(&self.path, e))?;
            let Some(frame) = frame else {
                return Ok(Some(offset));
            };
            let body = &frame[HEADER_BYTES..];
            if !header.matches(body, self.salt, offset) {
                return Ok(Some(offset));
            }
            let len = header.len;
            visit(Found { offset, len, body })?;
            offset += whole as u64;
        }
        Ok(None)
    }

    /// Calls `visit` with the first `prefix` bytes of every frame's body and checks only headers.
    /// Returns the offset of the first bad one, if any.
    pub(crate) fn scan_prefixes<F>(
        &self,
        prefix: usize,
        mut visit: F,
    ) -> Result<Option<u64>, JournalError>
    where
        F: FnMut(Found<'_>) -> Result<(), JournalError>,
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
            visit(Found { offset, len, body })?;
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

    /// Cuts off a tail that no sync covered.
    ///
    /// # Errors
    ///
    /// [`JournalError::Corrupt`] if a frame after `offset` shows that a sync did cover it.
    pub(crate) fn cut_torn_tail(&mut self, offset: u64) -> Result<(), JournalError> {
        let mut rest = vec![0; (self.end - offset) as usize];
        self.read(&mut rest, offset)?;
        if frame::proves_synced(&rest, self.salt, offset, offset) {
            return Err(self.corrupt(offset, "bad checksum of a synced record"));
        }
        let io = |e| JournalError::io(&self.path, e);
        self.file.truncate(offset).map_err(io)?;
        self.file.sync().map_err(io)?;
        self.end = offset;
        self.synced = offset;
        Ok(())
    }

    pub(crate) fn corrupt(&self, offset: u64, what: &'static str) -> JournalError {
        JournalError::corrupt(&self.path, offset, what)
    }

    /// Removes a segment whose creation a crash interrupted.
    pub(crate) fn remove_torn(
        self,
        storage: &dyn Storage,
        folder: &Path,
    ) -> Result<(), JournalError> {
        remove_torn(storage, folder, &self.path)
    }

    /// Removes the file. The folder is left to be synced.
    pub(crate) fn remove(self, storage: &dyn Storage) -> Result<(), JournalError> {
        storage
            .remove(&self.path)
            .map_err(|e| JournalError::io(&self.path, e))
    }
}

/// Creates a segment that starts with what `fill` writes, durably, or leaves none.
pub(crate) fn create_durably<F>(
    storage: &dyn Storage,
    folder: &Path,
    number: u64,
    fill: F,
) -> Result<Segment, JournalError>
where
    F: FnOnce(&mut Segment) -> Result<(), JournalError>,
{
    let create = || {
        let mut segment = Segment::create(storage, folder, number)?;
        fill(&mut segment)?;
        segment.sync()?;
        storage
            .sync_folder(folder)
            .map_err(|e| JournalError::sync(folder, e))?;
        Ok(segment)
    };
    let created = create();
    if created.is_err() {
        // The file may not exist. If it stays, the next open finds it torn and removes it.
        let _ = storage.remove(&path(folder, number));
    }
    created
}

/// Opens a segment. One whose creation a crash interrupted is removed if it is the newest one:
/// the result is then `None`.
///
/// # Errors
///
/// [`JournalError::Corrupt`] if the header is bad for any other reason.
pub(crate) fn open_durable(
    storage: &dyn Storage,
    folder: &Path,
    number: u64,
    newest: bool,
) -> Result<Option<Segment>, JournalError> {
    if let Some(segment) = Segment::open(storage, folder, number)? {
        return Ok(Some(segment));
    }
    let path = path(folder, number);
    let io = |e| JournalError::io(&path, e);
    let size = storage.open(&path).map_err(io)?.size().map_err(io)?;
    if !newest || size > MAX_TORN_CREATION_BYTES {
        return Err(JournalError::corrupt(&path, 0, "bad segment header"));
    }
    remove_torn(storage, folder, &path)?;
    Ok(None)
}

fn remove_torn(storage: &dyn Storage, folder: &Path, path: &Path) -> Result<(), JournalError> {
    storage
        .remove(path)
        .map_err(|e| JournalError::io(path, e))?;
    storage
        .sync_folder(folder)
        .map_err(|e| JournalError::io(folder, e))
}

/// The numbers of a folder's segments in ascending order.
pub(crate) fn list(storage: &dyn Storage, folder: &Path) -> Result<Vec<u64>, JournalError> {
    let names = storage
        .list(folder)
        .map_err(|e| JournalError::io(folder, e))?;
    let mut numbers: Vec<_> = names.iter().filter_map(|name| number_of(name)).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// The path of a segment.
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

/// The salt of a valid header.
fn decode_header(header: &[u8; SEGMENT_HEADER_BYTES], number: u64) -> Option<u64> {
    let valid = header[..8] == MAGIC
        && frame::u64_at(header, 8) == number
        && frame::u32_at(header, 24) == crc32fast::hash(&header[..24]);
    valid.then(|| frame::u64_at(header, 16))
}
