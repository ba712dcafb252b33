use std::time::Duration;

use super::{HostEffect, HostState, PeerMessage, host_state::RequestDeadline};
use crate::{
    agreement::{AgreementEffect, AgreementEvent, EntryPayload},
    clock::Moment,
    control_state::{ControlCommand, ControlState, HostRecord},
    identity::{HostId, RequestId},
    sessions::{PositionStore, rank_hosts},
};

/// Number of applied commands kept for subscribers that lack some of them.
const MAX_RECENT_COMMANDS: usize = 4_096;
/// Maximum number of commands in one message to a subscriber.
const MAX_UPDATE_COMMANDS: usize = 512;
/// Interval at which a subscriber repeats its request.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(500);
/// Silence of a voter after which a subscriber switches to another one.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a subscriber gets updates after its last request.
const SUBSCRIBER_LIFETIME: Duration = Duration::from_secs(5);

/// A host that gets updates from this voter.
#[derive(Debug)]
pub(super) struct Subscriber {
    next_index: u64,
    last_request_at: Moment,
}

impl HostState {
    pub(super) fn step_agreement(&mut self, now: Moment, event: AgreementEvent) {
        if let Some(agreement) = &mut self.agreement {
            let effects = agreement.step(now, event);
            self.apply_agreement_effects(now, effects);
        }
    }

    fn apply_agreement_effects(&mut self, now: Moment, effects: Vec<AgreementEffect>) {
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
                        // A command without effect keeps the indexes contiguous for
                        // subscribers, which get no voter changes.
                        EntryPayload::Voters { .. } => ControlCommand::LeaderElected,
                    };
                    self.apply_command(now, index, command);
                }
                AgreementEffect::Installed(snapshot) => {
                    let mut state = snapshot.state;
                    state.applied = state.applied.max(snapshot.index);
                    self.replace_control_state(now, state);
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
            self.compact_log(now);
        }
    }

    fn compact_log(&mut self, now: Moment) {
        if let Some(agreement) = &mut self.agreement {
            let effects = agreement.compact(&self.control);
            if !effects.is_empty() {
                self.apply_agreement_effects(now, effects);
            }
        }
    }

    /// Proposes a command; returns false if this host cannot propose it.
    pub(super) fn propose(&mut self, now: Moment, command: ControlCommand) -> bool {
        let Some(agreement) = &mut self.agreement else {
            return false;
        };
        match agreement.propose(now, command) {
            Ok((_, effects)) => {
                self.apply_agreement_effects(now, effects);
                true
            }
            Err(_) => false,
        }
    }

    fn apply_command(&mut self, now: Moment, index: u64, command: ControlCommand) {
        if index != self.control.applied + 1 {
            return;
        }
        let hosts_version = self.control.hosts_version;
        self.control.apply(index, &command);
        self.recent_commands.push_back(command.clone());
        if self.recent_commands.len() > MAX_RECENT_COMMANDS {
            self.recent_commands.pop_front();
        }
        match &command {
            // Commands of `hawthornstack-platform`, which concern no database group.
            ControlCommand::RoutesReplaced { .. }
            | ControlCommand::InstanceSeen(_)
            | ControlCommand::InstanceGone(_)
            | ControlCommand::HolderJoined(_)
            | ControlCommand::HolderLeft(_)
            | ControlCommand::ServicePrimaryKnown { .. }
            | ControlCommand::ServiceTermEnded { .. }
            | ControlCommand::ServicePrimaryChosen { .. }
            | ControlCommand::ServiceTermStarted { .. }
            | ControlCommand::ServiceLossCovered { .. } => {}
            ControlCommand::LeaderElected => {}
            ControlCommand::PlanMade(plan) => self.answer_plans(plan),
            ControlCommand::HostJoined(HostRecord { id, .. }) | ControlCommand::HostLeft(id) => {
                if self.control.hosts_version != hosts_version {
                    self.positions.remove_moved(*id);
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
        self.update_leader_state(now, &command);
    }

    /// Replaces the whole control state if the given one is newer.
    pub(super) fn replace_control_state(&mut self, now: Moment, state: ControlState) {
        self.subscription.last_message_at = now;
        if state.applied > self.control.applied {
            self.control = state;
            // The hosts that joined or left in between are not known, so newer
            // positions may have gone to other position hosts.
            self.positions = PositionStore::default();
            self.recent_commands.clear();
            self.refresh_groups(now);
        }
    }

    // Distribution of the control state to non-voters.

    pub(super) fn renew_subscription(&mut self, now: Moment) {
        if self.agreement.is_some()
            || now.since(self.subscription.last_request_at) < SUBSCRIBE_INTERVAL
        {
            return;
        }
        if now.since(self.subscription.last_message_at) > SUBSCRIPTION_TIMEOUT {
            self.subscription.voter_rank += 1;
            self.subscription.last_message_at = now;
        }
        self.subscription.last_request_at = now;
        let key = self.settings.id().0.to_be_bytes();
        let ranked = rank_hosts(&key, self.settings.voters.iter().copied());
        let voter = ranked.get(self.subscription.voter_rank % ranked.len().max(1));
        if let Some(voter) = voter.copied() {
            let applied = self.control.applied;
            self.send(voter, PeerMessage::Subscribe { applied });
        }
    }

    pub(super) fn handle_subscribe(&mut self, now: Moment, from: HostId, applied: u64) {
        let subscriber = Subscriber { next_index: applied + 1, last_request_at: now };
        self.subscribers.insert(from, subscriber);
        self.update_subscriber(from, true);
    }

    fn update_subscribers(&mut self, now: Moment) {
        self.subscribers
            .retain(|_, subscriber| now.since(subscriber.last_request_at) < SUBSCRIBER_LIFETIME);
        let hosts: Vec<HostId> = self.subscribers.keys().copied().collect();
        for host in hosts {
            self.update_subscriber(host, false);
        }
    }

    /// Sends the commands that a subscriber lacks. A reply to its request is sent
    /// even if there are none.
    fn update_subscriber(&mut self, host: HostId, is_reply: bool) {
        let applied = self.control.applied;
        let oldest = applied + 1 - self.recent_commands.len() as u64;
        let Some(subscriber) = self.subscribers.get_mut(&host) else {
            return;
        };
        let next = subscriber.next_index;
        if next > applied && !is_reply {
            return;
        }
        subscriber.next_index = applied + 1;
        let message = if next < oldest {
            PeerMessage::State(Box::new(self.control.clone()))
        } else {
            let skipped = (next - oldest) as usize;
            let commands =
                self.recent_commands.iter().skip(skipped).take(MAX_UPDATE_COMMANDS).cloned();
            let commands: Vec<ControlCommand> = commands.collect();
            subscriber.next_index = next + commands.len() as u64;
            PeerMessage::Updates { first_index: next, commands }
        };
        self.send(host, message);
    }

    pub(super) fn apply_updates(
        &mut self,
        now: Moment,
        _from: HostId,
        first_index: u64,
        commands: Vec<ControlCommand>,
    ) {
        if self.agreement.is_some() {
            return;
        }
        self.subscription.last_message_at = now;
        for (index, command) in (first_index..).zip(commands) {
            self.apply_command(now, index, command);
        }
    }

    pub(super) fn set_deadline(&mut self, request: RequestId, at: Moment) {
        self.deadlines.insert(RequestDeadline { at, request });
    }
}
