//! A caller that controls its connection byte by byte.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use super::caller::Call;

/// How long the caller waits for a byte before the test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(45);

/// The end of a complete chunked body.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

/// A connection of a caller. Dropping it closes it, as a caller that hangs up does.
pub struct RawCaller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl RawCaller {
    /// Connects without sending anything.
    pub fn connect(address: SocketAddr) -> RawCaller {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        RawCaller {
            stream,
            received: Vec::new(),
        }
    }

    /// Connects and sends a complete request.
    pub fn send(address: SocketAddr, call: &Call) -> RawCaller {
        let mut raw = RawCaller::connect(address);
        raw.write(call.head().as_bytes());
        raw.write(call.body.as_bytes());
        raw
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads until `text` has been received. Returns false if the connection ends first.
    pub fn read_until(&mut self, text: &str) -> bool {
        let mut searched = 0;
        while !String::from_utf8_lossy(&self.received[searched..]).contains(text) {
            searched = self.received.len().saturating_sub(text.len());
            if !self.read_some() {
                return false;
            }
        }
        true
    }

    /// Reads until the connection ends.
    pub fn read_to_end(&mut self) -> String {
        while self.read_some() {}
        self.text()
    }

    /// Returns whether unread bytes are available.
    pub fn has_bytes(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let count = self.stream.peek(&mut [0]).unwrap_or(0);
        self.stream.set_nonblocking(false).unwrap();
        count > 0
    }

    /// Returns everything received so far.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.received).into_owned()
    }

    /// Returns whether a chunked answer was received completely.
    pub fn is_whole(&self) -> bool {
        self.text().ends_with(LAST_CHUNK)
    }

    /// Reads the available bytes. Returns false at the end of the connection.
    fn read_some(&mut self) -> bool {
        let mut chunk = [0; 64 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => false,
            Ok(count) => {
                self.received.extend_from_slice(&chunk[..count]);
                true
            }
            Err(error) => {
                let timed_out = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                assert!(!timed_out, "the caller received nothing in time");
                false
            }
        }
    }
}
