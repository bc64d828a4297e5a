//! Converts a call to a GET request and the reply to an event.

use async_std::future::timeout;
use crocushold_base::Millis;

use crate::call::Answer;
use crate::call::Call;
use crate::call::CallId;
use crate::call::Event;
use crate::call::Failure;
use crate::fetch::Fetch;
use crate::fetch::FetchError;
use crate::fetch::Get;
use crate::fetch::Reply;
use crate::shell::Shell;
use crate::target::Target;
use crate::wire::ConfigIndex;
use crate::wire::InstanceList;
use crate::wire::PartText;

/// Largest index or instance list, in bytes. Holds twice the expected 6,300 entries of 250 bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Largest part, in bytes. One byte above the accepted size, so that an oversized part is read and
/// can be rejected with its team's name.
const MAX_PART_BYTES: usize = (1 << 20) + 1;
/// Timeout of a call started by a state machine. It is longer than the machine's own deadline, at
/// which the machine cancels the call.
const FALLBACK_TIMEOUT: Millis = Millis::from_secs(30);
/// Timeout of a call made by [`read`].
const READ_TIMEOUT: Millis = Millis::from_secs(2);

const OK: u16 = 200;
const TOO_MANY_REQUESTS: u16 = 429;

/// Performs a call and returns the event that ends it.
pub(super) async fn perform<F: Fetch>(shell: &Shell<F>, id: CallId, call: Call) -> Event {
    match exchange(shell, &call, FALLBACK_TIMEOUT).await {
        Ok(answer) => Event::Answered { call: id, answer },
        Err(failure) => Event::Failed { call: id, failure },
    }
}

/// Makes one call without a state machine. The timeout is 2 s, in addition to the wait of a watch.
///
/// # Errors
///
/// The [`Failure`] of the call.
pub async fn read<F: Fetch>(shell: &Shell<F>, call: &Call) -> Result<Answer, Failure> {
    // No state machine cancels this call: without the timeout a hung platform would hold it and its
    // connection open.
    let read = exchange(shell, call, READ_TIMEOUT);
    let bounded = timeout(call_timeout(call, READ_TIMEOUT).into(), read);
    bounded.await.map_err(|_| Failure::Timeout)?
}

async fn exchange<F: Fetch>(
    shell: &Shell<F>,
    call: &Call,
    slack: Millis,
) -> Result<Answer, Failure> {
    let timeout = call_timeout(call, slack);
    let get = Get {
        address: shell.address.clone(),
        target: target(call),
        timeout,
        stall_timeout: timeout,
        limit: limit(call),
    };
    let reply = shell.fetch.get(get).await.map_err(failure)?;
    check_status(&reply)?;
    decode(call, reply)
}

fn target(call: &Call) -> Target {
    match call {
        Call::Index => Target::new("/v1/config"),
        Call::Watch { after, wait } => Target::new("/v1/config/watch")
            .parameter("after", after)
            .parameter("wait-ms", wait.0),
        Call::Part { team } => Target::new("/v1/config/parts").segment(team),
        Call::Instances => Target::new("/v1/instances"),
    }
}

fn call_timeout(call: &Call, slack: Millis) -> Millis {
    match call {
        Call::Watch { wait, .. } => *wait + slack,
        _ => slack,
    }
}

fn limit(call: &Call) -> usize {
    match call {
        Call::Part { .. } => MAX_PART_BYTES,
        _ => MAX_LIST_BYTES,
    }
}

fn failure(error: FetchError) -> Failure {
    match error {
        FetchError::Connection(_) => Failure::Connection,
        FetchError::Timeout => Failure::Timeout,
        FetchError::TooLarge => Failure::Malformed("answer too large".into()),
        FetchError::Malformed(cause) => Failure::Malformed(cause),
        FetchError::Status(status) => Failure::Status(status),
    }
}

fn check_status(reply: &Reply) -> Result<(), Failure> {
    match reply.status {
        OK => Ok(()),
        TOO_MANY_REQUESTS => Err(Failure::Throttled {
            retry_after: reply.number("retry-after").map(Millis::from_secs),
        }),
        status => Err(Failure::Status(status)),
    }
}

fn decode(call: &Call, reply: Reply) -> Result<Answer, Failure> {
    let answer = match call {
        Call::Index | Call::Watch { .. } => ConfigIndex::parse(&reply.body).map(Answer::Index),
        Call::Part { .. } => part_text(reply).map(Answer::Part),
        Call::Instances => InstanceList::parse(&reply.body).map(Answer::Instances),
    };
    answer.map_err(Failure::Malformed)
}

fn part_text(reply: Reply) -> Result<PartText, String> {
    let header = |name| reply.number(name).ok_or(format!("no number in {name}"));
    Ok(PartText {
        revision: header("x-revision")?,
        text_revision: header("x-text-revision")?,
        text: reply.body,
    })
}
