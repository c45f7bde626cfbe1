// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Numbered log events; docs/EVENTS.md catalogues them.

/// `Level` is how serious an event is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// For a closer look.
    Debug,
    /// Ordinary life.
    Info,
    /// Something to watch.
    Warning,
    /// Something to act on.
    Error,
}

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal $level:ident $text:literal;)*) => {
        /// `Event` is one kind of log line; its number never changes its meaning.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Event {
            $($(#[$doc])* $name = $number,)*
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// `number` is the event's number.
            #[must_use]
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// `level` is how serious the event is.
            #[must_use]
            pub const fn level(self) -> Level {
                match self {
                    $(Self::$name => Level::$level,)*
                }
            }

            /// `text` is the event's fixed message.
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
    /// A daemon has begun to serve.
    Started = 1001 Info "daemon started";
    /// A daemon was told to stop and takes no new work.
    Stopping = 1002 Info "daemon stopping";
    /// A daemon has ended.
    Stopped = 1003 Info "daemon stopped";
    /// Streams were still open when the time for stopping ran out.
    StreamsCutAtStop = 1004 Warning "streams cut at the end of the time for stopping";
    /// The readiness of a daemon changed.
    Ready = 1005 Info "readiness changed";
    /// Settings were read anew.
    SettingsRead = 1006 Info "settings read";
    /// A settings file is invalid; the last good one stays in force.
    SettingsInvalid = 1007 Error "invalid settings held back";
    /// Log lines found no room, or could not be written.
    LogDropped = 1008 Warning "log lines dropped";
    /// The machine was suspended.
    Suspended = 1009 Warning "machine was suspended";
    /// A request was refused.
    Refused = 2001 Info "request refused";
    /// A request is tried at another target.
    Retried = 2002 Info "request retried";
    /// An attempt ended with an unknown fate.
    OutcomeUnknown = 2003 Warning "attempt may have run";
    /// An answer was to another attempt.
    WrongAnswer = 2004 Error "answer of another attempt discarded";
    /// A caller went away.
    CallerGone = 2005 Info "caller gone, work cancelled";
    /// A stream was cut and resumed.
    Resumed = 2006 Warning "stream resumed";
    /// A stream was cut and ended with an error.
    StreamCut = 2007 Warning "stream ended with an error";
    /// A request was answered.
    Answered = 2008 Info "request answered";
    /// An attempt at a target ended without an answer to pass on.
    AttemptFailed = 2009 Info "attempt failed";
    /// Requests that are in progress, so that a process that is killed leaves word of them.
    InProgress = 2010 Info "requests in progress";
    /// A request is kept from targets, as too many ended under it.
    Quarantined = 2011 Warning "request quarantined";
    /// A member joined, or came back.
    MemberAlive = 3001 Info "member alive";
    /// A member is suspected.
    MemberSuspect = 3002 Info "member suspected";
    /// A member is held to have failed.
    MemberDead = 3003 Warning "member dead";
    /// A control message was not authentic.
    ControlMessageRefused = 3004 Error "control message refused";
    /// Nothing was heard from peers or platform past the limit.
    OutOfTouch = 3005 Error "out of touch";
    /// A newer configuration object is in force.
    ConfigApplied = 4001 Info "configuration in force";
    /// An object failed the checks; the last good one stays in force.
    ConfigInvalid = 4002 Error "invalid configuration object held back";
    /// The platform's API does not answer.
    PlatformDown = 4003 Warning "platform not answering";
    /// The platform's API answers again.
    PlatformUp = 4004 Info "platform answering";
    /// An entry of the platform's store could not be decoded.
    EntryInvalid = 4005 Error "invalid entry in the store";
    /// The store's history is gone, so a kind of entries is listed anew.
    EntriesRelisted = 4006 Info "entries listed anew";
    /// Changes of the configuration were read from the store.
    ChangesRead = 4007 Info "changes read from the store";
    /// The store came back from an older copy, so that all is read anew.
    StoreRestored = 4008 Warning "store back from an older copy";
    /// A target was marked as leaving.
    TargetLeaving = 5001 Info "target leaving";
    /// A leaving target has no work left.
    TargetDrained = 5002 Info "target drained";
    /// An order was refused for its fencing number.
    OrderRefused = 5003 Warning "order refused";
    /// An order was passed to the engine.
    OrderPassed = 5004 Info "order passed";
    /// Keys were read anew.
    KeysRotated = 5005 Info "keys rotated";
    /// A target registered itself.
    TargetJoined = 5006 Info "target joined";
    /// A target's entry is gone.
    TargetGone = 5007 Info "target gone";
    /// A target's entry is missing after an outage of the store.
    TargetMissing = 5008 Warning "target missing after an outage";
    /// A target failed too often and gets no work for a while.
    TargetEjected = 5009 Warning "target ejected";
    /// A target started again under its name, and what was known of it is dropped.
    TargetRestarted = 5010 Info "target started again";
    /// The store tells of another start of a target, which may be an earlier one.
    TargetInDoubt = 5011 Warning "target's start in doubt";
    /// A target's entry cannot be read any more, so it gets no new work.
    TargetUnreadable = 5012 Warning "target's entry unreadable";
    /// An availability zone was evacuated: its targets get no new work.
    ZoneEvacuated = 5013 Warning "zone evacuated";
    /// An evacuated availability zone takes work again.
    ZoneRestored = 5014 Info "zone restored";
    /// A target wants no requests from this router for a while.
    TargetPaused = 5015 Info "target paused";
}
