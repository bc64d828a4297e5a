//! Processor time and memory of a cluster's processes.

use crocushold_measure::process::cpu_seconds;
use crocushold_measure::process::resident_mib;

/// Resource use of a group of processes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Total processor time in seconds.
    pub(crate) cpu_seconds: f64,
    /// Mean resident memory in MiB.
    pub(crate) resident: f64,
    /// Largest resident memory in MiB.
    pub(crate) resident_max: f64,
}

impl Usage {
    /// Reads the resource use of the processes with the given IDs.
    pub(crate) fn of(ids: &[u32]) -> Usage {
        let resident: Vec<f64> = ids.iter().map(|&id| resident_mib(id)).collect();
        Usage {
            cpu_seconds: ids.iter().map(|&id| cpu_seconds(id)).sum(),
            resident: resident.iter().sum::<f64>() / ids.len().max(1) as f64,
            resident_max: resident.iter().copied().fold(0.0, f64::max),
        }
    }
}
