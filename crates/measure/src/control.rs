//! Client for the control endpoints of the stand-ins and the operator endpoints of instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::future;
use async_std::io::ReadExt;
use async_std::task;
use crocushold_http::Client;
use crocushold_http::PoolLimits;
use crocushold_http::Reuse;
use crocushold_http::SendLimits;
use crocushold_standins::EngineStats;
use futures::future::try_join_all;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::MeasureResult;

/// Longest wait for an instance to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a request on a new connection and returns the response body; any status that isn't a
/// success is an error.
pub(crate) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> MeasureResult<String> {
    future::timeout(CALL_TIMEOUT, send_request(address, method, path, body)).await?
}

async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> MeasureResult<String> {
    let url = Url::parse(&format!("http://{address}{path}"))?;
    let mut request = Request::new(method, url);
    request.set_body(body);
    let client = Client::new(PoolLimits::default());
    let limits = SendLimits::default();
    let sent = client.send(address, request, &limits, Reuse::Fresh);
    let mut answer = sent.await.map_err(|error| error.to_string())?;
    let mut text = String::new();
    answer.body.read_to_string(&mut text).await?;
    if !answer.status.is_success() {
        return Err(format!("{address}{path}: {}", answer.status).into());
    }
    Ok(text)
}

/// Sends a command to a stand-in's control endpoint.
pub(crate) async fn send_command(
    control: SocketAddr,
    command: &impl Serialize,
) -> MeasureResult<()> {
    let body = serde_json::to_vec(command)?;
    call(control, Method::Post, "/control", body).await?;
    Ok(())
}

async fn get_json<T: DeserializeOwned>(control: SocketAddr, path: &str) -> MeasureResult<T> {
    let text = call(control, Method::Get, path, Vec::new()).await?;
    Ok(serde_json::from_str(&text)?)
}

/// Sums the token, request and prefix cache counters of several engines; other fields keep their
/// defaults.
pub(crate) async fn engine_totals(controls: &[SocketAddr]) -> MeasureResult<EngineStats> {
    let mut total = EngineStats::default();
    let reads = controls
        .iter()
        .map(|&control| get_json(control, "/control/stats"));
    let all: Vec<EngineStats> = try_join_all(reads).await?;
    for stats in all {
        total.started += stats.started;
        total.completed += stats.completed;
        total.cancelled += stats.cancelled;
        total.failed += stats.failed;
        total.useful_tokens += stats.useful_tokens;
        total.cancelled_tokens += stats.cancelled_tokens;
        total.failed_tokens += stats.failed_tokens;
        total.prefix_hits += stats.prefix_hits;
        total.prefix_misses += stats.prefix_misses;
        total.running += stats.running;
        total.waiting += stats.waiting;
    }
    Ok(total)
}

/// Number of executions per request marker, summed over several stand-ins.
pub(crate) async fn run_counts(controls: &[SocketAddr]) -> MeasureResult<HashMap<String, u64>> {
    let mut all = HashMap::new();
    for &control in controls {
        let runs: HashMap<String, u64> = get_json(control, "/control/runs").await?;
        for (marker, count) in runs {
            *all.entry(marker).or_insert(0) += count;
        }
    }
    Ok(all)
}

/// Polls `/ready` until an instance is ready.
pub(crate) async fn wait_ready(operator: SocketAddr) -> MeasureResult<()> {
    let ready = async {
        while call(operator, Method::Get, "/ready", Vec::new())
            .await
            .is_err()
        {
            task::sleep(Duration::from_millis(30)).await;
        }
    };
    future::timeout(READY_TIMEOUT, ready)
        .await
        .map_err(|_| "an instance did not become ready".into())
}
