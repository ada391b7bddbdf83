//! HTTP/1.1 client for runners and the store.
//!
//! The HTTP client of ntex does not report whether a failed request was sent, does not distinguish an
//! orderly close from a reset at the end of a response without a length, and hides bytes that follow a
//! response. This client therefore uses [`ntex::io::Io`] with a codec based on `httparse`.

pub mod pool;
pub mod request;
pub mod response_codec;
pub mod response_limit;
pub mod upstream;

pub use pool::{ConnectionPool, LearnedIdleLimit};
pub use response_codec::{BodyDecoder, ResponseDecodeError, ResponseHead};
pub use response_limit::{ResponsePart, ResponseTooLong};
pub use upstream::{
    open_stream, BodyEnd, BodyPart, ConnectError, OpenResponse, PendingResponse, ReadError,
    Upstream,
};

/// A header: its name in lower case and its value.
pub type Header = (String, Vec<u8>);

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Whether a header applies to a single connection only. `options` are the names that the `connection`
/// header lists (see [`connection_options`]).
pub fn is_hop_by_hop_header(name: &str, options: &[String]) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name) || options.iter().any(|option| option == name)
}

/// The header names that the `connection` headers list, in lower case.
pub fn connection_options(headers: &[Header]) -> Vec<String> {
    let values = headers.iter().filter(|(name, _)| name == "connection");
    let texts = values.filter_map(|(_, value)| std::str::from_utf8(value).ok());
    texts.flat_map(|text| text.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}
