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
 * Reads endpoint lists within a given heap capacity.
 *
 * <p>A text is first scanned without creating objects. A list that fits is read completely. Of a
 * list that doesn't fit, endpoints are added in the list's order until the capacity is reached; the
 * others are left out until discovery sends them again. All entries of known endpoints are read, so
 * that removals and drains take effect.
 */
public final class EndpointListReader {

    private static final String ENTRIES = "servers";

    private final EndpointListFootprint footprint;
    private final EndpointListParser listParser;
    private final long capacity;
    private final int fromNodes;

    /**
     * Characters of a list entry besides its id and values: member names, numbers and punctuation.
     */
    private static final int ENTRY_CHARS = 100;

    /** Characters of the largest text so far; a watch retains a buffer of this size. */
    private long largestText;

    private Judged last;
    private int mayAdd;
    private Consumer<Judged> verdictListener = verdict -> {};

    /**
     * The outcome of reading a list.
     *
     * @param fits whether the whole list may be loaded at once
     * @param bound the limit that is nearest or exceeded, by its name for operators
     * @param needed bytes that the whole list takes under this limit
     * @param capacity bytes that are available
     * @param held number of endpoints that were loaded before
     * @param wanted number of endpoints that this process would have with the whole list
     * @param waits number of endpoints that were left out
     * @param steps how many endpoints each delivery of the list adds where the list doesn't fit at
     *     once, starting with this one
     * @param all what would be loaded with the whole list
     * @param then what will be loaded after this reading
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

        /** Returns how many endpoints no step adds. */
        public int never() {
            return waits - steps.stream().skip(1).mapToInt(Integer::intValue).sum();
        }

        /** Returns the outcome by its name for operators. */
        public String outcome() {
            return fits ? "fits" : never() == 0 ? "fits_in_steps" : "does_not_fit";
        }
    }

    /** Sizes of a list, counted without loading the list. */
    private static final class ListSizes {
        private boolean full;
        private int nodes;
        private int added;
        private long idChars;
        private long valueChars;
    }

    /**
     * @param listParser parses the admitted entries, and knows which endpoints are loaded
     * @param capacity bytes of heap for endpoints and their lists
     * @param fromNodes number of endpoints below which none is left out
     */
    public EndpointListReader(
            EndpointListFootprint footprint,
            EndpointListParser listParser,
            long capacity,
            int fromNodes) {
        this.footprint = footprint;
        this.listParser = listParser;
        this.capacity = capacity;
        this.fromNodes = fromNodes;
    }

    /** Sets the listener that receives each verdict, before anything is loaded. */
    public void whenJudged(Consumer<Judged> listener) {
        verdictListener = listener;
    }

    /** Returns the sizes of what is loaded, as far as they affect memory. */
    public EndpointListShape held() {
        EndpointListShape lastShape = last == null ? EndpointListShape.NONE : last.then();
        return new EndpointListShape(
                listParser.size(),
                largestText,
                listParser.idChars(),
                lastShape.nodes() == 0
                        ? 0
                        : lastShape.valueChars() * listParser.size() / lastShape.nodes());
    }

    /** Returns the bytes of the capacity that remain free at rest. */
    public long left() {
        return Math.max(0, capacity - footprint.atRest(held()));
    }

    /** Returns how many endpoints like the loaded ones fit into the capacity. */
    public int max() {
        return footprint.max(held(), capacity);
    }

    /** Returns the outcome of the last list; null before the first one. */
    public Judged last() {
        return last;
    }

    /**
     * Returns whether endpoints have been removed since the last list was read, so that more of
     * that list may fit now.
     */
    public boolean roomier() {
        return last.waits() > 0 && listParser.size() < last.held() + mayAdd;
    }

    /**
     * Reads a text that contains an endpoint list.
     *
     * @throws IllegalArgumentException if the text contains none
     */
    public JsonObject read(String text) {
        ListSizes sizes = countSizes(text);
        largestText = Math.max(largestText, text.length());
        return judge(sizes, text.length())
                ? JsonObject.parse(text)
                : JsonObject.parse(text, ENTRIES, admittedEntries());
    }

    /** Reads the full list with which the process starts, whose text is no longer available. */
    public JsonObject read(JsonObject list) {
        EndpointListShape shape = shape(list);
        ListSizes sizes = new ListSizes();
        sizes.full = true;
        sizes.nodes = shape.nodes();
        sizes.idChars = shape.idChars();
        sizes.valueChars = shape.valueChars();
        sizes.added =
                (int) list.objects(ENTRIES, true).stream().filter(entry -> !isGone(entry)).count();
        return judge(sizes, shape.textBytes()) ? list : list.without(ENTRIES, admittedEntries());
    }

    /** Returns the sizes of a full list, as discovery would send it. */
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

    /**
     * Judges a list, notifies the listener, and returns whether the whole list may be loaded at
     * once.
     */
    private boolean judge(ListSizes sizes, long textBytes) {
        EndpointListShape held = held();
        EndpointListShape list =
                new EndpointListShape(sizes.nodes, textBytes, sizes.idChars, sizes.valueChars);
        Verdict verdict = footprint.judge(held, list, sizes.added, sizes.full, capacity);
        int wanted = sizes.full ? sizes.nodes : held.nodes() + sizes.added;
        boolean isFull = verdict.fits() || wanted < fromNodes;
        mayAdd = isFull ? sizes.added : verdict.step();
        last =
                new Judged(
                        isFull,
                        verdict.bound().name().toLowerCase(Locale.ROOT),
                        verdict.needed(),
                        capacity,
                        held.nodes(),
                        wanted,
                        sizes.added - mayAdd,
                        isFull
                                ? List.of()
                                : footprint.steps(held, list, sizes.added, sizes.full, capacity),
                        after(held, list, sizes, sizes.added),
                        after(held, list, sizes, mayAdd));
        verdictListener.accept(last);
        return isFull;
    }

    /**
     * Returns the sizes once {@code added} new endpoints of a list have been added and the
     * endpoints that the list removes are gone.
     */
    private EndpointListShape after(
            EndpointListShape held, EndpointListShape list, ListSizes sizes, int added) {
        EndpointListShape all =
                sizes.full
                        ? list.withNodes(list.nodes() - sizes.added + added)
                        : held.plus(list, added);
        return new EndpointListShape(all.nodes(), largestText, all.idChars(), all.valueChars());
    }

    /** Returns a filter that accepts known endpoints, and of the others as many as fit. */
    private Predicate<JsonObject> admittedEntries() {
        int[] remaining = {mayAdd};
        return entry -> entry != null && known(entry) || !isGone(entry) && remaining[0]-- > 0;
    }

    private boolean known(JsonObject entry) {
        return entry.isText("id") && listParser.knows(entry.text("id", null));
    }

    /**
     * Returns whether an entry's endpoint is terminated. Such an entry need not be added if the
     * endpoint is unknown.
     */
    private static boolean isGone(JsonObject entry) {
        return entry != null && entry.isText("state") && isTerminated(entry.text("state", null));
    }

    private static boolean isTerminated(String state) {
        return state.equals("terminated");
    }

    private ListSizes countSizes(String text) {
        ListSizes sizes = new ListSizes();
        try (JsonParser parser = JsonObject.JSON.createParser(text)) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                JsonToken token = parser.nextToken();
                if (name.equals(ENTRIES) && token == JsonToken.START_ARRAY) {
                    while (parser.nextToken() != JsonToken.END_ARRAY) {
                        countEntry(parser, sizes);
                    }
                } else {
                    sizes.full = name.equals("full") ? token == JsonToken.VALUE_TRUE : sizes.full;
                    parser.skipChildren();
                }
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON");
        }
        return sizes;
    }

    private void countEntry(JsonParser parser, ListSizes sizes) throws IOException {
        sizes.nodes++;
        boolean adds = true;
        if (parser.currentToken() == JsonToken.START_OBJECT) {
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                if (!parser.nextToken().isScalarValue()) {
                    parser.skipChildren();
                } else if (name.equals("id")) {
                    sizes.idChars += parser.getTextLength();
                    adds &= !listParser.knows(parser.getText());
                } else if (parser.currentToken() == JsonToken.VALUE_STRING) {
                    sizes.valueChars += parser.getTextLength();
                    adds &= !name.equals("state") || !isTerminated(parser.getText());
                }
            }
        } else {
            parser.skipChildren();
        }
        sizes.added += adds ? 1 : 0;
    }
}
