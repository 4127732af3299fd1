//! Memory and file descriptors of a process, as the kernel reports them.

use std::{fs, io, ops::AddAssign, path::PathBuf, time::Duration};

use tokio::time::sleep;

/// Interval between two readings of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket in the kernel's table; its queue counts connections and not bytes.
const LISTENING: &str = "0A";

/// What a process uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory and bytes that its sockets have received and that it hasn't read.
    pub memory_bytes: usize,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Returns what a process uses now. `ports` are the local ports on which it accepts connections.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn read(process_id: u32, ports: &[u16]) -> io::Result<Self> {
        let folder = PathBuf::from(format!("/proc/{process_id}"));
        let status = fs::read_to_string(folder.join("status"))?;
        let descriptors = fs::read_dir(folder.join("fd"))?.count();
        let sockets = fs::read_to_string(folder.join("net/tcp"))?;
        let unread_bytes: usize =
            sockets.lines().filter_map(|line| unread_bytes(line, ports)).sum();
        Ok(Self { memory_bytes: resident_bytes(&status) + unread_bytes, descriptors })
    }
}

/// Keeps the higher value of each figure.
impl AddAssign for ProcessUsage {
    fn add_assign(&mut self, other: Self) {
        self.memory_bytes = self.memory_bytes.max(other.memory_bytes);
        self.descriptors = self.descriptors.max(other.descriptors);
    }
}

/// Records the highest use of a process in `peak`, until it is cancelled or the process ends.
pub async fn record_peak(process_id: u32, ports: &[u16], mut peak: impl FnMut(ProcessUsage)) {
    while let Ok(usage) = ProcessUsage::read(process_id, ports) {
        peak(usage);
        sleep(SAMPLE_INTERVAL).await;
    }
}

fn resident_bytes(status: &str) -> usize {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Returns the unread bytes of a line of the kernel's table of sockets, if it is a connection to one of the ports.
fn unread_bytes(line: &str, ports: &[u16]) -> Option<usize> {
    let mut fields = line.split_whitespace().skip(1);
    let (_, port) = fields.next()?.rsplit_once(':')?;
    let (_, state) = (fields.next()?, fields.next()?);
    let (_, unread) = fields.next()?.split_once(':')?;
    let is_connection = state != LISTENING && ports.contains(&u16::from_str_radix(port, 16).ok()?);
    is_connection.then(|| usize::from_str_radix(unread, 16).ok()).flatten()
}
