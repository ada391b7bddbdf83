//! The callers' interface: OpenAI-compatible completions and chat, over HTTP.

use crate::driver::Driver;
use crate::keys::bearer_key;
use crate::settings::RequestSection;
use ntex::channel::mpsc;
use ntex::http::{header, StatusCode};
use ntex::util::{stream_recv, Bytes, BytesMut};
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse};
use pitchstall_protocol::caller::{CallerEvent, CompletionRequest, ResumePoint, Usage};
use pitchstall_protocol::error::{ErrorBody, ErrorCode};
use pitchstall_protocol::ids::{ConnectionId, RequestId, ServiceName, TenantId};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Header with the milliseconds in which the answer must be whole.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that marks what may not be repeated (draft-ietf-httpapi-idempotency-key-header).
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header by which a caller goes on after a broken connection (server-sent events).
pub const LAST_EVENT_HEADER: &str = "last-event-id";
/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 255;
const DEFAULT_MAX_TOKENS: u32 = 256;

/// State of the callers' interface.
pub struct Callers {
    /// The node.
    pub driver: Rc<Driver>,
    /// Limits.
    pub section: RequestSection,
}

type Shared = State<Rc<Callers>>;

/// The routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/models", web::get().to(models));
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// Which of the two interfaces answers; they differ in the shape of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Dialect {
    Completion,
    Chat,
}

struct Question {
    model: String,
    prompt: String,
    max_tokens: u32,
    stream: bool,
    dialect: Dialect,
}

async fn complete(callers: Shared, request: HttpRequest, payload: Payload) -> HttpResponse {
    let parse = |body: &[u8]| {
        let body: CompletionBody = serde_json::from_slice(body)?;
        Ok(Question {
            model: body.model,
            prompt: body.prompt,
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            stream: body.stream,
            dialect: Dialect::Completion,
        })
    };
    serve(&callers, &request, payload, parse).await
}

async fn chat(callers: Shared, request: HttpRequest, payload: Payload) -> HttpResponse {
    let parse = |body: &[u8]| {
        let body: ChatBody = serde_json::from_slice(body)?;
        let max_tokens = body.max_completion_tokens.or(body.max_tokens);
        Ok(Question {
            model: body.model,
            prompt: prompt_of(&body.messages),
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            stream: body.stream,
            dialect: Dialect::Chat,
        })
    };
    serve(&callers, &request, payload, parse).await
}

/// One prompt from the messages of a chat. Engines apply the model's own template.
fn prompt_of(messages: &[ChatMessage]) -> String {
    let lines = messages.iter().map(|message| format!("{}: {}\n", message.role, message.content));
    lines.chain(std::iter::once("assistant:".to_owned())).collect()
}

async fn serve(
    callers: &Rc<Callers>,
    request: &HttpRequest,
    payload: Payload,
    parse: impl Fn(&[u8]) -> Result<Question, serde_json::Error>,
) -> HttpResponse {
    let tenant = match authenticate(callers, request) {
        Ok(tenant) => tenant,
        Err(error) => return error_response(&error),
    };
    let body = match read_body(payload, callers.section.body_limit).await {
        Ok(body) => body,
        Err(error) => return error_response(&error),
    };
    let question = match parse(&body) {
        Ok(question) => question,
        Err(error) => {
            let error = ErrorBody::refused(ErrorCode::InvalidRequest, error.to_string());
            return error_response(&error);
        }
    };
    match build_request(callers, request, tenant, &question) {
        Ok(completion) => answer(callers, completion, &question).await,
        Err(error) => error_response(&error),
    }
}

fn text_header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

fn authenticate(callers: &Callers, request: &HttpRequest) -> Result<TenantId, ErrorBody> {
    let key = bearer_key(text_header(request, header::AUTHORIZATION.as_str()));
    let key = key.ok_or_else(|| {
        ErrorBody::refused(ErrorCode::Unauthorized, "expected an Authorization: Bearer header")
    })?;
    if !callers.driver.with_node(|node| node.configuration().document().is_some()) {
        const RETRY_MS: u64 = 500;
        let message = "this node has no configuration yet";
        return Err(
            ErrorBody::refused(ErrorCode::PlatformUnavailable, message).retry_after_ms(RETRY_MS)
        );
    }
    callers
        .driver
        .tenant_of(key)
        .ok_or_else(|| ErrorBody::refused(ErrorCode::Unauthorized, "the key belongs to no tenant"))
}

async fn read_body(mut payload: Payload, limit: usize) -> Result<BytesMut, ErrorBody> {
    let mut body = BytesMut::new();
    while let Some(piece) = payload.recv().await {
        let piece = piece.map_err(|error| {
            ErrorBody::refused(ErrorCode::InvalidRequest, format!("the body broke off: {error}"))
        })?;
        if body.len() + piece.len() > limit {
            let message = format!("the body is larger than {limit} bytes");
            return Err(ErrorBody::refused(ErrorCode::RequestTooLarge, message));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body)
}

fn build_request(
    callers: &Callers,
    request: &HttpRequest,
    tenant: TenantId,
    question: &Question,
) -> Result<CompletionRequest, ErrorBody> {
    let invalid = |message: String| ErrorBody::refused(ErrorCode::InvalidRequest, message);
    let resume = match text_header(request, LAST_EVENT_HEADER) {
        Some(text) => Some(ResumePoint::decode(text).ok_or_else(|| {
            invalid(format!("{LAST_EVENT_HEADER}: expected the id of an event of the answer"))
        })?),
        None => None,
    };
    let longest_ms = callers.section.longest_deadline.0.as_millis() as u64;
    let deadline_ms = match text_header(request, DEADLINE_HEADER) {
        Some(text) => text
            .parse::<u64>()
            .ok()
            .filter(|it| (1..=longest_ms).contains(it))
            .ok_or_else(|| {
                invalid(format!("{DEADLINE_HEADER}: expected milliseconds from 1 to {longest_ms}"))
            })?,
        None => callers.section.default_deadline.0.as_millis() as u64,
    };
    let idempotency_key = text_header(request, IDEMPOTENCY_HEADER).map(str::to_owned);
    if idempotency_key.as_ref().is_some_and(|key| key.is_empty() || key.len() > KEY_LIMIT) {
        return Err(invalid(format!("{IDEMPOTENCY_HEADER}: expected 1 to {KEY_LIMIT} bytes")));
    }
    let id = match &resume {
        Some(point) => point.request.clone(),
        None => callers.driver.new_request_id(),
    };
    Ok(CompletionRequest {
        request: id,
        tenant,
        service: ServiceName::new(&question.model),
        prompt: question.prompt.clone(),
        max_tokens: question.max_tokens,
        deadline_ms,
        idempotency_key,
        resume,
        entry_zone: None,
        hops: 0,
    })
}

/// Tells the node when the caller goes, however the handler ends.
struct CallerGuard {
    driver: Rc<Driver>,
    connection: ConnectionId,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let driver = self.driver.clone();
        let connection = self.connection;
        // Dropped inside the server's own work: tell the node in a turn of its own.
        ntex::rt::spawn(async move { driver.caller_gone(connection) });
    }
}

async fn answer(
    callers: &Rc<Callers>,
    completion: CompletionRequest,
    question: &Question,
) -> HttpResponse {
    let id = completion.request.clone();
    let (connection, mut events) = callers.driver.submit(completion);
    let guard = CallerGuard { driver: callers.driver.clone(), connection };
    // Wait for the first event, so that a refusal has a status code of its own.
    let Some(first) = stream_recv(&mut events).await else {
        return error_response(&shutting_down());
    };
    if let CallerEvent::Failed { error } = &first {
        return error_response(error);
    }
    let shape = Shape::new(&id, &question.model, question.dialect);
    if !question.stream {
        return whole_answer(&shape, first, events).await;
    }
    let (sender, body) = mpsc::channel::<Result<Bytes, std::io::Error>>();
    ntex::rt::spawn(async move {
        let _guard = guard;
        let mut next = Some(first);
        while let Some(event) = next {
            // The caller has gone: dropping the guard tells the node.
            if sender.send(Ok(shape.event(&event))).is_err() {
                return;
            }
            next = stream_recv(&mut events).await;
        }
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header(header::CACHE_CONTROL, "no-store")
        .streaming(body)
}

async fn whole_answer(
    shape: &Shape,
    first: CallerEvent,
    mut events: mpsc::Receiver<CallerEvent>,
) -> HttpResponse {
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(event) = next {
        match event {
            CallerEvent::Piece { text: piece, .. } => text.push_str(&piece),
            CallerEvent::Finished { usage } => {
                return HttpResponse::Ok().json(&shape.whole(&text, usage));
            }
            CallerEvent::Failed { error } => return error_response(&error),
        }
        next = stream_recv(&mut events).await;
    }
    error_response(&shutting_down())
}

fn shutting_down() -> ErrorBody {
    let message = "the node stopped while it had the request";
    let execution = pitchstall_protocol::error::Execution::Unknown;
    ErrorBody::failed(ErrorCode::Leaving, execution, message)
}

/// The shape of answers to one request.
struct Shape {
    id: String,
    model: String,
    created: u64,
    dialect: Dialect,
    /// What stands before the text of each piece, in JSON.
    before: String,
    /// What stands after it.
    after: &'static str,
}

#[derive(Serialize)]
struct WholeAnswer<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [WholeChoice<'a>; 1],
    usage: UsageBody,
}

#[derive(Serialize)]
struct WholeChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<WholeMessage<'a>>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct WholeMessage<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Serialize)]
struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
        }
    }
}

impl Shape {
    fn new(id: &RequestId, model: &str, dialect: Dialect) -> Self {
        let created = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let object = match dialect {
            Dialect::Completion => "text_completion",
            Dialect::Chat => "chat.completion.chunk",
        };
        let quoted_id = json_text(&format!("cmpl-{id}"));
        let quoted_model = json_text(model);
        let head = format!(
            "{{\"id\":{quoted_id},\"object\":\"{object}\",\"created\":{created},\
             \"model\":{quoted_model},\"choices\":[{{\"index\":0,"
        );
        let (before, after) = match dialect {
            Dialect::Completion => (format!("{head}\"text\":"), ",\"finish_reason\":null}]}"),
            Dialect::Chat => {
                (format!("{head}\"delta\":{{\"content\":"), "},\"finish_reason\":null}]}")
            }
        };
        Self { id: format!("cmpl-{id}"), model: model.to_owned(), created, dialect, before, after }
    }

    /// A server-sent event.
    fn event(&self, event: &CallerEvent) -> Bytes {
        match event {
            CallerEvent::Piece { point, text } => Bytes::from(format!(
                "id: {}\ndata: {}{}{}\n\n",
                point.encode(),
                self.before,
                json_text(text),
                self.after
            )),
            CallerEvent::Finished { usage } => {
                let usage = json_of(&UsageBody::from(*usage));
                let end = match self.dialect {
                    Dialect::Completion => "\"\"",
                    Dialect::Chat => "\"\"}",
                };
                let before = &self.before;
                Bytes::from(format!(
                    "data: {before}{end},\"finish_reason\":\"stop\"}}],\"usage\":{usage}}}\n\n\
                     data: [DONE]\n\n"
                ))
            }
            CallerEvent::Failed { error } => {
                let body = json_of(&ErrorEnvelope { error });
                Bytes::from(format!("event: error\ndata: {body}\n\n"))
            }
        }
    }

    fn whole<'a>(&'a self, text: &'a str, usage: Usage) -> WholeAnswer<'a> {
        let is_chat = self.dialect == Dialect::Chat;
        let choice = WholeChoice {
            index: 0,
            text: (!is_chat).then_some(text),
            message: is_chat.then_some(WholeMessage { role: "assistant", content: text }),
            finish_reason: "stop",
        };
        WholeAnswer {
            id: &self.id,
            object: if is_chat { "chat.completion" } else { "text_completion" },
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage: usage.into(),
        }
    }
}

fn json_text(text: &str) -> String {
    json_of(&text)
}

fn json_of<T: Serialize>(value: &T) -> String {
    // Types of this module have no maps with keys that are no strings, so this cannot fail.
    serde_json::to_string(value).unwrap_or_default()
}

#[derive(Serialize)]
struct ErrorEnvelope<'a> {
    error: &'a ErrorBody,
}

/// The response that carries a failure.
pub fn error_response(error: &ErrorBody) -> HttpResponse {
    let status =
        StatusCode::from_u16(error.code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if let Some(milliseconds) = error.retry_after_ms {
        response.header(header::RETRY_AFTER, milliseconds.div_ceil(1_000).max(1).to_string());
    }
    response.json(&ErrorEnvelope { error })
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// The services that the caller may use, under the name by which it asks for them.
async fn models(callers: Shared, request: HttpRequest) -> HttpResponse {
    let tenant = match authenticate(&callers, &request) {
        Ok(tenant) => tenant,
        Err(error) => return error_response(&error),
    };
    let data = callers.driver.with_node(|node| {
        let Some(configuration) = node.configuration().configuration() else {
            return Vec::new();
        };
        let allowed = configuration.tenants.get(&tenant).map(|spec| &spec.services);
        let services = configuration.services.keys().filter(|service| {
            allowed.is_some_and(|allowed| allowed.is_empty() || allowed.contains(*service))
        });
        services
            .map(|service| ModelEntry {
                id: service.to_string(),
                object: "model",
                owned_by: "pitchstall",
            })
            .collect()
    });
    HttpResponse::Ok().json(&ModelList { object: "list", data })
}
