package cedarrudder.lab.load;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/** One request, from its intended time of sending on. */
final class Request {
    final int kind;
    private final int tenant;
    private final long id;

    /** Instants of the loop's clock. */
    final long intended;

    final long deadline;

    /** When it left; 0: it has not. */
    long leftAt;

    /** The connection that it left on; null before. */
    Channel channel;

    boolean resent;
    boolean over;

    /** Whether it is counted; what leaves in the lead is not. */
    final boolean counted;

    Request(int kind, int tenant, long id, long intended, long deadline, boolean counted) {
        this.kind = kind;
        this.tenant = tenant;
        this.id = id;
        this.intended = intended;
        this.deadline = deadline;
        this.counted = counted;
    }

    /** Writes the bytes of requests; one for each loop. */
    static final class Writer {
        private final byte[][][] heads;
        private final boolean[] keyed;
        private final byte[][] ends;
        private final HexFormat hex = HexFormat.of();

        Writer(Options options) {
            Traffic traffic = options.traffic();
            int tenants = Math.max(1, traffic.tenants().size());
            heads = new byte[traffic.kinds().size()][tenants][];
            keyed = new boolean[heads.length];
            ends = new byte[heads.length][];
            String body = "x".repeat(options.bodyBytes());
            for (int i = 0; i < heads.length; i++) {
                Traffic.Kind kind = traffic.kinds().get(i);
                boolean safe = kind.effect() == Idempotency.SAFE;
                keyed[i] = kind.effect() == Idempotency.KEYED;
                ends[i] =
                        ascii(
                                safe
                                        ? "\r\n\r\n"
                                        : "\r\nContent-Length: "
                                                + body.length()
                                                + "\r\n\r\n"
                                                + body);
                for (int k = 0; k < tenants; k++) {
                    heads[i][k] =
                            ascii(
                                    (safe ? "GET " : "POST ")
                                            + options.path()
                                            + " HTTP/1.1\r\n"
                                            + "Host: service.internal\r\nReq-Kind: "
                                            + kind.name()
                                            + "\r\n"
                                            + (traffic.tenants().isEmpty()
                                                    ? ""
                                                    : "Req-Owner: "
                                                            + traffic.tenants().get(k).name()
                                                            + "\r\n")
                                            + (options.fresh() ? "Connection: close\r\n" : ""));
                }
            }
        }

        private static byte[] ascii(String text) {
            return text.getBytes(StandardCharsets.ISO_8859_1);
        }

        /**
         * @param waitMillis what is left of the client's wait, at least 1
         */
        void write(Request request, long waitMillis, ByteBuf out) {
            out.writeBytes(heads[request.kind][request.tenant]);
            String own =
                    "Req-Id: " + hex.toHexDigits(request.id) + "\r\nReq-Deadline-Ms: " + waitMillis;
            out.writeCharSequence(own, StandardCharsets.ISO_8859_1);
            if (keyed[request.kind]) {
                out.writeCharSequence(
                        "\r\nIdempotency-Key: "
                                + hex.toHexDigits(~request.id)
                                + hex.toHexDigits(request.id),
                        StandardCharsets.ISO_8859_1);
            }
            out.writeBytes(ends[request.kind]);
        }
    }
}
