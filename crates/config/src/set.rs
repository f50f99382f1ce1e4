//! A set of files that are read and checked together.

use crate::check::{self, InFile};
use crate::codes::{Code, Severity};
use crate::diagnostic::{sort, Diagnostic, Place};
use crate::form::FileKind;
use crate::model::{Application, Fleet, Ingress, Site};
use crate::reader;
use crate::source::Source;
use std::path::Path;

/// Typed content of a file.
#[derive(Clone, Debug)]
pub enum Content {
    /// A site.
    Site(Site),
    /// An application.
    Application(Application),
    /// A fleet snapshot.
    Fleet(Fleet),
    /// An operator's additions to an ingress.
    Ingress(Ingress),
    /// The file could not be parsed, so that other files can't be checked against it.
    Broken,
}

/// Files with the mistakes found in them.
#[derive(Clone, Debug, Default)]
pub struct Set {
    /// Files in the order in which they were given.
    pub sources: Vec<Source>,
    /// Contents of the files, by the index of `sources`.
    pub contents: Vec<Content>,
    /// Mistakes, sorted by file and place.
    pub found: Vec<Diagnostic>,
}

impl Set {
    /// Reads files and checks them alone and together.
    pub fn read<P: AsRef<Path>>(paths: impl IntoIterator<Item = P>) -> Set {
        let mut set = Set::default();
        for (file, path) in paths.into_iter().enumerate() {
            match Source::read(path.as_ref(), file) {
                Ok(source) => set.add(source),
                Err(error) => set.add_unreadable(path.as_ref().display().to_string(), error),
            }
        }
        set.check();
        set
    }

    /// Checks texts alone and together.
    pub fn from_sources(sources: impl IntoIterator<Item = Source>) -> Set {
        let mut set = Set::default();
        sources.into_iter().for_each(|source| set.add(source));
        set.check();
        set
    }

    fn add_unreadable(&mut self, name: String, error: Diagnostic) {
        self.sources.push(Source::new(name, ""));
        self.contents.push(Content::Broken);
        self.found.push(error);
    }

    fn add(&mut self, source: Source) {
        let file = self.sources.len();
        let content = if source.text.trim_start().starts_with('{') {
            self.parse_discovery_list(&source, file)
        } else {
            self.parse_toml(&source, file)
        };
        self.contents.push(content);
        self.sources.push(source);
    }

    /// Parses a JSON list from discovery.
    fn parse_discovery_list(&mut self, source: &Source, file: usize) -> Content {
        match Fleet::from_discovery(&source.text) {
            Ok(fleet) => Content::Fleet(fleet),
            Err(error) => {
                self.found.push(Diagnostic::new(
                    Code::BadJson,
                    Place { file, span: 0..0 },
                    error,
                ));
                Content::Broken
            }
        }
    }

    fn parse_toml(&mut self, source: &Source, file: usize) -> Content {
        let before = self.found.len();
        let document = reader::read(&source.text, file, &mut self.found);
        let has_syntax_error = self.found[before..].iter().any(|d| d.code == Code::Syntax);
        match document.filter(|_| !has_syntax_error) {
            None => Content::Broken,
            Some(d) => match d.kind {
                FileKind::Site => Content::Site(Site::new(&d.fields)),
                FileKind::Application => Content::Application(Application::new(&d.fields)),
                FileKind::Fleet => Content::Fleet(Fleet::new(&d.fields)),
                FileKind::Ingress => Content::Ingress(Ingress::new(&d.fields)),
            },
        }
    }

    /// The first site, if there is one.
    pub fn site(&self) -> Option<InFile<'_, Site>> {
        self.contents
            .iter()
            .enumerate()
            .find_map(|(file, c)| match c {
                Content::Site(content) => Some(InFile { file, content }),
                _ => None,
            })
    }

    /// The first fleet snapshot, if there is one.
    pub fn fleet(&self) -> Option<InFile<'_, Fleet>> {
        self.contents
            .iter()
            .enumerate()
            .find_map(|(file, c)| match c {
                Content::Fleet(content) => Some(InFile { file, content }),
                _ => None,
            })
    }

    /// Returns the content and index of each ingress file.
    pub fn ingresses(&self) -> Vec<InFile<'_, Ingress>> {
        let all = self
            .contents
            .iter()
            .enumerate()
            .filter_map(|(file, c)| match c {
                Content::Ingress(content) => Some(InFile { file, content }),
                _ => None,
            });
        all.collect()
    }

    /// Returns the content and index of each application file.
    pub fn applications(&self) -> Vec<InFile<'_, Application>> {
        let apps = self
            .contents
            .iter()
            .enumerate()
            .filter_map(|(file, c)| match c {
                Content::Application(content) => Some(InFile { file, content }),
                _ => None,
            });
        apps.collect()
    }

    fn check(&mut self) {
        let mut found = std::mem::take(&mut self.found);
        let (site, fleet, apps) = (self.site(), self.fleet(), self.applications());
        let broken = self.contents.iter().any(|c| matches!(c, Content::Broken));
        self.report_second_files(&mut found);
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
                None if broken => {} // the broken file may be the site
                None => found.push(missing_site(app)),
            }
        }
        for ingress in self.ingresses() {
            check::ingress(&ingress, None, &mut found);
        }
        check::together(&apps, site.as_ref(), &mut found);
        sort(&mut found);
        self.found = found;
    }

    /// Reports every site and fleet snapshot after the first.
    fn report_second_files(&self, found: &mut Vec<Diagnostic>) {
        let after_first = |kind: fn(&Content) -> bool| {
            let files = self.contents.iter().enumerate();
            let files = files.filter(move |(_, c)| kind(c)).map(|(n, _)| n);
            files.skip(1)
        };
        let sites = after_first(|c| matches!(c, Content::Site(_))).map(|file| (file, "site"));
        let fleets =
            after_first(|c| matches!(c, Content::Fleet(_))).map(|file| (file, "fleet snapshot"));
        for (file, kind) in sites.chain(fleets) {
            let place = Place { file, span: 0..0 };
            let message = format!("a second {kind} is given");
            found.push(Diagnostic::new(Code::SiteTwice, place, message));
        }
    }

    /// Whether any file is invalid or unreadable.
    pub fn refused(&self) -> bool {
        self.found.iter().any(Diagnostic::refused)
    }

    /// Whether any file could not be read or is not text.
    pub fn unreadable(&self) -> bool {
        self.found
            .iter()
            .any(|d| d.code.severity() == Severity::Unreadable)
    }
}

/// A diagnostic for an application whose site is not in the set.
fn missing_site(app: &InFile<Application>) -> Diagnostic {
    let site = app.content.site.as_ref();
    let place = Place {
        file: app.file,
        span: site.map_or(0..0, |s| s.span.clone()),
    };
    let name = site.map_or("?", |s| &s.value);
    let message = format!("site \"{name}\" is not among the files given");
    Diagnostic::new(Code::NoSite, place, message).help("give the site's file as well")
}
