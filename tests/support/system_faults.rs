//! Faults of the system: a library that is loaded into the proxy lets its system calls fail.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;

use super::proxy::{start_proxy_with_environment, Proxy};

/// Time within which the library has read a change of the faults.
const REREAD_TIME: Duration = Duration::from_millis(20);

/// Faults of the system calls of one proxy.
pub struct SystemFaults {
    path: PathBuf,
}

impl SystemFaults {
    /// Creates faults without any fault. `name` is the name of the test.
    pub fn new(name: &str) -> Self {
        let file = format!("{}-{name}.faults", std::process::id());
        let faults = Self { path: Path::new(env!("CARGO_TARGET_TMPDIR")).join(file) };
        faults.clear();
        faults
    }

    /// Starts a proxy that is subject to these faults.
    pub fn start_proxy(&self, config: &str, endpoints: &[String], state_dir: Option<&Path>) -> Proxy {
        let environment = [("LD_PRELOAD", library()), ("SYSTEM_FAULTS", &*self.path)];
        start_proxy_with_environment(config, endpoints, state_dir, &environment)
    }

    /// Lets each `every`-th call of `call` fail with `errno`. 0 stands for a transfer of a single byte.
    pub fn set(&self, call: &str, errno: i64, every: u32) {
        self.write(&format!("{call} {errno} {every}\n"));
    }

    /// Lets all calls succeed.
    pub fn clear(&self) {
        self.write("");
    }

    fn write(&self, text: &str) {
        let new_path = self.path.with_extension("new");
        std::fs::write(&new_path, text).expect("the file can be written");
        std::fs::rename(&new_path, &self.path).expect("the file can be renamed");
        std::thread::sleep(REREAD_TIME);
    }
}

/// Returns the path of the library, which is compiled at the first call.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/support/system_faults.c");
        let file = format!("system-faults-{}.so", std::process::id());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        let arguments = ["-shared", "-fPIC", "-O1", "-Wall", "-Wextra", "-Werror", "-o"];
        let status = Command::new("cc").args(arguments).arg(&path).arg(source).arg("-ldl").status();
        assert!(status.expect("the C compiler can be started").success(), "the library can be compiled");
        path
    })
}
