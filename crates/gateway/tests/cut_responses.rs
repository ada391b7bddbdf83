//! Responses whose bytes end at any place.
#![allow(clippy::unwrap_used, missing_docs)]

use ntex::codec::Decoder;
use ntex::util::BytesMut;
use pitchstall_gateway::http::response_codec::{
    BodyDecoder, BodyItem, Framing, ResponseHeadDecoder,
};
use proptest::prelude::*;

/// Serializes a body in chunks of the given parts, with a trailer.
fn chunked(parts: &[Vec<u8>]) -> Vec<u8> {
    let mut wire = Vec::new();
    for part in parts {
        wire.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        wire.extend_from_slice(part);
        wire.extend_from_slice(b"\r\n");
    }
    wire.extend_from_slice(b"0\r\nx-trailer: t\r\n\r\n");
    wire
}

/// What a decoder yields from bytes that arrive in pieces: the body, and whether it has ended.
fn decode(framing: Framing, wire: &[u8], piece_bytes: usize) -> (Vec<u8>, bool) {
    let decoder = BodyDecoder::new(framing);
    let mut source = BytesMut::new();
    let mut body = Vec::new();
    // An empty body of a known length ends before any of its bytes arrives.
    for piece in std::iter::once([].as_slice()).chain(wire.chunks(piece_bytes)) {
        source.extend_from_slice(piece);
        while let Some(item) = decoder.decode(&mut source).unwrap() {
            match item {
                BodyItem::Chunk(bytes) => body.extend_from_slice(&bytes),
                BodyItem::End => return (body, true),
            }
        }
    }
    (body, false)
}

proptest! {
    #[test]
    fn a_body_that_is_cut_at_any_byte_ends_only_where_its_framing_says_so(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..20), 0..6),
        piece_bytes in 1_usize..30,
    ) {
        let body = parts.concat();
        let framed = [
            (Framing::Length(body.len() as u64), body.clone()),
            (Framing::Chunked, chunked(&parts)),
        ];
        for (framing, wire) in framed {
            for cut in 0..=wire.len() {
                let (received, has_ended) = decode(framing, &wire[..cut], piece_bytes);
                prop_assert!(body.starts_with(&received));
                prop_assert_eq!(has_ended, cut == wire.len(), "{:?} cut at {}", framing, cut);
                prop_assert!(!has_ended || received == body);
            }
        }
    }

    #[test]
    fn a_body_without_framing_never_ends_by_itself(
        body in prop::collection::vec(any::<u8>(), 0..100),
        piece_bytes in 1_usize..30,
    ) {
        for cut in 0..=body.len() {
            let received = decode(Framing::UntilClose, &body[..cut], piece_bytes);
            prop_assert_eq!(received, (body[..cut].to_vec(), false));
        }
    }
}

#[test]
fn a_head_that_is_cut_at_any_byte_is_no_head() {
    const HEAD: &[u8] =
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n";
    for cut in 0..HEAD.len() {
        let head = ResponseHeadDecoder::default().decode(&mut BytesMut::from(&HEAD[..cut]));
        assert_eq!(head, Ok(None), "cut at {cut}");
    }
    let head = ResponseHeadDecoder::default().decode(&mut BytesMut::from(HEAD)).unwrap();
    assert_eq!(head.unwrap().framing, Framing::Length(12));
}
