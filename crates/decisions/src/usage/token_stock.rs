use std::{collections::VecDeque, time::Duration};

use crate::clock::Moment;

/// Grants that are kept apart; tokens of further ones expire with the last of them.
const MAX_LOTS: usize = 8;

/// Permission for one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageToken {
    pub(super) expires_at: Moment,
}

#[derive(Debug, Clone, Copy)]
struct TokenLot {
    tokens: u32,
    expires_at: Moment,
}

/// Tokens of one workspace on one host, by the time at which they expire.
#[derive(Debug, Default)]
pub(super) struct TokenStock {
    lots: VecDeque<TokenLot>,
}

impl TokenStock {
    /// Adds the tokens of a grant, unless they have expired on their way. Counted
    /// from the request, so that a delayed grant does not move use into a later window.
    pub(super) fn add(&mut self, now: Moment, tokens: u32, sent_at: Moment, lifetime: Duration) {
        self.insert(now, TokenLot { tokens, expires_at: sent_at + lifetime });
    }

    /// Puts a token back, which still expires when it did.
    pub(super) fn give_back(&mut self, now: Moment, token: UsageToken) {
        self.insert(now, TokenLot { tokens: 1, expires_at: token.expires_at });
    }

    fn insert(&mut self, now: Moment, lot: TokenLot) {
        self.drop_expired(now);
        if lot.tokens == 0 || lot.expires_at <= now {
            return;
        }
        let index = self.lots.partition_point(|known| known.expires_at < lot.expires_at);
        let is_full = self.lots.len() >= MAX_LOTS;
        match self.lots.get_mut(index) {
            Some(known) if known.expires_at == lot.expires_at => known.tokens += lot.tokens,
            _ if !is_full => self.lots.insert(index, lot),
            // Merged so that no token lives longer.
            Some(first) if index == 0 => {
                first.tokens += lot.tokens;
                first.expires_at = lot.expires_at;
            }
            _ => self.lots[index - 1].tokens += lot.tokens,
        }
    }

    /// Takes the token that expires first.
    pub(super) fn take(&mut self, now: Moment) -> Option<UsageToken> {
        self.drop_expired(now);
        let lot = self.lots.front_mut()?;
        lot.tokens -= 1;
        let token = UsageToken { expires_at: lot.expires_at };
        if lot.tokens == 0 {
            self.lots.pop_front();
        }
        Some(token)
    }

    /// Number of tokens, which may include expired ones until the next change.
    pub(super) fn count(&self) -> u32 {
        self.lots.iter().map(|lot| lot.tokens).sum()
    }

    fn drop_expired(&mut self, now: Moment) {
        while self.lots.front().is_some_and(|lot| lot.expires_at <= now) {
            self.lots.pop_front();
        }
    }
}
