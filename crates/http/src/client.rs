//! The side that speaks to backend servers.

mod cancel;
mod error;
mod exchange;
mod limits;
mod look;
mod observer;
mod pool;
mod receive;
mod relay_body;
mod send;

pub use cancel::Cancel;
pub use error::SendError;
pub use error::SendErrorKind;
pub use error::Stage;
pub use limits::PoolLimits;
pub use limits::Reuse;
pub use limits::SendLimits;
pub use look::refuses_connections;
pub use observer::AnswerEnd;
pub use observer::CutCause;
pub use observer::Observer;
pub use relay_body::RelayBody;
pub use send::Answer;
pub use send::Client;
