package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of the thread that writes the log. */
public class AsyncLogWriterTest {

    /** One moment without memory must not silence the log for months. */
    @Test
    public void writerContinuesAfterALineThatRanOutOfMemory() throws Exception {
        BlockingQueue<String> written = new LinkedBlockingQueue<>();
        AsyncLogWriter writer =
                new AsyncLogWriter(
                        new PrintStream(OutputStream.nullOutputStream()) {
                            @Override
                            public void println(String line) {
                                if (line.equals("first")) {
                                    throw new OutOfMemoryError("played");
                                }
                                written.add(line);
                            }
                        });
        assertTrue(writer.offer("first") && writer.offer("second"));
        assertEquals(written.poll(20, TimeUnit.SECONDS), "second");
        writer.stop();
    }
}
