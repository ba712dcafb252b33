use crate::clock::Moment;

/// The lead of the control hosts, in the view of the host that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLead {
    /// Term of the agreement, which is also the fencing token.
    pub term: u64,
    /// Time on the holder's clock before which no other leader can exist; it moves on
    /// while voters answer.
    pub ends_at: Moment,
}
