//! Files that are read and checked together.

use crate::check::{self, In};
use crate::codes::{Code, Severity};
use crate::diagnostic::{sort, Diagnostic, Place};
use crate::form::FileKind;
use crate::model::{Application, Fleet, Ingress, Site};
use crate::reader;
use crate::source::Source;
use std::path::Path;

/// What a file says.
#[derive(Clone, Debug)]
pub enum Content {
    /// A site.
    Site(Site),
    /// An application.
    Application(Application),
    /// A fleet snapshot.
    Fleet(Fleet),
    /// What an operator adds to an ingress.
    Ingress(Ingress),
    /// Nothing that others could be checked against.
    Broken,
}

/// Files, and what is wrong with them.
#[derive(Clone, Debug, Default)]
pub struct Set {
    /// The files, in the order in which they were given.
    pub sources: Vec<Source>,
    /// What they say.
    pub contents: Vec<Content>,
    /// What is wrong, in the order of the files and of the places in them.
    pub found: Vec<Diagnostic>,
}

impl Set {
    /// Reads files and checks them, alone and together.
    pub fn read<P: AsRef<Path>>(paths: impl IntoIterator<Item = P>) -> Set {
        let mut set = Set::default();
        for (file, path) in paths.into_iter().enumerate() {
            match Source::read(path.as_ref(), file) {
                Ok(source) => set.add(source),
                Err(wrong) => set.add_unread(path.as_ref().display().to_string(), wrong),
            }
        }
        set.check();
        set
    }

    /// Checks texts, alone and together.
    pub fn from_sources(sources: impl IntoIterator<Item = Source>) -> Set {
        let mut set = Set::default();
        sources.into_iter().for_each(|source| set.add(source));
        set.check();
        set
    }

    fn add_unread(&mut self, name: String, wrong: Diagnostic) {
        self.sources.push(Source::new(name, ""));
        self.contents.push(Content::Broken);
        self.found.push(wrong);
    }

    fn add(&mut self, source: Source) {
        let file = self.sources.len();
        let content = if source.text.trim_start().starts_with('{') {
            self.discovered(&source, file)
        } else {
            self.written(&source, file)
        };
        self.contents.push(content);
        self.sources.push(source);
    }

    /// A list as discovery gives it.
    fn discovered(&mut self, source: &Source, file: usize) -> Content {
        match Fleet::from_discovery(&source.text) {
            Ok(fleet) => Content::Fleet(fleet),
            Err(why) => {
                self.found.push(Diagnostic::new(
                    Code::BadJson,
                    Place { file, span: 0..0 },
                    why,
                ));
                Content::Broken
            }
        }
    }

    fn written(&mut self, source: &Source, file: usize) -> Content {
        let before = self.found.len();
        let document = reader::read(&source.text, file, &mut self.found);
        let cut = self.found[before..].iter().any(|d| d.code == Code::Syntax);
        match document.filter(|_| !cut) {
            None => Content::Broken,
            Some(d) => match d.kind {
                FileKind::Site => Content::Site(Site::new(&d.fields)),
                FileKind::Application => Content::Application(Application::new(&d.fields)),
                FileKind::Fleet => Content::Fleet(Fleet::new(&d.fields)),
                FileKind::Ingress => Content::Ingress(Ingress::new(&d.fields)),
            },
        }
    }

    /// The site, if there is one.
    pub fn site(&self) -> Option<In<'_, Site>> {
        self.contents
            .iter()
            .enumerate()
            .find_map(|(file, c)| match c {
                Content::Site(content) => Some(In { file, content }),
                _ => None,
            })
    }

    /// The fleet snapshot, if there is one.
    pub fn fleet(&self) -> Option<In<'_, Fleet>> {
        self.contents
            .iter()
            .enumerate()
            .find_map(|(file, c)| match c {
                Content::Fleet(content) => Some(In { file, content }),
                _ => None,
            })
    }

    /// What an operator adds to ingresses.
    pub fn ingresses(&self) -> Vec<In<'_, Ingress>> {
        let all = self
            .contents
            .iter()
            .enumerate()
            .filter_map(|(file, c)| match c {
                Content::Ingress(content) => Some(In { file, content }),
                _ => None,
            });
        all.collect()
    }

    /// The applications.
    pub fn applications(&self) -> Vec<In<'_, Application>> {
        let apps = self
            .contents
            .iter()
            .enumerate()
            .filter_map(|(file, c)| match c {
                Content::Application(content) => Some(In { file, content }),
                _ => None,
            });
        apps.collect()
    }

    fn check(&mut self) {
        let mut found = std::mem::take(&mut self.found);
        let (site, fleet, apps) = (self.site(), self.fleet(), self.applications());
        let broken = self.contents.iter().any(|c| matches!(c, Content::Broken));
        self.second_files(&mut found);
        if let Some(site) = &site {
            check::site(site, &mut found);
        }
        if let Some(fleet) = &fleet {
            check::fleet(fleet, &mut found);
        }
        for app in &apps {
            match &site {
                Some(site) => {
                    check::application(app, site, &mut found);
                    if let Some(fleet) = &fleet {
                        check::nodes(app, site, fleet, &mut found);
                    }
                }
                None if broken => {} // the site may be what could not be read
                None => found.push(without_site(app)),
            }
        }
        for ingress in self.ingresses() {
            check::ingress(&ingress, None, &mut found);
        }
        check::together(&apps, site.as_ref(), &mut found);
        sort(&mut found);
        self.found = found;
    }

    /// Sites and fleet snapshots beside the first one.
    fn second_files(&self, found: &mut Vec<Diagnostic>) {
        let second = |kind: fn(&Content) -> bool| {
            let files = self.contents.iter().enumerate();
            let files = files.filter(move |(_, c)| kind(c)).map(|(n, _)| n);
            files.skip(1)
        };
        let sites = second(|c| matches!(c, Content::Site(_))).map(|file| (file, "site"));
        let fleets =
            second(|c| matches!(c, Content::Fleet(_))).map(|file| (file, "fleet snapshot"));
        for (file, what) in sites.chain(fleets) {
            let place = Place { file, span: 0..0 };
            let message = format!("a second {what} is given");
            found.push(Diagnostic::new(Code::SiteTwice, place, message));
        }
    }

    /// Whether any file is refused.
    pub fn refused(&self) -> bool {
        self.found.iter().any(Diagnostic::refused)
    }

    /// Whether any file could not be read.
    pub fn unreadable(&self) -> bool {
        self.found
            .iter()
            .any(|d| d.code.severity() == Severity::Unreadable)
    }
}

/// An application whose site is not among the files.
fn without_site(app: &In<Application>) -> Diagnostic {
    let site = app.content.site.as_ref();
    let place = Place {
        file: app.file,
        span: site.map_or(0..0, |s| s.span.clone()),
    };
    let name = site.map_or("?", |s| &s.value);
    let message = format!("site \"{name}\" is not among the files given");
    Diagnostic::new(Code::NoSite, place, message).help("give the site's file as well")
}
