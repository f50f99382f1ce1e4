//! What the files of an operator say of an ingress that the platform's own file describes.

use super::application::Application;
use super::site::{near, Class, Near, Site};
use crate::reader::{At, Fields};

/// What an operator adds to an ingress that the platform describes.
#[derive(Clone, Debug)]
pub struct Ingress {
    /// Its control socket.
    pub control: Option<At<String>>,
    /// The folder for what it must not forget.
    pub state: Option<At<String>>,
    /// The file that says what became of the last reload.
    pub status: Option<At<String>>,
    /// Halls in order of nearness.
    pub near: Vec<Near>,
    /// Its pools and routes, as an application without a name has them.
    pub ways: Application,
}

impl Ingress {
    /// What a file's values mean.
    pub fn new(f: &Fields) -> Ingress {
        Ingress {
            control: f.text("control"),
            state: f.text("state"),
            status: f.text("status"),
            near: f.tables("near").iter().filter_map(near).collect(),
            ways: Application::new(f),
        }
    }

    /// The site that the platform's file describes, as far as pools and routes ask for it, and the application that may
    /// send all of its classes.
    pub fn at(&self, halls: &[String], classes: &[String]) -> (Site, Application) {
        let here = |value: &String| At {
            value: value.clone(),
            span: 0..0,
        };
        let mut site = Site::new(&Fields::default());
        (site.halls, site.near) = (halls.iter().map(here).collect(), self.near.clone());
        site.classes = classes
            .iter()
            .map(|name| Class {
                name: here(name),
                effect: None,
                group: None,
                window: None,
                bad_key: false,
                wanted: None,
                deadline: None,
                worth: None,
                units: At {
                    value: 1.0,
                    span: 0..0,
                },
            })
            .collect();
        let mut ways = self.ways.clone();
        ways.sends = classes.iter().map(here).collect();
        (site, ways)
    }
}
