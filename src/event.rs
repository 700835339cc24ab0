//! Numbered events that a process logs and shows in the timeline.
//!
//! A test keeps the catalogue in `docs/EVENTS.md` equal to this module.

use std::fmt;

macro_rules! event_codes {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)+) => {
        /// One kind of event. The first digit of its number is the area: 1 process, 2
        /// configuration, 3 membership, 4 planning, 5 requests, 6 platform.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum EventCode {
            $(#[doc = $text] $name = $number,)+
        }

        impl EventCode {
            /// Every event, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// A sentence that says what happened.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }

            /// The severity at which the event is logged.
            #[must_use]
            pub const fn level(self) -> EventLevel {
                match self { $(Self::$name => EventLevel::$level,)+ }
            }
        }
    };
}

/// The severity of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventLevel {
    /// Normal operation.
    Info,
    /// Worth a look.
    Warn,
    /// Needs action.
    Error,
}

event_codes! {
    ProcessStarted = 1001, Info, "The process has started and listens.";
    ProcessLeaving = 1002, Info, "The process was asked to stop and finishes what it has.";
    ProcessStopped = 1003, Info, "The process has stopped with no request in flight.";
    EventsDropped = 1004, Warn, "The event ring was full; events were dropped.";
    DrainSlow = 1005, Warn, "A stop waits for requests in flight longer than the alarm time.";
    SettingsReloaded = 1006, Info, "Changed settings are in force.";
    SettingsRejected = 1007, Error, "Changed settings could not be read; those before stay in force.";
    KnowledgeComplete = 1008, Info, "This host has a configuration and the list of servers, and can serve.";
    ProcessStoodStill = 1009, Warn, "This process stood still: its machine was suspended or frozen, or had no processor for it.";

    ConfigInstalled = 2001, Info, "A configuration generation is installed.";
    ConfigRejected = 2002, Error, "A configuration from the platform or a peer was refused.";
    ChangeAccepted = 2003, Info, "An operator's change was accepted.";
    ChangeRefused = 2004, Warn, "An operator's change was refused.";
    TokenRefused = 2005, Warn, "A call without a valid token was refused.";
    DrainFinished = 2006, Info, "Nothing runs any more on what is drained, as this host sees it.";
    ConfigPartUnread = 2007, Error, "A part of a configuration could not be read as it stands; the other parts hold.";

    MemberJoined = 3001, Info, "A host or a new run of it was met.";
    MemberSuspected = 3002, Warn, "A host missed heartbeats.";
    MemberDied = 3003, Warn, "A host stayed silent and is not offered any more.";
    MemberLeaving = 3004, Info, "A host is leaving.";
    CutOff = 3005, Error, "This host hears no peer and no platform; it is not offered any more.";
    Reconnected = 3006, Info, "This host hears a peer or the platform again.";
    HeartbeatMalformed = 3007, Warn, "A message from another host could not be understood.";
    PeerSilent = 3008, Warn, "Another host did not answer when it was asked for what it knows.";

    PlannerStarted = 4001, Info, "This host plans now.";
    PlannerStopped = 4002, Info, "This host does not plan any more.";
    GrantsInstalled = 4003, Info, "New grants are in force on this host.";

    ServerLeaving = 5001, Info, "A backend server is leaving and gets no new work.";
    ServerShedding = 5002, Warn, "A backend server shed a request unrun.";
    AnswerDropped = 5003, Warn, "An answer that did not belong to its request was dropped.";
    ServerJoined = 5004, Info, "A new incarnation of a backend server was met.";
    ServerGone = 5005, Info, "A backend server is gone.";
    ServerLapsed = 5006, Warn, "A backend server's entry lapsed while the store was away; it is kept for a moment.";
    ServerEjected = 5007, Warn, "A backend server failed repeatedly and gets no work for a while.";
    HallEvacuated = 5008, Info, "A hall gets no new work.";
    HallTakenBack = 5009, Info, "A hall gets work again; its servers are taken for cold at first.";
    OfferFailed = 5010, Warn, "A request was offered to a backend server that did not answer it.";
    RequestFailed = 5011, Warn, "A request ended without a backend server's answer.";
    RequestAnswered = 5012, Info, "A backend server's answer was passed on.";
    CallerLeft = 5013, Info, "A caller left before its answer; the work on it was cancelled.";
    CustomerUnfit = 5014, Warn, "A customer of the configuration cannot be served as it is written.";
    ServerRestarted = 5015, Info, "A backend server has started again under its identity; what was known of it is forgotten.";
    ServerEnded = 5016, Warn, "A backend server ended with requests in hand; one of them may have ended it.";
    RequestBarred = 5017, Warn, "Backend servers ended under a request; no host sends it any more.";
    RequestCleared = 5018, Info, "A request under which backend servers seemed to end was answered; it is sent again.";
    RequestTried = 5019, Info, "A request under which backend servers ended is tried on one server.";
    ServerLimited = 5020, Warn, "A backend server names how many requests a second it takes from all hosts together.";
    ServerUnlimited = 5021, Info, "A backend server names no limit any more.";
    ServerWordUnreadable = 5022, Warn, "A backend server says something of itself that cannot be understood; it is passed over.";
    ServerSaysLeaving = 5023, Info, "A backend server says in its answers that it leaves.";
    ServerRests = 5024, Warn, "A backend server turned a request away and wants none from this host for a while.";
    SentToLeaving = 5025, Info, "A request was sent to a backend server that leaves, since no other may serve it.";
    RolloutChanged = 5026, Info, "The traffic of a service moves on to another version, has moved, or is taken back from it.";
    ServersUnreachable = 5027, Warn, "No backend server of a service accepts connections of this host; they are tried again at short intervals.";
    ServersReached = 5028, Info, "A backend server of a service accepts connections of this host again.";
    ServerEndDoubted = 5029, Info, "A backend server broke connections and refused new ones while this host reached no other either; its requests are not blamed.";
    RequestHandedOver = 5030, Info, "A request was answered by way of another host, since this one reaches no server of its service.";
    HandoffFailed = 5031, Warn, "A request was handed over to another host, which did not answer it.";
    WorkAfterDeparture = 5032, Warn, "A request was worked on to its end although its caller had left.";
    RetryAllowed = 5033, Info, "A request is sent to another server within the retry budget of its service.";
    EntryDoubted = 5034, Warn, "An entry of a backend server holds an older statement than the last known one; it is not believed for now.";
    AnswerOverdue = 5035, Warn, "An answer was still arriving at the deadline of its request; it was broken off.";
    CallerLimitReached = 5036, Warn, "Callers hold all that this host has for them; some were refused or closed.";

    PlatformLost = 6001, Warn, "The platform does not answer; what is in force stays in force.";
    PlatformFound = 6002, Info, "The platform answers again.";
    ObjectUnreadable = 6003, Error, "An object in the store could not be understood and is passed over.";
    WatchRoleChanged = 6004, Info, "This host begins or ends to watch the store for its region.";
    EntryNotWritten = 6005, Warn, "This host's entry could not be written to the store; it is tried again.";
    EntryNotRemoved = 6006, Warn, "The entry of a host that is gone could not be removed from the store.";
    QuarantineNotStored = 6007, Warn, "What is known of a barred request could not be written to the store, or read there; it is tried again.";
    StoreEraBegan = 6008, Warn, "The store has come back from an older copy; what was written since that copy may be lost.";
    StoreEraUnreadable = 6009, Warn, "The store tells its era in a form that cannot be understood; it is passed over.";
    RolloutNotRecorded = 6010, Warn, "How far the traffic of a service has moved to another version could not be recorded in the store; it is tried again.";
    WatchOverdue = 6011, Warn, "A watch of the store was not answered in time, or another host shows that it is late; the store is asked again.";
    ListIncomplete = 6012, Error, "A list of the store cannot be read to its end; what was read of it is used, and it is read again.";
}

impl EventCode {
    /// The number.
    ///
    /// ```
    /// use ledgespool::event;
    /// assert_eq!(event::EventCode::ProcessStarted.number(), 1001);
    /// ```
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl serde::Serialize for EventCode {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "EV{}", self.number())
    }
}
