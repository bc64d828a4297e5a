//! The bytes of header names and values (RFC 9110, sections 5.1 and 5.5).

/// Bytes of a token besides letters and digits.
const TOKEN_CHARACTERS: &[u8] = b"!#$%&'*+-.^_`|~";

/// Whether a text is the name of a header.
pub(crate) fn is_header_name(name: &[u8]) -> bool {
    let is_token_byte = |byte: &u8| byte.is_ascii_alphanumeric() || TOKEN_CHARACTERS.contains(byte);
    !name.is_empty() && name.iter().all(is_token_byte)
}

/// Whether a text has no control characters but tabs, as the value of a header and the first line of a head.
pub(crate) fn is_header_value(value: &[u8]) -> bool {
    let is_value_byte = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    value.iter().all(is_value_byte)
}
