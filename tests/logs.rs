//! Budgets of log lines.

use std::time::{Duration, Instant};

use jacinthhinge::front::logs::Budgets;
use log::Level;

#[test]
fn busy_kind_of_event_is_cut_and_told_while_others_go_on() {
    let mut budgets = Budgets::default();
    let start = Instant::now();
    let kept = (0..400).filter(|_| budgets.admit("placed", Level::Info, start));
    assert_eq!(kept.count(), 250);
    assert!(budgets.admit("zone_down", Level::Warn, start));
    assert!(budgets.take_told().is_empty());

    let later = start + Duration::from_secs(1);
    assert!(budgets.admit("placed", Level::Info, later));
    let told = budgets.take_told();
    assert_eq!(told.get("placed"), Some(&150));
    assert!(budgets.take_told().is_empty(), "it is told once");
}

#[test]
fn warnings_have_a_larger_budget() {
    let mut budgets = Budgets::default();
    let now = Instant::now();
    let kept = (0..2_000).filter(|_| budgets.admit("cookie_unknown", Level::Warn, now));
    assert_eq!(kept.count(), 1_000);
}
