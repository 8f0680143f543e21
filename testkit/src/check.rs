//! The rules on writes, checked: what clients were told against what data servers have run.
//!
//! Owns the comparison and nothing else. It must never explain a fault away; each is given with its ids.

use std::collections::HashMap;

use crate::client::{Answer, Outcome};
use crate::set::Account;

/// What was wrong, by the ids of the writes. All empty: the rules were kept.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Faults {
    /// Ran more than once.
    pub doubles: Vec<String>,
    /// Served, but it ran nowhere or is not in the log that survived.
    pub silent_losses: Vec<String>,
    /// Refused as harmless, and yet it ran.
    pub false_refusals: Vec<String>,
    /// No final answer in time.
    pub unanswered: Vec<String>,
}

impl Faults {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Takes in what was wrong elsewhere.
    pub fn extend(&mut self, other: Self) {
        self.doubles.extend(other.doubles);
        self.silent_losses.extend(other.silent_losses);
        self.false_refusals.extend(other.false_refusals);
        self.unanswered.extend(other.unanswered);
    }
}

/// Checks the outcomes of one set's requests against its account.
pub fn check(outcomes: &[Outcome], account: &Account) -> Faults {
    let mut faults = Faults::default();
    let times = |counts: &HashMap<String, u32>, id: &str| counts.get(id).copied().unwrap_or(0);
    for Outcome { id, write, answer, .. } in outcomes {
        if *answer == Answer::Unanswered {
            faults.unanswered.push(id.clone());
        }
        if !write {
            continue;
        }
        let (ran, kept) = (times(&account.ran, id), times(&account.kept, id));
        if ran > 1 || kept > 1 {
            faults.doubles.push(id.clone());
        }
        if *answer == Answer::Served && (ran == 0 || kept == 0) {
            faults.silent_losses.push(id.clone());
        }
        if matches!(answer, Answer::Refused(_)) && ran > 0 {
            faults.false_refusals.push(id.clone());
        }
    }
    faults
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::*;

    fn outcome(id: &str, answer: Answer) -> Outcome {
        Outcome { id: id.into(), write: true, sent: Instant::now(), took: Duration::ZERO, answer }
    }

    fn account(ran: &[(&str, u32)], kept: &[(&str, u32)]) -> Account {
        let counts = |of: &[(&str, u32)]| of.iter().map(|(id, n)| ((*id).to_owned(), *n)).collect();
        Account { ran: counts(ran), kept: counts(kept) }
    }

    /// One planted fault of each kind, and none where there is none.
    #[test]
    fn each_planted_fault_is_found_and_only_that() {
        let id = |text: &str| vec![text.to_owned()];
        let refused = || Answer::Refused(None);
        let failed = || Answer::Failed("40003".into());
        let cases = [
            (Answer::Served, (1, 1), Faults::default()),
            (failed(), (0, 0), Faults::default()),
            (failed(), (1, 0), Faults::default()),
            (refused(), (0, 0), Faults::default()),
            (Answer::Left, (1, 1), Faults::default()),
            (Answer::Served, (2, 1), Faults { doubles: id("w"), ..Faults::default() }),
            (Answer::Served, (1, 2), Faults { doubles: id("w"), ..Faults::default() }),
            (failed(), (2, 1), Faults { doubles: id("w"), ..Faults::default() }),
            (Answer::Served, (1, 0), Faults { silent_losses: id("w"), ..Faults::default() }),
            (Answer::Served, (0, 0), Faults { silent_losses: id("w"), ..Faults::default() }),
            (refused(), (1, 1), Faults { false_refusals: id("w"), ..Faults::default() }),
            (Answer::Unanswered, (0, 0), Faults { unanswered: id("w"), ..Faults::default() }),
        ];
        for (answer, (ran, kept), expected) in cases {
            let found = check(&[outcome("w", answer.clone())], &account(&[("w", ran)], &[("w", kept)]));
            assert_eq!(found, expected, "{answer:?}, ran {ran}, kept {kept}");
            assert_eq!(found.is_empty(), expected == Faults::default());
        }
    }
}
