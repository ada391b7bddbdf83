//! Checks that nodes end no stream whose runner goes on with it.

use crate::fleet::REQUEST_DEADLINE_MS;
use crate::history::{Outcome, RequestKind};
use crate::indexed_history::History;

const MICROS_PER_MILLI: u64 = 1_000;
const BAD_GATEWAY: u16 = 502;

/// Streams that a node in contact ended before their deadline although every runner that ran them went on, whatever was
/// reloaded, configured or drained meanwhile.
pub(crate) fn streams_cut_by_their_node(history: &History) -> Vec<String> {
    let mut cut = Vec::new();
    for (request, exchange) in &history.exchanges {
        let was_ended_by_node = match exchange.outcome {
            Outcome::Disconnected => true,
            Outcome::Complete { status, .. } => *status == BAD_GATEWAY,
            Outcome::Malformed | Outcome::NotSent => false,
        };
        let (from_us, to_us) = (exchange.sent_us, exchange.ended_us);
        let has_time_left = to_us < from_us + REQUEST_DEADLINE_MS * MICROS_PER_MILLI;
        if exchange.kind == RequestKind::ResumableStream
            && was_ended_by_node
            && has_time_left
            && history.was_run_without_abort(request)
            && !history.did_runner_crash(from_us, to_us)
            && history.was_in_contact(exchange.node, from_us, to_us)
            && !history.were_links_cut(exchange.node, from_us, to_us)
        {
            cut.push(format!(
                "{request}: ended by node {} though its runner went on",
                exchange.node
            ));
        }
    }
    cut
}
