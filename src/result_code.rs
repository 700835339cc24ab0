//! Numbered result codes: every refusal, fault and outcome that leaves a process carries one.
//!
//! A test keeps the table in `docs/RESULT-CODES.md` equal to this module.

use std::fmt;

/// What happened to a caller's request, as far as the entry host can prove it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The whole answer of a backend server was delivered.
    Answered,
    /// It is proved that the request did not run: it was never written to a backend server, or the
    /// server shed it.
    NotRun,
    /// The request was sent and no valid answer was received.
    Unknown,
}

impl RequestOutcome {
    /// The value of the `x-ledgespool-outcome` header.
    ///
    /// ```
    /// use ledgespool::result_code;
    /// assert_eq!(result_code::RequestOutcome::NotRun.as_str(), "not-run");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The header with the code of an answer that the entry host itself created.
pub const CODE_HEADER: &str = "x-ledgespool-code";

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $outcome:expr, $text:literal, $advice:literal;)+) => {
        /// One numbered result. The first digit is the area: 1 input files, 2 callers, 3 operators,
        /// 4 platform and peers.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum ResultCode {
            $(#[doc = $text] $name = $number,)+
        }

        impl ResultCode {
            /// Every code, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// The HTTP status that a caller or operator receives with this code.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// What the code proves about a caller's request; `None` if no request is concerned.
            #[must_use]
            pub const fn outcome(self) -> Option<RequestOutcome> {
                match self { $(Self::$name => $outcome,)+ }
            }

            /// A sentence that says what happened.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }

            /// A sentence that says what to do about it.
            #[must_use]
            pub const fn advice(self) -> &'static str {
                match self { $(Self::$name => $advice,)+ }
            }
        }
    };
}

const ANSWERED: Option<RequestOutcome> = Some(RequestOutcome::Answered);
const NOT_RUN: Option<RequestOutcome> = Some(RequestOutcome::NotRun);
const UNKNOWN: Option<RequestOutcome> = Some(RequestOutcome::Unknown);

result_codes! {
    SyntaxInvalid = 1001, 400, None, "The text is not JSON with comments.", "Mend the syntax at the line shown.";
    FieldUnknown = 1002, 400, None, "A field is not part of the schema.", "Remove it or mend its spelling.";
    FieldMissing = 1003, 400, None, "A required field is absent.", "Add the field.";
    TypeWrong = 1004, 400, None, "A field holds a value of the wrong type.", "Write the type that the message names.";
    UnitWrong = 1005, 400, None, "A quantity has no unit or a wrong one.", "Write durations as \"250ms\", \"2s\", \"10m\" or \"1h\".";
    NameDuplicate = 1006, 400, None, "A name is declared twice.", "Rename or remove one of the two.";
    NameDangling = 1007, 400, None, "A name refers to nothing that is declared.", "Declare it or mend the reference.";
    BlockOverlap = 1008, 400, None, "Two client blocks cover the same addresses.", "Make the prefixes disjoint.";
    CapacityExceeded = 1009, 400, None, "A sum is larger than the place or link can carry.", "Lower the parts or raise the capacity.";
    ValueOutOfRange = 1010, 400, None, "A value lies outside its allowed range.", "Use a value in the range that the message names.";
    FileUnreadable = 1011, 400, None, "A file or directory cannot be read.", "Check the path and its permissions.";
    AddressInvalid = 1012, 400, None, "An address is not IP:PORT, or a prefix is not CIDR.", "Write for example 127.0.0.1:9000 or 10.0.0.0/16.";
    LogLineInvalid = 1013, 400, None, "A line of a log cannot be read.", "Nothing to do for single cut lines; else check that it is a decision log of an entry host.";
    FileUnwritable = 1014, 400, None, "A file cannot be written.", "Check the path and its permissions.";

    Answered = 2000, 200, ANSWERED, "The whole answer was delivered.", "Nothing to do.";
    RequestMalformed = 2001, 400, NOT_RUN, "A request header is missing or malformed.", "Send the headers that docs/CALLERS.md lists.";
    ServiceUnknown = 2002, 404, NOT_RUN, "No such service is declared.", "Check the name with `ledgespool status`.";
    ClassUnknown = 2003, 400, NOT_RUN, "The service declares no such class.", "Use a declared class.";
    DeadlineTooShort = 2004, 503, NOT_RUN, "The request cannot finish by its deadline.", "Ask again with more time, after the come-back time.";
    BudgetExhausted = 2005, 503, NOT_RUN, "No budget is left in any place that may serve the request.", "Ask again after the come-back time.";
    NoHealthyServer = 2006, 503, NOT_RUN, "No healthy backend server is left for the service.", "Ask again after the come-back time.";
    HostLeaving = 2007, 503, NOT_RUN, "This entry host is leaving.", "Look up again and use another entry host.";
    ConfigurationMissing = 2008, 503, NOT_RUN, "This entry host holds no configuration that it can trust yet.", "Look up at another entry host.";
    BodyTooLarge = 2009, 413, NOT_RUN, "The request body exceeds the limit.", "Send a smaller body.";
    ConnectFailed = 2010, 502, NOT_RUN, "No connection to a backend server could be made.", "Ask again after the come-back time.";
    ServerShed = 2011, 503, NOT_RUN, "The backend server shed the request unrun.", "Ask again after the come-back time.";
    AnswerLost = 2012, 502, UNKNOWN, "The request was sent and the connection broke before an answer.", "Repeat only if repeatable, or with the same claim key.";
    DeadlinePassed = 2013, 504, UNKNOWN, "The deadline passed after the request was sent.", "Repeat only if repeatable, or with the same claim key.";
    AnswerInvalid = 2014, 502, UNKNOWN, "The answer was malformed or belonged to another request and was dropped.", "Repeat only if repeatable, or with the same claim key.";
    ClaimKeyMissing = 2015, 400, NOT_RUN, "A request that may not be repeated carries no claim key.", "Send x-ledgespool-claim-key.";
    ClaimKeyInvalid = 2016, 400, NOT_RUN, "The claim key is malformed or lies in the future.", "Write UNIXMILLIS-TOKEN, with 8 to 64 letters, digits or dashes as token.";
    ClaimKeyExpired = 2017, 409, UNKNOWN, "The claim key is older than the service's claim window.", "Check by other means whether the action ran.";
    ClaimRepeated = 2018, 409, ANSWERED, "The action ran before under this claim key; the recorded status is given.", "Do not send it again.";
    ClaimPending = 2019, 409, UNKNOWN, "An earlier attempt under this claim key has no recorded outcome.", "Ask again later with the same key, or check by other means.";
    ClaimsUnavailable = 2020, 503, NOT_RUN, "Claims cannot be recorded now; this attempt was not sent.", "Ask again with the same key after the come-back time.";
    RouteUnknown = 2021, 404, NOT_RUN, "The path names nothing that this listener serves.", "Use /lookup or /call/SERVICE/PATH.";
    EntryUnavailable = 2022, 503, NOT_RUN, "No entry host can be offered now.", "Ask again after the come-back time.";
    BodyBroken = 2023, 400, NOT_RUN, "The request body broke off or came too slowly.", "Send the body again.";
    WorkRejected = 2024, 503, NOT_RUN, "An internal ring is full; the request was refused at the door.", "Ask again after the come-back time.";
    HeadTooLarge = 2025, 431, NOT_RUN, "The request\'s headers exceed the limit.", "Send fewer or shorter headers.";
    KeyRefused = 2026, 401, NOT_RUN, "The request carries no key, several, or one that no customer holds.", "Send the customer's key, once, or ask the operator for a new one.";
    LimitReached = 2027, 429, NOT_RUN, "The customer's limit over all entry hosts leaves no room for the request.", "Ask again after the come-back time, or ask the operator for a higher limit.";
    HomesApart = 2028, 503, NOT_RUN, "No region may serve both this route and this customer.", "Ask the operator to mend the homes of one of them.";
    RequestQuarantined = 2029, 503, NOT_RUN, "Several backend servers ended under this request; it is sent to no other.", "Do not send it again as it is; ask the operator, who finds it in the log by its fingerprint.";
    MemoryExhausted = 2030, 503, NOT_RUN, "This entry host has no memory left for the request's body.", "Ask again after the come-back time.";

    TokenRejected = 3001, 401, None, "The operator token is missing or wrong.", "Pass the token with --token-file or LEDGESPOOL_TOKEN.";
    GenerationConflict = 3002, 409, None, "Another change was accepted first.", "Read the difference with `ledgespool plan` and apply again.";
    ApplyUncertain = 3003, 504, None, "The platform did not say whether the change took effect.", "Run `ledgespool status`; repeating the same operation id is safe.";
    PlatformUnavailable = 3004, 503, None, "The platform's object API does not answer.", "Ask again after the come-back time; what is in force stays in force.";
    TargetUnknown = 3005, 404, None, "The named server, hall, host or shift is not declared.", "Check the name with `ledgespool status`.";
    ParameterInvalid = 3006, 400, None, "A parameter of the call is missing or malformed.", "See schema/openrpc.json.";
    WaitExpired = 3007, 504, None, "Not every live entry host had the generation in force in time.", "See `ledgespool status` for the hosts that lag.";
    ControlBusy = 3008, 503, None, "The control ring is full.", "Ask again after the come-back time.";
    HostUnreachable = 3009, 502, None, "The entry host cannot be reached.", "Name another with --host.";

    PlatformUnreachable = 4001, 503, None, "A call to the platform failed or timed out.", "Check the platform; steering goes on with what is in force.";
    ObjectInvalid = 4002, 500, None, "An object in the platform does not parse.", "See the time line for the object's name; write it anew with `apply`.";
    VersionConflict = 4003, 409, None, "An object changed before our conditional update.", "Nothing to do: the writer reads again.";
    PeerMessageInvalid = 4004, 400, None, "A peer's message is malformed.", "Check that all entry hosts run the same release.";
    ObjectTooLarge = 4005, 413, None, "An object would exceed one megabyte.", "Split the declaration or shorten the claim window.";
    PeerUnreachable = 4006, 503, None, "A peer does not answer.", "See `ledgespool status`; the host is suspected, then left out.";
}

impl ResultCode {
    /// Finds a code by its number.
    ///
    /// ```
    /// use ledgespool::result_code;
    /// let code = result_code::ResultCode::from_number(2005);
    /// assert_eq!(code, Some(result_code::ResultCode::BudgetExhausted));
    /// ```
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }

    /// The number without its prefix.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "LS{}", self.number())
    }
}
