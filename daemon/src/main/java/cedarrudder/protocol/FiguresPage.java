package cedarrudder.protocol;

import cedarrudder.figures.Figures;
import cedarrudder.figures.Figures.End;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/** The figures as one JSON object, under the names that operators know. */
public final class FiguresPage {

    private FiguresPage() { }

    /**
     * Writes the page.
     *
     * @param classes the names of the classes, by the index under which they are counted
     * @param listed how many nodes discovery lists
     * @param avoided how many of those get nothing new now
     * @param held bytes of bodies that the process holds
     * @param list what came of the last list; null: none was judged
     */
    public static byte[] write(Figures figures, List<String> classes, int listed, int avoided, long held,
            ListGate.Judged list) {
        ByteArrayOutputStream page = new ByteArrayOutputStream(512);
        long relayed = 0;
        try (JsonGenerator json = new JsonFactory().createGenerator(page)) {
            json.writeStartObject();
            json.writeObjectFieldStart("operations");
            for (int i = 0; i < figures.classes(); i++) {
                json.writeObjectFieldStart(classes.get(i));
                json.writeNumberField("fulfilled", figures.allEnded(i, End.FULFILLED));
                json.writeNumberField("throttled", figures.allEnded(i, End.THROTTLED));
                json.writeNumberField("faulted", figures.allEnded(i, End.FAULTED));
                json.writeNumberField("left", figures.allEnded(i, End.LEFT));
                json.writeNumberField("relayed", figures.allRelayed(i));
                relayed += figures.allRelayed(i);
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeNumberField("relayed", relayed);
            json.writeNumberField("open_requests", figures.open());
            json.writeNumberField("registry_entries", listed);
            json.writeNumberField("out_of_rotation", avoided);
            json.writeNumberField("held_bytes", held);
            if (list != null) {
                json.writeObjectFieldStart("footprint");
                json.writeStringField("bound", list.bound());
                json.writeNumberField("needed", list.needed());
                json.writeNumberField("room", list.room());
                json.writeNumberField("held", list.held());
                json.writeNumberField("wanted", list.wanted());
                json.writeNumberField("waits", list.waits());
                json.writeEndObject();
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("memory took no bytes", e);
        }
        return page.toByteArray();
    }
}
