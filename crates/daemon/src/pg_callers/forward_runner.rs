use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use hawthornstack_decisions::{outcomes::ResultCode, pg_host::GatewayAddress};
use tokio::time::timeout;

use super::{
    answer_writer::AnswerWriter,
    caller_session::TOKEN_PARAMETER,
    caller_state::CallerState,
    forward_state::ForwardedState,
    request_runner::{
        RequestRunner, RequestWork, RunOutcome, WorkAnswer, encode_work, relay_answer,
    },
    transaction::{OpenTransaction, TransactionTarget},
};
use crate::pg_upstreams::{ReplySegment, UpstreamConnection, UpstreamError, encode_query};

/// Time that a gateway gets beyond the statement's own timeout.
const FORWARD_MARGIN: Duration = Duration::from_millis(500);
/// Results that mean that the gateway did not run the work and another one is to
/// be tried.
const TRY_OTHER_GATEWAY: [ResultCode; 4] = [
    ResultCode::NoDatabase,
    ResultCode::ShuttingDown,
    ResultCode::UnknownGroup,
    ResultCode::LeaseExpired,
];

/// Answer of a gateway to forwarded work.
enum GatewayAnswer {
    Answered {
        answer: AnswerWriter,
        token: Option<String>,
    },
    /// The work certainly did not run there.
    NotRun(ResultCode),
    /// The work may have run there.
    MayHaveRun,
}

impl RequestRunner<'_> {
    /// Runs work on one of the gateways. Tries the next one if the work certainly
    /// did not run or may be repeated.
    pub(super) async fn forward_work(
        &self,
        state: &mut CallerState,
        work: RequestWork<'_>,
        writes: bool,
        key: Option<Arc<str>>,
        gateways: Vec<GatewayAddress>,
    ) -> RunOutcome {
        let mut gateways = gateways;
        self.context.forwards.move_failed_last(&mut gateways);
        let repeatable = !writes || key.is_some();
        let forwarded = ForwardedState::from_session(state, key);
        let mut last_code = ResultCode::NoDatabase;
        for gateway in gateways {
            let attempt = self.send_to_gateway(state, work, &forwarded, &gateway);
            let answer = tokio::select! {
                () = self.cancel.notify.notified() => {
                    return RunOutcome::Refused(ResultCode::Cancelled);
                }
                answer = timeout(state.timeout + FORWARD_MARGIN, attempt) => answer,
            };
            match answer.unwrap_or(Ok(GatewayAnswer::MayHaveRun)) {
                Ok(GatewayAnswer::Answered { answer, token }) => {
                    state.apply_forwarded_token(token, &self.context.token_key);
                    return RunOutcome::Answered(answer);
                }
                Ok(GatewayAnswer::NotRun(code)) => last_code = code,
                Ok(GatewayAnswer::MayHaveRun) if !repeatable => {
                    return RunOutcome::Refused(ResultCode::ConnectionLost);
                }
                Ok(GatewayAnswer::MayHaveRun) => last_code = ResultCode::ConnectionLost,
                Err(_) => last_code = ResultCode::ConnectFailed,
            }
            self.context.forwards.record_failure(gateway.host);
        }
        RunOutcome::Refused(last_code)
    }

    /// Sends work to a gateway and reads its answer.
    ///
    /// # Errors
    /// `UpstreamError` if nothing was sent.
    async fn send_to_gateway(
        &self,
        state: &CallerState,
        work: RequestWork<'_>,
        forwarded: &ForwardedState,
        gateway: &GatewayAddress,
    ) -> Result<GatewayAnswer, UpstreamError> {
        let forwards = &self.context.forwards;
        let mut connection = forwards.check_out(gateway, &state.group).await?;
        let mut bytes = BytesMut::new();
        encode_query(&forwarded.to_statement(), &mut bytes)?;
        let request = encode_work(work, &connection, &mut bytes)?;
        let Ok(mut segments) = connection.exchange(&bytes, 2).await else {
            return Ok(GatewayAnswer::MayHaveRun);
        };
        let segment = segments.pop().unwrap_or_default();
        if let Some(code) = TRY_OTHER_GATEWAY.into_iter().find(|code| segment.has_result(*code)) {
            return Ok(GatewayAnswer::NotRun(code));
        }
        let answer = relay_answer(work, &request, &segment, &mut connection);
        if segment.status == b'I' {
            forwards.check_in(gateway.host, &state.group, connection);
        }
        let token = segment.parameter(TOKEN_PARAMETER);
        Ok(GatewayAnswer::Answered { answer, token })
    }

    /// Opens a transaction on one of the gateways.
    pub(super) async fn open_gateway_transaction(
        &self,
        state: &CallerState,
        begin: &str,
        read_only: bool,
        gateways: Vec<GatewayAddress>,
    ) -> Result<OpenTransaction, ResultCode> {
        let mut gateways = gateways;
        self.context.forwards.move_failed_last(&mut gateways);
        let state_statement = ForwardedState::from_session(state, None).to_statement();
        for gateway in gateways {
            match self.begin_on_gateway(state, begin, &state_statement, &gateway).await {
                Ok(connection) => {
                    return Ok(OpenTransaction {
                        target: TransactionTarget::Gateway(gateway.host),
                        connection,
                        read_only,
                        status: b'T',
                    });
                }
                Err(_) => self.context.forwards.record_failure(gateway.host),
            }
        }
        Err(ResultCode::NoDatabase)
    }

    async fn begin_on_gateway(
        &self,
        state: &CallerState,
        begin: &str,
        state_statement: &str,
        gateway: &GatewayAddress,
    ) -> Result<UpstreamConnection, UpstreamError> {
        let mut connection = self.context.forwards.check_out(gateway, &state.group).await?;
        let mut bytes = BytesMut::new();
        encode_query(state_statement, &mut bytes)?;
        encode_query(begin, &mut bytes)?;
        let segments = connection.exchange(&bytes, 2).await?;
        let refused = segments.iter().any(|segment| segment.failed);
        match segments.last().map(|segment| segment.status) {
            Some(b'T') if !refused => Ok(connection),
            _ => Err(UpstreamError::Refused { text: "BEGIN opened no transaction".to_owned() }),
        }
    }

    /// Handles the end of a transaction on a gateway, whose answer goes to the
    /// caller unchanged.
    pub(super) fn finish_gateway_transaction(
        &self,
        state: &mut CallerState,
        executed: Result<WorkAnswer, UpstreamError>,
    ) -> Result<AnswerWriter, ResultCode> {
        let done = executed.map_err(|_| ResultCode::ConnectionLost)?;
        let token = done.segment.parameter(TOKEN_PARAMETER);
        state.apply_forwarded_token(token, &self.context.token_key);
        Ok(done.answer)
    }
}

impl ReplySegment {
    /// True if the answer is an error with this result code.
    fn has_result(&self, code: ResultCode) -> bool {
        self.has_error_text(&format!("Dhawthornstack result {}:", code.number()))
    }
}
