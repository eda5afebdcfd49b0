package cedarrudder.membership;

import java.util.HashSet;
import java.util.Set;

/** The probe of one period: a ping, then indirect pings by helpers where no ack comes in time. */
final class ProbeRound {
    private final int target;
    private final int sequence;
    private final long indirectAt;
    private final Set<Integer> helpers = new HashSet<>();
    private boolean indirect;
    private boolean acknowledged;

    /**
     * A probe whose ping is sent now.
     *
     * @param indirectAt when the helpers are asked, unless an ack has come
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

    /** When the indirect pings are due; {@link Long#MAX_VALUE} where they are not needed. */
    long indirectAt() {
        return acknowledged || indirect ? Long.MAX_VALUE : indirectAt;
    }

    /** The indirect pings are being sent. */
    void startIndirect() {
        indirect = true;
    }

    void addHelper(int helper) {
        helpers.add(helper);
    }

    /** Whether a message acknowledges this probe, by the target itself or through a helper. */
    boolean isAcknowledgedBy(SwimMessage message) {
        return sequence == message.sequence()
                && target == message.subject()
                && (message.from() == target || helpers.contains(message.from()));
    }

    /** An ack came; false where one had come before. */
    boolean acknowledge() {
        boolean first = !acknowledged;
        acknowledged = true;
        return first;
    }

    boolean isAcknowledged() {
        return acknowledged;
    }

    /** Whether the target's first answer came without the helpers. */
    boolean isDirect() {
        return !indirect;
    }
}
