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

/**
 * Parses endpoint lists and assigns each endpoint the number that identifies it in the balancer.
 */
public final class EndpointListParser {

    private static final long FNV_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final long ID_MASK = (1L << 52) - 1;

    private final SiteSettings site;
    private final LongSupplier clock;
    private final WallClock wallClock;
    private final Map<String, Long> numbersById = new HashMap<>();
    private final Map<String, Start> startsById = new HashMap<>();
    private final Map<Long, String> idsByNumber = new HashMap<>();
    private long idChars;

    /**
     * An endpoint's start time as discovery reports it, in milliseconds since 1970, and as an
     * instant of the program's clock in nanoseconds.
     */
    private record Start(double millis, long instant) {}

    /**
     * @param clock the program's clock, in nanoseconds
     * @param unixMillis the machine's wall clock in milliseconds, which may be set at any time
     */
    public EndpointListParser(SiteSettings site, LongSupplier clock, LongSupplier unixMillis) {
        this.site = site;
        this.clock = clock;
        this.wallClock = new WallClock(clock, unixMillis);
    }

    /** Returns how many endpoints have a number. */
    int size() {
        return numbersById.size();
    }

    /**
     * Parses an endpoint list.
     *
     * <p>An entry that can't be read is reported in the result, and its endpoint counts as removed,
     * since its drain state is unknown. Otherwise one such entry would block all other entries,
     * including drains, until it disappeared.
     *
     * @throws IllegalArgumentException if the list as a whole can't be read; the message says why
     */
    public EndpointList read(JsonObject json) {
        wallClock.observe();
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
                addUnreadableAsRemoved(entries.get(i), full, nodes);
            }
        }
        if (full && nodes.isEmpty() && !unread.isEmpty()) {
            throw new IllegalArgumentException(
                    unread.get(0)); // the previous list is more useful than an empty one
        }
        if (full) {
            Set<String> listed = new HashSet<>();
            nodes.forEach(node -> listed.add(node.name()));
            List.copyOf(numbersById.keySet()).stream()
                    .filter(id -> !listed.contains(id))
                    .forEach(this::forget);
        }
        return new EndpointList(version, full, List.copyOf(nodes), List.copyOf(unread));
    }

    /**
     * Adds the endpoint of an unreadable entry as removed, if it has a number. A full list needs no
     * such entry, since an endpoint that a full list omits counts as removed.
     */
    private void addUnreadableAsRemoved(
            JsonObject entry, boolean full, List<EndpointList.Node> nodes) {
        String id = entry.isText("id") ? entry.text("id", "") : "";
        if (!full && numbersById.containsKey(id)) {
            nodes.add(
                    new EndpointList.Node(
                            id,
                            new Endpoint(number(id), -1, -1, 0, EndpointStatus.REMOVED, 1, 0),
                            null));
            forget(id);
        }
    }

    /** Returns whether this endpoint has a number. */
    boolean knows(String id) {
        return numbersById.containsKey(id);
    }

    /**
     * Returns the start time of an endpoint according to discovery, in milliseconds since 1970; 0
     * where the start is long ago or unknown.
     */
    public long startMillis(String id) {
        Start known = startsById.get(id);
        return known == null ? 0 : Math.max(0, (long) known.millis());
    }

    /** Returns the number of characters of all ids that have a number. */
    long idChars() {
        return idChars;
    }

    /** Removes an endpoint that is gone, so that the ids of a long day don't accumulate. */
    private void forget(String id) {
        startsById.remove(id);
        Long number = numbersById.remove(id);
        idChars -= number == null ? 0 : id.length();
        idsByNumber.remove(number);
    }

    /**
     * Returns the instant of an endpoint's start; 0 for long ago.
     *
     * <p>The instant is computed from both clocks when the start time is first reported, and
     * cached. If it were computed again, a slightly different result would look like a restart.
     */
    private long startedAt(String id, double millis) {
        Start known = startsById.get(id);
        if (known == null || known.millis() != millis) {
            long instant = clock.getAsLong() - wallClock.nanosSince(millis);
            known = new Start(millis, millis == 0 ? 0 : instant);
            startsById.put(id, known);
        }
        return known.instant();
    }

    private EndpointList.Node node(JsonObject entry) {
        String stateText = entry.text("state", null);
        EndpointStatus state =
                switch (stateText) {
                    case "in_service" -> EndpointStatus.READY;
                    case "terminating" -> EndpointStatus.DRAINING;
                    case "terminated" -> EndpointStatus.REMOVED;
                    default ->
                            throw new IllegalArgumentException(
                                    "unknown state '"
                                            + stateText
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
     * Returns the number of an endpoint: a hash of its id, so that all proxies of a tier number an
     * endpoint alike. The balancer's common order of endpoints depends on this. Where two ids
     * collide, the later one gets the next number.
     */
    private long number(String id) {
        Long known = numbersById.get(id);
        if (known != null) {
            return known;
        }
        long number = hash(id);
        while (idsByNumber.putIfAbsent(number, id) != null) {
            number = number + 1 & ID_MASK;
        }
        numbersById.put(id, number);
        idChars += id.length();
        return number;
    }

    /**
     * Returns the hash of an id, which is the number of its endpoint; where ids collide, the number
     * of the first.
     */
    public static long hash(String id) {
        long hash = FNV_BASIS;
        for (byte b : id.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return (hash ^ hash >>> 52) & ID_MASK;
    }
}
