package cedarrudder.forwarding;

import cedarrudder.budget.PropagatedBudget;

/**
 * One attempt at an RPC, at one node. The attempts of an RPC are numbered from 0, in the order
 * sent.
 */
public final class RequestAttempt<Q, A> {

    /** How far it has gone; it goes on only, and may leave steps out. */
    private enum Phase {
        /** No byte of it is out: it waits for its connection, and its node knows nothing of it. */
        WAITING,
        /** Its first byte may be out, its last is not: its node has not begun it. */
        WRITING,
        /** Its last byte is out: it may have run. */
        OUT,
        /** It has its outcome. */
        ENDED
    }

    private final Exchange<Q, A> exchange;
    private final int number;
    private final long endpoint;
    private final long startedAt;
    private int zone;
    private Phase phase = Phase.WAITING;
    private long countsFrom;
    private long answersFrom;
    private PropagatedBudget handed;

    RequestAttempt(Exchange<Q, A> exchange, int number, long endpoint, long startedAt) {
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

    /** The one place where it goes on; false, without effect, where it has gone as far already. */
    private boolean enter(Phase next) {
        boolean on = phase.compareTo(next) < 0;
        phase = on ? next : phase;
        return on;
    }

    /** Its first byte is about to go out. */
    void begin() {
        enter(Phase.WRITING);
    }

    /** Whether it waits for its connection, so that no byte of it is out. */
    boolean waits() {
        return phase == Phase.WAITING;
    }

    /**
     * Its last byte is written; to be told by the client side. The node begins with it now: where
     * its body flowed, how long it takes counts from here.
     */
    public void wrote(long now) {
        if (enter(Phase.OUT) && exchange.uploaded()) {
            countsFrom = now;
        }
    }

    /** Whether it may run, or have run, while it has no outcome. */
    boolean mayRun() {
        return phase == Phase.OUT;
    }

    boolean ended() {
        return phase == Phase.ENDED;
    }

    /**
     * Whether this call ended it: guards against a second outcome of an attempt that was given up.
     */
    boolean end() {
        return enter(Phase.ENDED);
    }

    /** Its answer has begun to flow to the caller. */
    void answers(long now) {
        answersFrom = now;
    }

    boolean answering() {
        return answersFrom != 0;
    }

    /** How long it took, by now: until its answer began, where that flows. */
    long took(long now) {
        return (answersFrom == 0 ? now : answersFrom) - countsFrom;
    }

    /** The zone where it is counted, as the count by zones gave it. */
    int zone() {
        return zone;
    }

    void zone(int number) {
        zone = number;
    }

    /** What goes down with it; null where there are no budgets. */
    public PropagatedBudget handed() {
        return handed;
    }

    void hand(PropagatedBudget goesDown) {
        handed = goesDown;
    }
}
