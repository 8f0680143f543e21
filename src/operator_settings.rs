//! The operators' own file: S-expressions, one form for each subsystem that they can set.
//!
//! Owns the spelling of its forms and words, and the messages about what is wrong in it, each with its place. It
//! must never take a part of a file that has a fault: all faults are told at once, and all or nothing counts.

use std::path::Path;

use lexpr::datum::{Datum, Ref};
use lexpr::Parser;
use pipittack_core::api::FailoverSettings;

/// What the operators have set.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OperatorSettings {
    /// `(failover ...)`: changes of primary.
    pub failover: FailoverSettings,
}

/// Faults of a file, each with its line and column and with what was expected there.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.join("\n"))]
pub struct OperatorSettingsError(Vec<String>);

/// Where faults are collected.
struct Notes<'n> {
    name: &'n str,
    faults: Vec<String>,
}

impl Notes<'_> {
    fn add(&mut self, at: (usize, usize), what: &str) {
        self.faults.push(format!("{}:{}:{}: {what}", self.name, at.0, at.1));
    }

    fn expected(&mut self, place: Ref<'_>, what: &str) {
        let found = place.value().to_string();
        let found: String = found.chars().take(40).collect();
        self.add(start(place), &format!("expected {what}, found {found}"));
    }

    /// The word that a form begins with, and the rest of it.
    fn form<'d>(&mut self, datum: Ref<'d>, what: &str) -> Option<(&'d str, Vec<Ref<'d>>)> {
        let mut items = datum.list_iter().into_iter().flatten();
        let Some(word) = items.next().and_then(|first| first.value().as_symbol()) else {
            self.expected(datum, what);
            return None;
        };
        Some((word, items.collect()))
    }

    /// The single number of a form.
    fn number(&mut self, word: &str, datum: Ref<'_>, items: &[Ref<'_>]) -> Option<f64> {
        let number = match items {
            [only] => only.value().as_f64().filter(|number| number.is_finite()),
            _ => None,
        };
        if number.is_none() {
            self.expected(datum, &format!("({word} NUMBER)"));
        }
        number
    }
}

/// Line and column, from 1.
fn start(datum: Ref<'_>) -> (usize, usize) {
    let start = datum.span().start();
    (start.line(), start.column() + 1)
}

impl OperatorSettings {
    /// Reads a file; none is as good as an empty one.
    pub fn load(path: Option<&Path>) -> Result<Self, String> {
        let Some(path) = path else { return Ok(Self::default()) };
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Self::read(&name, &text).map_err(|faults| faults.to_string())
    }

    /// Reads a text; faults are told under `name`.
    pub fn read(name: &str, text: &str) -> Result<Self, OperatorSettingsError> {
        let mut notes = Notes { name, faults: Vec::new() };
        let mut operators = Self::default();
        let mut seen: Vec<String> = Vec::new();
        let mut parser = Parser::from_str(text);
        loop {
            let datum: Datum = match parser.next_datum() {
                Ok(Some(datum)) => datum,
                Ok(None) => break,
                Err(e) => {
                    let at = e.location().map_or((1, 1), |at| (at.line(), at.column() + 1));
                    notes.add(at, &format!("not an S-expression: {e}"));
                    break;
                }
            };
            let Some((word, items)) = notes.form(datum.as_ref(), "(failover ...)") else { continue };
            if seen.iter().any(|before| before == word) {
                notes.expected(datum.as_ref(), "each form once");
                continue;
            }
            seen.push(word.to_owned());
            match word {
                "failover" => operators.failover = failover(&mut notes, datum.as_ref(), &items),
                _ => notes.expected(datum.as_ref(), "(failover ...)"),
            }
        }
        if notes.faults.is_empty() {
            Ok(operators)
        } else {
            Err(OperatorSettingsError(notes.faults))
        }
    }
}

fn failover(notes: &mut Notes<'_>, form: Ref<'_>, items: &[Ref<'_>]) -> FailoverSettings {
    let mut tuning = FailoverSettings::default();
    let before = notes.faults.len();
    let mut seen: Vec<&str> = Vec::new();
    for item in items {
        let Some((word, rest)) = notes.form(*item, "(NAME NUMBER)") else { continue };
        if seen.contains(&word) {
            notes.expected(*item, "each name once");
            continue;
        }
        let Some(number) = notes.number(word, *item, &rest) else { continue };
        seen.push(word);
        let whole = number >= 1.0 && number.fract() == 0.0 && number <= 1e15;
        match word {
            "hold-count" | "hold-bytes" if !whole => notes.expected(*item, "a whole number of 1 or more"),
            "hold-count" => tuning.max_buffered_writes = number as usize,
            "hold-bytes" => tuning.max_buffered_bytes = number as u64,
            "hold-share" => tuning.max_share_per_set = number,
            "patience" => tuning.suspicion_factor = number,
            "refuse-under" => tuning.min_recovery_chance = number,
            "hold-over" => tuning.min_late_recovery_chance = number,
            _ => {
                let names = "hold-count, hold-bytes, hold-share, patience, refuse-under or hold-over";
                notes.expected(*item, names);
            }
        }
        if let Some(invalid) = tuning.validate().err().filter(|invalid| invalid.name == word) {
            notes.expected(*item, &format!("{} for {}", invalid.expected, invalid.name));
            tuning = FailoverSettings::default();
        }
    }
    if notes.faults.len() == before {
        if let Err(invalid) = tuning.validate() {
            notes.expected(form, &format!("{} for {}", invalid.expected, invalid.name));
        }
    }
    tuning
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_in_deploy_is_what_counts_without_one() {
        let text = include_str!("../deploy/operators.lisp");
        assert_eq!(OperatorSettings::read("operators.lisp", text), Ok(OperatorSettings::default()));
        assert_eq!(OperatorSettings::read("empty", "; nothing"), Ok(OperatorSettings::default()));
    }

    #[test]
    fn what_is_set_counts() {
        let text = "(failover (hold-count 7) (patience 2) ; a comment\n (hold-over 0.25))";
        let expected = FailoverSettings {
            max_buffered_writes: 7,
            suspicion_factor: 2.0,
            min_late_recovery_chance: 0.25,
            ..FailoverSettings::default()
        };
        assert_eq!(OperatorSettings::read("f", text), Ok(OperatorSettings { failover: expected }));
    }

    #[rstest::rstest]
    #[case::not_closed("(failover (hold-count 7)", "f:1:")]
    #[case::no_form("7", "f:1:1: expected (failover ...), found 7")]
    #[case::unknown("(failovr)", "f:1:1: expected (failover ...)")]
    #[case::twice("(failover)\n(failover)", "f:2:1: expected each form once")]
    #[case::name_twice("(failover (patience 2)\n(patience 3))", "f:2:1: expected each name once")]
    #[case::unknown_name("(failover\n  (hold 7))", "f:2:3: expected hold-count, hold-bytes")]
    #[case::no_number("(failover (patience soon))", "f:1:11: expected (patience NUMBER)")]
    #[case::two_numbers("(failover (patience 1 2))", "f:1:11: expected (patience NUMBER)")]
    #[case::negative("(failover (hold-count -3))", "f:1:11: expected a whole number of 1 or more")]
    #[case::half("(failover (hold-bytes 0.5))", "f:1:11: expected a whole number of 1 or more")]
    #[case::no_share("(failover (hold-over 1.5))", "f:1:11: expected a share from 0 to 1 for hold-over")]
    fn a_fault_is_told_with_its_place_and_what_was_expected(#[case] text: &str, #[case] says: &str) {
        let faults = OperatorSettings::read("f", text).expect_err("a fault").to_string();
        assert!(faults.starts_with(says), "{faults}");
    }

    #[test]
    fn all_faults_are_told_at_once() {
        let text = "(failover (patience 0)\n (hold-share 2))\n(other)";
        let faults = OperatorSettings::read("f", text).expect_err("faults").to_string();
        assert_eq!(faults.lines().count(), 3, "{faults}");
    }
}
