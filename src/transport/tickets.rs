//! Tickets on the network: binding a caller's key, forwarding to a ticket's home, and handing the
//! table to an heir.

use crate::coordination::messages::{MemberState, PeerMessage};
use crate::coordination::store::{StoreError, StoreVersion, binding_key};
use crate::coordination::tickets::{TicketHandover, TicketId};
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use std::sync::Arc;

/// How long an heir may take to confirm before it is told again.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the one heir is told.
const HANDOVER_TRIES: usize = 10;

impl DaemonNode {
    /// Makes a signed ticket.
    pub fn issue_ticket(&self, window: Duration) -> String {
        let wall = self.clock.wall();
        let ticket = lock(&self.tickets).issue(wall, window);
        ticket.sign(self.settings.peer_key.bytes())
    }

    /// Binds a caller's idempotency key to one ticket, for all entries and for good.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the store cannot settle it; the request was not run then, since
    /// only the bound ticket can start it and this call starts nothing.
    pub async fn bind_key(
        &self,
        account: &AccountName,
        key: &str,
        window: Duration,
    ) -> Result<TicketId, Refusal> {
        let place = binding_key(account, key);
        let own = self.issue_ticket(window);
        let written = self.store.put(&place, own.clone().into_bytes(), StoreVersion(0)).await;
        let bound = match written {
            Ok(true) => own,
            Ok(false) | Err(StoreError::Unknown(_)) => self.read_binding(&place).await?,
            Err(error) => return Err(store_down(&error)),
        };
        let ticket = TicketId::verify(&bound, self.settings.peer_key.bytes());
        ticket.ok_or_else(|| Refusal::not_run(RefusalReason::BadTicket))
    }

    async fn read_binding(&self, place: &str) -> Result<String, Refusal> {
        match self.store.get(place).await {
            Ok(Some(value)) => Ok(String::from_utf8_lossy(&value.bytes).into_owned()),
            Ok(None) => Err(store_down(&StoreError::Unreachable("the write was lost".to_owned()))),
            Err(error) => Err(store_down(&error)),
        }
    }

    /// Takes over the tickets of a stopping daemon and confirms it.
    pub fn take_over_tickets(self: &Arc<Self>, from: DaemonId, handover: TicketHandover) {
        if self.is_stopping() {
            return;
        }
        log::info!("ticket: took over the tickets of {from}");
        lock(&self.tickets).take_over(handover);
        self.send_to_daemon(&from, PeerMessage::TicketsAccepted(self.me.clone()));
        self.announce_takeovers();
    }

    /// Tells all daemons whose tickets this one answers for.
    pub fn announce_takeovers(self: &Arc<Self>) {
        let predecessors: Vec<_> = lock(&self.tickets).predecessors().cloned().collect();
        for from in predecessors {
            let message = PeerMessage::TicketSuccessor { from, successor: self.me.clone() };
            self.broadcast(None, &message);
        }
    }

    /// Hands the tickets to exactly one heir. Nothing is started here from the first moment on;
    /// if the heir never confirms, the requests are answered "may have run".
    pub async fn hand_over_tickets(self: &Arc<Self>) {
        let heir = {
            let members = lock(&self.members);
            let domain = self.settings.domain.clone();
            let mut staying =
                members.eligible(&domain).filter(|record| record.state != MemberState::Leaving);
            let heir = staying.find(|record| record.daemon != self.me);
            heir.map(|record| record.daemon.clone())
        };
        let handover = lock(&self.tickets).hand_over();
        let Some(heir) = heir else {
            log::warn!("ticket: no other daemon in this failure domain takes over the tickets");
            return;
        };
        for _ in 0..HANDOVER_TRIES {
            self.send_to_daemon(&heir, PeerMessage::Tickets(handover.clone()));
            let taken = tokio::time::timeout(HANDOVER_TIMEOUT, self.handover_confirmed.notified());
            if taken.await.is_ok() {
                log::info!("ticket: {heir} took over the tickets");
                return;
            }
        }
        log::error!("ticket: {heir} did not confirm that it took over the tickets");
    }
}

fn store_down(error: &StoreError) -> Refusal {
    log::warn!("store: {error}");
    Refusal::not_run(RefusalReason::StoreDown).with_retry_after(Duration::from_secs(2))
}
