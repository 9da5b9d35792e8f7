//! A store that sends a second copy of a response, late, on a connection that is in use again:
//! the next read takes the copy for its own answer.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use jacinthhinge::platform::store::Store;
use jacinthhinge::prelude::*;

const RESPONSE_TIME: Duration = Duration::from_secs(1);

/// Reads a request up to its empty line; returns false at the end of the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return false;
        }
        request.push(byte[0]);
    }
    true
}

fn send_response(stream: &mut TcpStream, revision: u64) {
    let body = format!(r#"{{"events":[],"StoreRevision":{revision}}}"#);
    let size = body.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {size}\r\n\r\n"
    );
    // The reader may have closed the connection after the first copy.
    let _ = stream.write_all((head + &body).as_bytes());
}

/// Answers each request with the next revision, but sends the answer before it once more when a
/// connection is used again.
fn serve(listener: &TcpListener) {
    let mut revision = 10;
    for stream in listener.incoming() {
        let mut stream = stream.expect("a connection");
        let mut is_reused = false;
        while read_request(&mut stream) {
            if is_reused {
                send_response(&mut stream, revision);
            }
            revision += 1;
            send_response(&mut stream, revision);
            is_reused = true;
        }
    }
}

#[tokio::test]
async fn late_copy_of_a_response_is_not_taken_for_the_next_one() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || serve(&listener));
    let store = Store::new(addr, "");
    for expected in 11..20 {
        let read = store.watch(1.into(), Duration::ZERO, RESPONSE_TIME);
        let update = read.await.expect("an answer");
        assert_eq!(update.revision, Revision::from(expected));
        // Leaves the client time to return the connection to its pool.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn page_that_is_sent_twice_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            while read_request(&mut stream) {
                let item = r#"{"Key":"a","Value":"MQ==","Revision":3}"#;
                let body = format!(r#"{{"items":[{item}],"HasMore":true,"StoreRevision":9}}"#);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let _ = stream.write_all((head + &body).as_bytes());
            }
        }
    });
    let store = Store::new(addr, "");
    let read = store.watch(0.into(), Duration::ZERO, RESPONSE_TIME);
    let error = read.await.expect_err("the second page is the first one");
    assert_eq!(error.classify(), Category::Platform);
}
