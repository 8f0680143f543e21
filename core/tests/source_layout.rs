//! The layout of the engine's sources: narrow enough to print, and documented from the crate's root.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINE_WIDTH: usize = 110;
const CRATE_ROOT: &str = include_str!("../src/lib.rs");
const CRATE_DOC_LINES: usize = 6;

/// All Rust files below a folder.
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
    assert!(files.len() > 20, "the sources are found");
    for file in files {
        let text = fs::read_to_string(&file).expect("the file can be read");
        for (index, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= MAX_LINE_WIDTH, "{}:{}", file.display(), index + 1);
        }
    }
}

#[test]
fn the_crate_documentation_names_the_api_module() {
    assert!(CRATE_ROOT.lines().take(CRATE_DOC_LINES).any(|line| line.contains("[`api`]")));
}
