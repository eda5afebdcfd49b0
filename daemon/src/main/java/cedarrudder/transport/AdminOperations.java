package cedarrudder.transport;

import java.util.function.Consumer;

/** What operators may ask of the proxy; all of it happens on the loop. */
public interface AdminOperations {

    /** What came of a call. */
    enum Done {
        /** It counts from now on; also where it did already. */
        YES,
        /** It names an endpoint that was never listed. */
        UNKNOWN,
        /** It can't be done, or can't be kept. */
        NO
    }

    /** Whether this process can serve. */
    boolean ready();

    /** The figures, as JSON. */
    byte[] figures();

    /** Leaves an endpoint out until it is enabled. */
    Done disable(String node);

    /** Puts an endpoint back. */
    Done enable(String node);

    /** Endpoints that a call names at once. */
    enum Which {
        NODE,
        ZONE,
        POD,
        KIND
    }

    /**
     * Has endpoints leave by the policies of drains, or ends that; for all replicas.
     *
     * @param name an id, or what all endpoints have that are meant
     * @param then takes what came of it, once it is committed or that can't be told any more
     */
    void remove(Which which, String name, boolean cancel, Consumer<Done> then);

    /** The drains, as JSON; null where there are no policies. */
    byte[] drains();

    /** Sends clients away. */
    Done drain();

    /** Takes clients again. */
    Done resume();

    /**
     * What the replicas agreed on and how this one stands, as JSON; null where they agree on
     * nothing.
     */
    byte[] table();

    /** Forms a group of replicas that agree, with this one as the first. */
    Done group();
}
