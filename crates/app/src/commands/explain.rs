//! `yokefall explain`: prints the history of a request, job or item from all processes' logs.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use clap::Args;
use serde_json::{Map, Value};

use crate::exit::{fail, ExitStatus};

/// Fields present on every line, which are not listed among its details.
const COMMON_FIELDS: [&str; 7] =
    ["time_ms", "uptime_ms", "level", "role", "process", "event", "id"];
/// Events that end a request, an item or a job.
const END_EVENTS: [&str; 10] = [
    "request-answered",
    "request-refused",
    "region-refused",
    "request-failed",
    "request-rejected",
    "answer-broken",
    "item-finished",
    "item-abandoned",
    "job-ended",
    "job-forgotten",
];
/// Events that may explain missing log lines.
const GAP_EVENTS: [&str; 7] = [
    "lines-omitted",
    "started",
    "stopped",
    "dependency-lost",
    "dependency-regained",
    "zone-evacuated",
    "evacuation-ended",
];

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArguments {
    /// Id of a request, job, item, back end or member.
    id: String,
    /// Log files of any number of processes; standard input if none is given.
    files: Vec<PathBuf>,
}

type JsonLine = Map<String, Value>;

/// Prints the lines that mention the id, oldest first, reports if none of them ends the request,
/// item or job, and prints events that may explain missing lines.
pub fn run(arguments: &ExplainArguments) -> ExitStatus {
    let lines = match read_all(&arguments.files) {
        Ok(lines) => lines,
        Err(error) => return fail(ExitStatus::InvalidInput, error),
    };
    let mut timeline: Vec<&JsonLine> =
        lines.iter().filter(|line| mentions(line, &arguments.id)).collect();
    if timeline.is_empty() {
        let process_names = process_names(&lines);
        let text = format!(
            "no log line mentions {:?}; processes in the input: {process_names}",
            arguments.id
        );
        return fail(ExitStatus::Failed, text);
    }
    timeline.sort_by_key(|line| time_of(line));
    for line in &timeline {
        println!("{}", format_line(line));
    }
    let ended = timeline.iter().any(|line| END_EVENTS.contains(&text(line, "event")));
    if !ended {
        println!("missing: no line tells the end of {}", arguments.id);
    }
    print_gaps(&lines, &timeline);
    ExitStatus::Success
}

fn read_all(files: &[PathBuf]) -> Result<Vec<JsonLine>, String> {
    if files.is_empty() {
        return Ok(read(std::io::stdin().lock()));
    }
    let mut lines = Vec::new();
    for file in files {
        let opened = std::fs::File::open(file);
        let opened = opened.map_err(|error| format!("open {}: {error}", file.display()))?;
        lines.extend(read(opened));
    }
    Ok(lines)
}

/// Parses the JSON object in each line that has one, ignoring a collector's timestamp before it.
fn read(source: impl Read) -> Vec<JsonLine> {
    let lines = BufReader::new(source).lines().map_while(Result::ok);
    lines.filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok()).collect()
}

fn text<'a>(line: &'a JsonLine, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn time_of(line: &JsonLine) -> u64 {
    line.get("time_ms").and_then(Value::as_u64).unwrap_or(0)
}

fn mentions(line: &JsonLine, id: &str) -> bool {
    let contains_id = |value: &Value| match value {
        Value::String(text) => text == id || text.split('/').any(|part| part == id),
        Value::Array(values) => values.iter().any(|value| value.as_str() == Some(id)),
        _ => false,
    };
    line.values().any(contains_id)
}

fn format_line(line: &JsonLine) -> String {
    let details: Vec<String> = line
        .iter()
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!(
        "{} {:<24} {:<22} {} {}",
        time_of(line),
        text(line, "process"),
        text(line, "event"),
        text(line, "id"),
        details.join(" ")
    )
}

fn process_names(lines: &[JsonLine]) -> String {
    let names: BTreeSet<&str> = lines.iter().map(|line| text(line, "process")).collect();
    names.into_iter().collect::<Vec<_>>().join(", ")
}

/// Prints events that may explain missing lines, in the timeline's processes and time range.
fn print_gaps(lines: &[JsonLine], timeline: &[&JsonLine]) {
    let (Some(first), Some(last)) = (timeline.first(), timeline.last()) else { return };
    let span = time_of(first)..=time_of(last);
    let involved: BTreeSet<&str> = timeline.iter().map(|line| text(line, "process")).collect();
    let mut gaps: BTreeMap<u64, String> = BTreeMap::new();
    for line in lines {
        let is_gap = GAP_EVENTS.contains(&text(line, "event"))
            && span.contains(&time_of(line))
            && involved.contains(text(line, "process"));
        if is_gap {
            gaps.insert(time_of(line), format_line(line));
        }
    }
    for gap in gaps.values() {
        println!("meanwhile: {gap}");
    }
}
