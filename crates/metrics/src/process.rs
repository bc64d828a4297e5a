//! Processor time and resident memory of this process, from procfs.

use std::fs;

/// Clock ticks per second in `/proc/self/stat`, which Linux fixes at 100 for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of `utime` among the fields after the command name; `stime` follows it.
const UTIME_FIELD: usize = 11;
/// The unit of `VmRSS`, in bytes.
const BYTES_PER_KB: i64 = 1024;

/// The resource usage of this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessUsage {
    /// User and system processor time, in seconds.
    pub(crate) cpu: f64,
    /// Resident memory, in bytes.
    pub(crate) resident: i64,
}

/// Reads the usage; `None` if procfs is missing or has an unexpected format.
pub(crate) fn usage() -> Option<ProcessUsage> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    let status = fs::read_to_string("/proc/self/status").ok()?;
    Some(ProcessUsage {
        cpu: cpu_seconds(&stat)?,
        resident: resident_bytes(&status)?,
    })
}

fn cpu_seconds(stat: &str) -> Option<f64> {
    // The command name may contain spaces and parentheses, so fields are counted after the last
    // closing parenthesis.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_ascii_whitespace().skip(UTIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) as f64 / TICKS_PER_SECOND)
}

fn resident_bytes(status: &str) -> Option<i64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kilobytes: i64 = line.split_ascii_whitespace().next()?.parse().ok()?;
    Some(kilobytes * BYTES_PER_KB)
}
