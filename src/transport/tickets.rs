//! Tickets between daemons: issuing them, binding idempotency keys to them in the store, and
//! handing them over to a successor.

use crate::coordination::messages::{MemberState, PeerMessage};
use crate::coordination::store::{StoreError, StoreVersion, binding_key};
use crate::coordination::tickets::{TicketHandover, TicketId};
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use std::sync::Arc;

/// How long the successor has to confirm the handover before it is sent again.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);
/// How many times the handover is sent. No second successor is tried.
const HANDOVER_TRIES: usize = 10;

impl DaemonNode {
    /// Issues a signed ticket that is valid for `window`.
    pub fn issue_ticket(&self, window: Duration) -> String {
        let wall = self.clock.wall();
        let ticket = lock(&self.tickets).issue(wall, window);
        ticket.sign(self.settings.peer_key.bytes())
    }

    /// Binds a caller's idempotency key to one ticket. The binding is kept in the store: it holds
    /// at all entries and never changes.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the store cannot settle the binding. The request has not run then,
    /// since only the bound ticket can start it and this call starts nothing.
    pub async fn bind_key(
        &self,
        account: &AccountName,
        key: &str,
        window: Duration,
    ) -> Result<TicketId, Refusal> {
        let store_key = binding_key(account, key);
        let own = self.issue_ticket(window);
        let written =
            self.store.put(&store_key, own.clone().into_bytes(), StoreVersion::ABSENT).await;
        let bound = match written {
            Ok(true) => own,
            Ok(false) | Err(StoreError::Unknown(_)) => self.read_binding(&store_key).await?,
            Err(error) => return Err(store_down(&error)),
        };
        let ticket = TicketId::verify(&bound, self.settings.peer_key.bytes());
        ticket.ok_or_else(|| Refusal::not_run(RefusalReason::BadTicket))
    }

    async fn read_binding(&self, store_key: &str) -> Result<String, Refusal> {
        match self.store.get(store_key).await {
            Ok(Some(value)) => Ok(String::from_utf8_lossy(&value.bytes).into_owned()),
            Ok(None) => Err(store_down(&StoreError::Unreachable("the write was lost".to_owned()))),
            Err(error) => Err(store_down(&error)),
        }
    }

    /// Takes over the tickets of a stopping daemon and sends it the confirmation.
    pub fn take_over_tickets(self: &Arc<Self>, from: DaemonId, handover: TicketHandover) {
        if self.is_stopping() {
            return;
        }
        log::info!("ticket: took over the tickets of {from}");
        lock(&self.tickets).take_over(handover);
        self.send_to_daemon(&from, PeerMessage::TicketsAccepted(self.me.clone()));
        self.announce_takeovers();
    }

    /// Announces to all others the daemons whose tickets this one has taken over.
    pub fn announce_takeovers(self: &Arc<Self>) {
        let predecessors: Vec<_> = lock(&self.tickets).predecessors().cloned().collect();
        for from in predecessors {
            let message = PeerMessage::TicketSuccessor { from, successor: self.me.clone() };
            self.broadcast(None, &message);
        }
    }

    /// Hands the tickets over to exactly one successor. Once the handover has begun, this daemon
    /// starts no request with a ticket; if the successor never confirms, the verdict on such
    /// requests is "may have run".
    pub async fn hand_over_tickets(self: &Arc<Self>) {
        let successor = {
            let members = lock(&self.members);
            let domain = self.settings.domain.clone();
            let mut candidates =
                members.eligible(&domain).filter(|record| record.state != MemberState::Leaving);
            let successor = candidates.find(|record| record.daemon != self.me);
            successor.map(|record| record.daemon.clone())
        };
        let handover = lock(&self.tickets).hand_over();
        let Some(successor) = successor else {
            log::warn!("ticket: no other daemon in this failure domain can take over the tickets");
            return;
        };
        for _ in 0..HANDOVER_TRIES {
            self.send_to_daemon(&successor, PeerMessage::Tickets(handover.clone()));
            let confirmed =
                tokio::time::timeout(HANDOVER_TIMEOUT, self.handover_confirmed.notified());
            if confirmed.await.is_ok() {
                log::info!("ticket: {successor} took over the tickets");
                return;
            }
        }
        log::error!("ticket: {successor} did not confirm that it took over the tickets");
    }
}

fn store_down(error: &StoreError) -> Refusal {
    log::warn!("store: {error}");
    Refusal::not_run(RefusalReason::StoreDown).with_retry_after(Duration::from_secs(2))
}
