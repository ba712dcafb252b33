use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hawthornstack_decisions::outcomes::Outcome;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    cluster::{CallFailure, LabCaller},
    history::{OperationKind, OperationResult, RecordedOperation},
};

/// Requests after which a caller reconnects to a random daemon.
const REQUESTS_PER_CONNECTION: u32 = 12;
/// Items that the callers of a group compete for.
const ITEMS_PER_GROUP: u64 = 400;
/// Maximum staleness that bounded-staleness reads accept.
const MAX_READ_AGE: Duration = Duration::from_secs(1);
/// Pause of a caller between two requests, and before it connects again after a
/// failed attempt.
const THINK_TIME: Duration = Duration::from_millis(4);

/// A caller that connects to random daemons in turn and records the results of
/// its requests.
pub(super) struct DemoCaller {
    pub(super) session: u32,
    pub(super) group: usize,
    pub(super) group_name: String,
    pub(super) daemons: Vec<SocketAddr>,
    pub(super) history: Arc<Mutex<Vec<RecordedOperation>>>,
    pub(super) started_at: Instant,
    pub(super) cancel: CancellationToken,
    pub(super) seed: u64,
}

impl DemoCaller {
    /// Sends requests until cancelled.
    pub(super) async fn run(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut number = 0;
        while !self.cancel.is_cancelled() {
            let daemon = self.daemons[rng.random_range(0..self.daemons.len())];
            let settings = [format!("hawthornstack.session=caller-{}", self.session)];
            let connected = LabCaller::connect(daemon, &self.group_name, &settings).await;
            let Ok(caller) = connected else {
                sleep(THINK_TIME).await;
                continue;
            };
            for _ in 0..REQUESTS_PER_CONNECTION {
                let kind = choose_operation(&mut rng, &mut number);
                let connection_lost = self.run_operation(&caller, kind).await;
                if connection_lost || self.cancel.is_cancelled() {
                    break;
                }
                sleep(THINK_TIME).await;
            }
        }
    }

    /// Runs and records one operation; returns true if the connection was lost.
    async fn run_operation(&self, caller: &LabCaller, kind: OperationKind) -> bool {
        let sent_at = self.started_at.elapsed();
        let response = self.send_operation(caller, &kind).await;
        let connection_lost = response.as_ref().is_err_and(|failure| failure.connection_lost);
        let result = response.unwrap_or_else(|failure| match failure.outcome {
            Outcome::DidNotRun => OperationResult::DidNotRun,
            Outcome::Ran | Outcome::Unknown => OperationResult::Unknown,
        });
        let operation = RecordedOperation {
            session: self.session,
            group: self.group,
            kind,
            sent_at,
            answered_at: self.started_at.elapsed(),
            result,
        };
        self.history.lock().unwrap_or_else(PoisonError::into_inner).push(operation);
        connection_lost
    }

    async fn send_operation(
        &self,
        caller: &LabCaller,
        kind: &OperationKind,
    ) -> Result<OperationResult, CallFailure> {
        let session = self.session;
        match kind {
            OperationKind::Append { number } => {
                let sql = "INSERT INTO ledger (session, number) VALUES ($1::bigint, $2::bigint)";
                let session = i64::from(session);
                let number = *number as i64;
                caller.client.execute(sql, &[&session, &number]).await?;
                Ok(OperationResult::Written)
            }
            OperationKind::Increment => {
                caller.simple_query("UPDATE counter SET value = value + 1").await?;
                Ok(OperationResult::Written)
            }
            OperationKind::Claim { item } => {
                let sql = format!(
                    "INSERT INTO claims (item, holder) VALUES ({item}, {session}) \
                     ON CONFLICT DO NOTHING"
                );
                let answer = caller.simple_query(&sql).await?;
                Ok(OperationResult::Claimed(answer.changed == 1))
            }
            OperationKind::Read { max_age, nonce } => {
                let hint = match max_age {
                    Some(age) => format!("/* hawthornstack: max_age={}ms */ ", age.as_millis()),
                    None => String::new(),
                };
                let sql = format!(
                    "{hint}SELECT {nonce} AS nonce, max(number) FROM ledger \
                     WHERE session = {session}"
                );
                let answer = caller.simple_query(&sql).await?;
                let column = |index: usize| {
                    let text = answer.row.get(index).cloned().flatten();
                    text.and_then(|text| text.parse().ok()).unwrap_or(0)
                };
                Ok(OperationResult::Found { nonce: column(0), number: column(1) })
            }
        }
    }
}

fn choose_operation(rng: &mut ChaCha8Rng, number: &mut u64) -> OperationKind {
    match rng.random_range(0..100) {
        0..15 => {
            *number += 1;
            OperationKind::Append { number: *number }
        }
        15..20 => OperationKind::Increment,
        20..30 => OperationKind::Claim { item: rng.random_range(0..ITEMS_PER_GROUP) },
        30..60 => OperationKind::Read { max_age: None, nonce: rng.random_range(1..1_000_000) },
        _ => OperationKind::Read {
            max_age: Some(MAX_READ_AGE),
            nonce: rng.random_range(1..1_000_000),
        },
    }
}
