package cedarrudder.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * The tiers that a call has passed, the first first, each by its hop id: like RFC 8586's CDN-Loop,
 * a list in which each looks for itself and to which each adds itself. At most 16 of at most 32
 * characters.
 */
public final class HopPath {

    /** No tier. */
    public static final HopPath EMPTY = new HopPath(List.of());

    static final int MAX = 16;
    static final int MAX_NAME = 32;

    private final List<String> hops;

    private HopPath(List<String> hops) {
        this.hops = hops;
    }

    /**
     * A path of these hop ids.
     *
     * @throws IllegalArgumentException if there are too many, or one is no hop id
     */
    public static HopPath of(List<String> hops) {
        if (hops.size() > MAX || !allHops(hops)) {
            throw new IllegalArgumentException("no path: " + hops);
        }
        return new HopPath(List.copyOf(hops));
    }

    /** The same, where what is no path is the empty one. */
    static HopPath read(List<String> hops) {
        return hops.size() > MAX || !allHops(hops) ? EMPTY : new HopPath(List.copyOf(hops));
    }

    private static boolean allHops(List<String> hops) {
        for (String hop : hops) {
            if (!isHop(hop)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether a text may stand as a hop id: 1 to 32 letters, digits, dots, dashes and underscores.
     */
    public static boolean isHop(String text) {
        boolean hop = !text.isEmpty() && text.length() <= MAX_NAME;
        for (int i = 0; hop && i < text.length(); i++) {
            hop = mayStand(text.charAt(i));
        }
        return hop;
    }

    /** The hop id nearest to a name, in which other characters become underscores. */
    public static String hopOf(String name) {
        StringBuilder hop = new StringBuilder();
        for (int i = 0; i < Math.min(MAX_NAME, name.length()); i++) {
            hop.append(mayStand(name.charAt(i)) ? name.charAt(i) : '_');
        }
        return hop.length() == 0 ? "_" : hop.toString();
    }

    private static boolean mayStand(char c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '.'
                || c == '-'
                || c == '_';
    }

    /** The hop ids, the first first. */
    public List<String> hops() {
        return hops;
    }

    boolean has(String hop) {
        return hops.contains(hop);
    }

    /** This path with one more tier; the same where it is as long as any may be. */
    HopPath plus(String hop) {
        if (hops.size() >= MAX) {
            return this;
        }
        List<String> longer = new ArrayList<>(hops);
        longer.add(hop);
        return new HopPath(List.copyOf(longer));
    }

    /**
     * The part that would be gone through again and again: from the last time that this tier was
     * passed.
     */
    HopPath from(String hop) {
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

    /** As operators read it: {@code front > core > front}. */
    @Override
    public String toString() {
        return String.join(" > ", hops);
    }
}
