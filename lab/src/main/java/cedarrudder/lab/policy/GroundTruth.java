package cedarrudder.lab.policy;

/**
 * The true state of the nodes of a tier, as it is at this instant. Only a policy that serves as a
 * bound may look at it: no real balancer can.
 */
public interface GroundTruth {

    /**
     * Whether a request sent now would be taken in: the process runs, can be reached and has room.
     */
    boolean takes(long endpoint);

    /**
     * What the node can do now, in cores of speed 1: cold, slow, choked and thrashing nodes do
     * less.
     */
    double capacity(long endpoint);

    /**
     * The work that the node still has to do for what it holds, in nanoseconds on a core of speed
     * 1.
     */
    double backlog(long endpoint);

    /** Requests that the node holds, in work, waiting for the next tier or for a slot. */
    int held(long endpoint);

    /** Whether what the node serves now would be of use: it neither fails all nor is silent. */
    boolean sound(long endpoint);
}
