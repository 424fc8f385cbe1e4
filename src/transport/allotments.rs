//! Leases the tokens of client accounts between daemons.

use crate::coordination::allotments::{
    AllotmentLedger, AllotmentMessage, AllotmentTolerance, LeaseAction, LeaseBook, LeaseOutcome,
    LedgerStatus, LedgerView,
};
use crate::coordination::messages::{MemberRecord, MemberState, PeerMessage};
use crate::coordination::ownership::{allotment_key, rank_daemons};
use crate::prelude::*;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::{DaemonNode, lock};
use metrics::counter;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// The interval at which leases are reported, renewed and given back.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// For how long it is kept which daemon keeps the ledger of an account.
const KEEPER_TTL: Duration = Duration::from_secs(1);

/// The allotments in force, this daemon's leases and the ledgers that it keeps.
pub struct AllotmentDesk {
    /// Notified when the ledger of an account has answered.
    answered: Notify,
    /// Notified when the first allotment is in force.
    begun: Notify,
    /// The daemons that keep the ledgers, as last computed. Ranking all daemons for each message would
    /// grow with the fleet.
    keepers: Mutex<KeeperCache>,
    tables: Mutex<AllotmentTables>,
}

#[derive(Default)]
struct KeeperCache {
    computed_at: Option<Instant>,
    records: BTreeMap<AccountName, MemberRecord>,
}

struct AllotmentTables {
    book: LeaseBook,
    ledger: AllotmentLedger,
    limits: BTreeMap<AccountName, TokenAllotment>,
    tolerance: AllotmentTolerance,
}

impl AllotmentDesk {
    /// Returns a desk without allotments.
    pub fn new(tolerance: AllotmentTolerance) -> Self {
        let tables = AllotmentTables {
            book: LeaseBook::new(tolerance),
            ledger: AllotmentLedger::default(),
            limits: BTreeMap::new(),
            tolerance,
        };
        Self {
            answered: Notify::new(),
            begun: Notify::new(),
            keepers: Mutex::default(),
            tables: Mutex::new(tables),
        }
    }

    /// Forgets which daemons keep the ledgers, as the members have changed.
    pub fn forget_keepers(&self) {
        lock(&self.keepers).records.clear();
    }
}

/// Ticks the leases until the task is dropped. Without allotments it sleeps.
pub async fn tick_leases(node: Arc<DaemonNode>) {
    loop {
        if lock(&node.allotments.tables).limits.is_empty() {
            node.allotments.begun.notified().await;
        }
        tokio::time::sleep(TICK_PERIOD).await;
        node.tick_allotments();
    }
}

impl DaemonNode {
    /// Puts the allotments of a configuration in force.
    pub fn set_allotments(&self, limits: BTreeMap<AccountName, TokenAllotment>) {
        let is_used = !limits.is_empty();
        lock(&self.allotments.tables).limits = limits;
        if is_used {
            self.allotments.begun.notify_one();
        }
    }

    /// Takes the cost of a request from the account's allotment, and waits for tokens for at most
    /// `patience`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the time at which there are tokens again.
    pub async fn take_tokens(
        self: &Arc<Self>,
        account: &AccountName,
        cost: f64,
        patience: Duration,
    ) -> Result<(), Refusal> {
        let give_up_at = self.clock.now() + patience;
        loop {
            let mut answered = std::pin::pin!(self.allotments.answered.notified());
            // Registered before the lease is looked at, so that no answer is missed.
            answered.as_mut().enable();
            let now = self.clock.now();
            let mut actions = Vec::new();
            let outcome = {
                let mut tables = lock(&self.allotments.tables);
                let Some(allotment) = tables.limits.get(account).copied() else { return Ok(()) };
                tables.book.take(now, account, allotment, cost, &mut actions)
            };
            self.send_lease_actions(actions);
            match outcome {
                LeaseOutcome::Taken => return Ok(()),
                LeaseOutcome::Denied(until) if until <= give_up_at => {
                    tokio::time::sleep(until.saturating_duration_since(now)).await;
                }
                LeaseOutcome::Denied(_) => {
                    let mut tables = lock(&self.allotments.tables);
                    let wait = tables.book.reserve_return(now, account, cost);
                    let refusal = Refusal::not_run(RefusalReason::AllotmentSpent);
                    return Err(refusal.with_retry_after(wait));
                }
                LeaseOutcome::Wait(until) => {
                    let left = until.saturating_duration_since(now);
                    // The outcome of the next try says whether the ledger has answered.
                    let _ = tokio::time::timeout(left, answered).await;
                }
            }
        }
    }

    /// Gives back the cost of a request that has not run.
    pub fn refund_tokens(&self, account: &AccountName, cost: f64) {
        lock(&self.allotments.tables).book.refund(account, cost);
    }

    /// Handles a message about an account, as its ledger or as a host that leases tokens.
    pub fn handle_allotment(
        self: &Arc<Self>,
        from: &DaemonId,
        account: AccountName,
        message: AllotmentMessage,
    ) {
        let now = self.clock.now();
        let visible = self.visible_fraction(now);
        let mut actions = Vec::new();
        let (reply, status) = {
            let mut tables = lock(&self.allotments.tables);
            let AllotmentTables { book, ledger, limits, tolerance } = &mut *tables;
            let limit = limits.get(&account).copied();
            let view =
                limit.map(|allotment| LedgerView { allotment, visible, tolerance: *tolerance });
            let reply = match message {
                AllotmentMessage::Ask(request) => view
                    .map(|view| ledger.grant(now, &account, from, &request, &view))
                    .map(AllotmentMessage::Grant),
                AllotmentMessage::Return { tokens, ends } => {
                    if let Some(view) = view {
                        ledger.take_back(now, &account, from, tokens, ends, &view);
                    }
                    None
                }
                AllotmentMessage::Grant(grant) => {
                    book.receive(now, &account, &grant, &mut actions);
                    self.allotments.answered.notify_waiters();
                    None
                }
            };
            let is_spent =
                matches!(reply, Some(AllotmentMessage::Grant(grant)) if grant.wait.is_some());
            let status = is_spent.then(|| ledger.status(now, &account)).flatten();
            (reply, status.zip(limit))
        };
        if let Some((status, limit)) = status {
            self.log_spent(&account, &status, limit, visible);
        }
        self.send_lease_actions(actions);
        if let Some(message) = reply {
            self.send_to_daemon(from, PeerMessage::Allotment { account, message });
        }
    }

    fn log_spent(
        &self,
        account: &AccountName,
        status: &LedgerStatus,
        limit: TokenAllotment,
        visible: f64,
    ) {
        if self.log_limiter.permits(DecisionKind::Allotment) {
            log::info!(
                account:% = account, limit:% = limit, level = status.level as i64,
                used_per_s = status.used as u64, set_aside_per_s = status.set_aside as u64,
                holders = status.holders, visible_percent = (visible * 100.0) as u64;
                "allotment: the account has used its tokens"
            );
        }
    }

    fn tick_allotments(self: &Arc<Self>) {
        let now = self.clock.now();
        let hosts = lock(&self.members).serving_count(now);
        let accounts: Vec<_> = lock(&self.allotments.tables).limits.keys().cloned().collect();
        let keeps: BTreeMap<_, _> = accounts
            .into_iter()
            .map(|account| {
                let keeper = self.ledger_of(&account);
                (account, keeper.daemon == self.me)
            })
            .collect();
        let mut actions = Vec::new();
        {
            let mut tables = lock(&self.allotments.tables);
            tables.book.set_hosts(hosts);
            tables.book.tick(now, &mut actions);
            tables.ledger.retain(|account| keeps.get(account).copied().unwrap_or(false));
        }
        self.send_lease_actions(actions);
    }

    fn send_lease_actions(self: &Arc<Self>, actions: Vec<LeaseAction>) {
        for action in actions {
            let (account, message) = match action {
                LeaseAction::Ask(account, request) => {
                    counter!("apricotrun_allotment_requests_total").increment(1);
                    (account, AllotmentMessage::Ask(request))
                }
                LeaseAction::Return(account, tokens, ends) => {
                    (account, AllotmentMessage::Return { tokens, ends })
                }
            };
            let keeper = self.ledger_of(&account);
            self.send_to(&keeper, PeerMessage::Allotment { account, message });
        }
    }

    /// Returns the daemon that keeps the ledger of an account: the first by rendezvous hash of those
    /// that stay.
    fn ledger_of(&self, account: &AccountName) -> MemberRecord {
        let now = self.clock.now();
        {
            let mut keepers = lock(&self.allotments.keepers);
            if keepers.computed_at.is_none_or(|at| now >= at + KEEPER_TTL) {
                *keepers = KeeperCache { computed_at: Some(now), records: BTreeMap::new() };
            }
            if let Some(record) = keepers.records.get(account) {
                return record.clone();
            }
        }
        let record = self.compute_keeper(account);
        lock(&self.allotments.keepers).records.insert(account.clone(), record.clone());
        record
    }

    fn compute_keeper(&self, account: &AccountName) -> MemberRecord {
        let members = lock(&self.members);
        let stay = members.running().filter(|record| record.state != MemberState::Leaving);
        let stay: BTreeMap<_, _> = stay.map(|record| (&record.daemon, record)).collect();
        let ranked = rank_daemons(&allotment_key(account), stay.keys().copied());
        ranked.first().map_or_else(|| members.me().clone(), |daemon| stay[*daemon].clone())
    }

    /// Returns the daemons that this one sees as a fraction of those that may serve.
    fn visible_fraction(&self, now: Instant) -> f64 {
        let members = lock(&self.members);
        let running = members.running().count() as f64;
        running / members.serving_count(now) as f64
    }
}
