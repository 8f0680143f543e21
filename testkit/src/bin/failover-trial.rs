//! Plays changes of primary under load against the built program, and counts what became of every write.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use pipittack_testkit::trial::{play, Kind, Plan, Report};

/// Play changes of primary under load, and count what became of every write
#[derive(Parser)]
#[command(
    after_help = "Example: failover-trial --rounds 300 --seed 7 --program target/release/pipittack --json"
)]
struct Cli {
    /// Changes to play
    #[arg(long, default_value_t = 20)]
    rounds: usize,
    /// Sets that are played side by side
    #[arg(long, default_value_t = 8)]
    sets: usize,
    /// Of the script and the load
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// All times are those of the platform times this
    #[arg(long, default_value_t = 0.5)]
    scale: f64,
    /// The program; an earlier build plays the same script
    #[arg(long, default_value = "target/release/pipittack")]
    program: PathBuf,
    /// Another build, to which the same script is played afterwards, for comparison
    #[arg(long)]
    beside: Option<PathBuf>,
    /// Milliseconds past a request's wait after which it has got no answer
    #[arg(long, default_value_t = 100)]
    slack_ms: u64,
    /// Only one kind of change, such as hang or false_primary
    #[arg(long, value_parser = kind)]
    only: Option<Kind>,
    /// Where the program's log and configuration go
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Say how each set stands after each round
    #[arg(long)]
    verbose: bool,
    /// No table, only the line of JSON
    #[arg(long)]
    json: bool,
}

fn kind(text: &str) -> Result<Kind, String> {
    serde_json::from_value(serde_json::Value::from(text)).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let own = || std::env::temp_dir().join(format!("failover-trial-{}", std::process::id()));
    let plan = Plan {
        program: cli.program,
        folder: cli.folder.unwrap_or_else(own),
        rounds: cli.rounds,
        sets: cli.sets.clamp(1, cli.rounds.max(1)),
        seed: cli.seed,
        scale: cli.scale,
        slack: Duration::from_millis(cli.slack_ms),
        only: cli.only,
        tell: cli.verbose,
    };
    let other =
        cli.beside.map(|program| Plan { program, folder: plan.folder.join("beside"), ..plan.clone() });
    let played = play(plan).and_then(|report| {
        let beside = other.map(play).transpose()?.map(Box::new);
        Ok(Report { beside, ..report })
    });
    let report = match played {
        Ok(report) => report,
        Err(fault) => {
            eprintln!("failover-trial: {fault}");
            return ExitCode::FAILURE;
        }
    };
    if !cli.json {
        table(&report);
        if let Some(other) = &report.beside {
            println!("beside it:");
            table(other);
        }
    }
    println!("{}", serde_json::to_string(&report).expect("plain figures"));
    if report.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn table(report: &Report) {
    println!(
        "{:<16} {:>6} {:>7} {:>7} {:>7} {:>7}",
        "kind", "rounds", "writes", "served", "refused", "failed"
    );
    for (kind, t) in &report.kinds {
        let (r, w, s, f) = (t.rounds, t.writes, t.served, t.failed);
        println!("{kind:<16} {r:>6} {w:>7} {s:>7} {:>7} {f:>7}", t.refused);
    }
    let (kept, writes) = (report.worth_kept, report.write_worth_kept);
    let (first, held) = (report.first_write_after_takeover_p50_ms, report.held_p50_ms);
    println!("worth kept {kept:.3}, of writes {writes:.3}; first write {first:.1} ms after a takeover; held {held:.0} ms");
}
