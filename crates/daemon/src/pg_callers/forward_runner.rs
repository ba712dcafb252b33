use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use hawthornstack_decisions::{outcomes::ResultCode, pg_host::GatewayAddress};
use tokio::time::timeout;

use super::{
    answer_writer::AnswerWriter,
    caller_session::TOKEN_PARAMETER,
    caller_state::CallerState,
    forward_state::ForwardedState,
    request_runner::{RequestRunner, RequestWork, RunEnd, WorkAnswer, encode_work, relay_work},
    transaction::{OpenTransaction, TransactionPlace},
};
use crate::pg_upstreams::{ReplySegment, UpstreamConnection, UpstreamError, encode_query};

/// Time that a home gets beyond the statement's own timeout.
const FORWARD_MARGIN: Duration = Duration::from_millis(500);
/// Results with which a home says that another one should be asked.
const OTHER_HOME: [ResultCode; 4] = [
    ResultCode::NoDatabase,
    ResultCode::ShuttingDown,
    ResultCode::UnknownGroup,
    ResultCode::LeaseExpired,
];

/// What a home answered.
enum HomeAnswer {
    Answered {
        answer: AnswerWriter,
        token: Option<String>,
    },
    /// It certainly did not run there.
    Elsewhere(ResultCode),
    /// It may have run there.
    Lost,
}

impl RequestRunner<'_> {
    /// Runs work at one of the homes, trying the next where it certainly did
    /// not run or may run again.
    pub(super) async fn forward(
        &self,
        state: &mut CallerState,
        work: RequestWork<'_>,
        writes: bool,
        key: Option<Arc<str>>,
        homes: Vec<GatewayAddress>,
    ) -> RunEnd {
        let mut homes = homes;
        self.context.forwards.order(&mut homes);
        let repeatable = !writes || key.is_some();
        let forwarded = ForwardedState::of(state, key);
        let mut last = ResultCode::NoDatabase;
        for home in homes {
            let asked = self.ask_home(state, work, &forwarded, &home);
            let answer = tokio::select! {
                () = self.cancel.notify.notified() => {
                    return RunEnd::Refused(ResultCode::Cancelled);
                }
                answer = timeout(state.timeout + FORWARD_MARGIN, asked) => answer,
            };
            match answer.unwrap_or(Ok(HomeAnswer::Lost)) {
                Ok(HomeAnswer::Answered { answer, token }) => {
                    state.take_forwarded_token(token, &self.context.token_key);
                    return RunEnd::Answered(answer);
                }
                Ok(HomeAnswer::Elsewhere(code)) => last = code,
                Ok(HomeAnswer::Lost) if !repeatable => {
                    return RunEnd::Refused(ResultCode::ConnectionLost);
                }
                Ok(HomeAnswer::Lost) => last = ResultCode::ConnectionLost,
                Err(_) => last = ResultCode::ConnectFailed,
            }
            self.context.forwards.note_failure(home.host);
        }
        RunEnd::Refused(last)
    }

    /// An error means that nothing was sent.
    async fn ask_home(
        &self,
        state: &CallerState,
        work: RequestWork<'_>,
        forwarded: &ForwardedState,
        home: &GatewayAddress,
    ) -> Result<HomeAnswer, UpstreamError> {
        let forwards = &self.context.forwards;
        let mut connection = forwards.check_out(home, &state.group).await?;
        let mut bytes = BytesMut::new();
        encode_query(&forwarded.statement(), &mut bytes)?;
        let request = encode_work(work, &connection, &mut bytes)?;
        let Ok(mut segments) = connection.exchange(&bytes, 2).await else {
            return Ok(HomeAnswer::Lost);
        };
        let segment = segments.pop().unwrap_or_default();
        if let Some(code) = OTHER_HOME.into_iter().find(|code| segment.has_result(*code)) {
            return Ok(HomeAnswer::Elsewhere(code));
        }
        let answer = relay_work(work, &request, &segment, &mut connection);
        if segment.status == b'I' {
            forwards.check_in(home.host, &state.group, connection);
        }
        let token = segment.parameter(TOKEN_PARAMETER);
        Ok(HomeAnswer::Answered { answer, token })
    }

    /// Opens a transaction at one of the homes.
    pub(super) async fn begin_at_home(
        &self,
        state: &CallerState,
        begin: &str,
        read_only: bool,
        homes: Vec<GatewayAddress>,
    ) -> Result<OpenTransaction, ResultCode> {
        let mut homes = homes;
        self.context.forwards.order(&mut homes);
        let handover = ForwardedState::of(state, None).statement();
        for home in homes {
            match self.begin_at(state, begin, &handover, &home).await {
                Ok(connection) => {
                    return Ok(OpenTransaction {
                        place: TransactionPlace::Home(home.host),
                        connection,
                        read_only,
                        status: b'T',
                    });
                }
                Err(_) => self.context.forwards.note_failure(home.host),
            }
        }
        Err(ResultCode::NoDatabase)
    }

    async fn begin_at(
        &self,
        state: &CallerState,
        begin: &str,
        handover: &str,
        home: &GatewayAddress,
    ) -> Result<UpstreamConnection, UpstreamError> {
        let mut connection = self.context.forwards.check_out(home, &state.group).await?;
        let mut bytes = BytesMut::new();
        encode_query(handover, &mut bytes)?;
        encode_query(begin, &mut bytes)?;
        let segments = connection.exchange(&bytes, 2).await?;
        match segments.last().map(|segment| segment.status) {
            Some(b'T') => Ok(connection),
            _ => Err(UpstreamError::Refused { text: "BEGIN opened no transaction".to_owned() }),
        }
    }

    /// Ends a transaction at its home; the answer is the caller's as it is.
    pub(super) fn end_at_home(
        &self,
        state: &mut CallerState,
        performed: Result<WorkAnswer, UpstreamError>,
    ) -> Result<AnswerWriter, ResultCode> {
        let done = performed.map_err(|_| ResultCode::ConnectionLost)?;
        let token = done.segment.parameter(TOKEN_PARAMETER);
        state.take_forwarded_token(token, &self.context.token_key);
        Ok(done.answer)
    }
}

impl ReplySegment {
    /// True if the answer is an error with this result code.
    fn has_result(&self, code: ResultCode) -> bool {
        self.has_error_text(&format!("Dhawthornstack result {}:", code.number()))
    }
}
