package cedarrudder.draining;

import cedarrudder.draining.DrainCommand.Bound;

/** Converts the bounds of a policy to the form in which operators write and read them. */
final class BoundText {

    private BoundText() {}

    /** Returns the key of a bound in the operator's file. */
    static String key(Bound bound) {
        return switch (bound) {
            case POD -> "out_per_pod";
            case ZONE -> "out_per_zone";
            case TIER -> "out_per_tier";
            case LEFT_POD -> "left.per_pod";
            case LEFT_ZONE -> "left.per_zone";
            case LEFT_TIER -> "left.per_tier";
            default -> "left.weight";
        };
    }

    /** Returns the value that a policy sets for a bound. */
    static String configuredValue(DrainPolicy policy, Bound bound) {
        return switch (bound) {
            case POD -> max(policy.maxPerPod());
            case ZONE -> max(policy.maxPerZone());
            case TIER -> max(policy.maxPerTier());
            case LEFT_POD -> String.valueOf(policy.minAvailable().pod());
            case LEFT_ZONE -> String.valueOf(policy.minAvailable().zone());
            case LEFT_TIER -> String.valueOf(policy.minAvailable().tier());
            default -> String.valueOf(policy.minAvailable().weight());
        };
    }

    private static String max(DrainPolicy.MaxUnavailable max) {
        return max.share() == 1
                ? "nodes = " + max.nodes()
                : max.nodes() == DrainPolicy.MAX_NODES
                        ? "share = " + max.share()
                        : "nodes = " + max.nodes() + ", share = " + max.share();
    }

    /** Describes the values of a bound with which one node can be drained. */
    static String allowed(Bound bound) {
        return switch (bound) {
            case POD, ZONE, TIER -> "a number and a share that allow one node or more";
            default -> "less than the total";
        };
    }
}
