//! File system with injected faults, which loses unsynced data in a simulated crash.

use std::{
    collections::HashMap,
    fs,
    io,
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicU64,
            Ordering::Relaxed, //
        }, //
    }, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use yuccaseam_journal::{
    Disk,
    Storage,
    StorageFile,
    StorageLock, //
};

#[derive(Debug)]
enum Pending {
    Create(PathBuf),
    Rename { from: PathBuf, to: PathBuf },
    Remove { path: PathBuf, content: Vec<u8> },
}

#[derive(Debug, Default)]
struct State {
    /// Number of bytes that can still be written.
    available: Option<u64>,
    fail_sync: bool,
    skip_sync: bool,
    synced: HashMap<PathBuf, Arc<AtomicU64>>,
    pending: Vec<Pending>,
}

/// Storage with injected faults.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faulty(Arc<Mutex<State>>);

#[derive(Debug)]
struct FaultyFile {
    /// Synced length in bytes. Shared with [`State`], as a rename changes the path of the file.
    synced: Arc<AtomicU64>,
    file: Arc<dyn StorageFile>,
    state: Arc<Mutex<State>>,
}

impl Faulty {
    pub(crate) fn set_available(&self, available: Option<u64>) {
        self.0.lock().unwrap().available = available;
    }

    pub(crate) fn set_fail_sync(&self, fail: bool) {
        self.0.lock().unwrap().fail_sync = fail;
    }

    /// Makes syncs succeed without effect. The model must detect this fault.
    pub(crate) fn set_skip_sync(&self, skip: bool) {
        self.0.lock().unwrap().skip_sync = skip;
    }

    /// Discards a random part of the unsynced data, chosen by the seed. All files must be closed.
    pub(crate) fn crash(&self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut state = self.0.lock().unwrap();
        for (path, synced) in &state.synced {
            lose_unsynced(path, synced.load(Relaxed), &mut rng);
        }
        let pending = std::mem::take(&mut state.pending);
        if rng.random() {
            pending.iter().rev().for_each(undo);
        }
        state.synced.clear();
    }

    fn wrap(&self, synced: Arc<AtomicU64>, file: Arc<dyn StorageFile>) -> Arc<dyn StorageFile> {
        Arc::new(FaultyFile {
            synced,
            file,
            state: Arc::clone(&self.0),
        })
    }
}

/// Keeps the synced part and a random part of the rest, whose last bytes may be garbage.
fn lose_unsynced(path: &Path, synced: u64, rng: &mut ChaCha8Rng) {
    let Ok(mut content) = fs::read(path) else {
        return;
    };
    let synced = (synced as usize).min(content.len());
    let keep = rng.random_range(synced..=content.len());
    content.truncate(keep);
    let garbage = rng.random_range(synced..=keep);
    rng.fill(&mut content[garbage..]);
    fs::write(path, content).unwrap();
}

fn undo(pending: &Pending) {
    match pending {
        Pending::Create(path) => drop(fs::remove_file(path)),
        Pending::Rename { from, to } => drop(fs::rename(to, from)),
        Pending::Remove { path, content } => fs::write(path, content).unwrap(),
    }
}

impl Storage for Faulty {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        Disk.create_folder(folder)
    }

    fn create(&self, path: &Path) -> io::Result<Arc<dyn StorageFile>> {
        let file = Disk.create(path)?;
        let mut state = self.0.lock().unwrap();
        let synced = Arc::new(AtomicU64::new(0));
        state.synced.insert(path.to_owned(), Arc::clone(&synced));
        state.pending.push(Pending::Create(path.to_owned()));
        Ok(self.wrap(synced, file))
    }

    fn open(&self, path: &Path) -> io::Result<Arc<dyn StorageFile>> {
        let file = Disk.open(path)?;
        let size = file.size()?;
        let mut state = self.0.lock().unwrap();
        let synced = state
            .synced
            .entry(path.to_owned())
            .or_insert_with(|| Arc::new(AtomicU64::new(size)));
        Ok(self.wrap(Arc::clone(synced), file))
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        Disk.list(folder)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        Disk.rename(from, to)?;
        let mut state = self.0.lock().unwrap();
        if let Some(synced) = state.synced.remove(from) {
            state.synced.insert(to.to_owned(), synced);
        }
        let (from, to) = (from.to_owned(), to.to_owned());
        state.pending.push(Pending::Rename { from, to });
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let content = fs::read(path)?;
        Disk.remove(path)?;
        let mut state = self.0.lock().unwrap();
        state.synced.remove(path);
        let path = path.to_owned();
        state.pending.push(Pending::Remove { path, content });
        Ok(())
    }

    fn sync_folder(&self, _: &Path) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if !state.skip_sync {
            state.pending.clear();
        }
        Ok(())
    }

    fn lock(&self, file: &Path) -> io::Result<Option<Box<dyn StorageLock>>> {
        Disk.lock(file)
    }
}

impl StorageFile for FaultyFile {
    fn size(&self) -> io::Result<u64> {
        self.file.size()
    }

    fn read_at(&self, buf: &mut [u8], offset: u64) -> io::Result<()> {
        self.file.read_at(buf, offset)
    }

    fn write_at(&self, buf: &[u8], offset: u64) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        let len = buf.len() as u64;
        let writable = state.available.unwrap_or(len).min(len);
        state.available = state.available.map(|left| left - writable);
        self.file.write_at(&buf[..writable as usize], offset)?;
        if writable < len {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&self, len: u64) -> io::Result<()> {
        self.file.truncate(len)
    }

    fn sync(&self) -> io::Result<()> {
        let state = self.state.lock().unwrap();
        if state.fail_sync {
            return Err(io::Error::other("injected"));
        }
        if !state.skip_sync {
            self.synced.store(self.file.size()?, Relaxed);
        }
        Ok(())
    }
}
