package cedarrudder.simulator;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.protocol.LoadReportFields;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads batches of events. The offsets passed to the field readers count from the first byte of the
 * current record.
 */
final class FrameDecoder {

    /**
     * The maximum number of bytes for which memory is allocated ahead of the input, so that a
     * length field can't reserve memory that is never filled.
     */
    private static final int CHUNK = 1 << 16;

    private static final int MAX_VALUES = 4;
    private static final int FIRST_STATUS = 249;

    /** Outcomes by code, starting at {@link #FIRST_STATUS}. */
    private static final Outcome[] OUTCOMES = {
        Outcome.NOT_STARTED,
        Outcome.CANCELLED,
        Outcome.RESET,
        Outcome.CONNECT_FAILED,
        Outcome.TIMEOUT,
        Outcome.REJECTED,
        Outcome.ERROR
    };

    private final InputStream in;
    private byte[] bytes = new byte[CHUNK];
    private ByteBuffer frame = wrap(bytes);
    private long frameNumber;
    private long now;
    private int length;
    private int records;
    private int record;
    private int at;

    FrameDecoder(InputStream in) {
        this.in = in;
    }

    private static ByteBuffer wrap(byte[] bytes) {
        return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Reads the next batch; returns false at the end of the input. */
    boolean next() throws IOException {
        frameNumber++;
        record = -1;
        int bytesRead = in.readNBytes(bytes, 0, SimulatorWire.BATCH_HEADER);
        if (bytesRead == 0) {
            return false;
        }
        if (bytesRead < SimulatorWire.BATCH_HEADER) {
            throw new SimulatorWireException(
                    "batch "
                            + frameNumber
                            + ": input ends after "
                            + bytesRead
                            + " bytes of its header");
        }
        long size = Integer.toUnsignedLong(frame.getInt(0));
        now = frame.getLong(4);
        long count = Integer.toUnsignedLong(frame.getInt(12));
        if (size > Integer.MAX_VALUE - 16) {
            throw new SimulatorWireException(
                    "batch " + frameNumber + ": impossible length " + size);
        }
        if (count * SimulatorWire.EVENT > size) {
            throw new SimulatorWireException(
                    "batch "
                            + frameNumber
                            + ": "
                            + count
                            + " records do not fit "
                            + size
                            + " bytes");
        }
        length = (int) size;
        records = (int) count;
        read();
        return true;
    }

    private void read() throws IOException {
        int received = 0;
        while (received < length) {
            if (received == bytes.length) {
                bytes = Arrays.copyOf(bytes, (int) Math.min(length, 2L * bytes.length));
                frame = wrap(bytes);
            }
            int bytesRead = in.read(bytes, received, Math.min(length, bytes.length) - received);
            if (bytesRead < 0) {
                throw new SimulatorWireException(
                        "batch "
                                + frameNumber
                                + ": input ends after "
                                + received
                                + " of "
                                + length
                                + " bytes");
            }
            received += bytesRead;
        }
    }

    /** Moves to the next record; returns false after the last one. */
    boolean nextRecord() {
        record++;
        at = record * SimulatorWire.EVENT;
        return record < records;
    }

    SimulatorWireException error(String what) {
        return new SimulatorWireException(
                "batch " + frameNumber + ", record " + record + ": " + what);
    }

    long now() {
        return now;
    }

    int code() {
        return u8(0);
    }

    int u8(int offset) {
        return Byte.toUnsignedInt(frame.get(at + offset));
    }

    int u16(int offset) {
        return Short.toUnsignedInt(frame.getShort(at + offset));
    }

    long u32(int offset) {
        return Integer.toUnsignedLong(frame.getInt(at + offset));
    }

    long i64(int offset) {
        return frame.getLong(at + offset);
    }

    /** Returns the position in the frame at which a span of the tail begins. */
    private int span(int offset, int unit) {
        long from = u32(offset);
        long size = u32(offset + 4) * unit;
        long tail = (long) records * SimulatorWire.EVENT;
        if (tail + from + size > length) {
            throw error(
                    "span "
                            + from
                            + " + "
                            + size
                            + " lies outside the tail of "
                            + (length - tail)
                            + " bytes");
        }
        return (int) (tail + from);
    }

    byte[] bytes(int offset) {
        int from = span(offset, 1);
        return Arrays.copyOfRange(bytes, from, from + (int) u32(offset + 4));
    }

    String text(int offset) {
        return new String(bytes(offset), StandardCharsets.UTF_8);
    }

    List<Endpoint> endpoints(int offset) {
        int from = span(offset, SimulatorWire.ENDPOINT);
        int count = (int) u32(offset + 4);
        List<Endpoint> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++, from += SimulatorWire.ENDPOINT) {
            int phase = Byte.toUnsignedInt(frame.get(from + 10));
            EndpointStatus state =
                    switch (phase) {
                        case 0 -> EndpointStatus.REMOVED;
                        case 1 -> EndpointStatus.READY;
                        case 2 -> EndpointStatus.DRAINING;
                        default -> throw error("unknown phase " + phase);
                    };
            entries.add(
                    new Endpoint(
                            Integer.toUnsignedLong(frame.getInt(from)),
                            Short.toUnsignedInt(frame.getShort(from + 4)),
                            Short.toUnsignedInt(frame.getShort(from + 6)),
                            Short.toUnsignedInt(frame.getShort(from + 8)),
                            state,
                            frame.getFloat(from + 11),
                            frame.getLong(from + 15)));
        }
        return entries;
    }

    EndpointListKind listKind(int kind) {
        return switch (kind) {
            case SimulatorWire.VIEW_FULL -> EndpointListKind.FULL;
            case SimulatorWire.VIEW_DELTA -> EndpointListKind.DELTA;
            case SimulatorWire.VIEW_CACHED -> EndpointListKind.CACHED;
            default -> throw error("unknown kind of view " + kind);
        };
    }

    Outcome outcome(int offset) {
        int code = u16(offset);
        if (code == 0) {
            return Outcome.OK;
        }
        if (code < FIRST_STATUS || code >= FIRST_STATUS + OUTCOMES.length) {
            throw error("unknown outcome " + code);
        }
        return OUTCOMES[code - FIRST_STATUS];
    }

    /**
     * Reads a load report, with its values in the order that the settings name; returns null where
     * none is attached.
     */
    LoadReport load(int offset, LoadReportFields fields) {
        int count = u8(offset);
        if (count > MAX_VALUES) {
            throw error("a load report of " + count + " values");
        }
        int first = at + offset + 1;
        return count == 0
                ? null
                : fields.load(i -> i < count ? frame.getFloat(first + 4 * i) : Double.NaN);
    }
}
