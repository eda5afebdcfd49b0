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
 * Runs membership on the event loop's clock and the peer socket; {@link SwimMember} makes the
 * decisions. Used on the event loop only.
 */
public final class MembershipService {

    /** Receives changes of whether a replica counts as live or as dead. */
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
     * Creates a service that sends nothing before {@link #start}.
     *
     * @param replicas the maximum number of proxies of the tier
     * @param self the number of this one
     * @param incarnation larger than that of the previous process, such as the time of its start in
     *     milliseconds
     * @param liveCountListener receives the number of live replicas whenever it changes
     * @param history records changes of membership; null if none are to be recorded
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

    /** Sets the listener for the liveness of each replica; called before {@link #start}. */
    public void setLivenessListener(LivenessListener listener) {
        livenessListener = listener;
    }

    /** Starts to take part in membership; called on the event loop. */
    public void start() {
        peers.setHandler(this::onMessage);
        record("speaks", Map.of("number", incarnation));
        scheduleTick();
    }

    /**
     * Announces that this proxy leaves, so that the others need not detect it; called on the event
     * loop.
     */
    public void leave() {
        swim.leave();
        stopSpeaking();
    }

    /**
     * Stops sending and receiving, since another process of this proxy does so; called on the event
     * loop.
     */
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

    /** Schedules the next tick for when it is due. */
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
