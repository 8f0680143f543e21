//! The list of servers that operators have taken out of service, and the file that stores it.
//!
//! All processes of a proxy instance share the file, for example a predecessor and its successor. A change is
//! stored before it takes effect. The file is replaced atomically, so that a reader never sees a partial
//! list.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

/// Whether operators have taken a data server out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    /// The routing engine may use the server.
    InService,
    /// The routing engine does not use the server, because an operator has taken it out of service.
    OutOfService,
}

/// Change of a server's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceChange {
    /// Name of the server in the endpoint list.
    pub name: String,
    /// New state of the server.
    pub state: ServiceState,
}

/// Reason why the file could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum OutOfServiceError {
    /// The file exists but cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system call.
        source: io::Error,
    },
    /// The content of the file is not a list of servers.
    #[error("cannot parse {}: {source}", path.display())]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// The new file cannot be written, or cannot replace the old one.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system call.
        source: io::Error,
    },
}

/// Content of the file.
#[derive(Default, Serialize, Deserialize)]
struct StoredList {
    /// Names of the servers that are out of service.
    offline: BTreeSet<String>,
}

/// Identifies a version of the file. Each write creates a new inode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    inode: u64,
}

/// List of the servers that are out of service, by name.
pub struct OutOfServiceList {
    /// Path of the file; `None` if the list is not stored.
    file: Option<PathBuf>,
    /// Version of the file that [`Self::reload`] read last; `None` before the first read.
    version: Cell<Option<FileVersion>>,
    servers: RefCell<BTreeSet<String>>,
}

impl OutOfServiceList {
    /// Creates an empty list that is stored in `file`, without reading the file. If `file` is `None`, the
    /// list is kept only until the process ends.
    pub fn new(file: Option<PathBuf>) -> Self {
        Self { file, version: Cell::default(), servers: RefCell::default() }
    }

    /// Returns whether the server with this name is out of service.
    pub fn contains(&self, name: &str) -> bool {
        self.servers.borrow().contains(name)
    }

    /// Returns the state of the server with this name.
    pub fn state(&self, name: &str) -> ServiceState {
        if self.contains(name) {
            ServiceState::OutOfService
        } else {
            ServiceState::InService
        }
    }

    /// Stores the new state of a server and then sets it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or written. The list is then unchanged.
    pub fn set(&self, name: &str, state: ServiceState) -> Result<(), OutOfServiceError> {
        let stored = self.read()?;
        let mut servers = stored.unwrap_or_else(|| self.servers.borrow().clone());
        match state {
            ServiceState::OutOfService => servers.insert(name.to_owned()),
            ServiceState::InService => servers.remove(name),
        };
        let list = StoredList { offline: servers };
        if let Some(file) = &self.file {
            replace_file(file, &list)
                .map_err(|source| OutOfServiceError::Write { path: file.clone(), source })?;
        }
        self.servers.replace(list.offline);
        Ok(())
    }

    /// Reads the file if it has changed since the last call, and returns the servers whose state has changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read. The next call reads it again, unless its content is
    /// malformed: then it is not read again until it changes.
    pub fn reload(&self) -> Result<Vec<ServiceChange>, OutOfServiceError> {
        let version = self.file.as_deref().and_then(file_version);
        if version.is_none() || version == self.version.get() {
            return Ok(Vec::new());
        }
        let servers = match self.read() {
            Err(e @ OutOfServiceError::Read { .. }) => return Err(e),
            read => {
                self.version.set(version);
                read?.unwrap_or_default()
            }
        };
        let previous = self.servers.replace(servers);
        let servers = self.servers.borrow();
        let changed = servers.symmetric_difference(&previous);
        Ok(changed.map(|name| ServiceChange { name: name.clone(), state: self.state(name) }).collect())
    }

    /// Reads the list from the file. Returns `None` if there is no file.
    fn read(&self) -> Result<Option<BTreeSet<String>>, OutOfServiceError> {
        let Some(path) = &self.file else { return Ok(None) };
        let content = match std::fs::read(path) {
            Ok(content) => content,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(OutOfServiceError::Read { path: path.clone(), source }),
        };
        match serde_json::from_slice::<StoredList>(&content) {
            Ok(list) => Ok(Some(list.offline)),
            Err(source) => Err(OutOfServiceError::Parse { path: path.clone(), source }),
        }
    }
}

/// Returns the current version of the file, or `None` if the file cannot be inspected.
fn file_version(file: &Path) -> Option<FileVersion> {
    let metadata = std::fs::metadata(file).ok()?;
    Some(FileVersion { modified: metadata.modified().ok()?, inode: metadata.ino() })
}

/// Replaces `file` atomically: writes a new file and renames it. Returns only once the change outlasts a crash of
/// the machine.
fn replace_file(file: &Path, list: &StoredList) -> io::Result<()> {
    let new_file = file.with_extension(format!("new-{}", std::process::id()));
    let replaced =
        write_synced(&new_file, &serde_json::to_vec(list)?).and_then(|()| std::fs::rename(&new_file, file));
    if replaced.is_err() {
        let _ = std::fs::remove_file(&new_file); // it may not exist
    }
    replaced?;
    match file.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

fn write_synced(path: &Path, content: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(content)?;
    file.sync_all()
}
