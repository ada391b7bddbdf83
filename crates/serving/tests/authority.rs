//! Acquiring and holding the authority over one subject on one node.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::authority::{
    AuthorityHolder, AuthorityStep, AuthoritySubject, AuthorityTerm, FencingToken, LeaseTimes,
};
use pitchstall_serving::ids::{RegionId, ZoneId};
use pitchstall_serving::store_revision::{RevisionNumber, StoreEra, StoreLease, StoreRevision};
use pitchstall_serving::topology::Topology;

const SECOND: u64 = 1_000_000;
const TIMES: LeaseTimes = LeaseTimes { ttl_us: 3 * SECOND, separation_us: SECOND };
const LEASE: StoreLease = StoreLease { era: StoreEra::UNKNOWN, number: 77 };

fn fence(number: u64) -> FencingToken {
    FencingToken::new(StoreRevision::without_era(number))
}

fn holder_since(now_us: u64) -> AuthorityHolder {
    let mut holder = AuthorityHolder::default();
    let term = AuthorityTerm::new(fence(9), now_us, now_us, TIMES);
    holder.on_acquired(LEASE, term, now_us, TIMES);
    holder
}

/// Number of polls until `until_us`, with the jitter at `jitter_fraction`.
fn count_polls(holder: &mut AuthorityHolder, until_us: u64, jitter_fraction: f64) -> usize {
    let (mut now_us, mut count_polls) = (0, 0);
    while now_us < until_us {
        match holder.step(now_us, jitter_fraction) {
            AuthorityStep::Wait(us) => now_us += us,
            AuthorityStep::Poll => count_polls += 1,
            other => unreachable!("{other:?} without a lease"),
        }
    }
    count_polls
}

#[test]
fn a_node_polls_often_until_it_has_observed_a_holder() {
    let mut holder = AuthorityHolder::default();
    assert!(count_polls(&mut holder, 9 * SECOND, 0.5) > 10);
    let mut later = AuthorityHolder::default();
    later.on_holder_observed();
    assert!((2..=4).contains(&count_polls(&mut later, 9 * SECOND, 0.5)));
}

#[test]
fn a_lease_is_renewed_three_times_per_ttl_and_sooner_after_a_failure() {
    let mut holder = holder_since(0);
    assert!(matches!(holder.step(SECOND / 2, 0.5), AuthorityStep::Wait(_)));
    assert_eq!(holder.step(SECOND, 0.5), AuthorityStep::Renew(LEASE));
    assert!(
        matches!(holder.step(SECOND + 1, 0.5), AuthorityStep::Wait(_)),
        "a renewal is not repeated at once"
    );
    assert_eq!(holder.step(SECOND + 400_000, 0.5), AuthorityStep::Renew(LEASE));
    assert!(!holder.on_renewed(SECOND + 400_000, SECOND + 500_000, TIMES));
    assert!(matches!(holder.step(2 * SECOND, 0.5), AuthorityStep::Wait(_)));
}

#[test]
fn an_expired_term_issues_no_orders_and_continues_once_its_lease_is_renewed() {
    let mut holder = holder_since(0);
    assert_eq!(holder.fence_for_orders(SECOND / 2), None, "the separation is not over");
    assert_eq!(holder.fence_for_orders(2 * SECOND), Some(fence(9)));
    assert!(!holder.check_expiry(2 * SECOND));
    assert!(holder.check_expiry(4 * SECOND));
    assert!(!holder.check_expiry(4 * SECOND), "expiry is reported once");
    assert_eq!((holder.fence_for_orders(4 * SECOND), holder.fence()), (None, Some(fence(9))));
    assert!(holder.on_renewed(5 * SECOND, 5 * SECOND, TIMES));
    assert_eq!(holder.fence_for_orders(5 * SECOND), Some(fence(9)));
}

#[test]
fn a_holder_whose_order_was_rejected_steps_down() {
    let mut holder = holder_since(0);
    holder.on_refused(fence(8));
    assert_eq!(holder.fence_for_orders(2 * SECOND), Some(fence(9)), "that was an earlier term");
    holder.on_refused(fence(9));
    assert_eq!((holder.fence_for_orders(2 * SECOND), holder.fence()), (None, None));
    assert_eq!(holder.step(2 * SECOND, 0.5), AuthorityStep::StepDown(LEASE));
    assert_eq!(holder.on_lost(), Some((LEASE, fence(9))));
    assert!(matches!(holder.step(2 * SECOND, 0.5), AuthorityStep::Wait(_)));
}

/// The lease may no longer exist or may belong to another holder, so it is neither renewed nor
/// revoked.
#[test]
fn a_later_store_era_ends_the_term() {
    let mut holder = holder_since(0);
    assert_eq!(holder.on_later_era(), Some(fence(9)));
    assert_eq!((holder.fence_for_orders(2 * SECOND), holder.fence()), (None, None));
    assert!(count_polls(&mut holder, 9 * SECOND, 0.5) > 10, "the key may have no holder");
    assert_eq!(holder.on_later_era(), None);
}

#[test]
fn fencing_tokens_of_a_later_era_are_higher() {
    let of_era = |era, number| {
        let era = StoreEra::from_reported(era).unwrap();
        FencingToken::new(StoreRevision::new(era, RevisionNumber(number))).number()
    };
    assert!(of_era(1, 1) > of_era(0, 1 << 39));
    assert!(of_era(2, 5) > of_era(1, 900));
    assert_eq!(of_era(0, 7), fence(7).number(), "tokens of the first era are plain revisions");
    assert!(of_era(8_000, 1) < 1 << 53);
}

fn topology(zones: &[(&str, &str)]) -> Topology {
    Topology::new(zones.iter().map(|(zone, region)| (ZoneId::new(*zone), RegionId::new(*region))))
}

#[test]
fn roles_have_one_subject_per_region_only_with_several_regions() {
    let own = RegionId::new("here");
    let of = |zones: &[(&str, &str)]| AuthoritySubject::for_roles(&topology(zones), &own);
    assert_eq!(of(&[]), AuthoritySubject::Fleet);
    assert_eq!(of(&[("a", "here"), ("b", "here")]), AuthoritySubject::Fleet);
    let several = of(&[("a", "here"), ("b", "there")]);
    assert_eq!(several, AuthoritySubject::Roles(own.clone()));
    assert_eq!(several.region(), Some(&own));
}
