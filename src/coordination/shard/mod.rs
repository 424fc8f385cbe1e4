//! Shard owner: admission control for the upstreams of one service in one failure domain.
//!
//! A prefill starts only together with a reserved decode slot, so that no prefill result has to
//! wait for one. A request that cannot meet its targets is refused immediately with a time to
//! retry. See docs/DESIGN.md, "Shard owner".

mod estimate;
mod forecast;
mod leaving;
mod ledger;
mod lifetimes;
mod pool;
mod prefixes;
mod queue;
mod recovery;
mod refusals;
mod retry_schedule;
mod starts;

pub use estimate::RequestStats;
pub use forecast::{RunForecast, peak};
pub use leaving::{LeavingBoard, RoomReport};
pub use ledger::{
    PlacementPreview, PreviewCandidate, PreviewDecision, ShardAction, ShardEvent, ShardLedger,
    ShardRole, ShardStatus, UpstreamStatus,
};
pub use lifetimes::LifeTable;
pub use pool::{LoadReport, MAX_NEWS, UpstreamNews};
pub use starts::StartForecast;
