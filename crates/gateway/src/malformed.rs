//! Entries that can't be decoded.

use crocushold_base::Event;
use log::warn;

use crate::metrics::Metrics;

/// Entries of one answer or listing that can't be decoded. Another writer may leave a thousand of
/// them, so they are logged in a single line.
#[derive(Debug, Default)]
pub(crate) struct MalformedEntries {
    count: u64,
    /// Name and problem of the first one.
    first: Option<(String, String)>,
}

impl MalformedEntries {
    pub(crate) fn add(&mut self, name: String, finding: String) {
        self.count += 1;
        self.first.get_or_insert((name, finding));
    }

    pub(crate) fn log(self, metrics: &Metrics) {
        let Some((name, finding)) = self.first else {
            return;
        };
        metrics.add_malformed_entries(self.count);
        let event = Event::new("entries-malformed")
            .with("count", self.count)
            .with("first", name)
            .with("finding", finding);
        warn!("{event}");
    }
}
