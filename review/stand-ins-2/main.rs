//! Runs one case of the second review: `cases NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod kit;
mod settings;

mod case_large_answers;
mod case_large_writes;
mod case_listed_again;
mod case_out_of_service;
mod case_shutdown;
mod case_upgrade;

use kit::Run;

/// Result of a case: whether the rule held, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() {
    let mut args = std::env::args().skip(1);
    let name = args.next().unwrap_or_default();
    let folder = args.next().unwrap_or_default();
    let case: fn(&Run) -> Verdict = match name.as_str() {
        "listed-again" => case_listed_again::run,
        "large-answers" => case_large_answers::run,
        "large-writes" => case_large_writes::run,
        "shutdown" => case_shutdown::run,
        "upgrade" => case_upgrade::run,
        "out-of-service" => case_out_of_service::run,
        _ => {
            eprintln!("no such case: {name}");
            std::process::exit(2);
        }
    };
    kit::end_after(110);
    let run = Run::new(std::path::Path::new(&folder));
    let verdict = case(&run);
    let (code, text) = match verdict {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    run.record.line(&text);
    run.finish();
    println!("{name}: {text}");
    std::process::exit(code);
}
