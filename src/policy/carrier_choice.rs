//! Choice of the VM that carries a request for one without targets.

use crate::ids::{DomainName, VmName};

/// Cost of a VM in another domain, in requests: the way there costs traffic.
const REMOTE_DOMAIN_COST_REQUESTS: usize = 2;

/// A VM that reaches targets.
#[derive(Debug, Clone, Copy)]
pub struct CarrierCandidate<'a> {
    /// Its name.
    pub vm: &'a VmName,
    /// Failure domain that it runs in.
    pub domain: &'a DomainName,
    /// Requests that it carries for this VM.
    pub carried: usize,
}

/// The candidate that carries the fewest requests, one of `own_domain` before others that carry as
/// many. `turn` rotates the order in which ties are broken.
///
/// ```
/// use plantainnotch::ids::{DomainName, VmName};
/// use plantainnotch::policy::carrier_choice::{CarrierCandidate, choose_carrier};
/// let (near, far) = (VmName::new("near"), VmName::new("far"));
/// let (own, other) = (DomainName::new("a"), DomainName::new("b"));
/// let candidates = [
///     CarrierCandidate { vm: &far, domain: &other, carried: 0 },
///     CarrierCandidate { vm: &near, domain: &own, carried: 1 },
/// ];
/// assert_eq!(choose_carrier(&candidates, &own, 0), Some(&near));
/// ```
pub fn choose_carrier<'a>(
    candidates: &[CarrierCandidate<'a>],
    own_domain: &DomainName,
    turn: usize,
) -> Option<&'a VmName> {
    let count = candidates.len().max(1);
    let cost = |(index, candidate): &(usize, &CarrierCandidate<'a>)| {
        let domain_cost = if candidate.domain == own_domain {
            0
        } else {
            REMOTE_DOMAIN_COST_REQUESTS
        };
        (
            candidate.carried + domain_cost,
            (index + turn % count) % count,
        )
    };
    let cheapest = candidates.iter().enumerate().min_by_key(cost);
    cheapest.map(|(_, candidate)| candidate.vm)
}
