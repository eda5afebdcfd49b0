package cedarrudder.protocol;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/** Reads endpoint lists, and gives each endpoint the number by which the balancer knows it. */
public final class EndpointListParser {

    private static final long FNV_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final long ID_MASK = (1L << 52) - 1;

    private final SiteSettings site;
    private final LongSupplier clock;
    private final LongSupplier unixMillis;
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<String, Start> starts = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();
    private long idChars;

    /** An endpoint's start as discovery tells it, and as an instant of the program's clock. */
    private record Start(double millis, long instant) {}

    /**
     * @param clock the program's clock, in nanoseconds
     * @param unixMillis the machine's own clock, which may be set at any time
     */
    public EndpointListParser(SiteSettings site, LongSupplier clock, LongSupplier unixMillis) {
        this.site = site;
        this.clock = clock;
        this.unixMillis = unixMillis;
    }

    /** How many endpoints have a number. */
    int size() {
        return numbers.size();
    }

    /**
     * Reads a result; an IllegalArgumentException says what is wrong with it as a whole. Of an
     * entry that can't be read the result tells, and its endpoint counts as gone: nobody knows
     * whether it drains. This avoids one such entry keeping all others from being read, drains
     * among them, for as long as it stays.
     */
    public EndpointList read(JsonObject json) {
        long version = json.integer("version");
        boolean full = json.flag("full", false);
        List<JsonObject> entries = json.objects("servers", true);
        List<EndpointList.Node> nodes = new ArrayList<>();
        List<String> unread = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i) == JsonObject.LEFT_OUT) {
                continue;
            }
            if (entries.get(i) == null) {
                unread.add("servers[" + i + "] is not an object");
                continue;
            }
            try {
                nodes.add(node(entries.get(i)));
            } catch (IllegalArgumentException e) {
                unread.add("servers[" + i + "]: " + e.getMessage());
                goneUnread(entries.get(i), full, nodes);
            }
        }
        if (full && nodes.isEmpty() && !unread.isEmpty()) {
            throw new IllegalArgumentException(
                    unread.get(0)); // the list before is worth more than none
        }
        if (full) {
            Set<String> listed = new HashSet<>();
            nodes.forEach(node -> listed.add(node.name()));
            List.copyOf(numbers.keySet()).stream()
                    .filter(id -> !listed.contains(id))
                    .forEach(this::forget);
        }
        return new EndpointList(version, full, List.copyOf(nodes), List.copyOf(unread));
    }

    /** A whole list needs no word of it: what it does not name is gone. */
    private void goneUnread(JsonObject entry, boolean full, List<EndpointList.Node> nodes) {
        String id = entry.isText("id") ? entry.text("id", "") : "";
        if (!full && numbers.containsKey(id)) {
            nodes.add(
                    new EndpointList.Node(
                            id,
                            new Endpoint(number(id), -1, -1, 0, EndpointStatus.REMOVED, 1, 0),
                            null));
            forget(id);
        }
    }

    /** Whether this endpoint has a number. */
    boolean knows(String id) {
        return numbers.containsKey(id);
    }

    /**
     * When an endpoint began by what discovery says, in milliseconds since 1970; 0: long ago, or
     * not known.
     */
    public long startMillis(String id) {
        Start known = starts.get(id);
        return known == null ? 0 : Math.max(0, (long) known.millis());
    }

    /** Characters of all ids that have a number. */
    long idChars() {
        return idChars;
    }

    /**
     * This avoids keeping every id of a long day: an endpoint that is gone needs no number any
     * more.
     */
    private void forget(String id) {
        starts.remove(id);
        Long number = numbers.remove(id);
        idChars -= number == null ? 0 : id.length();
        names.remove(number);
    }

    /**
     * The instant of an endpoint's start; 0: long ago. It is worked out when the start is first
     * told, by what the clocks say then, and kept. This avoids a restart being seen in a start time
     * that was mapped a little differently, and against a cold endpoint being taken for a warm one,
     * or the other way round, once the machine's clock was set.
     */
    private long startedAt(String id, double millis) {
        Start known = starts.get(id);
        if (known == null || known.millis() != millis) {
            double age = Math.max(0, unixMillis.getAsLong() - millis);
            known = new Start(millis, millis == 0 ? 0 : clock.getAsLong() - (long) (age * 1e6));
            starts.put(id, known);
        }
        return known.instant();
    }

    private EndpointList.Node node(JsonObject entry) {
        String word = entry.text("state", null);
        EndpointStatus state =
                switch (word) {
                    case "in_service" -> EndpointStatus.READY;
                    case "terminating" -> EndpointStatus.DRAINING;
                    case "terminated" -> EndpointStatus.REMOVED;
                    default ->
                            throw new IllegalArgumentException(
                                    "unknown state '"
                                            + word
                                            + "'; allowed: in_service, terminating, terminated");
                };
        String id = entry.text("id", null);
        InetSocketAddress address = Addresses.parse(entry.text("addr", null));
        Endpoint endpoint =
                new Endpoint(
                        number(id),
                        site.zones().indexOf(entry.text("zone", "")),
                        site.kinds().indexOf(entry.text("kind", "")),
                        (int) entry.number("cell", 0),
                        state,
                        entry.number("weight", 1),
                        startedAt(id, entry.number("started_ms", 0)));
        if (state == EndpointStatus.REMOVED) {
            forget(id);
        }
        return new EndpointList.Node(id, endpoint, address);
    }

    /**
     * The number of an endpoint: a hash of its id, so that all proxies of a tier number an endpoint
     * alike, which the balancer's common order of endpoints rests on. Where two ids collide the
     * later one takes the next number.
     */
    private long number(String id) {
        Long known = numbers.get(id);
        if (known != null) {
            return known;
        }
        long number = hash(id);
        while (names.putIfAbsent(number, id) != null) {
            number = number + 1 & ID_MASK;
        }
        numbers.put(id, number);
        idChars += id.length();
        return number;
    }

    /** The number of the one endpoint whose id has it; where ids collide, of the first. */
    public static long hash(String id) {
        long hash = FNV_BASIS;
        for (byte b : id.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return (hash ^ hash >>> 52) & ID_MASK;
    }
}
