package cedarrudder.lab.attack;

import static cedarrudder.lab.attack.Attack.of;
import static cedarrudder.lab.attack.ExpectedAnswer.refused;
import static cedarrudder.lab.attack.ExpectedAnswer.served;
import static cedarrudder.lab.attack.ExpectedAnswer.servedAndClosed;
import static cedarrudder.lab.attack.ExpectedAnswer.servedOr;

import java.util.List;

/**
 * Attacks with what stands before the fields: bytes that are no request, methods, versions, blank
 * lines.
 */
final class StartLines {

    private static final String LINE = "RFC 9112 3";
    private static final String BLANK = "RFC 9112 2.2";
    private static final String METHOD = "RFC 9110 9.1";
    private static final String VERSION = "RFC 9110 2.5, 15.6.6";
    private static final String AT_ONCE = "our bound: what can't become a request is answered";

    private StartLines() {}

    static List<Attack> all() {
        Group group = Group.START;
        return List.of(
                of(
                        "tls-hello",
                        group,
                        "the first bytes of a TLS handshake, then nothing",
                        "\u0016\u0003\u0001\u0002\0\u0001\0\u0001\u00fc\u0003\u0003 abcdefgh",
                        refused(AT_ONCE, 400)),
                of(
                        "tls-hello-with-a-line-end",
                        group,
                        "a TLS handshake whose random bytes hold a line end",
                        "\u0016\u0003\u0001\u0002\0\u0001\0\u0001\u00fc\u0003\u0003\r\nabcdefgh",
                        refused(AT_ONCE, 400)),
                of(
                        "http2-preface",
                        group,
                        "the preface of HTTP/2 by prior knowledge",
                        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\u0004\0\0\0\0\0",
                        refused("RFC 9113 3.4, RFC 9110 15.6.6", 400, 505)),
                of(
                        "ssh-banner",
                        group,
                        "the banner of another protocol, then nothing",
                        "SSH-2.0-OpenSSH_9.6\r\n",
                        refused(AT_ONCE, 400)),
                of(
                        "smtp-hello",
                        group,
                        "a line of another protocol, then nothing",
                        "EHLO mail.example\r\n",
                        refused(AT_ONCE, 400)),
                of(
                        "redis-ping",
                        group,
                        "an array of Redis, then nothing",
                        "*1\r\n$4\r\nPING\r\n",
                        refused(AT_ONCE, 400)),
                of(
                        "proxy-protocol-1",
                        group,
                        "the line of the PROXY protocol, version 1, before a request",
                        "PROXY TCP4 127.0.0.1 127.0.0.1 40000 80\r\n" + RequestTemplates.get(),
                        refused(LINE, 400)),
                of(
                        "proxy-protocol-2",
                        group,
                        "the block of the PROXY protocol, version 2",
                        "\r\n\r\n\0\r\nQUIT\n!\u0011\0\f",
                        refused(AT_ONCE, 400)),
                of(
                        "zero-bytes",
                        group,
                        "bytes of zero, then nothing",
                        "\0\0\0\0\0\0\0\0",
                        refused(AT_ONCE, 400)),
                of(
                        "http-0.9",
                        group,
                        "a request of HTTP/0.9: no version",
                        "GET /api\r\n",
                        refused(LINE, 400, 505)),
                of(
                        "blank-line-before",
                        group,
                        "one empty line before a request",
                        "\r\n" + RequestTemplates.get(),
                        served(BLANK)),
                of(
                        "bare-blank-line-before",
                        group,
                        "one bare line feed before a request",
                        "\n" + RequestTemplates.get(),
                        servedOr(BLANK, 400)),
                of(
                        "blank-lines-without-end",
                        group,
                        "a thousand empty lines, then nothing",
                        "\r\n".repeat(1000),
                        refused(AT_ONCE, 400)),
                of(
                        "space-before-method",
                        group,
                        "a space before the method",
                        " " + RequestTemplates.get(),
                        refused(LINE, 400)),
                of(
                        "bare-line-feeds",
                        group,
                        "a head whose lines end in bare line feeds",
                        RequestTemplates.get().replace("\r\n", "\n"),
                        servedOr(BLANK, 400)),
                of(
                        "bare-carriage-returns",
                        group,
                        "a head whose lines end in bare carriage returns",
                        RequestTemplates.get().replace("\r\n", "\r"),
                        refused(BLANK, 400)),
                of(
                        "space-line-after-start",
                        group,
                        "white space between the first line and the fields",
                        RequestTemplates.get().replaceFirst("\r\n", "\r\n \r\n"),
                        refused(BLANK, 400)),
                of(
                        "two-spaces",
                        group,
                        "two spaces between method and target",
                        RequestTemplates.line("GET  /api HTTP/1.1"),
                        refused(LINE, 400)),
                of(
                        "tab-between",
                        group,
                        "a tab between method and target",
                        RequestTemplates.line("GET\t/api HTTP/1.1"),
                        refused(LINE, 400)),
                of(
                        "space-after-version",
                        group,
                        "a space behind the version",
                        RequestTemplates.line("GET /api HTTP/1.1 "),
                        refused(LINE, 400)),
                of(
                        "no-version",
                        group,
                        "a first line without a version, fields behind it",
                        RequestTemplates.line("GET /api"),
                        refused(LINE, 400, 505)),
                of(
                        "method-in-lower-case",
                        group,
                        "a method in lower case, which is another method",
                        RequestTemplates.line("get /api HTTP/1.1"),
                        refused(METHOD, 400, 405, 501)),
                of(
                        "unknown-method",
                        group,
                        "a method nobody knows",
                        RequestTemplates.line("FROB /api HTTP/1.1"),
                        refused(METHOD, 400, 405, 501)),
                of(
                        "bad-method",
                        group,
                        "a method with a character that none may have",
                        RequestTemplates.line("GE(T /api HTTP/1.1"),
                        refused(METHOD, 400)),
                of(
                        "endless-method",
                        group,
                        "200 letters and no space, then nothing",
                        "A".repeat(200),
                        refused(LINE, 400, 501)),
                of(
                        "connect",
                        group,
                        "a tunnel asked for",
                        RequestTemplates.line("CONNECT service.internal:80 HTTP/1.1"),
                        refused("RFC 9110 9.3.6", 400, 405, 501)),
                of(
                        "trace",
                        group,
                        "a loop-back of the request asked for",
                        RequestTemplates.line("TRACE /api HTTP/1.1"),
                        refused("RFC 9110 9.3.8", 400, 405, 501)),
                new Attack(
                        "head-of-an-rpc",
                        group,
                        "HEAD, which no class has, and whose answer has no body",
                        null,
                        wire -> {
                            wire.expectNoBodies();
                            wire.say(RequestTemplates.line("HEAD /api HTTP/1.1"));
                        },
                        refused("RFC 9110 9.3.2", 400, 405, 501)),
                new Attack(
                        "head-of-health",
                        group,
                        "HEAD of /_health: its answer's body would be taken for "
                                + "the next answer",
                        null,
                        wire -> {
                            wire.expectNoBodies();
                            wire.say(
                                    "HEAD /_health HTTP/1.1\r\n"
                                            + RequestTemplates.HOST
                                            + "\r\n\r\n");
                        },
                        served("RFC 9110 9.3.2").itself()),
                of(
                        "http-2.0",
                        group,
                        "a major version that is not ours",
                        RequestTemplates.line("GET /api HTTP/2.0"),
                        refused(VERSION, 505)),
                of(
                        "http-1.2",
                        group,
                        "a minor version that is not ours: to be served as the one we know",
                        RequestTemplates.line("GET /api HTTP/1.2"),
                        servedOr(VERSION, 505)),
                of(
                        "http-in-lower-case",
                        group,
                        "a version in lower case",
                        RequestTemplates.line("GET /api http/1.1"),
                        refused("RFC 9112 2.3", 400, 505)),
                of(
                        "version-with-more-digits",
                        group,
                        "a version that is none",
                        RequestTemplates.line("GET /api HTTP/1.10"),
                        refused("RFC 9112 2.3", 400, 505)),
                of(
                        "http-1.0",
                        group,
                        "HTTP/1.0 without Host, which then needs none",
                        RequestTemplates.request(
                                "GET /api HTTP/1.0", null, RequestTemplates.SAFE, ""),
                        servedAndClosed("RFC 9112 3.2, 9.3")));
    }
}
