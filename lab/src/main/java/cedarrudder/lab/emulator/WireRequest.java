package cedarrudder.lab.emulator;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.lab.model.Caller;
import cedarrudder.lab.model.ClientAttempt;
import cedarrudder.lab.model.HashRandom;
import cedarrudder.lab.model.Ledger;
import cedarrudder.lab.model.Proxy;
import cedarrudder.lab.model.Run;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.trace.Trace.Final;
import cedarrudder.protocol.HeaderFields;
import cedarrudder.protocol.HttpMessage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

/** A client's try at a proxy on a socket: its bytes, its attempts at nodes and its end. */
final class WireRequest implements Proxy.Pending {

    private static final String PATH = "/api/messages";
    private static final int BODY = 120;

    private final Emulation emulation;
    private final Run run;
    private final EmulatedProxy proxy;
    private final Caller caller;
    private final ClientAttempt what;
    private final Scenario.RequestKind kind;
    private final String id;
    private final byte[] body;
    private final long startedAt;
    private final List<WireJob> jobs = new ArrayList<>();

    /** Its number in the trace; -1 before it is on the wire. */
    private long request = -1;

    /** The connection that it is on; null before and after. */
    private ClientConnections.Link link;

    private boolean left;
    private boolean ended;

    /** Attempts out at nodes. */
    int out;

    WireRequest(Emulation emulation, EmulatedProxy proxy, Caller caller, ClientAttempt what) {
        this.emulation = emulation;
        this.run = emulation.run();
        this.proxy = proxy;
        this.caller = caller;
        this.what = what;
        this.kind = run.scenario.classes().get(what.classIndex());
        // Of its own: two attempts of one request at one node call the next tier with the same
        // seed.
        this.id = HexFormat.of().toHexDigits(HashRandom.of(what.seed(), emulation.nextId()));
        this.body =
                kind.effect() == Idempotency.SAFE
                        ? new byte[0]
                        : (id + "m".repeat(BODY)).getBytes(StandardCharsets.ISO_8859_1);
        this.startedAt = emulation.now();
    }

    String id() {
        return id;
    }

    ClientAttempt what() {
        return what;
    }

    long request() {
        return request;
    }

    EmulatedProxy proxy() {
        return proxy;
    }

    List<WireJob> jobs() {
        return jobs;
    }

    // ---- on its way ----

    /** Goes to the proxy, at once where that stands beside the client. */
    void send() {
        emulation.after(what.local() ? 0 : run.network.clients(), this::arrive);
    }

    private void arrive() {
        if (left) {
            return;
        }
        if (what.deadline() <= emulation.now()) {
            tell(Caller.End.FAILED, 0, null);
        } else {
            proxy.calls().send(this);
        }
    }

    /** No connection came up. */
    void unreachable() {
        tell(Caller.End.UNREACHABLE, 0, null);
    }

    boolean wanted() {
        return !left;
    }

    /** It goes out on a connection; these are its bytes. */
    ByteBuf bytes(ClientConnections.Link on) {
        link = on;
        long now = emulation.now();
        request = run.nextRequest();
        counts().requests++;
        emulation.onTheWire(this);
        run.trace.taken(
                now,
                proxy.number,
                request,
                kind.effect(),
                kind.keyScope(),
                kind.repeatWindow(),
                what.deadline());
        StringBuilder head =
                new StringBuilder(256)
                        .append(method())
                        .append(' ')
                        .append(PATH)
                        .append(" HTTP/1.1\r\nHost: service.internal\r\nReq-Id: ")
                        .append(id)
                        .append("\r\nReq-Kind: ")
                        .append(kind.name())
                        .append("\r\nReq-Deadline-Ms: ")
                        .append(Math.max(1, (what.deadline() - now) / 1_000_000));
        if (!run.scenario.tenants().isEmpty()) {
            head.append("\r\nReq-Owner: ").append(run.scenario.tenants().get(what.tenant()).name());
        }
        if (what.repeat()) {
            head.append("\r\nReq-Retry: 1");
        }
        if (what.hint() > 0) {
            head.append("\r\nReq-Cost: ").append(Math.max(1, what.hint() / 1000));
        }
        if (kind.effect() == Idempotency.KEYED) {
            head.append("\r\nIdempotency-Key: ").append(key());
        }
        if (kind.effect() != Idempotency.SAFE) {
            head.append("\r\nContent-Length: ").append(body.length);
        }
        byte[] start = head.append("\r\n\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        return Unpooled.wrappedBuffer(start, body);
    }

    private String method() {
        return kind.effect() == Idempotency.SAFE ? "GET" : "POST";
    }

    private String key() {
        return HexFormat.of().toHexDigits(what.key()) + HexFormat.of().toHexDigits(~what.key());
    }

    private Ledger.OfTier counts() {
        return run.ledger.tiers[proxy.tier];
    }

    /**
     * What is wrong with a request that a proxy forwarded as this one; null where it is unchanged.
     */
    String changedIn(HttpMessage request) {
        HeaderFields fields = request.head().fields();
        String expected = kind.effect() == Idempotency.KEYED ? key() : null;
        if (!request.head().method().equals(method()) || !request.head().target().equals(PATH)) {
            return "another method or path";
        }
        if (!Arrays.equals(request.body(), body)) {
            return "another body";
        }
        String found = fields.get("idempotency-key");
        return (expected == null ? found == null : expected.equals(found)) ? null : "another key";
    }

    // ---- its end ----

    /** An answer has come whole. */
    void answered(HttpMessage answer) {
        if (ended) {
            return;
        }
        int status = answer.head().status();
        link = null;
        if (status == 200) {
            WireJob from =
                    jobs.stream().filter(job -> job.made(answer.body())).findFirst().orElse(null);
            end(Final.SERVED, from == null ? -1 : from.number());
            // What no node made is a breach, and no answer that a client can use.
            tell(from == null ? Caller.End.FAILED : Caller.End.SERVED, 0, from);
        } else if (status == 429 || status == 503) {
            counts().refused++;
            end(Final.REFUSED, -1);
            tell(Caller.End.REFUSED, retryAfter(answer), null);
        } else {
            counts().failed++;
            end(Final.FAILED, -1);
            tell(Caller.End.FAILED, 0, null);
        }
    }

    private static long retryAfter(HttpMessage answer) {
        String seconds = answer.head().fields().get("retry-after");
        try {
            return seconds == null ? 0 : (long) (Double.parseDouble(seconds) * 1e9);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void end(Final how, int attempt) {
        ended = true;
        run.trace.answered(emulation.now(), proxy.number, request, how, attempt);
    }

    /** Its connection broke before a whole answer, or brought what can't be read. */
    void broke() {
        link = null;
        if (!ended) {
            ended = true;
            emulation.lostAtRestarts += proxy.leaving() ? 1 : 0;
            tell(Caller.End.RESET, 0, null);
        }
    }

    /** A close of the connection crossed it: the proxy has not read it, and it goes once more. */
    void crossed() {
        link = null;
        run.trace.callerLeft(emulation.now(), proxy.number, request);
        if (!left) {
            proxy.calls().sendAnew(this);
        }
    }

    private void tell(Caller.End how, long retryAfter, WireJob from) {
        emulation.after(
                what.local() ? 0 : run.network.clients(),
                () -> {
                    if (left) {
                        return;
                    }
                    left = true;
                    if (!what.local()) {
                        emulation.seen.tries++;
                        emulation.seen.ends[how.ordinal()]++;
                        if (how == Caller.End.SERVED) {
                            emulation.seen.latency.recordValue(
                                    (emulation.now() - startedAt) / 1000);
                        }
                    }
                    caller.answered(how, retryAfter, from);
                });
    }

    @Override
    public void leave() {
        if (left) {
            return;
        }
        left = true;
        if (!what.local()) {
            emulation.seen.tries++;
        }
        if (link == null || ended) {
            return;
        }
        if (emulation.now() < what.deadline()) {
            run.trace.callerLeft(emulation.now(), proxy.number, request);
            link.hangUp();
            return;
        }
        // It is over for the client; whether the answer comes in its grace is still to be seen.
        ClientConnections.Link on = link;
        emulation.after(
                what.deadline() + emulation.graceToAnswer - emulation.now(),
                () -> {
                    if (link == on) {
                        on.hangUp();
                    }
                });
    }
}
