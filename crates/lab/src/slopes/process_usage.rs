/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;
/// Ticks of the kernel's processor clock in a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Memory of this process that is resident, in bytes; 0 if not known.
pub(super) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Processor time of this process so far, in seconds; 0 if not known.
pub(super) fn processor_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name may hold spaces; the numbers follow its closing bracket.
    let rest = text.rsplit_once(')').map(|(_, rest)| rest).unwrap_or_default();
    let number = |index: usize| {
        rest.split_whitespace().nth(index).and_then(|word| word.parse::<f64>().ok()).unwrap_or(0.0)
    };
    (number(11) + number(12)) / TICKS_PER_SECOND
}
