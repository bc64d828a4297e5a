//! Processes that a measurement starts.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Lines;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;

use crate::MeasureResult;

/// Processor time in `/proc/PID/stat` is counted in hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields of `/proc/PID/stat` between the program's name and the time in user mode.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Nanoseconds in a second.
const NANOS_PER_SECOND: f64 = 1e9;

/// A running process; ended when dropped.
pub struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts a program of the workspace, which stands beside the own one, or a folder above where the
    /// own one is an example.
    ///
    /// # Errors
    ///
    /// When the program isn't there or doesn't start.
    pub fn start(program: &str, args: &[String]) -> MeasureResult<Process> {
        let mut child = Command::new(program_path(program)?)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .map_err(|error| {
                format!("{program}: {error}; build with `cargo build --release --bins --workspace`")
            })?;
        let stdout = child.stdout.take().ok_or("the child has no output")?;
        let lines = BufReader::new(stdout).lines();
        Ok(Process { child, lines })
    }

    /// The address in the next line `NAME=ADDRESS` that the process prints.
    ///
    /// # Errors
    ///
    /// When the process ended, or printed another line.
    pub fn read_address(&mut self, name: &str) -> MeasureResult<SocketAddr> {
        let line = self.lines.next().ok_or("the process ended early")??;
        let value = line
            .strip_prefix(name)
            .and_then(|rest| rest.strip_prefix('='));
        let value = value.ok_or_else(|| format!("expected {name}, got {line}"))?;
        Ok(value.parse()?)
    }

    /// The process's number.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Processor seconds that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CpuTime {
    /// In its own code.
    pub(crate) user: f64,
    /// In the kernel.
    pub(crate) system: f64,
}

impl CpuTime {
    /// What was used since an earlier reading.
    pub(crate) fn since(self, earlier: CpuTime) -> CpuTime {
        CpuTime {
            user: self.user - earlier.user,
            system: self.system - earlier.system,
        }
    }

    /// In code and kernel.
    pub(crate) fn total(self) -> f64 {
        self.user + self.system
    }
}

/// Processor seconds that a process has used so far.
pub(crate) fn cpu_time(pid: u32) -> CpuTime {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = after.split_whitespace().skip(FIELDS_BEFORE_UTIME);
    let mut seconds = fields.map(|field| field.parse::<f64>().unwrap_or(0.0) / TICKS_PER_SECOND);
    CpuTime {
        user: seconds.next().unwrap_or(0.0),
        system: seconds.next().unwrap_or(0.0),
    }
}

/// Processor seconds of all threads of a process, from `schedstat`: it counts nanoseconds where `stat`
/// has hundredths of a second, and doesn't tell code from kernel.
pub fn cpu_seconds(pid: u32) -> f64 {
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return 0.0;
    };
    let ran = tasks.flatten().map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let first = text.split(' ').next();
        first.and_then(|nanos| nanos.parse().ok()).unwrap_or(0.0)
    });
    ran.sum::<f64>() / NANOS_PER_SECOND
}

/// Resident memory of a process in MiB.
pub fn resident_mib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}

fn program_path(program: &str) -> MeasureResult<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().ok_or("no folder of programs")?;
    let is_example = folder.ends_with("examples");
    let folder = folder.parent().filter(|_| is_example).unwrap_or(folder);
    Ok(folder.join(program))
}

/// The machine's load average over one minute.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|f| f.parse().ok()).unwrap_or(0.0)
}
