//! Tests of the headers with which the gateway refuses requests.

use apricotrun::prelude::*;
use apricotrun::transport::gateway::reply::refusal_response;

/// Guards against a time of less than half a millisecond that was sent as zero.
#[test]
fn time_to_return_is_never_rounded_down() {
    for (micros, sent) in [(1, "0.001"), (400, "0.001"), (1_000, "0.001"), (1_200_300, "1.201")] {
        let refusal = Refusal::not_run(RefusalReason::Overloaded);
        let refusal = refusal.with_retry_after(Duration::from_micros(micros));
        let response = refusal_response(&refusal);
        let value = response.headers().get("Retry-After").expect("a time");
        assert_eq!(value, sent);
    }
}
