//! Bytes as hexadecimal digits.

/// Two digits for each byte.
///
/// ```
/// use plantainnotch::hex::{from_hex, to_hex};
/// assert_eq!(from_hex(&to_hex(&[0, 171])), Some(vec![0, 171]));
/// assert_eq!(from_hex("xyz"), None);
/// ```
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes, or `None` if the text is not hexadecimal.
pub fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !digits || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
