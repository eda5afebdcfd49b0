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

/** Encodes and decodes the policies that the replicas commit. */
public final class PolicyCodec {

    /** The maximum size of all policies together, in bytes. */
    public static final int MAX_BYTES = 24_000;

    private static final int MAX_TEXT_BYTES = 3 * DrainPolicy.MAX_TEXT;

    private PolicyCodec() {}

    /** Encodes policies in their order. */
    public static byte[] encode(List<DrainPolicy> policies) {
        CompactCodec.Writer out = new CompactCodec.Writer().put(policies.size());
        for (DrainPolicy policy : policies) {
            NodeSelector selector = policy.selector();
            out.put(policy.name())
                    .put(selector.tier())
                    .put(selector.zone())
                    .put(selector.pod() + 1)
                    .put(selector.kind())
                    .put(selector.min())
                    .put(selector.max())
                    .put(selector.where());
            for (MaxUnavailable max :
                    List.of(policy.maxPerPod(), policy.maxPerZone(), policy.maxPerTier())) {
                out.put(max.nodes()).put(max.share());
            }
            MinAvailable available = policy.minAvailable();
            out.put(available.pod())
                    .put(available.zone())
                    .put(available.tier())
                    .put(available.weight());
            out.put(policy.order())
                    .put(policy.maxWaveSize())
                    .put(policy.minWaveInterval())
                    .put(policy.maxFailedNodes())
                    .put(policy.pauseIf())
                    .put(policy.resumeIf())
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

    /** Decodes policies; returns null if the bytes are not valid ones. Never throws. */
    public static List<DrainPolicy> decode(byte[] bytes) {
        try {
            CompactCodec.Reader in = new CompactCodec.Reader(bytes);
            List<DrainPolicy> policies = new ArrayList<>();
            Set<String> names = new HashSet<>();
            for (int left = in.count(DrainPolicy.MAX_POLICIES); left > 0; left--) {
                DrainPolicy policy = readPolicy(in);
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

    private static DrainPolicy readPolicy(CompactCodec.Reader in) {
        return new DrainPolicy(
                text(in),
                readSelector(in),
                readMaxUnavailable(in),
                readMaxUnavailable(in),
                readMaxUnavailable(in),
                readMinAvailable(in),
                in.enumConstant(DrainOrder.values()),
                in.smallInt(DrainPolicy.MAX_NODES),
                in.longValue(DrainPolicy.MAX_DURATION_NANOS),
                in.smallInt(DrainPolicy.MAX_NODES),
                text(in),
                text(in),
                text(in),
                in.longValue(DrainPolicy.MAX_DURATION_NANOS),
                in.enumConstant(OnDeadline.values()),
                in.enumConstant(OnRestart.values()),
                readWindows(in));
    }

    private static NodeSelector readSelector(CompactCodec.Reader in) {
        return new NodeSelector(
                text(in),
                text(in),
                in.smallInt(Integer.MAX_VALUE) - 1,
                text(in),
                in.doubleValue(),
                in.doubleValue(),
                text(in));
    }

    private static MinAvailable readMinAvailable(CompactCodec.Reader in) {
        return new MinAvailable(
                in.smallInt(Integer.MAX_VALUE),
                in.smallInt(Integer.MAX_VALUE),
                in.smallInt(Integer.MAX_VALUE),
                in.doubleValue());
    }

    private static List<Window> readWindows(CompactCodec.Reader in) {
        List<Window> windows = new ArrayList<>();
        for (int left = in.count(DrainPolicy.MAX_WINDOWS); left > 0; left--) {
            windows.add(
                    new Window(
                            in.smallInt(Integer.MAX_VALUE),
                            in.smallInt(Integer.MAX_VALUE),
                            in.smallInt(Integer.MAX_VALUE)));
        }
        return windows;
    }

    private static String text(CompactCodec.Reader in) {
        return in.text(MAX_TEXT_BYTES);
    }

    private static MaxUnavailable readMaxUnavailable(CompactCodec.Reader in) {
        return new MaxUnavailable(in.smallInt(Integer.MAX_VALUE), in.doubleValue());
    }
}
