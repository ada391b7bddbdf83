//! Which faults a seed has, and that a seed always has the same.
#![allow(missing_docs)]

use pitchstall_soak::plan::{steps, Action, Step};
use pitchstall_soak::seed_features::{
    has_large_configurations, has_limits, has_regions, has_reported_limits, has_restores,
};
use std::time::Duration;

#[test]
fn schedules_with_faults_include_faults_of_the_cloud_link() {
    let is_cloud = |step: &Step| matches!(step.action, Action::CloudLink { .. });
    let length = Duration::from_secs(25);
    assert_eq!(steps(22, length, 4).iter().filter(|step| is_cloud(step)).count(), 3);
    assert!(!steps(24, length, 4).iter().any(is_cloud), "only planned work");
}

#[test]
fn only_later_seeds_reload_again_and_again() {
    let reloads = |seed| {
        let steps = steps(seed, Duration::from_secs(25), 4);
        let is_reload = |step: &&Step| matches!(step.action, Action::ReloadSettings { .. });
        steps.iter().filter(is_reload).count()
    };
    assert!((7_000..8_000).all(|seed| reloads(seed) < 16));
    assert!((8_000..8_100).all(|seed| reloads(seed) >= 40));
    assert!(!has_restores(8_000) && !has_reported_limits(8_000));
    assert!(has_limits(8_001) && has_large_configurations(8_002));
    assert!((9_000..9_100).all(|seed| !has_limits(seed) && !has_large_configurations(seed)));
}

#[test]
fn a_seed_gives_the_same_steps_each_time() {
    let length = Duration::from_secs(40);
    assert_eq!(steps(5, length, 3), steps(5, length, 3));
    assert_ne!(steps(5, length, 3), steps(7, length, 3));
}

#[test]
fn only_later_seeds_have_regions_and_limits() {
    let length = Duration::from_secs(25);
    let cuts = |seed| {
        let steps = steps(seed, length, 4);
        steps.into_iter().filter(|step| step.action == Action::CutRegions).count()
    };
    assert!((0..1_000).all(|seed| !has_regions(seed) && !has_limits(seed) && cuts(seed) == 0));
    assert!(has_regions(1_000) && has_limits(1_000));
    assert_eq!(cuts(1_000), 1);
    assert_eq!(cuts(1_003), 0, "limits without regions");
}

#[test]
fn only_later_seeds_restore_the_store() {
    let returns = |seed| {
        let steps = steps(seed, Duration::from_secs(25), 4);
        let is_return = |step: &&Step| matches!(step.action, Action::RestoreBackup { .. });
        steps.iter().filter(is_return).count()
    };
    assert!((0..7_000).all(|seed| returns(seed) == 0));
    assert_eq!(returns(7_000), 3);
    assert_eq!(returns(7_002), 0, "only planned work");
    assert!(has_reported_limits(6_999) && !has_reported_limits(7_000));
}
