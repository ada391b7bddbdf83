//! HTTP to runners and to the store.
//!
//! ntex's own client does not show what this needs: whether a failed request was sent, an
//! orderly end of an answer without a length against a reset, and bytes that come after an
//! answer. So connections are ntex's [`ntex::io::Io`] with a codec over `httparse`.

pub mod pool;
pub mod request;
pub mod response_codec;
pub mod upstream;

pub use pool::{ConnectionPool, TrustedRest};
pub use response_codec::{AnswerFault, AnswerHead, BodyDecoder};
pub use upstream::{open_stream, ConnectFailure, ReadFailure, Upstream};

/// A header: name in lower case, and value.
pub type Header = (String, Vec<u8>);

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 9] = [
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
pub fn is_connection_header(name: &str, named: &[String]) -> bool {
    CONNECTION_HEADERS.contains(&name) || named.iter().any(|other| other == name)
}

/// The headers that a connection header names, in lower case.
pub fn named_by_connection(headers: &[Header]) -> Vec<String> {
    let values = headers.iter().filter(|(name, _)| name == "connection");
    let texts = values.filter_map(|(_, value)| std::str::from_utf8(value).ok());
    texts.flat_map(|text| text.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}
