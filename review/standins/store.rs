//! A stand-in for the platform's store: objects by kind and name, lists, watches, conditions.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::Json;

const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Event {
    revision: u64,
    kind: String,
    deleted: bool,
    object: Json,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    events: Vec<Event>,
}

/// The store. Clones share its state.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("a bound address");
        let state = State {
            revision: 1,
            ..State::default()
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Self {
            address,
            shared,
            silent: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator or a backend does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.shared
            .0
            .lock()
            .expect("a sound lock")
            .put(kind, name, Some(spec), None);
        self.shared.1.notify_all();
    }

    /// Begins or ends an outage in which calls get no answer. A connection that loses an answer
    /// carries nothing further.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let mut body = Vec::new();
            if http::read_body(&mut reader, &head, |bytes| body.extend_from_slice(bytes)).is_err() {
                return;
            }
            let is_lost = self.silent.load(Ordering::SeqCst);
            let (status, answer) = match is_lost {
                true => (0, Json::Null),
                false => self.answer(&head, &String::from_utf8_lossy(&body)),
            };
            if is_lost || self.silent.load(Ordering::SeqCst) {
                // The connection stays open until the caller gives it up.
                let _ended = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
            let answer = answer.to_string();
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, Json) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let place = path.trim_start_matches("/-/objects/");
        let (kind, name) = match place.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (place, None),
        };
        let watch = query_value(query, "watch").and_then(|text| text.parse().ok());
        let body = Json::parse(body).unwrap_or(Json::Null);
        let (lock, changed) = &*self.shared;
        match (head.word(0), name, watch) {
            ("GET", None, Some(from)) => {
                let wait_ms = query_value(query, "wait_ms").and_then(|text| text.parse().ok());
                self.watch(kind, from, Duration::from_millis(wait_ms.unwrap_or(0)))
            }
            ("GET", None, None) => {
                let state = lock.lock().expect("a sound lock");
                (200, state.list(kind, query_value(query, "after")))
            }
            ("GET", Some(name), _) => {
                let state = lock.lock().expect("a sound lock");
                state
                    .object(kind, name)
                    .map_or((404, Json::Null), |object| (200, object.clone()))
            }
            ("POST", None, _) => {
                let name = body
                    .get("metadata")
                    .get("name")
                    .as_text()
                    .unwrap_or("")
                    .to_owned();
                let mut state = lock.lock().expect("a sound lock");
                if let Some(object) = state.object(kind, &name) {
                    return (409, object.clone());
                }
                let made = state.put(kind, &name, Some(body.get("spec").clone()), None);
                changed.notify_all();
                (200, made)
            }
            ("PUT", Some(name), _) => {
                let mut state = lock.lock().expect("a sound lock");
                let expected = body.get("metadata").get("revision").as_number();
                let (name, part) = match name.strip_suffix("/status") {
                    Some(name) => (name, "status"),
                    None => (name, "spec"),
                };
                if let Some(refusal) = state.refusal(kind, name, expected) {
                    return refusal;
                }
                let value = Some(body.get(part).clone());
                let made = match part {
                    "status" => state.put(kind, name, None, value),
                    _ => state.put(kind, name, value, None),
                };
                changed.notify_all();
                (200, made)
            }
            ("DELETE", Some(name), _) => {
                let mut state = lock.lock().expect("a sound lock");
                let expected = query_value(query, "revision").and_then(|text| text.parse().ok());
                if let Some(refusal) = state.refusal(kind, name, expected) {
                    return refusal;
                }
                state.delete(kind, name);
                changed.notify_all();
                (200, Json::object([]))
            }
            _ => (404, Json::Null),
        }
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, Json) {
        let deadline = Instant::now() + wait;
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().expect("a sound lock");
        loop {
            let later = state.events.iter();
            let later = later.filter(|event| event.kind == kind && event.revision > from);
            let events: Vec<Json> = later
                .map(|event| {
                    Json::object([
                        ("deleted", Json::Bool(event.deleted)),
                        ("object", event.object.clone()),
                    ])
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = Json::number(state.revision);
                let body =
                    Json::object([("events", Json::List(events)), ("store_revision", revision)]);
                return (200, body);
            }
            state = changed.wait_timeout(state, left).expect("a sound lock").0;
        }
    }
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<&Json> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    fn refusal(&self, kind: &str, name: &str, expected: Option<u64>) -> Option<(u16, Json)> {
        let Some(object) = self.object(kind, name) else {
            return Some((404, Json::Null));
        };
        let revision = object.get("metadata").get("revision").as_number();
        let differs = expected.is_some() && expected != revision;
        differs.then(|| (409, object.clone()))
    }

    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> Json {
        let before = self.object(kind, name).cloned().unwrap_or(Json::Null);
        let spec = spec.unwrap_or_else(|| before.get("spec").clone());
        let status = status.unwrap_or_else(|| before.get("status").clone());
        if before != Json::Null && *before.get("spec") == spec && *before.get("status") == status {
            return before;
        }
        self.revision += 1;
        let revision = Json::number(self.revision);
        let created = match before.get("metadata").get("created") {
            Json::Null => revision.clone(),
            created => created.clone(),
        };
        let metadata = Json::object([
            ("name", Json::text(name)),
            ("revision", revision),
            ("created", created),
            ("finalizers", Json::List(Vec::new())),
            ("deletion", Json::Bool(false)),
        ]);
        let object = Json::object([("metadata", metadata), ("spec", spec), ("status", status)]);
        self.objects
            .insert((kind.to_owned(), name.to_owned()), object.clone());
        self.push_event(kind, false, object.clone());
        object
    }

    fn delete(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.push_event(kind, true, object);
        }
    }

    fn push_event(&mut self, kind: &str, deleted: bool, object: Json) {
        let event = Event {
            revision: self.revision,
            kind: kind.to_owned(),
            deleted,
            object,
        };
        self.events.push(event);
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Json {
        let objects = self.objects.iter().filter(|((known, name), _)| {
            known == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let objects: Vec<Json> = objects.map(|(_, object)| object.clone()).collect();
        let has_more = objects.len() > PAGE_ITEMS;
        let items = objects.into_iter().take(PAGE_ITEMS).collect();
        Json::object([
            ("items", Json::List(items)),
            ("has_more", Json::Bool(has_more)),
            ("store_revision", Json::number(self.revision)),
        ])
    }
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}
