//! Serializes the head of a response that the end of its connection delimits.

use ntex::codec::Encoder;
use ntex::http::body::BodySize;
use ntex::http::error::EncodeError;
use ntex::http::h1::{Codec, Message};
use ntex::http::{ConnectionType, Response};
use ntex::util::{BytePageSize, BytePages};

const LINE_END: &[u8] = b"\r\n";
const CONNECTION_CLOSE: &[u8] = b"connection: close\r\n";

/// Serializes a head without a length and without transfer coding, for a client that speaks HTTP/1.0. From now on `codec`
/// passes the body on as it is, and its connection counts as one that is closed after the response.
pub fn encode_unframed_head(
    codec: &Codec,
    mut response: Response<()>,
) -> Result<Vec<u8>, EncodeError> {
    response.head_mut().no_chunking(true);
    response.head_mut().set_connection_type(ConnectionType::Close);
    let mut pages = BytePages::new(BytePageSize::default());
    codec.encodev(Message::Item((response, BodySize::Stream)), &mut pages)?;
    Ok(with_connection_close(&pages.freeze()))
}

/// Adds `connection: close` after the status line. The codec writes it to clients of HTTP/1.1 only.
fn with_connection_close(head: &[u8]) -> Vec<u8> {
    let line_end = head.windows(LINE_END.len()).position(|window| window == LINE_END);
    let status_line_bytes = line_end.map_or(head.len(), |position| position + LINE_END.len());
    let (status_line, headers) = head.split_at(status_line_bytes);
    [status_line, CONNECTION_CLOSE, headers].concat()
}
