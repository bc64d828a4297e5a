//! Processes of a site, and what they use.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Lines;
use std::net::SocketAddr;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;

use crocushold_measure::Outcome;

const NANOS: f64 = 1e9;

/// A running process; ended when dropped.
pub(crate) struct Process {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts a program of the workspace.
    pub(crate) fn start(program: &str, args: &[String]) -> Outcome<Process> {
        // An example stands in a folder beside the programs.
        let own = std::env::current_exe()?;
        let folder = own.parent().and_then(|folder| folder.parent());
        let path = folder.ok_or("no folder of programs")?.join(program);
        let mut child = Command::new(&path)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{}: {error}", path.display()))?;
        let stdout = child.stdout.take().ok_or("the child has no output")?;
        let lines = BufReader::new(stdout).lines();
        Ok(Process { child, lines })
    }

    /// The address in the next line `NAME=ADDRESS` that the process prints.
    pub(crate) fn address(&mut self, name: &str) -> Outcome<SocketAddr> {
        let line = self.lines.next().ok_or("the process ended early")??;
        let value = line
            .strip_prefix(name)
            .and_then(|rest| rest.strip_prefix('='));
        let value = value.ok_or_else(|| format!("expected {name}, got {line}"))?;
        Ok(value.parse()?)
    }

    /// The process's number.
    pub(crate) fn id(&self) -> u32 {
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

/// What several processes used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Processor seconds of all.
    pub(crate) cpu: f64,
    /// Mean resident memory in MiB.
    pub(crate) resident: f64,
    /// The largest resident memory in MiB.
    pub(crate) resident_most: f64,
}

impl Usage {
    /// What these processes used so far.
    pub(crate) fn of(ids: &[u32]) -> Usage {
        let resident: Vec<f64> = ids.iter().map(|&id| resident(id)).collect();
        Usage {
            cpu: ids.iter().map(|&id| cpu(id)).sum(),
            resident: resident.iter().sum::<f64>() / ids.len().max(1) as f64,
            resident_most: resident.iter().copied().fold(0.0, f64::max),
        }
    }
}

/// Processor seconds of all threads; `schedstat` counts nanoseconds where `stat` has hundredths.
fn cpu(id: u32) -> f64 {
    let Ok(tasks) = fs::read_dir(format!("/proc/{id}/task")) else {
        return 0.0;
    };
    let ran = tasks.flatten().map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let first = text.split(' ').next();
        first.and_then(|nanos| nanos.parse().ok()).unwrap_or(0.0)
    });
    ran.sum::<f64>() / NANOS
}

fn resident(id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}

/// The machine's load average over one minute.
pub(crate) fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|load| load.parse().ok()).unwrap_or(0.0)
}
