//! The final answer to a request that was not served.

use crate::api::{Action, Settings};
use crate::failover::{retry_after_hint, RetrySafety};

use super::open_request::OpenRequest;

/// Retry-after of requests whose late responses still count, as a share of the longest retry-after.
const LATE_RETRY_SHARE: f64 = 0.5;

/// Rejects a request if it is safe to retry, and fails it otherwise. `retry_after_secs` is the delay in
/// seconds after which the client should retry a write that is not buffered; `None` for other requests.
pub(super) fn final_answer(
    request: &OpenRequest,
    retry_after_secs: Option<f64>,
    settings: &Settings,
) -> Action {
    let id = request.request().id;
    let class = &settings.classes[request.request().class.0];
    if request.retry_safety(class.idempotency) == RetrySafety::Unknown {
        return Action::Fail { request: id };
    }
    let limits = &settings.limits;
    // A late response of this class has no value, so an early retry is of no use.
    let usual_share = if class.late_weight > 0.0 { LATE_RETRY_SHARE } else { 1.0 };
    let usual = limits.max_retry_after.mul_f64(usual_share);
    let hint = retry_after_secs.map_or(usual, |secs| retry_after_hint(secs, limits.max_retry_after));
    Action::Reject { request: id, retry_after: limits.send_retry_after.then_some(hint) }
}
