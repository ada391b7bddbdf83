//! Authentication in both directions: no unknown key is accepted, and no valid key is rejected by a
//! node that merely does not know it yet.
#![allow(clippy::unwrap_used, missing_docs)]

use pitchstall_serving::ids::TenantName;
use pitchstall_serving::tenancy::{
    authorize, Access, ApiKey, Credential, KeyDigest, KeyPolicy, ReplicaAge, Tenant, Tenants,
};
use test_case::test_case;

const FRESH: ReplicaAge = ReplicaAge { confirmed_ago_ms: Some(500), is_behind: false };
const BEHIND: ReplicaAge = ReplicaAge { confirmed_ago_ms: Some(500), is_behind: true };
const OLD: ReplicaAge = ReplicaAge { confirmed_ago_ms: Some(4_000), is_behind: false };
const VERY_OLD: ReplicaAge = ReplicaAge { confirmed_ago_ms: Some(6_000), is_behind: false };
const NEVER: ReplicaAge = ReplicaAge { confirmed_ago_ms: None, is_behind: false };
const LENIENT: KeyPolicy = KeyPolicy { config_apply_ms: 3_000, revoke_ms: None };
const STRICT: KeyPolicy = KeyPolicy { config_apply_ms: 3_000, revoke_ms: Some(5_000) };

fn key(text: &str) -> Credential {
    Credential::Key(ApiKey::new(text).digest())
}

fn tenants() -> Tenants {
    let mut tenants = Tenants::default();
    let tenant = Tenant { name: TenantName::new("taxis"), priority: Some(1), limit: None };
    tenants.add(tenant, [ApiKey::new("right").digest(), ApiKey::new("other").digest()]);
    tenants
}

fn outcome(access: &Access) -> &'static str {
    match access {
        Access::Open => "open",
        Access::Granted(tenant) if tenant.name.as_str() == "taxis" => "taxis",
        Access::Granted(_) => "another",
        Access::Denied => "denied",
        Access::Unverifiable => "unverifiable",
    }
}

#[test_case(key("right"), FRESH, LENIENT, "taxis"; "valid key")]
#[test_case(key("other"), FRESH, STRICT, "taxis"; "second key of a tenant")]
#[test_case(key("wrong"), FRESH, LENIENT, "denied"; "unknown key")]
#[test_case(key("wrong"), BEHIND, LENIENT, "unverifiable"; "unknown key, later version exists")]
#[test_case(key("wrong"), OLD, LENIENT, "unverifiable"; "unknown key, old replica")]
#[test_case(key("wrong"), NEVER, LENIENT, "unverifiable"; "unknown key, replica of unknown age")]
#[test_case(key("right"), VERY_OLD, LENIENT, "taxis"; "possibly revoked key, accepted")]
#[test_case(key("right"), OLD, STRICT, "taxis"; "valid key within the revoke time")]
#[test_case(key("right"), VERY_OLD, STRICT, "unverifiable"; "possibly revoked key, refused")]
#[test_case(key("right"), NEVER, STRICT, "unverifiable"; "valid key, revoke time, replica of unknown age")]
#[test_case(Credential::Absent, FRESH, LENIENT, "denied"; "no key")]
#[test_case(Credential::Absent, NEVER, LENIENT, "denied"; "no key, replica of unknown age")]
#[test_case(Credential::Malformed, FRESH, LENIENT, "denied"; "several keys")]
fn a_request_on_a_route_that_needs_a_key(
    credential: Credential,
    replica: ReplicaAge,
    policy: KeyPolicy,
    expected: &str,
) {
    assert_eq!(outcome(&authorize(&tenants(), false, credential, replica, policy)), expected);
}

#[test_case(Credential::Absent, "open"; "no key")]
#[test_case(key("right"), "taxis"; "valid key")]
#[test_case(key("wrong"), "denied"; "unknown key")]
fn a_request_on_a_public_route(credential: Credential, expected: &str) {
    assert_eq!(outcome(&authorize(&tenants(), true, credential, FRESH, LENIENT)), expected);
}

#[test_case(Credential::Absent)]
#[test_case(key("any"))]
#[test_case(Credential::Malformed)]
fn without_tenants_every_request_may_run(credential: Credential) {
    let access = authorize(&Tenants::default(), false, credential, NEVER, STRICT);
    assert_eq!(access, Access::Open);
}

#[test]
fn a_moved_key_belongs_to_the_tenant_of_the_current_version() {
    let mut moved = Tenants::default();
    let tenant = Tenant { name: TenantName::new("buses"), priority: None, limit: None };
    moved.add(tenant, [ApiKey::new("right").digest()]);
    let access = authorize(&moved, false, key("right"), FRESH, LENIENT);
    assert_eq!(outcome(&access), "another");
    let lost = authorize(&moved, false, key("other"), FRESH, LENIENT);
    assert_eq!(lost, Access::Denied, "its tenant has no keys left");
}

#[test]
fn neither_keys_nor_digests_can_be_printed() {
    let secret = ApiKey::new("m82thhkmgjqnirth5mgj");
    let digest = secret.digest();
    let shown = format!("{secret:?} {digest:?} {:?} {:?}", key("m82thhkmgjqnirth5mgj"), tenants());
    assert!(!shown.contains("m82thh"), "{shown}");
    assert!(!shown.contains(&digest.to_hex()), "{shown}");
}

#[test_case("", None; "empty")]
#[test_case("zz", None; "not hexadecimal")]
#[test_case("é", None; "not ASCII")]
fn an_invalid_digest_is_rejected(text: &str, expected: Option<KeyDigest>) {
    assert_eq!(KeyDigest::from_hex(text), expected);
}

#[test]
fn a_digest_survives_a_round_trip_as_text() {
    let digest = ApiKey::new("right").digest();
    assert_eq!(KeyDigest::from_hex(&digest.to_hex()), Some(digest));
    assert_eq!(KeyDigest::from_hex(&format!("{}00", digest.to_hex())), None);
}
