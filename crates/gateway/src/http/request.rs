//! Encoding of HTTP/1.1 requests.

use super::Header;

/// Encodes a request with its complete body. `headers` must contain the host and no hop-by-hop headers.
pub fn encode_request(method: &str, target: &str, headers: &[Header], body: &[u8]) -> Vec<u8> {
    const USUAL_HEAD_BYTES: usize = 512;
    let mut bytes = Vec::with_capacity(USUAL_HEAD_BYTES + body.len());
    bytes.extend_from_slice(method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    let has_body = !body.is_empty() || !matches!(method, "GET" | "HEAD" | "DELETE");
    if has_body {
        bytes.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}
