//! Policy programs restrict the choice of zones, and programs that misbehave are rejected.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_policy::{PolicyDecision, PolicyEngine, PolicyError, PolicyInput};
use pitchstall_serving::ids::ZoneId;
use std::collections::BTreeSet;
use test_case::test_case;

fn run_policy(source: &str) -> Result<PolicyDecision, PolicyError> {
    let engine = PolicyEngine::new();
    let zones: BTreeSet<ZoneId> = ["a".into(), "b".into()].into();
    let input = PolicyInput {
        host: "booking.example",
        service: &"s".into(),
        prompt_tokens: 10,
        max_tokens: 10,
        zone: &"a".into(),
        zones: &zones,
        priority: 2,
    };
    let policy = engine.compile(source)?;
    engine.run(&policy, &input)
}

#[test]
fn a_policy_narrows() {
    let narrowed = run_policy("#{ zones: zones.filter(|other| other != zone) }").unwrap();
    assert_eq!(narrowed.zones, Some(["b".into()].into()));
    let unmoved = run_policy("if prompt_tokens > 100 { #{ priority: 1 } }").unwrap();
    assert_eq!(unmoved, PolicyDecision::default());
    let urgent = run_policy("if host == \"booking.example\" { #{ priority: 0 } }").unwrap();
    assert_eq!((urgent.zones, urgent.priority), (None, Some(0)));
}

#[test]
fn the_example_keeps_bookings_in_their_zone() {
    let program = include_str!("../../../examples/stay-in-zone.rhai");
    assert_eq!(run_policy(program).unwrap().zones, Some(["a".into()].into()));
}

#[test_case("#{ zones: [\"c\"] }"; "a forbidden zone")]
#[test_case("loop { }"; "a loop")]
#[test_case("let x = \"x\"; loop { x += x; }"; "a string that grows")]
#[test_case("eval(\"1\")"; "eval")]
#[test_case("import \"os\" as os;"; "a module")]
#[test_case("fn f(n) { f(n + 1) } f(0)"; "endless recursion")]
#[test_case("#{ zones: 4 }"; "another shape")]
#[test_case("#{ zone"; "no program")]
fn a_policy_that_misbehaves_is_refused(source: &str) {
    assert!(run_policy(source).is_err());
}
