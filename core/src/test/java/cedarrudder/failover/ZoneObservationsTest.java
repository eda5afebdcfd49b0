package cedarrudder.failover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.failover.ZoneObservations.ZoneObservation;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests the encoding of a replica's observations, and how they are counted. */
public class ZoneObservationsTest {

    private static final long SEED = 4;
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    private static ZoneObservations randomObservations(Random random, int zones) {
        List<ZoneObservation> observed = new ArrayList<>();
        for (int zone = 0; zone < zones; zone++) {
            if (random.nextInt(5) > 0) {
                observed.add(
                        new ZoneObservation(
                                zone,
                                random.nextInt(ZoneObservations.MAX_AGE + 1),
                                random.nextInt(3_000),
                                random.nextInt(9),
                                random.nextInt(ZoneObservations.MAX_COUNT),
                                random.nextInt(200),
                                random.nextInt(90),
                                random.nextInt(4_000),
                                random.nextInt(201),
                                random.nextInt(300),
                                random.nextInt(20),
                                random.nextInt(30_000)));
            }
        }
        return new ZoneObservations(
                random.nextInt(1 << 16),
                random.nextInt(64),
                random.nextLong() >>> 1,
                random.nextInt(1 << 20),
                random.nextLong() >>> 1,
                1 + random.nextInt(9_000),
                random.nextInt(9_000),
                random.nextInt(50),
                observed);
    }

    /** A report must be the same once it is encoded and decoded, and fit its datagram. */
    @Test
    public void encodedPartsDecodeToTheSameObservations() {
        Random random = new Random(SEED);
        for (int i = 0; i < 2_000; i++) {
            ZoneObservations report = randomObservations(random, random.nextInt(65));
            int max =
                    ZoneObservations.MIN_BYTES
                            + random.nextInt(
                                    ZoneObservations.MAX_BYTES - ZoneObservations.MIN_BYTES + 1);
            List<ZoneObservation> observed = new ArrayList<>();
            for (byte[] part : report.encode(max)) {
                assertTrue(part.length <= max, "seed " + SEED + ", " + i);
                ZoneObservations read = ZoneObservations.decode(part);
                assertEquals(
                        new ZoneObservations(
                                read.replica(),
                                read.zone(),
                                read.incarnation(),
                                read.sequence(),
                                read.table(),
                                read.millis(),
                                read.requests(),
                                read.unserved(),
                                report.observations()),
                        report);
                observed.addAll(read.observations());
            }
            assertEquals(observed, report.observations(), "seed " + SEED + ", " + i);
        }
        ZoneObservations typical =
                new ZoneObservations(
                        29,
                        3,
                        1_790_000_000_000L,
                        90_000,
                        1L << 33,
                        500,
                        60,
                        0,
                        List.of(
                                new ZoneObservation(0, 3, 1, 0, 0, 0, 0, 0, 40, 8, 0, 800),
                                new ZoneObservation(1, 0, 0, 0, 1, 0, 1, 0, 60, 8, 0, 800),
                                new ZoneObservation(2, 9, 1, 0, 0, 0, 0, 0, 50, 8, 0, 800),
                                new ZoneObservation(3, 0, 58, 1, 0, 1, 4, 0, 70, 8, 1, 720)));
        assertEquals(typical.encode(ZoneObservations.MAX_BYTES).size(), 1);
    }

    /** No bytes of a peer may end this process, or be accepted with impossible values. */
    @Test
    public void garbageIsRejected() {
        Random random = new Random(SEED);
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes =
                    i % 2 == 0
                            ? new byte[random.nextInt(260)]
                            : randomObservations(random, 6)
                                    .encode(ZoneObservations.MAX_BYTES)
                                    .get(0);
            if (i % 2 == 0) {
                random.nextBytes(bytes);
                if (bytes.length > 0) {
                    bytes[0] = 1;
                }
            } else {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            ZoneObservations read = ZoneObservations.decode(bytes);
            assertTrue(
                    read == null || read.encode(ZoneObservations.MAX_BYTES).get(0).length <= 200);
        }
        assertNull(ZoneObservations.decode(new byte[0]));
    }

    private static ZoneTrafficCounter newCounter(long now) {
        ZoneTrafficCounter counter =
                new ZoneTrafficCounter(
                        2,
                        0,
                        7,
                        2,
                        500 * MILLI,
                        new SafetyRules(0, 0.2, 10 * SECOND, 2, SECOND, 0),
                        now);
        counter.onEndpoints(
                EndpointListKind.FULL,
                List.of(
                        new Endpoint(1, 0, 0, 0, EndpointStatus.READY, 1, 0),
                        new Endpoint(2, 0, 0, 0, EndpointStatus.READY, 2, now - 5 * SECOND),
                        new Endpoint(3, 1, 0, 0, EndpointStatus.DRAINING, 1, 0)));
        return counter;
    }

    /** An attempt must not be counted for another zone, nor a cold endpoint as a warm one. */
    @Test
    public void attemptsAreCountedByZone() {
        ZoneTrafficCounter counter = newCounter(0);
        for (Outcome outcome : Outcome.values()) {
            counter.onRequest();
            counter.onAttemptEnded(
                    MILLI,
                    counter.onAttemptSent(0, 1),
                    outcome,
                    new LoadReport(0, 0, 0.5, 0, 0, 0));
        }
        counter.onAttemptSent(2 * MILLI, 2);
        counter.onUnserved();
        counter.onAttemptEnded(
                3 * MILLI,
                counter.onAttemptSent(0, 9),
                Outcome.ERROR,
                null); // an endpoint that is not listed
        counter.onProbeEnded(3 * MILLI, 3, Outcome.TIMEOUT, null);
        assertEquals(
                counter.closePeriod(500 * MILLI, 5),
                new ZoneObservations(
                        2,
                        0,
                        7,
                        1,
                        5,
                        500,
                        8,
                        1,
                        List.of(
                                new ZoneObservation(
                                        0,
                                        0,
                                        1,
                                        2,
                                        2,
                                        1,
                                        1,
                                        498,
                                        51,
                                        2,
                                        1,
                                        100 + 2 * 64), // cold: 0.2 + 0.8 * 5.5 / 10
                                new ZoneObservation(1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0))));
        ZoneObservations next = counter.closePeriod(1_000 * MILLI, 5);
        assertEquals(next.observations().get(1).age(), 1);
        assertEquals(next.sequence(), 2);
    }

    /** A replica that was suspended would otherwise report every zone as silent. */
    @Test
    public void suspendedReplicaReportsNothing() {
        ZoneTrafficCounter counter = newCounter(0);
        int sent = counter.onAttemptSent(0, 1);
        assertNull(counter.closePeriod(3_000 * MILLI, 0));
        counter.onAttemptEnded(3_100 * MILLI, sent, Outcome.TIMEOUT, null);
        assertNull(
                counter.closePeriod(3_500 * MILLI, 0),
                "attempts that end just after the suspension belong to it");
        assertNotNull(counter.closePeriod(4_000 * MILLI, 0));
    }
}
