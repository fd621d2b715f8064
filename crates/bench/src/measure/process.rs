//! CPU time and memory of a process, read from `/proc`.

const PAGE_BYTES: u64 = 4_096;
/// Clock ticks per second, the unit of CPU time in `/proc` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Positions of user and system time in `/proc/PID/stat`, counted after the command name.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Resident memory of a process, in bytes; zero if it does not exist.
pub fn resident_bytes(pid: u32) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// CPU time of a process, in seconds; zero if it does not exist.
pub fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The command name is in parentheses and may contain spaces.
    let Some((_, fields)) = stat.rsplit_once(')') else { return 0.0 };
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<f64>().ok());
    let user = ticks(USER_TICKS_FIELD).unwrap_or(0.0);
    let system = ticks(SYSTEM_TICKS_FIELD).unwrap_or(0.0);
    (user + system) / TICKS_PER_SECOND
}
