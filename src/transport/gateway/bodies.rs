//! Bounds the memory that buffered bodies take together.
//!
//! A request body is kept for retries until the response has begun. A response that is not a stream
//! of events is buffered until it is complete, so that the request can be retried if the connection
//! breaks. Each body has a limit of its own, but many large ones at the same time do not. See
//! docs/PLATFORM.md.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use metrics::counter;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bodies up to this size take nothing from the budget: most are smaller, and the number of open
/// connections bounds them.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// The budget for request bodies, a fifth of the 32 MB that a daemon may use.
const REQUEST_BUDGET_BYTES: usize = 6 * 1024 * 1024;
/// The budget for response bodies: the size of the largest one.
const RESPONSE_BUDGET_BYTES: usize = MAX_BUFFERED_BYTES;
/// The largest response that is buffered before it is passed on, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;
/// The unit in which memory is reserved, in bytes.
const UNIT_BYTES: usize = 1024;

/// The memory reserved for one body, released when the last clone is dropped.
#[derive(Clone, Debug, Default)]
pub struct BodyReservation {
    _permit: Option<Arc<OwnedSemaphorePermit>>,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The connection ended before the body was complete.
    Incomplete,
    /// The budget is used up by other bodies.
    BudgetExhausted,
    /// The body is longer than allowed.
    TooLarge,
}

/// The memory budget that the bodies of one kind share.
#[derive(Debug)]
pub struct MemoryBudget {
    total_units: usize,
    units: Arc<Semaphore>,
    waits_when_full: bool,
}

impl MemoryBudget {
    /// Returns the budget for request bodies. A request over budget is refused, as it has not run.
    pub fn for_requests() -> Self {
        Self::new(REQUEST_BUDGET_BYTES, false)
    }

    /// Returns the budget for response bodies. Over budget, reading pauses and the upstream waits.
    pub fn for_responses() -> Self {
        Self::new(RESPONSE_BUDGET_BYTES, true)
    }

    fn new(bytes: usize, waits_when_full: bool) -> Self {
        let total_units = bytes / UNIT_BYTES;
        Self { total_units, units: Arc::new(Semaphore::new(total_units)), waits_when_full }
    }

    /// Reads a complete body of at most `limit` bytes. All of its memory is reserved in one step
    /// before it grows large, so that half-read bodies never wait for each other.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is too large, ends early or is over budget.
    pub async fn read(
        &self,
        mut body: Incoming,
        limit: usize,
    ) -> Result<(Bytes, BodyReservation), BodyError> {
        let announced = body.size_hint().upper().and_then(|bytes| usize::try_from(bytes).ok());
        if body.size_hint().lower() > limit as u64 {
            return Err(BodyError::TooLarge);
        }
        let mut bytes = BytesMut::new();
        let mut reservation = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Incomplete)?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > limit {
                return Err(BodyError::TooLarge);
            }
            bytes.extend_from_slice(&data);
            if bytes.len() > SMALL_BODY_BYTES && reservation.is_none() {
                reservation = Some(self.reserve(announced.unwrap_or(limit)).await?);
            }
        }
        Ok((bytes.freeze(), reservation.unwrap_or_default()))
    }

    async fn reserve(&self, bytes: usize) -> Result<BodyReservation, BodyError> {
        // A body that is within the configured limit but larger than the budget takes all of it.
        let units = bytes.div_ceil(UNIT_BYTES).min(self.total_units) as u32;
        let available = self.units.clone();
        let permit = match self.waits_when_full {
            true => available.acquire_many_owned(units).await.ok(),
            false => available.try_acquire_many_owned(units).ok(),
        };
        let Some(permit) = permit else {
            counter!("apricotrun_bodies_without_room_total").increment(1);
            return Err(BodyError::BudgetExhausted);
        };
        Ok(BodyReservation { _permit: Some(Arc::new(permit)) })
    }
}
