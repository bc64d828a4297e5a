use super::ChunkDecoder;
use super::Decoded;
use super::MalformedChunks;

/// A body of two chunks with a trailer.
const BODY: &[u8] = b"4\r\nfour\r\n0a\r\n0123456789\r\n0\r\nx-sum: 1\r\n\r\n";

/// Decodes the pieces one after the other; the data, and the number of bytes that were used.
fn decode(pieces: &[&[u8]]) -> Result<(Vec<u8>, usize), MalformedChunks> {
    let mut decoder = ChunkDecoder::default();
    let mut all = Vec::new();
    let mut total = 0;
    for piece in pieces {
        let mut bytes = piece.to_vec();
        let Decoded { used, data } = decoder.decode(&mut bytes)?;
        all.extend_from_slice(&bytes[..data]);
        total += used;
    }
    Ok((all, total))
}

/// Guards against data or an end that depends on where the segments of a body end.
#[test]
fn cuts_change_nothing() {
    let expected = Ok((b"four0123456789".to_vec(), BODY.len()));
    assert_eq!(decode(&[BODY]), expected);
    for first in 0..BODY.len() {
        for second in first..BODY.len() {
            let pieces = [&BODY[..first], &BODY[first..second], &BODY[second..]];
            assert_eq!(decode(&pieces), expected, "cut at {first} and {second}");
        }
    }
    let bytes: Vec<&[u8]> = BODY.chunks(1).collect();
    assert_eq!(decode(&bytes), expected);
}

/// Guards against bytes of the next message that are taken for a part of this one.
#[test]
fn bytes_behind_the_end_are_not_used() {
    let next = [BODY, b"0\r\n\r\n"].concat();
    assert_eq!(
        decode(&[&next]),
        Ok((b"four0123456789".to_vec(), BODY.len()))
    );
}

/// Guards against a byte that another reader takes for the end of a line, at any place of the framing.
#[test]
fn a_changed_byte_of_the_framing_is_malformed_or_changes_the_length() {
    for index in 0..BODY.len() {
        for byte in [b'\r', b'\n', b'\0'] {
            let mut body = BODY.to_vec();
            if body[index] == byte {
                continue;
            }
            body[index] = byte;
            let is_data = (3..7).contains(&index) || (13..23).contains(&index);
            assert_eq!(decode(&[&body]).is_ok(), is_data, "{byte} at {index}");
        }
    }
}

/// Guards against trailers and sizes that never end.
#[test]
fn endless_framing_is_malformed() {
    let trailers = [b"0\r\n".as_slice(), &b"x: y\r\n".repeat(2000)].concat();
    assert_eq!(decode(&[&trailers]), Err(MalformedChunks));
    assert_eq!(decode(&[&b"0".repeat(10_000)]), Err(MalformedChunks));
}
