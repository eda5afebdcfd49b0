package cedarrudder.lab.trace;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.model.NullTrace;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.testng.annotations.Test;

/** A trace that is written, read again, cut off and broken. */
public class TraceReaderTest {

    private static final long ORIGIN = 1000;

    /** One event of each kind. */
    private static void play(Trace trace, long origin) {
        trace.proxyStarted(origin + 1, 0, 2);
        trace.toldWhole(origin + 2, 0);
        trace.told(origin + 2, 0, 7, 3, 1, EndpointStatus.DRAINING, origin + 1);
        trace.nodeStarted(origin + 3, 7, 2.5, 0.25, origin + 9);
        trace.taken(origin + 4, 0, 11, Idempotency.KEYED, KeyScope.CELL, 5, origin + 90);
        trace.sent(origin + 5, 0, 11, 0, 7, 12);
        trace.reached(origin + 6, 0, 11, 0, 7);
        trace.ended(origin + 7, 0, 11, 0, Outcome.OK);
        trace.answered(origin + 8, 0, 11, Trace.Final.SERVED, 0);
        trace.callerLeft(origin + 9, 0, 12);
        trace.nodeEnded(origin + 10, 7);
        trace.proxyDied(origin + 11, 0);
    }

    private static byte[] written(long origin) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        TraceWriter writer = new TraceWriter(bytes, origin, new NullTrace());
        play(writer, origin);
        writer.finish();
        return bytes.toByteArray();
    }

    private static Path file(byte[] bytes) throws IOException {
        Path file = Files.createTempFile("trace", ".jsonl");
        Files.write(file, bytes);
        return file;
    }

    @Test
    public void whatIsReadIsWhatWasWritten() throws IOException {
        byte[] first = written(ORIGIN);
        ByteArrayOutputStream again = new ByteArrayOutputStream();
        TraceWriter writer = new TraceWriter(again, 0, new NullTrace());
        TraceReader.Read read = TraceReader.read(file(first), writer);
        writer.finish();
        assertEquals(
                again.toString(StandardCharsets.UTF_8), new String(first, StandardCharsets.UTF_8));
        assertEquals(read.events(), 12);
        assertEquals(read.last(), 11);
        assertFalse(read.cut());
    }

    /** Wherever it is cut, all whole lines count and no other. */
    @Test
    public void aTraceIsReadUpToWhereItWasCutOff() throws IOException {
        byte[] whole = written(ORIGIN);
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            String text = new String(part, StandardCharsets.UTF_8);
            long lines = text.chars().filter(c -> c == '\n').count();
            boolean ends = text.isEmpty() || text.endsWith("\n");
            boolean unended = text.endsWith("}");
            TraceReader.Read read = TraceReader.read(file(part), new NullTrace());
            assertEquals(read.events(), lines + (unended ? 1 : 0), text);
            assertEquals(read.cut(), !ends && !unended, text);
        }
    }

    @Test
    public void aBrokenLineInTheMiddleIsNamed() throws IOException {
        String broken =
                new String(written(ORIGIN), StandardCharsets.UTF_8)
                        .replace("\"proxy\":0,\"tier\":2", "\"proxy\":0");
        IOException thrown =
                expectThrows(
                        IOException.class,
                        () ->
                                TraceReader.read(
                                        file(broken.getBytes(StandardCharsets.UTF_8)),
                                        new NullTrace()));
        assertTrue(thrown.getMessage().endsWith(":1: no \"tier\""), thrown.getMessage());
    }
}
