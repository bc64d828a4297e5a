//! The HTTP client for backend servers.

mod arrivals;
mod body_meter;
mod cancel;
mod error;
mod exchange;
mod limits;
mod observer;
mod pool;
mod probe;
mod receive;
mod relay_body;
mod request_encoder;
mod send;

pub use cancel::Cancel;
pub use error::SendError;
pub use error::SendErrorKind;
pub use error::Stage;
pub use limits::PoolLimits;
pub use limits::Reuse;
pub use limits::SendLimits;
pub use observer::AnswerEnd;
pub use observer::CutCause;
pub use observer::Observer;
pub use probe::accepts_connections;
pub use probe::is_path_failure;
pub use probe::refuses_connections;
pub use relay_body::RelayBody;
pub use send::Answer;
pub use send::Client;
