//! Checks the line width of the engine's sources and the documentation of the crate root.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINE_WIDTH: usize = 110;
const CRATE_ROOT: &str = include_str!("../src/lib.rs");
const CRATE_DOC_LINES: usize = 6;

/// Returns all Rust files below a folder.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder can be read");
    let paths = entries.map(|entry| entry.expect("the entry can be read").path());
    let (folders, files): (Vec<_>, Vec<_>) = paths.partition(|path| path.is_dir());
    let is_rust = |path: &PathBuf| path.extension().is_some_and(|extension| extension == "rs");
    let nested = folders.iter().flat_map(|folder| rust_files(folder));
    files.into_iter().filter(is_rust).chain(nested).collect()
}

#[test]
fn no_source_line_is_wider_than_110_characters() {
    let files = rust_files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    assert!(files.len() > 20, "expected more than 20 source files");
    for file in files {
        let text = fs::read_to_string(&file).expect("the file can be read");
        for (index, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_LINE_WIDTH, "{}:{} is too wide", file.display(), index + 1);
        }
    }
}

#[test]
fn the_crate_documentation_names_the_api_module() {
    assert!(CRATE_ROOT.lines().take(CRATE_DOC_LINES).any(|line| line.contains("[`api`]")));
}
