package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.budget.RequestBudget;
import java.util.ArrayList;
import java.util.List;

/**
 * One request between its client and the endpoints: the only thing that the server side and the
 * client side share.
 *
 * <p>The server side makes it and learns through {@link Reply} how it ended; the attempt transport
 * reads its content to carry out the attempts. What content and answers are is the protocol's
 * affair.
 *
 * @param <Q> what is forwarded to an endpoint
 * @param <A> what an endpoint answers
 */
public final class Exchange<Q, A> {

    /**
     * The server side's end of an exchange. Exactly one of {@link #served}, {@link #rejected} and
     * {@link #failed} is called, once, unless the client leaves.
     *
     * @param <A> what an endpoint answers
     */
    public interface Reply<A> {
        /** An endpoint's answer, to be passed on. */
        void served(A answer);

        /**
         * An unavailable status: trying again is harmless.
         *
         * @param retryAfter advice when to retry, in nanoseconds; 0: none
         */
        void rejected(long retryAfter);

        /** It failed, and nothing is promised. */
        void failed();

        /**
         * Whether the client is still there, looked up now and not by what was last received.
         * Called on the event loop right before the first byte of an attempt goes out. False counts
         * as {@link RequestForwarder#clientLeft}, which may also be called within this, for this
         * exchange; nothing else of the forwarder may be.
         */
        boolean isClientWaiting();

        /**
         * Whether it would be seen that the client has left. Where not, since what it sent is not
         * read for want of buffers, {@link #isClientWaiting} says nothing, and no attempt may
         * start.
         */
        default boolean canDetectDisconnect() {
            return true;
        }
    }

    /** The life of an exchange; {@link #isOver} but for {@code OPEN}. */
    private enum State {
        /** An answer is owed. */
        OPEN,
        /** A response streams to the client, which owns it from its start on. */
        STREAMING,
        /** All is said. */
        ENDED
    }

    private final LoadBalancer.Request request;
    private final Q content;
    private final Reply<A> reply;
    private final PropagatedBudget receivedBudget;
    private final List<RequestAttempt<Q, A>> attempts = new ArrayList<>(1);
    private State state = State.OPEN;
    private RequestAttempt<Q, A> streamingAttempt;
    private TimerService.Timer deadlineTimer;
    private int attemptsInFlight;
    private long expiry;
    private boolean upload;
    private long timeoutAfterUpload;
    private boolean contentDiscarded;
    private boolean mayHaveRun;
    private RequestBudget budget;
    private DownstreamFeedback feedback;

    /** Its id must be new; its deadline is an instant of the forwarder's clock. */
    public Exchange(LoadBalancer.Request request, Q content, Reply<A> reply) {
        this(request, content, reply, PropagatedBudget.NOTHING);
    }

    /** The same with the budget that came with it, which counts where the forwarder has budgets. */
    public Exchange(
            LoadBalancer.Request request,
            Q content,
            Reply<A> reply,
            PropagatedBudget receivedBudget) {
        this.request = request;
        this.expiry = request.deadline();
        this.content = content;
        this.reply = reply;
        this.receivedBudget = receivedBudget;
    }

    /** What the balancer knows of it. */
    public LoadBalancer.Request request() {
        return request;
    }

    /** What is forwarded. */
    public Q content() {
        return content;
    }

    Reply<A> reply() {
        return reply;
    }

    // ---- budgets

    PropagatedBudget receivedBudget() {
        return receivedBudget;
    }

    /**
     * What it may cost; null before the balancer has received it, and where there are no budgets.
     */
    public RequestBudget budget() {
        return budget;
    }

    void budget(RequestBudget granted) {
        budget = granted;
    }

    /**
     * What the tier above learns with the answer, from the moment of the reply on; null where
     * nothing.
     */
    public DownstreamFeedback feedback() {
        return feedback;
    }

    void feedback(DownstreamFeedback forClient) {
        feedback = forClient;
    }

    // ---- time and upload

    /**
     * Its content is still being received. Its deadline counts from the last byte of it; until then
     * it has that of the request.
     *
     * @param timeout how long its client waits from then on, in nanoseconds
     */
    public Exchange<Q, A> withUpload(long timeout) {
        upload = true;
        timeoutAfterUpload = timeout;
        return this;
    }

    /** Whether its content was still being received when it was accepted. */
    boolean isUpload() {
        return upload;
    }

    long timeoutAfterUpload() {
        return timeoutAfterUpload;
    }

    /**
     * What is left of its client's wait, in nanoseconds: an endpoint may be given no more. While
     * its content is being received that is the wait from its last byte on.
     */
    public long remainingNanos(long now) {
        return upload ? Math.min(timeoutAfterUpload, expiry - now) : expiry - now;
    }

    /** The instant at which its time is over. */
    public long expiry() {
        return expiry;
    }

    void expiry(long instant) {
        expiry = instant;
    }

    boolean isExpired(long now) {
        return now >= expiry;
    }

    void deadlineTimer(TimerService.Timer timer) {
        deadlineTimer = timer;
    }

    /** Cancels the deadline, which would keep the exchange and its body in memory. */
    void cancelDeadline() {
        deadlineTimer.cancel();
    }

    /** Content that is no longer buffered has gone out: no further attempt can be made. */
    public void discardContent() {
        contentDiscarded = true;
    }

    boolean contentDiscarded() {
        return contentDiscarded;
    }

    // ---- its life

    /** Whether its client has its answer, or the start of one, or has left. */
    boolean isOver() {
        return state != State.OPEN;
    }

    void end() {
        state = State.ENDED;
    }

    /** The attempt whose response streams to the client; null where none does. */
    RequestAttempt<Q, A> streamingAttempt() {
        return streamingAttempt;
    }

    void startStreaming(RequestAttempt<Q, A> attempt) {
        state = State.STREAMING;
        streamingAttempt = attempt;
    }

    /** The response that streamed has ended, or its client has left; true once. */
    boolean endStreaming() {
        boolean streamed = state == State.STREAMING;
        if (streamed) {
            state = State.ENDED;
            streamingAttempt = null;
        }
        return streamed;
    }

    // ---- attempts

    List<RequestAttempt<Q, A>> attempts() {
        return attempts;
    }

    RequestAttempt<Q, A> newAttempt(long endpoint, long now, int zone) {
        RequestAttempt<Q, A> attempt =
                new RequestAttempt<>(this, attempts.size(), endpoint, now, zone);
        attempts.add(attempt);
        attemptsInFlight++;
        return attempt;
    }

    void attemptEnded(LoadBalancer.Outcome outcome) {
        attemptsInFlight--;
        mayHaveRun |= !outcome.provesNotRun();
    }

    /** Whether an attempt that has ended may have been executed. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether it may be forgotten: it is over and no attempt is in flight. */
    boolean isDone() {
        return isOver() && attemptsInFlight == 0;
    }
}
