//! Parsing of heads and bodies, and rejection of ambiguous framing.

use bytes::BytesMut;
use percent_encoding::percent_decode_str;
use quickcheck::{Gen, QuickCheck, TestResult};
use tarragonhill_h1::{
    Malformed,
    body::{Decoder, Framing, LAST_CHUNK, Step, chunk},
    head::{Request, Response},
    target::Target,
};

fn parse_request(text: &str) -> Result<Option<(Request, usize)>, Malformed> {
    Request::parse(text.as_bytes())
}

fn framing(fields: &str) -> Result<Framing, Malformed> {
    let (head, _) =
        parse_request(&format!("POST /a HTTP/1.1\r\nHost: a\r\n{fields}\r\n"))?.expect("complete");
    head.framing()
}

/// Decodes a body that arrives in pieces; `None` if it is truncated.
fn decode(framing: Framing, pieces: &[&[u8]]) -> Result<Option<Vec<u8>>, Malformed> {
    let mut decoder = Decoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        while let Step::Data(data) = decoder.step(&mut buffer)? {
            body.extend_from_slice(&data);
        }
    }
    Ok(decoder.ends_at_close().then_some(body))
}

#[test]
fn incomplete_head_is_not_returned() {
    assert_eq!(parse_request("GET / HTTP/1.1\r\nHost: a\r\n"), Ok(None));
    let (head, length) =
        parse_request("GET /p?q HTTP/1.1\r\nHost: a\r\n\r\nnext").expect("valid").expect("complete");
    assert_eq!((head.path(), head.target.as_str(), length), ("/p", "/p?q", 30));
}

#[test]
fn ambiguous_framing_is_rejected() {
    assert_eq!(framing("Content-Length: 4\r\n"), Ok(Framing::Length(4)));
    assert_eq!(framing("Content-Length: 4\r\nContent-Length: 4\r\n"), Ok(Framing::Length(4)));
    assert_eq!(framing("Transfer-Encoding: Chunked\r\n"), Ok(Framing::Chunked));
    assert_eq!(framing(""), Ok(Framing::Empty));
    for fields in [
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 0x4\r\n",
        "Content-Length: \r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
    ] {
        assert!(framing(fields).is_err(), "{fields}");
    }
    assert!(parse_request("POST /a HTTP/1.1\r\nHost : a\r\n\r\n").is_err());
}

#[test]
fn malformed_chunked_body_is_rejected() {
    for body in ["4\nbody", "zz\r\n", "\r\n", "4\r\nbodyX\r\n", "+4\r\nbody\r\n", "-1\r\n", " 4\r\nbody\r\n"]
    {
        assert!(decode(Framing::Chunked, &[body.as_bytes()]).is_err(), "{body:?}");
    }
    assert_eq!(
        decode(Framing::Chunked, &[b"4 ;x=y\r\nbody\r\n0\r\nA: b\r\n\r\n"]),
        Ok(Some(b"body".to_vec()))
    );
}

/// The host of a crashed endpoint closes its connections with a FIN. Undetected, the truncated
/// response would be relayed as a complete one.
#[test]
fn truncated_body_is_detected() {
    assert_eq!(decode(Framing::Length(5), &[b"four"]), Ok(None));
    assert_eq!(decode(Framing::Chunked, &[b"4\r\nbody\r\n"]), Ok(None));
    assert_eq!(decode(Framing::Chunked, &[b"4\r\nbody\r\n0\r\n"]), Ok(None));
    assert_eq!(decode(Framing::UntilClose, &[b"any"]), Ok(Some(b"any".to_vec())));
}

#[test]
fn chunked_body_can_be_split_at_any_byte() {
    fn property(parts: Vec<Vec<u8>>, cuts: Vec<usize>) -> TestResult {
        let mut bytes: Vec<u8> =
            parts.iter().filter(|part| !part.is_empty()).flat_map(|part| chunk(part)).collect();
        bytes.extend_from_slice(LAST_CHUNK);
        let mut pieces: Vec<&[u8]> = Vec::new();
        let mut left: &[u8] = &bytes;
        for cut in cuts {
            let (piece, rest) = left.split_at(cut % (left.len() + 1));
            pieces.push(piece);
            left = rest;
        }
        pieces.push(left);
        TestResult::from_bool(decode(Framing::Chunked, &pieces) == Ok(Some(parts.concat())))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 5))
        .tests(300)
        .quickcheck(property as fn(Vec<Vec<u8>>, Vec<usize>) -> TestResult);
}

#[test]
fn bytes_after_the_body_stay_in_the_buffer() {
    let mut buffer = BytesMut::from(&b"bodynext"[..]);
    let mut decoder = Decoder::new(Framing::Length(4));
    assert_eq!(decoder.step(&mut buffer), Ok(Step::Data(b"body".as_slice().to_vec().into())));
    assert_eq!(decoder.step(&mut buffer), Ok(Step::End));
    assert_eq!(&buffer[..], b"next");
}

#[test]
fn response_framing_depends_on_status_and_method() {
    let head = |text: &str| Response::parse(text.as_bytes()).expect("valid").expect("complete").0;
    let until_close = head("HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(until_close.framing("GET"), Ok(Framing::UntilClose));
    assert_eq!(until_close.framing("HEAD"), Ok(Framing::Empty));
    assert_eq!(head("HTTP/1.1 204 No\r\n\r\n").framing("GET"), Ok(Framing::Empty));
    assert!(!head("HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\n").keeps_alive());
    assert!(!head("HTTP/1.0 200 OK\r\n\r\n").keeps_alive());
}

#[test]
fn hop_by_hop_fields_are_removed_with_those_listed_in_connection() {
    let text =
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Own\r\nX-Own: 1\r\nTE: x\r\nX-Other: 2\r\n\r\n";
    let (mut head, _) = parse_request(text).expect("valid").expect("complete");
    head.fields.strip_hop_by_hop();
    let names: Vec<&str> = head.fields.iter().map(|field| field.name).collect();
    assert_eq!(names, ["Host", "X-Other"]);
}

/// Guards against a head within its limit that is refused for the number of its fields, and against memory that grows with it.
#[test]
fn a_head_of_many_short_fields_is_read_and_takes_little_memory() {
    let text = format!("GET / HTTP/1.1\r\nHost: a\r\n{}\r\n", "b:\r\n".repeat(4_000));
    let (head, length) = parse_request(&text).expect("valid").expect("complete");
    assert_eq!((length, head.fields.iter().count(), head.fields.count("B")), (text.len(), 4_001, 4_000));
    assert!(head.memory() < 4 * text.len(), "{} for {}", head.memory(), text.len());
}

/// Guards against time that grows with the fields and with the names that `Connection` lists.
#[test]
fn fields_listed_many_times_are_removed_in_one_pass() {
    let text = format!(
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: {}\r\n{}\r\n",
        "b,".repeat(30_000),
        "b:\r\n".repeat(30_000)
    );
    let (mut head, _) = parse_request(&text).expect("valid").expect("complete");
    head.fields.strip_hop_by_hop();
    assert_eq!(head.fields.iter().map(|field| field.name).collect::<Vec<_>>(), ["Host"]);
}

/// Guards against small chunks whose framing is kept, or whose data is lost, when a body is read in bulk.
#[test]
fn a_body_in_bulk_is_the_same_as_piece_by_piece() {
    fn property(parts: Vec<Vec<u8>>, cut: usize) -> bool {
        let parts: Vec<Vec<u8>> = parts.into_iter().filter(|part| !part.is_empty()).collect();
        let mut encoded: Vec<u8> = parts.iter().flat_map(|part| chunk(part)).collect();
        encoded.extend_from_slice(b"0\r\n\r\nnext");
        let cut = cut % encoded.len();
        let (mut decoder, mut buffer, mut body) =
            (Decoder::new(Framing::Chunked), BytesMut::new(), Vec::new());
        for piece in [&encoded[..cut], &encoded[cut..]] {
            buffer.extend_from_slice(piece);
            let kept = decoder.drain(&mut buffer, |data| {
                body.extend_from_slice(data);
                Ok::<(), Malformed>(())
            });
            kept.expect("valid");
        }
        decoder.is_done() && body == parts.concat() && &buffer[..] == b"next"
    }
    QuickCheck::new().quickcheck(property as fn(Vec<Vec<u8>>, usize) -> bool);
}

/// Guards against names that end a parameter, a segment or the request line.
#[test]
fn any_byte_of_a_name_stays_within_its_part_of_the_target() {
    fn holds(name: Vec<u8>) -> bool {
        let target = Target::new("/p").segment(&name).parameter("q", &name).parameter("r", "1");
        let head = Request::new("GET", target).encode();
        let Ok(Some((parsed, _))) = Request::parse(&head) else { return false };
        let segment = parsed.path().strip_prefix("/p/").unwrap_or_default();
        let is_decoded = percent_decode_str(segment).eq(name) && !segment.contains(['/', '+']);
        is_decoded && parsed.query() == format!("q={segment}&r=1")
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 1)).quickcheck(holds as fn(Vec<u8>) -> bool);
    let target = Target::new("/v1/rows-get").parameter("from", "a&b+c#d%e f/\u{e9}");
    assert_eq!(String::from(target), "/v1/rows-get?from=a%26b%2Bc%23d%25e%20f%2F%C3%A9");
}

/// Guards against bodies that end where another recipient would not see their end.
#[test]
fn a_response_with_chunks_in_http_1_0_is_malformed() {
    for (minor, is_valid) in [(0, false), (1, true)] {
        let head = format!("HTTP/1.{minor} 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let (head, _) = Response::parse(head.as_bytes()).expect("valid").expect("complete");
        assert_eq!(head.framing("GET").is_ok(), is_valid);
    }
}

/// Guards against lines between chunks that are no HTTP.
#[test]
fn odd_lines_of_a_chunked_body_are_malformed() {
    let valid = ["1\r\na\r\n0\r\n\r\n", "1;x=\"y\"\r\na\r\n0\r\nX-Sum:\t1\r\nY:\r\n\r\n"];
    let odd = [
        "1;x\x01\r\na\r\n0\r\n\r\n",
        "1\r\na\r\n0\r\nX Y: 1\r\n\r\n",
        "1\r\na\r\n0\r\n: 1\r\n\r\n",
        "1\r\na\r\n0\r\nX\r\n\r\n",
    ];
    for body in valid {
        assert_eq!(decode(Framing::Chunked, &[body.as_bytes()]), Ok(Some(b"a".to_vec())), "{body:?}");
    }
    for body in odd {
        assert!(decode(Framing::Chunked, &[body.as_bytes()]).is_err(), "{body:?}");
    }
}
