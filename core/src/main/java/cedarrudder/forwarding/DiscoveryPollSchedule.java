package cedarrudder.forwarding;

import cedarrudder.balancer.BalancerSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Decides when calls to discovery are made, and when a call counts as lost. A call is one request
 * to discovery, either for the watch or for the whole list, and is identified by a number. This
 * class performs no I/O: it receives events with their time in nanoseconds and invokes {@link
 * Actions}.
 *
 * <p><b>Silence.</b> A complete object or an empty line shows that a watch is alive, and so does
 * the first byte of an object; the further bytes don't, so a watch that delivers pieces of an
 * object that never ends doesn't count as alive for good. A watch is therefore lost at the latest
 * {@code watchSilenceNanos + jitterNanos} after its last byte, and is reopened at once.
 *
 * <p><b>Hedging.</b> While no call has a response, another one is made every {@code hedgeNanos}, on
 * another connection. The earlier calls stay in flight, so that none loses its place in the queue
 * of a busy discovery. At most {@code callNanos / hedgeNanos + 1} calls are in flight at a time;
 * for a whole list at most two. A spare connection for the next call is dialled while the previous
 * call has no response, since two connections in a row may be established late.
 *
 * <p><b>Backoff.</b> Once all calls have failed, the next one is made after a backoff with jitter:
 * at most {@code jitterNanos} if a watch ended, a quarter of that if the first call failed or the
 * last one was silent, then {@link #maxBackoffNanos}. The cap is low, since a list must not arrive
 * late once discovery has recovered, however long the outage was. {@link Actions#onUnavailable}
 * notifies the balancer once of all failures until the watch has a response again; the balancer's
 * own backoff neither lengthens nor shortens this one.
 */
public final class DiscoveryPollSchedule {

    /**
     * The maximum backoff. A change has to be known 6 s after discovery has recovered: the maximum
     * backoff, a connection that is established a second late and a refusal, and all of these once
     * more, take 5.1 s.
     */
    private static final long MAX_BACKOFF_NANOS = 1_500_000_000L;

    /**
     * The maximum backoff as a fraction of the poll interval; the rest is reserved for a call that
     * waits and a connection that is established late.
     */
    private static final double MAX_BACKOFF_INTERVAL_FRACTION = 0.6;

    /** The maximum backoff if lists are pushed: an agent then serves this machine alone. */
    private static final long MAX_BACKOFF_PUSHED_NANOS = 750_000_000L;

    /**
     * The fraction of the backoff that is random. The fixed rest keeps a replica from making two
     * calls within a second; the random part spreads replicas that failed at the same time.
     */
    private static final double BACKOFF_JITTER_FRACTION = 1.0 / 3;

    /** Divides the jitter after a failed call, since calls are spread already. */
    private static final int FAILED_CALL_JITTER_DIVISOR = 4;

    /** The connection attempt delay that RFC 8305, section 5, recommends. */
    private static final long SPARE_DIAL_DELAY_NANOS = 250_000_000L;

    private static final long NEVER = Long.MAX_VALUE;

    /** Why a call is dropped. */
    public enum DropReason {
        /** No data was received for too long. */
        SILENT,
        /** Another call replaces this one, or the list is no longer wanted. */
        SUPERSEDED
    }

    /** Carries out what the schedule decides. */
    public interface Actions {

        /** Makes a call on a separate connection: the spare connection if there is one. */
        void open(int call);

        /** Dials a spare connection, or closes the existing one. */
        void dialSpare(boolean wanted);

        /** Drops a call. */
        void drop(int call, DropReason reason);

        /**
         * Schedules a call of {@link DiscoveryPollSchedule#onTimer} for an instant, in place of an
         * earlier one.
         */
        void scheduleTimer(long at);

        /** Reports that all calls have failed. */
        void onUnavailable();
    }

    /** One call, from dialling its connection to its end. */
    private static final class Call {
        private final int number;
        private final long openedAt;
        private final long jitter;
        private boolean connected;
        private boolean answered;
        private long lastReceivedAt;

        private Call(int number, long now, long jitter) {
            this.number = number;
            this.openedAt = now;
            this.jitter = jitter;
        }

        private void onReceived(long now) {
            lastReceivedAt = now;
            answered = true;
        }

        private long lostAt(DiscoveryTimeouts timeouts) {
            return answered
                    ? lastReceivedAt + timeouts.watchSilenceNanos() + jitter
                    : openedAt + timeouts.callNanos();
        }
    }

    private final boolean watching;
    private final long maxBackoffNanos;
    private final RandomGenerator random;
    private final Actions actions;
    private DiscoveryTimeouts timeouts;

    /** Calls that have delivered no list yet, oldest first. */
    private final List<Call> pending = new ArrayList<>(2);

    /** The watch that delivers updates; during a change of address, the one at the old address. */
    private Call established;

    private boolean wanted;
    private boolean addressChanging;
    private boolean unavailableReported;
    private int failures;

    /** True if discovery itself ended the last call that failed: it is reachable, maybe busy. */
    private boolean reachable;

    private long nextCallAt = NEVER;
    private long spareDialAt = NEVER;
    private long timerAt = NEVER;
    private int lastNumber;

    /**
     * Creates a schedule that has made no call yet.
     *
     * @param watching true: calls are for the watch; false: for one whole list
     * @param maxBackoffNanos the maximum time from a failure to the next call; 0 if this schedule
     *     does not repeat failed calls
     */
    public DiscoveryPollSchedule(
            boolean watching,
            long maxBackoffNanos,
            DiscoveryTimeouts timeouts,
            RandomGenerator random,
            Actions actions) {
        this.watching = watching;
        this.maxBackoffNanos = maxBackoffNanos;
        this.timeouts = timeouts;
        this.random = random;
        this.actions = actions;
    }

    /** Returns the maximum backoff for a site, in nanoseconds. */
    public static long maxBackoffNanos(BalancerSettings settings) {
        if (!settings.pollsEndpoints()) {
            return MAX_BACKOFF_PUSHED_NANOS;
        }
        double nanos = MAX_BACKOFF_INTERVAL_FRACTION * settings.safety().pollIntervalNanos();
        return Math.min(MAX_BACKOFF_NANOS, (long) nanos);
    }

    /** Sets the timeouts that apply from now on; a backoff that has begun keeps its length. */
    public void apply(DiscoveryTimeouts next) {
        timeouts = next;
    }

    /** Returns whether the watch is established or a call is pending. */
    public boolean isActive() {
        return established != null || !pending.isEmpty();
    }

    // ---- requests of the balancer and changes of address

    /**
     * Makes a call for the list. Has no effect while a call is pending or scheduled, or a watch is
     * established.
     */
    public void poll(long now) {
        wanted = true;
        boolean watched = established != null && !addressChanging;
        if (pending.isEmpty() && !watched && nextCallAt == NEVER) {
            unavailableReported = false;
            open(now);
        }
    }

    /**
     * Makes a call to the new address of discovery at once, even during a backoff. A watch that is
     * established at the old address continues until the new one is established.
     */
    public void onAddressChanged(long now) {
        if (wanted) {
            dropPending();
            addressChanging = established != null;
            failures = 0;
            reachable = false; // unknown for the new address
            open(now);
        }
    }

    /** Drops all calls and makes no more until the next poll. */
    public void stop() {
        wanted = false;
        addressChanging = false;
        cancelNextCall();
        dropPending();
        dropEstablished(DropReason.SUPERSEDED);
    }

    private void cancelNextCall() {
        nextCallAt = NEVER;
        spareDialAt = NEVER;
        actions.dialSpare(false);
    }

    // ---- events of calls

    /**
     * Records that the connection of a call is established: from now on the call may have a place
     * in discovery's queue.
     */
    public void onConnected(int number) {
        Call call = pending(number);
        if (call != null) {
            call.connected = true;
        }
    }

    /** Records that the first byte of an object was received. */
    public void onObjectStarted(long now, int number) {
        if (isEstablished(number)) {
            established.onReceived(now);
        }
    }

    /**
     * Records that an empty line was received: nothing has changed. From a new address that has
     * delivered no list yet, it only shows that the call is alive.
     */
    public void onHeartbeat(long now, int number) {
        if (!addressChanging || isEstablished(number)) {
            onUpdate(now, number);
            return;
        }
        Call call = pending(number);
        if (call != null) {
            call.onReceived(now);
        }
    }

    /** Records that a valid list or change was received, and drops the other calls. */
    public void onUpdate(long now, int number) {
        if (isEstablished(number)) {
            established.onReceived(now);
            updateTimer();
            return;
        }
        Call call = pending(number);
        if (call == null) {
            return;
        }
        pending.remove(call);
        dropPending();
        dropEstablished(DropReason.SUPERSEDED);
        addressChanging = false;
        unavailableReported = false;
        cancelNextCall();
        wanted = watching;
        if (watching) {
            established = call;
            call.onReceived(now);
            updateTimer();
        }
    }

    /** Records that a call ended, could not be made, or delivered an unreadable response. */
    public void onCallFailed(long now, int number) {
        if (isEstablished(number)) {
            onWatchEnded(now);
            return;
        }
        Call call = pending(number);
        if (call == null) {
            return;
        }
        reachable |= call.connected;
        pending.remove(call);
        if (pending.isEmpty()) {
            backOff(now, timeouts.jitterNanos() / FAILED_CALL_JITTER_DIVISOR);
        }
    }

    /**
     * Records that the watch ended. At an old address this is expected; the call that replaces the
     * watch then reports failures for both.
     */
    private void onWatchEnded(long now) {
        boolean lastedLong = now - established.openedAt >= maxBackoffNanos;
        if (lastedLong) {
            failures = 0; // a watch that ends right after its response is no success
        }
        established = null;
        if (!addressChanging) {
            reachable = true;
            backOff(now, timeouts.jitterNanos());
        }
        addressChanging = false;
    }

    // ---- timer

    /** Handles the timer, at or after the instant that was scheduled. */
    public void onTimer(long now) {
        timerAt = NEVER;
        dropSilentWatch(now);
        dropSilentCalls(now);
        if (now >= effectiveNextCallAt()) {
            open(now);
        } else if (now >= spareDialAt) {
            spareDialAt = NEVER;
            actions.dialSpare(!isQueuedAtDiscovery());
        }
        updateTimer();
    }

    private void dropSilentWatch(long now) {
        if (established == null || now < established.lostAt(timeouts)) {
            return;
        }
        reachable = false;
        dropEstablished(DropReason.SILENT);
        if (!addressChanging) {
            failures = 0;
            nextCallAt = now;
        }
        addressChanging = false;
    }

    private void dropSilentCalls(long now) {
        boolean hadPending = !pending.isEmpty();
        for (Call call : List.copyOf(pending)) {
            if (now >= call.lostAt(timeouts)) {
                reachable = false;
                pending.remove(call);
                actions.drop(call.number, DropReason.SILENT);
            }
        }
        if (hadPending && pending.isEmpty()) {
            failures = 0; // a whole timeout has passed, so no long backoff is added
            backOff(now, timeouts.jitterNanos() / FAILED_CALL_JITTER_DIVISOR);
        }
    }

    /**
     * Makes a call. Drops earlier calls that still wait for a connection: once the network
     * recovers, their lost packets would be retransmitted and all calls arrive at the same time.
     */
    private void open(long now) {
        for (Call call : List.copyOf(pending)) {
            if (!call.connected) {
                pending.remove(call);
                actions.drop(call.number, DropReason.SUPERSEDED);
            }
        }
        lastNumber++;
        long jitter = (long) (random.nextDouble() * timeouts.jitterNanos());
        Call call = new Call(lastNumber, now, jitter);
        pending.add(call);
        boolean repeats = maxBackoffNanos > 0;
        nextCallAt = repeats || pending.size() == 1 ? now + timeouts.hedgeNanos() : NEVER;
        spareDialAt = repeats ? now + SPARE_DIAL_DELAY_NANOS : NEVER;
        updateTimer();
        actions.open(call.number);
    }

    /**
     * Schedules the next call after all calls have failed.
     *
     * @param maxFirst the maximum backoff after a first failure, in nanoseconds
     */
    private void backOff(long now, long maxFirst) {
        boolean repeats = maxBackoffNanos > 0;
        nextCallAt = repeats ? now + nextBackoff(Math.min(maxFirst, maxBackoffNanos)) : NEVER;
        spareDialAt = NEVER;
        updateTimer();
        if (!unavailableReported) {
            unavailableReported = repeats;
            actions.onUnavailable();
        }
    }

    private long nextBackoff(long maxFirst) {
        failures++;
        if (failures == 1) {
            return (long) (random.nextDouble() * maxFirst);
        }
        return maxBackoffNanos
                - (long) (random.nextDouble() * BACKOFF_JITTER_FRACTION * maxBackoffNanos);
    }

    /**
     * Returns when the next call is made; {@link #NEVER} while a pending call is answered or has a
     * place in discovery's queue.
     */
    private long effectiveNextCallAt() {
        boolean answered = pending.stream().anyMatch(call -> call.answered);
        return isQueuedAtDiscovery() || answered ? NEVER : nextCallAt;
    }

    /**
     * Returns whether a call has a place in the queue of a reachable discovery. If discovery serves
     * only a few calls a second, hedged calls would make all replicas wait twice as long.
     */
    private boolean isQueuedAtDiscovery() {
        return reachable && pending.stream().anyMatch(call -> call.connected);
    }

    private void updateTimer() {
        long next = Math.min(effectiveNextCallAt(), spareDialAt);
        if (established != null) {
            next = Math.min(next, established.lostAt(timeouts));
        }
        for (Call call : pending) {
            next = Math.min(next, call.lostAt(timeouts));
        }
        if (next < timerAt) {
            timerAt = next;
            actions.scheduleTimer(next);
        }
    }

    // ---- lookup and removal of calls

    private boolean isEstablished(int number) {
        return established != null && established.number == number;
    }

    private Call pending(int number) {
        return pending.stream().filter(call -> call.number == number).findFirst().orElse(null);
    }

    private void dropPending() {
        pending.forEach(call -> actions.drop(call.number, DropReason.SUPERSEDED));
        pending.clear();
    }

    private void dropEstablished(DropReason reason) {
        if (established != null) {
            actions.drop(established.number, reason);
            established = null;
        }
    }
}
