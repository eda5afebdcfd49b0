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
 * What one replica saw of the zones in a period. It tells what happened to its calls and judges
 * nothing.
 *
 * <p>As bytes: a version, then {@link Varint}s in the order of the components. What does not fit
 * one part goes into several, split between zones; each begins with the same head.
 *
 * @param replica who saw it, below {@value #MAX_REPLICAS}
 * @param zone its zone
 * @param incarnation its life; a later one replaces what an earlier one said
 * @param sequence rises by one each period of that life
 * @param table the number of the table that it uses; 0 for none
 * @param millis how long the period was, in milliseconds; from 1
 * @param requests calls that came to it
 * @param unserved of those that ended, the ones that it refused or failed
 * @param observations what it saw, ordered by zone
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

    /** What a part takes at most, so that a datagram has room for more. */
    public static final int MAX_BYTES = 200;

    /** The longest head and one zone fit into this many. */
    public static final int MIN_BYTES = 88;

    public static final int MAX_REPLICAS = 1 << 16;

    /** Counts are below this; what is more is said to be one less. */
    public static final int MAX_COUNT = 1 << 20;

    /** Periods after which what was seen of a zone is forgotten. */
    public static final int MAX_AGE = 20;

    private static final int VERSION = 1;
    private static final int MAX_MILLIS = 1 << 20;

    /**
     * What it saw of one zone.
     *
     * @param age how many periods ago that was; 0: in this one
     * @param served its calls there that were answered well
     * @param failed that were answered with an error, or broke off
     * @param silent that got no answer in time, or no connection
     * @param rejected that were rejected unseen
     * @param inFlight that are out
     * @param unanswered for how many milliseconds nothing has come back while calls were out
     * @param load the mean of the utilisations that endpoints there reported, in hundredths and one
     *     more; 0: none
     * @param nodes endpoints that are listed as ready
     * @param cold of those the ones that have just started
     * @param usableNodes what all of them can do now, in hundredths of what a warm one of weight 1
     *     can
     */
    public record ZoneObservation(
            int zone,
            int age,
            int served,
            int failed,
            int silent,
            int rejected,
            int inFlight,
            int unanswered,
            int load,
            int nodes,
            int cold,
            int usableNodes) {

        /** Calls that came to an end there. */
        public int ended() {
            return served + failed + silent + rejected;
        }

        private int[] figures() {
            return new int[] {
                zone,
                age,
                served,
                failed,
                silent,
                rejected,
                inFlight,
                unanswered,
                load,
                nodes,
                cold,
                usableNodes
            };
        }

        private static ZoneObservation of(int[] f) {
            return new ZoneObservation(
                    f[0], f[1], f[2], f[3], f[4], f[5], f[6], f[7], f[8], f[9], f[10], f[11]);
        }
    }

    private static final int FIGURES = 12;

    public ZoneObservations {
        observations = List.copyOf(observations);
    }

    /**
     * The parts; one at least.
     *
     * @param max bytes of each, from {@link #MIN_BYTES} to {@link #MAX_BYTES}
     */
    public List<byte[]> encode(int max) {
        List<byte[]> parts = new ArrayList<>();
        ByteBuffer out = head(max);
        for (ZoneObservation each : observations) {
            int before = out.position();
            try {
                put(out, each);
            } catch (BufferOverflowException e) {
                parts.add(Arrays.copyOf(out.array(), before));
                out = head(max);
                put(out, each);
            }
        }
        parts.add(Arrays.copyOf(out.array(), out.position()));
        return parts;
    }

    private ByteBuffer head(int max) {
        ByteBuffer out = ByteBuffer.allocate(max);
        out.put((byte) VERSION);
        for (long figure :
                new long[] {
                    replica, zone, incarnation, sequence, table, millis, requests, unserved
                }) {
            Varint.put(out, figure);
        }
        return out;
    }

    private static void put(ByteBuffer out, ZoneObservation seen) {
        for (int figure : seen.figures()) {
            Varint.put(out, figure);
        }
    }

    /** Reads a part; null where the bytes are none. Throws nothing, whatever they are. */
    public static ZoneObservations decode(byte[] bytes) {
        if (bytes.length < 2 || bytes.length > MAX_BYTES || bytes[0] != VERSION) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        try {
            int replica = figure(in, MAX_REPLICAS);
            int zone = figure(in, RouteTable.MAX_ZONES);
            long incarnation = Varint.get(in);
            long sequence = Varint.get(in);
            long table = Varint.get(in);
            int millis = figure(in, MAX_MILLIS);
            int requests = figure(in, MAX_COUNT);
            int unserved = figure(in, MAX_COUNT);
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
            return null; // it ends too soon, or has a number in another form or out of its range
        }
    }

    /** All that is left, as observations in the order of their zones; null where it is none. */
    private static List<ZoneObservation> readObservations(ByteBuffer in) {
        List<ZoneObservation> observations = new ArrayList<>();
        int minZone = 0;
        while (in.hasRemaining()) {
            int[] figures = new int[FIGURES];
            for (int i = 0; i < FIGURES; i++) {
                figures[i] = figure(in, MAX_COUNT);
            }
            ZoneObservation each = ZoneObservation.of(figures);
            if (each.zone < minZone || each.zone >= RouteTable.MAX_ZONES || each.age > MAX_AGE) {
                return null;
            }
            minZone = each.zone + 1;
            observations.add(each);
        }
        return observations;
    }

    private static int figure(ByteBuffer in, int bound) {
        long value = Varint.get(in);
        if (value < 0 || value >= bound) {
            throw new BufferUnderflowException();
        }
        return (int) value;
    }
}
