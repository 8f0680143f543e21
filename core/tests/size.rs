//! The operators print the module: it must stay short and narrow.

const MODULE: &str = include_str!("../src/decide.rs");

#[test]
fn the_module_has_at_most_950_lines() {
    let lines = MODULE.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines");
}

#[test]
fn no_line_of_the_module_is_wider_than_110_characters() {
    for (at, line) in MODULE.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {}", at + 1);
    }
}

#[test]
fn the_module_names_its_interface_at_its_top() {
    assert!(MODULE.lines().take(3).any(|l| l.contains("src/interface.rs")));
}
