//! What the processes of a site use.

use crocushold_measure::process::cpu_seconds;
use crocushold_measure::process::resident_mib;

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
        let resident: Vec<f64> = ids.iter().map(|&id| resident_mib(id)).collect();
        Usage {
            cpu: ids.iter().map(|&id| cpu_seconds(id)).sum(),
            resident: resident.iter().sum::<f64>() / ids.len().max(1) as f64,
            resident_most: resident.iter().copied().fold(0.0, f64::max),
        }
    }
}
