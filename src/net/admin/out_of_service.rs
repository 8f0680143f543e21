//! The servers that operators have taken out of service, and the file that stores them.
//!
//! All processes of a proxy instance share the file: one that is replaced, and its successor. A change is
//! stored before it counts. The file is replaced as a whole, so that a reader never sees a part of it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

/// Whether operators let a server get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    /// The server may get requests.
    InService,
    /// An operator has taken the server out of service.
    OutOfService,
}

/// A server whose state has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceChange {
    /// The server's name in the endpoint list.
    pub uid: String,
    /// Its new state.
    pub state: ServiceState,
}

/// A file that could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum OutOfServiceError {
    /// The file exists and cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The file has other content.
    #[error("cannot parse {}: {source}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The file cannot be replaced.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
}

/// The content of the file.
#[derive(Default, Serialize, Deserialize)]
struct StoredList {
    offline: BTreeSet<String>,
}

/// Identifies one version of the file. Each write makes a new inode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    inode: u64,
}

/// The names of the servers that are out of service.
pub struct OutOfServiceList {
    file: Option<PathBuf>,
    /// The version of the file that was read last.
    version: Cell<Option<FileVersion>>,
    servers: RefCell<BTreeSet<String>>,
}

impl OutOfServiceList {
    /// An empty list that is stored in `file`; without one, it lasts as long as the process. Reads nothing
    /// yet.
    pub fn new(file: Option<PathBuf>) -> Self {
        Self { file, version: Cell::default(), servers: RefCell::default() }
    }

    /// Whether the server of this name is out of service.
    pub fn contains(&self, uid: &str) -> bool {
        self.servers.borrow().contains(uid)
    }

    /// The state of the server of this name.
    pub fn state(&self, uid: &str) -> ServiceState {
        if self.contains(uid) {
            ServiceState::OutOfService
        } else {
            ServiceState::InService
        }
    }

    /// Sets a server's state, and stores it. Nothing changes if that fails.
    pub fn set(&self, uid: &str, state: ServiceState) -> Result<(), OutOfServiceError> {
        let stored = self.read()?;
        let mut servers = stored.unwrap_or_else(|| self.servers.borrow().clone());
        match state {
            ServiceState::OutOfService => servers.insert(uid.to_owned()),
            ServiceState::InService => servers.remove(uid),
        };
        let list = StoredList { offline: servers };
        if let Some(file) = &self.file {
            write(file, &list).map_err(|source| OutOfServiceError::Write { path: file.clone(), source })?;
        }
        self.servers.replace(list.offline);
        Ok(())
    }

    /// Reads the file if it has changed since it was last read, and returns the servers whose state differs.
    /// A file that cannot be read is not read again until it changes.
    pub fn reload(&self) -> Result<Vec<ServiceChange>, OutOfServiceError> {
        let version = self.file.as_deref().and_then(file_version);
        if version.is_none() || version == self.version.get() {
            return Ok(Vec::new());
        }
        self.version.set(version);
        let servers = self.read()?.unwrap_or_default();
        let previous = self.servers.replace(servers);
        let servers = self.servers.borrow();
        let changed = servers.symmetric_difference(&previous);
        Ok(changed.map(|uid| ServiceChange { uid: uid.clone(), state: self.state(uid) }).collect())
    }

    /// The content of the file; `None` if there is none.
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

fn file_version(file: &Path) -> Option<FileVersion> {
    let metadata = std::fs::metadata(file).ok()?;
    Some(FileVersion { modified: metadata.modified().ok()?, inode: metadata.ino() })
}

/// Writes a new file and renames it to `file`.
fn write(file: &Path, list: &StoredList) -> io::Result<()> {
    let new_file = file.with_extension(format!("new-{}", std::process::id()));
    std::fs::write(&new_file, serde_json::to_vec(list)?)?;
    std::fs::rename(&new_file, file)
}
