package cedarrudder.transport;

import java.util.function.Consumer;

/** The operations of the administrative interface; all are called on the event loop. */
public interface AdminOperations {

    /** The result of an operation. */
    enum OperationResult {
        /** The change applies from now on, or applied already. */
        DONE,
        /** The named endpoint was never listed. */
        UNKNOWN_ENDPOINT,
        /** The change can't be made, or can't be persisted. */
        UNAVAILABLE
    }

    /** Returns whether this process can serve. */
    boolean isReady();

    /** Returns the metrics, as JSON. */
    byte[] metrics();

    /** Takes an endpoint out of service until it is enabled. */
    OperationResult disable(String node);

    /** Puts an endpoint back into service. */
    OperationResult enable(String node);

    /** The sets of endpoints that a drain request can name. */
    enum DrainTarget {
        NODE,
        ZONE,
        POD,
        KIND
    }

    /**
     * Begins or cancels a drain of endpoints according to the drain policies, for all replicas.
     *
     * @param name an endpoint's id, or the property that all endpoints to be drained have in common
     * @param then receives the result, once the change is committed or its outcome can no longer be
     *     known
     */
    void changeDrains(
            DrainTarget which, String name, boolean cancel, Consumer<OperationResult> then);

    /** Returns the drains, as JSON; null if there are no policies. */
    byte[] drains();

    /** Drains this proxy: clients are disconnected. */
    OperationResult drain();

    /** Ends the drain of this proxy: clients are accepted again. */
    OperationResult resume();

    /**
     * Returns what the replicas have agreed on and the state of this one, as JSON; null if the
     * replicas don't coordinate.
     */
    byte[] routeTable();

    /** Forms a group of replicas that coordinate, with this one as its first member. */
    OperationResult formGroup();
}
