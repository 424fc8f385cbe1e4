//! The shard owner: admits work to the upstreams of one service in one failure domain.
//!
//! A prefill starts only together with a reserved decode slot, so that no prefill result waits
//! for room. What cannot meet its targets is refused at once with a time to come back. See
//! docs/DESIGN.md, "Shard owner".

mod estimate;
mod forecast;
mod ledger;
mod lifetimes;
mod pool;
mod prefixes;
mod queue;
mod recovery;
mod refusals;
mod retry_schedule;

pub use estimate::RequestSample;
pub use forecast::{RunForecast, peak};
pub use ledger::{ShardAction, ShardEvent, ShardLedger, ShardRole, ShardStatus, UpstreamStatus};
pub use lifetimes::LifeTable;
