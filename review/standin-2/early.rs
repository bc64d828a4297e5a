//! Runners that begin their answer before they have read a long body, and read on later.

use std::net::SocketAddr;
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
use crate::store::Store;

/// Clients at a time, and how often they come.
const CLIENTS: usize = 4;
const ROUNDS: usize = 4;

/// Bytes of a long body, below `max-body-bytes`.
const LONG: usize = 4_000_000;

const CONFIG: &str = r#"{"version":1,"route-table":[{"name":"book","host":"a.example","prefix":"/book/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":"api","attempts":1,"public":false}],"services":[{"name":"api","health-path":"/healthz","max-connections":110}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-1","api-keys":["key-1"],"priority":1}]}"#;

fn request(id: &str, length: usize) -> Vec<u8> {
    let head = format!(
        "POST /book/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
         Authorization: Token key-1\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'b');
    bytes
}

/// Sends a request and returns whether its whole answer came.
fn exchange(record: &Record, client: &mut Connection, id: &str, length: usize) -> bool {
    record.line(&format!("client sends {id} with a body of {length} bytes"));
    let sent = client.write(&request(id, length));
    let head = client.head();
    let status = head.as_ref().map_or(0, |head| head.status());
    let body = head.and_then(|head| client.body(&head, |_| {}));
    record.line(&format!(
        "client {id}: sent {sent:?}, status {status}, body {:?}",
        body.as_ref()
            .map(|body| String::from_utf8_lossy(body).into_owned())
    ));
    body.is_ok()
}

fn client(record: &Record, address: SocketAddr, number: usize) -> (bool, bool) {
    let Ok(mut client) = Connection::open(address) else {
        return (false, false);
    };
    let short = exchange(record, &mut client, &format!("{number:04x}0000"), 4);
    let long = exchange(record, &mut client, &format!("{number:04x}0001"), LONG);
    (short, long)
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let runners = ["i-1", "i-2"].map(|id| {
        Runner::start(
            id,
            "api",
            false,
            &store,
            record,
            |_, _, _, _, connection| {
                connection.write(b"4\r\ndone\r\n0\r\n\r\n")?;
                Ok(true)
            },
        )
    });
    for runner in &runners {
        runner.answer_early(has_trouble);
    }
    let mut gateway = Gateway::new(folder, 0, &[next_host()], Ports::free(), store.address);
    gateway.start()?;
    gateway.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));
    let address = gateway.http;
    let mut results = Vec::new();
    for round in 0..ROUNDS {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let record = record.clone();
                thread::spawn(move || client(&record, address, round * CLIENTS + number))
            })
            .collect();
        let clients = clients.into_iter();
        results.extend(clients.map(|client| client.join().unwrap_or((false, false))));
    }
    let kept = results.iter().filter(|(short, _)| *short).count();
    let lost = results
        .iter()
        .filter(|(short, long)| *short && !long)
        .count();
    record.line(&format!(
        "{kept} kept connections; on {lost} of them the connection was closed without a whole answer (allowed: 3)"
    ));
    if kept < CLIENTS * ROUNDS {
        return Err(std::io::Error::other("the short requests weren't answered"));
    }
    Ok(lost > 3)
}
