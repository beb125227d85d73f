//! Starts of response heads that are not HTTP.

/// Statuses that are none: RFC 9110, section 15, has only 100 to 599.
pub const BROKEN_STATUS_LINES: [&str; 12] = [
    "HTTP/1.1 000 X\r\n",
    "HTTP/1.1 000\r\n",
    "HTTP/1.1 001 X\r\n",
    "HTTP/1.1 099 X\r\n",
    "HTTP/1.1 600 X\r\n",
    "HTTP/1.1 999 X\r\n",
    "HTTP/1.1 20 X\r\n",
    "HTTP/1.1 2000 X\r\n",
    "HTTP/1.1 -20 X\r\n",
    "HTTP/1.1 2x0 X\r\n",
    "HTTP/1.1  200 X\r\n",
    "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 000 X\r\n",
];

/// Heads in which the name of a field is no token: RFC 9110, section 5.1, allows no blank and no control
/// byte, and RFC 9112, section 5.1, none before the colon.
pub const BROKEN_NAMES: [&str; 22] = [
    "HTTP/1.1 200 X\r\nx note: a\r\n",
    "HTTP/1.1 200 X\r\nx\tnote: a\r\n",
    "HTTP/1.1 200 X\r\nx-note : a\r\n",
    "HTTP/1.1 200 X\r\nx-note  : a\r\n",
    "HTTP/1.1 200 X\r\nx-note\t: a\r\n",
    "HTTP/1.1 200 X\r\n x-note: a\r\n",
    "HTTP/1.1 200 X\r\n\tx-note: a\r\n",
    "HTTP/1.1 200 X\r\nx-first: a\r\n x-note: a\r\n",
    "HTTP/1.1 200 X\r\nx-note\0: a\r\n",
    "HTTP/1.1 200 X\r\nx\u{1}note: a\r\n",
    "HTTP/1.1 200 X\r\nx\u{b}note: a\r\n",
    "HTTP/1.1 200 X\r\nx\rnote: a\r\n",
    "HTTP/1.1 200 X\r\nx-note\r: a\r\n",
    "HTTP/1.1 200 X\r\nx\u{1b}note: a\r\n",
    "HTTP/1.1 200 X\r\nx-note\u{7f}: a\r\n",
    "HTTP/1.1 200 X\r\n: a\r\n",
    "HTTP/1.1 200 X\r\n : a\r\n",
    "HTTP/1.1 200 X\r\nx-note\r\n",
    "HTTP/1.1 200 X\r\ncontent-length : 3\r\n",
    "HTTP/1.1 200 X\r\ncontent length: 3\r\n",
    "HTTP/1.1 200 X\r\ntransfer-encoding : chunked\r\n",
    "HTTP/1.1 103 X\r\nx-note : a\r\n\r\nHTTP/1.1 200 X\r\n",
];
