package cedarrudder.draining;

import cedarrudder.draining.DrainPolicy.DrainOrder;
import cedarrudder.draining.DrainPolicy.MaxUnavailable;
import cedarrudder.draining.DrainPolicy.MinAvailable;
import cedarrudder.draining.DrainPolicy.NodeSelector;
import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import cedarrudder.draining.DrainPolicy.Window;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Policies as bytes, as replicas agree on them. */
public final class PolicyCodec {

    /** All policies together take no more than this. */
    public static final int MAX_BYTES = 24_000;

    private static final int MAX_TEXT_BYTES = 3 * DrainPolicy.MAX_TEXT;

    private PolicyCodec() {}

    public static byte[] encode(List<DrainPolicy> policies) {
        CompactCodec.Writer out = new CompactCodec.Writer().put(policies.size());
        for (DrainPolicy policy : policies) {
            NodeSelector whom = policy.selector();
            out.put(policy.name())
                    .put(whom.tier())
                    .put(whom.zone())
                    .put(whom.pod() + 1)
                    .put(whom.kind())
                    .put(whom.min())
                    .put(whom.max())
                    .put(whom.where());
            for (MaxUnavailable max :
                    List.of(policy.maxPerPod(), policy.maxPerZone(), policy.maxPerTier())) {
                out.put(max.nodes()).put(max.share());
            }
            MinAvailable left = policy.minAvailable();
            out.put(left.pod()).put(left.zone()).put(left.tier()).put(left.weight());
            out.put(policy.order())
                    .put(policy.maxWaveSize())
                    .put(policy.minWaveInterval())
                    .put(policy.maxDied())
                    .put(policy.pauseIf())
                    .put(policy.goOnIf())
                    .put(policy.giveBackIf())
                    .put(policy.deadlineNanos())
                    .put(policy.onDeadline())
                    .put(policy.onRestart());
            out.put(policy.closedWindows().size());
            for (Window window : policy.closedWindows()) {
                out.put(window.days()).put(window.from()).put(window.to());
            }
        }
        return out.bytes();
    }

    /** Reads policies; null where the bytes are none. It throws nothing. */
    public static List<DrainPolicy> decode(byte[] bytes) {
        try {
            CompactCodec.Reader in = new CompactCodec.Reader(bytes);
            List<DrainPolicy> policies = new ArrayList<>();
            Set<String> names = new HashSet<>();
            for (int left = in.count(DrainPolicy.MAX_POLICIES); left > 0; left--) {
                DrainPolicy policy = policy(in);
                if (!names.add(policy.name())) {
                    return null;
                }
                policies.add(policy);
            }
            in.requireEnd();
            return List.copyOf(policies);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static DrainPolicy policy(CompactCodec.Reader in) {
        String name = text(in);
        NodeSelector whom =
                new NodeSelector(
                        text(in),
                        text(in),
                        in.smallInt(Integer.MAX_VALUE) - 1,
                        text(in),
                        in.number(),
                        in.number(),
                        text(in));
        MaxUnavailable pod = max(in);
        MaxUnavailable zone = max(in);
        MaxUnavailable tier = max(in);
        MinAvailable left =
                new MinAvailable(
                        in.smallInt(Integer.MAX_VALUE),
                        in.smallInt(Integer.MAX_VALUE),
                        in.smallInt(Integer.MAX_VALUE),
                        in.number());
        DrainOrder order = in.choice(DrainOrder.values());
        int wave = in.smallInt(DrainPolicy.MAX_NODES);
        long pace = in.longValue(DrainPolicy.MAX_TIME);
        int died = in.smallInt(DrainPolicy.MAX_NODES);
        String pauseIf = text(in);
        String goOnIf = text(in);
        String giveBackIf = text(in);
        long time = in.longValue(DrainPolicy.MAX_TIME);
        OnDeadline atEnd = in.choice(OnDeadline.values());
        OnRestart restarted = in.choice(OnRestart.values());
        List<Window> closed = new ArrayList<>();
        for (int count = in.count(DrainPolicy.MAX_WINDOWS); count > 0; count--) {
            closed.add(
                    new Window(
                            in.smallInt(Integer.MAX_VALUE),
                            in.smallInt(Integer.MAX_VALUE),
                            in.smallInt(Integer.MAX_VALUE)));
        }
        return new DrainPolicy(
                name,
                whom,
                pod,
                zone,
                tier,
                left,
                order,
                wave,
                pace,
                died,
                pauseIf,
                goOnIf,
                giveBackIf,
                time,
                atEnd,
                restarted,
                closed);
    }

    private static String text(CompactCodec.Reader in) {
        return in.text(MAX_TEXT_BYTES);
    }

    private static MaxUnavailable max(CompactCodec.Reader in) {
        return new MaxUnavailable(in.smallInt(Integer.MAX_VALUE), in.number());
    }
}
