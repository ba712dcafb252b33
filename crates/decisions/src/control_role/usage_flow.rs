use super::{ControlEffect, ControlHost, ControlLogEvent, EntryUpdate};
use crate::{clock::Moment, identity::HostId, usage::UsageNeed};

impl ControlHost {
    /// Grants an entry host tokens of workspaces, as far as their caps allow.
    pub(super) fn grant_usage(
        &mut self,
        now: Moment,
        host: HostId,
        sent_at: Moment,
        needs: &[UsageNeed],
    ) {
        if !self.is_current_leader(now) {
            let leader = self.agreement.leader();
            return self.send_entry(host, EntryUpdate::NotLeader { leader });
        }
        self.follow_caps(now);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let grants = leader_state.usage.grant(now, needs);
        let lifetime = leader_state.usage.lifetime();
        self.send_entry(host, EntryUpdate::UsageGrant { sent_at, lifetime, grants });
        self.log_cap_changes(now);
    }

    /// Applies the caps of the committed configuration to the leader's buckets.
    pub(super) fn follow_caps(&mut self, now: Moment) {
        if let (Some(leader_state), Some(table)) = (&mut self.leader_state, &self.control.routes) {
            leader_state.usage.follow(now, table.version, table.workspaces.as_deref());
        }
    }

    /// Logs workspaces that reached their cap, or have not reached it lately.
    pub(super) fn log_cap_changes(&mut self, now: Moment) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let changes = leader_state.usage.take_changes(now).into_iter();
        let events = changes.map(ControlLogEvent::CapChanged).map(ControlEffect::Log);
        self.effects.extend(events);
    }
}
