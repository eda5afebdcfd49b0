package cedarrudder.routetable;

/**
 * The table that a replica uses. It loads one whole or not at all, and numbers only rise. Not
 * thread-safe.
 */
public final class CurrentRouteTable {

    /** What came of loading one; {@code rejection} is null where it counts. */
    public record LoadOutcome(boolean accepted, String rejection) {
        private static final LoadOutcome ACCEPTED = new LoadOutcome(true, null);
    }

    private RouteTable current;

    /** Null where none was ever loaded. */
    public RouteTable current() {
        return current;
    }

    /** Loads a table. The one that is loaded already may come again; it changes nothing. */
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
                            + " with other contents than the one loaded, of group "
                            + current.group()
                            + ", term "
                            + current.term()
                            + "; allowed: one table a number");
        }
        current = next;
        return LoadOutcome.ACCEPTED;
    }
}
