//! One child process.

use std::{
    env,
    fs::{
        self,
        File, //
    },
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
};

use crate::wait::wait_until;

/// How much of a log is shown where a process failed, in lines.
const SHOWN_LINES: usize = 30;

/// A signal that a test sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a planned stop.
    Term,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Cont,
}

/// A child process, killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program whose output goes to a log file.
    pub(crate) fn start(program: &Path, args: &[String], log: &Path) -> Self {
        Self::start_with(program, args, &[], log)
    }

    /// Starts a program with some environment variables.
    pub(crate) fn start_with(
        program: &Path,
        args: &[String],
        vars: &[(&str, &Path)],
        log: &Path,
    ) -> Self {
        let open = || File::options().create(true).append(true).open(log);
        let out = open().expect("the log can be written");
        let err = open().expect("the log can be written");
        let child = Command::new(program)
            .args(args)
            .envs(vars.iter().copied())
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn();
        let child = child.unwrap_or_else(|err| panic!("{}: {err}", program.display()));
        let log = log.to_owned();
        Self { child, log }
    }

    /// The address that the process printed after a word. Waits for it.
    pub(crate) fn announced(&mut self, word: &str) -> SocketAddr {
        let mut address = None;
        wait_until(&format!("a process prints `{word}`"), || {
            assert!(self.is_running(), "the process ended:\n{}", self.log());
            let text = fs::read_to_string(&self.log).unwrap_or_default();
            let lines = text.lines().rev();
            address = lines
                .filter_map(|line| line.strip_prefix(word))
                .find_map(|rest| rest.trim().parse().ok());
            address.is_some()
        });
        address.expect("waited for")
    }

    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal.
    ///
    /// # Panics
    ///
    /// Panics if the process is gone.
    pub fn signal(&mut self, signal: Signal) {
        assert!(self.is_running(), "the process ended:\n{}", self.log());
        let name = match signal {
            Signal::Term => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Cont => "-CONT",
        };
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status();
        assert!(status.expect("`kill` is there").success());
    }

    /// Kills the process with no warning and waits until it is gone.
    pub fn kill(&mut self) {
        // A process that ended by itself is as good as killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process ends by itself.
    ///
    /// # Panics
    ///
    /// Panics if that takes more than a minute.
    pub fn wait_for_end(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the process ends", || {
            status = self.child.try_wait().expect("a child can be waited for");
            status.is_some()
        });
        status.expect("waited for")
    }

    /// The last lines that the process printed.
    pub fn log(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(SHOWN_LINES)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The file of a program of this workspace.
pub(crate) fn program(name: &str) -> PathBuf {
    let own = env::current_exe().expect("the running program has a file");
    let beside = own.with_file_name(name);
    if beside.exists() {
        return beside;
    }
    built(&build_dir().join(name))
}

/// The file of an example of this crate.
pub(crate) fn example(name: &str) -> PathBuf {
    built(&build_dir().join("examples").join(name))
}

fn built(path: &Path) -> PathBuf {
    let name = path.display();
    assert!(
        path.exists(),
        "{name} is missing: `cargo build --workspace --bins --examples` builds it"
    );
    path.to_owned()
}

/// The folder that holds what this build made: the running program is in `deps` or `examples`
/// of it.
fn build_dir() -> PathBuf {
    let own = env::current_exe().expect("the running program has a file");
    let dir = own.parent().and_then(Path::parent);
    dir.expect("programs are built two folders deep").to_owned()
}
