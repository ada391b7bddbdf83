//! Numbers of other nodes that no computation can hold, decoded and used. Tests are built with checks for overflows.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::bounded::{self, MAX_COST, MAX_SHARDS, MAX_TIME_MS, MAX_UNITS};
use pitchstall_serving::digest::RoleTransition;
use pitchstall_serving::ids::{RegionId, RunnerId, ServiceName};
use pitchstall_serving::limit_keeper::{LimitKeeper, LimitKeeperShare, MAX_WAIT_US};
use pitchstall_serving::quota::{QuotaBounds, QuotaQuery};
use pitchstall_serving::quota_keeper::QuotaKeeper;
use pitchstall_serving::quota_slots::KeeperId;
use pitchstall_serving::quota_term::QuotaKeeperTerm;
use pitchstall_serving::regions::{RegionBacklogs, RegionLoads};
use pitchstall_serving::runner_limit::{LimitMessage, LimitQuery, ReportedLimit};
use pitchstall_serving::runner_notice::{RequestRate, RunnerNotice};
use pitchstall_serving::scheduling::PlacementQuery;
use pitchstall_serving::store_revision::StoreRevision;
use pitchstall_serving::topology::Topology;
use pitchstall_serving::usage::{UsageLedger, UsageMessage, Windows};
use serde::de::DeserializeOwned;
use serde_json::json;
use test_case::test_case;

/// Decodes a message in which `N` stands for the number.
fn decode<T: DeserializeOwned>(
    message: &str,
    number: impl ToString,
) -> Result<T, serde_json::Error> {
    serde_json::from_str(&message.replace('N', &number.to_string()))
}

#[test_case(u64::MAX)]
#[test_case(i64::MAX as u64; "largest signed number")]
#[test_case(0; "zero")]
fn a_placement_query_is_bounded(number: u64) {
    let query: PlacementQuery = decode(
        r#"{"i":{"f":N,"k":N},"d":"id","a":"127.0.0.1:9","h":{"r":"north","n":N,"of":N},"w":false,"s":"llm","p":[[N,N],[1,N]],"t":N,"o":N,"g":N,"e":N,"l":N,"z":"north"}"#,
        number,
    )
    .unwrap();
    assert_eq!(query.shard.of, usize::try_from(number).unwrap().min(MAX_SHARDS));
    assert_eq!(query.remaining_ms, number.min(MAX_TIME_MS));
    let prompt = query.prompt();
    assert_eq!(prompt.tokens, number.min(MAX_UNITS));
    assert_eq!(prompt.shared_prefix_tokens(), number.min(MAX_UNITS));
    // Identities are not altered.
    assert_eq!((query.ticket.number, prompt.parts[0].id), (number, number));
}

#[test_case("-1"; "negative")]
#[test_case("1e300"; "a float")]
#[test_case("18446744073709551616"; "more than 64 bits")]
#[test_case("null"; "null")]
fn a_number_of_another_kind_makes_a_message_unreadable(number: &str) {
    let transition = r#"{"r":"i-1","s":"p","l":N}"#;
    assert!(decode::<RoleTransition>(transition, 1).is_ok());
    assert!(decode::<RoleTransition>(transition, number).is_err());
    let message = r#"{"r":"i-1","l":1,"a":N}"#;
    assert!(decode::<LimitMessage>(message, 1).is_ok());
    assert!(decode::<LimitMessage>(message, number).is_err());
}

#[test]
fn a_report_does_not_keep_work_from_a_runner_for_ever() {
    let transition: RoleTransition = decode(r#"{"r":"i-1","s":"p","l":N}"#, u64::MAX).unwrap();
    assert_eq!(transition.remaining_ms, 60_000);
    let mut limit = ReportedLimit::default();
    let reported = RequestRate::from_requests_per_s(1.0);
    limit.on_response_head(RunnerNotice { limit: reported, ..RunnerNotice::default() }, 1, 2);
    limit.on_refused(u64::MAX, 2);
    assert_eq!(limit.throttled_until_us(2), Some(2 + MAX_WAIT_US));
}

#[test_case(u64::MAX, i64::MAX; "largest numbers")]
#[test_case(i64::MAX as u64, i64::MIN; "smallest signed number")]
#[test_case(0, 0; "zeros")]
fn a_quota_keeper_survives_extreme_queries(number: u64, available: i64) {
    let keeper = KeeperId { zone: "".into(), number: 0 };
    let bounds = QuotaBounds { window_us: 8_000_000, overage: 10.0, slack: u64::MAX };
    let term = QuotaKeeperTerm::new(StoreRevision::without_era(1), 0, 0, 60_000_000);
    let mut holder = QuotaKeeper::new(keeper, term, bounds, Topology::default());
    for (unit, charged) in [
        ("t", r#"[{"e":{"z":"","n":1},"c":N},{"e":{"z":"","n":2},"c":N}]"#),
        ("r", "[]"),
        ("t", "[]"),
    ] {
        let message = r#"{"i":{"f":1,"k":N},"a":"127.0.0.1:9","t":"cranes","l":{"r":N,"b":N,"u":"UNIT","p":N},"v":N,"c":N,"k":255,"e":{"z":"","n":0},"m":AVAILABLE,"p":CHARGED}"#;
        let message = message
            .replace("UNIT", unit)
            .replace("CHARGED", charged)
            .replace("AVAILABLE", &available.to_string());
        let query: QuotaQuery = decode(&message, number).unwrap();
        assert!(query.cost <= MAX_COST && query.limit.rate_per_s <= MAX_UNITS);
        for now_us in [1_000_000, 1_000_001, 20_000_000, 40_000_000] {
            holder.on_query(&query, |_| false, now_us);
            holder.on_query(&query, |_| true, now_us);
            holder.levels(now_us);
        }
    }
}

#[test_case(u64::MAX; "largest number")]
#[test_case(0; "zero")]
fn a_limit_keeper_survives_extreme_queries(number: u64) {
    let message = r#"{"i":{"f":1,"k":N},"w":{"r":"i-1","l":N,"a":N}}"#;
    let query: LimitQuery = decode(message, number).unwrap();
    assert_eq!(query.message.rate, Some(RequestRate(number)));
    let mut keeper = LimitKeeper::default();
    for now_us in [1, 2, 1_000_000, 1_000_000_000_000] {
        keeper.on_message(&query.message, now_us);
        keeper.on_query(&query, LimitKeeperShare::FIRST, now_us);
    }
}

#[test_case(f64::MAX, Some(RequestRate(u64::MAX)); "largest float")]
#[test_case(f64::MIN_POSITIVE, Some(RequestRate(0)); "smallest float")]
#[test_case(0.0, Some(RequestRate(0)); "zero")]
#[test_case(-f64::MAX, None; "negative")]
#[test_case(f64::INFINITY, None; "infinite")]
#[test_case(f64::NAN, None; "no number")]
fn a_reported_rate_saturates(rate: f64, expected: Option<RequestRate>) {
    assert_eq!(RequestRate::from_requests_per_s(rate), expected);
}

#[test_case(f64::MAX, 1e12; "largest float")]
#[test_case(f64::INFINITY, 1e12; "infinite")]
#[test_case(-f64::MAX, 0.0; "negative")]
#[test_case(f64::NAN, 0.0; "no number")]
#[test_case(0.25, 0.25; "a usual one")]
fn a_fractional_number_is_bounded(number: f64, expected: f64) {
    assert_eq!(bounded::bounded_fractional(number).to_bits(), expected.to_bits());
}

#[test_case(u64::MAX; "largest number")]
#[test_case(0; "zero")]
fn a_usage_ledger_survives_extreme_windows_and_counts(number: u64) {
    let message = r#"{"origin":{"n":"NODE","i":1},"answers":N,"windows":[{"w":N,"c":{"cranes":N}},{"w":1,"c":{"cranes":N}}],"fixed":[{"w":N,"c":{"cranes":N}}]}"#;
    let mut ledger = UsageLedger::default();
    for node in ["a", "b", "c"] {
        let message: UsageMessage = decode(&message.replace("NODE", node), number).unwrap();
        ledger.merge(&message);
    }
    let total = ledger.total(number);
    assert_eq!(total.values().copied().collect::<Vec<u64>>(), [3 * number.min(MAX_UNITS)]);
    assert!(Windows { length_ms: u64::MAX }.end_ms(number) > 0);
}

#[test]
fn a_reported_wait_of_a_region_is_bounded() {
    let loads = r#"{"r":"south","l":[{"s":"llm","n":4294967295,"w":N,"o":4294967295}]}"#;
    let loads: RegionLoads = decode(loads, u64::MAX).unwrap();
    assert!(loads.services[0].wait_us <= MAX_TIME_MS * 1_000);
    let mut backlogs = RegionBacklogs::default();
    backlogs.on_loads(loads, 1);
    backlogs.on_request_sent(&RegionId::new("south"), &ServiceName::new("llm"), f64::MAX);
}

#[test]
fn identities_survive_a_round_trip_unaltered() {
    let message =
        LimitMessage { runner: RunnerId::new("i-1"), rate: Some(RequestRate(5)), age_us: 7 };
    let decoded: LimitMessage = serde_json::from_value(json!(message)).unwrap();
    assert_eq!(decoded, message);
}
