package cedarrudder.program;

import cedarrudder.draining.DrainCommand.BlockedBy;
import cedarrudder.draining.DrainCommand.RemainingRequests;
import cedarrudder.draining.DrainCoordinator.DrainView;
import cedarrudder.draining.DrainCoordinator.EndedDrain;
import cedarrudder.draining.DrainCoordinator.Progress;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongFunction;

/** The page that reports the drains to operators: one JSON object. */
final class DrainsPage {

    private static final JsonFactory JSON = new JsonFactory();

    private DrainsPage() {}

    /**
     * Returns the page.
     *
     * @param progress null where this process does not take part in the agreement
     * @param node returns the id of an endpoint by its number, or null where the endpoint is not
     *     listed
     */
    static byte[] write(Progress progress, LongFunction<String> node) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeBooleanField("takes_part", progress != null);
            if (progress != null) {
                write(json, progress, node);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // writing into memory does not fail
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator json, Progress progress, LongFunction<String> node)
            throws IOException {
        json.writeNumberField("revision", progress.revision());
        writePolicies(json, progress);
        writeDrains(json, progress, node);
        writeWaiting(json, progress);
        writeRemaining(json, progress, node);
        writeEnded(json, progress, node);
    }

    private static void writePolicies(JsonGenerator json, Progress progress) throws IOException {
        json.writeArrayFieldStart("policies");
        for (String policy : progress.policies()) {
            json.writeStartObject();
            json.writeStringField("name", policy);
            json.writeBooleanField("paused", progress.paused().contains(policy));
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeDrains(
            JsonGenerator json, Progress progress, LongFunction<String> node) throws IOException {
        json.writeArrayFieldStart("drains");
        for (DrainView drain : progress.drains()) {
            json.writeStartObject();
            json.writeStringField("node", name(node, drain.node()));
            json.writeStringField("state", written(drain.state()));
            json.writeNumberField("wave", drain.wave());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeWaiting(JsonGenerator json, Progress progress) throws IOException {
        json.writeArrayFieldStart("waiting");
        for (BlockedBy blocked : progress.status().blocked()) {
            json.writeStartObject();
            json.writeNumberField("nodes", blocked.nodes());
            json.writeStringField("for", written(blocked.bound()));
            if (blocked.policy() >= 0 && blocked.policy() < progress.policies().size()) {
                json.writeStringField("policy", progress.policies().get(blocked.policy()));
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeRemaining(
            JsonGenerator json, Progress progress, LongFunction<String> node) throws IOException {
        Map<Integer, Long> nodeOfSlot = new HashMap<>();
        progress.drains().forEach(drain -> nodeOfSlot.put(drain.slot(), drain.node()));
        json.writeArrayFieldStart("still");
        for (RemainingRequests remaining : progress.status().remaining()) {
            if (nodeOfSlot.containsKey(remaining.slot())) {
                json.writeStartObject();
                json.writeStringField("node", name(node, nodeOfSlot.get(remaining.slot())));
                json.writeNumberField("copy", remaining.replica());
                if (remaining.requests() >= 0) {
                    json.writeNumberField("calls", remaining.requests());
                }
                json.writeEndObject();
            }
        }
        json.writeEndArray();
    }

    private static void writeEnded(JsonGenerator json, Progress progress, LongFunction<String> node)
            throws IOException {
        json.writeArrayFieldStart("ended");
        for (EndedDrain ended : progress.ended()) {
            json.writeStartObject();
            json.writeStringField("node", name(node, ended.node()));
            json.writeStringField("how", written(ended.event()));
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static String name(LongFunction<String> node, long number) {
        String name = node.apply(number);
        return name == null ? Long.toString(number) : name;
    }

    private static String written(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
