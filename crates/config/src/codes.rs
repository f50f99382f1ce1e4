//! Every kind of mistake in a file. A code keeps its meaning from version to version.

use std::fmt;

/// Effect of a mistake on its file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file could not be read or is not text.
    Unreadable,
    /// The file is invalid.
    Refused,
    /// The mistake is reported and the file is accepted.
    Warned,
}

macro_rules! codes {
    ($($name:ident, $id:literal, $severity:ident, $title:literal, $explain:literal;)*) => {
        /// A kind of mistake.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Code { $(#[doc = $title] $name,)* }

        impl Code {
            /// All codes in ascending order of their ids.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Stable id, such as `C101`.
            pub fn id(self) -> &'static str {
                match self { $(Code::$name => $id,)* }
            }

            /// Effect of the mistake on its file.
            pub fn severity(self) -> Severity {
                match self { $(Code::$name => Severity::$severity,)* }
            }

            /// Short description.
            pub fn title(self) -> &'static str {
                match self { $(Code::$name => $title,)* }
            }

            /// Explanation of the mistake, why it matters and how to fix it.
            pub fn explain(self) -> &'static str {
                match self { $(Code::$name => $explain,)* }
            }
        }
    };
}

codes! {
    CannotRead, "C001", Unreadable, "the file can't be read",
        "There is nothing at the path, it may not be opened, or it is a directory, a pipe or a device. A configuration is read whole from an ordinary file, and a pipe may never end. Give the path of a file.";
    TooLarge, "C002", Unreadable, "the file is too large",
        "A configuration file holds 16 MiB at most: 100,000 accounts take less. Something else has been written to it, or the accounts belong into several applications.";
    NoText, "C003", Unreadable, "the file is not UTF-8 text",
        "Names and keys are compared byte for byte, so the text must be UTF-8 throughout. Save the file as UTF-8; a byte order mark at its start and line ends of either kind are taken.";
    Syntax, "C004", Refused, "the file is no TOML",
        "The text breaks the rules of TOML 1.0 at the place shown, so what stands there can't be known. Common causes: text without quotes, a bracket or a quote that is not closed, a key given twice, tables nested more than 80 deep.";
    BadJson, "C005", Refused, "the node list is no JSON",
        "A fleet snapshot that begins with a brace is read as discovery gives it: an object with `index`, `snapshot` and `endpoints`. Fetch it again; a list that was cut off in the middle is the usual cause.";
    NoKind, "C010", Refused, "the file does not say what it is",
        "Each file begins with `kind = \"site\"`, `kind = \"application\"` or `kind = \"fleet\"`, for these are checked by different rules.";
    NoVersion, "C011", Refused, "the version of the form is missing or unknown",
        "`version = 1` says which form a file has. A newer program reads older versions; a file with a newer one than this program knows may mean things that it would overlook.";
    UnknownKey, "C101", Refused, "a key that is not known",
        "A key that nobody reads is a wish that nobody hears: a limit spelled wrong would not be there. Correct the spelling, or take the line out.";
    MissingKey, "C102", Refused, "a key that must be given is missing",
        "There is no value that would suit everybody, so the file must say it. `wrenctl config schema` and the reference list what each table needs.";
    WrongType, "C103", Refused, "a value of another type is wanted",
        "A number in quotes is text, a list of one is still a list. The message says what is wanted and what is there.";
    OutOfRange, "C104", Refused, "a number outside its range",
        "The range is that in which the ingress keeps its promises: a count within the memory that it has, a share between 0 and 1.";
    BadTime, "C105", Refused, "a span of time that can't be read",
        "A span is a number with its unit in quotes: `\"250ms\"`, `\"1.5s\"`, `\"2m\"`, `\"1h\"`. Without a unit it could be any of them.";
    BadRate, "C106", Refused, "a rate that can't be read",
        "A rate is a number of units with its time in quotes: `\"6/s\"`, `\"360/min\"`, `\"21600/h\"`.";
    BadSize, "C107", Refused, "an amount of memory that can't be read",
        "An amount of memory is a whole number with its unit in quotes: `\"48MiB\"` or `\"1GiB\"`.";
    BadChoice, "C108", Refused, "none of the words that may stand here",
        "Only the words listed in the message mean something here.";
    BadName, "C109", Refused, "a name that can't be used",
        "Names go into logs, commands and lists, so they are 1 to 64 letters, digits, dots, dashes and underscores of ASCII, and begin with a letter or a digit.";
    BadAddress, "C110", Refused, "an address that can't be used",
        "An address is `IP:PORT`, such as `127.0.0.1:7600` or `[::1]:7600`, for there are no name look-ups; a listener may also be `unix:` and the absolute path of a socket of at most 100 bytes. Sidecars listen on the loopback only.";
    BadAccount, "C111", Refused, "an account's id that can't be used",
        "An account is a number below 2^33, written with 16 hex digits as clients send it: `\"00000000000004d2\"`.";
    Empty, "C112", Refused, "a list that may not be empty",
        "An empty list would mean that nothing is allowed or nobody is meant; leave the key out if everything is meant.";
    TooMany, "C113", Refused, "more entries than there is room for",
        "Tables are bounded so that an ingress keeps within its memory: 250 classes, 1,000 plans, 64 pools, 250 halls, 64 sidecars, 200,000 accounts in a file.";
    BadPath, "C114", Refused, "a path that can't be used",
        "The control socket and the folder for what is kept are named by absolute paths of at most 100 bytes, which is what a socket's name holds. A relative path would lead elsewhere with each working directory.";
    BadKey, "C115", Refused, "a public key that can't be used",
        "A key is the public half of an Ed25519 pair, 64 hex digits in lower case, as `wrenctl keys new` prints it. Another kind of key, a private one, or one of the few that every signature fits is not taken.";
    BadMoment, "C116", Refused, "a moment that can't be read",
        "A moment is written in UTC like `\"2026-12-01T00:00:00Z\"`. A local time would mean something else on each machine.";
    BadDigest, "C117", Refused, "a file's digest that can't be used",
        "A program is known by the SHA-256 of its file: 64 hex digits in lower case, as `sha256sum` prints them.";
    NameTwice, "C201", Refused, "the same name twice",
        "What refers to the name could mean either. The place of the first one is shown as well.";
    NoSuchClass, "C202", Refused, "a class that the site does not have",
        "Classes are the site's. Correct the spelling, or have the site add the class first.";
    NoSuchPlan, "C203", Refused, "a plan that the site does not have",
        "Plans are the site's. An account without a plan of the site would have no quota at all.";
    NoSuchHall, "C204", Refused, "a hall that the site does not have",
        "Halls are the site's. A pool with a hall that is not there has no nodes.";
    NoSuchPool, "C205", Refused, "a pool that the application does not have",
        "Routes, trials and fallbacks name pools of the same file, given as `[[pool]]`.";
    LateDeadline, "C206", Refused, "a deadline under the wanted time",
        "A request that is given up before its answer is wanted can never be late, only lost. The deadline is the longest that a client waits, over all tries; the wanted time is what earns the full worth.";
    SmallBurst, "C207", Refused, "a burst that one largest request would overrun",
        "The store of a quota holds `burst` units. A request that takes more is never let in, however long its account waits.";
    NoWindow, "C208", Refused, "a keyed class without the time that its key is known",
        "A keyed request is repeated only while the node still knows its key. Without `window` it could not be repeated at all, and clients that try again would have it done twice.";
    IdleWindow, "C209", Refused, "a key's time or group at a class that has no keys",
        "`window` and `group` say how long and where repeats of a keyed request are dropped. A safe class needs neither, and an unsafe one is never repeated.";
    OverPlan, "C210", Refused, "an account's quota above what its plan may never exceed",
        "The plan's `never-over` holds whatever a quota says: such an account would be cut at the ceiling while its quota promises more.";
    OddRate, "C211", Refused, "a rate a thousandfold from its neighbours",
        "The rate differs at least a thousand times from its plan's or from the middle of those beside it. A unit is the usual cause: `6/s`, `360/min` and `21600/h` are the same, `6000/min` is 100 a second. If it is meant, give the account a plan of its own.";
    LowCeiling, "C212", Refused, "a ceiling below the quota that it is to hold",
        "`never-over` is the hard limit above the quota; below it the quota could never be used.";
    UnusedPool, "C214", Warned, "a pool that nothing leads to",
        "No route, trial or fallback names it, so no request goes there.";
    NotSent, "C215", Refused, "a route for a class that the application may not send",
        "`sends` lists the classes that the application may send; a route for another one never carries anything. Add the class there or take the route out.";
    RoutedTwice, "C216", Refused, "two routes for one class",
        "A class has one route. Pools in a row are given by `fallback`, a second one for some customers by `trial`.";
    NoGroup, "C217", Refused, "a keyed class that does not say where repeats are dropped",
        "`group` says which nodes know a key: `all`, those of a `hall`, or those of a `group`. Guessing `all` would repeat a request at a node that does not know it.";
    Unpriced, "C218", Warned, "a class that is worth nothing",
        "Where something must be turned away, what is worth least goes first: with `worth = 0` this class goes before all others.";
    TooTight, "C219", Refused, "an ingress too small to work",
        "It needs 16 MiB of memory and 64 descriptors at the least: each open request holds two descriptors.";
    Circle, "C301", Refused, "pools that fall back on each other in a circle",
        "A request would be handed on for ever. Let the last pool of the row have no `fallback`.";
    TrialAtHome, "C302", Refused, "a trial in a pool that the route uses anyway",
        "The customers on trial would be served like all others, and the trial would show nothing. Name a pool of its own.";
    NoSuchNode, "C303", Refused, "a node that the fleet does not have",
        "The snapshot lists no node of that name: it never was there, or was replaced under a new name.";
    NodeDrains, "C304", Refused, "a route to a node that is draining",
        "A draining node finishes its work and takes nothing new; it will be gone soon. Name the node that takes its place, or select by hall, model or group, which follows replacements.";
    NodeGone, "C305", Refused, "a route to a node that is gone",
        "The snapshot lists the node as removed, so nobody answers there. Name the node that has taken its place, or select by hall, model or group.";
    NoNodes, "C306", Refused, "a pool without a node",
        "No node of the snapshot has all that the pool asks for. Lists of one kind are alternatives, lists of different kinds must all match.";
    AllDrain, "C307", Refused, "a pool whose every node is draining or gone",
        "No node of the pool takes new work now, so every request of its routes would wait for the fallback or be refused. Select by hall, model or group, or name nodes that are up.";
    TooFewNodes, "C308", Refused, "a pool with too few nodes for the quotas that go there",
        "The accounts' quotas, as far as their classes go to this pool, need more than its nodes serve at the site's `per-weight`. With a trial, nodes that are in both pools count for the trial alone.";
    GroupsMixed, "C309", Refused, "a keyed class sent to several groups",
        "Repeats of the class are dropped inside a hall or group only. A client that asks again may be sent to another pool, where the key is not known, and the request would run twice. Let all pools of the route lie in one group, or have the class not routed.";
    LongRoute, "C310", Refused, "a route over too many pools",
        "A request tries four pools at the most, the trial's among them: each further one is a place where it waits while its time runs out. Join pools that are alike, or take a fallback out.";
    CeilingTogether, "C401", Refused, "quotas that together exceed the site's ceiling",
        "Each application is within the ceiling, all together are not: on the day when all use what they were promised, everybody on that plan is slowed. Lower a quota or have the site raise the ceiling.";
    AccountTwice, "C402", Refused, "an account in two applications",
        "Its quota would be counted twice, once by each application's sidecars. An account belongs to one application.";
    ApplicationTwice, "C403", Refused, "two applications of one name",
        "Sidecars, logs and plans of change go by the name.";
    AddressTwice, "C404", Refused, "the same address twice",
        "Only one can listen there: the other would not start.";
    NoSite, "C405", Refused, "an application without its site",
        "Classes, plans and ceilings are the site's, so an application can only be checked beside it: give the site's file as well.";
    SiteTwice, "C406", Refused, "two files of the same kind where one is wanted",
        "One site and one fleet snapshot are wanted in a check. Check the applications of each site by themselves.";
    NoPeer, "C407", Refused, "sidecars that can't tell each other what they let through",
        "With several sidecars each needs `peers`, an address for messages: without it every one of them would give out the whole quota.";
    IdleUsers, "C408", Refused, "users at a listener that can't tell whose a connection is",
        "The kernel says whose process is behind a connection to a Unix socket, and to no other. On the loopback everybody on the machine may connect: listen at a socket's path, or leave `users` out.";
    NoKeyNow, "C409", Refused, "an issuer without a key at some time",
        "Between the end of one key and the start of the next, or from the last one's end on, every token of the issuer would be refused. List the new key with a `from` before the old one's `until`, and give the last one no end.";
    NotItsAccount, "C410", Refused, "a tenant with an account that is not the application's",
        "A tenant names accounts of the application that the file describes; requests for others are turned away whoever sends them.";
    RosterOfOne, "C411", Warned, "a roster with one that decides",
        "With one member that decides nothing is gained: while it is away no change is made, and nobody else may serve. Three that decide survive the loss of any one.";
    RosterOfTwo, "C412", Warned, "a roster of two that decide",
        "A majority of two is two: the loss of either stops changes, and with `alone = \"refuse\"` the other one's service as well. Add a `[[witness]]`, which keeps promises and serves nobody.";
    RosterEven, "C413", Warned, "a roster with an even number of those that decide",
        "Four that decide survive the loss of one, as three do, and a split into halves leaves neither with a majority. Add a `[[witness]]`, or name an odd number of `voters`.";
    RosterUnkept, "C414", Refused, "a member of the roster without a control socket or a folder",
        "Members ask each other on their control sockets, and a promise that is forgotten with a restart is none. Give each sidecar of the application `control` and `state`.";
    OddLease, "C415", Refused, "a lease that can't be kept",
        "A lease is renewed three times in its length: a member whose disk takes 100 ms for a commit, or whose clock goes 1% wrong, must not lose it by that, so 300 ms are the least. One of more than 60 s would keep every change with one away waiting for as long.";
    NoSuchMember, "C416", Refused, "a vote for a member that the files don't know",
        "`voters` names sidecars and witnesses of the same file.";
    AsKnown, "C417", Warned, "members that serve on without the others",
        "With `alone = \"as-known\"` a member that is cut off serves on under what it knew, also after the others have made a change: the change does not hold everywhere until it is back. Without it such a member turns requests away, which keeps \"everywhere or nowhere\" and costs its part of the service while it is cut off.";
    ManyVoters, "C418", Warned, "more that decide than are needed",
        "Each renewal of a lease asks a majority of those that decide, and each change waits for one. Name five or seven of them in `voters`; the others learn and serve as before.";
    IdleWitness, "C419", Refused, "a witness without a roster",
        "A witness keeps promises for a group. Add `[roster]`, or take the witness out.";
    IdleProgram, "C420", Refused, "a program without a roster",
        "A program changes in stages, which a group decides. Add `[roster]`, or take the program out and start what is to run by hand.";
}

impl Code {
    /// Finds a code by its id, such as `C101`; letter case is ignored.
    pub fn by_id(id: &str) -> Option<Code> {
        Code::ALL
            .iter()
            .copied()
            .find(|c| c.id().eq_ignore_ascii_case(id))
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.id())
    }
}

#[cfg(test)]
mod tests;
