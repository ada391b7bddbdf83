//! Compares the heads of successful responses with what the same life of a runner has sent before.

use crate::attempt::AttemptResponse;
use crate::http::response_codec::Framing;
use crate::http::{connection_options, is_hop_by_hop_header, ResponseHead};
use crate::node::Node;
use pitchstall_serving::framing_habit::{HeadDamage, ResponseKind, UnframedHead};

/// Takes note of a response's head if its status is a success, and judges one without framing, which is logged.
pub fn check(
    node: &Node,
    request: &str,
    response: &AttemptResponse,
    kind: ResponseKind,
) -> Result<(), HeadDamage> {
    if !response.is_successful() {
        return Ok(());
    }
    let (runner, head) = (&response.record.id, response.head());
    // A status without a body shows nothing about the framing of bodies.
    if head.has_framing_header() {
        node.fleet.borrow_mut().on_framed_response(runner, kind, &end_to_end_names(head));
    }
    if head.framing != Framing::UntilClose {
        return Ok(());
    }
    let habit = node.fleet.borrow().framing_habit(runner, kind).name();
    let judged = judge(node, response, kind);
    let damage = judged.map_or_else(HeadDamage::name, |()| "none");
    let (runner, announced) = (runner.as_str(), head.announces_end);
    log::info!(target: "attempt", request, runner, habit, announced, damage; "response without framing");
    judged
}

/// Judges the head of a response without framing by what is known of its runner now.
pub fn judge(
    node: &Node,
    response: &AttemptResponse,
    kind: ResponseKind,
) -> Result<(), HeadDamage> {
    if !response.is_successful() {
        return Ok(());
    }
    let head = response.head();
    let unframed =
        UnframedHead { names: end_to_end_names(head), announces_end: head.announces_end };
    node.fleet.borrow().framing_habit(&response.record.id, kind).check_head(&unframed)
}

/// Whether an empty response that has ended with its connection may be whole. `is_rest` tells whether it is what is left of
/// a stream after an event.
pub fn may_be_empty(
    node: &Node,
    response: &AttemptResponse,
    kind: ResponseKind,
    is_rest: bool,
) -> bool {
    let habit = node.fleet.borrow().framing_habit(&response.record.id, kind);
    !response.is_successful() || habit.allows_empty(is_rest, response.head().announces_end)
}

/// Takes note of a response that has ended with its connection and is proven to be whole.
pub fn on_proven(node: &Node, response: &AttemptResponse, kind: ResponseKind) {
    if response.is_successful() {
        let announces_end = response.head().announces_end;
        node.fleet.borrow_mut().on_unframed_response(&response.record.id, kind, announces_end);
    }
}

/// Names of a head's headers without those that concern its connection or its framing.
fn end_to_end_names(head: &ResponseHead) -> Vec<&str> {
    let options = connection_options(&head.headers);
    let names = head.headers.iter().map(|(name, _)| name.as_str());
    names.filter(|name| !is_hop_by_hop_header(name, &options)).collect()
}
