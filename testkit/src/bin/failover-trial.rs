//! Runs the failover trial against the built program and prints its report.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use pipittack_testkit::failover_trial::{run, FaultKind, FaultTally, Plan, Report};

/// Inject failovers under load, and check what became of every write
#[derive(Parser)]
#[command(
    after_help = "Example: failover-trial --rounds 300 --seed 7 --program target/release/pipittack --json"
)]
struct Cli {
    /// Rounds to run; each injects one fault
    #[arg(long, default_value_t = 20)]
    rounds: usize,
    /// Replica sets that run side by side
    #[arg(long, default_value_t = 8)]
    sets: usize,
    /// Seed of the faults and the load
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Factor on all times of the platform
    #[arg(long, default_value_t = 0.5)]
    scale: f64,
    /// The program; an earlier build gets the same faults
    #[arg(long, default_value = "target/release/pipittack")]
    program: PathBuf,
    /// Another build that gets the same faults afterwards, for comparison
    #[arg(long)]
    beside: Option<PathBuf>,
    /// Milliseconds past a request's wait after which it counts as unanswered
    #[arg(long, default_value_t = 100)]
    slack_ms: u64,
    /// Only one kind of fault, such as hang or false_primary
    #[arg(long)]
    only: Option<FaultKind>,
    /// Folder of the program's log and configuration
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Print the state of each set after each round
    #[arg(long)]
    verbose: bool,
    /// Print no table, only the line of JSON
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let default_folder = || std::env::temp_dir().join(format!("failover-trial-{}", std::process::id()));
    let plan = Plan {
        program: cli.program,
        folder: cli.folder.unwrap_or_else(default_folder),
        rounds: cli.rounds,
        sets: cli.sets.clamp(1, cli.rounds.max(1)),
        seed: cli.seed,
        scale: cli.scale,
        response_slack: Duration::from_millis(cli.slack_ms),
        only: cli.only,
        verbose: cli.verbose,
    };
    let comparison_plan =
        cli.beside.map(|program| Plan { program, folder: plan.folder.join("beside"), ..plan.clone() });
    let result = run(plan).and_then(|report| {
        let comparison = comparison_plan.map(run).transpose()?.map(Box::new);
        Ok(Report { comparison, ..report })
    });
    let report = match result {
        Ok(report) => report,
        Err(error) => {
            eprintln!("failover-trial: {error}");
            return ExitCode::FAILURE;
        }
    };
    if !cli.json {
        print_table(&report);
        if let Some(comparison) = &report.comparison {
            println!("beside it:");
            print_table(comparison);
        }
    }
    println!("{}", serde_json::to_string(&report).expect("plain figures"));
    if report.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_table(report: &Report) {
    println!(
        "{:<16} {:>6} {:>7} {:>7} {:>7} {:>7}",
        "kind", "rounds", "writes", "served", "refused", "failed"
    );
    for (kind, tally) in &report.by_fault {
        let FaultTally { rounds, writes, served, rejected, failed } = tally;
        println!("{kind:<16} {rounds:>6} {writes:>7} {served:>7} {rejected:>7} {failed:>7}");
    }
    println!(
        "worth kept {:.3}, of writes {:.3}; first write {:.1} ms after a takeover; held {:.0} ms",
        report.served_value_ratio,
        report.write_served_value_ratio,
        report.time_to_first_write_p50_ms,
        report.buffered_p50_ms
    );
}
