//! Starts a complete deployment on loopback, sends example requests through it and keeps it
//! running.

use clap::Parser;
use serde_json::{Value, json};
use standins::fleet::{DESK_KEY, Fleet, FleetOptions, OPERATOR_KEY, binaries_folder};
use std::error::Error;
use std::time::Duration;

/// Starts a deployment with four failure domains, sends requests through it and keeps it running.
#[derive(Debug, Parser)]
struct Args {
    /// Exits after the requests.
    #[arg(long)]
    once: bool,
}

fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse();
    let mut options = FleetOptions::new(&binaries_folder());
    options.domains = ["tyrol-a", "tyrol-b", "tyrol-c", "tyrol-d"].map(str::to_owned).to_vec();
    println!("Starting 8 daemons, 12 engines and 8 plain upstreams in 4 failure domains ...");
    let fleet = Fleet::start(options)?;
    let entry = &fleet.daemons[0];
    let client =
        reqwest::blocking::Client::builder().no_proxy().timeout(Duration::from_secs(30)).build()?;
    let send = |path: &str, headers: &[(&str, &str)], body: &Value| -> Result<(), Box<dyn Error>> {
        let mut request = client.post(entry.url(path)).bearer_auth(DESK_KEY).json(body);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = request.send()?;
        println!("\nPOST {path} {headers:?} {body}\n  {}", response.status());
        for name in ["Apricotrun-Verdict", "Apricotrun-Replayed", "Retry-After"] {
            if let Some(value) = response.headers().get(name) {
                println!("  {name}: {}", value.to_str()?);
            }
        }
        for line in response.text()?.lines().filter(|line| !line.is_empty()) {
            println!("  {line}");
        }
        Ok(())
    };
    let prompt = "Binding history: Anna, 58 kg, 315 mm soles.";
    let note = json!({ "model": "fitting-7b", "prompt": prompt, "max_tokens": 6 });
    send("/v1/completions", &[], &note)?;
    let mut streamed = note.clone();
    streamed["stream"] = json!(true);
    send("/v1/completions", &[], &streamed)?;
    let booking = json!({ "skis": "K2 170", "family": "Huber" });
    send("/services/rental-app/bookings", &[], &booking)?;
    send("/services/rental-app/bookings", &[("Idempotency-Key", "huber-1")], &booking)?;
    send("/services/rental-app/bookings", &[("Idempotency-Key", "huber-1")], &booking)?;
    println!("\n{}", fleet.ctl(&["status"])?);
    if args.once {
        return Ok(());
    }
    println!("The deployment runs until you press Ctrl-C. Try:\n");
    println!(
        "  curl -N http://{}/v1/completions -H 'Authorization: Bearer {DESK_KEY}' \\\n    \
         -d '{streamed}'",
        entry.http
    );
    println!(
        "  apricotctl --daemon {} --store {} --operator-key {OPERATOR_KEY} status",
        entry.http, fleet.store_server.address
    );
    println!("\nSettings and documents are in {}.", fleet.folder.path().display());
    loop {
        std::thread::park();
    }
}
