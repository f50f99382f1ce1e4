//! Contents of an operator's file, which extends an ingress that the platform's own file describes.

use super::application::Application;
use super::site::{near, Class, Near, Site};
use crate::reader::{At, Fields};

/// Contents of a file with `kind = "ingress"`.
#[derive(Clone, Debug)]
pub struct Ingress {
    /// Path of the control socket.
    pub control: Option<At<String>>,
    /// Folder for the state that must survive a restart.
    pub state: Option<At<String>>,
    /// File to which the ingress writes the result of the last reload.
    pub status: Option<At<String>>,
    /// For each listed hall, the other halls in order of nearness.
    pub near: Vec<Near>,
    /// Pools, routes and identity, held as an application without a name.
    pub application: Application,
}

impl Ingress {
    /// Builds the contents from the valid fields of the file.
    pub fn new(fields: &Fields) -> Ingress {
        Ingress {
            control: fields.text("control"),
            state: fields.text("state"),
            status: fields.text("status"),
            near: fields.tables("near").iter().filter_map(near).collect(),
            application: Application::new(fields),
        }
    }

    /// Builds a site with the platform's halls and classes, complete enough to check pools and routes, and an
    /// application that may send all of the classes.
    pub fn with_platform_names(&self, halls: &[String], classes: &[String]) -> (Site, Application) {
        let without_span = |value: &String| At {
            value: value.clone(),
            span: 0..0,
        };
        let mut site = Site::new(&Fields::default());
        (site.halls, site.near) = (halls.iter().map(without_span).collect(), self.near.clone());
        site.classes = classes
            .iter()
            .map(|name| Class {
                name: without_span(name),
                effect: None,
                group: None,
                window: None,
                invalid_key: false,
                wanted: None,
                deadline: None,
                worth: None,
                units: At {
                    value: 1.0,
                    span: 0..0,
                },
            })
            .collect();
        let mut application = self.application.clone();
        application.sends = classes.iter().map(without_span).collect();
        (site, application)
    }
}
