use std::time::Duration;

use super::{HostEffect, HostState, PeerMessage, host_state::RequestDeadline};
use crate::{
    agreement::{AgreementEffect, AgreementEvent, EntryPayload},
    clock::Moment,
    control_state::{ControlCommand, ControlState, HostRecord},
    identity::{HostId, RequestId},
    sessions::{PositionStore, rank_hosts},
};

/// Commands kept for subscribers that are a little behind.
const RECENT_COMMANDS: usize = 4_096;
/// Commands sent to a subscriber in one message.
const UPDATE_COMMANDS: usize = 512;
/// Time between a subscriber's questions.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a subscriber turns to another voter.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a subscriber gets updates after its last question.
const SUBSCRIBER_LIFETIME: Duration = Duration::from_secs(5);

/// A host that gets updates from this voter.
#[derive(Debug)]
pub(super) struct Subscriber {
    next_index: u64,
    heard_at: Moment,
}

impl HostState {
    pub(super) fn step_agreement(&mut self, now: Moment, event: AgreementEvent) {
        if let Some(agreement) = &mut self.agreement {
            let effects = agreement.step(now, event);
            self.carry_out(now, effects);
        }
    }

    fn carry_out(&mut self, now: Moment, effects: Vec<AgreementEffect>) {
        let mut applied = false;
        for effect in effects {
            match effect {
                AgreementEffect::Send(to, message) => {
                    self.send(to, PeerMessage::Agreement(message));
                }
                AgreementEffect::Persist { number, records } => {
                    self.effects.push(HostEffect::Persist { number, records });
                }
                AgreementEffect::Committed { index, payload } => {
                    applied = true;
                    let command = match payload {
                        EntryPayload::Command(command) => command,
                        // Keeps the subscribers' count of entries whole.
                        EntryPayload::Voters { .. } => ControlCommand::LeaderElected,
                    };
                    self.apply(now, index, command);
                }
                AgreementEffect::Installed(snapshot) => {
                    let mut state = snapshot.state;
                    state.applied = state.applied.max(snapshot.index);
                    self.replace_control(now, state);
                }
                AgreementEffect::Elected(term) => self.start_leading(now, term),
                AgreementEffect::SteppedDown => self.stop_leading(),
            }
        }
        if let Some(agreement) = &self.agreement
            && !agreement.is_leader()
            && agreement.leader().is_some()
        {
            self.leader = agreement.leader();
        }
        if applied {
            self.update_subscribers(now);
            self.compact(now);
        }
    }

    fn compact(&mut self, now: Moment) {
        if let Some(agreement) = &mut self.agreement {
            let effects = agreement.compact(&self.control, self.control.applied);
            if !effects.is_empty() {
                self.carry_out(now, effects);
            }
        }
    }

    /// Commits a command if this host leads.
    pub(super) fn propose(&mut self, now: Moment, command: ControlCommand) -> bool {
        let Some(agreement) = &mut self.agreement else {
            return false;
        };
        match agreement.propose(now, command) {
            Ok((_, effects)) => {
                self.carry_out(now, effects);
                true
            }
            Err(_) => false,
        }
    }

    fn apply(&mut self, now: Moment, index: u64, command: ControlCommand) {
        if index != self.control.applied + 1 {
            return;
        }
        let hosts_version = self.control.hosts_version;
        self.control.apply(index, &command);
        self.recent.push_back(command.clone());
        if self.recent.len() > RECENT_COMMANDS {
            self.recent.pop_front();
        }
        match &command {
            // Hosts that are configured by number have no part in these.
            ControlCommand::RoutesReplaced { .. }
            | ControlCommand::InstanceSeen(_)
            | ControlCommand::InstanceGone(_)
            | ControlCommand::HolderJoined(_)
            | ControlCommand::HolderLeft(_)
            | ControlCommand::ServicePrimaryKnown { .. }
            | ControlCommand::ServiceTermEnded { .. }
            | ControlCommand::ServicePrimaryChosen { .. }
            | ControlCommand::ServiceTermStarted { .. } => {}
            ControlCommand::LeaderElected | ControlCommand::PlanMade(_) => {}
            ControlCommand::HostJoined(HostRecord { id, .. }) | ControlCommand::HostLeft(id) => {
                if self.control.hosts_version != hosts_version {
                    self.marks.remove_moved(*id);
                }
            }
            ControlCommand::GroupFormed(record) => self.refresh_group(now, &record.name),
            ControlCommand::MemberJoined(group, _)
            | ControlCommand::MemberCounts(group, _)
            | ControlCommand::MemberDraining(group, _)
            | ControlCommand::MemberLeft(group, _)
            | ControlCommand::GatewaysAssigned(group, _)
            | ControlCommand::TermEnded { group, .. }
            | ControlCommand::PrimaryChosen { group, .. }
            | ControlCommand::TermStarted { group, .. } => self.refresh_group(now, group),
            ControlCommand::PlanConfirmed { request, .. } => {
                self.refresh_groups(now);
                self.answer_confirmations(&request.clone());
            }
        }
        self.leader_applied(now, &command);
    }

    /// Takes a whole configuration, unless it is older than the one in force.
    pub(super) fn replace_control(&mut self, now: Moment, state: ControlState) {
        self.subscription.heard_at = now;
        if state.applied > self.control.applied {
            self.control = state;
            // Which hosts came and went in between is not known.
            self.marks = PositionStore::default();
            self.recent.clear();
            self.refresh_groups(now);
        }
    }

    // Distribution to hosts that do not vote.

    pub(super) fn tend_subscription(&mut self, now: Moment) {
        if self.agreement.is_some() || now.since(self.subscription.asked_at) < SUBSCRIBE_INTERVAL {
            return;
        }
        if now.since(self.subscription.heard_at) > SUBSCRIPTION_TIMEOUT {
            self.subscription.rank += 1;
            self.subscription.heard_at = now;
        }
        self.subscription.asked_at = now;
        let key = self.settings.id().0.to_be_bytes();
        let ranked = rank_hosts(&key, self.settings.voters.iter().copied());
        let voter = ranked.get(self.subscription.rank % ranked.len().max(1));
        if let Some(voter) = voter.copied() {
            let applied = self.control.applied;
            self.send(voter, PeerMessage::Subscribe { applied });
        }
    }

    pub(super) fn subscribed(&mut self, now: Moment, from: HostId, applied: u64) {
        let subscriber = Subscriber { next_index: applied + 1, heard_at: now };
        self.subscribers.insert(from, subscriber);
        self.update_subscriber(from, true);
    }

    fn update_subscribers(&mut self, now: Moment) {
        self.subscribers
            .retain(|_, subscriber| now.since(subscriber.heard_at) < SUBSCRIBER_LIFETIME);
        let hosts: Vec<HostId> = self.subscribers.keys().copied().collect();
        for host in hosts {
            self.update_subscriber(host, false);
        }
    }

    /// Sends what a subscriber lacks; an answer to its question even if that
    /// is nothing.
    fn update_subscriber(&mut self, host: HostId, answer: bool) {
        let applied = self.control.applied;
        let oldest = applied + 1 - self.recent.len() as u64;
        let Some(subscriber) = self.subscribers.get_mut(&host) else {
            return;
        };
        let next = subscriber.next_index;
        if next > applied && !answer {
            return;
        }
        subscriber.next_index = applied + 1;
        let message = if next < oldest {
            PeerMessage::State(Box::new(self.control.clone()))
        } else {
            let skipped = (next - oldest) as usize;
            let commands = self.recent.iter().skip(skipped).take(UPDATE_COMMANDS).cloned();
            let commands: Vec<ControlCommand> = commands.collect();
            subscriber.next_index = next + commands.len() as u64;
            PeerMessage::Updates { first_index: next, commands }
        };
        self.send(host, message);
    }

    pub(super) fn updated(
        &mut self,
        now: Moment,
        _from: HostId,
        first_index: u64,
        commands: Vec<ControlCommand>,
    ) {
        if self.agreement.is_some() {
            return;
        }
        self.subscription.heard_at = now;
        for (index, command) in (first_index..).zip(commands) {
            self.apply(now, index, command);
        }
    }

    pub(super) fn set_deadline(&mut self, request: RequestId, at: Moment) {
        self.deadlines.insert(RequestDeadline { at, request });
    }
}
