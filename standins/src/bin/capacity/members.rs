//! Measures the membership's traffic and failure detection in simulated networks of up to 330
//! members.

use crate::plot::{Series, draw};
use apricotrun::coordination::messages::MemberState;
use apricotrun::prelude::*;
use standins::network::MemberNetwork;
use std::path::Path;

/// The time for the members to discover each other before a measurement.
const SETTLE: Duration = Duration::from_secs(40);
/// The time over which traffic is counted.
const WINDOW: Duration = Duration::from_secs(60);
/// The measured numbers of members.
const SIZES: [usize; 6] = [4, 16, 32, 64, 128, 330];

/// Returns the number of failure domains of a network with this number of members.
fn domains(members: usize) -> usize {
    if members < 16 { 2 } else { 6 }
}

/// Returns the bytes per second that a member of an idle network sends.
fn idle_bytes(members: usize) -> f64 {
    let mut network = MemberNetwork::new(members, domains(members), 0.0);
    network.run(SETTLE);
    let before = network.bytes;
    network.run(WINDOW);
    (network.bytes - before) as f64 / WINDOW.as_secs_f64() / members as f64
}

/// Returns the seconds after a member's failure until all members of its failure domain, and until
/// all members of the network, have declared it dead.
fn detection(members: usize) -> (f64, f64) {
    let domains = domains(members);
    let mut network = MemberNetwork::new(members, domains, 0.0);
    network.run(SETTLE);
    let failed = members - 1;
    network.stopped.insert(failed);
    let limit = Duration::from_secs(120);
    let in_domain = network.run_until(limit, |network| {
        let local = (0..failed).filter(|index| index % domains == failed % domains);
        local.into_iter().all(|index| network.observes(index, failed, MemberState::Dead))
    });
    let after = network.run_until(limit, |network| network.all_observe(failed, MemberState::Dead));
    (in_domain.as_secs_f64(), (in_domain + after).as_secs_f64())
}

/// Returns in how many of 600 checks some running member was declared dead, at 5% packet loss.
fn false_deaths(members: usize) -> f64 {
    const CHECKS: usize = 600;
    let mut network = MemberNetwork::new(members, domains(members), 0.05);
    network.run(SETTLE);
    let mut versions = 0;
    let mut deaths = 0;
    let start: u32 = network.tables.iter().map(|table| table.me().version).sum();
    for _ in 0..CHECKS {
        network.run(Duration::from_millis(200));
        deaths += usize::from(network.count_false_deaths() > 0);
    }
    versions += network.tables.iter().map(|table| table.me().version).sum::<u32>() - start;
    println!(
        "# {members} members: {versions} refutations, false deaths in {deaths} of {CHECKS} checks"
    );
    deaths as f64
}

/// Runs the measurements, draws the traffic into `folder`, and returns the tables.
pub fn measure(folder: &Path) -> String {
    let mut text = String::new();
    let (mut bytes, mut times) = (Vec::new(), Vec::new());
    for members in SIZES {
        let sent = idle_bytes(members);
        let (in_domain, everywhere) = detection(members);
        text += &format!(
            "{members:4} members  sent_bytes_per_s {sent:5.0}  dead_in_domain_s {in_domain:5.2}  \
             dead_everywhere_s {everywhere:5.2}\n"
        );
        bytes.push((members as f64, sent));
        times.push((members as f64, in_domain));
    }
    for members in [16, 64] {
        let deaths = false_deaths(members);
        text += &format!(
            "{members:4} members  looks_with_a_false_death_at_5%_loss {deaths:.0} of 600\n"
        );
    }
    draw(
        &folder.join("members.svg"),
        "Membership traffic of one daemon",
        "members",
        "bytes a second sent",
        &[Series { name: "idle".to_owned(), points: bytes }],
    );
    text
}
