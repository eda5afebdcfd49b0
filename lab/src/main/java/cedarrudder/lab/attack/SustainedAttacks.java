package cedarrudder.lab.attack;

import static cedarrudder.lab.attack.Attack.of;
import static cedarrudder.lab.attack.ExpectedAnswer.closed;
import static cedarrudder.lab.attack.ExpectedAnswer.refused;
import static cedarrudder.lab.attack.ExpectedAnswer.served;

import java.io.IOException;
import java.util.List;
import java.util.Set;

/** Attacks that go on for longer. */
final class SustainedAttacks {

    private static final String PATIENCE = "our bound: 2.5 s for a request";
    private static final String UNREAD = "our bound: 10 s for an answer";
    private static final String HEAD_BOUND = "RFC 6585 5: 16 KiB";
    private static final String BODY_BOUND = "RFC 9110 15.5.14: 64 KiB";
    private static final String GONE = "our protocol: who closes has gone away";

    /** In the ids of requests whose answers are not read. */
    static final String UNREAD_ID = "-unread-";

    private static final int GAP_MILLIS = 25;
    private static final int DRIPS = 1000;
    private static final long POURED = 64L * 1024 * 1024;
    private static final int UNREAD_BY = 12_000;
    private static final int UNREAD_REQUESTS = 2000;
    private static final int RESENDS = 200;

    private SustainedAttacks() {}

    static List<Attack> all() {
        return List.of(
                of("silent", "connects and says nothing", wire -> {}, closed(PATIENCE, 408)),
                of(
                        "half-line",
                        "half a first line, then nothing",
                        wire -> wire.say("GET /a"),
                        closed(PATIENCE, 408)),
                of(
                        "half-head",
                        "half a head, then nothing",
                        wire -> wire.say(half(RequestTemplates.get())),
                        closed(PATIENCE, 408)),
                of(
                        "half-body",
                        "half a body, then nothing",
                        wire -> wire.say(RequestTemplates.post("abc", "Content-Length: 300")),
                        closed(PATIENCE, 408)),
                of(
                        "half-chunks",
                        "chunks without the last one, then nothing",
                        wire -> wire.say(RequestTemplates.chunked("3\r\nabc\r\n")),
                        closed(PATIENCE, 408)),
                of(
                        "half-behind-a-whole-one",
                        "a request and half of the next, then nothing",
                        wire ->
                                wire.say(
                                        RequestTemplates.get()
                                                + half(RequestTemplates.getAs("-hidden"))),
                        new ExpectedAnswer(
                                Set.of(200),
                                1,
                                false,
                                ExpectedAnswer.End.CLOSED,
                                true,
                                3000,
                                PATIENCE)),
                of(
                        "slow-head",
                        "a head without an end, a byte each 25 ms",
                        wire ->
                                wire.drip(
                                        "GET /api HTTP/1.1\r\nX-A: " + "b".repeat(DRIPS),
                                        GAP_MILLIS),
                        closed(PATIENCE, 408)),
                of(
                        "slow-body",
                        "a body without an end, a byte each 25 ms",
                        wire -> {
                            wire.say(RequestTemplates.post("", "Content-Length: " + DRIPS));
                            wire.drip("b".repeat(DRIPS - 1), GAP_MILLIS);
                        },
                        closed(PATIENCE, 408)),
                of(
                        "slow-chunks",
                        "chunks without an end, a byte each 25 ms",
                        wire -> {
                            wire.say(RequestTemplates.chunked(""));
                            wire.drip("1\r\nb\r\n".repeat(DRIPS), GAP_MILLIS);
                        },
                        closed(PATIENCE, 408)),
                of(
                        "slow-but-whole",
                        "a sound request a byte at a time",
                        wire -> wire.drip(RequestTemplates.post("abc", "Content-Length: 3"), 0),
                        served("RFC 9112 2.2")),
                of(
                        "endless-line",
                        "a first line without an end, at full speed",
                        wire -> {
                            wire.say("GET /");
                            wire.pour("x", POURED);
                        },
                        refused("RFC 9112 3", 414)),
                of(
                        "endless-head",
                        "fields without an end, at full speed",
                        wire -> {
                            wire.say("GET /api HTTP/1.1\r\n");
                            wire.pour("X-A: b\r\n", POURED);
                        },
                        refused(HEAD_BOUND, 431)),
                of(
                        "endless-blank-lines",
                        "empty lines without an end, at full speed",
                        wire -> wire.pour("\r\n", POURED),
                        refused("RFC 9112 2.2", 400)),
                of(
                        "endless-chunks",
                        "chunks of a byte without an end, at full speed",
                        wire -> {
                            wire.say(RequestTemplates.chunked(""));
                            wire.pour("1\r\nb\r\n", POURED);
                        },
                        refused(BODY_BOUND, 413)),
                of(
                        "endless-chunk-extensions",
                        "chunks of a byte with long extensions, at full speed",
                        wire -> {
                            wire.say(RequestTemplates.chunked(""));
                            wire.pour("1;" + "a".repeat(200) + "\r\nb\r\n", POURED);
                        },
                        refused(BODY_BOUND, 400, 413)),
                of(
                        "endless-chunk-size",
                        "a chunk's size without an end, at full speed",
                        wire -> {
                            wire.say(RequestTemplates.chunked(""));
                            wire.pour("0", POURED);
                        },
                        refused("RFC 9112 7.1", 400, 431)),
                of(
                        "endless-trailer",
                        "a trailer without an end, at full speed",
                        wire -> {
                            wire.say(RequestTemplates.chunked("0\r\n"));
                            wire.pour("X-A: b\r\n", POURED);
                        },
                        refused(HEAD_BOUND, 431)),
                of(
                        "close-at-every-point",
                        "a request cut at every byte, and the connection closed",
                        wire -> cutAtEveryPoint(wire, false),
                        served(GONE)),
                of(
                        "reset-at-every-point",
                        "a request cut at every byte, and the connection reset",
                        wire -> cutAtEveryPoint(wire, true),
                        served(GONE)),
                of(
                        "id-twice-at-once",
                        "the same id on two connections at once: one is served",
                        SustainedAttacks::twiceAtOnce,
                        new ExpectedAnswer(
                                Set.of(200, 400),
                                2,
                                false,
                                ExpectedAnswer.End.EITHER,
                                true,
                                3000,
                                "our protocol: every request gets a new id")),
                of(
                        "resends",
                        "the same request 200 times in one piece: each is answered, in turn",
                        wire -> wire.say(RequestTemplates.get().repeat(RESENDS)),
                        served("RFC 9112 9.3.2").times(RESENDS)),
                of(
                        "answers-unread",
                        "2,000 requests whose answers of 60 KB are never read",
                        SustainedAttacks::unread,
                        new ExpectedAnswer(
                                Set.of(),
                                0,
                                true,
                                ExpectedAnswer.End.CLOSED,
                                true,
                                UNREAD_BY,
                                UNREAD)));
    }

    private static String half(String request) {
        return request.substring(0, request.length() / 2);
    }

    /** Nothing of them may reach a node; the one that is sent whole is served. */
    private static void cutAtEveryPoint(Wire wire, boolean reset) throws IOException {
        String text = wire.fill(RequestTemplates.getAs("-hidden"));
        for (int i = 1; i < text.length(); i++) {
            try (Wire cut = wire.another(false)) {
                cut.say(text.substring(0, i));
                if (reset) {
                    cut.reset();
                }
            }
        }
        wire.say(RequestTemplates.get());
    }

    private static void twiceAtOnce(Wire wire) throws IOException {
        try (Wire other = wire.another(false)) {
            String slow = RequestTemplates.get().replace("/api", "/slow");
            wire.say(slow);
            other.say(slow);
            Answer here = wire.read();
            Answer there = other.read();
            wire.take(other);
            if (here != null && there != null && here.status() == there.status()) {
                wire.wrong("both got " + here.status());
            }
        }
    }

    /** The other side may make ready no more than sockets hold, and must not wait for ever. */
    private static void unread(Wire wire) throws IOException, InterruptedException {
        try (Wire deaf = wire.another(true)) {
            for (int i = 0; i < UNREAD_REQUESTS; i++) {
                deaf.say(RequestTemplates.getAs(UNREAD_ID + i).replace("/api", "/large"));
            }
            if (!deaf.ends(UNREAD_BY, GAP_MILLIS)) {
                deaf.wrong("not closed");
            }
            wire.follow(deaf);
        }
    }
}
