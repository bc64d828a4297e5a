//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;

struct Item {
    text: String,
    revision: u64,
    created: u64,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, text and first revision of each event; no text where the item was removed.
    events: Vec<(u64, String, Option<String>, u64)>,
}

/// A handle to the store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Texts that are shown here in place of others.
    rewrites: Arc<Mutex<Vec<(String, String)>>>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            revision: 0,
            items: BTreeMap::new(),
            events: Vec::new(),
        };
        let store = Store {
            address: listener.local_addr().expect("a bound address"),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            rewrites: Arc::default(),
        };
        store.listen(listener);
        store
    }

    /// The same store at another address, where entries may name other addresses.
    pub fn view(&self) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("a bound address"),
            shared: self.shared.clone(),
            rewrites: Arc::default(),
        };
        store.listen(listener);
        store
    }

    /// Shows `to` in place of `from` in all entries.
    pub fn rewrite(&self, from: &str, to: &str) {
        let rewrite = (from.to_owned(), to.to_owned());
        self.rewrites.lock().unwrap().push(rewrite);
    }

    fn shown(&self, text: &str) -> String {
        let rewrites = self.rewrites.lock().unwrap();
        let rewrites = rewrites.iter();
        rewrites.fold(text.to_owned(), |text, (from, to)| text.replace(from, to))
    }

    fn listen(&self, listener: TcpListener) {
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
    }

    /// Writes an item.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let event = (revision, key.to_owned(), Some(text.to_owned()), created);
        state.events.push(event);
        let item = Item {
            text: text.to_owned(),
            revision,
            created,
        };
        state.items.insert(key.to_owned(), item);
        self.shared.1.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let event = (state.revision, key.to_owned(), None, 0);
        state.events.push(event);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.head() {
            let target = head.word(1).to_owned();
            let answer = self.answer(&target);
            let Some((status, body)) = answer else {
                break;
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(text.as_bytes()).is_err() {
                break;
            }
        }
        connection.close();
    }

    /// The status and the body; `None` if the connection is closed instead.
    fn answer(&self, target: &str) -> Option<(&'static str, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match path {
            "/v1/kv-range" => self.range(query),
            "/v1/kv-watch" => self.watch(query),
            _ => Some(("404 Not Found", "{}".to_owned())),
        }
    }

    fn range(&self, query: &str) -> Option<(&'static str, String)> {
        let state = self.shared.0.lock().unwrap();
        let prefix = parameter(query, "prefix");
        let after = parameter(query, "after");
        let items = state.items.iter();
        let items = items
            .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
        let items = items.map(|(key, item)| {
            item_text(key, &self.shown(&item.text), item.revision, item.created)
        });
        let entries: Vec<String> = items.collect();
        let body = format!(
            "{{\"entries\":[{}],\"has-more\":false,\"at\":{}}}",
            entries.join(","),
            state.revision
        );
        Some(("200 OK", body))
    }

    fn watch(&self, query: &str) -> Option<(&'static str, String)> {
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        loop {
            let events = state.events.iter().filter(|event| event.0 > after);
            let events = events.map(|(revision, key, text, created)| match text {
                Some(text) => item_text(key, &self.shown(text), *revision, *created),
                None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
            });
            let events: Vec<String> = events.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Some(("200 OK", body));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_text(key: &str, text: &str, revision: u64, created: u64) -> String {
    let data = base64(text.as_bytes());
    format!(
        "{{\"key\":\"{key}\",\"data\":\"{data}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}"
    )
}

/// The decoded value of a parameter in a query; empty if it is missing.
fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(other, _)| *other == name);
    found.map_or(String::new(), |(_, value)| percent_decode(value))
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        decoded.push(byte.unwrap_or(bytes[at]));
        at += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut number = 0u32;
        for at in 0..3 {
            number = number << 8 | u32::from(chunk.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let digit = ALPHABET[(number >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// Waits until `check` holds; fails after ten seconds.
pub fn eventually(check: impl Fn() -> bool) -> Result<()> {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !check() {
        if Instant::now() > deadline {
            return Err(std::io::Error::other("a step took longer than ten seconds"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
