/// Number of schedules: `HAWTHORNSTACK_SCHEDULES`, or `default` if it is not set.
pub fn schedule_count(default: u64) -> u64 {
    let stated = std::env::var("HAWTHORNSTACK_SCHEDULES").ok();
    stated.and_then(|text| text.parse().ok()).unwrap_or(default)
}
