//! HTTP routes for clients, operators and the load balancer.

use std::sync::Arc;

use ntex::{
    http::{ConnectionType, HeaderMap, Method, StatusCode},
    util::{Bytes, BytesMut, Either, select},
    web::{self, HttpRequest, HttpResponse, types},
};
use serde_json::json;

use super::{
    attempt,
    completion::{self, CompletionKind},
    head::Head,
    in_flight::{self, InFlight},
    service::{self, Call},
};
use crate::{
    client_connections::ClientConnections,
    delivery::{Delivery, Undelivered},
    error::{Error, Kind, Ran},
    operator,
    process::Shared,
    version::Pool,
};

/// State of one HTTP worker.
#[derive(Clone)]
pub struct Worker {
    /// State shared by the process.
    pub shared: Arc<Shared>,
    /// HTTP client for backend servers.
    pub client: attempt::Client,
    /// Open connections of clients.
    pub client_connections: ClientConnections,
}

/// Registers the routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/completions", web::post().to(plain))
        .route("/v1/models", web::get().to(models))
        .route("/services/{service}", web::route().to(call_service))
        .route("/services/{service}/{path}*", web::route().to(call_service))
        .route("/operator/query", web::post().to(query))
        .route("/metrics", web::get().to(metrics))
        .route("/health/live", web::get().to(live))
        .route("/health/ready", web::get().to(ready));
}

/// Handles all other paths.
pub async fn unknown() -> HttpResponse {
    Error::new(Kind::UnknownPath, "unknown path").response()
}

async fn chat(
    request: HttpRequest,
    payload: types::Payload,
    worker: types::State<Worker>,
) -> HttpResponse {
    complete(CompletionKind::Chat, &request, payload, &worker).await
}

async fn plain(
    request: HttpRequest,
    payload: types::Payload,
    worker: types::State<Worker>,
) -> HttpResponse {
    complete(CompletionKind::Text, &request, payload, &worker).await
}

async fn complete(
    kind: CompletionKind,
    request: &HttpRequest,
    payload: types::Payload,
    worker: &Worker,
) -> HttpResponse {
    let shared = &worker.shared;
    let undelivered = Undelivered::new(shared.clone());
    let (in_flight, body) = match accept(shared, request.headers(), payload).await {
        Ok(accepted) => accepted,
        Err(error) => return deliver(worker, request, error.response(), undelivered),
    };
    let client = worker.client.clone();
    let served =
        completion::serve(shared.clone(), client, kind, request.headers(), body, in_flight);
    deliver(worker, request, served.await, undelivered)
}

/// Holds the guard until a response is delivered.
fn deliver(
    worker: &Worker,
    request: &HttpRequest,
    mut response: HttpResponse,
    undelivered: Undelivered,
) -> HttpResponse {
    if worker.shared.stopping() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response.map_body(|_, body| {
        let client = request.io().cloned();
        let in_use = client.as_ref().map(|io| worker.client_connections.begin_request(io));
        let held = (undelivered, in_use);
        Delivery::new(worker.shared.clone(), client, body, held).into_body().into()
    })
}

async fn call_service(
    request: HttpRequest,
    payload: types::Payload,
    worker: types::State<Worker>,
) -> HttpResponse {
    let shared = &worker.shared;
    let undelivered = Undelivered::new(shared.clone());
    let (in_flight, body) = match accept(shared, request.headers(), payload).await {
        Ok(accepted) => accepted,
        Err(error) => return deliver(&worker, &request, error.response(), undelivered),
    };
    let path_and_query = request.uri().path_and_query().map_or("", |path| path.as_str());
    let rest = path_and_query.strip_prefix("/services/").unwrap_or("");
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, tail) = rest.split_at(end);
    let path = if tail.starts_with('/') { tail.to_string() } else { format!("/{tail}") };
    let method: Method = request.method().clone();
    let call = Call { service, path: &path, method, headers: request.headers(), body };
    let served = service::serve(shared.clone(), worker.client.clone(), call, in_flight).await;
    deliver(&worker, &request, served, undelivered)
}

/// Admits a request and reads its body.
async fn accept(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    payload: types::Payload,
) -> Result<(InFlight, Bytes), Error> {
    // Late in a stop it could not be finished, even if it did not have to wait.
    if shared.stop_refuses_waiting(None) {
        return Err(Error::stopping().with_ran(Ran::No));
    }
    let in_flight = InFlight::new(shared.clone())?;
    let mut in_flight = in_flight.with_body(headers, shared.settings.limits.body_bytes)?;
    let body = read_body(shared, payload, |received| in_flight.receive(received)).await?;
    in_flight.hold_body(body.len());
    Ok((in_flight, body))
}

/// Reads a body within the size limit and the time limit. `receive` gets the number of bytes that have arrived, and may
/// refuse them.
async fn read_body(
    shared: &Shared,
    mut payload: types::Payload,
    mut receive: impl FnMut(usize) -> Result<(), Error>,
) -> Result<Bytes, Error> {
    let limits = &shared.settings.limits;
    let reading = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.recv().await {
            let broken = |_| Error::new(Kind::BadRequest, "the request body ended prematurely");
            let chunk = chunk.map_err(broken)?;
            receive(body.len() + chunk.len())?;
            body.extend_from_slice(&chunk);
            if body.len() > limits.body_bytes {
                let message = format!("the request body exceeds {} bytes", limits.body_bytes);
                return Err(Error::new(Kind::TooLarge, message));
            }
        }
        Ok(body.freeze())
    };
    match select(reading, in_flight::end_of_reading(shared, || shared.stop_refuses_waiting(None)))
        .await
    {
        Either::Left(read) => read,
        Either::Right(error) => Err(error),
    }
}

async fn models(request: HttpRequest, worker: types::State<Worker>) -> HttpResponse {
    let shared = &worker.shared;
    if let Err(error) = Head::read(shared, request.headers()) {
        return error.response();
    }
    let directory = shared.directory.load();
    let models = directory.pools.keys().filter_map(|pool| match pool {
        Pool::Model(name) => Some(json!({"id": &**name, "object": "model"})),
        Pool::Service(_) | Pool::Cell(_) => None,
    });
    let models: Vec<serde_json::Value> = models.collect();
    HttpResponse::Ok().json(&json!({"object": "list", "data": models}))
}

async fn query(
    request: HttpRequest,
    payload: types::Payload,
    worker: types::State<Worker>,
) -> HttpResponse {
    let headers: &HeaderMap = request.headers();
    let shared = worker.shared.clone();
    let author = match operator::author(&shared, headers) {
        Ok(author) => author,
        Err(error) => return error.response(),
    };
    let statement = match read_body(&shared, payload, |_| Ok(())).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(error) => return error.response(),
    };
    operator::execute(shared, &author, &statement, headers).await
}

async fn metrics(worker: types::State<Worker>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(worker.shared.metrics())
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(worker: types::State<Worker>) -> HttpResponse {
    if worker.shared.ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE).body("not ready\n")
}
