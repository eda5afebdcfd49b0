package cedarrudder.failover;

import cedarrudder.encoding.Varint;
import cedarrudder.routetable.RouteTable;
import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The observations of all zones by one replica in one period: counts of the outcomes of its
 * requests, without a conclusion about the health of zones.
 *
 * <p>Encoded as a version, then {@link Varint}s in the order of the components. Observations that
 * do not fit into one part are split over several, between zones; each part begins with the same
 * header.
 *
 * @param replica the replica that observed, below {@value #MAX_REPLICAS}
 * @param zone the zone of the replica
 * @param incarnation the incarnation of the replica; reports of a later incarnation replace those
 *     of an earlier one
 * @param sequence a number that rises by one in each period of that incarnation
 * @param table the number of the route table in use at the replica; 0 for none
 * @param millis length of the period in milliseconds; from 1
 * @param requests requests that arrived at the replica
 * @param unserved requests that ended because the replica rejected or failed them
 * @param observations the observations of the replica, ordered by zone
 */
public record ZoneObservations(
        int replica,
        int zone,
        long incarnation,
        long sequence,
        long table,
        int millis,
        int requests,
        int unserved,
        List<ZoneObservation> observations) {

    /** Maximum bytes of a part, which leaves room in a datagram for other content. */
    public static final int MAX_BYTES = 200;

    /**
     * The lowest allowed limit on the bytes of a part: the longest header and one zone fit into it.
     */
    public static final int MIN_BYTES = 88;

    public static final int MAX_REPLICAS = 1 << 16;

    /** Counts are below this; a larger one is reported as the largest allowed. */
    public static final int MAX_COUNT = 1 << 20;

    /** Periods after which the observations of a zone expire. */
    public static final int MAX_AGE = 20;

    private static final int VERSION = 1;
    private static final int MAX_MILLIS = 1 << 20;

    /**
     * The observations of one zone. Counts are of attempts that the replica sent to the zone.
     *
     * @param age how many periods ago the observations were made; 0 for this period
     * @param served attempts that got a successful response
     * @param failed attempts that got an error response, or whose connection broke
     * @param silent attempts that got no response in time, or no connection
     * @param rejected attempts that were rejected before processing
     * @param inFlight attempts that are in flight
     * @param unansweredMillis for how many milliseconds no response has arrived while attempts were
     *     in flight
     * @param load the mean utilisation that endpoints of the zone reported, in hundredths, plus
     *     one; 0 for none
     * @param nodes endpoints of the zone that are listed as ready
     * @param cold ready endpoints that have just started
     * @param usableWeightHundredths what all ready endpoints can serve now, in hundredths of what a
     *     warm endpoint of weight 1 can serve
     */
    public record ZoneObservation(
            int zone,
            int age,
            int served,
            int failed,
            int silent,
            int rejected,
            int inFlight,
            int unansweredMillis,
            int load,
            int nodes,
            int cold,
            int usableWeightHundredths) {

        /** Returns the number of attempts that ended. */
        public int ended() {
            return served + failed + silent + rejected;
        }

        private int[] fields() {
            return new int[] {
                zone,
                age,
                served,
                failed,
                silent,
                rejected,
                inFlight,
                unansweredMillis,
                load,
                nodes,
                cold,
                usableWeightHundredths
            };
        }

        private static ZoneObservation of(int[] fieldValues) {
            return new ZoneObservation(
                    fieldValues[0],
                    fieldValues[1],
                    fieldValues[2],
                    fieldValues[3],
                    fieldValues[4],
                    fieldValues[5],
                    fieldValues[6],
                    fieldValues[7],
                    fieldValues[8],
                    fieldValues[9],
                    fieldValues[10],
                    fieldValues[11]);
        }
    }

    private static final int FIELD_COUNT = 12;

    public ZoneObservations {
        observations = List.copyOf(observations);
    }

    /**
     * Returns the encoded parts, at least one.
     *
     * @param max maximum bytes of each, from {@link #MIN_BYTES} to {@link #MAX_BYTES}
     */
    public List<byte[]> encode(int max) {
        List<byte[]> parts = new ArrayList<>();
        ByteBuffer out = putHeader(max);
        for (ZoneObservation each : observations) {
            int before = out.position();
            try {
                put(out, each);
            } catch (BufferOverflowException e) {
                parts.add(Arrays.copyOf(out.array(), before));
                out = putHeader(max);
                put(out, each);
            }
        }
        parts.add(Arrays.copyOf(out.array(), out.position()));
        return parts;
    }

    private ByteBuffer putHeader(int max) {
        ByteBuffer out = ByteBuffer.allocate(max);
        out.put((byte) VERSION);
        for (long field :
                new long[] {
                    replica, zone, incarnation, sequence, table, millis, requests, unserved
                }) {
            Varint.put(out, field);
        }
        return out;
    }

    private static void put(ByteBuffer out, ZoneObservation seen) {
        for (int field : seen.fields()) {
            Varint.put(out, field);
        }
    }

    /** Decodes a part; returns null if the bytes are malformed. Never throws. */
    public static ZoneObservations decode(byte[] bytes) {
        if (bytes.length < 2 || bytes.length > MAX_BYTES || bytes[0] != VERSION) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        try {
            int replica = field(in, MAX_REPLICAS);
            int zone = field(in, RouteTable.MAX_ZONES);
            long incarnation = Varint.get(in);
            long sequence = Varint.get(in);
            long table = Varint.get(in);
            int millis = field(in, MAX_MILLIS);
            int requests = field(in, MAX_COUNT);
            int unserved = field(in, MAX_COUNT);
            List<ZoneObservation> observations = readObservations(in);
            return observations == null
                            || incarnation < 0
                            || sequence < 0
                            || table < 0
                            || millis < 1
                    ? null
                    : new ZoneObservations(
                            replica,
                            zone,
                            incarnation,
                            sequence,
                            table,
                            millis,
                            requests,
                            unserved,
                            observations);
        } catch (BufferUnderflowException e) {
            // The part is truncated, or a number is out of range or not in its shortest encoding.
            return null;
        }
    }

    /**
     * Reads all remaining bytes as observations in the order of their zones; returns null if the
     * bytes are malformed.
     */
    private static List<ZoneObservation> readObservations(ByteBuffer in) {
        List<ZoneObservation> observations = new ArrayList<>();
        int minZone = 0;
        while (in.hasRemaining()) {
            int[] fields = new int[FIELD_COUNT];
            for (int i = 0; i < FIELD_COUNT; i++) {
                fields[i] = field(in, MAX_COUNT);
            }
            ZoneObservation each = ZoneObservation.of(fields);
            if (each.zone < minZone || each.zone >= RouteTable.MAX_ZONES || each.age > MAX_AGE) {
                return null;
            }
            minZone = each.zone + 1;
            observations.add(each);
        }
        return observations;
    }

    private static int field(ByteBuffer in, int bound) {
        long value = Varint.get(in);
        if (value < 0 || value >= bound) {
            throw new BufferUnderflowException();
        }
        return (int) value;
    }
}
