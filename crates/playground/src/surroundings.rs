//! What the platform brings: workers of two services, and the list of them.

use crate::layout::{Layout, LIST_CALLS_PER_S};
use crate::operator::{CATALOG, ORDERS};
use hingestage_platform::{Platform, Tokio};
use hingestage_test_servers::service_worker::{
    AnswerForm, ServiceWorker, ServiceWorkerMode, ServiceWorkerSpec, SharedRunLog,
};
use hingestage_test_servers::worker_list::{ListedWorker, WorkerListServer};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Workers at the start.
pub const WORKERS: u8 = 6;
/// Requests that may wait at a worker.
const QUEUE: usize = 32;
/// What workers bear, unless a system has others.
const LOAD: WorkerLoad = WorkerLoad { work: Duration::from_millis(5), capacity: 8, forms: &[] };

/// What a worker bears, and how it answers.
#[derive(Clone, Copy, Debug)]
pub struct WorkerLoad {
    /// How long a request takes.
    pub work: Duration,
    /// Requests that it runs at once.
    pub capacity: usize,
    /// The forms that its answers take in turn; plain ones if there are none.
    pub forms: &'static [AnswerForm],
}

/// A worker and how the list names it.
pub struct Hosted {
    /// The worker.
    pub worker: Rc<ServiceWorker<Tokio>>,
    /// Its entry.
    pub listed: ListedWorker,
}

/// The workers and their list.
pub struct Surroundings {
    /// What workers have seen.
    pub log: SharedRunLog,
    /// The server of the list.
    pub list: Rc<WorkerListServer<Tokio>>,
    /// Workers that run, by when they started.
    pub workers: RefCell<Vec<Hosted>>,
    load: WorkerLoad,
}

impl Surroundings {
    /// Starts the list and the workers.
    ///
    /// # Errors
    /// An address is in use.
    pub async fn start(layout: &Layout) -> Result<Rc<Surroundings>, String> {
        Surroundings::start_with(layout, LOAD).await
    }

    /// Starts the list and workers that bear this.
    ///
    /// # Errors
    /// An address is in use.
    pub async fn start_with(layout: &Layout, load: WorkerLoad) -> Result<Rc<Surroundings>, String> {
        let list = WorkerListServer::new(Tokio, LIST_CALLS_PER_S);
        let listener = listen(layout.worker_list()).await?;
        Tokio.spawn(list.clone().run(listener));
        let (log, workers) = Default::default();
        let surroundings = Rc::new(Surroundings { log, list, workers, load });
        for number in 0..WORKERS {
            let service = if number % 4 < 2 { CATALOG } else { ORDERS };
            let zone = layout.places[usize::from(number) % layout.places.len()].zone;
            surroundings.add(&format!("i-{number}"), service, layout.worker(number), zone).await?;
        }
        surroundings.publish();
        Ok(surroundings)
    }

    /// Starts a worker. The list does not name it before [`Surroundings::publish`].
    ///
    /// # Errors
    /// The address is in use.
    pub async fn add(&self, id: &str, service: &str, addr: SocketAddr, zone: &str) -> Result<(), String> {
        let listener = listen(addr).await?;
        let spec = ServiceWorkerSpec {
            id: id.to_owned(),
            service: service.to_owned(),
            capacity: self.load.capacity,
            queue: QUEUE,
            work: self.load.work,
            forms: self.load.forms.to_vec(),
        };
        let worker = ServiceWorker::new(Tokio, spec, self.log.clone());
        Tokio.spawn(worker.clone().run(listener));
        let listed = ListedWorker {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            zone: zone.to_owned(),
            capacity: self.load.capacity,
            draining: false,
        };
        self.workers.borrow_mut().push(Hosted { worker, listed });
        Ok(())
    }

    /// Ends a worker like a process that dies, and gives what the list said of it.
    pub async fn end(&self, id: &str) -> Option<ListedWorker> {
        let place = self.workers.borrow().iter().position(|hosted| hosted.listed.id == id)?;
        let hosted = self.workers.borrow_mut().remove(place);
        hosted.worker.end().await;
        Some(hosted.listed)
    }

    /// Lets the workers of a service behave otherwise.
    pub fn set_mode(&self, service: &str, mode: ServiceWorkerMode) {
        let workers = self.workers.borrow();
        let of_service = workers.iter().filter(|hosted| hosted.listed.service == service);
        of_service.for_each(|hosted| hosted.worker.set_mode(mode));
    }

    /// Ends all workers.
    pub async fn end_all(&self) {
        let hosted = std::mem::take(&mut *self.workers.borrow_mut());
        for hosted in hosted {
            hosted.worker.end().await;
        }
    }

    /// Lets the list name the workers that run.
    pub fn publish(&self) {
        self.list.set(self.workers.borrow().iter().map(|hosted| hosted.listed.clone()).collect());
    }
}

async fn listen(addr: SocketAddr) -> Result<<Tokio as Platform>::Listener, String> {
    Tokio.listen(addr).await.map_err(|e| format!("can't listen at {addr}: {e}"))
}
