package cedarrudder.footprint;

/**
 * The properties of an endpoint list that determine its memory. Zones, kinds and cells need none of
 * their own: nodes store their numbers.
 *
 * @param nodes how many it lists
 * @param textBytes size of its text as received; 0 if none has arrived yet
 * @param idChars total characters of the ids
 * @param valueChars total characters of the other strings of its entries: addresses, zones, kinds,
 *     states
 */
public record EndpointListShape(int nodes, long textBytes, long idChars, long valueChars) {

    public static final EndpointListShape NONE = new EndpointListShape(0, 0, 0, 0);

    /** Returns the mean length of ids or values, rounded half up. */
    static long mean(long chars, long texts) {
        return texts == 0 ? 0 : (chars + texts / 2) / texts;
    }

    /** Returns the shape of a list of this many nodes like those of this one. */
    public EndpointListShape withNodes(int count) {
        return nodes == 0
                ? this
                : new EndpointListShape(
                        count,
                        textBytes * count / nodes,
                        idChars * count / nodes,
                        valueChars * count / nodes);
    }

    /**
     * Returns the shape after this many of another list's nodes were added: the buffer of the
     * larger text stays.
     */
    public EndpointListShape plus(EndpointListShape other, int count) {
        EndpointListShape added = other.withNodes(count);
        return new EndpointListShape(
                nodes + added.nodes,
                Math.max(textBytes, other.textBytes),
                idChars + added.idChars,
                valueChars + added.valueChars);
    }
}
