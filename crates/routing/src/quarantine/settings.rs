//! Settings of the quarantine.

use crocushold_base::Millis;

/// How long a server goes on after it began to write an answer if no part of the prompt crashes it.
pub const SURVIVAL: Millis = Millis(1000);

/// Settings of a [`Quarantine`](super::Quarantine).
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Number of consecutive runs with ended servers from which on a request is quarantined. One
    /// end makes everything that ran there a suspect; a second end under the same request is hardly
    /// a coincidence.
    pub limit: usize,
    /// Initial duration of a quarantine. Each further end doubles it, up to a factor of sixteen.
    pub span: Millis,
    /// How long after a run was cut the end of its server still counts. This covers the expiry of a
    /// registry's lease and the next read of the registry.
    pub evidence: Millis,
    /// Ends of servers within this time may have a common cause.
    pub burst: Millis,
    /// Number of requests that ran on several servers which ended in that time, from which on the
    /// cause isn't one of them.
    pub common_suspects: usize,
    /// Number of consecutive runs with ended servers from which on a prompt part is quarantined. It
    /// is more than for a request, as refusing a part refuses more.
    pub part_limit: usize,
    /// Time from the last end that a quarantine needs until it is settled: other instances have heard of the
    /// ends by then, and have said whether they served the request since.
    pub settle: Millis,
    /// How long a request waits at most for a check whether a server that cut it has ended, if that end would
    /// quarantine it. This covers a connection attempt to the server and one to others, of 250 ms each.
    pub check: Millis,
    /// Maximum number of remembered requests, and of remembered parts.
    pub capacity: usize,
}

impl QuarantineSettings {
    /// Time from the last end until a quarantined request is tried once more, and between two trials: by then
    /// all instances know of the end, also if only the registry shows it.
    pub fn trial_interval(&self) -> Millis {
        self.evidence + self.settle
    }
}

impl Default for QuarantineSettings {
    fn default() -> QuarantineSettings {
        QuarantineSettings {
            limit: 2,
            span: Millis::from_secs(600),
            evidence: Millis::from_secs(6),
            burst: Millis::from_secs(2),
            common_suspects: 5,
            part_limit: 4,
            settle: Millis(1000),
            check: Millis(500),
            capacity: 1024,
        }
    }
}
