//! The language of the three kinds of files: each table with its keys, what may stand there, and what it is for. The
//! reader, the JSON Schema, the operators' reference and the templates are all made from these tables.

/// The version of the form that this program writes and reads.
pub const VERSION: u64 = 1;

/// What may stand at a key.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Any text.
    Text,
    /// A name that others refer to.
    Name,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// True or false.
    Flag,
    /// A whole number from one to another.
    Whole(u64, u64),
    /// A number from one to another.
    Number(f64, f64),
    /// A rate in units a second, such as `"6/s"`.
    Rate,
    /// A span of time in microseconds, such as `"250ms"`.
    Time,
    /// Bytes of memory, such as `"48MiB"`.
    Size,
    /// `IP:PORT`.
    Address,
    /// `IP:PORT`, or `unix:` and a path: where a node is.
    NodeAddress,
    /// A list of these, not empty.
    NodeAddresses,
    /// `IP:PORT` on the loopback, or `unix:` and a path.
    Listener,
    /// An absolute path, short enough for a socket.
    Path,
    /// 16 hex digits.
    Account,
    /// A list of accounts, not empty.
    Accounts,
    /// An Ed25519 public key, 64 hex digits.
    PublicKey,
    /// The SHA-256 of a file, 64 hex digits.
    Digest,
    /// A moment, as RFC 3339 in UTC.
    Moment,
    /// Octal digits of a file's mode, such as `"0660"`.
    Mode,
    /// A list of names, not empty.
    Names,
    /// A list of whole numbers, not empty.
    Wholes(u64, u64),
    /// A table of its own.
    Table(&'static Table),
    /// Any number of tables, up to the most.
    Tables(&'static Table, usize),
}

/// Whether a key must be given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// It must.
    Must,
    /// Without it, this holds; shown to people, in words.
    May(&'static str),
}

/// A key.
#[derive(Debug)]
pub struct Field {
    /// Its name.
    pub key: &'static str,
    /// What may stand there.
    pub kind: Kind,
    /// Whether it must be given.
    pub need: Need,
    /// What it is for.
    pub about: &'static str,
    /// A value, as it is written.
    pub example: &'static str,
}

/// A table.
#[derive(Debug)]
pub struct Table {
    /// What it describes, as people say it.
    pub name: &'static str,
    /// What it is for.
    pub about: &'static str,
    /// Its keys, in the order in which they are written.
    pub fields: &'static [Field],
}

impl Table {
    /// A key of it.
    pub fn field(&self, key: &str) -> Option<&'static Field> {
        self.fields.iter().find(|f| f.key == key)
    }
}

const fn must(key: &'static str, kind: Kind, about: &'static str, example: &'static str) -> Field {
    Field {
        key,
        kind,
        need: Need::Must,
        about,
        example,
    }
}

const fn may(
    key: &'static str,
    kind: Kind,
    without: &'static str,
    about: &'static str,
    example: &'static str,
) -> Field {
    Field {
        key,
        kind,
        need: Need::May(without),
        about,
        example,
    }
}

/// The kinds of files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileKind {
    /// The classes, plans, ceilings, halls and limits of a site.
    Site,
    /// An application: its accounts, routes and sidecars.
    Application,
    /// The nodes of a fleet, as they were at a moment.
    Fleet,
    /// What an operator adds to an ingress that the platform's own file describes.
    Ingress,
}

impl FileKind {
    /// All of them.
    pub const ALL: [FileKind; 4] = [
        FileKind::Site,
        FileKind::Application,
        FileKind::Fleet,
        FileKind::Ingress,
    ];

    /// The word that stands at `kind`.
    pub fn word(self) -> &'static str {
        match self {
            FileKind::Site => "site",
            FileKind::Application => "application",
            FileKind::Fleet => "fleet",
            FileKind::Ingress => "ingress",
        }
    }

    /// The table that such a file is.
    pub fn table(self) -> &'static Table {
        match self {
            FileKind::Site => &SITE,
            FileKind::Application => &APPLICATION,
            FileKind::Fleet => &FLEET,
            FileKind::Ingress => &INGRESS,
        }
    }
}

const VERSION_FIELD: Field = must(
    "version",
    Kind::Whole(VERSION, VERSION),
    "The version of this form.",
    "1",
);
const MOST_UNITS: f64 = 1e9;

/// A site.
pub static SITE: Table = Table {
    name: "site",
    about: "What all applications of a site share. It is kept by those who run the site.",
    fields: &[
        VERSION_FIELD,
        must(
            "kind",
            Kind::Choice(&["site"]),
            "What this file is.",
            "\"site\"",
        ),
        must(
            "name",
            Kind::Name,
            "The site's name; applications say it in `site`.",
            "\"bangna\"",
        ),
        must(
            "halls",
            Kind::Names,
            "The halls that nodes and sidecars stand in.",
            "[\"hall-a\", \"hall-b\"]",
        ),
        may(
            "near",
            Kind::Tables(&NEAR, 250),
            "requests without a route go to any hall alike",
            "For a hall, the others in order of nearness.",
            "",
        ),
        may(
            "per-weight",
            Kind::Rate,
            "pools are not checked for having enough nodes",
            "What a node of weight 1 serves.",
            "\"12/s\"",
        ),
        may(
            "limits",
            Kind::Table(&SITE_LIMITS),
            "the defaults of its keys",
            "What an ingress may do.",
            "",
        ),
        may(
            "rules",
            Kind::Table(&RULES),
            "the defaults of its keys",
            "The figures of the platform's rules.",
            "",
        ),
        must(
            "class",
            Kind::Tables(&CLASS, 250),
            "The classes of requests.",
            "",
        ),
        must(
            "plan",
            Kind::Tables(&PLAN, 1_000),
            "The plans that accounts are on.",
            "",
        ),
        may(
            "ceiling",
            Kind::Tables(&CEILING, 1_000),
            "no ceiling over applications",
            "What all accounts of a plan may be promised together, over all applications.",
            "",
        ),
    ],
};

static NEAR: Table = Table {
    name: "order of nearness",
    about: "Where requests from a hall go that have no route: to its own nodes, then to those of the others, as far as room goes.",
    fields: &[
        must("hall", Kind::Name, "The hall that requests come from.", "\"hall-a\""),
        must(
            "others",
            Kind::Names,
            "The other halls, the nearest first; those not named come last, together.",
            "[\"hall-b\"]",
        ),
    ],
};

static SITE_LIMITS: Table = Table {
    name: "limits of a site",
    about: "What an ingress may do.",
    fields: &[
        may(
            "attempts",
            Kind::Whole(1, 16),
            "3",
            "Attempts for one request.",
            "3",
        ),
        may(
            "second-copies",
            Kind::Flag,
            "true",
            "Whether two attempts of one request may be out together.",
            "true",
        ),
        may(
            "cancel",
            Kind::Flag,
            "true",
            "Whether attempts may be called off.",
            "true",
        ),
        may(
            "probes",
            Kind::Flag,
            "false",
            "Whether nodes may be probed.",
            "false",
        ),
        may(
            "open",
            Kind::Whole(1, 1_000_000),
            "20000",
            "Requests open at once.",
            "20000",
        ),
        may(
            "retry-after",
            Kind::Time,
            "clients are told no pause",
            "The longest pause that a client is told to keep.",
            "\"2s\"",
        ),
        may(
            "connect",
            Kind::Time,
            "250ms",
            "How long a node may take to accept a connection.",
            "\"250ms\"",
        ),
        may(
            "keepalive",
            Kind::Time,
            "15s",
            "How long a node keeps an idle connection.",
            "\"15s\"",
        ),
        may(
            "tick",
            Kind::Time,
            "4ms",
            "The least time between two looks at the clock.",
            "\"4ms\"",
        ),
        may(
            "messages",
            Kind::Number(0.0, 1e6),
            "40",
            "Messages that an ingress takes from its peers in a second.",
            "40",
        ),
    ],
};

static RULES: Table = Table {
    name: "rules",
    about: "The figures of the platform's rules.",
    fields: &[
        may(
            "answer-slack",
            Kind::Time,
            "16ms",
            "How long after the deadline a final answer still counts.",
            "\"16ms\"",
        ),
        may(
            "drain-grace",
            Kind::Time,
            "1s",
            "How long new work at a draining node may still go on.",
            "\"1s\"",
        ),
        may(
            "cold-from",
            Kind::Number(0.01, 1.0),
            "0.28",
            "The share of its speed with which a node starts.",
            "0.28",
        ),
        may(
            "cold",
            Kind::Time,
            "16s",
            "How long a node takes to be warm.",
            "\"16s\"",
        ),
        may(
            "cold-factor",
            Kind::Number(1.0, 100.0),
            "4",
            "The multiple of its speed that pushes a cold node over.",
            "4",
        ),
        may(
            "cold-push",
            Kind::Time,
            "1s",
            "How long it must last to do so.",
            "\"1s\"",
        ),
    ],
};

static CLASS: Table = Table {
    name: "class",
    about: "A class of requests.",
    fields: &[
        must("name", Kind::Name, "What clients call it.", "\"quote\""),
        must(
            "effect",
            Kind::Choice(&["safe", "keyed", "unsafe"]),
            "Whether a request that may have run may run again: always, while its key is known, or never.",
            "\"safe\"",
        ),
        may(
            "group",
            Kind::Choice(&["all", "hall", "group"]),
            "must be given for keyed classes",
            "Which nodes drop repeats of a keyed request: all, those of the hall, or those of the group.",
            "\"group\"",
        ),
        may("window", Kind::Time, "must be given for keyed classes", "How long a key is known.", "\"3s\""),
        must("wanted", Kind::Time, "An answer within this time earns the full worth.", "\"400ms\""),
        must("deadline", Kind::Time, "The longest that a client waits, over all its tries.", "\"1s\""),
        must("worth", Kind::Number(0.0, MOST_UNITS), "What an answer is worth.", "2"),
        may(
            "units",
            Kind::Number(0.001, MOST_UNITS),
            "1",
            "The most units of a quota that one request takes.",
            "1",
        ),
    ],
};

static PLAN: Table = Table {
    name: "plan",
    about: "A plan. Each account on it has a quota of its own.",
    fields: &[
        must(
            "name",
            Kind::Name,
            "What accounts and clients call it.",
            "\"business\"",
        ),
        must(
            "quota",
            Kind::Rate,
            "What each account on it may use, over all ingresses together.",
            "\"8/s\"",
        ),
        must(
            "burst",
            Kind::Number(0.001, MOST_UNITS),
            "Units that an account may use at once after a rest.",
            "16",
        ),
        may(
            "never-over",
            Kind::Rate,
            "no hard limit",
            "What an account never exceeds, whatever happens.",
            "\"16/s\"",
        ),
        may(
            "never-over-burst",
            Kind::Number(0.001, MOST_UNITS),
            "twice the burst",
            "Units that the hard limit lets through at once.",
            "32",
        ),
        may(
            "price",
            Kind::Number(0.0, MOST_UNITS),
            "1",
            "Factor on what its answers are worth.",
            "1.1",
        ),
        may(
            "beyond-costs",
            Kind::Number(0.0, 1.0),
            "0",
            "Share of the worth that is lost by serving beyond the quota.",
            "0.5",
        ),
    ],
};

static CEILING: Table = Table {
    name: "ceiling",
    about: "What all accounts of a plan may be promised together.",
    fields: &[
        must("plan", Kind::Name, "The plan.", "\"business\""),
        must(
            "rate",
            Kind::Rate,
            "The most that the quotas of its accounts may come to, over all applications.",
            "\"400/s\"",
        ),
    ],
};

/// An application.
pub static APPLICATION: Table = Table {
    name: "application",
    about: "An application: what it may send and where that goes, its accounts, and its sidecars.",
    fields: &[
        VERSION_FIELD,
        must("kind", Kind::Choice(&["application"]), "What this file is.", "\"application\""),
        must("name", Kind::Name, "The application's name.", "\"bangna-desk\""),
        must("site", Kind::Name, "The site that it is for.", "\"bangna\""),
        must("sends", Kind::Names, "The classes that it may send.", "[\"quote\"]"),
        may(
            "limits",
            Kind::Table(&SIDECAR_LIMITS),
            "the defaults of its keys",
            "What each sidecar may take.",
            "",
        ),
        must("sidecar", Kind::Tables(&SIDECAR, 256), "Its sidecars.", ""),
        may(
            "roster",
            Kind::Table(&ROSTER),
            "each change needs every sidecar",
            "That the sidecars are a group: a majority decides a change, and serves under it.",
            "",
        ),
        may(
            "program",
            Kind::Table(&PROGRAM),
            "whichever is started",
            "The program that the group's sidecars run, where `wrenctl tend` keeps their processes.",
            "",
        ),
        may(
            "witness",
            Kind::Tables(&WITNESS, 16),
            "the sidecars alone decide",
            "Members of the group that keep promises and serve nobody (`wrenctl witness`).",
            "",
        ),
        must(
            "account",
            Kind::Tables(&ACCOUNT, 200_000),
            "Its accounts. A request for another one is turned away, whatever it claims.",
            "",
        ),
        may(
            "identity",
            Kind::Table(&IDENTITY),
            "nobody is asked who they are",
            "Who may call, and how they prove it.",
            "",
        ),
        may("pool", Kind::Tables(&POOL, 64), "requests go to any node", "Pools of nodes.", ""),
        may("route", Kind::Tables(&ROUTE, 250), "requests go to any node", "Where classes go.", ""),
    ],
};

static IDENTITY: Table = Table {
    name: "identity",
    about: "Who may call, and how they prove it: by a signed token (PASETO v4.public), in `AUTH TOKEN` or a request's option `auth`.",
    fields: &[
        must("audience", Kind::Name, "What tokens must be for.", "\"bangna\""),
        may("required", Kind::Flag, "true", "Whether requests without a proof are turned away.", "true"),
        may("skew", Kind::Time, "30s", "By how much clocks may differ.", "\"30s\""),
        may("longest", Kind::Time, "24h", "The longest that a token may hold for.", "\"24h\""),
        must("issuer", Kind::Tables(&ISSUER, 64), "Whoever signs tokens.", ""),
        must("tenant", Kind::Tables(&TENANT, 1_000), "Those on whose behalf tokens speak.", ""),
    ],
};

static ISSUER: Table = Table {
    name: "issuer",
    about: "Whoever signs tokens.",
    fields: &[
        must(
            "name",
            Kind::Name,
            "What tokens say in `iss`, and in `kid` before the slash.",
            "\"desk\"",
        ),
        must(
            "key",
            Kind::Tables(&ISSUER_KEY, 16),
            "Its keys. A new one is listed before it is used, and the old one ended after that.",
            "",
        ),
    ],
};

static ISSUER_KEY: Table = Table {
    name: "key",
    about: "A key that signs tokens.",
    fields: &[
        must(
            "name",
            Kind::Name,
            "What tokens say in `kid` behind the slash.",
            "\"2026-12\"",
        ),
        must(
            "public",
            Kind::PublicKey,
            "Its public half: Ed25519, 64 hex digits.",
            "\"d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a\"",
        ),
        may(
            "from",
            Kind::Moment,
            "always",
            "Tokens signed with it are taken from then on.",
            "\"2026-12-01T00:00:00Z\"",
        ),
        may(
            "until",
            Kind::Moment,
            "for as long as it is listed",
            "And until then.",
            "\"2027-01-01T00:00:00Z\"",
        ),
    ],
};

static TENANT: Table = Table {
    name: "tenant",
    about: "Somebody on whose behalf tokens speak.",
    fields: &[
        must(
            "name",
            Kind::Name,
            "What tokens say in `sub`.",
            "\"broker\"",
        ),
        must(
            "accounts",
            Kind::Accounts,
            "The accounts that it may name.",
            "[\"00000000000004d2\"]",
        ),
        may(
            "classes",
            Kind::Names,
            "all that may be sent",
            "The classes that it may send.",
            "[\"quote\"]",
        ),
    ],
};

static SIDECAR_LIMITS: Table = Table {
    name: "limits of a sidecar",
    about: "What each sidecar may take of its machine.",
    fields: &[
        may("memory", Kind::Size, "48MiB", "Memory.", "\"48MiB\""),
        may(
            "descriptors",
            Kind::Whole(1, 1_048_576),
            "256",
            "File descriptors: two for each open request, and some more.",
            "256",
        ),
        may(
            "cores",
            Kind::Number(0.05, 1.0),
            "1",
            "Part of a core; one thread uses no more than one.",
            "1",
        ),
    ],
};

static SIDECAR: Table = Table {
    name: "sidecar",
    about: "A sidecar: a program beside the application.",
    fields: &[
        must("name", Kind::Name, "Its name.", "\"desk-1\""),
        must(
            "listen",
            Kind::Listener,
            "Where the application finds it: the loopback, or a socket's path.",
            "\"127.0.0.1:7600\"",
        ),
        may("mode", Kind::Mode, "0600", "The mode of the socket's file.", "\"0660\""),
        may(
            "users",
            Kind::Wholes(0, u32::MAX as u64),
            "whoever the mode lets in",
            "The users, by their numbers, that may connect to the socket.",
            "[1000]",
        ),
        may("hall", Kind::Name, "the site's first hall", "The hall that it stands in.", "\"hall-a\""),
        must("discovery", Kind::Address, "Where it asks for the list of nodes.", "\"127.0.0.1:8500\""),
        may(
            "peers",
            Kind::Address,
            "must be given where there are several sidecars",
            "Where it takes messages from the other sidecars.",
            "\"127.0.0.1:7946\"",
        ),
        may(
            "control",
            Kind::Path,
            "changes take a restart",
            "The socket on which `wrenctl plan` and `apply` find it; its owner's alone.",
            "\"/run/desk/desk-1.control\"",
        ),
        may(
            "state",
            Kind::Path,
            "what was applied is forgotten with a restart",
            "The folder where it keeps what it enforces and has promised.",
            "\"/var/lib/desk/desk-1\"",
        ),
        may(
            "links",
            Kind::Path,
            "the others' control sockets as they stand here",
            "The folder in which it finds the other members' control sockets under their names: where members are on several machines, the operator forwards them there.",
            "\"/run/desk/links\"",
        ),
    ],
};

static ROSTER: Table = Table {
    name: "roster",
    about: "That the sidecars are a group. Each needs `control` and `state`. It is formed once by all of them together; later changes of it are made by `wrenctl roster`.",
    fields: &[
        may(
            "lease",
            Kind::Time,
            "1500ms",
            "For how long a sidecar may serve on the word of a majority. A change that finds one missing waits for as long; one that is cut off serves for as long, then turns requests away.",
            "\"1500ms\"",
        ),
        may(
            "alone",
            Kind::Choice(&["refuse", "as-known"]),
            "refuse",
            "What a sidecar does that too few others answer: turn requests away, or serve on with what it has, which a change may have left behind.",
            "\"refuse\"",
        ),
        may(
            "voters",
            Kind::Names,
            "all sidecars and witnesses",
            "Those that decide. Five or seven are enough for any size: each renewal asks a majority of them.",
            "[\"desk-1\", \"desk-2\", \"w-1\"]",
        ),
    ],
};

static PROGRAM: Table = Table {
    name: "program",
    about: "The program that the group's sidecars run. It changes in stages (`wrenctl rollout`); each machine's keeper of the process knows the file by its digest.",
    fields: &[
        must("name", Kind::Name, "What people call this version.", "\"r-12\""),
        must("sha256", Kind::Digest, "The digest of the program's file, as `sha256sum` prints it.",
            "\"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\""),
    ],
};

static WITNESS: Table = Table {
    name: "witness",
    about: "A member of the group that keeps promises and serves nobody, so that two sidecars survive the loss of either.",
    fields: &[
        must("name", Kind::Name, "What the group calls it.", "\"w-1\""),
        must("control", Kind::Path, "Its control socket.", "\"/run/desk/w-1.control\""),
        must("state", Kind::Path, "The folder where it keeps its promises.", "\"/var/lib/desk/w-1\""),
        may(
            "links",
            Kind::Path,
            "the others' control sockets as they stand here",
            "The folder in which it finds the other members' control sockets under their names.",
            "\"/run/desk/links\"",
        ),
    ],
};

static ACCOUNT: Table = Table {
    name: "account",
    about: "An account of the application.",
    fields: &[
        must(
            "id",
            Kind::Account,
            "Its number, as clients send it.",
            "\"00000000000004d2\"",
        ),
        must("plan", Kind::Name, "Its plan.", "\"business\""),
        may(
            "quota",
            Kind::Rate,
            "the plan's",
            "A quota of its own.",
            "\"6/s\"",
        ),
        may(
            "burst",
            Kind::Number(0.001, MOST_UNITS),
            "the plan's",
            "A burst of its own.",
            "12",
        ),
    ],
};

static POOL: Table = Table {
    name: "pool",
    about: "A pool of nodes. Lists of one kind are alternatives, lists of different kinds must all match.",
    fields: &[
        must("name", Kind::Name, "What routes call it.", "\"fast\""),
        may("halls", Kind::Names, "any hall", "The halls of its nodes.", "[\"hall-a\"]"),
        may("models", Kind::Names, "any model", "The models of its nodes.", "[\"std-3c\"]"),
        may("groups", Kind::Wholes(0, 65_535), "any group", "The groups of its nodes.", "[1, 2]"),
        may("nodes", Kind::Names, "any name", "Its nodes by name.", "[\"s-0001\"]"),
        may(
            "fallback",
            Kind::Name,
            "requests wait or are refused",
            "The pool to go to where no node of this one takes work.",
            "\"any\"",
        ),
    ],
};

static ROUTE: Table = Table {
    name: "route",
    about: "Where a class goes.",
    fields: &[
        must("class", Kind::Name, "The class.", "\"quote\""),
        must("pool", Kind::Name, "The pool that it goes to.", "\"fast\""),
        may(
            "trial",
            Kind::Name,
            "no trial",
            "A pool that some customers go to first.",
            "\"new\"",
        ),
        may(
            "share",
            Kind::Number(0.0, 1.0),
            "must be given with a trial",
            "The share of customers on trial.",
            "0.05",
        ),
    ],
};

/// A fleet snapshot.
pub static FLEET: Table = Table {
    name: "fleet",
    about: "The nodes as they were at a moment. A file that begins with a brace is read as discovery's list instead.",
    fields: &[
        VERSION_FIELD,
        must("kind", Kind::Choice(&["fleet"]), "What this file is.", "\"fleet\""),
        may("index", Kind::Whole(0, u64::MAX >> 1), "0", "Discovery's number of this list.", "41"),
        must("node", Kind::Tables(&NODE, 100_000), "The nodes.", ""),
    ],
};

/// What an operator adds to an ingress.
pub static INGRESS: Table = Table {
    name: "ingress",
    about: "What an operator adds to an ingress that the platform's own file describes (`--operator FILE`). Classes and halls are that file's.",
    fields: &[
        VERSION_FIELD,
        must("kind", Kind::Choice(&["ingress"]), "What this file is.", "\"ingress\""),
        may(
            "control",
            Kind::Path,
            "changes take a restart",
            "The socket on which `wrenctl` finds it; its owner's alone.",
            "\"/run/wrenfork.control\"",
        ),
        may(
            "state",
            Kind::Path,
            "what was applied is forgotten with a restart",
            "The folder where it keeps what it enforces and has promised.",
            "\"/var/lib/wrenfork\"",
        ),
        may(
            "status",
            Kind::Path,
            "a reload's end is told in the log alone",
            "The file that says what became of the last reload.",
            "\"/run/wrenfork.status\"",
        ),
        may(
            "near",
            Kind::Tables(&NEAR, 250),
            "requests without a route go to any hall alike",
            "For a hall, the others in order of nearness.",
            "",
        ),
        may("identity", Kind::Table(&IDENTITY), "nobody is asked who they are", "Who may call, and how they prove it.", ""),
        may("pool", Kind::Tables(&POOL, 64), "requests go to any node", "Pools of nodes.", ""),
        may("route", Kind::Tables(&ROUTE, 250), "requests go to any node", "Where classes go.", ""),
    ],
};

static NODE: Table = Table {
    name: "node",
    about: "A node.",
    fields: &[
        must("name", Kind::Name, "Its name.", "\"s-0001\""),
        must(
            "address",
            Kind::NodeAddress,
            "Where it listens: an address, or a socket's path.",
            "\"127.0.0.1:9001\"",
        ),
        may(
            "addresses",
            Kind::NodeAddresses,
            "its only one",
            "Where else it listens, over IPv4, IPv6 and sockets; all lead to the same node.",
            "[\"unix:/run/node/s-0001\", \"[::1]:9001\"]",
        ),
        must(
            "hall",
            Kind::Name,
            "The hall that it stands in.",
            "\"hall-a\"",
        ),
        must(
            "model",
            Kind::Name,
            "The kind of its machine.",
            "\"std-3c\"",
        ),
        must(
            "group",
            Kind::Whole(0, 65_535),
            "The group of nodes that know each other's keys.",
            "1",
        ),
        must(
            "status",
            Kind::Choice(&["up", "draining", "removed"]),
            "Its state.",
            "\"up\"",
        ),
        may(
            "weight",
            Kind::Number(0.0, 1e6),
            "1",
            "Its capacity beside others.",
            "3",
        ),
        may(
            "since-ms",
            Kind::Whole(0, u64::MAX >> 1),
            "0",
            "When it started, in milliseconds of Unix time; 0 for long ago.",
            "0",
        ),
    ],
};
