package cedarrudder.protocol;

import cedarrudder.footprint.Footprint;
import cedarrudder.footprint.Footprint.Verdict;
import cedarrudder.footprint.ListShape;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Locale;

/**
 * Reads the texts of resolver results within a given room of the heap. A text is looked through first,
 * without an object made of it. What fits is read as it is. Of what does not fit, nodes are added in the
 * list's order for as long as there is room, and the others are left out, to be told again; all that it says
 * of nodes that are known is read, so that those that leave or drain do so.
 */
public final class ListGate {

    private static final String ENTRIES = "servers";

    private final Footprint footprint;
    private final ResolverResultReader reader;
    private final long room;
    private final int fromNodes;

    /** The largest text so far, whose buffer a watch keeps. */
    private long largest;
    private Judged last;
    private int mayAdd;

    /**
     * What came of a list.
     *
     * @param bound what binds, as operators read it
     * @param needed bytes that the whole list takes under it
     * @param room bytes that there are
     * @param held nodes that were held before
     * @param wanted nodes that the list would have this process hold
     * @param waits so many of those were left out
     */
    public record Judged(String bound, long needed, long room, int held, int wanted, int waits) { }

    /** What a text looks like. */
    private static final class Look {
        private boolean full;
        private int nodes;
        private int added;
        private long idChars;
        private long valueChars;
    }

    /**
     * @param reader reads what this one lets through, and says what is known
     * @param room bytes of heap for nodes and their lists
     * @param fromNodes with fewer nodes than that nothing is left out
     */
    public ListGate(Footprint footprint, ResolverResultReader reader, long room, int fromNodes) {
        this.footprint = footprint;
        this.reader = reader;
        this.room = room;
        this.fromNodes = fromNodes;
    }

    /** What came of the last list; null before the first one. */
    public Judged last() {
        return last;
    }

    /** Whether nodes of the last list have left since it was read, so that more of it may fit now. */
    public boolean roomier() {
        return last.waits() > 0 && reader.size() < last.held() + mayAdd;
    }

    /** Reads a text that holds a resolver result; an IllegalArgumentException says that it holds none. */
    public JsonObject read(String text) {
        Look look = look(text);
        int held = reader.size();
        largest = Math.max(largest, text.length());
        Verdict verdict = footprint.judge(new ListShape(held, largest, reader.idChars(), 0),
                new ListShape(look.nodes, text.length(), look.idChars, look.valueChars), look.added,
                look.full, room);
        int wanted = look.full ? look.nodes : held + look.added;
        boolean whole = verdict.fits() || wanted < fromNodes;
        mayAdd = whole ? look.added : verdict.step();
        last = new Judged(verdict.bound().name().toLowerCase(Locale.ROOT), verdict.needed(), room,
                held, wanted, look.added - mayAdd);
        if (whole) {
            return JsonObject.parse(text);
        }
        int[] left = {mayAdd};
        return JsonObject.parse(text, ENTRIES, entry -> entry != null && known(entry)
                || !isGone(entry) && left[0]-- > 0);
    }

    private boolean known(JsonObject entry) {
        return entry.isText("id") && reader.knows(entry.text("id", null));
    }

    /** A node that is not known and has left is nothing to be added. */
    private static boolean isGone(JsonObject entry) {
        return entry != null && entry.isText("state") && gone(entry.text("state", null));
    }

    private static boolean gone(String state) {
        return state.equals("terminated");
    }

    private Look look(String text) {
        Look look = new Look();
        try (JsonParser parser = JsonObject.JSON.createParser(text)) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                JsonToken token = parser.nextToken();
                if (name.equals(ENTRIES) && token == JsonToken.START_ARRAY) {
                    while (parser.nextToken() != JsonToken.END_ARRAY) {
                        entry(parser, look);
                    }
                } else {
                    look.full = name.equals("full") ? token == JsonToken.VALUE_TRUE : look.full;
                    parser.skipChildren();
                }
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON");
        }
        return look;
    }

    private void entry(JsonParser parser, Look look) throws IOException {
        look.nodes++;
        boolean adds = true;
        if (parser.currentToken() == JsonToken.START_OBJECT) {
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                if (!parser.nextToken().isScalarValue()) {
                    parser.skipChildren();
                } else if (name.equals("id")) {
                    look.idChars += parser.getTextLength();
                    adds &= !reader.knows(parser.getText());
                } else if (parser.currentToken() == JsonToken.VALUE_STRING) {
                    look.valueChars += parser.getTextLength();
                    adds &= !name.equals("state") || !gone(parser.getText());
                }
            }
        } else {
            parser.skipChildren();
        }
        look.added += adds ? 1 : 0;
    }
}
