package cedarrudder.footprint;

/**
 * The properties of an endpoint list that determine its memory. Zones, kinds and cells need no
 * property here, since nodes store the numbers of these.
 *
 * @param nodes the number of nodes in the list
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

    /** Returns this shape scaled to this many nodes; the same shape if the list has no nodes. */
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
     * Returns the shape of this list after this many nodes of another list were added. The text
     * size is the larger of the two, since the buffer of the larger text is retained.
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
