package cedarrudder.program;

import cedarrudder.draining.DrainCommand.BlockedBy;
import cedarrudder.draining.DrainCommand.RemainingCalls;
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

/** The drains, as operators read them: one JSON object. */
final class DrainsPage {

    private static final JsonFactory JSON = new JsonFactory();

    private DrainsPage() {}

    /**
     * Writes it.
     *
     * @param progress null where this process takes no part
     * @param node the id of an endpoint by its number, or null where it is not listed
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
            throw new UncheckedIOException(e); // an array in memory fails nobody
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator json, Progress progress, LongFunction<String> node)
            throws IOException {
        json.writeNumberField("revision", progress.revision());
        json.writeArrayFieldStart("policies");
        for (String policy : progress.policies()) {
            json.writeStartObject();
            json.writeStringField("name", policy);
            json.writeBooleanField("paused", progress.paused().contains(policy));
            json.writeEndObject();
        }
        json.writeEndArray();
        Map<Integer, Long> slots = new HashMap<>();
        json.writeArrayFieldStart("drains");
        for (DrainView each : progress.drains()) {
            slots.put(each.slot(), each.node());
            json.writeStartObject();
            json.writeStringField("node", name(node, each.node()));
            json.writeStringField("state", written(each.state()));
            json.writeNumberField("wave", each.wave());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("waiting");
        for (BlockedBy each : progress.status().blocked()) {
            json.writeStartObject();
            json.writeNumberField("nodes", each.nodes());
            json.writeStringField("for", written(each.bound()));
            if (each.policy() >= 0 && each.policy() < progress.policies().size()) {
                json.writeStringField("policy", progress.policies().get(each.policy()));
            }
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("still");
        for (RemainingCalls each : progress.status().remaining()) {
            if (slots.containsKey(each.slot())) {
                json.writeStartObject();
                json.writeStringField("node", name(node, slots.get(each.slot())));
                json.writeNumberField("copy", each.replica());
                if (each.calls() >= 0) {
                    json.writeNumberField("calls", each.calls());
                }
                json.writeEndObject();
            }
        }
        json.writeEndArray();
        json.writeArrayFieldStart("ended");
        for (EndedDrain each : progress.ended()) {
            json.writeStartObject();
            json.writeStringField("node", name(node, each.node()));
            json.writeStringField("how", written(each.event()));
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
