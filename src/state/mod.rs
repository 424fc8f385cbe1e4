//! Tables, identifiers, sizes and revisions. This layer depends on no other layer.

pub mod accounts;
pub mod clock;
pub mod fleet;
pub mod ids;
pub mod routes;
pub mod units;
pub mod verdict;
