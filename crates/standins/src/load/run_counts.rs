//! Run counts and counters read from the stand-ins.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::de::DeserializeOwned;

use super::client::Client;
use super::exchange;
use super::exchange::OutgoingRequest;
use super::exchange::RequestOutcome;
use super::exchange::WaitLimits;
use super::report::StandinTotals;
use super::response::Response;
use crate::engine::EngineStats;

/// Timeout for reading a stand-in's counters.
const STATS_TIMEOUT: Duration = Duration::from_secs(10);

/// Run counts by marker over all stand-ins, and the sums of their counters.
#[derive(Debug, Default)]
pub(super) struct RunCounts {
    pub(super) runs: HashMap<String, u64>,
    pub(super) totals: StandinTotals,
}

impl RunCounts {
    /// Reads the counters of all stand-ins. Those that can't be read are counted as unreachable,
    /// since missing counts could hide a request that ran twice.
    pub(super) async fn collect(standins: &[SocketAddr]) -> RunCounts {
        let mut run_counts = RunCounts::default();
        for &standin in standins {
            match run_counts.add_standin(standin).await {
                Ok(()) => run_counts.totals.reachable += 1,
                Err(_) => run_counts.totals.unreachable += 1,
            }
        }
        run_counts
    }

    async fn add_standin(&mut self, standin: SocketAddr) -> io::Result<()> {
        let stats: EngineStats = get(standin, "/control/stats").await?;
        let runs: HashMap<String, u64> = get(standin, "/control/runs").await?;
        for (marker, count) in runs {
            *self.runs.entry(marker).or_insert(0) += count;
        }
        self.totals.add(&stats);
        Ok(())
    }
}

impl StandinTotals {
    fn add(&mut self, stats: &EngineStats) {
        self.started += stats.started;
        self.completed += stats.completed;
        self.cancelled += stats.cancelled;
        self.failed += stats.failed;
        self.useful_tokens += stats.useful_tokens;
        self.cancelled_tokens += stats.cancelled_tokens;
        self.failed_tokens += stats.failed_tokens;
    }
}

async fn get<T: DeserializeOwned>(standin: SocketAddr, path: &str) -> io::Result<T> {
    let client = Client::new(vec![standin], false);
    let head = format!("GET {path} HTTP/1.1\r\nhost: {standin}\r\nconnection: close\r\n\r\n");
    let outgoing = OutgoingRequest {
        bytes: head.into_bytes(),
        response: Response::new("", false),
        tokens: None,
        due: Instant::now(),
        limits: WaitLimits {
            timeout: STATS_TIMEOUT,
            give_up: None,
        },
    };
    let exchange = exchange::exchange(&client, outgoing).await;
    if exchange.outcome != RequestOutcome::Complete {
        return Err(io::Error::other(format!("{standin} gave no counters")));
    }
    Ok(serde_json::from_slice(exchange.response.body())?)
}
