use serde::{Deserialize, Serialize};

use super::Outcome;

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $sqlstate:literal, $outcome:ident, $text:literal, $remedy:literal;)*) => {
        /// Numbered result of a request, stable across releases.
        ///
        /// `docs/RESULT_CODES.md` holds the same table; a test keeps them equal.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The stable number.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The SQLSTATE that a caller receives.
            pub const fn sqlstate(self) -> &'static str {
                match self { $(Self::$name => $sqlstate,)* }
            }

            /// What is known about the request.
            pub const fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }

            /// One sentence for the caller or operator.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// What the caller or operator can do about it.
            pub const fn remedy(self) -> &'static str {
                match self { $(Self::$name => $remedy,)* }
            }
        }
    };
}

result_codes! {
    /// The request ran.
    Done = 0, "00000", Ran, "The request ran.", "Nothing to do.";
    /// No database of the group can serve the request.
    NoDatabase = 101, "57P03", DidNotRun, "No database of the group can serve the request now.", "Send it again; look at `hawthornstack upstreams`.";
    /// The queue of the group is full.
    QueueFull = 102, "53300", DidNotRun, "The group has more requests waiting than allowed.", "Send it again after the stated delay; raise the group's limit if this is usual.";
    /// The deadline passed while the request waited.
    DeadlinePassed = 103, "57014", DidNotRun, "The deadline passed before the request was sent to a database.", "Send it again; allow more time or lower the load.";
    /// The proxy is shutting down.
    ShuttingDown = 104, "57P01", DidNotRun, "This proxy is shutting down.", "Connect again; the balancer picks another proxy.";
    /// The group named by the caller is unknown.
    UnknownGroup = 105, "3D000", DidNotRun, "No database of this group has announced itself here.", "Check the database name: SERVICE.INSTANCE.";
    /// The connection could not be opened.
    ConnectFailed = 106, "08001", DidNotRun, "No connection to the chosen database could be opened.", "Send it again.";
    /// The group's primary is being replaced, and the request waited too long for it.
    PrimaryReplaced = 107, "25006", DidNotRun, "The group's primary is being replaced.", "Send it again.";
    /// The proxy's lease ran out.
    LeaseExpired = 108, "57P03", DidNotRun, "This proxy has no valid lease from control and may not serve writes.", "Send it again through another proxy; look at `hawthornstack hosts`.";
    /// The write was only on a primary that was replaced, and is discarded.
    WriteDiscarded = 109, "40001", DidNotRun, "The primary was replaced before a majority held the write, and the write was discarded.", "Send it again.";
    /// The open transaction lost its connection before its commit.
    TransactionLost = 110, "40001", DidNotRun, "The connection of the open transaction was lost before its commit; nothing of it remains.", "Roll back and run the transaction again.";
    /// The connection was lost after the request was sent.
    ConnectionLost = 201, "08007", Unknown, "The connection to the database was lost after the request was sent.", "Ask with a read, or send it again with the same request key.";
    /// No majority of the group confirmed the write in time.
    MajorityLate = 202, "08007", Unknown, "The write is on the primary but a majority did not confirm it in time.", "Ask with a read, or send it again with the same request key.";
    /// The primary was replaced while the write was in flight.
    ReplacedInFlight = 203, "08007", Unknown, "The primary was replaced while the write was in flight.", "Ask with a read, or send it again with the same request key.";
    /// The request was cancelled by the caller while it ran.
    Cancelled = 204, "57014", Unknown, "The request was cancelled while it ran.", "Ask with a read before sending it again.";
    /// The upstream broke the protocol.
    UpstreamConfused = 205, "08P01", Unknown, "The database answered out of order; its connection was closed.", "Ask with a read, or send it again with the same request key.";
    /// No position host of the session confirmed the position of the write.
    MarkNotStored = 206, "08007", Unknown, "The write is held by a majority but no keeper of the session confirmed its mark in time.", "Keep the session token, or send it again with the same request key.";
    /// A setting has an invalid value.
    BadSetting = 301, "22023", DidNotRun, "The value of a hawthornstack setting is not valid; nothing was changed.", "Correct the value; see docs/SETTINGS.md.";
    /// A token could not be verified.
    BadToken = 302, "28000", DidNotRun, "The session token was not issued by this deployment or for this group.", "Connect without a token, or with the last one received.";
    /// The message or statement is not supported.
    NotSupported = 303, "0A000", DidNotRun, "The proxy does not support this message or statement.", "See docs/CALLERS.md for what is supported.";
    /// The message breaks the protocol.
    ProtocolViolation = 304, "08P01", DidNotRun, "The message breaks the PostgreSQL protocol.", "Check the driver.";
    /// A request key was used for another statement.
    KeyReused = 305, "23505", DidNotRun, "This request key belongs to another statement.", "Use a new key for each new request.";
    /// A write was sent in a read-only transaction.
    ReadOnlySession = 306, "25006", DidNotRun, "The statement writes inside a read-only transaction.", "Start a transaction without READ ONLY.";
    /// The answer to a keyed request is too large to be stored for repeated requests.
    AnswerTooLarge = 307, "54000", DidNotRun, "The answer of the keyed request has more than 64 KiB and cannot be kept; it was rolled back.", "Return fewer rows, or send it without a key.";
    /// The announced name belongs to a live database with another address or group.
    AnnouncedElsewhere = 401, "42710", DidNotRun, "A live database with this name is announced from another address or group.", "Stop the other one, or use a new name.";
    /// The announcement names no database that can be used.
    UnusableAnnouncement = 402, "22023", DidNotRun, "An address or a number in the announcement is not that of a database.", "Announce the address and the limits of a running database.";
    /// The configuration changed after the plan was made.
    PlanOutdated = 501, "40001", DidNotRun, "The configuration changed after the plan was made.", "Read what changed and make a new plan.";
    /// The plan is unknown.
    UnknownPlan = 502, "42704", DidNotRun, "No plan with this id is known.", "Make a plan first.";
    /// This control host cannot confirm that its state is current.
    NotCurrent = 503, "57P03", DidNotRun, "This control host cannot confirm that it is current.", "Ask another host.";
    /// The declaration is not valid.
    BadDeclaration = 504, "22023", DidNotRun, "The declaration is not valid.", "Correct the named line.";
    /// A journal record is damaged.
    JournalDamaged = 601, "XX001", DidNotRun, "A record in the middle of the journal is damaged.", "Replace the host's data folder; the other voters repair it.";
}
