package cedarrudder.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class ExampleTest {

    @Test
    void exampleSendsItsRequest() {
        Recorder recorder = new Recorder();
        Example.serve(Example.start(recorder, 1, 0), 0);
        assertEquals(42, recorder.sent.get(0).request());
        assertTrue(recorder.failed.isEmpty() && recorder.rejected.isEmpty());
    }

    @Test
    void libraryPageShowsTheExampleUnchanged() throws IOException {
        String source =
                Files.readString(Path.of("core/src/test/java/cedarrudder/balancer/Example.java"));
        int from = source.indexOf("    /** One replica");
        String body = source.substring(from, source.indexOf("    private Example"));
        String shown = body.stripTrailing().stripIndent();
        assertTrue(Files.readString(Path.of("docs/LIBRARY.md")).contains(shown));
    }
}
