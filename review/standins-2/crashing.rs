//! A request crashes each worker that runs it. All hosts are killed at once, three times, and each time
//! the request is run again.

#[path = "common.rs"]
mod common;
#[path = "workers.rs"]
mod workers;

use common::*;
use std::thread;
use std::time::Duration;
use workers::{Worker, app_config};

const HOSTS: usize = 3;
const WORKERS: usize = 6;
const KILLS: usize = 3;
/// `stable_window_ms`: after it, machines that were killed and started again are in touch.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// The pause between two attempts of the client.
const PAUSE: Duration = Duration::from_millis(3_300);
/// The attempts of the client in each lifetime of the hosts.
const ATTEMPTS: usize = 3;

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder.join("record.txt"));
    let run = RunFolder::create("crashing");
    let pids = Pids::default();
    limit_time(Duration::from_secs(110), &run, &pids);
    let store = Store::start();
    store.put("op/config", &app_config(3, 1_200, 150));
    let work = Duration::from_millis(30);
    let workers: Vec<_> = (1..=WORKERS)
        .map(|number| Worker::start(&format!("w{number}"), "app", 6, 24, work, Some("/book/crash"), &store, &record))
        .collect();
    let mut hosts: Vec<_> = (1..=HOSTS)
        .map(|number| Host::new(&format!("edge-{number}"), "tyrol-a", store.address, &run.0, &pids))
        .collect();
    hosts.iter_mut().for_each(|host| host.start(true));
    let mut number = 0u64;
    let mut attempt = |hosts: &[Host]| {
        number += 1;
        let id = format!("{number:016x}");
        let host = &hosts[number as usize % HOSTS];
        record.line(format!("client sends {id} /book/crash to {}", host.name));
        let headers = [("Deadline-Ms", "2500")];
        let answer = send(host.frontend, "POST", "/book/crash", &id, &headers, b"family of four", Duration::from_millis(2_500));
        record.line(format!("client gets {} for {id}", answer.status));
    };
    // All attempts at workers, with their times.
    let arrivals = |workers: &[Worker]| {
        let all = workers.iter().flat_map(|worker| worker.arrivals.lock().unwrap().clone());
        let mut all: Vec<_> = all.filter(|arrival| arrival.path.starts_with("/book/crash")).collect();
        all.sort_by_key(|arrival| arrival.at);
        all
    };
    let wait_for_hosts = |hosts: &[Host]| {
        if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(20))) {
            cannot_run("the hosts are not ready", &run.0, &pids);
        }
        thread::sleep(STABLE_WINDOW + Duration::from_millis(500));
    };
    wait_for_hosts(&hosts);
    for _ in 0..ATTEMPTS {
        attempt(&hosts);
        thread::sleep(PAUSE);
    }
    for _ in 0..KILLS {
        if has_trouble() {
            record.line("all hosts are killed at once and start again");
            hosts.iter_mut().for_each(Host::kill);
            thread::sleep(Duration::from_millis(500));
            hosts.iter_mut().for_each(|host| host.start(false));
        }
        wait_for_hosts(&hosts);
        for _ in 0..ATTEMPTS {
            attempt(&hosts);
            thread::sleep(PAUSE);
        }
    }
    let all = arrivals(&workers);
    let bound = all.get(2).map(|third| third.at + STABLE_WINDOW);
    let late = all.iter().filter(|arrival| bound.is_some_and(|bound| arrival.at > bound)).count();
    let text = format!(
        "the request reached workers {} times, {late} of them later than stable_window_ms after the third crash",
        all.len()
    );
    record.line(&text);
    println!("{text}");
    hosts.iter_mut().for_each(Host::kill);
    drop(run);
    std::process::exit(if late > 3 { BROKEN } else { HELD });
}
