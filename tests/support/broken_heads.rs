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
