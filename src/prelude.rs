//! Types that nearly every module uses.

pub use crate::state::accounts::{AccountDirectory, ClientAccount, KeyDigest, TokenAllotment};
pub use crate::state::clock::{BootTime, Clock, SystemClock};
pub use crate::state::fleet::{
    FleetConfig, PlacementScope, ServiceTemplate, UpstreamRole, UpstreamSpec,
};
pub use crate::state::ids::{
    AccountName, AttemptId, DaemonId, DomainName, Fingerprint, HostName, Incarnation, PromptPart,
    RequestId, Revision, ServiceName, SoftwareVersion, UpstreamName,
};
pub use crate::state::units::{
    KvBlocks, RequestRate, Slots, SlownessPercent, TokenRate, Tokens, UrgencyRank,
};
pub use crate::state::verdict::{Refusal, RefusalReason, Verdict};
pub use std::time::{Duration, Instant};
