// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Numbered log events, which docs/EVENTS.md lists.

/// Severity of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Details for troubleshooting.
    Debug,
    /// Normal operation.
    Info,
    /// A condition that operators should watch.
    Warning,
    /// A condition that operators should act on.
    Error,
}

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal $level:ident $text:literal;)*) => {
        /// A kind of log line. A number is never reused for another meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Event {
            $($(#[$doc])* $name = $number,)*
        }

        impl Event {
            /// All events in ascending order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the stable number of the event.
            #[must_use]
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// Returns the severity of the event.
            #[must_use]
            pub const fn level(self) -> Level {
                match self {
                    $(Self::$name => Level::$level,)*
                }
            }

            /// Returns the fixed message of the event.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

events! {
    /// A daemon started to serve.
    Started = 1001 Info "daemon started";
    /// A daemon was told to stop and takes no new requests.
    Stopping = 1002 Info "daemon stopping";
    /// A daemon finished its shutdown.
    Stopped = 1003 Info "daemon stopped";
    /// Streams were still open at the end of the graceful shutdown period and were closed.
    StreamsCutAtStop = 1004 Warning "streams cut at the end of the time for stopping";
    /// The readiness of a daemon changed.
    Ready = 1005 Info "readiness changed";
    /// Settings were reloaded.
    SettingsRead = 1006 Info "settings read";
    /// A settings file is invalid; the last valid one remains in force.
    SettingsInvalid = 1007 Error "invalid settings held back";
    /// Log lines were dropped because the log queue was full or the write failed.
    LogDropped = 1008 Warning "log lines dropped";
    /// The machine was suspended.
    Suspended = 1009 Warning "machine was suspended";
    /// A request was refused.
    Refused = 2001 Info "request refused";
    /// A request is retried at another target.
    Retried = 2002 Info "request retried";
    /// An attempt ended without it being known whether the request ran.
    OutcomeUnknown = 2003 Warning "attempt may have run";
    /// A response belonged to another attempt and was discarded.
    WrongAnswer = 2004 Error "answer of another attempt discarded";
    /// A caller closed its connection, so its request was cancelled.
    CallerGone = 2005 Info "caller gone, work cancelled";
    /// An interrupted stream was resumed.
    Resumed = 2006 Warning "stream resumed";
    /// An interrupted stream ended with an error.
    StreamCut = 2007 Warning "stream ended with an error";
    /// A request completed.
    Answered = 2008 Info "request answered";
    /// An attempt at a target ended without a response to forward.
    AttemptFailed = 2009 Info "attempt failed";
    /// Requests in progress, logged so that a record of them survives if the process is killed.
    InProgress = 2010 Info "requests in progress";
    /// A request is no longer sent to targets because too many of them crashed while running it.
    Quarantined = 2011 Warning "request quarantined";
    /// A pool has too little room, and divides it between organisations.
    RoomDivided = 2012 Warning "pool divides its room";
    /// A pool has room for all organisations again.
    RoomAmple = 2013 Info "pool has room for all";
    /// A member joined or recovered.
    MemberAlive = 3001 Info "member alive";
    /// A member is suspected of having failed.
    MemberSuspect = 3002 Info "member suspected";
    /// A member is considered failed.
    MemberDead = 3003 Warning "member dead";
    /// A control message failed authentication.
    ControlMessageRefused = 3004 Error "control message refused";
    /// Neither the peers nor the platform were heard from within the time limit.
    OutOfTouch = 3005 Error "out of touch";
    /// A newer configuration object is in force.
    ConfigApplied = 4001 Info "configuration in force";
    /// A configuration object failed validation; the last valid version remains in force.
    ConfigInvalid = 4002 Error "invalid configuration object held back";
    /// The API of the platform does not respond.
    PlatformDown = 4003 Warning "platform not answering";
    /// The API of the platform responds again.
    PlatformUp = 4004 Info "platform answering";
    /// An entry in the store of the platform could not be decoded.
    EntryInvalid = 4005 Error "invalid entry in the store";
    /// The store no longer holds the change history, so all entries of a kind are listed again.
    EntriesRelisted = 4006 Info "entries listed anew";
    /// Configuration changes were read from the store.
    ChangesRead = 4007 Info "changes read from the store";
    /// The store was restored from an older copy, so everything is read again.
    StoreRestored = 4008 Warning "store back from an older copy";
    /// A watch missed a change that another router has read, so it is repeated on a new connection.
    WatchOvertaken = 4009 Warning "watch overtaken by another router";
    /// The software versions of a pool's targets were written to the store.
    VersionsRecorded = 4010 Info "software versions recorded";
    /// What outlives all routers was read from the store.
    RecordsRead = 4011 Info "records read from the store";
    /// A target was marked as leaving.
    TargetLeaving = 5001 Info "target leaving";
    /// A leaving target has no running requests left.
    TargetDrained = 5002 Info "target drained";
    /// An order was rejected because of its fencing token.
    OrderRefused = 5003 Warning "order refused";
    /// An order was forwarded to the engine.
    OrderPassed = 5004 Info "order passed";
    /// Keys were reloaded.
    KeysRotated = 5005 Info "keys rotated";
    /// A target registered itself.
    TargetJoined = 5006 Info "target joined";
    /// The entry of a target was removed.
    TargetGone = 5007 Info "target gone";
    /// The entry of a target is missing after an outage of the store.
    TargetMissing = 5008 Warning "target missing after an outage";
    /// A target failed too often and temporarily gets no requests.
    TargetEjected = 5009 Warning "target ejected";
    /// A target restarted under the same name; what was known about the earlier run is discarded.
    TargetRestarted = 5010 Info "target started again";
    /// The store reports a different start of a target, which may be an earlier one.
    TargetInDoubt = 5011 Warning "target's start in doubt";
    /// The entry of a target can no longer be decoded, so the target gets no new requests.
    TargetUnreadable = 5012 Warning "target's entry unreadable";
    /// An availability zone was evacuated; its targets get no new requests.
    ZoneEvacuated = 5013 Warning "zone evacuated";
    /// An evacuated availability zone takes requests again.
    ZoneRestored = 5014 Info "zone restored";
    /// A target asked this router to send it no requests for a while.
    TargetPaused = 5015 Info "target paused";
    /// A target fails more of its requests than others of its pool.
    TargetFailing = 5018 Warning "target failing";
}
