package cedarrudder.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * The hop ids of the tiers that a request has passed, in that order. As with CDN-Loop (RFC 8586),
 * each tier looks for its own id in the list and appends it. At most 16 ids of at most 32
 * characters.
 */
public final class HopPath {

    /** The path without a tier. */
    public static final HopPath EMPTY = new HopPath(List.of());

    static final int MAX_HOPS = 16;
    static final int MAX_HOP_LENGTH = 32;

    private final List<String> hops;

    private HopPath(List<String> hops) {
        this.hops = hops;
    }

    /**
     * Creates a path of these hop ids.
     *
     * @throws IllegalArgumentException if there are more than 16, or one is not a valid hop id
     */
    public static HopPath of(List<String> hops) {
        if (hops.size() > MAX_HOPS || !areHops(hops)) {
            throw new IllegalArgumentException("invalid hop path: " + hops);
        }
        return new HopPath(List.copyOf(hops));
    }

    /** Returns the path of these hop ids; the empty one if they are no valid path. */
    static HopPath ofOrEmpty(List<String> hops) {
        return hops.size() > MAX_HOPS || !areHops(hops) ? EMPTY : new HopPath(List.copyOf(hops));
    }

    private static boolean areHops(List<String> hops) {
        for (String hop : hops) {
            if (!isHop(hop)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether a text is a valid hop id: 1 to 32 ASCII letters, digits, dots, dashes and
     * underscores.
     */
    public static boolean isHop(String text) {
        boolean hop = !text.isEmpty() && text.length() <= MAX_HOP_LENGTH;
        for (int i = 0; hop && i < text.length(); i++) {
            hop = isHopCharacter(text.charAt(i));
        }
        return hop;
    }

    /**
     * Converts a name to a hop id: at most 32 characters, with invalid ones replaced by
     * underscores.
     */
    public static String hopOf(String name) {
        StringBuilder hop = new StringBuilder();
        for (int i = 0; i < Math.min(MAX_HOP_LENGTH, name.length()); i++) {
            hop.append(isHopCharacter(name.charAt(i)) ? name.charAt(i) : '_');
        }
        return hop.length() == 0 ? "_" : hop.toString();
    }

    private static boolean isHopCharacter(char c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '.'
                || c == '-'
                || c == '_';
    }

    /** Returns the hop ids, in the order in which the request passed the tiers. */
    public List<String> hops() {
        return hops;
    }

    boolean containsHop(String hop) {
        return hops.contains(hop);
    }

    /** Returns this path with one more tier; unchanged if it has the maximum length. */
    HopPath withHop(String hop) {
        if (hops.size() >= MAX_HOPS) {
            return this;
        }
        List<String> longer = new ArrayList<>(hops);
        longer.add(hop);
        return new HopPath(List.copyOf(longer));
    }

    /**
     * Returns the part of the path that repeats in a loop: from the last occurrence of this hop.
     */
    HopPath loopFrom(String hop) {
        return new HopPath(hops.subList(Math.max(0, hops.lastIndexOf(hop)), hops.size()));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HopPath path && hops.equals(path.hops);
    }

    @Override
    public int hashCode() {
        return hops.hashCode();
    }

    /** Returns the path as it is logged, such as {@code front > core > front}. */
    @Override
    public String toString() {
        return String.join(" > ", hops);
    }
}
