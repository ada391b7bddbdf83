//! The runners whose cache a scheduler lists after its start.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_gateway::cache_listing::runners_to_list;
use pitchstall_serving::fleet::Fleet;
use pitchstall_serving::ids::{RegionId, RunnerId, ServiceName, SoftwareVersion, ZoneId};
use pitchstall_serving::runner::{RunnerRecord, Stage};
use pitchstall_serving::scheduling::Shard;
use pitchstall_serving::store_revision::StoreRevision;

fn runner(number: usize, stage: Option<Stage>) -> RunnerRecord {
    RunnerRecord {
        id: RunnerId::new(format!("i-{number}")),
        service: ServiceName::new("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneId::new("north"),
        version: SoftwareVersion::new("v1"),
        slots: 8,
        draining: false,
        preemptible: false,
        leaves_ms: None,
        stage,
        revision: StoreRevision::without_era(1),
    }
}

/// When every node listed all runners, the lists of 90 runners sent to 60 nodes kept their links
/// saturated for the rest of a day.
#[test]
fn schedulers_list_only_runners_of_their_shards_and_each_runner_once() {
    const RUNNERS: usize = 160;
    let mut fleet = Fleet::default();
    for number in 0..RUNNERS {
        fleet.put(runner(number, Some(Stage::Decode)));
    }
    fleet.put(runner(RUNNERS, None));
    let shards: Vec<Shard> = Shard::all(RegionId::new("north"), Shard::count(295)).collect();
    let listed: Vec<usize> = shards
        .iter()
        .map(|shard| runners_to_list(&fleet, std::slice::from_ref(shard)).len())
        .collect();
    assert_eq!(listed.iter().sum::<usize>(), RUNNERS);
    assert!(listed.iter().all(|count| *count < RUNNERS / 4), "{listed:?}");
    assert!(runners_to_list(&fleet, &[]).is_empty());
}
