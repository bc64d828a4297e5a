//! One module per subcommand, and the helpers that they share.

pub mod burn;
pub mod check;
pub mod explain;
pub mod gateway;
pub mod latencies;
mod log_line;
mod logs;
mod print;
pub mod serve;
pub mod status;
pub mod trace;
pub mod usage;
