package cedarrudder.program;

import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.util.Random;

/** Endpoints that serve most requests, and trouble the rest in a way drawn from a seed. */
final class FaultyEndpoints {

    private static final int MAX_WORK_MILLIS = 40;
    private static final int PIECE_MILLIS = 15;
    private static final int HUNG_MILLIS = 4_000;

    private final FaultJudge judge;
    private final Random random;

    FaultyEndpoints(FaultJudge judge, long seed) {
        this.judge = judge;
        this.random = new Random(seed);
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    /** Serves a request, whose body is the answer's; or fails to. */
    void serve(Received request) throws Exception {
        String id = request.field("Req-Id");
        int percent = draw(100);
        Thread.sleep(draw(MAX_WORK_MILLIS));
        if (percent < 10) {
            request.reply("503 Busy", "", "Srv-Declined: 1");
            return;
        }
        judge.onRun(id);
        if (percent < 13) {
            request.reply("500 Error", "");
        } else if (percent < 16) {
            request.reset();
        } else if (percent < 18) {
            Thread.sleep(HUNG_MILLIS);
        } else if (percent < 25) {
            replyInPieces(request, id);
        } else {
            request.reply("200 OK", id);
        }
    }

    private static void replyInPieces(Received request, String id)
            throws IOException, InterruptedException {
        request.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (char next : id.toCharArray()) {
            Thread.sleep(PIECE_MILLIS);
            request.chunk(String.valueOf(next));
        }
        request.raw("0\r\n\r\n");
    }
}
