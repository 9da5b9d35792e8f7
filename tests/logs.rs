//! Rate limits on log lines.

use std::time::{Duration, Instant};

use jacinthhinge::front::logs::RateLimiter;
use log::Level;

#[test]
fn busy_kind_of_event_is_cut_and_told_while_others_go_on() {
    let mut limiter = RateLimiter::default();
    let start = Instant::now();
    let kept = (0..400).filter(|_| limiter.admit("placed", Level::Info, start));
    assert_eq!(kept.count(), 250);
    assert!(limiter.admit("zone_down", Level::Warn, start));
    assert!(limiter.take_dropped().is_empty());

    let later = start + Duration::from_secs(1);
    assert!(limiter.admit("placed", Level::Info, later));
    let dropped = limiter.take_dropped();
    assert_eq!(dropped.get("placed"), Some(&150));
    assert!(limiter.take_dropped().is_empty(), "it is told once");
}

#[test]
fn warnings_have_a_larger_budget() {
    let mut limiter = RateLimiter::default();
    let now = Instant::now();
    let kept = (0..2_000).filter(|_| limiter.admit("cookie_unknown", Level::Warn, now));
    assert_eq!(kept.count(), 1_000);
}
