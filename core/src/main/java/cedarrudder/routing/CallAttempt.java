package cedarrudder.routing;

import cedarrudder.budget.Carried;

/** One attempt at an RPC, at one node. The attempts of an RPC are numbered from 0, in the order sent. */
public final class CallAttempt<Q, A> {

    private final Exchange<Q, A> exchange;
    private final int number;
    private final long endpoint;
    private final long startedAt;
    private int zone;
    private boolean ended;
    private long countsFrom;
    private long begunAt;
    private Carried handed;

    CallAttempt(Exchange<Q, A> exchange, int number, long endpoint, long startedAt) {
        this.exchange = exchange;
        this.number = number;
        this.endpoint = endpoint;
        this.startedAt = startedAt;
        this.countsFrom = startedAt;
    }

    public Exchange<Q, A> exchange() {
        return exchange;
    }

    public long endpoint() {
        return endpoint;
    }

    /** Its number among the attempts of its RPC, from 0. */
    public int number() {
        return number;
    }

    /** The instant at which the module sent it. */
    public long startedAt() {
        return startedAt;
    }

    boolean ended() {
        return ended;
    }

    /** Whether this call ended it: guards against a second outcome of an attempt that was given up. */
    boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    /** Its answer has begun to flow to the caller. */
    void begin(long now) {
        begunAt = now;
    }

    boolean begun() {
        return begunAt != 0;
    }

    /** The last byte of a body that flowed is written: the node begins with it now. */
    public void wroteAll(long now) {
        countsFrom = now;
    }

    /** How long it took, by now: until its answer began, where that flows. */
    long took(long now) {
        return (begunAt == 0 ? now : begunAt) - countsFrom;
    }

    /** The zone where it is counted, as the count by zones gave it. */
    int zone() {
        return zone;
    }

    void zone(int number) {
        zone = number;
    }

    /** What goes down with it; null where there are no budgets. */
    public Carried handed() {
        return handed;
    }

    void hand(Carried goesDown) {
        handed = goesDown;
    }
}
