package cedarrudder.membership;

import java.util.HashSet;
import java.util.Set;

/** The probe of one period: a ping, then indirect pings by helpers if no ack arrives in time. */
final class ProbeRound {
    private final int target;
    private final int sequence;
    private final long indirectAt;
    private final Set<Integer> helpers = new HashSet<>();
    private boolean indirect;
    private boolean acknowledged;

    /**
     * Creates a probe whose ping is sent now.
     *
     * @param indirectAt when the helpers are requested to ping the target, unless an ack has
     *     arrived
     */
    ProbeRound(int target, int sequence, long indirectAt) {
        this.target = target;
        this.sequence = sequence;
        this.indirectAt = indirectAt;
    }

    int target() {
        return target;
    }

    int sequence() {
        return sequence;
    }

    /** Returns when the indirect pings are due; {@link Long#MAX_VALUE} if they are not needed. */
    long indirectAt() {
        return acknowledged || indirect ? Long.MAX_VALUE : indirectAt;
    }

    /** Records that the indirect pings are being sent. */
    void startIndirect() {
        indirect = true;
    }

    void addHelper(int helper) {
        helpers.add(helper);
    }

    /**
     * Returns whether a message acknowledges this probe, either from the target itself or through a
     * helper.
     */
    boolean isAcknowledgedBy(SwimMessage message) {
        return sequence == message.sequence()
                && target == message.subject()
                && (message.from() == target || helpers.contains(message.from()));
    }

    /** Records an ack; returns false if there was an earlier one. */
    boolean acknowledge() {
        boolean first = !acknowledged;
        acknowledged = true;
        return first;
    }

    boolean isAcknowledged() {
        return acknowledged;
    }

    /** Returns whether the probe needed no indirect pings. */
    boolean isDirect() {
        return !indirect;
    }
}
