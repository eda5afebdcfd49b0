package cedarrudder.protocol;

import cedarrudder.budget.BudgetFields;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.PropagatedBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes HTTP/1.1 messages. */
public final class HttpEncoder {

    private static final String DEADLINE = "req-deadline-ms";

    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** What frames a chunk: its length in hexadecimal digits and two line ends. */
    private static final int MAX_FRAME = 12;

    private HttpEncoder() {}

    /**
     * A request as it goes on to an endpoint: unchanged but for the time that is left and, where
     * there are budgets, what is handed down.
     *
     * @param handed null where there are no budgets
     */
    public static ByteBuf request(
            ByteBufAllocator buffers,
            HttpMessage request,
            long leftMillis,
            PropagatedBudget handed) {
        StringBuilder head =
                new StringBuilder(256)
                        .append(request.head().method())
                        .append(' ')
                        .append(request.head().target())
                        .append(" HTTP/1.1\r\n");
        List<String> listed = request.head().fields().ofConnection();
        List<HeaderFields.Field> fields = request.head().fields().all();
        for (int i = 0; i < fields.size(); i++) {
            HeaderFields.Field field = fields.get(i);
            if (passesOn(field, listed)
                    && !field.key().equals(DEADLINE)
                    && (handed == null || !BudgetHeaders.KEYS.contains(field.key()))) {
                field(head, field.name().text(), field.value());
            }
        }
        field(head, "Req-Deadline-Ms", Long.toString(leftMillis));
        if (handed != null) {
            field(head, BudgetFields.BUDGET, BudgetFields.budget(handed));
            field(head, BudgetFields.PATH, BudgetFields.path(handed));
        }
        boolean bodiless = request.body().length == 0 && request.head().method().equals("GET");
        return request.rest() == null
                ? finish(buffers, head, request.body(), !bodiless)
                : begin(buffers, head, request, true);
    }

    /**
     * Whether a field goes further than this connection, of which {@code Connection} lists these
     * names.
     */
    private static boolean passesOn(HeaderFields.Field field, List<String> listed) {
        return field.name().passedOn()
                && (listed.isEmpty() || field.name().isEndToEnd() || !listed.contains(field.key()));
    }

    /** What lets a client send the body that it holds back. */
    public static ByteBuf goOn(ByteBufAllocator buffers) {
        return buffers.buffer(CONTINUE.length).writeBytes(CONTINUE);
    }

    /** A request of the proxy's own, without a body. */
    public static ByteBuf get(ByteBufAllocator buffers, String target, String host) {
        StringBuilder head =
                new StringBuilder(96).append("GET ").append(target).append(" HTTP/1.1\r\n");
        field(head, "Host", host);
        return finish(buffers, head, new byte[0], false);
    }

    /**
     * An endpoint's answer as it goes on to the client.
     *
     * @param budgets whether what it says of budgets was for this proxy and goes no further
     * @param result what this proxy says of them; null: nothing
     * @param chunks whether the client takes a body in chunks; one that flows and has no length
     *     ends with the connection otherwise
     */
    public static ByteBuf served(
            ByteBufAllocator buffers,
            HttpMessage answer,
            boolean close,
            boolean budgets,
            DownstreamFeedback result,
            boolean chunks) {
        StringBuilder head = start(200, close);
        List<String> listed = answer.head().fields().ofConnection();
        List<HeaderFields.Field> fields = answer.head().fields().all();
        for (int i = 0; i < fields.size(); i++) {
            HeaderFields.Field field = fields.get(i);
            if (passesOn(field, listed) && !(budgets && BudgetHeaders.KEYS.contains(field.key()))) {
                field(head, field.name().text(), field.value());
            }
        }
        result(head, result);
        return answer.rest() == null
                ? finish(buffers, head, answer.body(), true)
                : begin(buffers, head, answer, chunks);
    }

    /** The head and the first bytes of a message whose rest flows. */
    private static ByteBuf begin(
            ByteBufAllocator buffers, StringBuilder head, HttpMessage message, boolean chunks) {
        long length = message.rest().length();
        boolean chunked = length < 0 && chunks;
        if (length >= 0) {
            field(head, "Content-Length", Long.toString(length));
        } else if (chunked) {
            field(head, "Transfer-Encoding", "chunked");
        }
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] body = message.body();
        ByteBuf out = buffers.buffer(start.length + body.length + MAX_FRAME).writeBytes(start);
        return body.length == 0 ? out : write(out, body, chunked);
    }

    /** A piece of a body that flows; it holds at least one byte. */
    public static ByteBuf piece(ByteBufAllocator buffers, byte[] piece, boolean chunked) {
        return write(buffers.buffer(piece.length + MAX_FRAME), piece, chunked);
    }

    /** The end of a body in chunks. */
    public static ByteBuf lastChunk(ByteBufAllocator buffers) {
        return buffers.buffer(LAST_CHUNK.length).writeBytes(LAST_CHUNK);
    }

    private static ByteBuf write(ByteBuf out, byte[] piece, boolean chunked) {
        if (!chunked) {
            return out.writeBytes(piece);
        }
        out.writeBytes(
                (Integer.toHexString(piece.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        return out.writeBytes(piece).writeByte('\r').writeByte('\n');
    }

    /** An answer of the proxy's own; {@code retryAfterNanos} of 0 gives no advice. */
    public static ByteBuf answer(
            ByteBufAllocator buffers,
            int status,
            String text,
            long retryAfterNanos,
            boolean close) {
        return answer(buffers, status, text, retryAfterNanos, close, null);
    }

    /** The same, with what it says of budgets; null: nothing. */
    public static ByteBuf answer(
            ByteBufAllocator buffers,
            int status,
            String text,
            long retryAfterNanos,
            boolean close,
            DownstreamFeedback result) {
        StringBuilder head = start(status, close);
        field(head, "Content-Type", "text/plain");
        if (retryAfterNanos > 0) {
            field(head, "Retry-After", Double.toString(Math.ceil(retryAfterNanos / 1e6) / 1e3));
        }
        result(head, result);
        return finish(buffers, head, (text + "\n").getBytes(StandardCharsets.UTF_8), true);
    }

    /**
     * An answer to an operator's call, after which the connection ends; {@code allow} may be null.
     */
    public static ByteBuf page(
            ByteBufAllocator buffers, int status, String type, byte[] body, String allow) {
        StringBuilder head = start(status, true);
        field(head, "Content-Type", type);
        if (allow != null) {
            field(head, "Allow", allow);
        }
        return finish(buffers, head, body, true);
    }

    /**
     * An answer of the proxy's own to {@code HEAD}: with the length of its body, and without the
     * body.
     */
    public static ByteBuf answerHead(
            ByteBufAllocator buffers, int status, String text, boolean close) {
        ByteBuf full = answer(buffers, status, text, 0, close);
        return full.writerIndex(
                full.writerIndex() - text.getBytes(StandardCharsets.UTF_8).length - 1);
    }

    private static void result(StringBuilder head, DownstreamFeedback result) {
        if (result != null) {
            field(head, BudgetFields.RESULT, BudgetFields.result(result));
        }
    }

    private static StringBuilder start(int status, boolean close) {
        StringBuilder head =
                new StringBuilder(128)
                        .append("HTTP/1.1 ")
                        .append(status)
                        .append(' ')
                        .append(reason(status))
                        .append("\r\n");
        if (close) {
            field(head, "Connection", "close");
        }
        return head;
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 413 -> "Content Too Large";
            case 414 -> "URI Too Long";
            case 431 -> "Request Header Fields Too Large";
            case 501 -> "Not Implemented";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 505 -> "HTTP Version Not Supported";
            default -> throw new IllegalArgumentException("no reason for status " + status);
        };
    }

    private static void field(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }

    private static ByteBuf finish(
            ByteBufAllocator buffers, StringBuilder head, byte[] body, boolean length) {
        if (length) {
            field(head, "Content-Length", Integer.toString(body.length));
        }
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        return buffers.buffer(start.length + body.length).writeBytes(start).writeBytes(body);
    }
}
