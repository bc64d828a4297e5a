//! A client that closes its sending side after its request, and waits for the answer.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::gateway::Gateway;
use crate::gateway::Ports;
use crate::gateway::next_host;
use crate::http::Connection;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;

const REQUESTS: usize = 10;

/// `work-ms` of the runners.
const WORK: Duration = Duration::from_millis(60);

/// Statuses that promise that a request hasn't run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const CONFIG: &str = r#"{"version":1,"route-table":[{"name":"book","host":"a.example","prefix":"/book/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":"api","attempts":1,"public":false}],"services":[{"name":"api","health-path":"/healthz","max-connections":110}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-1","api-keys":["key-1"],"priority":1}]}"#;

/// Sends a request and returns the status of its answer; 0 if the connection ends without one.
fn exchange(address: SocketAddr, id: &str, half_closes: bool) -> std::io::Result<u16> {
    let mut client = Connection::open(address)?;
    let text = format!(
        "POST /book/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
         Authorization: Token key-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
    );
    client.write(text.as_bytes())?;
    if half_closes {
        // The request has long been passed on when the client closes its side.
        thread::sleep(WORK / 3);
        client.stream.shutdown(Shutdown::Write)?;
    }
    Ok(client.head().map_or(0, |head| head.status()))
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let _runners = ["i-1", "i-2"].map(|id| {
        let ran = ran.clone();
        Runner::start(id, "api", false, &store, record, move |runner, _, head, _, connection| {
            let attempt = head.header("x-attempt-id").unwrap_or("none");
            thread::sleep(WORK);
            ran.lock().unwrap().push(attempt.to_owned());
            runner.record().line(&format!("runner {} has run {attempt}", runner.id()));
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\n\
                 Content-Length: 4\r\n\r\ndone"
            );
            connection.write(text.as_bytes())?;
            Ok(true)
        })
    });
    let mut gateway = Gateway::new(folder, 0, &[next_host()], Ports::free(), store.address);
    gateway.start()?;
    gateway.wait_until_ready()?;
    let mut broken = 0;
    for number in 0..REQUESTS {
        let id = format!("{number:016x}");
        let status = exchange(gateway.http, &id, has_trouble)?;
        thread::sleep(2 * WORK);
        let has_run = ran.lock().unwrap().contains(&id);
        record.line(&format!("client {id}: status {status}, has run: {has_run}"));
        if PROMISES.contains(&status) && has_run {
            broken += 1;
        }
    }
    record.line(&format!(
        "{broken} requests were answered as not run and had run"
    ));
    Ok(broken > 0)
}
