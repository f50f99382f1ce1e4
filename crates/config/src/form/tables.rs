//! Definitions of the tables of each kind of file.

use super::{Field, Kind, Need, Table, VERSION};

/// Largest number of units, worth or price.
const MAX_UNITS: f64 = 1e9;

/// A field of a table: `"key": kind, required, "about", "example"`, or with `without "default"` in place of `required`
/// where the key may be left out; or the name of a [`Field`] constant that several tables share.
macro_rules! field {
    ($shared:ident) => {
        $shared
    };
    ($key:literal : $kind:expr, required, $about:literal, $example:literal) => {
        Field {
            key: $key,
            kind: $kind,
            need: Need::Required,
            about: $about,
            example: $example,
        }
    };
    ($key:literal : $kind:expr, without $default:literal, $about:literal, $example:literal) => {
        Field {
            key: $key,
            kind: $kind,
            need: Need::Optional($default),
            about: $about,
            example: $example,
        }
    };
}

/// Defines a table: its name, its description, and its fields in brackets, each in the syntax of [`field!`].
macro_rules! table {
    ($(#[$doc:meta])* $visibility:vis $table:ident: $name:literal, $about:literal; $([$($field:tt)+])+) => {
        $(#[$doc])*
        $visibility static $table: Table = Table {
            name: $name,
            about: $about,
            fields: &[$(field!($($field)+)),+],
        };
    };
}

const VERSION_FIELD: Field = field!(
    "version": Kind::Integer(VERSION, VERSION), required, "The version of this form.", "1"
);
const NEAR_FIELD: Field = field!(
    "near": Kind::Tables(&NEAR, 250), without "requests without a route go to any hall alike",
    "For a hall, the others in order of nearness.", ""
);
const IDENTITY_FIELD: Field = field!(
    "identity": Kind::Table(&IDENTITY), without "nobody is asked who they are",
    "Who may call, and how they prove it.", ""
);
const POOL_FIELD: Field = field!(
    "pool": Kind::Tables(&POOL, 64), without "requests go to any node", "Pools of nodes.", ""
);
const ROUTE_FIELD: Field = field!(
    "route": Kind::Tables(&ROUTE, 250), without "requests go to any node", "Where classes go.", ""
);

table! {
    /// Top-level table of a site's file.
    pub SITE: "site",
    "What all applications of a site share. It is kept by those who run the site.";
    [VERSION_FIELD]
    ["kind": Kind::Choice(&["site"]), required, "What this file is.", "\"site\""]
    ["name": Kind::Name, required, "The site's name; applications say it in `site`.", "\"bangna\""]
    ["halls": Kind::Names, required,
        "The halls that nodes and sidecars stand in.", "[\"hall-a\", \"hall-b\"]"]
    [NEAR_FIELD]
    ["per-weight": Kind::Rate, without "pools are not checked for having enough nodes",
        "What a node of weight 1 serves.", "\"12/s\""]
    ["limits": Kind::Table(&SITE_LIMITS), without "the defaults of its keys",
        "What an ingress may do.", ""]
    ["rules": Kind::Table(&RULES), without "the defaults of its keys",
        "The figures of the platform's rules.", ""]
    ["class": Kind::Tables(&CLASS, 250), required, "The classes of requests.", ""]
    ["plan": Kind::Tables(&PLAN, 1_000), required, "The plans that accounts are on.", ""]
    ["ceiling": Kind::Tables(&CEILING, 1_000), without "no ceiling over applications",
        "What all accounts of a plan may be promised together, over all applications.", ""]
}

table! {
    NEAR: "order of nearness",
    "Where requests from a hall go that have no route: to its own nodes, then to those of the others, as far as room goes.";
    ["hall": Kind::Name, required, "The hall that requests come from.", "\"hall-a\""]
    ["others": Kind::Names, required,
        "The other halls, the nearest first; those not named come last, together.", "[\"hall-b\"]"]
}

table! {
    SITE_LIMITS: "limits of a site",
    "What an ingress may do.";
    ["attempts": Kind::Integer(1, 16), without "3", "Attempts for one request.", "3"]
    ["second-copies": Kind::Flag, without "true",
        "Whether two attempts of one request may be out together.", "true"]
    ["cancel": Kind::Flag, without "true", "Whether attempts may be called off.", "true"]
    ["probes": Kind::Flag, without "false", "Whether nodes may be probed.", "false"]
    ["open": Kind::Integer(1, 1_000_000), without "20000", "Requests open at once.", "20000"]
    ["retry-after": Kind::Time, without "clients are told no pause",
        "The longest pause that a client is told to keep.", "\"2s\""]
    ["connect": Kind::Time, without "250ms",
        "How long a node may take to accept a connection.", "\"250ms\""]
    ["keepalive": Kind::Time, without "15s", "How long a node keeps an idle connection.", "\"15s\""]
    ["tick": Kind::Time, without "4ms", "The least time between two looks at the clock.", "\"4ms\""]
    ["messages": Kind::Number(0.0, 1e6), without "40",
        "Messages that an ingress takes from its peers in a second.", "40"]
}

table! {
    RULES: "rules",
    "The figures of the platform's rules.";
    ["answer-slack": Kind::Time, without "16ms",
        "How long after the deadline a final answer still counts.", "\"16ms\""]
    ["drain-grace": Kind::Time, without "1s",
        "How long new work at a draining node may still go on.", "\"1s\""]
    ["cold-from": Kind::Number(0.01, 1.0), without "0.28",
        "The share of its speed with which a node starts.", "0.28"]
    ["cold": Kind::Time, without "16s", "How long a node takes to be warm.", "\"16s\""]
    ["cold-factor": Kind::Number(1.0, 100.0), without "4",
        "The multiple of its speed that pushes a cold node over.", "4"]
    ["cold-push": Kind::Time, without "1s", "How long it must last to do so.", "\"1s\""]
}

table! {
    CLASS: "class",
    "A class of requests.";
    ["name": Kind::Name, required, "What clients call it.", "\"quote\""]
    ["effect": Kind::Choice(&["safe", "keyed", "unsafe"]), required,
        "Whether a request that may have run may run again: always, while its key is known, or never.", "\"safe\""]
    ["group": Kind::Choice(&["all", "hall", "group"]), without "must be given for keyed classes",
        "Which nodes drop repeats of a keyed request: all, those of the hall, or those of the group.", "\"group\""]
    ["window": Kind::Time, without "must be given for keyed classes",
        "How long a key is known.", "\"3s\""]
    ["wanted": Kind::Time, required,
        "An answer within this time earns the full worth.", "\"400ms\""]
    ["deadline": Kind::Time, required,
        "The longest that a client waits, over all its tries.", "\"1s\""]
    ["worth": Kind::Number(0.0, MAX_UNITS), required, "What an answer is worth.", "2"]
    ["units": Kind::Number(0.001, MAX_UNITS), without "1",
        "The most units of a quota that one request takes.", "1"]
}

table! {
    PLAN: "plan",
    "A plan. Each account on it has a quota of its own.";
    ["name": Kind::Name, required, "What accounts and clients call it.", "\"business\""]
    ["quota": Kind::Rate, required,
        "What each account on it may use, over all ingresses together.", "\"8/s\""]
    ["burst": Kind::Number(0.001, MAX_UNITS), required,
        "Units that an account may use at once after a rest.", "16"]
    ["never-over": Kind::Rate, without "no hard limit",
        "What an account never exceeds, whatever happens.", "\"16/s\""]
    ["never-over-burst": Kind::Number(0.001, MAX_UNITS), without "twice the burst",
        "Units that the hard limit lets through at once.", "32"]
    ["price": Kind::Number(0.0, MAX_UNITS), without "1",
        "Factor on what its answers are worth.", "1.1"]
    ["beyond-costs": Kind::Number(0.0, 1.0), without "0",
        "Share of the worth that is lost by serving beyond the quota.", "0.5"]
}

table! {
    CEILING: "ceiling",
    "What all accounts of a plan may be promised together.";
    ["plan": Kind::Name, required, "The plan.", "\"business\""]
    ["rate": Kind::Rate, required,
        "The most that the quotas of its accounts may come to, over all applications.", "\"400/s\""]
}

table! {
    /// Top-level table of an application's file.
    pub APPLICATION: "application",
    "An application: what it may send and where that goes, its accounts, and its sidecars.";
    [VERSION_FIELD]
    ["kind": Kind::Choice(&["application"]), required, "What this file is.", "\"application\""]
    ["name": Kind::Name, required, "The application's name.", "\"bangna-desk\""]
    ["site": Kind::Name, required, "The site that it is for.", "\"bangna\""]
    ["sends": Kind::Names, required, "The classes that it may send.", "[\"quote\"]"]
    ["limits": Kind::Table(&SIDECAR_LIMITS), without "the defaults of its keys",
        "What each sidecar may take.", ""]
    ["sidecar": Kind::Tables(&SIDECAR, 256), required, "Its sidecars.", ""]
    ["roster": Kind::Table(&ROSTER), without "each change needs every sidecar",
        "That the sidecars are a group: a majority decides a change, and serves under it.", ""]
    ["program": Kind::Table(&PROGRAM), without "whichever is started",
        "The program that the group's sidecars run, where `wrenctl tend` keeps their processes.", ""]
    ["witness": Kind::Tables(&WITNESS, 16), without "the sidecars alone decide",
        "Members of the group that keep promises and serve nobody (`wrenctl witness`).", ""]
    ["account": Kind::Tables(&ACCOUNT, 200_000), required,
        "Its accounts. A request for another one is turned away, whatever it claims.", ""]
    [IDENTITY_FIELD]
    [POOL_FIELD]
    [ROUTE_FIELD]
}

table! {
    IDENTITY: "identity",
    "Who may call, and how they prove it: by a signed token (PASETO v4.public), in `AUTH TOKEN` or a request's option `auth`.";
    ["audience": Kind::Name, required, "What tokens must be for.", "\"bangna\""]
    ["required": Kind::Flag, without "true",
        "Whether requests without a proof are turned away.", "true"]
    ["skew": Kind::Time, without "30s", "By how much clocks may differ.", "\"30s\""]
    ["longest": Kind::Time, without "24h", "The longest that a token may hold for.", "\"24h\""]
    ["issuer": Kind::Tables(&ISSUER, 64), required, "Whoever signs tokens.", ""]
    ["tenant": Kind::Tables(&TENANT, 1_000), required, "Those on whose behalf tokens speak.", ""]
}

table! {
    ISSUER: "issuer",
    "Whoever signs tokens.";
    ["name": Kind::Name, required,
        "What tokens say in `iss`, and in `kid` before the slash.", "\"desk\""]
    ["key": Kind::Tables(&ISSUER_KEY, 16), required,
        "Its keys. A new one is listed before it is used, and the old one ended after that.", ""]
}

table! {
    ISSUER_KEY: "key",
    "A key that signs tokens.";
    ["name": Kind::Name, required, "What tokens say in `kid` behind the slash.", "\"2026-12\""]
    ["public": Kind::PublicKey, required,
        "Its public half: Ed25519, 64 hex digits.",
        "\"d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a\""]
    ["from": Kind::Moment, without "always",
        "Tokens signed with it are taken from then on.", "\"2026-12-01T00:00:00Z\""]
    ["until": Kind::Moment, without "for as long as it is listed",
        "And until then.", "\"2027-01-01T00:00:00Z\""]
}

table! {
    TENANT: "tenant",
    "Somebody on whose behalf tokens speak.";
    ["name": Kind::Name, required, "What tokens say in `sub`.", "\"broker\""]
    ["accounts": Kind::Accounts, required,
        "The accounts that it may name.", "[\"00000000000004d2\"]"]
    ["classes": Kind::Names, without "all that may be sent",
        "The classes that it may send.", "[\"quote\"]"]
}

table! {
    SIDECAR_LIMITS: "limits of a sidecar",
    "What each sidecar may take of its machine.";
    ["memory": Kind::Size, without "48MiB", "Memory.", "\"48MiB\""]
    ["descriptors": Kind::Integer(1, 1_048_576), without "256",
        "File descriptors: two for each open request, and some more.", "256"]
    ["cores": Kind::Number(0.05, 1.0), without "1",
        "Part of a core; one thread uses no more than one.", "1"]
}

table! {
    SIDECAR: "sidecar",
    "A sidecar: a program beside the application.";
    ["name": Kind::Name, required, "Its name.", "\"desk-1\""]
    ["listen": Kind::Listener, required,
        "Where the application finds it: the loopback, or a socket's path.", "\"127.0.0.1:7600\""]
    ["mode": Kind::Mode, without "0600", "The mode of the socket's file.", "\"0660\""]
    ["users": Kind::Integers(0, u32::MAX as u64), without "whoever the mode lets in",
        "The users, by their numbers, that may connect to the socket.", "[1000]"]
    ["hall": Kind::Name, without "the site's first hall",
        "The hall that it stands in.", "\"hall-a\""]
    ["discovery": Kind::Address, required,
        "Where it asks for the list of nodes.", "\"127.0.0.1:8500\""]
    ["peers": Kind::Address, without "must be given where there are several sidecars",
        "Where it takes messages from the other sidecars.", "\"127.0.0.1:7946\""]
    ["control": Kind::Path, without "changes take a restart",
        "The socket on which `wrenctl plan` and `apply` find it; its owner's alone.", "\"/run/desk/desk-1.control\""]
    ["state": Kind::Path, without "what was applied is forgotten with a restart",
        "The folder where it keeps what it enforces and has promised.", "\"/var/lib/desk/desk-1\""]
    ["links": Kind::Path, without "the others' control sockets as they stand here",
        "The folder in which it finds the other members' control sockets under their names: where members are on several machines, the operator forwards them there.",
        "\"/run/desk/links\""]
}

table! {
    ROSTER: "roster",
    "That the sidecars are a group. Each needs `control` and `state`. It is formed once by all of them together; later changes of it are made by `wrenctl roster`.";
    ["lease": Kind::Time, without "1500ms",
        "For how long a sidecar may serve on the word of a majority. A change that finds one missing waits for as long; one that is cut off serves for as long, then turns requests away.",
        "\"1500ms\""]
    ["alone": Kind::Choice(&["refuse", "as-known"]), without "refuse",
        "What a sidecar does that too few others answer: turn requests away, or serve on with what it has, which a change may have left behind.",
        "\"refuse\""]
    ["voters": Kind::Names, without "all sidecars and witnesses",
        "Those that decide. Five or seven are enough for any size: each renewal asks a majority of them.",
        "[\"desk-1\", \"desk-2\", \"w-1\"]"]
}

table! {
    PROGRAM: "program",
    "The program that the group's sidecars run. It changes in stages (`wrenctl rollout`); each machine's keeper of the process knows the file by its digest.";
    ["name": Kind::Name, required, "What people call this version.", "\"r-12\""]
    ["sha256": Kind::Digest, required,
        "The digest of the program's file, as `sha256sum` prints it.",
        "\"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\""]
}

table! {
    WITNESS: "witness",
    "A member of the group that keeps promises and serves nobody, so that two sidecars survive the loss of either.";
    ["name": Kind::Name, required, "What the group calls it.", "\"w-1\""]
    ["control": Kind::Path, required, "Its control socket.", "\"/run/desk/w-1.control\""]
    ["state": Kind::Path, required,
        "The folder where it keeps its promises.", "\"/var/lib/desk/w-1\""]
    ["links": Kind::Path, without "the others' control sockets as they stand here",
        "The folder in which it finds the other members' control sockets under their names.", "\"/run/desk/links\""]
}

table! {
    ACCOUNT: "account",
    "An account of the application.";
    ["id": Kind::Account, required, "Its number, as clients send it.", "\"00000000000004d2\""]
    ["plan": Kind::Name, required, "Its plan.", "\"business\""]
    ["quota": Kind::Rate, without "the plan's", "A quota of its own.", "\"6/s\""]
    ["burst": Kind::Number(0.001, MAX_UNITS), without "the plan's", "A burst of its own.", "12"]
}

table! {
    POOL: "pool",
    "A pool of nodes. Lists of one kind are alternatives, lists of different kinds must all match.";
    ["name": Kind::Name, required, "What routes call it.", "\"fast\""]
    ["halls": Kind::Names, without "any hall", "The halls of its nodes.", "[\"hall-a\"]"]
    ["models": Kind::Names, without "any model", "The models of its nodes.", "[\"std-3c\"]"]
    ["groups": Kind::Integers(0, 65_535), without "any group", "The groups of its nodes.", "[1, 2]"]
    ["nodes": Kind::Names, without "any name", "Its nodes by name.", "[\"s-0001\"]"]
    ["fallback": Kind::Name, without "requests wait or are refused",
        "The pool to go to where no node of this one takes work.", "\"any\""]
}

table! {
    ROUTE: "route",
    "Where a class goes.";
    ["class": Kind::Name, required, "The class.", "\"quote\""]
    ["pool": Kind::Name, required, "The pool that it goes to.", "\"fast\""]
    ["trial": Kind::Name, without "no trial", "A pool that some customers go to first.", "\"new\""]
    ["share": Kind::Number(0.0, 1.0), without "must be given with a trial",
        "The share of customers on trial.", "0.05"]
}

table! {
    /// Top-level table of a fleet snapshot.
    pub FLEET: "fleet",
    "The nodes as they were at a moment. A file that begins with a brace is read as discovery's list instead.";
    [VERSION_FIELD]
    ["kind": Kind::Choice(&["fleet"]), required, "What this file is.", "\"fleet\""]
    ["index": Kind::Integer(0, u64::MAX >> 1), without "0", "Discovery's number of this list.", "41"]
    ["node": Kind::Tables(&NODE, 100_000), required, "The nodes.", ""]
}

table! {
    /// Top-level table of an operator's file.
    pub INGRESS: "ingress",
    "What an operator adds to an ingress that the platform's own file describes (`--operator FILE`). Classes and halls are that file's.";
    [VERSION_FIELD]
    ["kind": Kind::Choice(&["ingress"]), required, "What this file is.", "\"ingress\""]
    ["control": Kind::Path, without "changes take a restart",
        "The socket on which `wrenctl` finds it; its owner's alone.", "\"/run/wrenfork.control\""]
    ["state": Kind::Path, without "what was applied is forgotten with a restart",
        "The folder where it keeps what it enforces and has promised.", "\"/var/lib/wrenfork\""]
    ["status": Kind::Path, without "a reload's end is told in the log alone",
        "The file that says what became of the last reload.", "\"/run/wrenfork.status\""]
    [NEAR_FIELD]
    [IDENTITY_FIELD]
    [POOL_FIELD]
    [ROUTE_FIELD]
}

table! {
    NODE: "node",
    "A node.";
    ["name": Kind::Name, required, "Its name.", "\"s-0001\""]
    ["address": Kind::NodeAddress, required,
        "Where it listens: an address, or a socket's path.", "\"127.0.0.1:9001\""]
    ["addresses": Kind::NodeAddresses, without "its only one",
        "Where else it listens, over IPv4, IPv6 and sockets; all lead to the same node.",
        "[\"unix:/run/node/s-0001\", \"[::1]:9001\"]"]
    ["hall": Kind::Name, required, "The hall that it stands in.", "\"hall-a\""]
    ["model": Kind::Name, required, "The kind of its machine.", "\"std-3c\""]
    ["group": Kind::Integer(0, 65_535), required,
        "The group of nodes that know each other's keys.", "1"]
    ["status": Kind::Choice(&["up", "draining", "removed"]), required, "Its state.", "\"up\""]
    ["weight": Kind::Number(0.0, 1e6), without "1", "Its capacity beside others.", "3"]
    ["since-ms": Kind::Integer(0, u64::MAX >> 1), without "0",
        "When it started, in milliseconds of Unix time; 0 for long ago.", "0"]
}
