//! One node's way to and through the authority over one subject.
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

fn gained(now_us: u64) -> AuthorityHolder {
    let mut holder = AuthorityHolder::default();
    let term = AuthorityTerm::new(fence(9), now_us, now_us, TIMES);
    holder.on_gained(LEASE, term, now_us, TIMES);
    holder
}

/// Looks in a time, each by the longest wait or the shortest.
fn looks(holder: &mut AuthorityHolder, until_us: u64, chance: f64) -> usize {
    let (mut now_us, mut looks) = (0, 0);
    while now_us < until_us {
        match holder.step(now_us, chance) {
            AuthorityStep::Wait(us) => now_us += us,
            AuthorityStep::Look => looks += 1,
            other => unreachable!("{other:?} without a lease"),
        }
    }
    looks
}

#[test]
fn a_node_looks_often_until_it_has_seen_a_holder_and_seldom_from_then_on() {
    let mut holder = AuthorityHolder::default();
    assert!(looks(&mut holder, 9 * SECOND, 0.5) > 10);
    let mut later = AuthorityHolder::default();
    later.on_holder_seen();
    assert!((2..=4).contains(&looks(&mut later, 9 * SECOND, 0.5)));
}

#[test]
fn a_lease_is_renewed_three_times_in_its_life_and_sooner_after_a_failure() {
    let mut holder = gained(0);
    assert!(matches!(holder.step(SECOND / 2, 0.5), AuthorityStep::Wait(_)));
    assert_eq!(holder.step(SECOND, 0.5), AuthorityStep::Renew(LEASE));
    assert!(matches!(holder.step(SECOND + 1, 0.5), AuthorityStep::Wait(_)), "once is enough");
    assert_eq!(holder.step(SECOND + 400_000, 0.5), AuthorityStep::Renew(LEASE));
    assert!(!holder.on_renewed(SECOND + 400_000, SECOND + 500_000, TIMES));
    assert!(matches!(holder.step(2 * SECOND, 0.5), AuthorityStep::Wait(_)));
}

#[test]
fn a_term_that_ran_out_orders_nothing_and_goes_on_once_its_lease_is_renewed() {
    let mut holder = gained(0);
    assert_eq!(holder.fence_to_order(SECOND / 2), None, "orders are a separation apart");
    assert_eq!(holder.fence_to_order(2 * SECOND), Some(fence(9)));
    assert!(!holder.has_run_out(2 * SECOND));
    assert!(holder.has_run_out(4 * SECOND));
    assert!(!holder.has_run_out(4 * SECOND), "it is said once");
    assert_eq!((holder.fence_to_order(4 * SECOND), holder.fence()), (None, Some(fence(9))));
    assert!(holder.on_renewed(5 * SECOND, 5 * SECOND, TIMES));
    assert_eq!(holder.fence_to_order(5 * SECOND), Some(fence(9)));
}

#[test]
fn a_holder_whose_order_was_refused_steps_down() {
    let mut holder = gained(0);
    holder.on_refused(fence(8));
    assert_eq!(holder.fence_to_order(2 * SECOND), Some(fence(9)), "that was an earlier term");
    holder.on_refused(fence(9));
    assert_eq!((holder.fence_to_order(2 * SECOND), holder.fence()), (None, None));
    assert_eq!(holder.step(2 * SECOND, 0.5), AuthorityStep::StepDown(LEASE));
    assert_eq!(holder.on_lost(), Some((LEASE, fence(9))));
    assert!(matches!(holder.step(2 * SECOND, 0.5), AuthorityStep::Wait(_)));
}

/// Its lease may be gone, or another holder's: it is neither renewed nor ended.
#[test]
fn a_holder_gives_its_term_up_once_the_store_has_come_back_older() {
    let mut holder = gained(0);
    assert_eq!(holder.on_later_era(), Some(fence(9)));
    assert_eq!((holder.fence_to_order(2 * SECOND), holder.fence()), (None, None));
    assert!(looks(&mut holder, 9 * SECOND, 0.5) > 10, "nobody may hold the key");
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
    assert_eq!(of_era(0, 7), fence(7).number(), "nothing changes where no later era has begun");
    assert!(of_era(8_000, 1) < 1 << 53);
}

fn topology(zones: &[(&str, &str)]) -> Topology {
    Topology::new(zones.iter().map(|(zone, region)| (ZoneId::new(*zone), RegionId::new(*region))))
}

#[test]
fn roles_have_a_subject_a_region_only_where_several_regions_are_told() {
    let own = RegionId::new("here");
    let of = |zones: &[(&str, &str)]| AuthoritySubject::of_roles(&topology(zones), &own);
    assert_eq!(of(&[]), AuthoritySubject::Fleet);
    assert_eq!(of(&[("a", "here"), ("b", "here")]), AuthoritySubject::Fleet);
    let several = of(&[("a", "here"), ("b", "there")]);
    assert_eq!(several, AuthoritySubject::Roles(own.clone()));
    assert_eq!(several.region(), Some(&own));
}
