//! `yokefall explain`: the story of one request, job or item, out of the lines of all processes.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use clap::Args;
use serde_json::{Map, Value};

use crate::exit::{fail, ExitStatus};

/// Fields that every line has, which the story does not repeat.
const COMMON_FIELDS: [&str; 7] =
    ["time_ms", "uptime_ms", "level", "role", "process", "event", "id"];
/// Events that end the story of a request or an item.
const ENDS: [&str; 10] = [
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
/// Events that may be why something else is missing.
const GAPS: [&str; 7] = [
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
    /// Files with lines of any processes; standard input without one.
    files: Vec<PathBuf>,
}

type JsonLine = Map<String, Value>;

/// Prints the story, the oldest line first, and what is missing in it.
pub fn run(arguments: &ExplainArguments) -> ExitStatus {
    let lines = match read_all(&arguments.files) {
        Ok(lines) => lines,
        Err(error) => return fail(ExitStatus::BadInput, error),
    };
    let mut story: Vec<&JsonLine> =
        lines.iter().filter(|line| mentions(line, &arguments.id)).collect();
    if story.is_empty() {
        let processes = processes(&lines);
        let text = format!("no line names {:?}; lines of: {processes}", arguments.id);
        return fail(ExitStatus::Failed, text);
    }
    story.sort_by_key(|line| time_of(line));
    for line in &story {
        println!("{}", show(line));
    }
    let ended = story.iter().any(|line| ENDS.contains(&text(line, "event")));
    if !ended {
        println!("missing: no line tells the end of {}", arguments.id);
    }
    print_gaps(&lines, &story);
    ExitStatus::Done
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

/// Lines that are JSON objects; whatever stands before the brace, such as a collector's time, is
/// passed over, and so are other lines.
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
    let names = |value: &Value| match value {
        Value::String(text) => text == id || text.split('/').any(|part| part == id),
        Value::Array(values) => values.iter().any(|value| value.as_str() == Some(id)),
        _ => false,
    };
    line.values().any(names)
}

fn show(line: &JsonLine) -> String {
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

fn processes(lines: &[JsonLine]) -> String {
    let names: BTreeSet<&str> = lines.iter().map(|line| text(line, "process")).collect();
    names.into_iter().collect::<Vec<_>>().join(", ")
}

/// Restarts, losses and left-out lines of the story's processes within its time.
fn print_gaps(lines: &[JsonLine], story: &[&JsonLine]) {
    let (Some(first), Some(last)) = (story.first(), story.last()) else { return };
    let span = time_of(first)..=time_of(last);
    let involved: BTreeSet<&str> = story.iter().map(|line| text(line, "process")).collect();
    let mut gaps: BTreeMap<u64, String> = BTreeMap::new();
    for line in lines {
        let is_gap = GAPS.contains(&text(line, "event"))
            && span.contains(&time_of(line))
            && involved.contains(text(line, "process"));
        if is_gap {
            gaps.insert(time_of(line), show(line));
        }
    }
    for gap in gaps.values() {
        println!("meanwhile: {gap}");
    }
}
