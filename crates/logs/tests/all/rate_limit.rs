//! Rate limits for log lines, per event and second.

use logs::rate_limit::Admission;
use logs::rate_limit::RateLimiter;

#[test]
fn lines_beyond_the_limit_are_suppressed_and_counted_in_the_next_line_of_the_event() {
    let mut limiter = RateLimiter::default();
    let admitted = (0..10)
        .filter(|_| limiter.admit("placed", 5, 3) != Admission::Suppress)
        .count();
    assert_eq!(admitted, 3);
    assert_eq!(
        limiter.admit("other", 5, 3),
        Admission::Write { suppressed: 0 }
    );
    assert_eq!(
        limiter.admit("placed", 6, 3),
        Admission::Write { suppressed: 7 }
    );
    assert_eq!(
        limiter.admit("placed", 6, 3),
        Admission::Write { suppressed: 0 }
    );
}
