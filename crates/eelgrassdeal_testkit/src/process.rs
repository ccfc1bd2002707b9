//! Child processes of a fleet, and the CPU time and memory that they use.

use std::ffi::OsStr;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{PoisonError, RwLock};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use rustix::thread::{CpuSet, sched_setaffinity};

/// Clock ticks per second in `/proc/PID/stat`; always 100 in user space on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Held for reading while a child process starts. Until the child executes its own program it has
/// copies of all sockets of its parent, so that one that the parent closes meanwhile stays open.
pub(crate) static SPAWN_LOCK: RwLock<()> = RwLock::new(());

/// A child process that is killed when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `binary`. Its standard output and error go to the file `log`, which is truncated, or
    /// are discarded.
    ///
    /// # Errors
    ///
    /// When the binary cannot be started or the log file cannot be created.
    pub fn spawn<S: AsRef<OsStr>>(
        binary: &Path,
        arguments: &[S],
        log: Option<&Path>,
    ) -> io::Result<Self> {
        let (stdout, stderr) = match log {
            Some(path) => {
                let file = std::fs::File::create(path)?;
                (Stdio::from(file.try_clone()?), Stdio::from(file))
            }
            None => (Stdio::null(), Stdio::null()),
        };
        // `Command::spawn` returns once the child has executed its program.
        let _guard = SPAWN_LOCK.read().unwrap_or_else(PoisonError::into_inner);
        let child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr)
            .spawn()?;
        Ok(Self { child })
    }

    /// Process id given by the kernel.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL, which ends it without a shutdown, like a crash of its VM.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Pauses the process with SIGSTOP; its connections stay open.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a paused process with SIGCONT.
    pub fn unpause(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process with SIGTERM to shut down gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Asks the process with SIGHUP to load its settings again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Restricts the process to one CPU, numbered from 0.
    ///
    /// # Errors
    ///
    /// When the kernel refuses, for example because there is no such CPU.
    pub fn pin_to_cpu(&self, cpu: usize) -> io::Result<()> {
        let mut cpus = CpuSet::new();
        cpus.set(cpu);
        Ok(sched_setaffinity(self.pid(), &cpus)?)
    }

    /// Waits until the process has exited; `None` if it has not within `timeout`.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        let started = Instant::now();
        while started.elapsed() < timeout {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ => compio::time::sleep(POLL_INTERVAL).await,
            }
        }
        None
    }

    /// CPU time that the process has used in user and system mode, with a resolution of 10 ms.
    /// Zero if it cannot be read.
    pub fn cpu_time(&self) -> Duration {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        // User and system time are fields 14 and 15. The process name, field 2, is in parentheses
        // and may contain spaces, so the fields are counted from the closing parenthesis.
        let fields = text.rsplit(')').next().unwrap_or_default();
        let ticks: u64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
    }

    /// Resident memory in bytes; 0 if it cannot be read.
    pub fn resident_bytes(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kibibytes.unwrap_or(0) * 1024
    }

    fn pid(&self) -> Option<Pid> {
        i32::try_from(self.id()).ok().and_then(Pid::from_raw)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Restricts the calling thread to one CPU, numbered from 0.
///
/// # Errors
///
/// When the kernel refuses, for example because there is no such CPU.
pub fn pin_current_thread(cpu: usize) -> io::Result<()> {
    let mut cpus = CpuSet::new();
    cpus.set(cpu);
    Ok(sched_setaffinity(None, &cpus)?)
}

/// Returns the path of another binary of this workspace, in the directory of the running binary.
/// Does not check that the file exists.
///
/// # Panics
///
/// When the path of the running binary is unknown.
pub fn sibling_binary(name: &str) -> PathBuf {
    let current = std::env::current_exe().expect("path of this binary");
    let directory = current.parent().expect("directory of this binary");
    directory.join(name)
}
