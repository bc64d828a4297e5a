//! Connections that were opened before an instance has its configuration keep other limits.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::gateway::Gateway;
use crate::gateway::Ports;
use crate::gateway::next_host;
use crate::http::Connection;
use crate::record::Record;
use crate::runner::Runner;
use crate::runner::plain_work;
use crate::store::Mode;
use crate::store::Store;

const CLIENTS: usize = 40;

/// Parts of a prompt with which a head has about 10 KB.
const PARTS: usize = 800;

const CONFIG: &str = r#"{"version":1,"route-table":[{"name":"look","host":"a.example","prefix":"/look/","kind":"safe","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":"api","attempts":2,"public":false}],"services":[{"name":"api","health-path":"/healthz","max-connections":110}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-1","api-keys":["key-1"],"priority":1}]}"#;

fn request(number: usize, parts: usize) -> String {
    let parts: Vec<String> = (0..parts)
        .map(|part| format!("{:08x}:100", part + 1))
        .collect();
    format!(
        "GET /look/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {number:016x}\r\n\
         X-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\nX-Prompt-Prefix: {}\r\n\r\n",
        parts.join(",")
    )
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let work = || plain_work(Duration::from_millis(5));
    let _runners = ["i-1", "i-2"].map(|id| Runner::start(id, "api", false, &store, record, work()));
    let mut gateway = Gateway::new(folder, 0, &[next_host()], Ports::free(), store.address);
    gateway.start()?;
    gateway.wait_until_ready()?;
    if has_trouble {
        store.set_mode(Mode::Down);
        gateway.kill();
        record.line("the store is down; the process is killed and started again");
        gateway.start()?;
        gateway.wait_until_listening()?;
    }
    let mut clients = Vec::new();
    let mut statuses = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Connection::open(gateway.http)?;
        client.write(request(number, 3).as_bytes())?;
        let head = client.head()?;
        client.body(&head, |_| {})?;
        statuses.push(head.status());
        clients.push(client);
    }
    record.line(&format!("first requests: {statuses:?}"));
    store.set_mode(Mode::Up);
    record.line("the store is up");
    gateway.wait_until_ready()?;
    thread::sleep(Duration::from_secs(5));
    let mut statuses = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        let text = request(1000 + number, PARTS);
        client.write(text.as_bytes())?;
        let head = client.head()?;
        client.body(&head, |_| {})?;
        statuses.push(head.status());
    }
    let length = request(0, PARTS).len();
    record.line(&format!(
        "requests with heads of {length} bytes on the same connections: {statuses:?}"
    ));
    let denied = statuses
        .iter()
        .filter(|status| (300..500).contains(*status) && ![408, 421, 429].contains(*status));
    let denied = denied.count();
    let allowed = 5 + 2 * CLIENTS / 500;
    record.line(&format!("denied {denied}, allowed {allowed}"));
    Ok(denied > allowed)
}
