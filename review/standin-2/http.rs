//! Messages of HTTP/1.1 on a connection, read without a library: the stand-ins must see the exact bytes.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Limit on a wait for the next bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Limit on the wait for a connection, as clients set it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// A connection with a read buffer.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
}

fn ended() -> Error {
    Error::new(ErrorKind::UnexpectedEof, "the connection has ended")
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        Connection {
            stream,
            buffer: Vec::new(),
            start: 0,
        }
    }

    pub fn open(address: SocketAddr) -> Result<Connection> {
        TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).map(Connection::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> Result<()> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        let mut chunk = [0; 8192];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(ended());
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    /// Reads a line up to its line feed, without the line end.
    pub fn line(&mut self) -> Result<String> {
        let mut searched = 0;
        loop {
            let unread = &self.buffer[self.start..];
            if let Some(at) = unread[searched..].iter().position(|byte| *byte == b'\n') {
                let line = String::from_utf8_lossy(&unread[..searched + at]).into_owned();
                self.start += searched + at + 1;
                return Ok(line.trim_end_matches('\r').to_owned());
            }
            searched = unread.len();
            self.fill()?;
        }
    }

    pub fn head(&mut self) -> Result<Head> {
        let mut head = Head {
            start: self.line()?,
            headers: Vec::new(),
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(head);
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            let value = value.trim().to_owned();
            head.headers.push((name.to_ascii_lowercase(), value));
        }
    }

    pub fn bytes(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() - self.start < count {
            self.fill()?;
        }
        let bytes = self.buffer[self.start..self.start + count].to_vec();
        self.start += count;
        Ok(bytes)
    }

    /// Reads a chunk; an empty one is the last.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.trim(), 16);
        let size = size.map_err(|_| Error::new(ErrorKind::InvalidData, "no chunk"))?;
        let bytes = self.bytes(size)?;
        self.line()?;
        Ok(bytes)
    }

    /// Reads the whole body after a head; each piece of one in chunks is shown to `seen` as it arrives.
    pub fn body(&mut self, head: &Head, mut seen: impl FnMut(&[u8])) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                seen(&chunk);
                body.extend(chunk);
            }
        }
        let length = head.header("content-length").unwrap_or("0");
        let bytes = self.bytes(length.parse().unwrap_or(0))?;
        seen(&bytes);
        body.extend(bytes);
        Ok(body)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Sends a request without a body on a new connection and returns the status of the answer.
pub fn get(address: SocketAddr, path: &str) -> Result<u16> {
    let mut connection = Connection::open(address)?;
    connection.write(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
    Ok(connection.head()?.status())
}
