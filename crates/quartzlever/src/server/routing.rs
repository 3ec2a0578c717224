//! Routes the requests of users, workers and health checks by method and path.

use quartzlever_wire::users::is_valid_id;

/// The operation that a request asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Route {
    /// A health check.
    Ready,
    /// A worker's heartbeat.
    Heartbeat,
    /// Submits a job.
    Submit,
    /// Looks up the job with this id.
    Lookup(String),
    /// Cancels the job with this id.
    Cancel(String),
    /// Not a valid operation; answered with this error at once.
    Refused { status: u16, reason: &'static str },
}

const NO_SUCH_PATH: Route = Route::Refused { status: 404, reason: "no such path" };
const METHOD_NOT_ALLOWED: Route = Route::Refused { status: 405, reason: "method not allowed" };
const UNKNOWN_JOB: Route = Route::Refused { status: 404, reason: "unknown job" };

impl Route {
    /// Returns the route of a method and a target, whose query is ignored.
    pub fn parse(method: &str, target: &str) -> Route {
        let path = target.split('?').next().unwrap_or("").trim_start_matches('/');
        let (route, allowed) = match path.strip_prefix("v2/runs") {
            Some("") => (Route::Submit, "POST"),
            Some(rest) => match Route::parse_job_path(rest) {
                Some(Route::Lookup(job)) => (Route::Lookup(job), "GET"),
                Some(route) => (route, "POST"),
                None => return NO_SUCH_PATH,
            },
            None if path == "ready" => (Route::Ready, "GET"),
            None if path == "hello" => (Route::Heartbeat, "POST"),
            None => return NO_SUCH_PATH,
        };
        if method != allowed {
            return METHOD_NOT_ALLOWED;
        }
        match route {
            // No job can have been accepted under an invalid id.
            Route::Lookup(job) | Route::Cancel(job) if !is_valid_id(&job) => UNKNOWN_JOB,
            route => route,
        }
    }

    /// Returns the route of the path below `/v2/runs`, or `None` if there is no such path.
    fn parse_job_path(rest: &str) -> Option<Route> {
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
