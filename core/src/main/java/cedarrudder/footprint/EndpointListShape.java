package cedarrudder.footprint;

/**
 * What an endpoint list is like, as far as it costs anything. Zones, kinds and cells cost nothing
 * by themselves: nodes hold their numbers.
 *
 * @param nodes how many it lists
 * @param textBytes its text as it came; 0: none has come yet
 * @param idChars what the ids take together, in characters
 * @param valueChars the other texts of its entries together: addresses, zones, kinds, states
 */
public record EndpointListShape(int nodes, long textBytes, long idChars, long valueChars) {

    public static final EndpointListShape NONE = new EndpointListShape(0, 0, 0, 0);

    /** Of ids and values alike, the mean length; halves count up. */
    static long mean(long chars, long texts) {
        return texts == 0 ? 0 : (chars + texts / 2) / texts;
    }

    /** A list of this many nodes like those of this one. */
    public EndpointListShape withNodes(int some) {
        return nodes == 0
                ? this
                : new EndpointListShape(
                        some,
                        textBytes * some / nodes,
                        idChars * some / nodes,
                        valueChars * some / nodes);
    }

    /**
     * What is held once this many of another list's nodes were added: the larger text's buffer
     * stays.
     */
    public EndpointListShape plus(EndpointListShape other, int some) {
        EndpointListShape added = other.withNodes(some);
        return new EndpointListShape(
                nodes + added.nodes,
                Math.max(textBytes, other.textBytes),
                idChars + added.idChars,
                valueChars + added.valueChars);
    }
}
