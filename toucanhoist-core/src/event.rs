/*!
Numbered log events.

The numbers are stable. docs/EVENTS.md is the catalogue of events; a test checks that the two agree.
*/

use std::fmt;

/// Severity of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Normal operation.
    Info,
    /// A condition that an operator should look into.
    Warn,
    /// A fault that an operator must act on.
    Error,
}

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident $number:literal $severity:ident $text:literal)*) => {
        /// A kind of log event.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        #[non_exhaustive]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// Every event.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Returns the event's number.
            pub fn number(self) -> u16 {
                match self {
                    $(Event::$name => $number,)*
                }
            }

            /// Returns the event's name.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Event::$name => $text,)*
                }
            }

            /// Returns the event's severity.
            pub fn severity(self) -> Severity {
                match self {
                    $(Event::$name => Severity::$severity,)*
                }
            }
        }
    };
}

events! {
    /// The process has started to serve.
    Started 1001 Info "started"
    /// The process has begun a graceful shutdown.
    ShutdownBegun 1002 Info "shutdown-begun"
    /// The settings were reloaded.
    Reloaded 1005 Info "reloaded"
    /// The process has stopped.
    Stopped 1003 Info "stopped"
    /// A second signal ended a graceful shutdown early.
    ShutdownForced 1004 Warn "shutdown-forced"
    /// A connection could not be accepted.
    AcceptFailed 1101 Warn "accept-failed"
    /// A port is full.
    PortFull 1102 Warn "port-full"
    /// The system gives new connections a large receive buffer.
    ReceiveBufferLarge 1103 Warn "receive-buffer-large"
    /// A caller's look-up was answered.
    LookedUp 2001 Info "looked-up"
    /// A request could not be read and was refused.
    Malformed 2301 Info "malformed"
    /// A caller closed its connection before its answer was complete.
    Abandoned 2302 Info "abandoned"
    /// A caller was too slow to send a request's head.
    SenderSlow 2303 Info "sender-slow"
    /// A connection ended in the middle of a request's head.
    HeadBroken 2304 Info "head-broken"
    /// A header that held a key of a client account was removed before a request was sent to a
    /// target.
    KeyWithheld 2305 Info "key-withheld"
    /// A request was placed on a target.
    Placed 2002 Info "placed"
    /// A request was forwarded to another entry host.
    Forwarded 2003 Info "forwarded"
    /// A request was refused.
    Refused 2004 Info "refused"
    /// A request was answered.
    Answered 2005 Info "answered"
    /// An attempt failed and the request is retried elsewhere.
    Retried 2006 Warn "retried"
    /// An answer ended before it was complete.
    Broken 2007 Warn "broken"
    /// A request was sent to a target.
    Sent 2008 Info "sent"
    /// A target gave no complete answer to an attempt.
    AttemptFailed 2009 Info "attempt-failed"
    /// A target's entry changed.
    TargetChanged 2106 Info "target-changed"
    /// The data centres under evacuation changed.
    EvacuationsChanged 2107 Warn "evacuations-changed"
    /// A target announced a limit on its requests, another one, or none any more.
    TargetLimited 2108 Info "target-limited"
    /// A target is temporarily excluded from new requests.
    TargetClosed 2101 Warn "target-closed"
    /// A fingerprint was quarantined because its requests crashed targets.
    Quarantined 2103 Error "quarantined"
    /// An operator released a fingerprint from quarantine.
    QuarantineReleased 2104 Warn "quarantine-released"
    /// The plan diverts callers of a region to other regions.
    Planned 2105 Info "planned"
    /// An answer of a target said that the target is leaving.
    TargetLeaving 2111 Info "target-leaving"
    /// The host reaches no targets itself.
    CutOff 2109 Warn "cut-off"
    /// The host reaches targets again.
    CutOffEnded 2110 Info "cut-off-ended"
    /// An invariant was violated.
    InvariantViolated 2102 Error "invariant-violated"
    /// A submission was recorded and may be sent.
    SubmissionRecorded 2201 Info "submission-recorded"
    /// A submission's answer was stored.
    SubmissionKept 2202 Info "submission-kept"
    /// A resend was answered with the stored answer of its submission.
    SubmissionReplayed 2203 Info "submission-replayed"
    /// A submission did not run and may be sent again.
    SubmissionReleased 2204 Info "submission-released"
    /// The outcome of a submission is open.
    SubmissionOpened 2205 Warn "submission-opened"
    /// The lease of a submission's holder ended without an outcome, so the submission was opened.
    SubmissionLapsed 2206 Warn "submission-lapsed"
    /// An operator settled a submission.
    SubmissionSettled 2207 Warn "submission-settled"
    /// Records of submissions were deleted after their retention.
    SubmissionsExpired 2208 Info "submissions-expired"
    /// The outcome of a submission could not be written yet.
    SubmissionUnwritten 2209 Warn "submission-unwritten"
    /// The process ended before the outcomes of some submissions were written.
    SubmissionsLeft 2210 Error "submissions-left"
    /// A configuration came into force.
    ConfigurationInForce 4001 Info "configuration-in-force"
    /// A configuration change was accepted.
    ConfigurationAccepted 4002 Info "configuration-accepted"
    /// A configuration change was refused.
    ConfigurationRefused 4003 Warn "configuration-refused"
    /// A key was granted.
    KeyGranted 3001 Info "key-granted"
    /// A key was withdrawn.
    KeyWithdrawn 3002 Info "key-withdrawn"
    /// The host's shares of rates and bursts changed.
    SharesChanged 3101 Info "shares-changed"
    /// Another host was fenced, which revokes its shares.
    SharesFenced 3102 Warn "shares-fenced"
    /// The source of the lease on shares changed, or the lease has lapsed.
    LeaseChanged 3103 Warn "lease-changed"
    /// A change of shares would have exceeded the limit of an account.
    SharesExceeded 3104 Error "shares-exceeded"
    /// The rule by which the knowledge of keys counts as fresh changed, or the knowledge became
    /// stale.
    KeysRuleChanged 3110 Warn "keys-rule-changed"
    /// Hosts have not confirmed the withdrawal of a key in time.
    WithdrawalUnconfirmed 3111 Warn "withdrawal-unconfirmed"
    /// The platform cannot be reached.
    PlatformDown 4010 Warn "platform-down"
    /// The platform can be reached again.
    PlatformUp 4011 Info "platform-up"
    /// The store was restored from a backup.
    StoreRestored 4012 Warn "store-restored"
    /// An answer of the store from before it was restored from a backup was ignored.
    StoreAnswerOutdated 4013 Warn "store-answer-outdated"
    /// This host began to follow the store, or no longer does.
    StoreFollowed 4014 Info "store-followed"
    /// An entry of the store is not valid, and is not used.
    EntryUnreadable 4015 Warn "entry-unreadable"
    /// A value in a configuration cannot be read; the rest of the version is in force.
    ValueUnreadable 4016 Warn "value-unreadable"
    /// A version of the configuration cannot be read at all; the former one stays in force.
    ConfigurationUnreadable 4017 Error "configuration-unreadable"
    /// The state of a member changed.
    MemberChanged 4101 Info "member-changed"
    /// The configuration was taken from other entry hosts, as the platform could not be read yet.
    ConfigurationFromPeers 4102 Warn "configuration-from-peers"
    /// A snapshot is missing or damaged; an older one is tried.
    SnapshotDamaged 4103 Warn "snapshot-damaged"
    /// A snapshot was written.
    SnapshotWritten 4104 Info "snapshot-written"
    /// An entry contradicts the history of configuration changes.
    ConfigurationContradicted 4105 Error "configuration-contradicted"
    /// A data centre cannot be reached.
    DataCentreUnreachable 4106 Warn "data-centre-unreachable"
    /// A data centre can be reached again.
    DataCentreReachable 4107 Info "data-centre-reachable"
    /// A configuration change removes more than the cap and was not confirmed.
    ChangeUnconfirmed 4108 Warn "change-unconfirmed"
    /// An operator's request was refused.
    OperatorRefused 5001 Warn "operator-refused"
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
