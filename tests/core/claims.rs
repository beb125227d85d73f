//! The first claim in log order holds the key, and delayed duplicates have no effect.

use plantainnotch::ids::{ClaimId, RequestId, TeamName};
use plantainnotch::view::View;
use plantainnotch::view::record::{ClaimEvent, ClaimKey, ClaimOutcome, LogEntry, RecordBody};

use crate::fixtures::*;

fn key() -> ClaimKey {
    ClaimKey {
        team: TeamName::new("kigali"),
        key: "certificate-1".into(),
    }
}

fn claim(number: u64) -> ClaimEvent {
    ClaimEvent::Claim {
        key: key(),
        claim: ClaimId(number),
        digest: 1,
        vm: vm(number as usize),
        request: RequestId(number),
    }
}

fn release(number: u64) -> ClaimEvent {
    ClaimEvent::Release {
        key: key(),
        claim: ClaimId(number),
    }
}

fn outcome(number: u64) -> ClaimEvent {
    ClaimEvent::Outcome {
        key: key(),
        claim: ClaimId(number),
        outcome: ClaimOutcome::Unknown,
    }
}

fn claims_view(events: Vec<ClaimEvent>) -> View {
    view_of(
        events
            .into_iter()
            .map(|event| RecordBody::Claims { items: vec![event] })
            .collect(),
    )
}

fn holder(view: &View) -> Option<ClaimId> {
    view.claims().holder(&key()).map(|holder| holder.claim)
}

#[test]
fn the_first_claim_in_log_order_wins() {
    let view = claims_view(vec![claim(1), claim(2)]);
    assert_eq!(holder(&view), Some(ClaimId(1)));
    assert!(view.claims().may_send(&key(), ClaimId(1), false));
    assert!(!view.claims().may_send(&key(), ClaimId(2), false));
}

#[test]
fn a_released_key_is_free_and_its_old_claim_has_no_effect() {
    let view = claims_view(vec![claim(1), release(1), claim(1), claim(2)]);
    assert_eq!(holder(&view), Some(ClaimId(2)));
}

#[test]
fn a_release_that_is_logged_before_its_claim_still_frees_the_key() {
    let view = claims_view(vec![release(1), claim(1), claim(2)]);
    assert_eq!(holder(&view), Some(ClaimId(2)));
}

#[test]
fn a_claim_with_an_outcome_is_never_released() {
    let view = claims_view(vec![claim(1), outcome(1), release(1), claim(2)]);
    assert_eq!(holder(&view), Some(ClaimId(1)));
    assert!(!view.claims().may_send(&key(), ClaimId(1), false));
}

#[test]
fn at_any_time_at_most_one_claim_may_send() {
    fn property(inputs: Vec<(u8, u8)>) -> bool {
        let events = inputs.iter().map(|(kind, number)| {
            let number = u64::from(number % 4);
            match kind % 4 {
                0 | 1 => claim(number),
                2 => release(number),
                _ => outcome(number),
            }
        });
        let mut view = View::default();
        for (index, event) in events.enumerate() {
            view.fold(&entry(
                index as u64 + 1,
                RecordBody::Claims { items: vec![event] },
            ));
            let senders = (0..4).filter(|n| view.claims().may_send(&key(), ClaimId(*n), false));
            if senders.count() > 1 {
                return false;
            }
        }
        true
    }
    check(21, property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn keys_expire_after_the_window_so_that_memory_stays_bounded() {
    // Arrange
    let mut view = claims_view(vec![claim(1), claim(2)]);
    let later = LogEntry {
        at_ms: 10 + plantainnotch::claim::CLAIM_WINDOW_MS,
        ..entry(3, RecordBody::Claims { items: vec![] })
    };

    // Act
    view.fold(&later);

    // Assert
    assert!(view.claims().is_empty());
}
