package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** The thread that writes the log. */
public class AsyncLogWriterTest {

    /** Detects a log that is silent for months after one moment without memory. */
    @Test
    public void itWritesOnAfterALineThatItHadNoMemoryFor() throws Exception {
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
