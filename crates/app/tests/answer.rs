//! What passes for a valid answer, and where it ends.

use hyper::Method;
use persimmonbend_app::http::answer::End;
use persimmonbend_app::http::answer::Error;
use persimmonbend_app::http::answer::MAX_CHUNK_LINE_BYTES;
use persimmonbend_app::http::answer::MAX_FIELDS;
use persimmonbend_app::http::answer::MAX_HEAD_BYTES;
use persimmonbend_app::http::answer::MAX_INTERIM_ANSWERS;
use persimmonbend_app::http::answer::MAX_TRAILER_BYTES;
use persimmonbend_app::http::answer::Reader;

/// Reads an answer in parts of some bytes; returns what was passed on, and what the end of the connection means.
fn read(method: &Method, bytes: &[u8], part: usize) -> (Vec<u8>, Result<End, Error>) {
    let mut reader = Reader::default();
    let mut checked = Vec::new();
    reader.expect(method);
    for part in bytes.chunks(part) {
        if let Err(error) = reader.feed(part, &mut checked) {
            return (checked, Err(error));
        }
    }
    (checked, Ok(reader.end()))
}

/// Checks that an answer is read alike in parts of any size, and returns the result.
fn read_in_parts(method: &Method, bytes: &[u8]) -> (Vec<u8>, Result<End, Error>) {
    let whole = read(method, bytes, bytes.len().max(1));
    for part in [1, 2, 3, 7] {
        let parts = read(method, bytes, part);
        assert_eq!(parts.1.is_ok(), whole.1.is_ok(), "{}", bytes.escape_ascii());
        if whole.1.is_ok() {
            assert_eq!(parts, whole, "{}", bytes.escape_ascii());
        }
    }
    whole
}

#[test]
fn valid_answers_are_passed_on_as_they_are() {
    let ended = [
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
        "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\ncontent-length:4\r\nCONTENT-LENGTH: 4 \r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 404 No such page, h\u{e9}\tlas\r\nX-A:\r\nX-B: \t\r\nX-C: \u{fc} a\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\nContent-Length: 4\n\nabcd",
        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nabcd\r\n0A ;x=\"y\"\r\n0123456789\r\n000\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n",
    ];
    for bytes in ended {
        let bytes = bytes.as_bytes();
        assert_eq!(
            read_in_parts(&Method::GET, bytes),
            (bytes.to_vec(), Ok(End::Clean)),
            "{}",
            bytes.escape_ascii()
        );
        let more = [bytes, b"x"].concat();
        let (passed, result) = read_in_parts(&Method::GET, &more);
        assert_eq!((passed, result), (bytes.to_vec(), Err(Error::Unexpected)));
    }
    let open_ended = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcd";
    let (passed, end) = read_in_parts(&Method::GET, open_ended);
    assert_eq!((passed, end), (open_ended.to_vec(), Ok(End::OfBody)));
    let without_body = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    let (passed, end) = read_in_parts(&Method::HEAD, without_body);
    assert_eq!((passed, end), (without_body.to_vec(), Ok(End::Clean)));
}

#[test]
fn interim_answers_and_trailers_are_not_passed_on() {
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n".repeat(MAX_INTERIM_ANSWERS);
    let last = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let (passed, end) = read_in_parts(&Method::GET, (hints + last).as_bytes());
    assert_eq!((passed, end), (last.into(), Ok(End::Clean)));
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
    let bytes = format!("{chunked}X-Sum: 1\r\n\r\n");
    let (passed, end) = read_in_parts(&Method::GET, bytes.as_bytes());
    assert_eq!(
        (passed, end),
        (format!("{chunked}\r\n").into(), Ok(End::Clean))
    );
}

/// An answer may break off at each of its bytes.
#[test]
fn a_part_of_an_answer_is_not_whole() {
    let sized = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd";
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x\r\nabcd\r\n0\r\nX-Sum: 1\r\n\r\n";
    let hinted = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for answer in [sized, chunked, hinted] {
        assert_eq!(read(&Method::GET, b"", 1).1, Ok(End::Unanswered));
        for length in 1..answer.len() {
            let (_, end) = read(&Method::GET, &answer.as_bytes()[..length], length);
            assert_eq!(end, Ok(End::Truncated), "{:?}", &answer[..length]);
        }
    }
}

#[test]
fn malformed_answers_are_refused() {
    let status = |text: &str| Error::StatusLine(text.to_owned());
    let cases = [
        ("\r\nHTTP/1.1 200 OK\r\n\r\n", status("\\r\\n")),
        ("http/1.1 200 OK\r\n\r\n", status("http/1.1 200 OK\\r\\n")),
        ("HTTP/1.2 200 OK\r\n\r\n", status("HTTP/1.2 200 OK")),
        ("HTTP/1.1  200 OK\r\n\r\n", status("HTTP/1.1  200 OK")),
        ("HTTP/1.1 20 OK\r\n\r\n", status("HTTP/1.1 20 OK")),
        ("HTTP/1.1 2000 OK\r\n\r\n", status("HTTP/1.1 2000 OK")),
        ("HTTP/1.1 +20 OK\r\n\r\n", status("HTTP/1.1 +20 OK")),
        (
            "HTTP/1.1 200 O\x01K\r\n\r\n",
            status("HTTP/1.1 200 O\\x01K"),
        ),
        ("HTTP/1.1 000 OK\r\n\r\n", Error::Status(0)),
        ("HTTP/1.1 101 Other\r\n\r\n", Error::Status(101)),
        ("HTTP/1.1 600 Odd\r\n\r\n", Error::Status(600)),
    ];
    for (bytes, error) in cases {
        assert!(read_in_parts(&Method::GET, bytes.as_bytes()).1.is_err());
        assert_eq!(read(&Method::GET, bytes.as_bytes(), 99).1, Err(error));
    }
    let fields = [
        "X Odd: 1",
        "X-Odd : 1",
        " X-Odd: 1",
        "\tX-Odd: 1",
        "X\x01: 1",
        "X\0: 1",
        "X\x7f: 1",
        "X\u{e9}: 1",
        ": 1",
        "X",
        "X\"Y\": 1",
        "X(Y): 1",
        "X: a\0b",
        "X: a\x1bb",
        "X: a\rb",
        "X: a\x7fb",
    ];
    for field in fields {
        let bytes = format!("HTTP/1.1 200 OK\r\n{field}\r\nContent-Length: 0\r\n\r\n");
        let (passed, result) = read_in_parts(&Method::GET, bytes.as_bytes());
        let quoted = field.as_bytes().escape_ascii().to_string();
        assert_eq!((passed, result), (Vec::new(), Err(Error::Field(quoted))));
    }
    let framings = [
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: 4,5",
        "Content-Length: +4",
        "Content-Length: -4",
        "Content-Length: 0x4",
        "Content-Length: 4 4",
        "Content-Length:",
        "Content-Length: 4,",
        "Content-Length: 4;",
        "Content-Length: 18446744073709551616",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: identity",
        "Transfer-Encoding:",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked;x",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
    ];
    for framing in framings {
        let bytes = format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n4\r\nabcd\r\n0\r\n\r\n");
        let (passed, result) = read_in_parts(&Method::GET, bytes.as_bytes());
        assert!(
            matches!(result, Err(Error::Framing(_))),
            "{framing}: {result:?}"
        );
        assert!(passed.is_empty(), "{framing}");
    }
    let old = b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert!(matches!(
        read_in_parts(&Method::GET, old).1,
        Err(Error::Framing(_))
    ));
    let chunks = [
        "\r\n",
        "x\r\n",
        "+4\r\n",
        "-4\r\n",
        " 4\r\n",
        ";x\r\n",
        "4\n",
        "4;a\nb\r\n",
        "4;\0\r\n",
        "4\rx",
        "4\r\nabcde",
        "4\r\nabcd\n",
        "00000000000000004\r\n",
        "10000000000000000\r\n",
        "0\r\nX Odd: 1\r\n\r\n",
        "0\r\nX: 1\n\r\n",
        "0\r\n\n",
    ];
    for chunk in chunks {
        let bytes = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
        let result = read_in_parts(&Method::GET, bytes.as_bytes()).1;
        assert!(result.is_err(), "{chunk:?}: {result:?}");
    }
}

/// Returns how many bytes of an answer are taken that goes on without end.
fn bytes_until_refused(start: &str, repeated: &str) -> (usize, Error) {
    let mut reader = Reader::default();
    let mut checked = Vec::new();
    reader.expect(&Method::GET);
    reader
        .feed(start.as_bytes(), &mut checked)
        .expect("a valid start");
    for round in 0.. {
        checked.clear();
        if let Err(error) = reader.feed(repeated.as_bytes(), &mut checked) {
            return (round * repeated.len(), error);
        }
    }
    unreachable!("an answer without end is refused")
}

#[test]
fn what_is_not_body_has_a_bound() {
    let text = "x".repeat(1_000);
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = format!("{ok}Transfer-Encoding: chunked\r\n\r\n");
    let trailers = format!("{chunked}0\r\n");
    let interim = "HTTP/1.1 102 Processing\r\n\r\n";
    let hints = format!("HTTP/1.1 103 Early Hints\r\nLink: {text}{text}\r\n\r\n");
    let field = format!("X: {text}{text}\r\n");
    let cases = [
        (
            "HTTP/1.1 200 ",
            text.as_str(),
            MAX_HEAD_BYTES,
            Error::HeadTooLarge,
        ),
        (
            "HTTP/1.1 200 OK\r\nX: ",
            &text,
            MAX_HEAD_BYTES,
            Error::HeadTooLarge,
        ),
        (
            "HTTP/1.1 200 OK\r\nX",
            &text,
            MAX_HEAD_BYTES,
            Error::HeadTooLarge,
        ),
        (ok, &field, MAX_HEAD_BYTES, Error::HeadTooLarge),
        (ok, "X: 1\r\n", MAX_FIELDS * 6, Error::TooManyFields),
        (
            "",
            interim,
            MAX_INTERIM_ANSWERS * interim.len(),
            Error::TooManyInterimAnswers,
        ),
        ("", &hints, MAX_HEAD_BYTES, Error::HeadTooLarge),
        (&chunked, "0", 16, Error::Chunk),
        (
            &format!("{chunked}4"),
            " ",
            MAX_CHUNK_LINE_BYTES,
            Error::Chunk,
        ),
        (
            &format!("{chunked}4;"),
            &text,
            MAX_CHUNK_LINE_BYTES,
            Error::Chunk,
        ),
        (&trailers, &text, MAX_TRAILER_BYTES, Error::TrailersTooLarge),
        (
            &trailers,
            &field,
            MAX_TRAILER_BYTES,
            Error::TrailersTooLarge,
        ),
        (&trailers, "X: 1\r\n", MAX_FIELDS * 6, Error::TooManyFields),
    ];
    for (start, repeated, bound, expected) in cases {
        let (bytes, error) = bytes_until_refused(start, repeated);
        assert_eq!(error, expected, "{start:?}");
        assert!(bytes <= bound, "{start:?}: {bytes} bytes of {bound}");
    }
}

#[test]
fn a_connection_with_a_refused_or_unfinished_answer_is_of_no_use() {
    let mut reader = Reader::default();
    let mut checked = Vec::new();
    assert!(reader.is_idle());
    assert_eq!(
        reader.feed(b"HTTP/1.1 200 OK\r\n", &mut checked),
        Err(Error::Unexpected)
    );
    assert!(!reader.is_idle());
    reader.expect(&Method::GET);
    assert!(reader.feed(b"HTTP/1.1 200 OK\r\n", &mut checked).is_err());
    let mut reader = Reader::default();
    reader.expect(&Method::GET);
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    assert_eq!(reader.feed(answer, &mut checked), Ok(()));
    assert!(!reader.is_idle());
    reader.expect(&Method::GET);
    assert!(reader.feed(answer, &mut checked).is_err());
}

persimmonbend_check::properties! {
    fn damaged_answers_are_read_alike_in_parts_and_pass_on_only_what_arrived(
        changes: Vec<(usize, u8)>
    ) -> bool {
        let answers = [
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b\r\n\r\nabcd",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x\r\nabcd\r\n0\r\nX-B: 1\r\n\r\n",
            "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabcd",
        ];
        for answer in answers {
            let mut bytes = answer.as_bytes().to_vec();
            for (at, value) in changes.iter().take(2) {
                let place = at % bytes.len();
                bytes[place] = *value;
            }
            let (passed, _) = read_in_parts(&Method::GET, &bytes);
            assert!(passed.len() <= bytes.len());
        }
        true
    }
}
