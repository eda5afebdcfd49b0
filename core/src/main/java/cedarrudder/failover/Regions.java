package cedarrudder.failover;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The regions: which zones belong to each, and which other regions are nearest to it. A zone that
 * is in none is a region of its own.
 */
public record Regions(List<Region> regions) {

    /** No regions: every zone is a region of its own. */
    public static final Regions NONE = new Regions(List.of());

    /**
     * A region.
     *
     * @param zones the names of its zones, as in the platform's settings
     * @param nearest the names of other regions, the nearest first; regions that are not named are
     *     farther away
     */
    public record Region(String name, List<String> zones, List<String> nearest) {
        /** Copies the lists. */
        public Region {
            zones = List.copyOf(zones);
            nearest = List.copyOf(nearest);
        }
    }

    /**
     * An invalid setting: the index of the region, the key, the value found and the allowed values.
     */
    public record Problem(int region, String key, String found, String allowed) {}

    public Regions {
        regions = List.copyOf(regions);
    }

    /**
     * Returns all contradictions among the regions.
     *
     * @param known the names of the existing zones; null if they are not known yet
     */
    public List<Problem> problems(Collection<String> known) {
        List<Problem> problems = new ArrayList<>();
        Map<String, String> regionOf = new HashMap<>();
        List<String> names = regions.stream().map(Region::name).toList();
        for (int i = 0; i < regions.size(); i++) {
            Region region = regions.get(i);
            if (names.indexOf(region.name) < i) {
                problems.add(
                        new Problem(i, "name", '"' + region.name + "\" twice", "each name once"));
            }
            checkZones(i, known, regionOf, problems);
            checkNearest(i, names, problems);
        }
        return problems;
    }

    private void checkZones(
            int index,
            Collection<String> known,
            Map<String, String> regionOf,
            List<Problem> problems) {
        Region region = regions.get(index);
        if (region.zones.isEmpty()) {
            problems.add(new Problem(index, "zones", "none", "one or more"));
        }
        for (String zone : region.zones) {
            String other = regionOf.putIfAbsent(zone, region.name);
            if (other != null) {
                problems.add(
                        new Problem(
                                index,
                                "zones",
                                '"' + zone + "\", which is in \"" + other + '"',
                                "each zone in one region"));
            } else if (known != null && !known.contains(zone)) {
                problems.add(
                        new Problem(
                                index,
                                "zones",
                                '"' + zone + '"',
                                "the zones of the settings: " + String.join(", ", known)));
            }
        }
    }

    private void checkNearest(int index, List<String> names, List<Problem> problems) {
        Region region = regions.get(index);
        Set<String> named = new HashSet<>();
        for (String near : region.nearest) {
            if (!names.contains(near) || near.equals(region.name) || !named.add(near)) {
                problems.add(
                        new Problem(
                                index, "nearest", '"' + near + '"', "other regions, each once"));
            }
        }
    }

    /**
     * Returns how far each zone is from each: 0 for itself, 1 for zones of its region, 2 and more
     * for others, the nearest first.
     *
     * @param zones their names, in the order of their numbers
     */
    public int[][] ranks(List<String> zones) {
        int[][] ranks = new int[zones.size()][zones.size()];
        for (int from = 0; from < ranks.length; from++) {
            for (int to = 0; to < ranks.length; to++) {
                ranks[from][to] =
                        from == to
                                ? 0
                                : rank(regionOfZone(zones.get(from)), regionOfZone(zones.get(to)));
            }
        }
        return ranks;
    }

    private static int rank(Region from, Region to) {
        if (from != null && from.equals(to)) {
            return 1;
        }
        int place = from == null || to == null ? -1 : from.nearest.indexOf(to.name);
        return 2 + (place >= 0 ? place : from == null ? 0 : from.nearest.size());
    }

    private Region regionOfZone(String zone) {
        return regions.stream()
                .filter(region -> region.zones.contains(zone))
                .findFirst()
                .orElse(null);
    }
}
