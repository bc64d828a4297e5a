//! Integration tests: real `crocushold` processes between stand-ins, in one binary.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

mod answer_faults;
mod caller_faults;
mod cells;
mod commands;
mod config_faults;
mod ended_servers;
mod fleet;
mod fleet_losses;
mod fleet_outages;
mod fleet_replacement;
mod fleet_splits;
mod flood_faults;
mod instance_list;
mod limits;
mod list_faults;
mod load_faults;
mod logs;
mod matrix;
mod once;
mod orders;
mod pair_faults;
mod path;
mod process_faults;
mod sending_faults;
mod server_faults;
mod step_faults;
mod subsets;
#[allow(unreachable_pub, reason = "a binary of tests has no interface")]
mod support;
mod weight_store;
