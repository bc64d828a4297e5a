//! The path from a machine to a runner, which can refuse new connections while open ones live on.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::gateway::next_host;

const TICK: Duration = Duration::from_millis(2);

/// A handle to a path. Clones share its state.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    runner: SocketAddr,
    refuses: Arc<AtomicBool>,
}

impl Path {
    pub fn open(runner: SocketAddr) -> Path {
        let listener = TcpListener::bind((next_host(), 0)).expect("a free port");
        let path = Path {
            address: listener.local_addr().expect("a bound address"),
            runner,
            refuses: Arc::default(),
        };
        path.accept(listener);
        path
    }

    /// Refuses new connections from now on. Open ones live on.
    pub fn refuse_new(&self) {
        self.refuses.store(true, Ordering::Relaxed);
        // The listener closes within a tick.
        thread::sleep(3 * TICK);
    }

    /// Accepts connections again.
    pub fn reopen(&self) {
        self.refuses.store(false, Ordering::Relaxed);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(TICK),
            }
        };
        self.accept(listener);
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        let path = self.clone();
        thread::spawn(move || {
            while !path.refuses.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => path.forward(stream),
                    Err(_) => thread::sleep(TICK),
                }
            }
        });
    }

    fn forward(&self, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.runner) else {
            return;
        };
        let _ = client.set_nonblocking(false);
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        if let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) {
            thread::spawn(move || copy(from, to));
        }
        thread::spawn(move || copy(server, client));
    }
}

/// Copies bytes, and the end of the connection after them.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
