//! Fair shares of client accounts: who is over its share, and what the accounts of a load get.

use std::time::{Duration, Instant};

use plantainnotch::ids::TeamName;
use plantainnotch::policy::account_shares::{Account, AccountShares, HALF_LIFE};
use plantainnotch::policy::dispatch::QueueRules;

use crate::queued_load::{LoadSource, QueuedLoad};

const SECOND: Duration = Duration::from_secs(1);
/// Demand as a multiple of the engines' capacity.
const OVERLOAD: f64 = 1.3;
const SHARES: QueueRules = QueueRules {
    ranks: false,
    shares: true,
};

fn account(name: &str) -> Account {
    Some(TeamName::new(name))
}

/// One account with three quarters of the demand, and 23 others.
fn large_account_and_others() -> Vec<LoadSource> {
    let source = |index: usize| LoadSource {
        account: TeamName::new(format!("account-{index}")),
        rank: None,
        weight: if index == 0 { 69.0 } else { 1.0 },
    };
    (0..24).map(source).collect()
}

// Guards against a large account that fills the queue and takes the same share of misses to all others.
#[test]
fn accounts_within_their_share_are_on_time_beside_one_with_most_of_the_demand() {
    for seed in 1..=3 {
        let sources = large_account_and_others();
        let with_shares = QueuedLoad::new(&sources, OVERLOAD, seed).run(SHARES);
        let without = QueuedLoad::new(&sources, OVERLOAD, seed).run(QueueRules::default());

        let others = with_shares.on_time_share(1..24);
        let unprotected = without.on_time_share(1..24);
        assert!(others > 0.9, "seed {seed}: {others:.3}");
        assert!(unprotected < 0.8, "seed {seed}: {unprotected:.3}");
        for index in 1..24 {
            let single = with_shares.on_time_share(index..index + 1);
            assert!(single > 0.7, "seed {seed}, account {index}: {single:.3}");
        }
    }
}

// Guards against capacity that is left unused, or a large account that starves, because of its share.
#[test]
fn an_account_over_its_share_gets_what_the_others_leave() {
    for seed in 1..=3 {
        let sources = large_account_and_others();
        let with_shares = QueuedLoad::new(&sources, OVERLOAD, seed).run(SHARES);
        let without = QueuedLoad::new(&sources, OVERLOAD, seed).run(QueueRules::default());

        let (shared, unshared) = (with_shares.placed(0..24), without.placed(0..24));
        assert!(
            shared as f64 > unshared as f64 * 0.98,
            "seed {seed}: {shared} and {unshared}"
        );
        let large = with_shares.placed_share(0..1);
        assert!(large > 0.5, "seed {seed}: {large:.3}");
    }
}

// Guards against ordinary accounts that lose the order by objective because one uses more than another.
#[test]
fn accounts_whose_use_differs_by_less_than_the_factor_are_all_within_their_share() {
    let (mut shares, now) = (AccountShares::default(), Instant::now());
    for (name, used) in [("a", 1.9), ("b", 1.0), ("c", 0.6), ("d", 0.5)] {
        shares.record_demand(&account(name), 10.0, now);
        shares.record_use(&account(name), used, now);
    }

    let change = shares.refresh(now);

    assert_eq!(change, None);
}

// Guards against a large account that is put back although the demand of all others is met.
#[test]
fn no_account_is_over_its_share_while_the_others_get_all_they_ask_for() {
    let (mut shares, now) = (AccountShares::default(), Instant::now());
    shares.record_demand(&account("large"), 100.0, now);
    shares.record_use(&account("large"), 70.0, now);
    for index in 0..23 {
        let small = account(&format!("small-{index}"));
        shares.record_demand(&small, 1.0, now);
        shares.record_use(&small, 1.0, now);
    }

    let change = shares.refresh(now);

    assert_eq!(change, None);
}

// Guards against an account that pays for use of long ago, and amounts that overflow in a long run.
#[test]
fn use_is_forgotten_and_amounts_stay_finite_over_days() {
    let (mut shares, mut now) = (AccountShares::default(), Instant::now());
    let names = ["a", "b", "c", "d"].map(account);
    for _ in 0..3 {
        now += SECOND;
        for name in &names {
            shares.record_demand(name, 10.0, now);
        }
        shares.record_use(&names[0], 10.0, now);
        shares.refresh(now);
        assert!(shares.is_over(&names[0]));

        now += HALF_LIFE * 6;
        for name in &names {
            shares.record_demand(name, 10.0, now);
            shares.record_use(name, 4.0, now);
        }
        shares.refresh(now);
        assert!(!shares.is_over(&names[0]));
        now += SECOND * 86_400;
        shares.refresh(now);
    }
}
