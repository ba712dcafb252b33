use std::time::Duration;

use super::{UsageShare, UsageToken, token_stock::TokenStock, use_history::UseHistory};
use crate::{clock::Moment, routes::UsageCap};

/// Time without an answer after which no leader counts as reachable.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Retry time stated while no leader answers.
const NO_LEADER_RETRY: Duration = Duration::from_millis(200);
/// Time after an unanswered request for which a host refuses without waiting for the
/// answer to another one.
const SILENCE_MEMORY: Duration = Duration::from_secs(1);
/// Longest time for which a host refuses without asking again.
const MAX_EXHAUSTED: Duration = Duration::from_secs(5);
/// Time after a refusal by the leader in which a host admits nothing without it.
const REFUSAL_MEMORY: Duration = Duration::from_secs(5);
/// Operations in 250 ms from which on a host requests tokens ahead of use. Below, too
/// many of them expire unused and are missing on other hosts.
const MIN_AHEAD: u32 = 3;
/// Part of its recent rate at which a host admits without a leader, in percent.
const FALLBACK_PERCENT: u64 = 80;
/// Time over which the recent rate is taken, in microseconds.
const HISTORY_MICROS: u64 = 5_000_000;

/// What happens next to an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsageStep {
    /// Its workspace has no cap.
    Uncapped,
    /// It may run, with this token.
    Admit(UsageToken),
    /// It waits for a grant, and asks again at this time at the latest.
    Wait {
        /// Time after which no leader counts as reachable.
        until: Moment,
    },
    /// It is refused: the workspace has reached its cap.
    Refuse {
        /// Time after which it may be tried again.
        retry_after: Duration,
    },
    /// It is refused: no leader answers, and the host may not admit it on its own.
    Unanswered {
        /// Time after which it may be tried again.
        retry_after: Duration,
    },
}

/// State of the request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TokenRequest {
    None,
    /// To be sent with the next message.
    Due {
        since: Moment,
    },
    Sent {
        at: Moment,
    },
}

/// Admission without a leader.
#[derive(Debug, Clone, Copy)]
struct FallbackState {
    since: Moment,
    /// Operations that the host admitted in the 5 s before; `None` if the leader had
    /// no token for one of them.
    used_before: Option<u32>,
    /// Time at which the last request counted as unanswered.
    confirmed_at: Moment,
    admitted: u32,
}

impl FallbackState {
    fn admit(&mut self, now: Moment) -> bool {
        let Some(used_before) = self.used_before else {
            return false;
        };
        let elapsed = now.since(self.since).as_micros() as u64;
        let earned = u64::from(used_before) * FALLBACK_PERCENT * elapsed;
        let allowed = (earned / (100 * HISTORY_MICROS)).max(1);
        let admits = u64::from(self.admitted) < allowed;
        self.admitted += u32::from(admits);
        admits
    }
}

/// Use of one workspace with a cap on one host.
#[derive(Debug)]
pub(super) struct WorkspaceUsage {
    pub(super) cap: UsageCap,
    stock: TokenStock,
    history: UseHistory,
    /// Operations that wait for a grant.
    pub(super) waiting: u32,
    request: TokenRequest,
    exhausted_until: Moment,
    /// Last time at which the leader had no token, or the host refused for it.
    capped_at: Option<Moment>,
    fallback: Option<FallbackState>,
}

impl WorkspaceUsage {
    pub(super) fn new(cap: UsageCap) -> Self {
        Self {
            cap,
            stock: TokenStock::default(),
            history: UseHistory::default(),
            waiting: 0,
            request: TokenRequest::None,
            exhausted_until: Moment::ZERO,
            capped_at: None,
            fallback: None,
        }
    }

    /// Applies another cap: the leader is asked again at once.
    pub(super) fn set_cap(&mut self, cap: UsageCap) {
        if self.cap != cap {
            self.cap = cap;
            self.exhausted_until = Moment::ZERO;
        }
    }

    /// Decides about an operation; `has_lease` if the host may serve without a leader.
    pub(super) fn take(&mut self, now: Moment, has_lease: bool) -> UsageStep {
        self.end_unanswered(now);
        if let Some(token) = self.stock.take(now) {
            self.history.record(now);
            self.ask_ahead(now);
            return UsageStep::Admit(token);
        }
        if now < self.exhausted_until {
            self.capped_at = Some(now);
            return UsageStep::Refuse { retry_after: self.exhausted_until.since(now) };
        }
        if self.request == TokenRequest::None {
            self.request = TokenRequest::Due { since: now };
        }
        if let Some(fallback) = &mut self.fallback {
            if has_lease && self.cap.per_second() > 0.0 && fallback.admit(now) {
                self.history.record(now);
                return UsageStep::Admit(UsageToken { expires_at: now });
            }
            if now.since(fallback.confirmed_at) < SILENCE_MEMORY {
                return UsageStep::Unanswered { retry_after: NO_LEADER_RETRY };
            }
        }
        match self.request {
            TokenRequest::Due { since: at } | TokenRequest::Sent { at } => {
                UsageStep::Wait { until: at + ANSWER_TIMEOUT }
            }
            // Unreachable: a request was made above.
            TokenRequest::None => UsageStep::Unanswered { retry_after: NO_LEADER_RETRY },
        }
    }

    /// Starts the fallback once a request has got no answer in time; a sent one is
    /// then repeated by the next operation.
    fn end_unanswered(&mut self, now: Moment) {
        let (TokenRequest::Due { since: at } | TokenRequest::Sent { at }) = self.request else {
            return;
        };
        if now.since(at) < ANSWER_TIMEOUT {
            return;
        }
        if matches!(self.request, TokenRequest::Sent { .. }) {
            self.request = TokenRequest::None;
        }
        let confirmed_at = at + ANSWER_TIMEOUT;
        match &mut self.fallback {
            Some(fallback) => fallback.confirmed_at = confirmed_at,
            None => {
                let capped = self.capped_at.is_some_and(|at| now.since(at) < REFUSAL_MEMORY);
                let used_before = (!capped).then(|| self.history.total(now));
                let fallback = FallbackState { since: now, used_before, confirmed_at, admitted: 0 };
                self.fallback = Some(fallback);
            }
        }
    }

    /// Requests tokens once the stock is below half of the recent use, so that a busy
    /// host sends about 8 requests per second.
    fn ask_ahead(&mut self, now: Moment) {
        let low = self.stock.count() * 2 < self.use_ahead(now);
        if low && self.request == TokenRequest::None && now >= self.exhausted_until {
            self.request = TokenRequest::Due { since: now };
        }
    }

    /// Tokens to hold ahead of use: what was used in the last 250 ms, if that is enough
    /// for an estimate.
    fn use_ahead(&mut self, now: Moment) -> u32 {
        match self.history.recent(now) {
            0..MIN_AHEAD => 0,
            recent => recent,
        }
    }

    /// True if a request is to be sent.
    pub(super) fn is_due(&self) -> bool {
        matches!(self.request, TokenRequest::Due { .. })
    }

    /// Tokens for a request that is sent now.
    pub(super) fn begin_request(&mut self, now: Moment) -> u32 {
        self.request = TokenRequest::Sent { at: now };
        let ahead = self.use_ahead(now).saturating_sub(self.stock.count());
        (self.waiting + ahead).max(1)
    }

    /// Applies a grant, which may answer a request that counted as lost.
    pub(super) fn apply_share(
        &mut self,
        now: Moment,
        sent_at: Moment,
        lifetime: Duration,
        share: &UsageShare,
    ) {
        if self.request == (TokenRequest::Sent { at: sent_at }) {
            self.request = TokenRequest::None;
        }
        self.fallback = None;
        match share.tokens {
            0 => {
                self.exhausted_until = now + share.retry_after.min(MAX_EXHAUSTED);
                self.capped_at = Some(now);
            }
            tokens => {
                self.stock.add(now, tokens, sent_at, lifetime);
                self.exhausted_until = Moment::ZERO;
            }
        }
    }

    /// Puts back the token of an operation that reached no database.
    pub(super) fn give_back(&mut self, now: Moment, token: UsageToken) {
        self.history.forget_one(now);
        self.stock.give_back(now, token);
    }
}
