package cedarrudder.routetable;

/**
 * The route table that a replica uses. A table is loaded as a whole or not at all, and its number
 * never decreases. Not thread-safe.
 */
public final class CurrentRouteTable {

    /** The result of loading a table; {@code rejection} is null if it was accepted. */
    public record LoadOutcome(boolean accepted, String rejection) {
        private static final LoadOutcome ACCEPTED = new LoadOutcome(true, null);
    }

    private RouteTable current;

    /** Returns the loaded table, or null if none has been loaded. */
    public RouteTable current() {
        return current;
    }

    /** Loads a table. Loading the current one again is accepted and changes nothing. */
    public LoadOutcome load(RouteTable next) {
        if (current != null && next.number() < current.number()) {
            return new LoadOutcome(
                    false,
                    "number: found "
                            + next.number()
                            + " with "
                            + current.number()
                            + " loaded; allowed: no lower one");
        }
        if (current != null && next.number() == current.number() && !next.equals(current)) {
            return new LoadOutcome(
                    false,
                    "number: found "
                            + next.number()
                            + " of group "
                            + next.group()
                            + ", term "
                            + next.term()
                            + " with contents that differ from the loaded table, of group "
                            + current.group()
                            + ", term "
                            + current.term()
                            + "; allowed: one table a number");
        }
        current = next;
        return LoadOutcome.ACCEPTED;
    }
}
