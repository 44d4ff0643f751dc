//! A worker of a named service, as proxies call it: it has an id, turns away requests that are meant for another
//! worker, and notes every request that it runs.

use crate::{End, Message, Peer, Reader};
use hingestage_platform::{Listener, Platform};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Semaphore};

/// Path of the health check.
pub const HEALTH_PATH: &str = "/health";
/// Names the worker that a request is meant for.
const TARGET_WORKER: &str = "x-hingestage-target-worker";
/// Identifies a try of a client.
const ATTEMPT_ID: &str = "x-hingestage-attempt-id";
/// Name of the tenant.
const TENANT: &str = "x-hingestage-tenant";
/// The end of each body, which stands nowhere else in it.
const BODY_END: &str = "\n";
/// A client's key, which is never to come here.
const API_KEY: &str = "api-key";

/// What a worker is.
#[derive(Clone, Debug)]
pub struct ServiceWorkerSpec {
    /// Its id; each start has another.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Requests that it runs at once.
    pub capacity: usize,
    /// Requests that may wait for a slot; further ones are turned away.
    pub queue: usize,
    /// How long a request takes.
    pub work: Duration,
    /// The forms that its answers take in turn; plain ones if there are none.
    pub forms: Vec<AnswerForm>,
}

/// A form of a successful answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerForm {
    /// Work beyond that of other requests.
    pub extra_work: Duration,
    /// Pause within the answer.
    pub pause: Duration,
    /// The part in whose middle it pauses.
    pub pauses_in: AnswerPart,
    /// Bytes of the body beyond those of a short one.
    pub extra_bytes: usize,
    /// Whether it has a length. Otherwise it ends with its connection.
    pub has_length: bool,
}

/// A part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// Status and headers.
    Head,
    /// The body.
    Body,
}

impl AnswerForm {
    /// An answer with a length, written at once.
    pub const PLAIN: AnswerForm = AnswerForm {
        extra_work: Duration::ZERO,
        pause: Duration::ZERO,
        pauses_in: AnswerPart::Body,
        extra_bytes: 0,
        has_length: true,
    };
}

/// Whether a body is all of what a worker has answered.
pub fn is_whole(body: &[u8]) -> bool {
    body.ends_with(BODY_END.as_bytes())
}

/// How a worker behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceWorkerMode {
    /// It answers what it runs.
    #[default]
    Answers,
    /// It runs requests and resets the connection in place of an answer.
    ResetsAfterRun,
}

/// A request that a worker has run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the worker.
    pub worker: String,
    /// Service of the worker.
    pub service: String,
    /// Id of the client's try.
    pub attempt: String,
    /// The path.
    pub path: String,
    /// The tenant it came for.
    pub tenant: Option<String>,
    /// Whether it brought a client's key along.
    pub brought_key: bool,
}

/// What all workers of a system have seen.
#[derive(Debug, Default)]
pub struct RunLog {
    /// Requests that ran, in order.
    pub runs: Vec<Run>,
    /// Requests that were meant for another worker and were turned away.
    pub misdirected: u64,
}

/// The log that workers share.
pub type SharedRunLog = Rc<RefCell<RunLog>>;

/// A worker of a named service.
pub struct ServiceWorker<P> {
    platform: P,
    spec: ServiceWorkerSpec,
    mode: Cell<ServiceWorkerMode>,
    slots: Semaphore,
    waiting: Cell<usize>,
    answers: Cell<u64>,
    ended: watch::Sender<bool>,
    log: SharedRunLog,
}

/// An answer as it is written, less the headers that each has.
struct Answer<'a> {
    status: &'static str,
    headers: String,
    body: &'a str,
    form: AnswerForm,
}

impl Answer<'_> {
    fn not_run(status: &'static str) -> Answer<'static> {
        Answer { status, headers: "X-Hingestage-Not-Run: 1\r\n".into(), body: "", form: AnswerForm::PLAIN }
    }
}

impl<P: Platform> ServiceWorker<P>
where
    P::Stream: Peer,
{
    /// One that has run nothing.
    pub fn new(platform: P, spec: ServiceWorkerSpec, log: SharedRunLog) -> Rc<Self> {
        Rc::new(ServiceWorker {
            platform,
            slots: Semaphore::new(spec.capacity.max(1)),
            spec,
            mode: Cell::default(),
            waiting: Cell::new(0),
            answers: Cell::new(0),
            ended: watch::Sender::new(false),
            log,
        })
    }

    /// What it is.
    pub fn spec(&self) -> &ServiceWorkerSpec {
        &self.spec
    }

    /// How it behaves from now on.
    pub fn set_mode(&self, mode: ServiceWorkerMode) {
        self.mode.set(mode);
    }

    /// Ends it like a process that dies: all its connections close. Returns once its address is free.
    pub async fn end(&self) {
        self.ended.send_replace(true);
        // Whoever serves holds a receiver.
        self.ended.closed().await;
    }

    /// Serves until it is ended.
    pub async fn run(self: Rc<Self>, listener: P::Listener) {
        let mut ended = self.ended.subscribe();
        loop {
            let stream = tokio::select! {
                _ = ended.wait_for(|ended| *ended) => return,
                accepted = listener.accept() => accepted,
            };
            let Ok(stream) = stream else { return };
            let worker = self.clone();
            self.platform.spawn(async move { worker.serve(stream).await });
        }
    }

    async fn serve(&self, stream: P::Stream) {
        let mut ended = self.ended.subscribe();
        let mut reader = Reader::new(stream);
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => {}
            () = async { while self.serve_one(&mut reader).await.is_ok() {} } => {}
        }
    }

    async fn serve_one(&self, reader: &mut Reader<P::Stream>) -> Result<(), End> {
        let message = reader.message().await?;
        if message.path() == HEALTH_PATH {
            let headers = format!("X-Hingestage-Worker-Id: {}\r\n", self.spec.id);
            let answer = Answer { status: "200 OK", headers, body: "", form: AnswerForm::PLAIN };
            return self.write(reader, &message, answer).await;
        }
        if let Some(refusal) = self.refusal(&message) {
            return self.write(reader, &message, refusal).await;
        }
        self.waiting.set(self.waiting.get() + 1);
        let slot = self.slots.acquire().await;
        self.waiting.set(self.waiting.get() - 1);
        let _slot = slot.map_err(|_| End::Closed)?;
        self.note_run(&message);
        let form = self.next_form();
        self.platform.sleep(self.spec.work + form.extra_work).await;
        if self.mode.get() == ServiceWorkerMode::ResetsAfterRun {
            reader.stream.reset_on_drop();
            return Err(End::Broken);
        }
        let headers = format!("X-Hingestage-Server-Seal: {}.{}\r\n", self.spec.id, self.answers.get());
        let extra = "x".repeat(form.extra_bytes);
        let body = format!("{} of {} {extra}{BODY_END}", message.path(), self.spec.service);
        self.write(reader, &message, Answer { status: "200 OK", headers, body: &body, form }).await
    }

    /// The form of the next answer; counts that answer.
    fn next_form(&self) -> AnswerForm {
        let number = self.answers.replace(self.answers.get() + 1) as usize;
        let forms = &self.spec.forms;
        forms.get(number % forms.len().max(1)).copied().unwrap_or(AnswerForm::PLAIN)
    }

    /// Why a request is turned away.
    fn refusal(&self, message: &Message) -> Option<Answer<'static>> {
        if message.header(ATTEMPT_ID).is_none() {
            return Some(Answer::not_run("400 Bad Request"));
        }
        if message.header(TARGET_WORKER).is_some_and(|target| target != self.spec.id) {
            self.log.borrow_mut().misdirected += 1;
            return Some(Answer::not_run("421 Misdirected Request"));
        }
        let full = self.slots.available_permits() == 0 && self.waiting.get() >= self.spec.queue;
        full.then(|| Answer::not_run("503 Service Unavailable"))
    }

    fn note_run(&self, message: &Message) {
        let run = Run {
            worker: self.spec.id.clone(),
            service: self.spec.service.clone(),
            attempt: message.header(ATTEMPT_ID).unwrap_or_default().to_owned(),
            path: message.path().to_owned(),
            tenant: message.header(TENANT).map(str::to_owned),
            brought_key: message.header(API_KEY).is_some(),
        };
        self.log.borrow_mut().runs.push(run);
    }

    async fn write(
        &self,
        reader: &mut Reader<P::Stream>,
        message: &Message,
        answer: Answer<'_>,
    ) -> Result<(), End> {
        let Answer { status, headers, body, form } = answer;
        let attempt = message.header(ATTEMPT_ID).unwrap_or_default();
        let framing = match form.has_length {
            true => format!("Content-Length: {}\r\n", body.len()),
            false => "Connection: close\r\n".to_owned(),
        };
        let head =
            format!("HTTP/1.1 {status}\r\nX-Hingestage-Attempt-Id: {attempt}\r\n{headers}{framing}\r\n");
        let pause_at = match form.pauses_in {
            _ if form.pause.is_zero() => head.len() + body.len(),
            AnswerPart::Head => head.len() / 2,
            AnswerPart::Body => head.len() + body.len() / 2,
        };
        let text = head + body;
        let (first, rest) = text.split_at(pause_at);
        self.write_part(reader, first).await?;
        if !rest.is_empty() {
            self.platform.sleep(form.pause).await;
            self.write_part(reader, rest).await?;
        }
        if form.has_length {
            Ok(())
        } else {
            Err(End::Closed)
        }
    }

    async fn write_part(&self, reader: &mut Reader<P::Stream>, text: &str) -> Result<(), End> {
        match reader.write(text.as_bytes()).await {
            true => Ok(()),
            false => Err(End::Broken),
        }
    }
}
