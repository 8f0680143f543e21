//! Runs the failover trial against a build of the proxy and prints the report.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use pipittack_testkit::failover_trial::{run, FaultKind, FaultTally, Report, TrialOptions};

/// Inject faults into replica sets under load and check the outcome of every write
#[derive(Parser)]
#[command(
    after_help = "Example: failover-trial --rounds 300 --seed 7 --program target/release/pipittack --json"
)]
struct Cli {
    /// Number of rounds over all replica sets; each round injects one fault
    #[arg(long, default_value_t = 20)]
    rounds: usize,
    /// Number of replica sets that run concurrently
    #[arg(long, default_value_t = 8)]
    sets: usize,
    /// Seed of the random faults and load
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Factor by which all times of the platform are multiplied
    #[arg(long, default_value_t = 0.5)]
    scale: f64,
    /// Path of the proxy program, which may be an earlier build
    #[arg(long, default_value = "target/release/pipittack")]
    program: PathBuf,
    /// Path of another build to run with the same faults afterwards, for comparison
    #[arg(long)]
    beside: Option<PathBuf>,
    /// Time after a request's deadline at which it counts as unanswered, in milliseconds
    #[arg(long, default_value_t = 100)]
    slack_ms: u64,
    /// Inject only this kind of fault, such as hang or false_primary
    #[arg(long)]
    only: Option<FaultKind>,
    /// Folder for the proxy's logs and configuration
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Print the state of the replica set after each round
    #[arg(long)]
    verbose: bool,
    /// Print only the report as a line of JSON, without the table
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let default_folder = || std::env::temp_dir().join(format!("failover-trial-{}", std::process::id()));
    let options = TrialOptions {
        program: cli.program,
        folder: cli.folder.unwrap_or_else(default_folder),
        rounds: cli.rounds,
        replica_set_count: cli.sets.clamp(1, cli.rounds.max(1)),
        seed: cli.seed,
        scale: cli.scale,
        response_slack: Duration::from_millis(cli.slack_ms),
        only_kind: cli.only,
        verbose: cli.verbose,
    };
    let comparison_options = cli.beside.map(|program| TrialOptions {
        program,
        folder: options.folder.join("beside"),
        ..options.clone()
    });
    let result = run(options).and_then(|report| {
        let comparison = comparison_options.map(run).transpose()?.map(Box::new);
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
            println!("comparison:");
            print_table(comparison);
        }
    }
    println!("{}", serde_json::to_string(&report).expect("the report is serializable"));
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
        "served share {:.3}, of writes {:.3}; medians: first write {:.1} ms, buffered write {:.0} ms",
        report.served_weight_share,
        report.write_served_weight_share,
        report.time_to_first_write_p50_ms,
        report.buffered_p50_ms
    );
}
