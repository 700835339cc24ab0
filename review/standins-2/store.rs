//! A stand-in for the platform's store: objects by kind and name, lists and watches.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::Json;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

struct Event {
    revision: u64,
    kind: String,
    deleted: bool,
    object: String,
}

/// Items in one answer to a list: `page` in the site files.
const PAGE: usize = 50;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("its address"),
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::of(stream)));
            }
        });
        store
    }

    /// Writes an object as the operator or a backend does. A write that changes nothing, or only a
    /// backend's `seq`, raises no revision and no event.
    pub fn put(&self, kind: &str, name: &str, spec: &Json) {
        let mut state = self.shared.0.lock().expect("no writer panicked");
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        if known.is_some_and(|known| known.spec.without_sequence() == spec.without_sequence()) {
            return;
        }
        state.write(key, spec.clone());
        self.shared.1.notify_all();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().expect("no writer panicked");
        state.remove((kind.to_owned(), name.to_owned()));
        self.shared.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(mut call)) = connection.read_head() {
            connection.read_body(&mut call);
            let (status, body) = self.answer(&call);
            let head = format!(
                "HTTP/1.1 {status} Store\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if connection.write((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let target = call.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return (404, String::new());
        };
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
        match (call.word(0), name) {
            ("GET", None) if query.contains_key("watch") => self.watch(&kind, &query),
            ("GET", None) => self.list(&kind, &query),
            ("POST", None) => {
                let name = body.get("metadata").get("name").text().unwrap_or("");
                self.create(kind, name.to_owned(), &body)
            }
            (method, Some(name)) => self.change(method, (kind, name), is_status, &body, &query),
            _ => (404, String::new()),
        }
    }

    fn list(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let state = self.shared.0.lock().expect("no writer panicked");
        let after = decoded(query.get("after").copied().unwrap_or(""));
        let objects = state.objects.iter();
        let items = objects.filter(|((of, name), _)| of == kind && *name > after);
        let items: Vec<String> = items.map(|((_, name), object)| object.text(name)).collect();
        let page = &items[..items.len().min(PAGE)];
        let text = format!(
            "{{\"items\":[{}],\"has_more\":{},\"store_revision\":{}}}",
            page.join(","),
            page.len() < items.len(),
            state.revision
        );
        (200, text)
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let since = number("watch").unwrap_or(0);
        let due = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.shared.0.lock().expect("no writer panicked");
        loop {
            let events = state.events.iter();
            let events = events.filter(|event| event.kind == kind && event.revision > since);
            let events: Vec<String> = events
                .map(|event| {
                    format!(
                        "{{\"deleted\":{},\"object\":{}}}",
                        event.deleted, event.object
                    )
                })
                .collect();
            let left = due.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("no writer panicked").0;
        }
    }

    fn create(&self, kind: String, name: String, body: &Json) -> (u16, String) {
        let mut state = self.shared.0.lock().expect("no writer panicked");
        let key = (kind, name);
        if let Some(known) = state.objects.get(&key) {
            return (409, known.text(&key.1));
        }
        let text = state.write(key, body.get("spec").clone());
        self.shared.1.notify_all();
        (200, text)
    }

    fn change(
        &self,
        method: &str,
        key: (String, String),
        is_status: bool,
        body: &Json,
        query: &BTreeMap<&str, &str>,
    ) -> (u16, String) {
        let mut state = self.shared.0.lock().expect("no writer panicked");
        let Some(known) = state.objects.get(&key).cloned() else {
            return (404, String::new());
        };
        if method == "GET" {
            return (200, known.text(&key.1));
        }
        let in_query = query.get("revision").and_then(|text| text.parse().ok());
        let in_body = body.get("metadata").get("revision").number();
        let expected = in_query.or(in_body.map(|number| number as u64));
        if expected.is_some_and(|expected| expected != known.revision) {
            return (409, known.text(&key.1));
        }
        let text = match method {
            "DELETE" => {
                state.remove(key);
                String::new()
            }
            _ if is_status => {
                if let Some(object) = state.objects.get_mut(&key) {
                    object.status = body.get("status").clone();
                }
                state.write(key, known.spec)
            }
            _ => state.write(key, body.get("spec").clone()),
        };
        self.shared.1.notify_all();
        (200, text)
    }
}

impl State {
    fn write(&mut self, key: (String, String), spec: Json) -> String {
        self.revision += 1;
        let known = self.objects.get(&key);
        let object = Object {
            revision: self.revision,
            created: known.map_or(self.revision, |known| known.created),
            status: known.map_or(Json::Null, |known| known.status.clone()),
            spec,
        };
        let text = object.text(&key.1);
        self.events.push(Event {
            revision: self.revision,
            kind: key.0.clone(),
            deleted: false,
            object: text.clone(),
        });
        self.objects.insert(key, object);
        text
    }

    fn remove(&mut self, key: (String, String)) {
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.events.push(Event {
                revision: self.revision,
                kind: key.0,
                deleted: true,
                object: object.text(&key.1),
            });
        }
    }
}

/// A value of a query without percent signs.
fn decoded(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let escaped = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, escaped) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl Object {
    fn text(&self, name: &str) -> String {
        let name = Json::Text(name.to_owned());
        format!(
            "{{\"metadata\":{{\"name\":{name},\"revision\":{},\"created\":{},\"finalizers\":[],\"deletion\":false}},\"spec\":{},\"status\":{}}}",
            self.revision, self.created, self.spec, self.status
        )
    }
}
