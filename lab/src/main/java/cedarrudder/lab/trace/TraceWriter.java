package cedarrudder.lab.trace;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.UnaryOperator;

/**
 * Writes a trace as JSON, one event a line, and passes it on; {@link TraceReader} reads it again.
 * Instants are nanoseconds since the run's start. After a failed write nothing more is written, and
 * the run goes on. Used by one thread.
 */
public final class TraceWriter implements Trace {

    /** A run that is given what to put around its trace. */
    public interface Traced<T> {
        T play(UnaryOperator<Trace> around) throws InterruptedException;
    }

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    private Trace next;
    private final long origin;
    private final JsonGenerator json;
    private IOException failure;

    /**
     * @param origin the instant at which the run begins
     * @param next takes the events too
     */
    public TraceWriter(OutputStream out, long origin, Trace next) throws IOException {
        this.origin = origin;
        this.next = next;
        this.json = new JsonFactory().createGenerator(out);
        json.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
    }

    /** Ends the last line; an IOException where not all could be written. */
    public void finish() throws IOException {
        if (failure != null) {
            throw failure;
        }
        json.writeRaw('\n');
        json.flush();
    }

    /**
     * Plays a run and writes its trace to a file, over what is there.
     *
     * @param origin the instant at which the run begins
     * @throws IOException if the trace could not be written whole; the run was played to its end
     */
    public static <T> T around(Path file, long origin, Traced<T> run)
            throws IOException, InterruptedException {
        try (OutputStream out = new BufferedOutputStream(Files.newOutputStream(file), 1 << 16)) {
            TraceWriter trace = new TraceWriter(out, origin, null);
            T result =
                    run.play(
                            next -> {
                                trace.next = next;
                                return trace;
                            });
            trace.finish();
            return result;
        }
    }

    private void line(long now, String event, Fields fields) {
        if (failure != null) {
            return;
        }
        try {
            json.writeStartObject();
            json.writeNumberField("at", now - origin);
            json.writeStringField("event", event);
            fields.write(json);
            json.writeEndObject();
        } catch (IOException e) {
            failure = e;
        }
    }

    private void ofRequest(long now, String event, int proxy, long request, Fields fields) {
        line(
                now,
                event,
                out -> {
                    out.writeNumberField("proxy", proxy);
                    out.writeNumberField("rpc", request);
                    fields.write(out);
                });
    }

    @Override
    public void proxyStarted(long now, int proxy, int tier) {
        line(
                now,
                "proxy-started",
                out -> {
                    out.writeNumberField("proxy", proxy);
                    out.writeNumberField("tier", tier);
                });
        next.proxyStarted(now, proxy, tier);
    }

    @Override
    public void proxyDied(long now, int proxy) {
        line(now, "proxy-died", out -> out.writeNumberField("proxy", proxy));
        next.proxyDied(now, proxy);
    }

    @Override
    public void told(
            long now,
            int proxy,
            long endpoint,
            int cell,
            int zone,
            EndpointStatus state,
            long startedAt) {
        line(
                now,
                "told",
                out -> {
                    out.writeNumberField("proxy", proxy);
                    out.writeNumberField("endpoint", endpoint);
                    out.writeNumberField("cell", cell);
                    out.writeNumberField("zone", zone);
                    out.writeStringField("state", TraceNames.of(state));
                    out.writeNumberField("started", startedAt == 0 ? 0 : startedAt - origin);
                });
        next.told(now, proxy, endpoint, cell, zone, state, startedAt);
    }

    @Override
    public void toldWhole(long now, int proxy) {
        line(now, "told-whole", out -> out.writeNumberField("proxy", proxy));
        next.toldWhole(now, proxy);
    }

    @Override
    public void taken(
            long now,
            int proxy,
            long request,
            Idempotency effect,
            KeyScope scope,
            long repeatWindow,
            long deadline) {
        ofRequest(
                now,
                "taken",
                proxy,
                request,
                out -> {
                    out.writeStringField("effect", effect.name());
                    out.writeStringField("scope", scope.name());
                    out.writeNumberField("window", repeatWindow);
                    out.writeNumberField("deadline", deadline - origin);
                });
        next.taken(now, proxy, request, effect, scope, repeatWindow, deadline);
    }

    @Override
    public void sent(long now, int proxy, long request, int attempt, long endpoint, double work) {
        ofRequest(
                now,
                "sent",
                proxy,
                request,
                out -> {
                    out.writeNumberField("attempt", attempt);
                    out.writeNumberField("endpoint", endpoint);
                    out.writeNumberField("work", Math.round(work));
                });
        next.sent(now, proxy, request, attempt, endpoint, work);
    }

    @Override
    public void ended(long now, int proxy, long request, int attempt, Outcome outcome) {
        ofRequest(
                now,
                "ended",
                proxy,
                request,
                out -> {
                    out.writeNumberField("attempt", attempt);
                    out.writeStringField("outcome", TraceNames.of(outcome));
                });
        next.ended(now, proxy, request, attempt, outcome);
    }

    @Override
    public void reached(long now, int proxy, long request, int attempt, long endpoint) {
        ofRequest(
                now,
                "reached",
                proxy,
                request,
                out -> {
                    out.writeNumberField("attempt", attempt);
                    out.writeNumberField("endpoint", endpoint);
                });
        next.reached(now, proxy, request, attempt, endpoint);
    }

    @Override
    public void answered(long now, int proxy, long request, Final how, int attempt) {
        ofRequest(
                now,
                "answered",
                proxy,
                request,
                out -> {
                    out.writeStringField("how", how.name());
                    out.writeNumberField("attempt", attempt);
                });
        next.answered(now, proxy, request, how, attempt);
    }

    @Override
    public void callerLeft(long now, int proxy, long request) {
        ofRequest(now, "caller-left", proxy, request, out -> {});
        next.callerLeft(now, proxy, request);
    }

    @Override
    public void nodeStarted(
            long now, long endpoint, double capacity, double coldShare, long warmAt) {
        line(
                now,
                "node-started",
                out -> {
                    out.writeNumberField("endpoint", endpoint);
                    out.writeNumberField("capacity", capacity);
                    out.writeNumberField("cold", coldShare);
                    out.writeNumberField("warm", warmAt - origin);
                });
        next.nodeStarted(now, endpoint, capacity, coldShare, warmAt);
    }

    @Override
    public void nodeEnded(long now, long endpoint) {
        line(now, "node-ended", out -> out.writeNumberField("endpoint", endpoint));
        next.nodeEnded(now, endpoint);
    }
}
