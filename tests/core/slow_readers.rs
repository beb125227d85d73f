//! Which response ends when slow readers have used up the memory of their VM.

use std::time::Duration;

use plantainnotch::policy::slow_readers::{ReadAheadLimits, UnreadResponse, choose_slowest};
use quickcheck::quickcheck;

/// The longest stream of an engine, 83 events of 510 bytes, with what each takes beside its bytes.
const LONGEST_STREAM_BYTES: usize = 83 * (510 + 64);

fn unread(bytes: usize, waited_ms: u64) -> UnreadResponse {
    UnreadResponse {
        bytes,
        waited: Duration::from_millis(waited_ms),
    }
}

quickcheck! {
    // Guards against a response that ends although it holds little, or although its caller is not the slowest.
    fn the_response_that_ends_holds_the_mean_and_waited_longest(sizes: Vec<(u16, u16)>) -> bool {
        let responses: Vec<UnreadResponse> = sizes
            .iter()
            .map(|(bytes, waited)| unread(usize::from(*bytes), u64::from(*waited)))
            .collect();
        let total: usize = responses.iter().map(|response| response.bytes).sum();

        let Some(slowest) = choose_slowest(&responses) else {
            return total == 0;
        };

        let holds_mean = |response: &UnreadResponse| response.bytes * responses.len() >= total;
        let chosen = responses[slowest];
        chosen.bytes > 0
            && holds_mean(&chosen)
            && responses
                .iter()
                .filter(|response| holds_mean(response))
                .all(|response| response.waited <= chosen.waited)
    }

    // Guards against more responses ended than the excess takes, if each holds as much as the others.
    fn equal_responses_end_one_by_one(count: u8, excess: u8) -> bool {
        let mut responses = vec![unread(100, 5); usize::from(count)];
        let excess = usize::from(excess).min(responses.len());

        for _ in 0..excess {
            let slowest = choose_slowest(&responses).expect("some hold bytes");
            responses[slowest].bytes = 0;
        }

        let left: usize = responses.iter().map(|response| response.bytes).sum();
        left == 100 * (usize::from(count) - excess)
    }
}

// Guards against a slow reader of many bytes that is spared for callers that are only a little behind.
#[test]
fn a_reader_that_holds_little_is_spared() {
    let responses = [unread(600, 9_000), unread(200_000, 4_000), unread(600, 10)];

    assert_eq!(choose_slowest(&responses), Some(1));
}

// Guards against bounds at which the smallest VM cannot hold an engine's whole stream.
#[test]
fn the_smallest_vm_holds_whole_streams() {
    let limits = ReadAheadLimits::of_memory(160_000_000);

    assert!(limits.response >= LONGEST_STREAM_BYTES);
    assert!(limits.total >= 300 * LONGEST_STREAM_BYTES);
}
