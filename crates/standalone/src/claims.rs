//! Claims as files in a folder next to the catalog; the creator of the file for a key holds it.

use std::fs::OpenOptions;
use std::io::{ErrorKind, Write};
use std::path::PathBuf;

use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use yokefall_serving::{Claim, Registry, SourceError};

/// Characters that are percent-encoded in file names.
const NOT_IN_FILE_NAMES: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_');

/// Registry of claims in a folder, which must be shared by all processes.
#[derive(Debug)]
pub struct FileRegistry {
    folder: PathBuf,
}

impl FileRegistry {
    /// Stores claims in a folder, which is created on first use.
    pub fn new(folder: PathBuf) -> Self {
        Self { folder }
    }

    /// The file of a name, which may contain any character.
    fn file(&self, name: &str) -> PathBuf {
        self.folder.join(utf8_percent_encode(name, NOT_IN_FILE_NAMES).to_string())
    }

    fn failed(&self, step: &'static str, cause: std::io::Error) -> SourceError {
        let peer = self.folder.display().to_string();
        SourceError::Failed { step, peer, cause: cause.to_string() }
    }
}

impl Registry for FileRegistry {
    async fn claim(&mut self, key: &str, claimant: &str) -> Result<Claim, SourceError> {
        std::fs::create_dir_all(&self.folder).map_err(|e| self.failed("create folder", e))?;
        let path = self.file(key);
        // A draft with the claimant is linked to the final name, so no claim is read without it.
        let draft = self.file(&format!("{key}.{claimant}.draft"));
        let mut options = OpenOptions::new();
        let mut file = options
            .write(true)
            .create(true)
            .truncate(true)
            .open(&draft)
            .map_err(|error| self.failed("write", error))?;
        file.write_all(claimant.as_bytes()).map_err(|error| self.failed("write", error))?;
        let linked = std::fs::hard_link(&draft, &path);
        let _ = std::fs::remove_file(&draft);
        match linked {
            Ok(()) => return Ok(Claim::Mine),
            Err(error) if error.kind() == ErrorKind::AlreadyExists => {}
            Err(error) => return Err(self.failed("claim", error)),
        }
        let holder = std::fs::read_to_string(&path).map_err(|error| self.failed("read", error))?;
        Ok(if holder == claimant { Claim::Mine } else { Claim::Another })
    }

    async fn report_retirement(
        &mut self,
        machine: &str,
        completed: bool,
    ) -> Result<(), SourceError> {
        std::fs::create_dir_all(&self.folder).map_err(|e| self.failed("create folder", e))?;
        let path = self.file(&format!("retired-{machine}"));
        let state = if completed { "completed" } else { "active" };
        std::fs::write(path, state).map_err(|error| self.failed("report", error))
    }

    fn reset(&mut self) {}
}
