package cedarrudder.program;

import cedarrudder.consensus.Voter;
import cedarrudder.coordination.CoordinatedReplica.Status;
import cedarrudder.routetable.RouteTable;
import cedarrudder.transport.ReplicaCoordinator;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.function.LongFunction;

/** The page that reports the agreed route table to operators: one JSON object. */
final class RouteTablePage {

    private static final JsonFactory JSON = new JsonFactory();
    private static final long MILLI = 1_000_000L;

    private RouteTablePage() {}

    /**
     * Returns the page.
     *
     * @param zones the names of the zones by their numbers
     * @param node returns the id of an endpoint by its number, or null where the endpoint is not
     *     listed
     */
    static byte[] write(ReplicaCoordinator fleet, List<String> zones, LongFunction<String> node) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            Status status = fleet.status();
            json.writeBooleanField("takes_part", status != null);
            if (status != null) {
                write(json, status, zones, node);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // writing into memory does not fail
        }
        return out.toByteArray();
    }

    private static void write(
            JsonGenerator json, Status status, List<String> zones, LongFunction<String> node)
            throws IOException {
        json.writeObjectFieldStart("group");
        json.writeNumberField("era", status.group().era());
        json.writeNumberField("founder", status.group().founder());
        json.writeNumberField("life", status.group().incarnation());
        json.writeEndObject();
        json.writeNumberField("term", status.term());
        json.writeNumberField("leader", status.leader());
        json.writeBooleanField("leads", status.isLeader());
        json.writeArrayFieldStart("voters");
        for (Voter voter : status.voters().all()) {
            json.writeNumber(voter.replica());
        }
        json.writeEndArray();
        RouteTable agreed = status.agreedTable();
        json.writeNumberField("number", agreed == null ? 0 : agreed.number());
        json.writeBooleanField("used", status.activeTable() != null);
        json.writeNumberField("lease_left_ms", status.leaseRemaining() / MILLI);
        writeRoutes(json, agreed == null ? List.of() : agreed.routes(), zones);
        writeDraining(json, agreed == null ? List.of() : agreed.draining(), node);
    }

    private static void writeRoutes(
            JsonGenerator json, List<RouteTable.ZoneRoute> routes, List<String> zones)
            throws IOException {
        json.writeArrayFieldStart("shares");
        for (RouteTable.ZoneRoute route : routes) {
            json.writeStartObject();
            json.writeStringField("from", name(zones, route.from()));
            json.writeStringField("to", name(zones, route.to()));
            json.writeStringField("way", route.reason().name().toLowerCase(Locale.ROOT));
            json.writeNumberField("parts", route.weight());
            json.writeNumberField("per_s", route.maxPerSecond());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static void writeDraining(
            JsonGenerator json, List<RouteTable.DrainingNode> draining, LongFunction<String> node)
            throws IOException {
        json.writeArrayFieldStart("leaving");
        for (RouteTable.DrainingNode drained : draining) {
            String id = node.apply(drained.node());
            json.writeStartObject();
            json.writeStringField("node", id == null ? Long.toString(drained.node()) : id);
            json.writeNumberField("wave", drained.wave());
            json.writeEndObject();
        }
        json.writeEndArray();
    }

    private static String name(List<String> zones, int zone) {
        return zone < zones.size() ? zones.get(zone) : Integer.toString(zone);
    }
}
