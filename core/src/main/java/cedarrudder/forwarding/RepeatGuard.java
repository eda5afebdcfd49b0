package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer;

/**
 * Decides whether a request may start although its id may have been used before: the effect of a
 * request must not happen twice because its client sends it again.
 *
 * @param <Q> the content that is forwarded to an endpoint
 */
public interface RepeatGuard<Q> {

    /** What a request may do. */
    enum Permission {
        /** It may start; its id is remembered until {@link RepeatGuard#forget}. */
        FIRST,
        /** It may start: endpoints recognize the repeat, or it has no effect. */
        REPEATABLE,
        /** It must not start, since the request with its id may have run. */
        DENIED
    }

    /** Returns whether a request may start its first attempt now. */
    Permission start(LoadBalancer.Request request, Q content);

    /** Returns whether a request may run more than once, within the window of its key if any. */
    boolean mayRunTwice(LoadBalancer.Request request);

    /** Forgets a request that was permitted as the first with its id. */
    void forget(Q content);

    /**
     * Records that such a request was answered. Its id may be forgotten before those of requests
     * whose clients are more likely to send them again.
     */
    void answered(Q content);

    /** Returns a guard that permits everything. */
    static <Q> RepeatGuard<Q> none() {
        return new RepeatGuard<>() {
            @Override
            public Permission start(LoadBalancer.Request request, Q content) {
                return Permission.REPEATABLE;
            }

            @Override
            public boolean mayRunTwice(LoadBalancer.Request request) {
                return true;
            }

            @Override
            public void forget(Q content) {}

            @Override
            public void answered(Q content) {}
        };
    }
}
