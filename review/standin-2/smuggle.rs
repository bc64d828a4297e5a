//! A request in the body of another one, whose length stands behind a bare line feed.

use std::io::Result;
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

/// The configuration, with the limits of the pages' example.
const CONFIG: &str = r#"{"version":1,"route-table":[{"name":"book","host":"a.example","prefix":"/book/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":"api","attempts":1,"public":false}],"services":[{"name":"api","health-path":"/healthz","max-connections":110}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-1","api-keys":["key-1"],"priority":1}]}"#;

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let seen: Arc<Mutex<Vec<String>>> = Arc::default();
    let log = seen.clone();
    let _runner = Runner::start(
        "i-1",
        "api",
        false,
        &store,
        record,
        move |runner, _, head, _, connection| {
            let tenants: Vec<&String> = head
                .headers
                .iter()
                .filter(|(name, _)| name == "x-tenant")
                .map(|(_, value)| value)
                .collect();
            runner
                .record()
                .line(&format!("the runner reads X-Tenant as {tenants:?}"));
            let attempt = head.header("x-attempt-id").unwrap_or("none");
            log.lock().unwrap().push(attempt.to_owned());
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\n\
             Content-Length: 4\r\n\r\ndone"
            );
            connection.write(text.as_bytes())?;
            Ok(true)
        },
    );
    let mut gateway = Gateway::new(folder, 0, &[next_host()], Ports::free(), store.address);
    gateway.start()?;
    gateway.wait_until_ready()?;
    // A long head with a bare line feed, and a short one with a line feed before CR LF.
    let long = if has_trouble { "\n" } else { "\r\n" };
    let short = if has_trouble { "\n\r\n" } else { "\r\n" };
    send(record, gateway.http, 1, 9000, long)?;
    send(record, gateway.http, 2, 4, short)?;
    forge(record, gateway.http, long)?;
    thread::sleep(Duration::from_secs(1));
    let seen = seen.lock().unwrap().clone();
    record.line(&format!("the runner ran {seen:?}"));
    Ok(seen.iter().any(|id| id.starts_with("bbbb")))
}

/// Sends a request `number` whose body is the text of another one. `line_end` ends the line before the length.
fn send(
    record: &Record,
    address: SocketAddr,
    number: usize,
    note: usize,
    line_end: &str,
) -> Result<()> {
    let fixed = "Host: a.example\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n";
    let inner = format!(
        "POST /book/inner HTTP/1.1\r\n{fixed}X-Attempt-Id: bbbb{number}\r\nContent-Length: 0\r\n\r\n"
    );
    let outer = format!(
        "POST /book/outer HTTP/1.1\r\n{fixed}X-Attempt-Id: aaaa{number}\r\nX-Note: {}{line_end}\
         Content-Length: {}\r\n\r\n",
        "n".repeat(note),
        inner.len()
    );
    record.line(&format!(
        "client sends aaaa{number} with a head of {} bytes, {line_end:?} before its length and a body of {} bytes",
        outer.len(),
        inner.len()
    ));
    let mut client = Connection::open(address)?;
    client.write(outer.as_bytes())?;
    client.write(inner.as_bytes())?;
    let answered = client.head();
    record.line(&format!("client has {:?}", answered.map(|head| head.start)));
    thread::sleep(Duration::from_millis(500));
    Ok(())
}

/// Sends a request whose long head names another tenant behind a line end in the name of a header. What the runner
/// reads is recorded; the outcome doesn't depend on it.
fn forge(record: &Record, address: SocketAddr, line_end: &str) -> Result<()> {
    let text = format!(
        "POST /book/forged HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n\
         X-Attempt-Id: cccc3\r\nX-Empty{line_end}X-Tenant: tenant-2{}\r\nX-Note: {}\r\nContent-Length: 0\r\n\r\n",
        " ".repeat(300),
        "n".repeat(9000)
    );
    record.line(&format!("client of tenant-1 sends cccc3 with {line_end:?} between \"X-Empty\" and \"X-Tenant: tenant-2\""));
    let mut client = Connection::open(address)?;
    client.write(text.as_bytes())?;
    let answered = client.head();
    record.line(&format!("client has {:?}", answered.map(|head| head.start)));
    Ok(())
}
