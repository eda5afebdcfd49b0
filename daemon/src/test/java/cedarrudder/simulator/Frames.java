package cedarrudder.simulator;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Builds batches for tests and decodes replies. */
final class Frames {

    static final String SETTINGS =
            """
            {"balancers": 2, "ordinal": 1, "zone": 0, "layer": 0, "tiers": ["front"], "discovery": "push",
             "new-key": {"x": [1, 2]},
             "limits": {"cancel": true, "max-attempts": 3, "probes": true, "parallel-tries": true},
             "report": {"fields": ["qps", "inflight", "latency_ms"], "via": "probe"},
             "request-classes": [{"name": "get", "give-up-ns": 1000000000, "goal-time-ns": 200000000,
               "idempotency": "retryable", "value": 1}],
             "safety": {"stop-sending-within-ns": 1000000000, "cold-share": 0.3, "ramp-time-ns": 9000000000,
               "fall-multiple": 3, "fall-ns": 1000000000}}
            """;

    private final ByteArrayOutputStream records = new ByteArrayOutputStream();
    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private final long now;
    private int count;

    Frames(long now) {
        this.now = now;
    }

    static ByteBuffer buffer(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    Frames record(int code, Consumer<ByteBuffer> fields) {
        ByteBuffer record = buffer(SimulatorWire.EVENT);
        record.put((byte) code);
        fields.accept(record);
        records.writeBytes(record.array());
        count++;
        return this;
    }

    Frames to(int instance) {
        return record(SimulatorWire.TO, r -> r.putInt(instance));
    }

    Frames start(long seed, String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        int at = tail.size();
        tail.writeBytes(text);
        return record(
                SimulatorWire.NEW_INSTANCE, r -> r.putLong(seed).putInt(at).putInt(text.length));
    }

    /** Adds an inventory of ready endpoints with these ids. */
    Frames inventory(int number, int... ids) {
        int at = tail.size();
        for (int id : ids) {
            ByteBuffer entry = buffer(SimulatorWire.ENDPOINT);
            entry.putInt(id).position(10);
            entry.put((byte) 1).putFloat(1);
            tail.writeBytes(entry.array());
        }
        return record(
                SimulatorWire.INVENTORY,
                r -> r.putShort((short) number).putInt(at).putInt(ids.length));
    }

    Frames view(int kind, int inventory) {
        return record(
                SimulatorWire.VIEW, r -> r.put((byte) kind).putInt(1).putShort((short) inventory));
    }

    Frames knock(long id, long deadline) {
        return record(
                SimulatorWire.KNOCK,
                r ->
                        r.putLong(id)
                                .put((byte) 0)
                                .putShort((short) 0)
                                .put((byte) 0)
                                .putLong(deadline));
    }

    Frames outcome(long id, int attempt, int endpoint, int how, boolean settled) {
        return record(
                SimulatorWire.OUTCOME,
                r ->
                        r.putLong(id)
                                .put((byte) attempt)
                                .putInt(endpoint)
                                .putShort((short) how)
                                .putLong(1000)
                                .put((byte) (settled ? 1 : 0)));
    }

    byte[] bytes() {
        ByteBuffer frame = buffer(SimulatorWire.BATCH_HEADER + records.size() + tail.size());
        frame.putInt(records.size() + tail.size()).putLong(now).putInt(count);
        frame.put(records.toByteArray()).put(tail.toByteArray());
        return frame.array();
    }

    /**
     * Returns the actions of all replies, one line each, with the instance to which they belong.
     */
    static List<String> actions(byte[] output) {
        List<String> lines = new ArrayList<>();
        ByteBuffer all = ByteBuffer.wrap(output).order(ByteOrder.LITTLE_ENDIAN);
        int at = 0;
        while (at < output.length) {
            int records = all.getInt(at);
            int length = all.getInt(at + 4);
            int body = at + SimulatorWire.REPLY_HEADER;
            long instance = -1;
            for (int i = 0; i < records; i++) {
                int r = body + i * SimulatorWire.ACTION;
                int code = all.get(r);
                switch (code) {
                    case SimulatorWire.AS -> instance = Integer.toUnsignedLong(all.getInt(r + 1));
                    case SimulatorWire.CALL_OUT ->
                            lines.add(
                                    instance
                                            + " send "
                                            + all.getLong(r + 1)
                                            + " "
                                            + Integer.toUnsignedLong(all.getInt(r + 9)));
                    case SimulatorWire.TURN_AWAY ->
                            lines.add(instance + " refuse " + all.getLong(r + 1));
                    case SimulatorWire.FINISH_ERROR ->
                            lines.add(instance + " fail " + all.getLong(r + 1));
                    case SimulatorWire.BUG, SimulatorWire.EMIT ->
                            lines.add(
                                    instance
                                            + (code == SimulatorWire.BUG ? " bug " : " log ")
                                            + new String(
                                                    output,
                                                    body
                                                            + records * SimulatorWire.ACTION
                                                            + all.getInt(r + 1),
                                                    all.getInt(r + 5),
                                                    StandardCharsets.UTF_8));
                    case SimulatorWire.POLL ->
                            lines.add(
                                    instance
                                            + " probe "
                                            + Integer.toUnsignedLong(all.getInt(r + 1)));
                    default -> {}
                }
            }
            at = body + length;
        }
        return lines;
    }
}
