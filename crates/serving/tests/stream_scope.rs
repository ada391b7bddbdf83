//! Which streams the record of versions covers under a configuration.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::configuration::{Configuration, RequestKind, Route, Share};
use pitchstall_serving::ids::ServiceName;
use pitchstall_serving::stream_scope::{
    recorded_scopes, resumable_routes, RoutePattern, StreamScope, MAX_RECORDED_ROUTES,
};
use std::collections::BTreeSet;
use std::rc::Rc;
use test_case::test_case;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name)
}

/// A route whose streams may not be resumed.
fn streaming(prefix: &str, name: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "API.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Streaming,
        timeout_ms: 1_000,
        target_ms: 1_000,
        gap_target_ms: None,
        priority: 0,
        shares: vec![Share { service: service(name), weight: 1 }],
        max_attempts: 2,
        sticky: false,
        resumable: false,
        is_public: true,
    }
}

fn resumable(prefix: &str, name: &str) -> Route {
    Route { resumable: true, ..streaming(prefix, name) }
}

fn scopes(routes: impl IntoIterator<Item = Route>) -> BTreeSet<StreamScope> {
    let routes = routes.into_iter().map(Rc::new).collect();
    recorded_scopes(&Configuration { routes, ..Configuration::default() })
}

#[test]
fn the_streams_of_a_route_that_is_not_resumable_are_recorded_as_those_of_this_route() {
    let found = scopes([streaming("/draft/", "draft"), resumable("/summary/", "llm")]);
    let [draft, summary] = found.into_iter().collect::<Vec<_>>().try_into().unwrap();
    let route = draft.route.unwrap();
    assert_eq!((route.host.as_str(), route.prefix.as_str()), ("api.example", "/draft/"));
    assert_eq!(summary, StreamScope::of_service(service("llm")));
}

#[test]
fn all_streams_of_a_service_with_a_resumable_route_are_recorded_together() {
    let found = scopes([streaming("/draft/", "llm"), resumable("/summary/", "llm")]);
    assert_eq!(found, BTreeSet::from([StreamScope::of_service(service("llm"))]));
}

#[test]
fn many_routes_of_a_service_are_recorded_together() {
    let routes = |count| (0..count).map(|number| streaming(&format!("/{number}/"), "llm"));
    assert_eq!(scopes(routes(MAX_RECORDED_ROUTES)).len(), MAX_RECORDED_ROUTES);
    let all = BTreeSet::from([StreamScope::of_service(service("llm"))]);
    assert_eq!(scopes(routes(MAX_RECORDED_ROUTES + 1)), all);
}

#[test]
fn requests_without_streams_are_not_recorded() {
    let lookup = Route { kind: RequestKind::Idempotent, ..streaming("/lookup/", "desk") };
    assert_eq!(scopes([lookup]), BTreeSet::new());
}

fn pattern(prefix: &str) -> RoutePattern {
    RoutePattern { host: "api.example".to_owned(), prefix: prefix.to_owned() }
}

#[test]
fn the_resumable_routes_are_known_by_host_and_prefix() {
    let routes = [streaming("/draft/", "llm"), resumable("/summary/", "llm")].map(Rc::new);
    let routes = routes.into_iter().collect();
    let found = resumable_routes(&Configuration { routes, ..Configuration::default() });
    assert_eq!(found, BTreeSet::from([pattern("/summary/")]));
}

#[test_case("/summary/", "/summary/", true; "the same")]
#[test_case("/", "/summary/", true; "a longer prefix")]
#[test_case("/summary/long/", "/summary/", true; "a shorter prefix")]
#[test_case("/draft/", "/summary/", false; "other paths")]
fn routes_overlap_if_a_path_may_have_both_prefixes(one: &str, other: &str, expected: bool) {
    assert_eq!(pattern(one).overlaps(&pattern(other)), expected);
    let elsewhere = RoutePattern { host: "other.example".to_owned(), ..pattern(other) };
    assert!(!pattern(one).overlaps(&elsewhere));
}
