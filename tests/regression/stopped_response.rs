//! A response of the store that begins and then stops holds its reader up for longer than one that
//! never begins, and one that ends too early may look complete. A long response over a slow link
//! only takes its time.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use jacinthhinge::platform::store::Store;
use jacinthhinge::prelude::*;

/// Time in which the tests' store must begin a response.
const RESPONSE_TIME: Duration = Duration::from_millis(900);

/// Longest time that a read without a wait may take if the response does not go on.
const READ_LIMIT: Duration = Duration::from_millis(1_500);

/// Starts a store that answers each request with `respond` and then keeps the connection open
/// unless `respond` has dropped it.
fn start_store(respond: impl Fn(TcpStream) -> Option<TcpStream> + Send + 'static) -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 1_024];
            let size = stream.read(&mut request).expect("a request");
            assert!(size > 0);
            open.extend(respond(stream));
        }
    });
    Store::new(addr, "")
}

fn page(value_bytes: usize) -> String {
    let value = "QUFB".repeat(value_bytes / 3);
    format!(
        r#"{{"items":[{{"Key":"a","Value":"{value}","Revision":3}}],"HasMore":false,"StoreRevision":9}}"#
    )
}

fn head(size: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n")
}

#[tokio::test]
async fn response_that_begins_and_stops_ends_the_read_in_time() {
    let store = start_store(|mut stream| {
        let body = page(300);
        stream.write_all(head(body.len()).as_bytes()).expect("sent");
        stream.write_all(&body.as_bytes()[..100]).expect("sent");
        Some(stream)
    });
    let started = Instant::now();
    let read = store.watch(0.into(), Duration::ZERO, RESPONSE_TIME);
    let error = read.await.expect_err("no whole response");
    assert_eq!(error.classify(), Category::Platform);
    let elapsed = started.elapsed();
    assert!(elapsed < READ_LIMIT, "{elapsed:?}");
}

#[tokio::test]
async fn response_that_ends_early_is_an_error() {
    let lengths: [fn(usize) -> String; 2] = [head, |_| "HTTP/1.1 200 OK\r\n\r\n".to_owned()];
    for head in lengths {
        for left_out in [1, 2, 40] {
            let store = start_store(move |mut stream| {
                let body = page(300);
                let sent = &body.as_bytes()[..body.len() - left_out];
                stream.write_all(head(body.len()).as_bytes()).expect("sent");
                stream.write_all(sent).expect("sent");
                None
            });
            let read = store.watch(0.into(), Duration::ZERO, RESPONSE_TIME);
            let error = read.await.expect_err("no whole response");
            assert_eq!(error.classify(), Category::Platform);
        }
    }
}

#[tokio::test]
async fn long_response_over_a_slow_link_is_read() {
    let store = start_store(|mut stream| {
        let body = page(30_000);
        stream.write_all(head(body.len()).as_bytes()).expect("sent");
        for part in body.as_bytes().chunks(2_000) {
            stream.write_all(part).expect("sent");
            std::thread::sleep(Duration::from_millis(100));
        }
        Some(stream)
    });
    let read = store.watch(0.into(), Duration::ZERO, RESPONSE_TIME);
    let update = read.await.expect("a whole response");
    assert_eq!(update.revision, 9.into());
    assert_eq!(update.values.len(), 1);
}
