package cedarrudder.draining;

import cedarrudder.draining.DrainPolicy.MaxUnavailable;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.ToDoubleFunction;

/** Describes for operators which of two policies is stricter in each bound. */
final class StricterBounds {

    /**
     * A bound with its key in the operator's file and a test whether the first policy is stricter.
     */
    private record Bound(String key, BiPredicate<DrainPolicy, DrainPolicy> isStricter) {}

    private static final List<Bound> BOUNDS =
            List.of(
                    new Bound("out_per_pod", (a, b) -> isStricter(a.maxPerPod(), b.maxPerPod())),
                    new Bound("out_per_zone", (a, b) -> isStricter(a.maxPerZone(), b.maxPerZone())),
                    new Bound("out_per_tier", (a, b) -> isStricter(a.maxPerTier(), b.maxPerTier())),
                    higher("left.per_pod", policy -> policy.minAvailable().pod()),
                    higher("left.per_zone", policy -> policy.minAvailable().zone()),
                    higher("left.per_tier", policy -> policy.minAvailable().tier()),
                    higher("left.weight", policy -> policy.minAvailable().weight()),
                    lower("wave", DrainPolicy::maxWaveSize),
                    higher("pace_ms", DrainPolicy::minWaveInterval),
                    lower("died", DrainPolicy::maxFailedNodes),
                    lower("node_ms", DrainPolicy::deadlineNanos));

    private StricterBounds() {}

    /** Returns each bound in which one policy is stricter, with the name of that policy. */
    static List<String> of(DrainPolicy one, DrainPolicy other) {
        List<String> stricter = new ArrayList<>();
        for (Bound bound : BOUNDS) {
            if (bound.isStricter.test(one, other)) {
                stricter.add(bound.key + " of '" + one.name() + "'");
            } else if (bound.isStricter.test(other, one)) {
                stricter.add(bound.key + " of '" + other.name() + "'");
            }
        }
        return stricter;
    }

    private static Bound higher(String key, ToDoubleFunction<DrainPolicy> value) {
        return new Bound(key, (a, b) -> value.applyAsDouble(a) > value.applyAsDouble(b));
    }

    private static Bound lower(String key, ToDoubleFunction<DrainPolicy> value) {
        return new Bound(key, (a, b) -> value.applyAsDouble(a) < value.applyAsDouble(b));
    }

    /**
     * Returns whether a bound is lower in the number or the fraction of nodes, and higher in
     * neither.
     */
    private static boolean isStricter(MaxUnavailable a, MaxUnavailable b) {
        return a.nodes() <= b.nodes() && a.share() <= b.share() && !a.equals(b);
    }
}
