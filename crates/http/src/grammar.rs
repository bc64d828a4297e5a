//! The bytes of header names and values (RFC 9110, sections 5.1 and 5.5).

/// Bytes of a token besides letters and digits.
const TOKEN_CHARACTERS: &[u8] = b"!#$%&'*+-.^_`|~";

/// Whether a text is the name of a header.
pub(crate) fn is_header_name(name: &[u8]) -> bool {
    !name.is_empty() && name.iter().copied().all(is_name_byte)
}

/// Whether a text has no control characters but tabs, as the value of a header and the first line of a head.
pub(crate) fn is_header_value(value: &[u8]) -> bool {
    value.iter().copied().all(is_value_byte)
}

/// Whether the name of a header may contain a byte.
pub(crate) fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || TOKEN_CHARACTERS.contains(&byte)
}

/// Whether the value of a header may contain a byte.
pub(crate) fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}
