package cedarrudder.lab.attack;

import static cedarrudder.lab.attack.Attack.of;
import static cedarrudder.lab.attack.ExpectedAnswer.refused;
import static cedarrudder.lab.attack.ExpectedAnswer.served;
import static cedarrudder.lab.attack.ExpectedAnswer.servedAndClosed;
import static cedarrudder.lab.attack.ExpectedAnswer.servedOr;

import java.util.List;

/**
 * Attacks on where a body ends: what two parties may read in two ways hides a request in another.
 */
final class Framing {

    private static final String CODING = "RFC 9112 6.1";
    private static final String LENGTH = "RFC 9112 6.3";
    private static final String CHUNK = "RFC 9112 7.1";
    private static final String HIDDEN = RequestTemplates.HIDDEN;
    private static final int TOO_MUCH = 65_537;

    private Framing() {}

    private static Attack one(String name, String about, String text, ExpectedAnswer owed) {
        return of(name, Group.FRAMING, about, text, owed);
    }

    static List<Attack> all() {
        String last = "0\r\n\r\n";
        String abc = "3\r\nabc\r\n" + last;
        return List.of(
                one(
                        "length-and-chunked",
                        "both lengths, the coding meant (CL.TE)",
                        RequestTemplates.post(
                                last + HIDDEN, "Content-Length: 5", "Transfer-Encoding: chunked"),
                        refused(CODING, 400)),
                one(
                        "chunked-and-length",
                        "both lengths, the number meant (TE.CL)",
                        RequestTemplates.post(
                                "1\r\nZ\r\n" + last + HIDDEN,
                                "Transfer-Encoding: chunked",
                                "Content-Length: 4"),
                        refused(CODING, 400)),
                one(
                        "two-lengths",
                        "two lengths that differ",
                        RequestTemplates.post(
                                "abc" + HIDDEN, "Content-Length: 3", "Content-Length: 300"),
                        refused(LENGTH, 400)),
                one(
                        "two-equal-lengths",
                        "two equal lengths",
                        RequestTemplates.post("abc", "Content-Length: 3", "Content-Length: 3"),
                        servedOr(LENGTH, 400)),
                one(
                        "list-of-lengths",
                        "a list of lengths that differ",
                        RequestTemplates.post("abc" + HIDDEN, "Content-Length: 3, 5"),
                        refused(LENGTH, 400)),
                one(
                        "length-with-sign",
                        "a length with a sign",
                        RequestTemplates.post("abc", "Content-Length: +3"),
                        refused(LENGTH, 400)),
                one(
                        "length-below-zero",
                        "a length below zero",
                        RequestTemplates.post("abc", "Content-Length: -3"),
                        refused(LENGTH, 400)),
                one(
                        "length-in-hex",
                        "a length that is no decimal",
                        RequestTemplates.post("abc", "Content-Length: 0x3"),
                        refused(LENGTH, 400)),
                one(
                        "length-with-space",
                        "a length with a space in it",
                        RequestTemplates.post("abc", "Content-Length: 3 0"),
                        refused(LENGTH, 400)),
                one(
                        "length-empty",
                        "an empty length",
                        RequestTemplates.post("abc" + HIDDEN, "Content-Length:"),
                        refused(LENGTH, 400)),
                one(
                        "length-with-zeros",
                        "a length with zeros in front",
                        RequestTemplates.post("abc", "Content-Length: 0003"),
                        servedOr(LENGTH, 400)),
                one(
                        "length-huge",
                        "a length of 10^15, then nothing",
                        RequestTemplates.post("", "Content-Length: 1000000000000000"),
                        refused("RFC 9110 15.5.14", 413)),
                one(
                        "length-overflows",
                        "a length that overflows a number, then nothing",
                        RequestTemplates.post("", "Content-Length: 18446744073709551619"),
                        refused("RFC 9112 6.3, RFC 9110 15.5.14", 400, 413)),
                one(
                        "length-too-long",
                        "a length over 64 KiB, then nothing",
                        RequestTemplates.post("", "Content-Length: " + TOO_MUCH),
                        refused("RFC 9110 15.5.14", 413)),
                one(
                        "no-length",
                        "a body without a length: it is no body, but a bad request",
                        RequestTemplates.post("abc\r\n\r\n"),
                        new ExpectedAnswer(
                                java.util.Set.of(200, 400, 411),
                                2,
                                false,
                                ExpectedAnswer.End.CLOSED,
                                true,
                                3000,
                                LENGTH)),
                one(
                        "coding-in-http-1.0",
                        "Transfer-Encoding in HTTP/1.0",
                        RequestTemplates.chunked(abc).replace("HTTP/1.1", "HTTP/1.0"),
                        refused(CODING, 400)),
                one(
                        "coding-unknown",
                        "a coding nobody knows, chunked behind it",
                        RequestTemplates.post(abc, "Transfer-Encoding: frob, chunked"),
                        refused(CODING, 400, 501)),
                one(
                        "coding-not-chunked-last",
                        "chunked, and another coding behind it",
                        RequestTemplates.post(abc, "Transfer-Encoding: chunked, gzip"),
                        refused(LENGTH, 400)),
                one(
                        "coding-identity",
                        "a coding that is none any more",
                        RequestTemplates.post(abc, "Transfer-Encoding: identity"),
                        refused(LENGTH, 400, 501)),
                one(
                        "coding-twice",
                        "chunked twice",
                        RequestTemplates.post(abc, "Transfer-Encoding: chunked, chunked"),
                        refused(CODING, 400)),
                one(
                        "coding-in-two-fields",
                        "chunked, and another field with another coding",
                        RequestTemplates.post(
                                abc + HIDDEN,
                                "Transfer-Encoding: chunked",
                                "Transfer-Encoding: identity"),
                        refused(CODING, 400, 501)),
                one(
                        "coding-hidden-by-space",
                        "a space before the coding's colon, and a length",
                        RequestTemplates.post(
                                last + HIDDEN, "Transfer-Encoding : chunked", "Content-Length: 5"),
                        refused("RFC 9112 5.1", 400)),
                one(
                        "coding-hidden-by-tab",
                        "a vertical tab before chunked, and a length",
                        RequestTemplates.post(
                                last + HIDDEN,
                                "Transfer-Encoding: \u000bchunked",
                                "Content-Length: 5"),
                        refused("RFC 9110 5.5", 400)),
                one(
                        "coding-hidden-by-fold",
                        "chunked in a folded line, and a length",
                        RequestTemplates.post(
                                last + HIDDEN,
                                "Transfer-Encoding:",
                                " chunked",
                                "Content-Length: 5"),
                        refused("RFC 9112 5.2", 400)),
                one(
                        "coding-misspelt",
                        "a coding that only looks like chunked, and a length",
                        RequestTemplates.post(
                                last + HIDDEN, "Transfer-Encoding: xchunked", "Content-Length: 5"),
                        refused(CODING, 400, 501)),
                one(
                        "coding-in-quotes",
                        "chunked in quotes",
                        RequestTemplates.post(abc, "Transfer-Encoding: \"chunked\""),
                        refused(CODING, 400, 501)),
                one(
                        "coding-in-capitals",
                        "chunked in capitals, which is the same",
                        RequestTemplates.post(abc, "Transfer-Encoding: CHUNKED"),
                        served("RFC 9112 7")),
                one(
                        "chunked",
                        "a sound chunked body",
                        RequestTemplates.chunked(abc),
                        served(CHUNK)),
                one(
                        "chunk-extensions",
                        "chunks with extensions, which are dropped",
                        RequestTemplates.chunked("3;a=b;c=\"d\"\r\nabc\r\n0;e\r\n\r\n"),
                        served("RFC 9112 7.1.1")),
                one(
                        "chunk-extension-long",
                        "an extension of 4 KiB",
                        RequestTemplates.chunked("3;a=" + "b".repeat(4096) + "\r\nabc\r\n" + last),
                        refused("RFC 9112 7.1.1: bounded", 400, 413, 431)),
                one(
                        "chunk-extension-with-return",
                        "a bare carriage return in an extension",
                        RequestTemplates.chunked("3;a\rb\r\nabc\r\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-size-ends-bare",
                        "a chunk's size that ends in a bare line feed",
                        RequestTemplates.chunked("3\nabc\r\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-extension-ends-bare",
                        "an extension that ends in a bare line feed (EXT.TERM)",
                        RequestTemplates.chunked("3;\nabc\r\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-ends-bare",
                        "a chunk that ends in a bare line feed",
                        RequestTemplates.chunked("3\r\nabc\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunks-end-bare",
                        "a last chunk that ends in bare line feeds",
                        RequestTemplates.chunked("3\r\nabc\r\n0\n\n"),
                        refused(CHUNK, 400)),
                one(
                        "chunk-ends-in-return",
                        "a chunk's size that ends in a bare carriage return",
                        RequestTemplates.chunked("3\rabc\r\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-without-end",
                        "a chunk longer than its size",
                        RequestTemplates.chunked("3\r\nabcd\r\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-two-bytes-for-an-end",
                        "two other bytes where a chunk's line end belongs",
                        RequestTemplates.chunked("3\r\nabcXX" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-size-with-sign",
                        "a chunk's size with a sign",
                        RequestTemplates.chunked("+3\r\nabc\r\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-size-with-prefix",
                        "a chunk's size with 0x before it",
                        RequestTemplates.chunked("0x3\r\nabc\r\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-size-with-space-before",
                        "a chunk's size with a space before it",
                        RequestTemplates.chunked(" 3\r\nabc\r\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-size-with-words",
                        "a chunk's size with words behind it, and no semicolon",
                        RequestTemplates.chunked("3 abc\r\nabc\r\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-size-empty",
                        "a chunk without a size",
                        RequestTemplates.chunked("\r\nabc\r\n" + last),
                        refused(CHUNK, 400)),
                one(
                        "chunk-size-overflows",
                        "a chunk's size of 2^64 and 3 bytes",
                        RequestTemplates.chunked("10000000000000003\r\nabc\r\n" + last),
                        refused(CHUNK, 400, 413)),
                one(
                        "chunk-size-overflows-an-int",
                        "a chunk's size of 2^32 and 3 bytes",
                        RequestTemplates.chunked("100000003\r\nabc\r\n" + last),
                        refused(CHUNK, 400, 413)),
                one(
                        "chunk-size-with-zeros",
                        "a chunk's size with zeros in front",
                        RequestTemplates.chunked("00000000003\r\nabc\r\n" + last),
                        servedOr(CHUNK, 400)),
                one(
                        "chunk-size-huge",
                        "a chunk of 2 GiB, then nothing",
                        RequestTemplates.chunked("7fffffff\r\n"),
                        refused("RFC 9110 15.5.14", 413)),
                one(
                        "trailer",
                        "a trailer field, which is dropped",
                        RequestTemplates.chunked("3\r\nabc\r\n0\r\nX-A: b\r\n\r\n"),
                        served("RFC 9112 7.1.2")),
                one(
                        "trailer-that-frames",
                        "a length and an id in the trailer, which count for nothing",
                        RequestTemplates.chunked(
                                "3\r\n"
                                        + "abc\r\n"
                                        + "0\r\n"
                                        + "Content-Length: 40\r\n"
                                        + "Req-Id: {id}-hidden\r\n\r\n"),
                        servedOr("RFC 9110 6.5.1", 400)),
                one(
                        "trailer-that-is-a-request",
                        "a request where the trailer belongs",
                        RequestTemplates.chunked("3\r\nabc\r\n0\r\n" + HIDDEN),
                        refused("RFC 9112 7.1.2", 400)),
                one(
                        "trailer-long",
                        "a trailer over 16 KiB",
                        RequestTemplates.chunked(
                                "0\r\n"
                                        + ("X-A: " + "b".repeat(200) + "\r\n").repeat(100)
                                        + "\r\n"),
                        refused("RFC 6585 5", 400, 431)),
                one(
                        "chunks-over-the-bound",
                        "chunks of 64 KiB and a byte in all",
                        RequestTemplates.chunked(
                                ("4000\r\n" + "b".repeat(0x4000) + "\r\n").repeat(4)
                                        + "1\r\nb\r\n"
                                        + last),
                        refused("RFC 9110 15.5.14", 413)),
                one(
                        "body-at-the-bound",
                        "a body of 64 KiB",
                        RequestTemplates.post(
                                "b".repeat(TOO_MUCH - 1), "Content-Length: " + (TOO_MUCH - 1)),
                        served("our protocol: a body holds at most 64 KiB")),
                one(
                        "chunked-and-close",
                        "a chunked body, and the connection's end asked for",
                        RequestTemplates.chunked(abc, "Connection: close"),
                        servedAndClosed("RFC 9112 9.6")));
    }
}
