package cedarrudder.draining;

import cedarrudder.draining.DrainPolicy.AtEnd;
import cedarrudder.draining.DrainPolicy.Left;
import cedarrudder.draining.DrainPolicy.Most;
import cedarrudder.draining.DrainPolicy.Order;
import cedarrudder.draining.DrainPolicy.Restarted;
import cedarrudder.draining.DrainPolicy.Whom;
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
            Whom whom = policy.whom();
            out.put(policy.name())
                    .put(whom.tier())
                    .put(whom.zone())
                    .put(whom.pod() + 1)
                    .put(whom.kind())
                    .put(whom.min())
                    .put(whom.max())
                    .put(whom.where());
            for (Most max : List.of(policy.pod(), policy.zone(), policy.tier())) {
                out.put(max.nodes()).put(max.share());
            }
            Left left = policy.left();
            out.put(left.pod()).put(left.zone()).put(left.tier()).put(left.weight());
            out.put(policy.order())
                    .put(policy.wave())
                    .put(policy.pace())
                    .put(policy.died())
                    .put(policy.pauseIf())
                    .put(policy.goOnIf())
                    .put(policy.giveBackIf())
                    .put(policy.time())
                    .put(policy.atEnd())
                    .put(policy.restarted());
            out.put(policy.closed().size());
            for (Window window : policy.closed()) {
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
            in.done();
            return List.copyOf(policies);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static DrainPolicy policy(CompactCodec.Reader in) {
        String name = text(in);
        Whom whom =
                new Whom(
                        text(in),
                        text(in),
                        in.small(Integer.MAX_VALUE) - 1,
                        text(in),
                        in.number(),
                        in.number(),
                        text(in));
        Most pod = max(in);
        Most zone = max(in);
        Most tier = max(in);
        Left left =
                new Left(
                        in.small(Integer.MAX_VALUE),
                        in.small(Integer.MAX_VALUE),
                        in.small(Integer.MAX_VALUE),
                        in.number());
        Order order = in.choice(Order.values());
        int wave = in.small(DrainPolicy.MAX_NODES);
        long pace = in.whole(DrainPolicy.MAX_TIME);
        int died = in.small(DrainPolicy.MAX_NODES);
        String pauseIf = text(in);
        String goOnIf = text(in);
        String giveBackIf = text(in);
        long time = in.whole(DrainPolicy.MAX_TIME);
        AtEnd atEnd = in.choice(AtEnd.values());
        Restarted restarted = in.choice(Restarted.values());
        List<Window> closed = new ArrayList<>();
        for (int count = in.count(DrainPolicy.MAX_WINDOWS); count > 0; count--) {
            closed.add(
                    new Window(
                            in.small(Integer.MAX_VALUE),
                            in.small(Integer.MAX_VALUE),
                            in.small(Integer.MAX_VALUE)));
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

    private static Most max(CompactCodec.Reader in) {
        return new Most(in.small(Integer.MAX_VALUE), in.number());
    }
}
