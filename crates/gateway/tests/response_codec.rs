//! Decoding of responses whose bytes arrive in pieces of any size.
#![allow(clippy::unwrap_used, missing_docs)]

use ntex::codec::Decoder;
use ntex::util::BytesMut;
use pitchstall_gateway::http::response_codec::{
    BodyDecoder, BodyItem, Framing, ResponseDecodeError, ResponseHeadDecoder, MAX_IDLE_TIMEOUT,
};
use proptest::prelude::*;
use std::time::Duration;
use test_case::test_case;

fn framing(head: &str) -> Result<Framing, ResponseDecodeError> {
    let mut source = BytesMut::from(head);
    ResponseHeadDecoder::default().decode(&mut source).map(|head| head.unwrap().framing)
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", Ok(Framing::Length(5)); "length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n", Ok(Framing::Chunked); "chunks")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", Ok(Framing::UntilClose); "until the connection ends")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", Ok(Framing::Length(0)); "no content")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n", Err(ResponseDecodeError::InvalidLength); "two lengths")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: +5\r\n\r\n", Err(ResponseDecodeError::InvalidLength); "a signed length")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n", Err(ResponseDecodeError::InvalidLength); "two framings")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n", Err(ResponseDecodeError::InvalidLength); "an unknown coding")]
#[test_case("garbage garbage\r\n\r\n", Err(ResponseDecodeError::InvalidHead); "garbage")]
fn ambiguous_framing_is_an_error(head: &str, expected: Result<Framing, ResponseDecodeError>) {
    assert_eq!(framing(head), expected);
}

#[test_case("0", Some(Duration::ZERO); "zero")]
#[test_case("60", Some(Duration::from_secs(60)); "a usual time")]
#[test_case("3601", Some(MAX_IDLE_TIMEOUT); "more than the maximum")]
#[test_case("9223372036854775807", Some(MAX_IDLE_TIMEOUT); "largest signed 64 bit number")]
#[test_case("18446744073709551615", Some(MAX_IDLE_TIMEOUT); "largest 64 bit number")]
#[test_case("18446744073709551616", None; "more than 64 bits")]
#[test_case("-1", None; "negative")]
#[test_case("1e308", None; "a float")]
fn a_stated_idle_timeout_is_bounded(seconds: &str, expected: Option<Duration>) {
    let head =
        format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout={seconds}\r\n\r\n");
    let head =
        ResponseHeadDecoder::default().decode(&mut BytesMut::from(head.as_str())).unwrap().unwrap();
    assert_eq!(head.idle_timeout, expected);
}

/// Guards against a status that HTTP doesn't know, at any cut, in front of a response that looks like a success.
#[test_case("000")]
#[test_case("099")]
#[test_case("600")]
#[test_case("999")]
fn an_unknown_status_is_an_error_in_whatever_pieces_it_arrives(status: &str) {
    let head = format!("HTTP/1.1 {status} Unknown\r\ncontent-length: 0\r\n\r\n");
    let success = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    for cut in 0..=head.len() {
        let decoder = ResponseHeadDecoder::default();
        let mut source = BytesMut::from(&head[..cut]);
        let early = decoder.decode(&mut source);
        source.extend_from_slice(&head.as_bytes()[cut..]);
        source.extend_from_slice(success.as_bytes());
        let decoded =
            early.and_then(|it| it.map_or_else(|| decoder.decode(&mut source), |it| Ok(Some(it))));
        assert_eq!(decoded, Err(ResponseDecodeError::InvalidStatus), "cut at {cut}");
    }
}

#[test]
fn interim_responses_are_skipped() {
    let mut source = BytesMut::from(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\ncontent-length: 0\r\n\r\n",
    );
    assert_eq!(ResponseHeadDecoder::default().decode(&mut source).unwrap().unwrap().status, 201);
}

#[test]
fn a_head_without_an_end_is_rejected_at_the_size_limit() {
    let mut source = BytesMut::from("HTTP/1.1 200 OK\r\nx: ");
    source.extend_from_slice(&[b'x'; 70_000]);
    assert_eq!(
        ResponseHeadDecoder::default().decode(&mut source),
        Err(ResponseDecodeError::HeadTooLarge)
    );
}

/// Decodes bytes that arrive in pieces, and returns the body and whether it has ended.
fn decode(
    framing: Framing,
    bytes: &[u8],
    piece: usize,
) -> Result<(Vec<u8>, bool), ResponseDecodeError> {
    let decoder = BodyDecoder::new(framing);
    let mut source = BytesMut::new();
    let mut body = Vec::new();
    for bytes in bytes.chunks(piece) {
        source.extend_from_slice(bytes);
        while let Some(item) = decoder.decode(&mut source)? {
            match item {
                BodyItem::Chunk(bytes) => body.extend_from_slice(&bytes),
                BodyItem::End => return Ok((body, true)),
            }
        }
    }
    Ok((body, false))
}

proptest! {
    #[test]
    fn chunks_are_joined_however_they_are_split(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..10),
        piece in 1_usize..50,
    ) {
        let mut bytes = Vec::new();
        for chunk in &chunks {
            bytes.extend_from_slice(format!("{:X};ext=1\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\ntrailer: x\r\n\r\n");
        prop_assert_eq!(decode(Framing::Chunked, &bytes, piece), Ok((chunks.concat(), true)));
        // Without its last byte, the body has not ended.
        let cut = &bytes[..bytes.len() - 1];
        prop_assert_eq!(decode(Framing::Chunked, cut, piece).map(|(_, ended)| ended), Ok(false));
    }

    #[test]
    fn no_bytes_make_the_decoders_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), piece in 1_usize..50) {
        let _ = ResponseHeadDecoder::default().decode(&mut BytesMut::from(bytes.as_slice()));
        let _ = decode(Framing::Chunked, &bytes, piece);
    }
}

#[test]
fn a_chunk_longer_than_its_declared_size_is_an_error() {
    assert_eq!(
        decode(Framing::Chunked, b"2\r\nabc\r\n0\r\n\r\n", 100),
        Err(ResponseDecodeError::InvalidChunk)
    );
}

/// Feeds pieces of 100 bytes to a decoder and returns its first result and the number of bytes that it was given.
fn decode_head_in_pieces(bytes: &[u8]) -> (Result<u16, ResponseDecodeError>, usize) {
    const PIECE_BYTES: usize = 100;
    let decoder = ResponseHeadDecoder::default();
    let mut source = BytesMut::new();
    let mut given = 0;
    for piece in bytes.chunks(PIECE_BYTES) {
        source.extend_from_slice(piece);
        given += piece.len();
        if let Some(result) = decoder.decode(&mut source).transpose() {
            return (result.map(|head| head.status), given);
        }
    }
    (Ok(0), given)
}

#[test_case(64 * 1024, Ok(201); "of the maximum size pass")]
#[test_case(64 * 1024 + 1, Err(ResponseDecodeError::HeadTooLarge); "above the maximum size are cut")]
fn a_head_and_its_interim_heads(length: usize, expected: Result<u16, ResponseDecodeError>) {
    const INTERIM: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
    const FINAL: &[u8] = b"HTTP/1.1 201 Created\r\nx-padding: ";
    let mut bytes = INTERIM.repeat(1_000);
    bytes.extend_from_slice(FINAL);
    bytes.resize(length - 4, b'x');
    bytes.extend_from_slice(b"\r\n\r\n");
    assert_eq!(bytes.len(), length);
    assert_eq!(decode_head_in_pieces(&bytes).0, expected);
}

#[test]
fn interim_heads_without_end_are_read_up_to_the_maximum_size_of_a_head() {
    let bytes = b"HTTP/1.1 102 Processing\r\n\r\n".repeat(10_000);
    let (result, given) = decode_head_in_pieces(&bytes);
    assert_eq!(result, Err(ResponseDecodeError::HeadTooLarge));
    assert!(given <= 64 * 1024 + 200, "{given} bytes");
}

#[test]
fn a_malformed_line_of_a_head_is_found_once_it_is_complete() {
    let bytes = b"HTTP/1.1 200 OK\r\nx-a: 1\r\nno header\r\n".as_slice();
    for split in 1..bytes.len() {
        let decoder = ResponseHeadDecoder::default();
        let mut source = BytesMut::from(&bytes[..split]);
        let first = decoder.decode(&mut source);
        source.extend_from_slice(&bytes[split..]);
        let result = first.and_then(|_| decoder.decode(&mut source));
        assert_eq!(result, Err(ResponseDecodeError::InvalidHead), "split at {split}");
    }
}

#[test_case(64 * 1024, Ok((b"ok".to_vec(), true)); "of the maximum size pass")]
#[test_case(64 * 1024 + 1, Err(ResponseDecodeError::HeadTooLarge); "above the maximum size are cut")]
fn trailers(length: usize, expected: Result<(Vec<u8>, bool), ResponseDecodeError>) {
    const LINE: &[u8] = b"x-trailer: 01234567890123456789\r\n";
    let mut bytes = b"2\r\nok\r\n0\r\n".to_vec();
    bytes.extend_from_slice(&LINE.repeat(length / LINE.len() - 1));
    let head_bytes = b"2\r\nok\r\n0\r\n".len();
    bytes.resize(head_bytes + length - 2, b'x');
    bytes.extend_from_slice(b"\r\n\r\n");
    assert_eq!(decode(Framing::Chunked, &bytes, 1_000), expected);
}
