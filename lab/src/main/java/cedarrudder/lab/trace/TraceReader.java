package cedarrudder.lab.trace;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.lab.trace.Trace.Final;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads what {@link TraceWriter} has written. */
public final class TraceReader {

    /**
     * What was read.
     *
     * @param events lines that were whole
     * @param last the instant of the last one, in nanoseconds since the run's start
     * @param cut whether the last line was cut off: what comes before it counts
     */
    public record Read(long events, long last, boolean cut) {}

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Trace to;
    private long events;
    private long last;

    private TraceReader(Trace to) {
        this.to = to;
    }

    /**
     * Reads a record and hands its events on; instants count from the run's start. A last line that
     * was cut off, as by the end of its writer, is left out.
     *
     * @throws IOException if it can't be read, or a line that is not the last is broken: it is
     *     named
     */
    public static Read read(Path file, Trace to) throws IOException {
        TraceReader reader = new TraceReader(to);
        try (BufferedReader lines = Files.newBufferedReader(file)) {
            String line = lines.readLine();
            for (long number = 1; line != null; number++) {
                String next;
                try {
                    next = lines.readLine();
                } catch (CharacterCodingException e) {
                    throw new IOException(
                            file + ":" + (number + 1) + ": bytes that are no UTF-8", e);
                }
                try {
                    reader.event(line);
                } catch (IOException | IllegalArgumentException e) {
                    if (next == null) {
                        return new Read(reader.events, reader.last, true);
                    }
                    throw new IOException(file + ":" + number + ": " + e.getMessage(), e);
                }
                line = next;
            }
        }
        return new Read(reader.events, reader.last, false);
    }

    private void event(String line) throws IOException {
        JsonNode json = JSON.readTree(line);
        if (json == null || !json.isObject()) {
            throw new IllegalArgumentException("no event");
        }
        long at = whole(json, "at");
        switch (text(json, "event")) {
            case "proxy-started" -> to.proxyStarted(at, proxy(json), (int) whole(json, "tier"));
            case "proxy-died" -> to.proxyDied(at, proxy(json));
            case "told" ->
                    to.told(
                            at,
                            proxy(json),
                            whole(json, "endpoint"),
                            (int) whole(json, "cell"),
                            (int) whole(json, "zone"),
                            TraceNames.status(text(json, "state")),
                            whole(json, "started"));
            case "told-whole" -> to.toldWhole(at, proxy(json));
            case "taken" ->
                    to.taken(
                            at,
                            proxy(json),
                            whole(json, "rpc"),
                            Idempotency.valueOf(text(json, "effect")),
                            KeyScope.valueOf(text(json, "scope")),
                            whole(json, "window"),
                            whole(json, "deadline"));
            case "sent" ->
                    to.sent(
                            at,
                            proxy(json),
                            whole(json, "rpc"),
                            attempt(json),
                            whole(json, "endpoint"),
                            whole(json, "work"));
            case "ended" ->
                    to.ended(
                            at,
                            proxy(json),
                            whole(json, "rpc"),
                            attempt(json),
                            TraceNames.outcome(text(json, "outcome")));
            case "reached" ->
                    to.reached(
                            at,
                            proxy(json),
                            whole(json, "rpc"),
                            attempt(json),
                            whole(json, "endpoint"));
            case "answered" ->
                    to.answered(
                            at,
                            proxy(json),
                            whole(json, "rpc"),
                            Final.valueOf(text(json, "how")),
                            attempt(json));
            case "caller-left" -> to.callerLeft(at, proxy(json), whole(json, "rpc"));
            case "node-started" ->
                    to.nodeStarted(
                            at,
                            whole(json, "endpoint"),
                            part(json, "capacity"),
                            part(json, "cold"),
                            whole(json, "warm"));
            case "node-ended" -> to.nodeEnded(at, whole(json, "endpoint"));
            default -> throw new IllegalArgumentException("an event of no known name");
        }
        events++;
        last = at;
    }

    private static JsonNode field(JsonNode json, String name) {
        JsonNode value = json.get(name);
        if (value == null) {
            throw new IllegalArgumentException("no \"" + name + "\"");
        }
        return value;
    }

    private static String text(JsonNode json, String name) {
        return field(json, name).asText();
    }

    private static long whole(JsonNode json, String name) {
        JsonNode value = field(json, name);
        if (!value.isIntegralNumber()) {
            throw new IllegalArgumentException("\"" + name + "\" is no whole number");
        }
        return value.asLong();
    }

    private static double part(JsonNode json, String name) {
        return field(json, name).asDouble();
    }

    private static int proxy(JsonNode json) {
        return (int) whole(json, "proxy");
    }

    private static int attempt(JsonNode json) {
        return (int) whole(json, "attempt");
    }
}
