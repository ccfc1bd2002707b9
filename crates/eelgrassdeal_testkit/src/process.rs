//! Processes of a fleet, and what the kernel accounts to them.

use std::ffi::OsStr;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use rustix::thread::{CpuSet, sched_setaffinity};

/// Clock ticks of `/proc/PID/stat` in a second; fixed at 100 for user space on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// A process that is killed by its id when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `binary`. Its log goes to `log`, or nowhere.
    ///
    /// # Errors
    ///
    /// When the binary cannot be started or the log cannot be created.
    pub fn spawn<S: AsRef<OsStr>>(
        binary: &Path,
        arguments: &[S],
        log: Option<&Path>,
    ) -> io::Result<Self> {
        let (output, errors) = match log {
            Some(path) => {
                let file = std::fs::File::create(path)?;
                (Stdio::from(file.try_clone()?), Stdio::from(file))
            }
            None => (Stdio::null(), Stdio::null()),
        };
        let child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()?;
        Ok(Self { child })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process as a crash of its VM would.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Pauses the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a paused process.
    pub fn unpause(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Confines the process to one processor.
    ///
    /// # Errors
    ///
    /// When the kernel refuses.
    pub fn pin_to(&self, processor: usize) -> io::Result<()> {
        let mut set = CpuSet::new();
        set.set(processor);
        Ok(sched_setaffinity(self.pid(), &set)?)
    }

    /// Waits until the process has ended; `None` if it has not within `time`.
    pub async fn wait_for_exit(&mut self, time: Duration) -> Option<ExitStatus> {
        const POLL: Duration = Duration::from_millis(20);
        let started = Instant::now();
        while started.elapsed() < time {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ => compio::time::sleep(POLL).await,
            }
        }
        None
    }

    /// Processor time used so far, in steps of 10 ms.
    pub fn processor_time(&self) -> Duration {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        // The name in parentheses may hold blanks; user and system time are fields 14 and 15.
        let fields = text.rsplit(')').next().unwrap_or_default();
        let ticks: u64 = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
    }

    /// Resident memory in bytes.
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

/// Confines the calling thread to one processor.
///
/// # Errors
///
/// When the kernel refuses.
pub fn pin_this_thread(processor: usize) -> io::Result<()> {
    let mut set = CpuSet::new();
    set.set(processor);
    Ok(sched_setaffinity(None, &set)?)
}

/// Path of another binary of this workspace, built into the same folder as the running one.
///
/// # Panics
///
/// When the path of the running binary is unknown.
pub fn sibling_binary(name: &str) -> PathBuf {
    let running = std::env::current_exe().expect("path of this binary");
    let folder = running.parent().expect("folder of this binary");
    folder.join(name)
}
