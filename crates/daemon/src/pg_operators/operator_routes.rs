use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use hawthornstack_decisions::{
    control_state::ConfirmationResult,
    directory::Announcement,
    identity::HostId,
    outcomes::ResultCode,
    pg_host::{HostEvent, OperatorAnswer, OperatorQuestion},
};
use hawthornstack_wire::operators::{
    ANNOUNCE_PATH, AUDIT_PATH, CONFIRM_PATH, ConfirmRequest, ConfirmResponse, ErrorResponse,
    HEALTH_PATH, METRICS_PATH, PLAN_PATH, PlanRequest, PlanResponse, STATUS_PATH,
};
use ractor::ActorRef;
use tokio::{
    sync::{oneshot, watch},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::{metrics::DaemonMetrics, pg_host::HostMessage};

/// Longest wait for the host service to answer an operator's question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// State shared by the handlers of all routes.
#[derive(Clone)]
pub struct OperatorContext {
    /// The host service.
    pub host: ActorRef<HostMessage>,
    /// Cancelled when this host shuts down; the health check fails from then on.
    pub unhealthy: CancellationToken,
    /// True while an operator drains this host; the health check fails meanwhile.
    pub draining: watch::Receiver<bool>,
    /// Source of the metrics page.
    pub metrics: DaemonMetrics,
}

/// Router for the paths of `hawthornstack_wire::operators`.
pub fn operator_routes(context: OperatorContext) -> Router {
    Router::new()
        .route(ANNOUNCE_PATH, post(announce))
        .route(PLAN_PATH, post(plan))
        .route(CONFIRM_PATH, post(confirm))
        .route(STATUS_PATH, get(status))
        .route(AUDIT_PATH, get(audit))
        .route(HEALTH_PATH, get(health))
        .route(METRICS_PATH, get(metrics))
        .with_state(context)
}

fn error_response(
    status: StatusCode,
    code: ResultCode,
    text: &str,
    leader: Option<HostId>,
) -> Response {
    let body = ErrorResponse {
        code: code.number(),
        text: text.to_owned(),
        mend: code.remedy().to_owned(),
        leader,
    };
    (status, Json(body)).into_response()
}

/// Response if no host was reached that can prove to be the leader.
fn not_current_response(leader: Option<HostId>) -> Response {
    let code = ResultCode::NotCurrent;
    error_response(StatusCode::SERVICE_UNAVAILABLE, code, code.text(), leader)
}

async fn announce(
    State(context): State<OperatorContext>,
    Json(announcement): Json<Announcement>,
) -> StatusCode {
    let event = HostEvent::Announced(announcement);
    match context.host.send_message(HostMessage::Event(event)) {
        Ok(()) => StatusCode::ACCEPTED,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn ask_host(context: &OperatorContext, question: OperatorQuestion) -> OperatorAnswer {
    let (sender, receiver) = oneshot::channel();
    let _ = context.host.send_message(HostMessage::Ask(question, sender));
    match timeout(ANSWER_TIMEOUT, receiver).await {
        Ok(Ok(answer)) => answer,
        _ => OperatorAnswer::NotCurrent(None),
    }
}

async fn plan(
    State(context): State<OperatorContext>,
    Json(request): Json<PlanRequest>,
) -> Response {
    match ask_host(&context, OperatorQuestion::Plan(request.intent)).await {
        OperatorAnswer::Plan(Ok(plan)) => Json(PlanResponse {
            id: plan.id,
            base_version: plan.base_version,
            steps: plan.changes.iter().map(ToString::to_string).collect(),
            changes: plan.changes,
        })
        .into_response(),
        OperatorAnswer::Plan(Err(text)) => {
            error_response(StatusCode::BAD_REQUEST, ResultCode::BadDeclaration, &text, None)
        }
        OperatorAnswer::NotCurrent(leader) => not_current_response(leader),
        OperatorAnswer::Confirm(_) => not_current_response(None),
    }
}

async fn confirm(
    State(context): State<OperatorContext>,
    Json(request): Json<ConfirmRequest>,
) -> Response {
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let question = OperatorQuestion::Confirm {
        request: request.request,
        plan: request.plan,
        operator: request.operator,
        at_unix_ms: at.as_millis() as u64,
    };
    match ask_host(&context, question).await {
        OperatorAnswer::Confirm(confirmation) => confirmation_response(confirmation),
        OperatorAnswer::NotCurrent(leader) => not_current_response(leader),
        OperatorAnswer::Plan(_) => not_current_response(None),
    }
}

fn confirmation_response(confirmation: ConfirmationResult) -> Response {
    let status = match confirmation.result {
        ResultCode::Done => StatusCode::OK,
        _ => StatusCode::CONFLICT,
    };
    let body = ConfirmResponse {
        code: confirmation.result.number(),
        text: confirmation.result.text().to_owned(),
        version: confirmation.version,
        changed_since: confirmation.changed_since.iter().map(ToString::to_string).collect(),
    };
    (status, Json(body)).into_response()
}

async fn status(State(context): State<OperatorContext>) -> Response {
    let (sender, receiver) = oneshot::channel();
    let _ = context.host.send_message(HostMessage::Status(sender));
    match receiver.await {
        Ok(status) => Json(status).into_response(),
        Err(_) => not_current_response(None),
    }
}

async fn audit(State(context): State<OperatorContext>) -> Response {
    let (sender, receiver) = oneshot::channel();
    let _ = context.host.send_message(HostMessage::Audit(sender));
    match receiver.await {
        Ok(records) => Json(records).into_response(),
        Err(_) => not_current_response(None),
    }
}

async fn metrics(State(context): State<OperatorContext>) -> String {
    context.metrics.page()
}

/// Health check of the balancer: succeeds while this host has a lease and is neither
/// shutting down nor draining.
async fn health(State(context): State<OperatorContext>) -> StatusCode {
    let (sender, receiver) = oneshot::channel();
    let _ = context.host.send_message(HostMessage::Status(sender));
    let has_lease = receiver.await.is_ok_and(|status| status.has_lease);
    let leaving = context.unhealthy.is_cancelled() || *context.draining.borrow();
    match has_lease && !leaving {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
