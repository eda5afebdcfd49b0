package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.budget.RequestBudget;
import java.util.ArrayList;
import java.util.List;

/**
 * One RPC between its caller and the nodes: the only thing that the server side and the client side
 * share.
 *
 * <p>The server side makes it and is told through {@link Reply} how it ended; the client side reads
 * its content to carry out the call attempts. What the content and the answers are is the
 * protocol's affair.
 *
 * @param <Q> what is passed on to a node
 * @param <A> what a node answers
 */
public final class Exchange<Q, A> {

    /** The server side's end of an exchange. Exactly one of these is called, once. */
    public interface Reply<A> {
        /** A node's answer, to be passed on. */
        void served(A answer);

        /**
         * An unavailable status: trying again is harmless, after this many nanoseconds (0: no
         * advice).
         */
        void refused(long retryAfter);

        /** It failed, and nothing is promised. */
        void failed();

        /**
         * Whether the caller is still there, looked up now and not by what was last heard of it.
         * Asked, by the driver's thread, right before the first byte of an attempt goes out. False
         * counts as {@link RequestForwarder#left}, which may also be called within this, for this
         * exchange; nothing else of the driver's may be.
         */
        boolean waits();

        /**
         * Whether the caller could be seen to have gone. Where not, since what it sent is not read
         * for want of room, {@link #waits} says nothing, and no attempt may begin.
         */
        default boolean seen() {
            return true;
        }
    }

    private final LoadBalancer.Request request;
    private final Q content;
    private final Reply<A> reply;
    private final PropagatedBudget carried;
    private final List<RequestAttempt<Q, A>> attempts = new ArrayList<>(1);
    private TimerService.Timer timer;
    private int out;
    private boolean over;
    private RequestAttempt<Q, A> flowing;
    private long expiry;
    private long onceWhole;
    private boolean uploaded;
    private boolean spent;
    private boolean mayHaveRun;
    private RequestBudget budget;
    private DownstreamFeedback result;

    /** Its id must be new; its deadline is an instant of the driver's clock. */
    public Exchange(LoadBalancer.Request request, Q content, Reply<A> reply) {
        this(request, content, reply, PropagatedBudget.NOTHING);
    }

    /** The same, with what its caller said of budgets, which counts where the driver has some. */
    public Exchange(
            LoadBalancer.Request request, Q content, Reply<A> reply, PropagatedBudget carried) {
        this.request = request;
        this.expiry = request.deadline();
        this.content = content;
        this.reply = reply;
        this.carried = carried;
    }

    public LoadBalancer.Request request() {
        return request;
    }

    public Q content() {
        return content;
    }

    PropagatedBudget carried() {
        return carried;
    }

    /** What it may cost; null before the module was told of it, and where there are no budgets. */
    public RequestBudget budget() {
        return budget;
    }

    void budget(RequestBudget mayCost) {
        budget = mayCost;
    }

    /** What goes up with the answer, from the moment of the reply on; null where nothing does. */
    public DownstreamFeedback result() {
        return result;
    }

    void result(DownstreamFeedback goesUp) {
        result = goesUp;
    }

    Reply<A> reply() {
        return reply;
    }

    /**
     * Its content is still being read. Its deadline counts from the last byte of it, so until then
     * it has none but that of the request.
     *
     * @param wait how long its caller waits from then on, in nanoseconds
     */
    public Exchange<Q, A> uploading(long wait) {
        uploaded = true;
        onceWhole = wait;
        return this;
    }

    /** Whether its content was still being read when it came. */
    boolean uploaded() {
        return uploaded;
    }

    /** How long the caller waits once all of the content was read. */
    long onceWhole() {
        return onceWhole;
    }

    /**
     * What is left of its caller's wait, in nanoseconds: a node may be told no more. While its
     * content is being read that is the wait from its last byte on.
     */
    public long left(long now) {
        return uploaded ? Math.min(onceWhole, expiry - now) : expiry - now;
    }

    /** When its time is over, by the driver's clock. */
    public long expiry() {
        return expiry;
    }

    void expiry(long instant) {
        expiry = instant;
    }

    /** Content that is not held any more has gone out: no further attempt can be made. */
    public void spend() {
        spent = true;
    }

    boolean spent() {
        return spent;
    }

    /** The attempt whose answer flows to the caller; null where none does. */
    RequestAttempt<Q, A> flowing() {
        return flowing;
    }

    /** Its answer has begun; it is over but for that. */
    void begin(RequestAttempt<Q, A> attempt) {
        flowing = attempt;
        over = true;
    }

    /** The answer that flowed has ended, or its caller has left; true once. */
    boolean endFlow() {
        boolean flowed = flowing != null;
        flowing = null;
        return flowed;
    }

    boolean over() {
        return over;
    }

    void end() {
        over = true;
    }

    List<RequestAttempt<Q, A>> attempts() {
        return attempts;
    }

    RequestAttempt<Q, A> attempt(long endpoint, long now) {
        RequestAttempt<Q, A> attempt = new RequestAttempt<>(this, attempts.size(), endpoint, now);
        attempts.add(attempt);
        out++;
        return attempt;
    }

    void expiresBy(TimerService.Timer deadline) {
        timer = deadline;
    }

    /**
     * Calls the deadline off. Guards against every RPC of the last seconds being kept in memory,
     * bodies and all, until its deadline comes.
     */
    void forget() {
        timer.cancel();
    }

    /** Counts an attempt as ended; an exchange may be forgotten once it is over and none is out. */
    void attemptEnded(LoadBalancer.Outcome outcome) {
        out--;
        mayHaveRun |= !outcome.provesNotRun();
    }

    /** Whether an attempt that has ended may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    boolean forgettable() {
        return over && out == 0;
    }
}
