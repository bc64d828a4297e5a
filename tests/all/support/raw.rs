//! A caller that controls its connection byte by byte.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use super::caller::Call;

/// How long the caller waits for a byte before the test fails.
const PATIENCE: Duration = Duration::from_secs(45);

/// What ends a chunked body that is whole.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

/// One connection of a caller. It is closed when dropped, as by a caller that hangs up.
pub struct Raw {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Raw {
    /// Connects and sends nothing yet.
    pub fn connect(address: SocketAddr) -> Raw {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Raw {
            stream,
            received: Vec::new(),
        }
    }

    /// Connects and sends a whole request.
    pub fn send(address: SocketAddr, call: &Call) -> Raw {
        let mut raw = Raw::connect(address);
        raw.write(call.head().as_bytes());
        raw.write(call.body.as_bytes());
        raw
    }

    /// Sends bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads until `text` has come; false when the connection ended before.
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

    /// Whether a byte came that wasn't read yet.
    pub fn has_bytes(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let count = self.stream.peek(&mut [0]).unwrap_or(0);
        self.stream.set_nonblocking(false).unwrap();
        count > 0
    }

    /// What came so far.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.received).into_owned()
    }

    /// Whether a chunked answer came to its end.
    pub fn is_whole(&self) -> bool {
        self.text().ends_with(LAST_CHUNK)
    }

    /// Takes what came off the connection; false at its end.
    fn read_some(&mut self) -> bool {
        let mut chunk = [0; 64 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => false,
            Ok(count) => {
                self.received.extend_from_slice(&chunk[..count]);
                true
            }
            Err(error) => {
                let silent = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                assert!(!silent, "the caller was left without a word");
                false
            }
        }
    }
}
