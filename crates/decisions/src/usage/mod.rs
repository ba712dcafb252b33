//! Caps on the operations of workspaces over all hosts: the leader of control keeps a
//! token bucket for each workspace, and entry hosts take tokens from it ahead of use.

mod token_stock;
mod usage_account;
mod usage_bounds;
mod usage_bucket;
mod usage_ledger;
mod usage_message;
mod usage_window;
mod use_history;
mod workspace_usage;

pub use token_stock::UsageToken;
pub use usage_account::UsageAccount;
pub use usage_bounds::UsageBounds;
pub use usage_bucket::UsageBucket;
pub use usage_ledger::{CapChange, UsageLedger};
pub use usage_message::{UsageNeed, UsageShare};
pub use usage_window::WindowLimit;
pub use workspace_usage::UsageStep;
