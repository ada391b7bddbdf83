//! HTTP to runners and to the store.
//!
//! ntex's own client does not show what this needs: whether a failed request was sent, an
//! orderly end of an answer without a length against a reset, and bytes that come after an
//! answer. So connections are ntex's [`ntex::io::Io`] with a codec over `httparse`.

pub mod pool;
pub mod request;
pub mod response_codec;
pub mod upstream;

pub use pool::{ConnectionPool, LearnedIdleLimit};
pub use response_codec::{BodyDecoder, ResponseDecodeError, ResponseHead};
pub use upstream::{open_stream, ConnectError, ReadError, Upstream};

/// A header: name in lower case, and value.
pub type Header = (String, Vec<u8>);

/// Headers that concern one connection only.
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

/// Whether a header concerns one connection only; `named` are those that the connection
/// header names.
pub fn is_hop_by_hop_header(name: &str, options: &[String]) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name) || options.iter().any(|option| option == name)
}

/// The headers that a connection header names, in lower case.
pub fn connection_options(headers: &[Header]) -> Vec<String> {
    let values = headers.iter().filter(|(name, _)| name == "connection");
    let texts = values.filter_map(|(_, value)| std::str::from_utf8(value).ok());
    texts.flat_map(|text| text.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}
