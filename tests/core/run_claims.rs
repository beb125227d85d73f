//! Claims of requests that run at most once, and the VMs that keep them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use plantainnotch::fleet::members::{MemberRecord, MemberTable};
use plantainnotch::ids::RequestDigest;
use plantainnotch::policy::run_claims::{ClaimKey, ClaimLedger, RunClaim};

use crate::fixtures::{check, member};

const DOMAIN_COUNT: u8 = 3;
const FLEET_SIZE: u8 = 9;
/// Callers come back within twice the longest deadline of a route.
const REPEAT_TIME: Duration = Duration::from_secs(30);
const CLAIM_COUNT: u32 = 200_000;
const MAX_HELD_CLAIMS: usize = 100_000;

fn key(id: &str) -> ClaimKey {
    ClaimKey::of(id, RequestDigest::of("POST", "/issue/7", None, &[], b""))
}

fn claim(id: &str, attempt: u64) -> RunClaim {
    RunClaim {
        key: key(id),
        attempt,
    }
}

fn table(own: u8, others: impl Iterator<Item = u8>, now: Instant) -> MemberTable {
    let mut table = MemberTable::new(member(own, DOMAIN_COUNT));
    for other in others.filter(|other| *other != own) {
        table.record_heartbeat(member(other, DOMAIN_COUNT), now);
    }
    table
}

/// The names of the VMs that know a claim of `own`, which sees all VMs below `FLEET_SIZE` but `lost`.
fn claim_holders(own: u8, lost: Option<u8>, now: Instant) -> BTreeSet<String> {
    let known = (0..FLEET_SIZE).filter(|vm| Some(*vm) != lost);
    let keepers = table(own, known, now).claim_keepers(now);
    let own_name = member(own, DOMAIN_COUNT).vm.to_string();
    let names = keepers.iter().map(|keeper| keeper.vm.to_string());
    names.chain([own_name]).collect()
}

#[test]
fn a_request_has_one_claim_until_it_is_released_by_its_holder() {
    fn property(steps: Vec<(u8, u8, bool)>) -> bool {
        let (mut ledger, now) = (ClaimLedger::default(), Instant::now());
        let mut holders: BTreeMap<u8, u64> = BTreeMap::new();
        steps.into_iter().all(|(request, attempt, releases)| {
            let claim = claim(&request.to_string(), attempt.into());
            if releases {
                ledger.release(claim);
                if holders.get(&request) == Some(&claim.attempt) {
                    holders.remove(&request);
                }
                return true;
            }
            let holder = *holders.entry(request).or_insert(claim.attempt);
            ledger.take(claim, now) == (holder == claim.attempt)
        })
    }
    check(200, property as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn a_claim_is_kept_for_as_long_as_callers_may_return() {
    let (mut ledger, now) = (ClaimLedger::default(), Instant::now());
    ledger.take(claim("a", 1), now);

    let taken_again = ledger.take(claim("a", 2), now + REPEAT_TIME);

    assert!(!taken_again);
}

#[test]
fn claims_take_bounded_memory() {
    let (mut ledger, now) = (ClaimLedger::default(), Instant::now());
    for number in 0..CLAIM_COUNT {
        ledger.take(claim(&number.to_string(), 1), now);
        ledger.release(claim("0", 1));
        ledger.take(claim("0", 1), now);
    }

    assert!(ledger.held_count() <= MAX_HELD_CLAIMS);
}

#[test]
fn two_vms_ask_a_common_keeper_though_one_of_them_does_not_see_some_vm() {
    let now = Instant::now();
    for first in 0..FLEET_SIZE {
        for second in (0..FLEET_SIZE).filter(|vm| *vm != first) {
            for lost in (0..FLEET_SIZE).filter(|vm| ![first, second].contains(vm)) {
                let holders = claim_holders(first, None, now);
                let asked = claim_holders(second, Some(lost), now);
                let common = holders.intersection(&asked).count();
                assert!(common > 0, "{lost} is lost: {holders:?} and {asked:?}");
            }
        }
    }
}

#[test]
fn claims_are_kept_in_different_domains() {
    let now = Instant::now();
    for own in 0..FLEET_SIZE {
        let keepers = table(own, 0..FLEET_SIZE, now).claim_keepers(now);

        let domains: BTreeSet<&str> = keepers.iter().map(|vm| vm.domain.as_str()).collect();
        assert_eq!(domains.len(), keepers.len());
        assert!(!keepers.is_empty());
    }
}

#[test]
fn claims_stay_with_keepers_that_lose_their_paths_to_targets() {
    let now = Instant::now();
    let mut table = table(0, 1..FLEET_SIZE, now);
    let before = table.claim_keepers(now);

    for keeper in &before {
        let mut record = keeper.clone();
        record.revision += 1;
        record.reaches_targets = false;
        table.record_heartbeat(record, now);
    }

    let names = |keepers: &[MemberRecord]| -> Vec<String> {
        keepers.iter().map(|keeper| keeper.vm.to_string()).collect()
    };
    assert_eq!(names(&table.claim_keepers(now)), names(&before));
}
