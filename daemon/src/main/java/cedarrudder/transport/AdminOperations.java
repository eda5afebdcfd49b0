package cedarrudder.transport;

import java.util.function.Consumer;

/** What operators may ask of the proxy; all of it happens on the loop. */
public interface AdminOperations {

    /** What came of a call. */
    enum OperationResult {
        /** It counts from now on; also where it did already. */
        DONE,
        /** It names an endpoint that was never listed. */
        UNKNOWN_ENDPOINT,
        /** It can't be done, or can't be kept. */
        UNAVAILABLE
    }

    /** Whether this process can serve. */
    boolean isReady();

    /** The figures, as JSON. */
    byte[] metrics();

    /** Leaves an endpoint out until it is enabled. */
    OperationResult disable(String node);

    /** Puts an endpoint back. */
    OperationResult enable(String node);

    /** Endpoints that a call names at once. */
    enum DrainTarget {
        NODE,
        ZONE,
        POD,
        KIND
    }

    /**
     * Has endpoints leave by the policies of drains, or ends that; for all replicas.
     *
     * @param name an id, or what all endpoints have that are meant
     * @param then takes what came of it, once it is committed or that can't be known any more
     */
    void changeDrains(
            DrainTarget which, String name, boolean cancel, Consumer<OperationResult> then);

    /** The drains, as JSON; null where there are no policies. */
    byte[] drains();

    /** Sends clients away. */
    OperationResult drain();

    /** Takes clients again. */
    OperationResult resume();

    /**
     * What the replicas agreed on and how this one stands, as JSON; null where they agree on
     * nothing.
     */
    byte[] routeTable();

    /** Forms a group of replicas that agree, with this one as the first. */
    OperationResult formGroup();
}
