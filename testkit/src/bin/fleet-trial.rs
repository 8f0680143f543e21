//! Runs a scenario against a fleet of proxies, either as processes of a build of the proxy or as a
//! simulation, and prints the report.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use pipittack_testkit::fleet::plan::Plan;
use pipittack_testkit::fleet::process_trial::{self, TrialPaths};
use pipittack_testkit::fleet::report::Report;
use pipittack_testkit::fleet::scenario::{self, ScenarioError};
use pipittack_testkit::fleet::simulation::Simulation;
use serde_json::json;

/// Maximum number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 10;

/// Run a scenario against a fleet of proxies
#[derive(Parser)]
#[command(name = "fleet-trial", version, about)]
struct Cli {
    /// Path of the scenario file
    scenario: PathBuf,
    /// Path of the proxy program; by default the release build of this workspace
    #[arg(long, value_name = "PATH", default_value = "target/release/pipittack")]
    program: PathBuf,
    /// Simulate the proxies in this process in virtual time, without the proxy program and without sockets
    #[arg(long)]
    stepped: bool,
    /// Number of proxies, overriding the scenario
    #[arg(long, visible_alias = "processes", value_name = "N")]
    proxies: Option<usize>,
    /// Number of data servers, overriding the scenario
    #[arg(long, value_name = "N")]
    servers: Option<usize>,
    /// Seeds of the random numbers; the scenario is run once for each seed
    #[arg(long, value_name = "N", value_delimiter = ',', default_value = "1")]
    seed: Vec<u64>,
    /// Folder for the files of the processes, always kept; the default folder is kept only after a violation
    #[arg(long, value_name = "DIR")]
    folder: Option<PathBuf>,
    /// Print only one line of JSON for each seed to standard output
    #[arg(long)]
    json: bool,
}

/// Error that prevents a trial from running.
#[derive(Debug, thiserror::Error)]
enum TrialError {
    #[error("failed to access {path}: {source}")]
    Read { path: PathBuf, source: std::io::Error },
    #[error("{path}:{source}")]
    Scenario { path: PathBuf, source: ScenarioError },
    #[error("trial failed: {0}")]
    Run(std::io::Error),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(error) => {
            eprintln!("fleet-trial: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the trials of all seeds. Returns whether no rule was violated.
fn run(cli: &Cli) -> Result<bool, TrialError> {
    let path = &cli.scenario;
    let text = std::fs::read_to_string(path).map_err(|source| read_error(path, source))?;
    let scenario =
        scenario::parse(&text).map_err(|source| TrialError::Scenario { path: path.clone(), source })?;
    let mut passed = true;
    for seed in &cli.seed {
        let mut plan = scenario.clone();
        scenario::resize(&mut plan, cli.proxies, cli.servers, Some(*seed));
        let report =
            if cli.stepped { Simulation::new(plan.clone()).run() } else { run_processes(cli, &plan)? };
        passed &= report.violations.is_empty();
        if cli.json {
            println!("{}", json_line(cli, &plan, &report));
        } else {
            print_report(&plan, &report);
        }
    }
    Ok(passed)
}

fn read_error(path: &Path, source: std::io::Error) -> TrialError {
    TrialError::Read { path: path.to_owned(), source }
}

fn run_processes(cli: &Cli, plan: &Plan) -> Result<Report, TrialError> {
    let folder = cli.folder.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("fleet-trial-{}-{}", std::process::id(), plan.seed))
    });
    let program = cli.program.canonicalize().map_err(|source| read_error(&cli.program, source))?;
    let paths = TrialPaths { program, folder: folder.clone() };
    let report = process_trial::run(plan.clone(), &paths).map_err(TrialError::Run)?;
    if report.violations.is_empty() && cli.folder.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs kept in {}", folder.display());
    }
    Ok(report)
}

fn json_line(cli: &Cli, plan: &Plan, report: &Report) -> serde_json::Value {
    json!({
        "scenario": cli.scenario.file_stem().map(|name| name.to_string_lossy()),
        "stepped": cli.stepped,
        "proxies": plan.proxy_count,
        "servers": plan.replica_set_count * plan.members_per_set,
        "seed": plan.seed,
        "share": report.served_share(),
        "served_within_1s": report.served_within(1.0),
        "last_told_s": report.last_notified(),
        "report": report,
    })
}

fn percent(share: f64) -> f64 {
    share * 100.0
}

fn print_report(plan: &Plan, report: &Report) {
    println!(
        "{} proxies, {} servers, seed {}",
        plan.proxy_count,
        plan.replica_set_count * plan.members_per_set,
        plan.seed
    );
    print_clients(report);
    print_servers(report);
    print_violations(report);
}

fn print_clients(report: &Report) {
    println!("  weight served          {:.1} %", percent(report.served_share()));
    for (class, weight) in report.classes.iter().enumerate() {
        println!("    class {class}              {:.1} %", percent(weight.served_share()));
    }
    let seconds: Vec<_> =
        report.seconds.iter().map(|weight| format!("{:.0}", percent(weight.served_share()))).collect();
    println!("  by second              {}", seconds.join(" "));
    let Report { tries, rejected, failed, unreachable, closed_unanswered, .. } = report;
    println!(
        "  tries                  {tries}: {rejected} rejected, {failed} failed, {unreachable} unreachable, \
         {closed_unanswered} of them closed after the statement was written"
    );
}

fn print_servers(report: &Report) {
    let Report { attempts, handshakes, health_checks, .. } = report;
    println!("  attempts               {attempts}, {} of reads at primaries", report.reads_at_primaries);
    println!(
        "  new connections        {handshakes}, at most {:.1} % of a server's capacity",
        percent(report.handshake_share)
    );
    println!("  health checks          {health_checks}");
    println!(
        "  discovery polls        {}: {} failed, the longest wait {:.2} s, {} starts",
        report.polls,
        report.failed_polls,
        report.longest_poll_s,
        report.starts.len()
    );
    let notified = report.last_notified().map_or("never".into(), |at| format!("after {at:.2} s"));
    println!("  last list received     {notified}");
    println!("  served within 1 s      {:.1} % of the starts", percent(report.served_within(1.0)));
    println!(
        "  servers warming up     at most {:.2} of their overload limit, {} crashed",
        report.max_overload_ratio, report.overload_crashes
    );
}

fn print_violations(report: &Report) {
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  VIOLATION {violation}");
    }
    if report.violations.len() > MAX_PRINTED_VIOLATIONS {
        println!("  and {} more", report.violations.len() - MAX_PRINTED_VIOLATIONS);
    }
}
