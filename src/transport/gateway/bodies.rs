//! Bounds the memory that bodies take together.
//!
//! A request's body is kept until its answer has begun, for another try, and an answer without events
//! until it is whole, so that a torn one can still be replaced. Each is bounded by itself, but many
//! large ones at once are not. See docs/PLATFORM.md.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use metrics::counter;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The size up to which bodies are not counted: most are smaller, and the open connections bound
/// their number.
const SMALL_BODY_BYTES: usize = 16 * 1024;
/// The memory for the bodies of requests, a fifth of the 32 MB that a daemon may use.
const REQUEST_BUDGET_BYTES: usize = 6 * 1024 * 1024;
/// The memory for answers: one of the longest that is kept whole.
const RESPONSE_BUDGET_BYTES: usize = MAX_BUFFERED_BYTES;
/// The longest answer that is kept whole before it is passed on, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;
/// The unit in which room is counted, in bytes.
const UNIT_BYTES: usize = 1024;

/// Room for one body, given back when the last clone is dropped.
#[derive(Clone, Debug, Default)]
pub struct BodyReservation {
    _permit: Option<Arc<OwnedSemaphorePermit>>,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It ended before it was whole.
    Broken,
    /// Other bodies take all of the memory.
    OutOfMemory,
    /// It is longer than allowed.
    TooLarge,
}

/// The memory for the bodies of one kind.
#[derive(Debug)]
pub struct MemoryBudget {
    all: usize,
    room: Arc<Semaphore>,
    waits: bool,
}

impl MemoryBudget {
    /// Returns the memory for requests. One that finds no room is refused: it has not run.
    pub fn for_requests() -> Self {
        Self::new(REQUEST_BUDGET_BYTES, false)
    }

    /// Returns the memory for answers. One that finds no room waits at its upstream.
    pub fn for_responses() -> Self {
        Self::new(RESPONSE_BUDGET_BYTES, true)
    }

    fn new(bytes: usize, waits: bool) -> Self {
        let all = bytes / UNIT_BYTES;
        Self { all, room: Arc::new(Semaphore::new(all)), waits }
    }

    /// Reads a whole body of at most `most` bytes. All of its room is taken before it grows large, so
    /// that bodies never wait for each other half read.
    ///
    /// # Errors
    ///
    /// Returns why the body is not there.
    pub async fn read(
        &self,
        mut body: Incoming,
        most: usize,
    ) -> Result<(Bytes, BodyReservation), BodyError> {
        let announced = body.size_hint().upper().and_then(|bytes| usize::try_from(bytes).ok());
        if body.size_hint().lower() > most as u64 {
            return Err(BodyError::TooLarge);
        }
        let mut bytes = BytesMut::new();
        let mut room = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > most {
                return Err(BodyError::TooLarge);
            }
            bytes.extend_from_slice(&data);
            if bytes.len() > SMALL_BODY_BYTES && room.is_none() {
                room = Some(self.take(announced.unwrap_or(most)).await?);
            }
        }
        Ok((bytes.freeze(), room.unwrap_or_default()))
    }

    async fn take(&self, bytes: usize) -> Result<BodyReservation, BodyError> {
        // A body that the configuration allows but that is larger than the memory gets all of it.
        let units = bytes.div_ceil(UNIT_BYTES).min(self.all) as u32;
        let room = self.room.clone();
        let permit = match self.waits {
            true => room.acquire_many_owned(units).await.ok(),
            false => room.try_acquire_many_owned(units).ok(),
        };
        let Some(permit) = permit else {
            counter!("apricotrun_bodies_without_room_total").increment(1);
            return Err(BodyError::OutOfMemory);
        };
        Ok(BodyReservation { _permit: Some(Arc::new(permit)) })
    }
}
