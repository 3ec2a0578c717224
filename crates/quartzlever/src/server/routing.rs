//! What a request is about, by its method and its path.
//!
//! Owns the paths of the interface to users, workers and health checks. Never reads a body.

use quartzlever_wire::users::valid_id;

/// What a request is about.
#[derive(Debug, PartialEq, Eq)]
pub enum Route {
    /// A health check.
    Ready,
    /// A worker's report.
    Hello,
    Submit,
    /// About the job of this name.
    Lookup(String),
    /// Of the job of this name.
    Cancel(String),
    /// Refused at once.
    Refused {
        status: u16,
        reason: &'static str,
    },
}

const NO_SUCH_PATH: Route = Route::Refused { status: 404, reason: "no such path" };
const METHOD_NOT_ALLOWED: Route = Route::Refused { status: 405, reason: "method not allowed" };
const UNKNOWN_JOB: Route = Route::Refused { status: 404, reason: "unknown job" };

impl Route {
    /// The route of a request line.
    pub fn of(method: &str, target: &str) -> Route {
        let path = target.split('?').next().unwrap_or("").trim_start_matches('/');
        let (route, allowed) = match path.strip_prefix("v2/runs") {
            Some("") => (Route::Submit, "POST"),
            Some(rest) => match Route::of_job(rest) {
                Some(Route::Lookup(job)) => (Route::Lookup(job), "GET"),
                Some(route) => (route, "POST"),
                None => return NO_SUCH_PATH,
            },
            None if path == "ready" => (Route::Ready, "GET"),
            None if path == "hello" => (Route::Hello, "POST"),
            None => return NO_SUCH_PATH,
        };
        if method != allowed {
            return METHOD_NOT_ALLOWED;
        }
        match route {
            // No job was ever accepted under a name that is none.
            Route::Lookup(job) | Route::Cancel(job) if !valid_id(&job) => UNKNOWN_JOB,
            route => route,
        }
    }

    /// The route of what follows the path of all jobs.
    fn of_job(rest: &str) -> Option<Route> {
        let job_path = rest.strip_prefix('/')?;
        match job_path.split_once('/') {
            None if job_path.is_empty() => None,
            None => Some(Route::Lookup(job_path.to_owned())),
            Some((job, "abort")) => Some(Route::Cancel(job.to_owned())),
            Some(_) => None,
        }
    }
}

#[cfg(test)]
mod tests;
