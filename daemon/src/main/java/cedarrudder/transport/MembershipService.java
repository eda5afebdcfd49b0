package cedarrudder.transport;

import cedarrudder.forwarding.TimerService;
import cedarrudder.membership.Member;
import cedarrudder.membership.Member.State;
import cedarrudder.membership.MembershipSettings;
import cedarrudder.membership.SwimMember;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;

/**
 * Membership on the loop's clock and the socket to the peers; what it decides stands in {@link
 * SwimMember}. It belongs to the loop's thread.
 */
public final class MembershipService {

    /** Takes that a replica counts as live from now on, or as dead. */
    public interface LivenessListener {
        void onLivenessChanged(int replica, boolean alive);
    }

    private final ProxyEventLoop loop;
    private final PeerSocket peers;
    private final IntConsumer liveCountListener;
    private final EventRecorder history;
    private final long incarnation;
    private final SwimMember swim;
    private TimerService.Timer timer;
    private long scheduledAt = Long.MAX_VALUE;
    private int lastLiveCount;
    private LivenessListener livenessListener = (replica, alive) -> {};

    /**
     * @param replicas how many proxies of the tier there may be, and {@code self} the number of
     *     this one
     * @param incarnation larger than that of the process before, such as the time of its start in
     *     milliseconds
     * @param liveCountListener takes how many live, whenever that changes
     * @param history takes what becomes known; null where nobody asked for that
     */
    public MembershipService(
            ProxyEventLoop loop,
            PeerSocket peers,
            MembershipSettings settings,
            int replicas,
            int self,
            long incarnation,
            RandomGenerator random,
            IntConsumer liveCountListener,
            EventRecorder history) {
        this.loop = loop;
        this.peers = peers;
        this.liveCountListener = liveCountListener;
        this.history = history;
        this.incarnation = incarnation;
        this.lastLiveCount = replicas;
        this.swim =
                new SwimMember(
                        replicas,
                        self,
                        incarnation,
                        settings,
                        random,
                        new SwimMember.Actions() {
                            @Override
                            public void send(int to, byte[] message) {
                                peers.send(to, message);
                            }

                            @Override
                            public void onMemberChanged(Member before, Member now) {
                                record(before, now);
                            }
                        },
                        loop.now());
    }

    /** Tells this one of each replica, from now on; before it begins. */
    public void setLivenessListener(LivenessListener hears) {
        livenessListener = hears;
    }

    /** Begins; on the loop. */
    public void start() {
        peers.setHandler(this::onMessage);
        record("speaks", Map.of("number", incarnation));
        scheduleTick();
    }

    /** Says that this proxy leaves, so that the others need not find out; on the loop. */
    public void leave() {
        swim.leave();
        stopSpeaking();
    }

    /** Says and hears nothing more, since another process of this proxy does; on the loop. */
    public void stopSpeaking() {
        if (timer != null) {
            timer.cancel();
        }
        peers.close();
        record("silent", Map.of());
    }

    private void record(String what, Map<String, ?> fields) {
        if (history != null) {
            history.record(what, fields);
        }
    }

    private void onMessage(int from, byte[] message) {
        swim.onDatagram(loop.now(), from, message);
        scheduleTick();
    }

    private void tick() {
        scheduledAt = Long.MAX_VALUE;
        swim.tick(loop.now());
        scheduleTick();
    }

    /** Sees to it that the next tick comes when it is due. */
    private void scheduleTick() {
        long due = swim.nextTickAt();
        if (due == scheduledAt) {
            return;
        }
        if (timer != null) {
            timer.cancel();
        }
        scheduledAt = due;
        timer = due == Long.MAX_VALUE ? null : loop.at(due, this::tick);
    }

    private void record(Member before, Member now) {
        if (history != null) {
            record(
                    now.state().name().toLowerCase(Locale.ROOT),
                    Map.of("about", now.number(), "number", now.incarnation()));
        }
        if (before.state() != now.state()) {
            livenessListener.onLivenessChanged(now.number(), now.state() != State.DEAD);
            if (now.state() == State.SUSPECT) {
                loop.log().debug("member.suspected").with("replica", now.number()).write();
            } else if (now.state() == State.DEAD) {
                loop.log()
                        .info("member.died")
                        .with("replica", now.number())
                        .with("live", swim.liveCount())
                        .write();
            } else if (before.state() == State.DEAD) {
                loop.log()
                        .info("member.recovered")
                        .with("replica", now.number())
                        .with("live", swim.liveCount())
                        .write();
            }
        }
        if (swim.liveCount() != lastLiveCount) {
            lastLiveCount = swim.liveCount();
            liveCountListener.accept(lastLiveCount);
        }
    }
}
