//! Child processes of a measurement, and resource use of processes as `/proc` reports it.

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

/// Clock ticks per second of the processor times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Number of fields of `/proc/PID/stat` between the program name and `utime`.
const FIELDS_BEFORE_UTIME: usize = 11;

const NANOS_PER_SECOND: f64 = 1e9;

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts a binary of the workspace from the folder of the running executable, or from its
    /// parent folder when the executable is an example.
    ///
    /// # Errors
    ///
    /// Fails when the binary is missing or doesn't start.
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

    /// Reads the next line of the process's output, `NAME=ADDRESS`, and returns the address.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended, or the line has another form.
    pub fn read_address(&mut self, name: &str) -> MeasureResult<SocketAddr> {
        let line = self.lines.next().ok_or("the process ended early")??;
        let value = line
            .strip_prefix(name)
            .and_then(|rest| rest.strip_prefix('='));
        let value = value.ok_or_else(|| format!("expected {name}, got {line}"))?;
        Ok(value.parse()?)
    }

    /// The process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Processor time of a process in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CpuTime {
    /// Time in user mode.
    pub(crate) user: f64,
    /// Time in the kernel.
    pub(crate) system: f64,
}

impl CpuTime {
    /// The time used since an earlier reading.
    pub(crate) fn since(self, earlier: CpuTime) -> CpuTime {
        CpuTime {
            user: self.user - earlier.user,
            system: self.system - earlier.system,
        }
    }

    /// User and kernel time together.
    pub(crate) fn total(self) -> f64 {
        self.user + self.system
    }
}

/// Reads a process's processor time from `/proc/PID/stat`; zero when it can't be read.
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

/// Processor time in seconds of all live threads of a process, from `schedstat`: it counts
/// nanoseconds, where `stat` counts hundredths of a second, but doesn't separate user from kernel
/// time.
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

/// Resident memory of a process in MiB; zero when it can't be read.
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

/// The machine's one-minute load average; zero when it can't be read.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|f| f.parse().ok()).unwrap_or(0.0)
}
