//! Answers that end with their connection, at a machine whose new connections to runners are refused while the
//! open ones live on.

use std::net::SocketAddr;
use std::path::Path as FilePath;
use std::sync::Arc;
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

/// Work of a runner on a booking.
const WORK: Duration = Duration::from_millis(400);

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

fn client(record: &Record, address: SocketAddr, number: usize) -> (bool, bool) {
    let Ok(mut client) = Connection::open(address) else {
        return (false, false);
    };
    let first = exchange(record, &mut client, &format!("{number:04x}0000"));
    let second = exchange(record, &mut client, &format!("{number:04x}0001"));
    (first, second)
}

pub fn run(folder: &FilePath, record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let ran: Arc<Mutex<usize>> = Arc::default();
    let runners = ["i-1", "i-2", "i-3", "i-4"].map(|id| {
        let ran = ran.clone();
        Runner::start(id, "api", false, &store, record, move |runner, _, head, _, connection| {
            let attempt = head.header("x-attempt-id").unwrap_or("none");
            thread::sleep(WORK);
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\n\
                 Content-Type: text/plain\r\nConnection: close\r\n\r\nbooked"
            );
            connection.write(text.as_bytes())?;
            *ran.lock().unwrap() += 1;
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || client(&record, address, number))
        })
        .collect();
    // The second bookings are at the runners.
    thread::sleep(WORK + WORK / 2);
    if has_trouble {
        paths.iter().for_each(Path::refuse_new);
        record.line("new connections of edge-0 to the runners are refused; open ones live on");
    }
    let mut results = Vec::new();
    for client in clients {
        results.push(client.join().unwrap_or((false, false)));
    }
    if has_trouble {
        thread::sleep(CUT.saturating_sub(WORK));
        paths.iter().for_each(Path::reopen);
        record.line("the machine reaches the runners again");
    }
    let kept = results.iter().filter(|(first, _)| *first).count();
    let lost = results
        .iter()
        .filter(|(first, second)| *first && !second)
        .count();
    record.line(&format!(
        "{} bookings were made; on {lost} of {kept} kept connections the answer wasn't whole (allowed: 3)",
        ran.lock().unwrap()
    ));
    if kept < CLIENTS {
        return Err(std::io::Error::other("the first bookings weren't answered"));
    }
    Ok(lost > 3)
}
