package cedarrudder.lab.attack;

import static cedarrudder.lab.attack.Attack.of;
import static cedarrudder.lab.attack.ExpectedAnswer.refused;
import static cedarrudder.lab.attack.ExpectedAnswer.served;
import static cedarrudder.lab.attack.ExpectedAnswer.servedOr;

import java.util.List;

/** Attacks with the target and with {@code Host}. */
final class Targets {

    private static final String TARGET = "RFC 9112 3.2";
    private static final int LONG = 20_000;

    private Targets() {}

    static List<Attack> all() {
        Group group = Group.TARGET;
        return List.of(
                of(
                        "no-slash",
                        group,
                        "a target without a slash",
                        RequestTemplates.line("GET api HTTP/1.1"),
                        refused("RFC 9112 3.2.1", 400)),
                of(
                        "no-target",
                        group,
                        "no target",
                        RequestTemplates.line("GET HTTP/1.1"),
                        refused(TARGET, 400)),
                of(
                        "space-in-target",
                        group,
                        "a space in the target",
                        RequestTemplates.line("GET /a b HTTP/1.1"),
                        refused(TARGET, 400)),
                of(
                        "fragment",
                        group,
                        "a fragment, which no target has",
                        RequestTemplates.line("GET /api#x HTTP/1.1"),
                        refused(TARGET, 400)),
                of(
                        "control-in-target",
                        group,
                        "a control character in the target",
                        RequestTemplates.line("GET /a\u0001b HTTP/1.1"),
                        refused(TARGET, 400)),
                of(
                        "carriage-return-in-target",
                        group,
                        "a bare carriage return in the target",
                        RequestTemplates.line("GET /a\rb HTTP/1.1"),
                        refused("RFC 9112 2.2", 400)),
                of(
                        "byte-over-127-in-target",
                        group,
                        "a byte over 127 in the target",
                        RequestTemplates.line("GET /caf\u00e9 HTTP/1.1"),
                        refused(TARGET, 400)),
                of(
                        "percent-and-dots",
                        group,
                        "a path that climbs, in percent signs: not ours to read",
                        RequestTemplates.line("GET /%2e%2e/%00 HTTP/1.1"),
                        servedOr("RFC 9110 7.6", 400)),
                of(
                        "absolute-form",
                        group,
                        "a target with scheme and host, which must be taken",
                        RequestTemplates.line("GET http://service.internal/api?x=1 HTTP/1.1"),
                        served("RFC 9112 3.2.2")),
                of(
                        "absolute-form-of-another-host",
                        group,
                        "a target whose host isn't that of Host",
                        RequestTemplates.line("GET http://other.example/api HTTP/1.1"),
                        servedOr("RFC 9112 3.2.2", 400)),
                of(
                        "absolute-form-of-health",
                        group,
                        "/_health with scheme and host",
                        "GET http://service.internal/_health HTTP/1.1\r\n"
                                + RequestTemplates.HOST
                                + "\r\n\r\n",
                        served("RFC 9112 3.2.2").itself()),
                of(
                        "absolute-form-without-path",
                        group,
                        "a target with a host and no path",
                        RequestTemplates.line("GET http://service.internal HTTP/1.1"),
                        servedOr("RFC 9112 3.2.2", 400)),
                of(
                        "scheme-of-files",
                        group,
                        "a target of another scheme",
                        RequestTemplates.line("GET file:///etc/passwd HTTP/1.1"),
                        refused(TARGET, 400)),
                of(
                        "user-in-target",
                        group,
                        "a target with a user's name",
                        RequestTemplates.line("GET http://a:b@service.internal/api HTTP/1.1"),
                        refused("RFC 9110 4.2.4", 400)),
                of(
                        "authority-form",
                        group,
                        "host and port as the target of a GET",
                        RequestTemplates.line("GET service.internal:80 HTTP/1.1"),
                        refused("RFC 9112 3.2.3", 400)),
                of(
                        "asterisk-form",
                        group,
                        "an asterisk as the target of a GET",
                        RequestTemplates.line("GET * HTTP/1.1"),
                        refused("RFC 9112 3.2.4", 400)),
                of(
                        "options-asterisk",
                        group,
                        "the server's options, which we have none of",
                        RequestTemplates.line("OPTIONS * HTTP/1.1"),
                        refused("RFC 9110 9.3.7", 400, 405, 501)),
                of(
                        "long-target",
                        group,
                        "a target over 16 KiB, then nothing",
                        "GET /" + "x".repeat(LONG),
                        refused("RFC 9112 3", 414)),
                of(
                        "long-target-whole",
                        group,
                        "a whole request with a target over 16 KiB",
                        RequestTemplates.line("GET /" + "x".repeat(LONG) + " HTTP/1.1"),
                        refused("RFC 9112 3", 414)),
                of("no-host", group, "no Host", RequestTemplates.host(), refused(TARGET, 400)),
                of(
                        "two-hosts",
                        group,
                        "two fields Host",
                        RequestTemplates.host("Host: service.internal", "Host: other.example"),
                        refused(TARGET, 400)),
                of(
                        "two-equal-hosts",
                        group,
                        "two equal fields Host",
                        RequestTemplates.host("Host: service.internal", "Host: service.internal"),
                        refused(TARGET, 400)),
                of(
                        "empty-host",
                        group,
                        "an empty Host, which a target without an authority has",
                        RequestTemplates.host("Host:"),
                        servedOr(TARGET, 400)),
                of(
                        "host-with-port",
                        group,
                        "a Host with a port",
                        RequestTemplates.host("Host: service.internal:8080"),
                        served(TARGET)),
                of(
                        "host-of-ipv6",
                        group,
                        "a Host that is an IPv6 address",
                        RequestTemplates.host("Host: [::1]:8080"),
                        served(TARGET)),
                of(
                        "host-with-space",
                        group,
                        "a space within Host",
                        RequestTemplates.host("Host: a b"),
                        refused(TARGET, 400)),
                of(
                        "host-with-slash",
                        group,
                        "a path within Host",
                        RequestTemplates.host("Host: a/b"),
                        refused(TARGET, 400)),
                of(
                        "host-with-user",
                        group,
                        "a user's name within Host",
                        RequestTemplates.host("Host: me@a"),
                        refused(TARGET, 400)),
                of(
                        "host-with-bad-port",
                        group,
                        "a port that is no number",
                        RequestTemplates.host("Host: a:8x"),
                        refused(TARGET, 400)),
                of(
                        "health-without-host",
                        group,
                        "/_health without Host",
                        "GET /_health HTTP/1.1\r\n\r\n",
                        refused(TARGET, 400)),
                of(
                        "health-post-with-body",
                        group,
                        "/_health with a body, which must not be left over",
                        "POST /_health HTTP/1.1\r\n"
                                + RequestTemplates.HOST
                                + "\r\nContent-Length: 4\r\n\r\nGET ",
                        servedOr("RFC 9112 6", 400, 405).itself()));
    }
}
