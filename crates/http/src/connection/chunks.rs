//! Decoding of bodies in chunks (RFC 9112, section 7.1).

#[cfg(test)]
mod tests;

use std::fmt;
use std::io;

use crate::grammar::is_name_byte;
use crate::grammar::is_value_byte;

/// The most bytes of the framing between two pieces of data, or behind the last one: leading zeros of a size, and trailers.
const MAX_FRAMING_BYTES: usize = 8 * 1024;

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    SizeStart,
    Size,
    SizeLineFeed,
    Data,
    DataReturn,
    DataLineFeed,
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLineFeed,
    LastLineFeed,
    End,
}

/// Takes the data out of the bytes of a body in chunks, and finds its end.
///
/// Lines end in CR LF only, as in heads. Trailers are checked and dropped. Chunk extensions are malformed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ChunkDecoder {
    state: State,
    /// The size of the current chunk while it is read, then the bytes of data that are missing.
    size: u64,
    /// The bytes since the last data.
    framing_bytes: usize,
}

/// What [`ChunkDecoder::decode`] has done with some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Decoded {
    /// The number of bytes that belong to the body, from the first one on.
    pub(super) used: usize,
    /// The number of bytes of data, which were moved to the front.
    pub(super) data: usize,
}

/// The bytes aren't a body in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MalformedChunks;

impl fmt::Display for MalformedChunks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed chunked encoding")
    }
}

impl std::error::Error for MalformedChunks {}

impl From<MalformedChunks> for io::Error {
    fn from(error: MalformedChunks) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

impl ChunkDecoder {
    /// Whether the last line of the body was read.
    pub(super) fn is_ended(&self) -> bool {
        self.state == State::End
    }

    /// Processes the next bytes. Bytes behind the end of the body aren't used.
    pub(super) fn decode(&mut self, bytes: &mut [u8]) -> Result<Decoded, MalformedChunks> {
        let mut used = 0;
        let mut data = 0;
        while used < bytes.len() && !self.is_ended() {
            if self.state == State::Data {
                let rest = (bytes.len() - used) as u64;
                let count = self.size.min(rest) as usize;
                bytes.copy_within(used..used + count, data);
                used += count;
                data += count;
                self.framing_bytes = 0;
                self.size -= count as u64;
                if self.size == 0 {
                    self.state = State::DataReturn;
                }
            } else {
                self.framing_bytes += 1;
                if self.framing_bytes > MAX_FRAMING_BYTES {
                    return Err(MalformedChunks);
                }
                self.state = self.next_state(bytes[used])?;
                used += 1;
            }
        }
        Ok(Decoded { used, data })
    }

    fn next_state(&mut self, byte: u8) -> Result<State, MalformedChunks> {
        Ok(match (self.state, byte) {
            (State::SizeStart | State::Size, digit) if digit.is_ascii_hexdigit() => {
                self.push_digit(digit)?;
                State::Size
            }
            (State::Size, b'\r') => State::SizeLineFeed,
            (State::SizeLineFeed, b'\n') if self.size == 0 => State::TrailerStart,
            (State::SizeLineFeed, b'\n') => State::Data,
            (State::DataReturn, b'\r') => State::DataLineFeed,
            (State::DataLineFeed, b'\n') => State::SizeStart,
            (State::TrailerStart, b'\r') => State::LastLineFeed,
            (State::LastLineFeed, b'\n') => State::End,
            (State::TrailerName, b':') => State::TrailerValue,
            (State::TrailerStart | State::TrailerName, byte) if is_name_byte(byte) => {
                State::TrailerName
            }
            (State::TrailerValue, b'\r') => State::TrailerLineFeed,
            (State::TrailerValue, byte) if is_value_byte(byte) => State::TrailerValue,
            (State::TrailerLineFeed, b'\n') => State::TrailerStart,
            _ => return Err(MalformedChunks),
        })
    }

    fn push_digit(&mut self, digit: u8) -> Result<(), MalformedChunks> {
        let value = char::from(digit).to_digit(16).ok_or(MalformedChunks)?;
        let size = self.size.checked_mul(16);
        self.size = size.ok_or(MalformedChunks)? + u64::from(value);
        Ok(())
    }
}
