//! A request in chunks whose last line end arrives in two segments is never answered in time.

#[path = "../standin/stand.rs"]
mod stand;

use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use stand::Gateway;
use stand::Reader;
use stand::Record;
use stand::Server;

const REQUESTS: usize = 12;
const TIMEOUT_MS: u64 = 3000;

fn main() {
    let record = Record::new();
    let server = Server::start("i-7f3a91c2", "wuno96b", &record);
    let route = stand::route("r-book", "/puxa403/", "unsafe", TIMEOUT_MS, "wuno96b");
    let store = stand::start_store(vec![stand::config(&[route], &["wuno96b"]), server.entry()]);
    let mut gateway = Gateway::start(&store, &record);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|index| {
            let mut stream = gateway.connect();
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("9c41d07be2a352{index:02}");
                stand::sleep_ms(50 * index as u64);
                let head = stand::head("POST", "/puxa403/2f", &id, 6000, "");
                let request = format!("{head}Transfer-Encoding: chunked\r\n\r\n7\r\nbooking\r\n0\r\n\r\n");
                let segments = if stand::trouble() {
                    // The last line end is in two segments; a retransmission takes longer than this.
                    request.split_at(request.len() - 1)
                } else {
                    (request.as_str(), "")
                };
                stream.write_all(segments.0.as_bytes()).expect("the request is sent");
                stand::sleep_ms(30);
                stream.write_all(segments.1.as_bytes()).expect("the last byte is sent");
                let sent = Instant::now();
                record.add(format!("client has sent id={id} POST /puxa403/2f in chunks, to its last byte"));
                let wait = Duration::from_millis(TIMEOUT_MS + 500);
                let _ = stream.set_read_timeout(Some(wait));
                let answer = Reader::new(&stream).message();
                let status = answer.map_or(0, |answer| answer.status());
                let after = sent.elapsed().as_millis();
                if status == 0 {
                    record.add(format!("client of id={id} has no answer {after} ms after its last byte"));
                } else {
                    record.add(format!("client of id={id} reads status={status} after {after} ms"));
                }
                status == 0
            })
        })
        .collect();
    let unanswered = clients.into_iter().filter_map(|client| client.join().ok());
    let unanswered = unanswered.filter(|unanswered| *unanswered).count();
    gateway.end();
    record.add(format!("{unanswered} of {REQUESTS} requests have no answer 0.5 s after their route's timeout-ms"));
    stand::finish(&record, unanswered >= 8 && unanswered * 4 > REQUESTS);
}
