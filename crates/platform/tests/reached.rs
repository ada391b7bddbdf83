//! What a failed request proves, against a server that misbehaves.
#![allow(clippy::unwrap_used, missing_docs)]

use ntex::util::stream_recv;
use pitchstall_platform::http::{how_far, new_client, Reached};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Answers the first request of each connection and closes after reading the second.
fn answer_once_then_close(mut stream: TcpStream) {
    let mut buffer = [0_u8; 4_096];
    if stream.read(&mut buffer).unwrap_or(0) > 0 {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
    }
    let _ = stream.read(&mut buffer);
}

fn closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer_once_then_close(stream));
        }
    });
    address
}

#[ntex::test]
async fn a_request_read_on_a_kept_connection_may_have_run() {
    let url = format!("http://{}/", closing_server());
    let client = new_client().await.unwrap();
    let mut answer = client.get(&url).send().await.unwrap();
    while stream_recv(&mut answer).await.is_some() {}
    let error = client.post(&url).send_body("booking").await.unwrap_err();
    assert_eq!(how_far(&error), Reached::Perhaps, "{error:?}");
}

#[ntex::test]
async fn a_refused_connection_proves_that_nothing_ran() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let client = new_client().await.unwrap();
    let error = client.get(format!("http://{address}/")).send().await.unwrap_err();
    assert_eq!(how_far(&error), Reached::Nowhere, "{error:?}");
}
