package cedarrudder.lab.checker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** What replicas write of themselves, read again. */
public class HistoryTest {

    /**
     * A replica that is killed within a line must not take the lines before it, or the other
     * replicas', away.
     */
    @Test
    public void aLineThatItsProcessDidNotFinishIsLeftOut() throws IOException {
        HistoryEvent first = new HistoryEvent(5, 1, 9, "voted", Map.of("term", "7"));
        HistoryEvent second = new HistoryEvent(3, 2, 9, "loaded", Map.of("digest", "a \"b\"\n"));
        Path one = Files.createTempFile("copy", ".jsonl");
        Path other = Files.createTempFile("copy", ".jsonl");
        try {
            Files.writeString(one, History.line(first) + "\n" + "{\"at\":6,\"cop");
            Files.writeString(other, History.line(second) + "\n");
            assertEquals(History.read(List.of(one, other)), List.of(second, first));
        } finally {
            Files.delete(one);
            Files.delete(other);
        }
    }

    /** A judge that reads past what it can't understand would find nothing wrong in it. */
    @Test
    public void aLineThatIsNoEventIsRefusedWithItsPlace() {
        assertThrows(
                IOException.class,
                () -> History.event("{\"at\":1,\"copy\":2,\"life\":3}", "f, line 4"));
        String noTime = "{\"at\":\"x\",\"copy\":2,\"life\":3,\"what\":\"w\"}";
        assertThrows(IOException.class, () -> History.event(noTime, "f"));
        assertThrows(IOException.class, () -> History.event("[]", "f"));
        assertThrows(IOException.class, () -> History.event("{\"at\":[1]}", "f"));
    }
}
