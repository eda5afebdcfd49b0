package cedarrudder.protocol;

import cedarrudder.footprint.EndpointListFootprint;
import cedarrudder.footprint.EndpointListFootprint.Verdict;
import cedarrudder.footprint.EndpointListShape;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Reads the texts of endpoint lists within a given room of the heap. A text is looked through
 * first, without an object made of it. What fits is read as it is. Of what does not fit, endpoints
 * are added in the list's order for as long as there is room, and the others are left out, to be
 * told again; all that it says of endpoints that are known is read, so that those that leave or
 * drain do so.
 */
public final class EndpointListReader {

    private static final String ENTRIES = "servers";

    private final EndpointListFootprint footprint;
    private final EndpointListParser reader;
    private final long capacity;
    private final int fromNodes;

    /**
     * Characters of an entry in a list beside its id and values: names of members, numbers, marks.
     */
    private static final int ENTRY_CHARS = 100;

    /** The largest text so far, whose buffer a watch keeps. */
    private long largest;

    private Judged last;
    private int mayAdd;
    private Consumer<Judged> judged = verdict -> {};

    /**
     * What came of a list.
     *
     * @param fits whether all of it may be loaded at once
     * @param bound the one that is nearest, or that binds, as operators read it
     * @param needed bytes that the whole list takes under it
     * @param capacity bytes that there are
     * @param held endpoints that were held before
     * @param wanted endpoints that the list would have this process hold
     * @param waits this many of those were left out
     * @param steps how many endpoints each telling adds where it does not fit at once; this one the
     *     first
     * @param all what would be held with all of it
     * @param then what will be held once it has been read
     */
    public record Judged(
            boolean fits,
            String bound,
            long needed,
            long capacity,
            int held,
            int wanted,
            int waits,
            List<Integer> steps,
            EndpointListShape all,
            EndpointListShape then) {

        /** This many endpoints get in by no step. */
        public int never() {
            return waits - steps.stream().skip(1).mapToInt(Integer::intValue).sum();
        }

        /** What comes of it, as operators read it. */
        public String outcome() {
            return fits ? "fits" : never() == 0 ? "fits_in_steps" : "does_not_fit";
        }
    }

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
     * @param capacity bytes of heap for endpoints and their lists
     * @param fromNodes with fewer endpoints than that nothing is left out
     */
    public EndpointListReader(
            EndpointListFootprint footprint,
            EndpointListParser reader,
            long capacity,
            int fromNodes) {
        this.footprint = footprint;
        this.reader = reader;
        this.capacity = capacity;
        this.fromNodes = fromNodes;
    }

    /** Receives each verdict, before anything is loaded. */
    public void whenJudged(Consumer<Judged> listener) {
        judged = listener;
    }

    /** What is held, as far as it costs anything. */
    public EndpointListShape held() {
        EndpointListShape like = last == null ? EndpointListShape.NONE : last.then();
        return new EndpointListShape(
                reader.size(),
                largest,
                reader.idChars(),
                like.nodes() == 0 ? 0 : like.valueChars() * reader.size() / like.nodes());
    }

    /** Bytes for endpoints and their lists that what is held leaves at rest. */
    public long left() {
        return Math.max(0, capacity - footprint.atRest(held()));
    }

    /** This many endpoints like those that are held there is room for. */
    public int max() {
        return footprint.max(held(), capacity);
    }

    /** What came of the last list; null before the first one. */
    public Judged last() {
        return last;
    }

    /**
     * Whether endpoints of the last list have left since it was read, so that more of it may fit
     * now.
     */
    public boolean roomier() {
        return last.waits() > 0 && reader.size() < last.held() + mayAdd;
    }

    /**
     * Reads a text that holds an endpoint list; an IllegalArgumentException says that it holds
     * none.
     */
    public JsonObject read(String text) {
        Look look = look(text);
        largest = Math.max(largest, text.length());
        return judge(look, text.length())
                ? JsonObject.parse(text)
                : JsonObject.parse(text, ENTRIES, taken());
    }

    /** The same of the whole list with which the process starts; its text has gone. */
    public JsonObject read(JsonObject list) {
        EndpointListShape shape = shape(list);
        Look look = new Look();
        look.full = true;
        look.nodes = shape.nodes();
        look.idChars = shape.idChars();
        look.valueChars = shape.valueChars();
        look.added =
                (int) list.objects(ENTRIES, true).stream().filter(entry -> !isGone(entry)).count();
        return judge(look, shape.textBytes()) ? list : list.without(ENTRIES, taken());
    }

    /** What a whole list is like, as discovery would tell it. */
    public static EndpointListShape shape(JsonObject list) {
        int nodes = 0;
        long ids = 0;
        long values = 0;
        for (JsonObject entry : list.objects(ENTRIES, true)) {
            nodes++;
            ids += chars(entry, "id");
            values +=
                    chars(entry, "addr")
                            + chars(entry, "zone")
                            + chars(entry, "kind")
                            + chars(entry, "state");
        }
        return new EndpointListShape(nodes, nodes * (long) ENTRY_CHARS + ids + values, ids, values);
    }

    private static int chars(JsonObject entry, String key) {
        return entry != null && entry.isText(key) ? entry.text(key, null).length() : 0;
    }

    /** Whether all of it may be loaded at once. */
    private boolean judge(Look look, long textBytes) {
        EndpointListShape held = held();
        EndpointListShape list =
                new EndpointListShape(look.nodes, textBytes, look.idChars, look.valueChars);
        Verdict verdict = footprint.judge(held, list, look.added, look.full, capacity);
        int wanted = look.full ? look.nodes : held.nodes() + look.added;
        boolean isFull = verdict.fits() || wanted < fromNodes;
        mayAdd = isFull ? look.added : verdict.step();
        last =
                new Judged(
                        isFull,
                        verdict.bound().name().toLowerCase(Locale.ROOT),
                        verdict.needed(),
                        capacity,
                        held.nodes(),
                        wanted,
                        look.added - mayAdd,
                        isFull
                                ? List.of()
                                : footprint.steps(held, list, look.added, look.full, capacity),
                        after(held, list, look, look.added),
                        after(held, list, look, mayAdd));
        judged.accept(last);
        return isFull;
    }

    /**
     * What is held once this many of the endpoints that a list adds were added, and what it ends
     * has left.
     */
    private EndpointListShape after(
            EndpointListShape held, EndpointListShape list, Look look, int added) {
        EndpointListShape all =
                look.full
                        ? list.withNodes(list.nodes() - look.added + added)
                        : held.plus(list, added);
        return new EndpointListShape(all.nodes(), largest, all.idChars(), all.valueChars());
    }

    /** Known endpoints, and of the others as many as fit. */
    private Predicate<JsonObject> taken() {
        int[] left = {mayAdd};
        return entry -> entry != null && known(entry) || !isGone(entry) && left[0]-- > 0;
    }

    private boolean known(JsonObject entry) {
        return entry.isText("id") && reader.knows(entry.text("id", null));
    }

    /** An endpoint that is not known and has left is nothing to be added. */
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
