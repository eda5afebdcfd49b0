package cedarrudder.lab.referee;

/** What a proxy was told of a node. */
final class ListedEndpoint {
    private static final long NEVER = Long.MAX_VALUE;

    int cell;
    int zone;
    long startedAt;

    /** Since when an entry says that it drains or is gone. */
    private long leavingSince = NEVER;

    /** Since when the last whole list hasn't named it. */
    private long absentSince = NEVER;

    void ready() {
        leavingSince = NEVER;
        absentSince = NEVER;
    }

    void leaving(long now) {
        leavingSince = Math.min(leavingSince, now);
        absentSince = NEVER;
    }

    void absent(long now) {
        absentSince = Math.min(absentSince, now);
    }

    /**
     * Since when the proxy knew that nothing new should go there; the greatest instant if it may.
     */
    long knownSince() {
        return Math.min(leavingSince, absentSince);
    }
}
