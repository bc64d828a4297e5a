//! A request in the body of another one, whose length stands behind a bare line feed in a long line.

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
        move |_, _, head, _, connection| {
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
    let inner = "POST /book/two HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 2222222222222222\r\n\
                 X-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\r\n";
    let line_end = if has_trouble { "\n" } else { "\r\n" };
    let outer = format!(
        "POST /book/one HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1111111111111111\r\n\
         X-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\nX-Note: {}{line_end}Content-Length: {}\r\n\r\n",
        "n".repeat(9000),
        inner.len()
    );
    record.line(&format!(
        "client sends 1111111111111111 with a head of {} bytes",
        outer.len()
    ));
    let mut client = Connection::open(gateway.http)?;
    client.write(outer.as_bytes())?;
    client.write(inner.as_bytes())?;
    let answered = client.head();
    record.line(&format!("client has {:?}", answered.map(|head| head.start)));
    thread::sleep(Duration::from_secs(1));
    let seen = seen.lock().unwrap().clone();
    record.line(&format!("the runner ran {seen:?}"));
    Ok(seen.iter().any(|id| id == "2222222222222222"))
}
