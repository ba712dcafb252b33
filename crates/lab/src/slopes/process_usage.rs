/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Clock ticks (`USER_HZ`) per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resident memory of this process, in bytes; 0 if it cannot be read.
pub(super) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// User and system CPU time of this process so far, in seconds; 0 if it cannot
/// be read.
pub(super) fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command name may contain spaces; the other fields follow its closing parenthesis.
    let rest = text.rsplit_once(')').map(|(_, rest)| rest).unwrap_or_default();
    let field = |index: usize| {
        rest.split_whitespace().nth(index).and_then(|word| word.parse::<f64>().ok()).unwrap_or(0.0)
    };
    (field(11) + field(12)) / TICKS_PER_SECOND
}
