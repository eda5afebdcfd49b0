package cedarrudder.simulator;

import cedarrudder.balancer.LoadBalancer.Actions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the actions of one reply and writes the reply. */
final class FrameEncoder {

    private ByteBuffer records = buffer(1 << 16);
    private ByteBuffer tail = buffer(1 << 10);
    private int count;
    private long current = -1;

    private static ByteBuffer buffer(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    private static ByteBuffer ensureCapacity(ByteBuffer buffer, int additionalBytes) {
        if (buffer.remaining() >= additionalBytes) {
            return buffer;
        }
        ByteBuffer larger =
                buffer(Math.max(2 * buffer.capacity(), buffer.position() + additionalBytes));
        return larger.put(buffer.flip());
    }

    /** Removes all actions, for the next reply. */
    void clear() {
        records.clear().position(SimulatorWire.REPLY_HEADER);
        tail.clear();
        count = 0;
        current = -1;
    }

    /** Writes the reply at once and flushes it. */
    void writeTo(OutputStream out) throws IOException {
        records.putInt(0, count);
        records.putInt(4, records.position() - SimulatorWire.REPLY_HEADER + tail.position());
        records = ensureCapacity(records, tail.position());
        records.put(tail.flip());
        out.write(records.array(), 0, records.position());
        out.flush();
    }

    /**
     * Starts a record of this instance and returns its position; the buffer may have been replaced
     * afterwards.
     */
    private int record(long instance, int code) {
        if (instance != current) {
            current = instance;
            int at = appendRecord(SimulatorWire.AS);
            records.putInt(at + 1, (int) instance);
        }
        return appendRecord(code);
    }

    private int appendRecord(int code) {
        records = ensureCapacity(records, SimulatorWire.ACTION);
        int at = records.position();
        Arrays.fill(records.array(), at, at + SimulatorWire.ACTION, (byte) 0);
        records.put(at, (byte) code);
        records.position(at + SimulatorWire.ACTION);
        count++;
        return at;
    }

    private void span(int at, byte[] content) {
        records.putInt(at, tail.position());
        records.putInt(at + 4, content.length);
        tail = ensureCapacity(tail, content.length);
        tail.put(content);
    }

    /** Reports that the balancer of this instance failed. */
    void bug(long instance, String message) {
        int at = record(instance, SimulatorWire.BUG);
        span(at + 1, message.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the actions of one instance, which are added to the current reply. */
    Actions actionsOf(long instance) {
        return new InstanceActions(instance);
    }

    private final class InstanceActions implements Actions {
        private final long instance;

        InstanceActions(long instance) {
            this.instance = instance;
        }

        private int record(int code) {
            return FrameEncoder.this.record(instance, code);
        }

        @Override
        public void startAttempt(long request, long endpoint, long timeout) {
            int at = record(SimulatorWire.CALL_OUT);
            records.putLong(at + 1, request);
            records.putInt(at + 9, (int) endpoint);
            records.putLong(at + 13, timeout);
        }

        @Override
        public void reject(long request, long retryAfter) {
            int at = record(SimulatorWire.TURN_AWAY);
            records.putLong(at + 1, request);
            records.putLong(at + 9, retryAfter);
        }

        @Override
        public void fail(long request) {
            int at = record(SimulatorWire.FINISH_ERROR);
            records.putLong(at + 1, request);
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            int at = record(SimulatorWire.UNDO_SEND);
            records.putLong(at + 1, request);
            records.put(at + 9, (byte) attempt);
        }

        @Override
        public void sendProbe(long endpoint) {
            int at = record(SimulatorWire.POLL);
            records.putInt(at + 1, (int) endpoint);
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            int at = record(SimulatorWire.FREE_LINKS);
            records.putInt(at + 1, (int) endpoint);
        }

        @Override
        public void scheduleTimer(long at, long token) {
            int record = record(SimulatorWire.SCHEDULE);
            records.putLong(record + 1, at);
            records.putLong(record + 9, token);
        }

        @Override
        public void watchEndpoints(boolean on) {
            int at = record(SimulatorWire.SUBSCRIBE);
            records.put(at + 1, (byte) (on ? 1 : 0));
        }

        @Override
        public void fetchEndpoints() {
            record(SimulatorWire.FETCH);
        }

        @Override
        public void sendToPeers(int replica, byte[] message) {
            int at = record(SimulatorWire.PUBLISH);
            records.putInt(at + 1, replica);
            span(at + 5, message);
        }

        @Override
        public void log(String line) {
            span(record(SimulatorWire.EMIT) + 1, line.getBytes(StandardCharsets.UTF_8));
        }
    }
}
