//! Whole answers that end with their connection: after a silence of a sound runner, and at a machine whose new
//! connections to runners are refused while the open ones live on.

use std::io::Result;
use std::net::SocketAddr;
use std::path::Path as FilePath;
use std::sync::Arc;
use std::sync::Barrier;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::gateway::Gateway;
use crate::gateway::Ports;
use crate::gateway::next_host;
use crate::http::Connection;
use crate::path::Path;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;

const CLIENTS: usize = 12;

/// Time from the head of an answer to its body, as a rule.
const WORK: Duration = Duration::from_millis(400);

/// The same time at a runner that falls silent.
const SILENCE: Duration = Duration::from_millis(700);

/// How long the machine is cut off.
const CUT: Duration = Duration::from_millis(5500);

const CONFIG: &str = r#"{"version":1,"route-table":[{"name":"book","host":"a.example","prefix":"/book/","kind":"unsafe","timeout-ms":1500,"target-latency-ms":300,"priority":2,"service":"api","attempts":1,"public":false}],"services":[{"name":"api","health-path":"/healthz","max-connections":110}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-1","api-keys":["key-1"],"priority":1}]}"#;

/// Sends a booking and returns whether its whole answer came.
fn exchange(record: &Record, client: &mut Connection, id: &str) -> bool {
    let text = format!(
        "POST /book/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
         Authorization: Token key-1\r\nContent-Length: 4\r\n\r\nbody"
    );
    let sent = client.write(text.as_bytes());
    let head = client.head();
    let status = head.as_ref().map_or(0, |head| head.status());
    let mut got = Vec::new();
    let body = head.and_then(|head| client.body(&head, |bytes| got.extend_from_slice(bytes)));
    record.line(&format!(
        "client {id}: sent {sent:?}, status {status}, bytes {:?}, whole: {}",
        String::from_utf8_lossy(&got),
        body.is_ok()
    ));
    status == 200 && body.is_ok()
}

pub fn run(folder: &FilePath, record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let work = Arc::new(Mutex::new(WORK));
    let runners = ["i-1", "i-2", "i-3", "i-4"].map(|id| {
        let work = work.clone();
        Runner::start(id, "api", false, &store, record, move |runner, _, head, _, connection| {
            let attempt = head.header("x-attempt-id").unwrap_or("none");
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\n\
                 Content-Type: text/plain\r\nConnection: close\r\n\r\n"
            );
            connection.write(text.as_bytes())?;
            let pause = *work.lock().unwrap();
            thread::sleep(pause);
            connection.write(b"booked")?;
            runner.record().line(&format!("runner {} has sent its whole answer to {attempt}", runner.id()));
            Ok(false)
        })
    });
    // The first machine has paths of its own to the runners.
    let view = store.view();
    let paths: Vec<Path> = runners
        .iter()
        .map(|runner| Path::open(runner.address()))
        .collect();
    for (runner, path) in runners.iter().zip(&paths) {
        view.rewrite(
            &format!("\"{}\"", runner.address()),
            &format!("\"{}\"", path.address),
        );
    }
    let hosts = [next_host(), next_host()];
    let ports = Ports::free();
    let stores = [view.address, store.address];
    let mut gateways = [0, 1].map(|at| Gateway::new(folder, at, &hosts, ports, stores[at]));
    for gateway in &mut gateways {
        gateway.start()?;
    }
    for gateway in &gateways {
        gateway.wait_until_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let address = gateways[0].http;
    // First: a sound runner falls silent between the head and the body of its answer.
    let silence = work.clone();
    let silent = bookings(record, address, "a", || {
        if has_trouble {
            *silence.lock().unwrap() = SILENCE;
            record.line("the runners are silent for 700 ms in their answers");
        }
    })?;
    *work.lock().unwrap() = WORK;
    // Second: the machine loses its path to the runners, for new connections.
    let cut = bookings(record, address, "b", || {
        thread::sleep(WORK / 2);
        if has_trouble {
            paths.iter().for_each(Path::refuse_new);
            record.line("new connections of edge-0 to the runners are refused; open ones live on");
        }
    })?;
    if has_trouble {
        thread::sleep(CUT.saturating_sub(WORK));
        paths.iter().for_each(Path::reopen);
        record.line("the machine reaches the runners again");
    }
    record.line(&format!(
        "answers that weren't whole, of {CLIENTS}: {silent} after a silence, {cut} in the cut (allowed: 3)"
    ));
    Ok(silent > 3 || cut > 3)
}

/// Lets each client make a booking and, on the same connection, a second one. `disturb` is called when all first
/// ones are answered and the second ones begin. Returns the number of second ones without a whole answer.
fn bookings(
    record: &Record,
    address: SocketAddr,
    name: &str,
    disturb: impl FnOnce(),
) -> Result<usize> {
    let first = Arc::new(Barrier::new(CLIENTS + 1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, first, name) = (record.clone(), first.clone(), name.to_owned());
            thread::spawn(move || -> Result<bool> {
                let opened = Connection::open(address);
                let answered = opened.map(|mut client| {
                    let answered =
                        exchange(&record, &mut client, &format!("{name}{number:03x}0000"));
                    (client, answered)
                });
                first.wait();
                let (mut client, answered) = answered?;
                if !answered {
                    return Err(std::io::Error::other("a first booking wasn't answered"));
                }
                // The disturbance begins before or after the requests are sent, see `disturb`.
                thread::sleep(Duration::from_millis(20));
                Ok(exchange(
                    &record,
                    &mut client,
                    &format!("{name}{number:03x}0001"),
                ))
            })
        })
        .collect();
    first.wait();
    disturb();
    let mut lost = 0;
    for client in clients {
        let joined = client.join();
        let whole = joined.map_err(|_| std::io::Error::other("a client failed"))??;
        lost += usize::from(!whole);
    }
    Ok(lost)
}
