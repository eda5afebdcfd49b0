package cedarrudder.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.LoadReportFields;
import cedarrudder.protocol.SettingsReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SimulatorHostTest {
    private static final long NOW = 1_000_000_000L;
    private static final int BIG_ID = 0xFFFFFFF0; // above 2^31 when read as an unsigned number

    private static byte[] serve(byte[]... batches) throws IOException {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        for (byte[] batch : batches) {
            in.writeBytes(batch);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SimulatorHost.serve(
                BalancerParameters.DEFAULTS, new ByteArrayInputStream(in.toByteArray()), out);
        return out.toByteArray();
    }

    private static void assertRejected(String message, byte[]... batches) {
        SimulatorWireException e = assertThrows(SimulatorWireException.class, () -> serve(batches));
        assertTrue(e.getMessage().contains(message), e.getMessage());
        assertTrue(e.getMessage().startsWith("batch "), e.getMessage());
        assertEquals(1, e.getMessage().lines().count());
    }

    private static Frames started() {
        return new Frames(NOW)
                .to(3)
                .start(7, Frames.SETTINGS)
                .inventory(0, BIG_ID)
                .view(SimulatorWire.VIEW_CACHED, 0);
    }

    @Test
    void answersAnEmptyBatchWithAnEmptyReply() throws IOException {
        assertEquals(
                List.of(
                        (byte) 0, (byte) 0, (byte) 0, (byte) 0, (byte) 0, (byte) 0, (byte) 0,
                        (byte) 0),
                boxed(serve(new Frames(NOW).bytes())));
    }

    private static List<Byte> boxed(byte[] bytes) {
        Byte[] boxed = new Byte[bytes.length];
        Arrays.setAll(boxed, i -> bytes[i]);
        return List.of(boxed);
    }

    @Test
    void returnsNormallyWhereInputEndsBetweenBatches() throws IOException {
        assertEquals(0, serve().length);
    }

    @Test
    void servesARequest() throws IOException {
        byte[] out =
                serve(
                        started().knock(5, NOW + 1_000_000_000L).bytes(),
                        new Frames(NOW + 1000).to(3).outcome(5, 0, BIG_ID, 254, false).bytes());
        List<String> actions = Frames.actions(out);
        assertTrue(actions.contains("3 send 5 4294967280"), actions.toString());
    }

    @Test
    void hostsSeveralInstancesAndRestartsOneWithinABatch() throws IOException {
        byte[] out =
                serve(
                        new Frames(NOW)
                                .to(1)
                                .start(1, Frames.SETTINGS)
                                .inventory(0, 11)
                                .view(2, 0)
                                .to(2)
                                .start(2, Frames.SETTINGS)
                                .inventory(0, 22)
                                .view(2, 0)
                                .to(1)
                                .knock(5, NOW + 1000)
                                .to(2)
                                .knock(6, NOW + 1000)
                                .to(1)
                                .record(SimulatorWire.KILL, r -> {})
                                .start(3, Frames.SETTINGS)
                                .inventory(0, 33)
                                .view(2, 0)
                                .knock(7, NOW + 1000)
                                .bytes());
        List<String> sends = Frames.actions(out).stream().filter(a -> a.contains("send")).toList();
        assertEquals(List.of("1 send 5 11", "2 send 6 22", "1 send 7 33"), sends);
    }

    @Test
    void actsTheSameInOneProcessAndInSeveral() throws IOException {
        byte[] one =
                new Frames(NOW)
                        .to(1)
                        .start(1, Frames.SETTINGS)
                        .inventory(0, 1, 2, 3, 4)
                        .view(2, 0)
                        .knock(5, NOW + 1000)
                        .knock(6, NOW + 1000)
                        .bytes();
        byte[] two =
                new Frames(NOW)
                        .to(2)
                        .start(2, Frames.SETTINGS)
                        .inventory(0, 1, 2, 3, 4)
                        .view(2, 0)
                        .knock(7, NOW + 1000)
                        .knock(8, NOW + 1000)
                        .bytes();
        assertEquals(
                Frames.actions(serve(one, two)),
                Stream.concat(
                                Frames.actions(serve(one)).stream(),
                                Frames.actions(serve(two)).stream())
                        .toList());
    }

    @Test
    void acceptsALongBatch() throws IOException {
        Frames frames = started();
        for (int id = 0; id < 30_000; id++) {
            frames.knock(id, NOW + 1000);
        }
        long answered =
                Frames.actions(serve(frames.bytes())).stream()
                        .filter(a -> a.contains("send") || a.contains("refuse"))
                        .count();
        assertTrue(answered >= 30_000, "answered " + answered);
    }

    @Test
    void reportsAFaultOfTheBalancer() throws IOException {
        byte[] out =
                serve(
                        started()
                                .record(
                                        SimulatorWire.KNOCK,
                                        r ->
                                                r.putLong(5)
                                                        .put((byte) 0)
                                                        .putShort((short) 0)
                                                        .put((byte) 9))
                                .bytes());
        assertTrue(
                Frames.actions(out).stream().anyMatch(a -> a.startsWith("3 bug ")),
                "class 9 is not one");
    }

    @Test
    void ignoresUnusualButValidEvents() throws IOException {
        byte[] out =
                serve(
                        started()
                                .outcome(99, 0, BIG_ID, 0, true)
                                .record(SimulatorWire.CLIENT_LEFT, r -> r.putLong(99))
                                .record(
                                        SimulatorWire.STATUS_BACK,
                                        r -> r.putInt(77).putShort((short) 253))
                                .record(SimulatorWire.FIRST_BYTE, r -> r.putLong(99))
                                .record(SimulatorWire.WHISPER, r -> r.putShort((short) 1))
                                .record(SimulatorWire.BELL, r -> r.putLong(1L << 60))
                                .view(SimulatorWire.VIEW_FAILED, 9)
                                .inventory(1)
                                .view(SimulatorWire.VIEW_FULL, 1)
                                .bytes());
        assertTrue(Frames.actions(out).stream().noneMatch(a -> a.contains("bug")));
    }

    // ---- malformed input ----

    @ParameterizedTest
    @ValueSource(ints = {1, 15, 16, 40, 200})
    void rejectsATruncatedFrame(int length) {
        assertRejected("input ends", Arrays.copyOf(started().bytes(), length));
    }

    @Test
    void rejectsImpossibleLengthsWithoutAllocatingMemory() {
        byte[] frame = started().bytes();
        ByteBuffer.wrap(frame).order(ByteOrder.LITTLE_ENDIAN).putInt(0, -1);
        assertRejected("impossible length", frame);
        ByteBuffer.wrap(frame).order(ByteOrder.LITTLE_ENDIAN).putInt(0, Integer.MAX_VALUE - 16);
        assertRejected("input ends", frame);
        byte[] counted = started().bytes();
        ByteBuffer.wrap(counted).order(ByteOrder.LITTLE_ENDIAN).putInt(12, -1);
        assertRejected("do not fit", counted);
    }

    @Test
    void rejectsInputThatViolatesTheWireFormat() {
        assertRejected("unknown event code 42", started().record(42, r -> {}).bytes());
        assertRejected("never started", new Frames(NOW).to(8).knock(1, 0).bytes());
        assertRejected("never started", new Frames(NOW).knock(1, 0).bytes());
        assertRejected("without a TO", new Frames(NOW).start(1, Frames.SETTINGS).bytes());
        assertRejected(
                "list 7 was never given", started().view(SimulatorWire.VIEW_FULL, 7).bytes());
        assertRejected(
                "outside the tail",
                started()
                        .record(
                                SimulatorWire.INVENTORY,
                                r -> r.putShort((short) 1).putInt(0).putInt(Integer.MAX_VALUE))
                        .bytes());
        assertRejected("unknown outcome 9", started().outcome(1, 0, 1, 9, false).bytes());
        assertRejected("unknown kind of view 8", started().view(8, 0).bytes());
        assertRejected(
                "a load report of 9 values",
                started()
                        .record(
                                SimulatorWire.STATUS_BACK,
                                r -> r.putInt(1).putShort((short) 0).putLong(0).put((byte) 9))
                        .bytes());
    }

    @Test
    void rejectsInvalidSettings() {
        assertRejected("not JSON", new Frames(NOW).to(1).start(1, "{\"balancers\": ").bytes());
        assertRejected("not a JSON object", new Frames(NOW).to(1).start(1, "[1]").bytes());
        assertRejected(
                "'request-classes' is missing", new Frames(NOW).to(1).start(1, "{}").bytes());
        assertRejected(
                "'request-classes[0].goal-time-ns' is missing",
                new Frames(NOW)
                        .to(1)
                        .start(1, Frames.SETTINGS.replace("goal-time-ns", "other"))
                        .bytes());
        assertRejected(
                "'request-classes[0].idempotency': found 'maybe'; allowed: dedup, fragile,"
                        + " retryable",
                new Frames(NOW)
                        .to(1)
                        .start(1, Frames.SETTINGS.replace("retryable", "maybe"))
                        .bytes());
        assertRejected(
                "'limits.cancel' is not true or false",
                new Frames(NOW)
                        .to(1)
                        .start(1, Frames.SETTINGS.replace("\"cancel\": true", "\"cancel\": 7"))
                        .bytes());
    }

    @Test
    void readsLoadReportValuesInTheOrderOfTheSettings() {
        LoadReportFields fields = SettingsReader.read(JsonObject.parse(Frames.SETTINGS)).fields();
        double[] values = {50, 4, 12};
        var load = fields.load(i -> values[i]);
        assertEquals(4, load.inFlight());
        assertEquals(12, load.latencyMillis());
        assertEquals(50, load.requestsPerSecond());
        assertTrue(Double.isNaN(load.queued()));
    }
}
