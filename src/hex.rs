//! Hexadecimal encoding of bytes.

/// Encodes each byte as two lower-case digits.
///
/// ```
/// use plantainnotch::hex::{from_hex, to_hex};
/// assert_eq!(from_hex(&to_hex(&[0, 171])), Some(vec![0, 171]));
/// assert_eq!(from_hex("xyz"), None);
/// ```
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes an even number of digits; `None` if the text is anything else.
pub fn from_hex(text: &str) -> Option<Vec<u8>> {
    let all_digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !all_digits || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}
