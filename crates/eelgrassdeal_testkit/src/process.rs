//! A node that runs as a process of its own.

use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use eelgrassdeal_schema::settings::NodeSettings;

use crate::fleet::secret_file;

/// A node that runs as a process of its own. It is killed when this is dropped.
pub struct NodeProcess {
    child: Child,
}

impl NodeProcess {
    /// Starts `program` with settings in a file.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn start(program: &Path, settings: &NodeSettings) -> io::Result<Self> {
        let text = toml::to_string(settings).map_err(io::Error::other)?;
        let file = secret_file("node", &text);
        let child = Command::new(program)
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { child })
    }

    /// Sends SIGTERM, by the id of the process.
    ///
    /// # Errors
    ///
    /// When `kill` cannot be run or the process is gone.
    pub fn terminate(&self) -> io::Result<()> {
        let status = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("no such process")) }
    }

    /// Waits until the process has exited; `None` if it has not within `time`.
    pub async fn wait(&mut self, time: Duration) -> Option<ExitStatus> {
        const POLL: Duration = Duration::from_millis(20);
        let started = std::time::Instant::now();
        while started.elapsed() < time {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            compio::time::sleep(POLL).await;
        }
        None
    }

    /// Memory that the process holds, in bytes.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse::<u64>().ok().map(|kib| kib * 1024)
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
