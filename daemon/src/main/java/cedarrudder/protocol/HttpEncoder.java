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

    private static final String DEADLINE_KEY = "req-deadline-ms";

    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** Maximum overhead of a chunk in bytes: its length in hexadecimal digits and two line ends. */
    private static final int MAX_CHUNK_OVERHEAD = 12;

    private HttpEncoder() {}

    /**
     * Encodes a request for an endpoint. Its end-to-end fields are unchanged except for the
     * remaining time and, with budgets, the budget fields.
     *
     * @param budget the budget for the endpoint; null where there are no budgets
     */
    public static ByteBuf request(
            ByteBufAllocator buffers,
            HttpMessage request,
            long leftMillis,
            PropagatedBudget budget) {
        StringBuilder head =
                new StringBuilder(256)
                        .append(request.head().method())
                        .append(' ')
                        .append(request.head().target())
                        .append(" HTTP/1.1\r\n");
        List<String> hopByHopNames = request.head().fields().connectionOptions();
        List<HeaderFields.Field> fields = request.head().fields().all();
        for (int i = 0; i < fields.size(); i++) {
            HeaderFields.Field field = fields.get(i);
            if (isForwarded(field, hopByHopNames)
                    && !field.key().equals(DEADLINE_KEY)
                    && (budget == null || !BudgetHeaders.KEYS.contains(field.key()))) {
                field(head, field.name().text(), field.value());
            }
        }
        field(head, "Req-Deadline-Ms", Long.toString(leftMillis));
        if (budget != null) {
            field(head, BudgetFields.BUDGET, BudgetFields.budget(budget));
            field(head, BudgetFields.PATH, BudgetFields.path(budget));
        }
        boolean bodiless = request.body().length == 0 && request.head().method().equals("GET");
        return request.rest() == null
                ? encodeComplete(buffers, head, request.body(), !bodiless)
                : encodeStart(buffers, head, request, true);
    }

    /**
     * Returns whether a field is forwarded beyond this connection, whose {@code Connection} field
     * lists the given names.
     */
    private static boolean isForwarded(HeaderFields.Field field, List<String> hopByHopNames) {
        return field.name().isForwardable()
                && (hopByHopNames.isEmpty()
                        || field.name().isEndToEnd()
                        || !hopByHopNames.contains(field.key()));
    }

    /**
     * Encodes the 100 (Continue) response, after which a client sends the body that it withholds.
     */
    public static ByteBuf goOn(ByteBufAllocator buffers) {
        return buffers.buffer(CONTINUE.length).writeBytes(CONTINUE);
    }

    /** Encodes a GET request that the proxy itself sends. */
    public static ByteBuf get(ByteBufAllocator buffers, String target, String host) {
        StringBuilder head =
                new StringBuilder(96).append("GET ").append(target).append(" HTTP/1.1\r\n");
        field(head, "Host", host);
        return encodeComplete(buffers, head, new byte[0], false);
    }

    /**
     * Encodes an endpoint's response for the client.
     *
     * @param budgets true to drop the response's budget fields, which are meant for this proxy
     *     alone
     * @param result this proxy's own budget feedback; null for none
     * @param chunks whether the client accepts a chunked body; otherwise a body that is forwarded
     *     in pieces and has no declared length ends with the connection
     */
    public static ByteBuf served(
            ByteBufAllocator buffers,
            HttpMessage response,
            boolean close,
            boolean budgets,
            DownstreamFeedback result,
            boolean chunks) {
        StringBuilder head = start(200, close);
        List<String> hopByHopNames = response.head().fields().connectionOptions();
        List<HeaderFields.Field> fields = response.head().fields().all();
        for (int i = 0; i < fields.size(); i++) {
            HeaderFields.Field field = fields.get(i);
            if (isForwarded(field, hopByHopNames)
                    && !(budgets && BudgetHeaders.KEYS.contains(field.key()))) {
                field(head, field.name().text(), field.value());
            }
        }
        result(head, result);
        return response.rest() == null
                ? encodeComplete(buffers, head, response.body(), true)
                : encodeStart(buffers, head, response, chunks);
    }

    /** Encodes the head and the first bytes of a message whose remaining body follows in pieces. */
    private static ByteBuf encodeStart(
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
        ByteBuf out =
                buffers.buffer(start.length + body.length + MAX_CHUNK_OVERHEAD).writeBytes(start);
        return body.length == 0 ? out : write(out, body, chunked);
    }

    /** Encodes one piece of a body, of at least one byte. */
    public static ByteBuf piece(ByteBufAllocator buffers, byte[] piece, boolean chunked) {
        return write(buffers.buffer(piece.length + MAX_CHUNK_OVERHEAD), piece, chunked);
    }

    /** Encodes the end of a chunked body. */
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

    /**
     * Encodes a response of the proxy itself; a {@code retryAfterNanos} of 0 omits {@code
     * Retry-After}.
     */
    public static ByteBuf answer(
            ByteBufAllocator buffers,
            int status,
            String text,
            long retryAfterNanos,
            boolean close) {
        return answer(buffers, status, text, retryAfterNanos, close, null);
    }

    /**
     * Encodes a response of the proxy itself, with budget feedback; a null {@code result} omits the
     * feedback.
     */
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
        return encodeComplete(buffers, head, (text + "\n").getBytes(StandardCharsets.UTF_8), true);
    }

    /**
     * Encodes a response of the operator interface, after which the connection is closed; {@code
     * allow} may be null.
     */
    public static ByteBuf page(
            ByteBufAllocator buffers, int status, String type, byte[] body, String allow) {
        StringBuilder head = start(status, true);
        field(head, "Content-Type", type);
        if (allow != null) {
            field(head, "Allow", allow);
        }
        return encodeComplete(buffers, head, body, true);
    }

    /**
     * Encodes the proxy's own response to a {@code HEAD} request: with the length of the body, and
     * without the body.
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

    private static ByteBuf encodeComplete(
            ByteBufAllocator buffers, StringBuilder head, byte[] body, boolean length) {
        if (length) {
            field(head, "Content-Length", Integer.toString(body.length));
        }
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        return buffers.buffer(start.length + body.length).writeBytes(start).writeBytes(body);
    }
}
