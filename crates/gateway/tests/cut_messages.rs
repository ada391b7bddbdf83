//! Messages of the store and of other nodes whose connection ends at any byte, in an orderly way or with a reset.
#![allow(clippy::unwrap_used, clippy::panic, missing_docs)]

mod support;

use ntex::util::Bytes;
use pitchstall_gateway::compression::compress;
use pitchstall_gateway::http::{open_stream, Upstream};
use pitchstall_gateway::json_lines::read_line;
use pitchstall_gateway::node::Node;
use pitchstall_gateway::peer_messages::PeerSocket;
use pitchstall_gateway::platform_client::PlatformClient;
use pitchstall_gateway::replication::ReplicationClient;
use pitchstall_gateway::settings::Settings;
use pitchstall_gateway::store_pages::{read_pages, ListingError};
use pitchstall_gateway::transfer::Transfer;
use pitchstall_gateway::tunnel::frames::{data_header, end_frame};
use pitchstall_platform_adapter::store::{self, Page};
use pitchstall_serving::ids::NodeId;
use pitchstall_serving::store_replica::{
    StoreEntry, StoreUpdate, StoreUpdateQuery, StoreUpdateReply, Subject,
};
use pitchstall_serving::store_revision::{RevisionNumber, StoreEra};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use support::cut_server::{ConnectionEnd, CutServer};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(10);
const ENDS: [ConnectionEnd; 2] = [ConnectionEnd::Orderly, ConnectionEnd::Reset];

/// Makes an attempt to read a message for each number of bytes after which it is cut, and for each end of the connection,
/// and then for the whole message. Returns the result of the last attempt.
async fn read_whole_after_cuts<T, E>(
    message: &[u8],
    read: impl AsyncFn(SocketAddr) -> Result<T, E>,
) -> Result<T, E> {
    let server = CutServer::start(message.to_vec());
    for end in ENDS {
        for cut in 0..message.len() {
            server.cut_at(cut, end);
            let is_accepted = read(server.address()).await.is_ok();
            assert!(!is_accepted, "accepted with {cut} of {} bytes, {end:?}", message.len());
        }
    }
    server.cut_at(message.len(), ConnectionEnd::Orderly);
    read(server.address()).await
}

fn with_length(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn in_chunks(body: &str) -> Vec<u8> {
    let (first, second) = body.split_at(body.len() / 2);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    // An empty chunk would end the body.
    let parts = [first, second].into_iter().filter(|part| !part.is_empty());
    let chunks: String = parts.map(chunk).collect();
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n").into_bytes()
}

fn without_framing(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n\r\n{body}").into_bytes()
}

#[derive(Debug)]
struct ReadFailed;

impl From<ListingError> for ReadFailed {
    fn from(_: ListingError) -> Self {
        Self
    }
}

async fn read_runners(store: SocketAddr) -> Result<Page, ReadFailed> {
    let mut client = PlatformClient::default();
    read_pages(async |after| {
        let call = store::read_range(store::RUNNERS_PREFIX, after.as_deref());
        let response = client.call(store, &call, TIMEOUT).await.map_err(|_| ReadFailed)?;
        store::parse_page(&response.body).map_err(|_| ReadFailed)
    })
    .await
}

#[test_case(with_length; "with a length")]
#[test_case(in_chunks; "in chunks")]
#[test_case(without_framing; "without framing")]
#[ntex::test]
async fn a_page_of_the_store_that_is_cut_is_no_list(framed: fn(&str) -> Vec<u8>) {
    const PAGE: &str = r#"{"at":9,"more":false,"items":[{"key_file":"servers/a","value":"e30=","revision":1},{"key_file":"servers/b","value":"e30=","revision":2}]}"#;
    let page = read_whole_after_cuts(&framed(PAGE), read_runners).await.unwrap();
    assert_eq!(page.items.len(), 2);
}

/// Calls such as orders, writes and releases count by the status alone, which a whole head proves.
#[test_case(with_length; "with a length")]
#[test_case(in_chunks; "in chunks")]
#[test_case(without_framing; "without framing")]
#[ntex::test]
async fn a_response_without_a_body_that_is_cut_is_no_success(framed: fn(&str) -> Vec<u8>) {
    let call = store::revoke_lease(1);
    let read = async |address| {
        PlatformClient::default().call(address, &call, TIMEOUT).await.map(|it| it.status)
    };
    assert_eq!(read_whole_after_cuts(&framed(""), read).await.unwrap(), 200);
}

#[ntex::test]
async fn a_line_that_is_cut_before_its_end_is_no_message() {
    let read = async |address| {
        let io = open_stream(address, TIMEOUT).await.unwrap();
        io.encode_bytes(Bytes::from_static(b"query\n")).unwrap();
        read_line::<u64>(&io).await
    };
    // Without its line end, each shorter line would be a smaller number.
    assert_eq!(read_whole_after_cuts(b"123456\n", read).await.unwrap(), 123_456);
}

fn update() -> StoreUpdate {
    let entry = |number: u64| StoreEntry {
        key: format!("servers/{number}"),
        document: Some("a document".repeat(20)),
        revision: RevisionNumber(number),
    };
    StoreUpdate {
        era: StoreEra::UNKNOWN,
        known_to: RevisionNumber(3),
        is_snapshot: true,
        entries: (1..=3).map(entry).collect(),
    }
}

fn reply(update: Option<StoreUpdate>) -> StoreUpdateReply {
    let is_compressed = update.is_none();
    StoreUpdateReply { update, is_compressed, is_obtaining: false, age_ms: Some(1) }
}

fn line(message: &impl serde::Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap();
    line.push(b'\n');
    line
}

fn plain_reply() -> Vec<u8> {
    line(&reply(Some(update())))
}

fn compressed_reply() -> Vec<u8> {
    let compressed = compress(&serde_json::to_vec(&update()).unwrap()).unwrap();
    let header = line(&serde_json::json!({ "bytes": compressed.len() }));
    [line(&reply(None)), header, compressed.to_vec()].concat()
}

async fn new_node() -> Rc<Node> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.toml");
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    Node::new(Settings::read(&path).unwrap(), PeerSocket::new(Rc::new(socket)))
}

#[test_case(plain_reply; "in a line")]
#[test_case(compressed_reply; "compressed after its line")]
#[ntex::test]
async fn a_replica_of_another_node_that_is_cut_is_no_replica(message: fn() -> Vec<u8>) {
    let node = new_node().await;
    let query = StoreUpdateQuery::new(Subject::Runners, None, 0);
    let read = async |address| {
        let mut client = ReplicationClient::with_transfer(Rc::<Transfer>::default());
        client.query(&node, address, &query).await
    };
    let reply = read_whole_after_cuts(&message(), read).await.unwrap();
    assert_eq!(reply.update, Some(update()));
}

/// Sends the bytes of a runner through a tunnel, in two frames and the one that ends the tunnel.
fn tunnelled(bytes: &[u8]) -> Vec<u8> {
    let (first, second) = bytes.split_at(bytes.len() / 2);
    let frame = |bytes: &[u8]| [&data_header(bytes.len())[..], bytes].concat();
    [frame(first), frame(second), end_frame().to_vec()].concat()
}

async fn read_through_tunnel(
    address: SocketAddr,
) -> Result<(), pitchstall_gateway::http::ReadError> {
    const MAX_BODY_BYTES: usize = 1_024;
    let io = open_stream(address, TIMEOUT).await.unwrap();
    let connection = Upstream::through(io, NodeId::new("node-2"));
    let response = connection.send(b"GET / HTTP/1.1\r\n\r\n".to_vec())?.read_head().await?;
    response.discard_body(MAX_BODY_BYTES).await
}

/// Guards against the end of the node in between that is taken for the end of the runner's response.
#[ntex::test]
async fn a_response_without_framing_whose_tunnel_is_cut_is_not_whole() {
    let message = tunnelled(&without_framing("twelve bytes"));
    // What the end of the whole tunnel means for such a response is judged elsewhere.
    let _ = read_whole_after_cuts(&message, read_through_tunnel).await;
}

#[test_case(with_length; "with a length")]
#[test_case(in_chunks; "in chunks")]
#[ntex::test]
async fn a_response_whose_tunnel_is_cut_before_its_last_byte_is_not_whole(
    framed: fn(&str) -> Vec<u8>,
) {
    let bytes = framed("twelve bytes");
    let without_end = tunnelled(&bytes);
    let message = &without_end[..without_end.len() - end_frame().len()];
    read_whole_after_cuts(message, read_through_tunnel).await.unwrap();
}
