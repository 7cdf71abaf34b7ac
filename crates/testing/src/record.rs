//! What a fake ran, in its own words.

use std::{
    fs::File,
    io::{
        BufRead,
        BufReader,
        Write, //
    },
    path::Path,
    sync::Mutex,
};

use yuccaseam_base::{
    Millis,
    record, //
};

/// What happened to a call.
#[record]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The call reached the fake.
    Arrive,
    /// The call began to run.
    Start,
    /// The call ran to its end.
    Finish,
    /// The call was cancelled, by its caller or by request.
    Cancel,
}

/// One line of a record.
#[record]
pub struct Entry {
    /// Wall-clock time.
    pub at: Millis,
    /// The name of the fake.
    pub target: String,
    /// What happened.
    pub phase: Phase,
    /// The id of the call at this fake.
    pub id: String,
    /// The start of the prompt, or the order's name.
    pub subject: String,
    /// The token at which the call resumed, zero for a call from its beginning.
    pub from: u32,
    /// The number of the next token: how far the call came.
    pub next: u32,
    /// How long ago the fake had announced that it is leaving.
    pub leaving_for: Option<Millis>,
}

/// The record of one fake: in memory, and in a file where one is named.
#[derive(Debug, Default)]
pub struct Record {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: Vec<Entry>,
    file: Option<File>,
}

impl Record {
    /// A record that is also appended to a file of JSON lines.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn open(path: Option<&Path>) -> anyhow::Result<Self> {
        let file = path
            .map(|path| File::options().create(true).append(true).open(path))
            .transpose()?;
        let entries = Vec::new();
        let inner = Mutex::new(Inner { entries, file });
        Ok(Self { inner })
    }

    /// Adds one entry. It is in the file before the call goes on.
    ///
    /// # Panics
    ///
    /// Panics if the file can't be written: a fake without its record proves nothing.
    pub fn push(&self, entry: Entry) {
        let mut inner = self.inner.lock().expect("no panic while recording");
        if let Some(file) = &mut inner.file {
            let mut line = serde_json::to_vec(&entry).expect("an entry is valid JSON");
            line.push(b'\n');
            file.write_all(&line).expect("the record can be written");
        }
        inner.entries.push(entry);
    }

    /// Every entry so far.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        let inner = self.inner.lock().expect("no panic while recording");
        inner.entries.clone()
    }

    /// Reads the file of a record. A last line that was cut by a kill is left out.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read.
    pub fn read(path: &Path) -> anyhow::Result<Vec<Entry>> {
        let mut entries = Vec::new();
        for line in BufReader::new(File::open(path)?).lines() {
            if let Ok(entry) = serde_json::from_str(&line?) {
                entries.push(entry);
            }
        }
        Ok(entries)
    }
}
