package cedarrudder.lab.checker;

import java.util.Map;
import java.util.NoSuchElementException;

/**
 * Something that a replica says of itself, or that the world says of a replica: its start, its end,
 * a cut of its link.
 *
 * @param at its instant, in nanoseconds of the one clock of the run, whatever the replica's own
 *     clock says
 * @param replica the replica's number
 * @param incarnation the number of the replica's life: a later one begins when the replica comes
 *     back
 * @param what what happened, a word
 * @param fields what else is known of it, as text
 */
public record HistoryEvent(
        long at, int replica, long incarnation, String what, Map<String, String> fields) {

    public HistoryEvent {
        fields = Map.copyOf(fields);
    }

    /**
     * A field as text.
     *
     * @throws NoSuchElementException if the event has no such field
     */
    public String text(String name) {
        String value = fields.get(name);
        if (value == null) {
            throw new NoSuchElementException(
                    "event \""
                            + what
                            + "\" of copy "
                            + replica
                            + " has no field \""
                            + name
                            + "\", only "
                            + fields.keySet());
        }
        return value;
    }

    /**
     * A field as a whole number.
     *
     * @throws NoSuchElementException if the event has no such field
     * @throws NumberFormatException if it is no whole number
     */
    public long number(String name) {
        return Long.parseLong(text(name));
    }
}
