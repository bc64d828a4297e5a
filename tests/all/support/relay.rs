//! A relay in front of a backend server that can drop one direction, as in a network partition.

use std::io::Read;
use std::io::Write;
use std::mem;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use super::any_address;

/// Which directions are cut.
#[derive(Default)]
struct Cuts {
    to_server: AtomicBool,
    to_entry: AtomicBool,
}

/// A relay. Everything sent in a cut direction is dropped, including the end of a connection.
pub struct Relay {
    address: SocketAddr,
    cuts: Arc<Cuts>,
}

impl Relay {
    /// Relays connections to a server for as long as the test runs.
    pub fn start(server: SocketAddr) -> Relay {
        let listener = TcpListener::bind(any_address()).unwrap();
        let address = listener.local_addr().unwrap();
        let cuts = Arc::new(Cuts::default());
        let shared = cuts.clone();
        thread::spawn(move || {
            for entry in listener.incoming().map_while(Result::ok) {
                let Ok(server) = TcpStream::connect(server) else {
                    continue;
                };
                relay(entry, server, &shared);
            }
        });
        Relay { address, cuts }
    }

    /// Returns the relay's listening address.
    pub fn addr(&self) -> SocketAddr {
        self.address
    }

    /// Drops everything that the entry instance sends from now on.
    pub fn cut_to_server(&self) {
        self.cuts.to_server.store(true, Ordering::SeqCst);
    }

    /// Drops everything that the server sends from now on.
    pub fn cut_to_entry(&self) {
        self.cuts.to_entry.store(true, Ordering::SeqCst);
    }
}

fn relay(entry: TcpStream, server: TcpStream, cuts: &Arc<Cuts>) {
    let (from_entry, from_server) = (entry.try_clone().unwrap(), server.try_clone().unwrap());
    let shared = cuts.clone();
    thread::spawn(move || copy(from_entry, server, &shared.to_server));
    let shared = cuts.clone();
    thread::spawn(move || copy(from_server, entry, &shared.to_entry));
}

/// Copies until the end. In a cut direction the end is dropped too: the other side stays open
/// forever.
fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = from.read(&mut chunk).unwrap_or(0);
        if cut.load(Ordering::SeqCst) {
            if count == 0 {
                mem::forget(to);
                return;
            }
            continue;
        }
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}
