//! Framing of a runner's bytes on their way through another node.
#![allow(clippy::unwrap_used, missing_docs)]

use ntex::util::BytesMut;
use pitchstall_gateway::tunnel::frames::{
    data_header, end_frame, go_away_frame, FrameDecoder, TunnelState,
};
use proptest::prelude::*;
use std::rc::Rc;

fn frame(bytes: &[u8]) -> Vec<u8> {
    [&data_header(bytes.len())[..], bytes].concat()
}

struct Reader {
    state: Rc<TunnelState>,
    decoder: FrameDecoder,
    source: BytesMut,
    target: BytesMut,
}

impl Reader {
    fn new() -> Self {
        let state = Rc::<TunnelState>::default();
        let decoder = FrameDecoder::new(state.clone());
        Self { state, decoder, source: BytesMut::new(), target: BytesMut::new() }
    }

    fn receive(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.source.extend_from_slice(bytes);
        self.decoder.decode(&mut self.source, &mut self.target)
    }
}

proptest! {
    #[test]
    fn bytes_arrive_as_sent_however_they_are_split(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..300), 1..20),
        piece_bytes in 1_usize..100,
    ) {
        let mut wire: Vec<u8> = parts.iter().flat_map(|part| frame(part)).collect();
        wire.extend_from_slice(&end_frame());
        let mut reader = Reader::new();
        for piece in wire.chunks(piece_bytes) {
            prop_assert!(!reader.state.has_ended());
            reader.receive(piece).unwrap();
        }
        prop_assert_eq!(&reader.target[..], &parts.concat()[..]);
        prop_assert!(reader.state.has_ended());
    }
}

#[test]
fn a_connection_that_ends_without_its_last_frame_has_not_ended_in_an_orderly_way() {
    let mut reader = Reader::new();
    reader.receive(&frame(b"half")).unwrap();
    assert!(!reader.state.has_ended());
}

#[test]
fn a_tunnel_of_a_node_that_stops_takes_no_further_request_but_ends_the_current_one() {
    let mut reader = Reader::new();
    reader.receive(&frame(b"first")).unwrap();
    assert!(reader.state.is_reusable());
    reader.receive(&go_away_frame()).unwrap();
    reader.receive(&frame(b" second")).unwrap();
    assert!(!reader.state.is_reusable());
    assert!(!reader.state.has_ended());
    assert_eq!(&reader.target[..], b"first second");
}

#[test]
fn bytes_after_the_last_frame_are_an_error() {
    let mut reader = Reader::new();
    reader.receive(&end_frame()).unwrap();
    assert!(reader.receive(&frame(b"surplus")).is_err());
}
