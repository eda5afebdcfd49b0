package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.Kind;
import cedarrudder.membership.SwimMessage.MemberUpdate;
import cedarrudder.membership.SwimMessage.Window;
import java.util.random.RandomGenerator;

/** Sends messages, with as many gossip updates as fit into each. */
final class MessageSender {
    private final int self;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MemberTable members;
    private final StateExchange exchange;
    private final GossipQueue gossip;
    private final SwimMember.Actions actions;
    private int lastSequence;

    MessageSender(
            int self,
            MembershipSettings settings,
            RandomGenerator random,
            MemberTable members,
            StateExchange exchange,
            GossipQueue gossip,
            SwimMember.Actions actions) {
        this.self = self;
        this.settings = settings;
        this.random = random;
        this.members = members;
        this.exchange = exchange;
        this.gossip = gossip;
        this.actions = actions;
    }

    /** Returns the sequence number of a new ping. */
    int nextSequence() {
        return ++lastSequence;
    }

    /** Sends a ping with a new sequence number. */
    void ping(int to) {
        ping(to, nextSequence());
    }

    /** Sends a ping with that sequence number. */
    void ping(int to, int sequence) {
        send(to, Kind.PING, sequence, to);
    }

    /** Sends a message about a subject. */
    void send(int to, Kind kind, int sequence, int subject) {
        send(to, kind, sequence, subject, null);
    }

    /**
     * Acknowledges a ping, with the updates that the sender lacks according to the ping's window.
     */
    void acknowledge(SwimMessage ping) {
        send(ping.from(), Kind.ACK, ping.sequence(), self, ping.window());
    }

    private void send(int to, Kind kind, int sequence, int subject, Window received) {
        Window window = kind == Kind.PING ? exchange.nextWindow() : null;
        long incarnation = members.member(self).incarnation();
        GossipMessage content = new GossipMessage(incarnation, SwimCodec.gossipBytes(window));
        if (!members.isAlive(to)) {
            // Lifeguard's buddy system: the message to a suspect begins with its suspicion, which
            // it can then refute.
            content.add(new MemberUpdate(members.member(to), self));
        }
        if (received != null) {
            int start = random.nextInt(members.members().length);
            exchange.fillDifferences(self, received, members.members(), start, content);
        }
        gossip.fill(content, maxTransmissions());
        SwimMessage message =
                new SwimMessage(
                        kind,
                        sequence,
                        self,
                        incarnation,
                        subject,
                        exchange.digest(),
                        window,
                        content.updates());
        actions.send(to, SwimCodec.encode(message));
    }

    /**
     * Returns how often an update is sent: a multiple of the logarithm of the number of live
     * instances.
     */
    private int maxTransmissions() {
        double logarithm = Math.ceil(Math.log(members.liveCount() + 1.0) / Math.log(2));
        return (int) Math.max(1, settings.retransmitMultiplier() * logarithm);
    }
}
