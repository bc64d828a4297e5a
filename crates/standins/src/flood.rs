//! Answers that never end.

use std::io;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task;

/// Bytes of one write at full speed.
const BLOCK_BYTES: usize = 64 * 1024;

/// The part of an answer that is sent without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Bytes that are no HTTP, from the first one on.
    Garbage,
    /// One line of the head.
    HeadLine,
    /// Lines of the head.
    HeadLines,
    /// Blank lines instead of a head.
    BlankLines,
    /// Interim answers (1xx).
    InterimAnswers,
    /// The digits of a chunk's size.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// One line after the last chunk.
    Trailer,
    /// Lines after the last chunk.
    Trailers,
    /// Last chunks.
    EmptyChunks,
    /// Bytes after an answer with a length.
    AfterLength,
    /// Bytes after an answer in chunks.
    AfterChunks,
    /// A plain body with a length of an exabyte.
    Length,
    /// A plain body in chunks.
    Chunks,
    /// A plain body that ends with the connection.
    UntilClose,
    /// One line of an event, in chunks.
    EventLine,
    /// Lines of an event, in chunks.
    EventLines,
    /// One line of an event in a body that ends with the connection.
    EventLineUntilClose,
}

/// How fast an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// As fast as the peer reads.
    Fast,
    /// One byte at a time, after a pause of this length.
    Bytewise(Duration),
}

impl Flood {
    /// All kinds.
    pub const ALL: [Flood; 18] = [
        Flood::Garbage,
        Flood::HeadLine,
        Flood::HeadLines,
        Flood::BlankLines,
        Flood::InterimAnswers,
        Flood::ChunkSize,
        Flood::ChunkExtension,
        Flood::Trailer,
        Flood::Trailers,
        Flood::EmptyChunks,
        Flood::AfterLength,
        Flood::AfterChunks,
        Flood::Length,
        Flood::Chunks,
        Flood::UntilClose,
        Flood::EventLine,
        Flood::EventLines,
        Flood::EventLineUntilClose,
    ];

    /// The start of the answer, with the header lines `headers`, which end in line breaks.
    pub fn start(self, headers: &str) -> String {
        let ok = format!("HTTP/1.1 200 OK\r\n{headers}");
        let chunked = format!("{ok}Transfer-Encoding: chunked\r\n\r\n");
        let events = format!("{ok}Content-Type: text/event-stream\r\n");
        let chunked_events = format!("{events}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Flood::HeadLine => format!("{ok}X-Endless: "),
            Flood::HeadLines => ok,
            Flood::Garbage | Flood::BlankLines | Flood::InterimAnswers => String::new(),
            Flood::ChunkSize | Flood::Chunks | Flood::EmptyChunks => chunked,
            Flood::ChunkExtension => format!("{chunked}4;x="),
            Flood::Trailer => format!("{chunked}4\r\nfour\r\n0\r\nX-Endless: "),
            Flood::Trailers => format!("{chunked}4\r\nfour\r\n0\r\n"),
            Flood::AfterLength => format!("{ok}Content-Length: 4\r\n\r\nfour"),
            Flood::AfterChunks => format!("{chunked}4\r\nfour\r\n0\r\n\r\n"),
            Flood::Length => format!("{ok}Content-Length: 1000000000000000000\r\n\r\n"),
            Flood::UntilClose => format!("{ok}\r\n"),
            Flood::EventLine => format!("{chunked_events}6\r\ndata: \r\n"),
            Flood::EventLines => chunked_events,
            Flood::EventLineUntilClose => format!("{events}\r\ndata: "),
        }
    }

    /// The bytes that are repeated after the start.
    pub fn cycle(self) -> String {
        let cycle = match self {
            Flood::Garbage => "\0\u{ff}",
            Flood::HeadLine | Flood::ChunkExtension | Flood::Trailer => "x",
            Flood::HeadLines | Flood::Trailers => "X-Endless: x\r\n",
            Flood::BlankLines => "\r\n",
            Flood::InterimAnswers => "HTTP/1.1 100 Continue\r\n\r\n",
            Flood::ChunkSize => "0",
            Flood::EmptyChunks => "0\r\n\r\n",
            Flood::AfterLength | Flood::AfterChunks => "HTTP/1.1 200 OK\r\n\r\n",
            Flood::Length | Flood::UntilClose | Flood::EventLineUntilClose => "x",
            Flood::Chunks | Flood::EventLine => {
                return format!("400\r\n{}\r\n", "x".repeat(0x400));
            }
            Flood::EventLines => return format!("400\r\n{}\r\n", "data: x\n".repeat(0x80)),
        };
        cycle.to_owned()
    }

    /// Sends the answer until the peer closes the connection.
    ///
    /// # Errors
    ///
    /// The error with which the connection ended; never ends without one.
    pub async fn send(self, stream: &mut TcpStream, headers: &str, pace: Pace) -> io::Result<()> {
        let mut start = self.start(headers).into_bytes();
        let cycle = self.cycle().into_bytes();
        match pace {
            Pace::Fast => {
                let block = cycle.repeat(BLOCK_BYTES.div_ceil(cycle.len()));
                start.extend_from_slice(&block);
                stream.write_all(&start).await?;
                loop {
                    stream.write_all(&block).await?;
                    // A peer that reads fast would otherwise keep this task running without end.
                    task::yield_now().await;
                }
            }
            Pace::Bytewise(pause) => {
                start.extend_from_slice(&cycle);
                for byte in start.iter().chain(cycle.iter().cycle()) {
                    stream.write_all(&[*byte]).await?;
                    task::sleep(pause).await;
                }
                Ok(())
            }
        }
    }
}
