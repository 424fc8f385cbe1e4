//! The membership at up to 330 members in one process.

use crate::plot::{Series, draw};
use apricotrun::coordination::messages::MemberState;
use apricotrun::prelude::*;
use standins::network::MemberNetwork;
use std::path::Path;

/// How long the members find each other before anything is measured.
const SETTLE: Duration = Duration::from_secs(40);
/// How long traffic is counted.
const WINDOW: Duration = Duration::from_secs(60);
const SIZES: [usize; 6] = [4, 16, 32, 64, 128, 330];

fn domains(members: usize) -> usize {
    if members < 16 { 2 } else { 6 }
}

/// Returns the bytes a second that a member sends.
fn idle_bytes(members: usize) -> f64 {
    let mut network = MemberNetwork::new(members, domains(members), 0.0);
    network.run(SETTLE);
    let before = network.bytes;
    network.run(WINDOW);
    (network.bytes - before) as f64 / WINDOW.as_secs_f64() / members as f64
}

/// Returns the seconds until the member's failure domain, and until all, know of its death.
fn detection(members: usize) -> (f64, f64) {
    let domains = domains(members);
    let mut network = MemberNetwork::new(members, domains, 0.0);
    network.run(SETTLE);
    let victim = members - 1;
    network.stopped.insert(victim);
    let limit = Duration::from_secs(120);
    let near = network.run_until(limit, |network| {
        let local = (0..victim).filter(|index| index % domains == victim % domains);
        local.into_iter().all(|index| network.observes(index, victim, MemberState::Dead))
    });
    let rest = network.run_until(limit, |network| network.all_observe(victim, MemberState::Dead));
    (near.as_secs_f64(), (near + rest).as_secs_f64())
}

/// Returns how many members were ever taken for dead, per member and hour, at 5% loss.
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
    println!("# {members} members: {versions} objections, {deaths} of {CHECKS} looks saw a death");
    deaths as f64
}

/// Measures and returns the table.
pub fn measure(folder: &Path) -> String {
    let mut text = String::new();
    let (mut bytes, mut times) = (Vec::new(), Vec::new());
    for members in SIZES {
        let sent = idle_bytes(members);
        let (near, all) = detection(members);
        text += &format!(
            "{members:4} members  sent_bytes_per_s {sent:5.0}  dead_in_domain_s {near:5.2}  \
             dead_everywhere_s {all:5.2}\n"
        );
        bytes.push((members as f64, sent));
        times.push((members as f64, near));
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
