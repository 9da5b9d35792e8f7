//! Rate limits on log lines.

use std::time::{Duration, Instant};

use jacinthhinge::front::logs::RateLimiter;
use log::Level;

#[test]
fn frequent_event_is_limited_and_others_are_admitted() {
    let mut limiter = RateLimiter::default();
    let start = Instant::now();
    let admitted = (0..400).filter(|_| limiter.admit("placed", Level::Info, start));
    assert_eq!(admitted.count(), 250);
    assert!(limiter.admit("zone_down", Level::Warn, start));
    assert!(limiter.take_dropped().is_empty());

    let later = start + Duration::from_secs(1);
    assert!(limiter.admit("placed", Level::Info, later));
    let dropped = limiter.take_dropped();
    assert_eq!(dropped.get("placed"), Some(&150));
    assert!(
        limiter.take_dropped().is_empty(),
        "dropped lines are reported once"
    );
}

#[test]
fn warnings_have_a_higher_limit() {
    let mut limiter = RateLimiter::default();
    let now = Instant::now();
    let admitted = (0..2_000).filter(|_| limiter.admit("cookie_unknown", Level::Warn, now));
    assert_eq!(admitted.count(), 1_000);
}
