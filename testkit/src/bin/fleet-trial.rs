//! Plays a scenario against many proxies, with processes of a built program or with stepped gateways, and says what came of it.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use pipittack_testkit::fleet::live::{self, Place};
use pipittack_testkit::fleet::plan::Plan;
use pipittack_testkit::fleet::report::Report;
use pipittack_testkit::fleet::scenario;
use pipittack_testkit::fleet::stepper::Stepper;
use serde_json::json;

/// Play a scenario against a fleet
#[derive(Parser)]
#[command(name = "fleet-trial", version, about)]
struct Cli {
    /// The script
    scenario: PathBuf,
    /// The program; by default the release build of this workspace
    #[arg(long, value_name = "PATH", default_value = "target/release/pipittack")]
    program: PathBuf,
    /// Step gateways in this process on virtual time, with no program and no sockets
    #[arg(long)]
    stepped: bool,
    /// Proxies, in place of the script's number
    #[arg(long, visible_alias = "processes", value_name = "N")]
    proxies: Option<usize>,
    /// Data servers, in place of the script's number
    #[arg(long, value_name = "N")]
    servers: Option<usize>,
    /// Seed of all that is drawn; several are played one after another
    #[arg(long, value_name = "N", value_delimiter = ',', default_value = "1")]
    seed: Vec<u64>,
    /// Where processes write; kept if a rule was broken
    #[arg(long, value_name = "DIR")]
    folder: Option<PathBuf>,
    /// One JSON line for each seed, and nothing else, on standard output
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(fault) => {
            eprintln!("fleet-trial: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Whether every rule was kept.
fn run(cli: &Cli) -> Result<bool, String> {
    let name = cli.scenario.display();
    let text = std::fs::read_to_string(&cli.scenario).map_err(|e| format!("{name}: {e}"))?;
    let script = scenario::read(&text).map_err(|e| format!("{name}:{e}"))?;
    let mut kept = true;
    for seed in &cli.seed {
        let mut plan = script.clone();
        scenario::resize(&mut plan, cli.proxies, cli.servers, Some(*seed));
        let report = if cli.stepped { Stepper::new(plan.clone()).play() } else { processes(cli, &plan)? };
        kept &= report.broken.is_empty();
        if cli.json {
            println!("{}", line(cli, &plan, &report));
        } else {
            tell(&plan, &report);
        }
    }
    Ok(kept)
}

fn processes(cli: &Cli, plan: &Plan) -> Result<Report, String> {
    let folder = cli.folder.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("fleet-trial-{}-{}", std::process::id(), plan.seed))
    });
    let program = cli.program.canonicalize().map_err(|e| format!("{}: {e}", cli.program.display()))?;
    let place = Place { program, folder: folder.clone() };
    let report = live::play(plan.clone(), &place).map_err(|e| format!("the trial: {e}"))?;
    if report.broken.is_empty() && cli.folder.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("the logs are in {}", folder.display());
    }
    Ok(report)
}

fn line(cli: &Cli, plan: &Plan, report: &Report) -> serde_json::Value {
    json!({
        "scenario": cli.scenario.file_stem().map(|name| name.to_string_lossy()),
        "stepped": cli.stepped,
        "proxies": plan.proxies,
        "servers": plan.sets * plan.members,
        "seed": plan.seed,
        "share": report.share(),
        "served_within_1s": report.served_within(1.0),
        "last_told_s": report.last_told(),
        "report": report,
    })
}

fn tell(plan: &Plan, report: &Report) {
    let percent = |part: f64| part * 100.0;
    println!("{} proxies, {} servers, seed {}", plan.proxies, plan.sets * plan.members, plan.seed);
    println!("  worth served           {:.1} %", percent(report.share()));
    for (class, (offered, served)) in report.classes.iter().enumerate() {
        println!("    class {class}              {:.1} %", percent(served / offered.max(1e-9)));
    }
    let seconds: Vec<_> = report
        .seconds
        .iter()
        .map(|(offered, served)| format!("{:.0}", percent(served / offered.max(1e-9))))
        .collect();
    println!("  by second              {}", seconds.join(" "));
    let Report { tries, refused, failed, unheard, attempts, handshakes, probes, .. } = report;
    println!("  tries                  {tries}: {refused} refused, {failed} failed, {unheard} unheard");
    println!("  attempts               {attempts}, {} of reads at primaries", report.reads_at_primaries);
    println!(
        "  new connections        {handshakes}, at most {:.1} % of a server",
        percent(report.handshake_share)
    );
    println!("  probes                 {probes}");
    println!(
        "  calls for the list     {}: {} failed, the longest wait {:.2} s, {} starts",
        report.calls,
        report.calls_failed,
        report.call_longest_s,
        report.starts.len()
    );
    let told = report.last_told().map_or("never".into(), |at| format!("after {at:.2} s"));
    println!("  the last was told      {told}");
    println!("  served within 1 s      {:.1} % of the starts", percent(report.served_within(1.0)));
    println!(
        "  cold servers           sent at most {:.2} of what they bear, {} fell",
        report.cold_most, report.fell
    );
    for broken in report.broken.iter().take(10) {
        println!("  BROKEN {broken}");
    }
    if report.broken.len() > 10 {
        println!("  and {} more", report.broken.len() - 10);
    }
}
