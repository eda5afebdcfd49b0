package cedarrudder.protocol;

import cedarrudder.footprint.MemoryEstimate;
import cedarrudder.footprint.ProcessFootprint;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.metrics.RequestMetrics.End;
import cedarrudder.metrics.Violation;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;

/** Writes the metrics as one JSON object, under the names that operators use. */
public final class MetricsPage {

    /**
     * The memory use of the process, with its limits.
     *
     * @param list the outcome of the last list
     * @param all the memory of what is loaded now, and at the peak of reading the same list again
     * @param node the memory that one more endpoint takes
     * @param resident resident memory in bytes
     * @param nearest the limit that is nearest
     * @param capacity the largest route table and list that fit
     */
    public record Estimate(
            EndpointListReader.Judged list,
            MemoryEstimate all,
            MemoryEstimate node,
            long resident,
            ProcessFootprint.Verdict nearest,
            RouteTableCapacity capacity) {}

    private MetricsPage() {}

    /**
     * Writes the page.
     *
     * @param classes the names of the classes, by the index under which they are counted
     * @param listed number of endpoints that discovery lists
     * @param avoided number of these endpoints that receive no new requests now
     * @param held bytes of bodies that the process buffers
     * @param estimate null before a list was judged
     */
    public static byte[] write(
            RequestMetrics figures,
            List<String> classes,
            int listed,
            int avoided,
            long held,
            Estimate estimate) {
        ByteArrayOutputStream page = new ByteArrayOutputStream(512);
        long relayed = 0;
        try (JsonGenerator json = new JsonFactory().createGenerator(page)) {
            json.writeStartObject();
            json.writeObjectFieldStart("operations");
            for (int i = 0; i < figures.classes(); i++) {
                json.writeObjectFieldStart(classes.get(i));
                json.writeNumberField("fulfilled", figures.ended(i, End.SERVED));
                json.writeNumberField("throttled", figures.ended(i, End.REJECTED));
                json.writeNumberField("faulted", figures.ended(i, End.FAILED));
                json.writeNumberField("left", figures.ended(i, End.CLIENT_LEFT));
                json.writeNumberField("relayed", figures.forwarded(i));
                relayed += figures.forwarded(i);
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeNumberField("relayed", relayed);
            json.writeNumberField("open_requests", figures.openRequests());
            json.writeNumberField("registry_entries", listed);
            json.writeNumberField("out_of_rotation", avoided);
            json.writeNumberField("held_bytes", held);
            writeViolations(figures, json);
            if (estimate != null) {
                write(estimate, json);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to the in-memory buffer", e);
        }
        return page.toByteArray();
    }

    private static void writeViolations(RequestMetrics figures, JsonGenerator json)
            throws IOException {
        json.writeObjectFieldStart("violations");
        for (Violation violation : Violation.values()) {
            json.writeNumberField(
                    violation.name().toLowerCase(Locale.ROOT), figures.violations(violation));
        }
        json.writeEndObject();
    }

    private static void write(Estimate estimate, JsonGenerator json) throws IOException {
        EndpointListReader.Judged list = estimate.list();
        json.writeObjectFieldStart("footprint");
        json.writeStringField("outcome", list.outcome());
        json.writeStringField("bound", list.bound());
        json.writeNumberField("needed", list.needed());
        json.writeNumberField("room", list.capacity());
        json.writeNumberField("spare", list.capacity() - list.needed());
        json.writeNumberField("held", list.held());
        json.writeNumberField("wanted", list.wanted());
        json.writeNumberField("waits", list.waits());
        json.writeNumberField("never", list.never());
        json.writeArrayFieldStart("steps");
        for (int step : list.steps()) {
            json.writeNumber(step);
        }
        json.writeEndArray();
        json.writeNumberField("node_at_rest", estimate.node().rest());
        json.writeNumberField("node_at_peak", estimate.node().peak());
        json.writeNumberField("most_nodes", estimate.capacity().nodes());
        json.writeNumberField("most_table_bytes", estimate.capacity().bytes());
        json.writeNumberField("most_table_leaving", estimate.capacity().leaving());
        json.writeObjectFieldStart("process");
        json.writeNumberField("heap_at_rest", estimate.all().rest());
        json.writeNumberField("heap_at_peak", estimate.all().peak());
        json.writeNumberField("resident", estimate.resident());
        json.writeNumberField("direct", estimate.all().direct());
        json.writeNumberField("descriptors", estimate.all().descriptors());
        json.writeStringField("bound", estimate.nearest().bound().name().toLowerCase(Locale.ROOT));
        json.writeNumberField("spare", estimate.nearest().spare());
        json.writeEndObject();
        json.writeEndObject();
    }
}
