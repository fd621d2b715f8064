//! The write-ahead log: checksummed records in one file, appended and synced.
//!
//! Files are named `log-N`. A file begins with the identity of the disk and whatever a compaction
//! carried over, and is valid once it contains a `Sealed` record. A compaction writes file N + 1
//! completely, syncs it and its folder, and then removes file N; after a power failure the sealed
//! file with the highest number is the log, whichever directory entries survived. A torn record
//! ends the log, since nothing after it was synced.

use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{BufReader, Read, Seek, SeekFrom, Write as _};
use std::path::{Path, PathBuf};

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_consensus::log::Log;
use yokefall_consensus::{Entry, Index, MemberId, Members, Recovered, Snapshot, Term, Write};

/// Bytes of a record's length and checksum.
const HEADER_BYTES: usize = 8;
/// Bytes of the length that precedes a snapshot's state at the end of its record.
const LENGTH_BYTES: usize = 4;
const MAX_RECORD_BYTES: u32 = 512 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
enum Record {
    /// Identity of the disk.
    Identity { incarnation: u64 },
    /// Term and vote.
    State { term: Term, voted_for: Option<MemberId>, committed_members_index: Index },
    /// Entries, replacing any at the same or later positions.
    Entries(Vec<Entry>),
    /// A snapshot, replacing everything before it.
    Snapshot(Snapshot),
    /// Marks the file as valid.
    Sealed,
}

/// A failed disk operation.
#[derive(Debug)]
pub struct WalError {
    /// The operation.
    pub step: &'static str,
    /// File or folder.
    pub path: PathBuf,
    /// The cause.
    pub cause: std::io::Error,
}

impl fmt::Display for WalError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}: {}", self.step, self.path.display(), self.cause)
    }
}

impl std::error::Error for WalError {}

/// The content that replaces the whole log in a compaction.
#[derive(Clone, Debug)]
pub struct Rewrite {
    /// Term.
    pub term: Term,
    /// Vote in this term.
    pub voted_for: Option<MemberId>,
    /// Position of the newest membership that is known to be committed.
    pub committed_members_index: Index,
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// The open log of a disk.
#[derive(Debug)]
pub struct Wal {
    folder: PathBuf,
    number: u64,
    file: File,
    incarnation: u64,
    /// Bytes that are synced.
    synced: u64,
    /// Records that are not synced yet.
    pending: Vec<u8>,
}

/// A log and its recovered content.
pub struct Opened {
    /// The log.
    pub wal: Wal,
    /// Identity of the disk.
    pub incarnation: u64,
    /// The recovered content.
    pub recovered: Recovered,
    /// Whether the disk was empty.
    pub was_empty: bool,
}

impl Wal {
    /// Opens a folder's log; an empty one gets and syncs `fresh_incarnation` as its identity.
    pub fn open(folder: &Path, fresh_incarnation: u64) -> Result<Opened, WalError> {
        let at = |step| move |cause| WalError { step, path: folder.to_owned(), cause };
        std::fs::create_dir_all(folder).map_err(at("create folder"))?;
        let mut numbers = list(folder).map_err(at("list folder"))?;
        numbers.sort_unstable_by(|left, right| right.cmp(left));
        let highest = numbers.first().copied().unwrap_or(0);
        for number in numbers {
            let path = file_path(folder, number);
            let at = |step| move |cause| WalError { step, path: path.clone(), cause };
            let file = OpenOptions::new().read(true).write(true).open(file_path(folder, number));
            let file = file.map_err(at("open"))?;
            let scanned = scan(&file).map_err(|cause| WalError {
                step: "read",
                path: file_path(folder, number),
                cause,
            })?;
            if let Some(Scan { incarnation, recovered, valid }) = scanned {
                let wal = Self::resume(folder, number, file, incarnation, valid)?;
                return Ok(Opened { wal, incarnation, recovered, was_empty: false });
            }
        }
        let start = [Record::Identity { incarnation: fresh_incarnation }, Record::Sealed];
        let wal = Self::create(folder, highest + 1, fresh_incarnation, &start)?;
        let recovered = Recovered::default();
        Ok(Opened { wal, incarnation: fresh_incarnation, recovered, was_empty: true })
    }

    fn resume(
        folder: &Path,
        number: u64,
        file: File,
        incarnation: u64,
        valid: u64,
    ) -> Result<Self, WalError> {
        let mut wal = Self {
            folder: folder.to_owned(),
            number,
            file,
            incarnation,
            synced: valid,
            pending: Vec::new(),
        };
        wal.truncate_to_synced()?;
        wal.file.sync_all().map_err(|cause| wal.error("sync", cause))?;
        Ok(wal)
    }

    fn create(
        folder: &Path,
        number: u64,
        incarnation: u64,
        start: &[Record],
    ) -> Result<Self, WalError> {
        let path = file_path(folder, number);
        let at = |step: &'static str| {
            let path = path.clone();
            move |cause| WalError { step, path, cause }
        };
        let mut options = OpenOptions::new();
        let options = options.read(true).write(true).create(true).truncate(true);
        let mut file = options.open(&path).map_err(at("create"))?;
        let mut synced = 0;
        // Records are written one by one to avoid a copy of the large snapshot.
        for record in start {
            synced += write_record(&mut file, record).map_err(at("write"))?;
        }
        file.sync_all().map_err(at("sync"))?;
        sync_folder(folder).map_err(at("sync folder of"))?;
        let folder = folder.to_owned();
        Ok(Self { folder, number, file, incarnation, synced, pending: Vec::new() })
    }

    fn error(&self, step: &'static str, cause: std::io::Error) -> WalError {
        WalError { step, path: file_path(&self.folder, self.number), cause }
    }

    /// Bytes in the file.
    pub fn bytes(&self) -> u64 {
        self.synced + self.pending.len() as u64
    }

    /// Adds a write; it is durable once `sync` has succeeded.
    pub fn add(&mut self, write: &Write) {
        let record = match write {
            Write::State { term, voted_for, committed_members_index } => Record::State {
                term: *term,
                voted_for: voted_for.clone(),
                committed_members_index: *committed_members_index,
            },
            Write::Entries(entries) => Record::Entries(entries.clone()),
            // Written by `rewrite`, which also carries over the entries after the snapshot.
            Write::Snapshot { .. } => return,
        };
        encode(&record, &mut self.pending);
    }

    /// Writes and syncs the added records. May be called again after an error: everything that is
    /// not synced is rewritten, since a failed sync may have dropped written data.
    pub fn sync(&mut self) -> Result<(), WalError> {
        if self.pending.is_empty() {
            return Ok(());
        }
        self.truncate_to_synced()?;
        let pending = std::mem::take(&mut self.pending);
        let written = self.file.write_all(&pending).and_then(|()| self.file.sync_data());
        if let Err(cause) = written {
            self.pending = pending;
            return Err(self.error("write and sync", cause));
        }
        self.synced += pending.len() as u64;
        Ok(())
    }

    fn truncate_to_synced(&mut self) -> Result<(), WalError> {
        let length =
            self.file.metadata().map_err(|cause| self.error("read metadata of", cause))?.len();
        if length > self.synced {
            self.file.set_len(self.synced).map_err(|cause| self.error("cut", cause))?;
        }
        let end = SeekFrom::Start(self.synced);
        self.file.seek(end).map_err(|cause| self.error("seek", cause))?;
        Ok(())
    }

    /// Replaces the whole log by a snapshot and the entries after it.
    pub fn rewrite(&mut self, rewrite: Rewrite) -> Result<(), WalError> {
        let start = [
            Record::Identity { incarnation: self.incarnation },
            Record::State {
                term: rewrite.term,
                voted_for: rewrite.voted_for,
                committed_members_index: rewrite.committed_members_index,
            },
            Record::Snapshot(rewrite.snapshot),
            Record::Entries(rewrite.entries),
            Record::Sealed,
        ];
        let former = file_path(&self.folder, self.number);
        *self = Self::create(&self.folder, self.number + 1, self.incarnation, &start)?;
        // A remaining old file is ignored, since the new one has a higher number.
        let _ = std::fs::remove_file(former);
        let _ = sync_folder(&self.folder);
        Ok(())
    }
}

/// The members according to the newest entry of a folder's log. Read-only; for tools and tests.
pub fn peek_members(folder: &Path) -> Result<Members, WalError> {
    let at = |step| move |cause| WalError { step, path: folder.to_owned(), cause };
    let mut numbers = list(folder).map_err(at("list folder"))?;
    numbers.sort_unstable_by(|left, right| right.cmp(left));
    for number in numbers {
        let file = File::open(file_path(folder, number)).map_err(at("read log in"))?;
        if let Some(scan) = scan(&file).map_err(at("read log in"))? {
            let Recovered { snapshot, entries, .. } = scan.recovered;
            return Ok(Log::new(snapshot, entries).members().1.clone());
        }
    }
    Ok(Members::default())
}

fn file_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("log-{number}"))
}

fn list(folder: &Path) -> std::io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix("log-"));
        numbers.extend(number.and_then(|text| text.parse::<u64>().ok()));
    }
    Ok(numbers)
}

fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}

fn encode(record: &Record, bytes: &mut Vec<u8>) {
    let head = bytes.len();
    bytes.extend_from_slice(&[0; HEADER_BYTES]);
    // Encoding into memory cannot fail for this type.
    let _ = borsh::to_writer(&mut *bytes, record);
    let content = &bytes[head + HEADER_BYTES..];
    let (length, checksum) = (content.len() as u32, crc32fast::hash(content));
    bytes[head..head + 4].copy_from_slice(&length.to_le_bytes());
    bytes[head + 4..head + HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
}

/// Writes one record; the state of a snapshot is written from memory without a copy.
fn write_record(file: &mut File, record: &Record) -> std::io::Result<u64> {
    let Record::Snapshot(snapshot) = record else {
        let mut bytes = Vec::new();
        encode(record, &mut bytes);
        file.write_all(&bytes)?;
        return Ok(bytes.len() as u64);
    };
    let state = &snapshot.state;
    // Encodes the record with an empty state and then corrects the length.
    let mut content = borsh::to_vec(&Record::Snapshot(snapshot.position()))?;
    content.truncate(content.len() - LENGTH_BYTES);
    content.extend_from_slice(&(state.len() as u32).to_le_bytes());
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&content);
    checksum.update(state);
    let length = content.len() + state.len();
    file.write_all(&(length as u32).to_le_bytes())?;
    file.write_all(&checksum.finalize().to_le_bytes())?;
    file.write_all(&content)?;
    file.write_all(state)?;
    Ok((HEADER_BYTES + length) as u64)
}

struct Scan {
    incarnation: u64,
    recovered: Recovered,
    /// Bytes up to the end of the last complete record.
    valid: u64,
}

/// Reads a file up to the first incomplete record, one at a time; `None` if it is not sealed.
fn scan(file: &File) -> std::io::Result<Option<Scan>> {
    let mut remaining = file.metadata()?.len();
    let mut reader = BufReader::new(file);
    let mut recovered = Recovered::default();
    let mut incarnation = None;
    let mut sealed = false;
    let mut valid = 0;
    while let Some((record, length)) = next_record(&mut reader, remaining)? {
        valid += length;
        remaining -= length;
        match record {
            Record::Identity { incarnation: held } => incarnation = Some(held),
            Record::State { term, voted_for, committed_members_index } => {
                recovered.term = term;
                recovered.voted_for = voted_for;
                recovered.committed_members_index = committed_members_index;
            }
            Record::Entries(entries) => append_entries(&mut recovered, entries),
            Record::Snapshot(snapshot) => {
                recovered.snapshot = snapshot;
                recovered.entries.clear();
            }
            Record::Sealed => sealed = true,
        }
    }
    let incarnation = incarnation.filter(|_| sealed);
    Ok(incarnation.map(|incarnation| Scan { incarnation, recovered, valid }))
}

fn append_entries(recovered: &mut Recovered, entries: Vec<Entry>) {
    let Some(first) = entries.first().map(|entry| entry.index) else { return };
    while recovered.entries.last().is_some_and(|entry| entry.index >= first) {
        recovered.entries.pop();
    }
    recovered.entries.extend(entries);
}

/// The next record of a file with `remaining` bytes remaining, and its size; `None` if it is torn.
fn next_record(reader: &mut impl Read, remaining: u64) -> std::io::Result<Option<(Record, u64)>> {
    if remaining < HEADER_BYTES as u64 {
        return Ok(None);
    }
    let mut head = [0; HEADER_BYTES];
    reader.read_exact(&mut head)?;
    let [l0, l1, l2, l3, c0, c1, c2, c3] = head;
    let length = u32::from_le_bytes([l0, l1, l2, l3]);
    let checksum = u32::from_le_bytes([c0, c1, c2, c3]);
    let total = HEADER_BYTES as u64 + u64::from(length);
    if length > MAX_RECORD_BYTES || total > remaining {
        return Ok(None);
    }
    let mut content = vec![0; length as usize];
    reader.read_exact(&mut content)?;
    if crc32fast::hash(&content) != checksum {
        return Ok(None);
    }
    Ok(borsh::from_slice(&content).ok().map(|record| (record, total)))
}
