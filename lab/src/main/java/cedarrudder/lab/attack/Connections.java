package cedarrudder.lab.attack;

import static cedarrudder.lab.attack.Attack.of;
import static cedarrudder.lab.attack.ExpectedAnswer.served;
import static cedarrudder.lab.attack.ExpectedAnswer.servedAndClosed;
import static cedarrudder.lab.attack.ExpectedAnswer.servedOr;

import java.util.List;
import java.util.Set;

/** Attacks with what concerns the connection: {@code Expect}, pipelining, options, upgrades. */
final class Connections {

    private static final String EXPECT = "RFC 9110 10.1.1";
    private static final String OPTIONS = "RFC 9110 7.6.1";
    private static final String PIPELINE = "RFC 9112 9.3.2";

    private Connections() {}

    private static Attack one(String name, String about, String text, ExpectedAnswer owed) {
        return of(name, Group.CONNECTION, about, text, owed);
    }

    private static Attack one(String name, String about, Script script, ExpectedAnswer owed) {
        return new Attack(name, Group.CONNECTION, about, null, script, owed);
    }

    static List<Attack> all() {
        return List.of(
                one(
                        "expect-continue",
                        "waits for a 100 before its body",
                        wire -> {
                            wire.say(
                                    RequestTemplates.post(
                                            "", "Content-Length: 3", "Expect: 100-continue"));
                            if (wire.readInterim()) {
                                wire.say("abc");
                            }
                        },
                        served(EXPECT)),
                one(
                        "expect-continue-chunked",
                        "waits for a 100 before its chunks",
                        wire -> {
                            wire.say(RequestTemplates.chunked("", "Expect: 100-Continue"));
                            if (wire.readInterim()) {
                                wire.say("3\r\nabc\r\n0\r\n\r\n");
                            }
                        },
                        served(EXPECT)),
                one(
                        "expect-continue-and-body",
                        "asks for a 100 and doesn't wait for it",
                        RequestTemplates.post("abc", "Content-Length: 3", "Expect: 100-continue"),
                        served(EXPECT)),
                one(
                        "expect-continue-without-body",
                        "asks for a 100 and has no body",
                        RequestTemplates.get("Expect: 100-continue"),
                        served(EXPECT)),
                one(
                        "expect-continue-in-http-1.0",
                        "asks for a 100 in HTTP/1.0, where there is none",
                        RequestTemplates.post("abc", "Content-Length: 3", "Expect: 100-continue")
                                .replace("HTTP/1.1", "HTTP/1.0"),
                        servedAndClosed(EXPECT)),
                one(
                        "expect-continue-too-long",
                        "asks for a 100 before a body that is too long",
                        RequestTemplates.post(
                                "", "Content-Length: 99999999", "Expect: 100-continue"),
                        ExpectedAnswer.refused(EXPECT, 413, 417)),
                one(
                        "expect-unknown",
                        "expects what nobody knows",
                        RequestTemplates.get("Expect: frob"),
                        servedOr(EXPECT, 417)),
                one(
                        "pipelined",
                        "three requests in one piece: answers come in their order",
                        RequestTemplates.getAs("-1")
                                + RequestTemplates.getAs("-2")
                                + RequestTemplates.getAs("-3"),
                        served(PIPELINE).times(3)),
                one(
                        "pipelined-nonsense",
                        "a request with nonsense behind it",
                        RequestTemplates.get() + "\0\0\0\0",
                        new ExpectedAnswer(
                                Set.of(200, 400),
                                2,
                                false,
                                ExpectedAnswer.End.CLOSED,
                                true,
                                3000,
                                PIPELINE)),
                one(
                        "pipelined-behind-close",
                        "a request behind one that asks for the end",
                        RequestTemplates.get("Connection: close") + RequestTemplates.HIDDEN,
                        servedAndClosed("RFC 9112 9.6")),
                one(
                        "pipelined-health",
                        "a request, /_health and a request",
                        RequestTemplates.getAs("-1")
                                + "GET /_health HTTP/1.1\r\n"
                                + RequestTemplates.HOST
                                + "\r\n\r\n"
                                + RequestTemplates.getAs("-3"),
                        served(PIPELINE).times(3)),
                one(
                        "close",
                        "the connection's end asked for",
                        RequestTemplates.get("Connection: close"),
                        servedAndClosed("RFC 9112 9.6")),
                one(
                        "close-among-others",
                        "the end asked for among other options, in capitals",
                        RequestTemplates.get("Connection: x-a , CLOSE"),
                        servedAndClosed("RFC 9112 9.6")),
                one(
                        "listed-field",
                        "a field that is named as one of this connection alone",
                        RequestTemplates.get("Connection: X-Mark-Dropped", "X-Mark-Dropped: 1"),
                        served(OPTIONS)),
                one(
                        "listed-id",
                        "names Req-Id as one of this connection alone, to strip it",
                        RequestTemplates.get("Connection: Req-Id, Host, Req-Deadline-Ms"),
                        servedOr(OPTIONS, 400)),
                one(
                        "fields-of-a-connection",
                        "fields that concern this connection alone",
                        RequestTemplates.get(
                                "Keep-Alive: timeout=5",
                                "TE: trailers",
                                "Proxy-Connection: keep-alive"),
                        served(OPTIONS)),
                one(
                        "upgrade-to-http2",
                        "an upgrade to HTTP/2 asked for, which may be ignored",
                        RequestTemplates.get(
                                "Connection: Upgrade, HTTP2-Settings",
                                "Upgrade: h2c",
                                "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA"),
                        served("RFC 9110 7.8")),
                one(
                        "upgrade-to-websocket",
                        "an upgrade to WebSocket asked for, with bytes behind it",
                        RequestTemplates.get(
                                        "Connection: Upgrade",
                                        "Upgrade: websocket",
                                        "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==",
                                        "Sec-WebSocket-Version: 13")
                                + RequestTemplates.getAs("-2"),
                        served("RFC 9110 7.8").times(2)));
    }
}
