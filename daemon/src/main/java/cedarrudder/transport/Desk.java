package cedarrudder.transport;

/** What operators may ask of the proxy; all of it happens on the loop. */
public interface Desk {

    /** What came of a call. */
    enum Done {
        /** It counts from now on; also where it did already. */
        YES,
        /** It names a node that was never listed. */
        UNKNOWN,
        /** It can't be done, or can't be kept. */
        NO
    }

    /** Whether this process can serve. */
    boolean ready();

    /** The figures, as JSON. */
    byte[] figures();

    /** Leaves a node out until it is enabled. */
    Done disable(String node);

    /** Puts a node back. */
    Done enable(String node);

    /** Sends clients away. */
    Done drain();

    /** Takes clients again. */
    Done resume();

    /** What the copies agreed on and how this one stands, as JSON; null where they agree on nothing. */
    byte[] table();

    /** Forms a group of copies that agree, with this one as the first. */
    Done group();
}
