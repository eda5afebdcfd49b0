package cedarrudder.lab.experiment;

import cedarrudder.lab.scenario.Draw;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.toml.ConfigTable;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/**
 * One setting of a scenario that an experiment changes. Only the settings that {@link #read} knows
 * can be changed, so a plan can't turn a scenario into another one unseen.
 *
 * @param section the section of the scenario: {@code allowed}, or {@code tier}
 * @param tier the tier's name where the section is {@code tier}; else empty
 * @param setting the record component that is changed
 * @param key the setting as the plan writes it
 * @param value a Boolean, Integer, Double, Long or {@link Draw}, as the component's type is
 */
public record Change(String section, String tier, String setting, String key, Object value) {

    private static final double SECOND = 1e9;

    /** Reads a table {@code change}; what it doesn't know is reported there. */
    static List<Change> read(ConfigTable table) {
        List<Change> changes = new ArrayList<>();
        new Section(table, "run", "", changes)
                .range("length_s", "length", 1, 86_400, SECOND)
                .done();
        new Section(table, "arrivals", "", changes)
                .range("share", "share", 0.001, 10, 1)
                .range("rate_per_s", "perSecond", 0.001, 1_000_000, 1)
                .done();
        new Section(table, "network", "", changes).number("peer_loss", "peerLoss", 0, 1).done();
        new Section(table, "clients", "", changes)
                .range("retries", "retries", 0, 16, 1)
                .range("honour", "honour", 0, 1, 1)
                .done();
        new Section(table, "discovery", "", changes)
                .flag("ask", "ask")
                .range("notice_s", "notice", 0, 3600, SECOND)
                .range("calls_per_s", "capacity", 0.1, 1_000_000, 1)
                .done();
        new Section(table, "allowed", "", changes)
                .flag("probes", "probes")
                .flag("peers", "peers")
                .flag("cancel", "cancel")
                .flag("second_copies", "secondCopies")
                .flag("retry_after", "retryAfter")
                .whole("attempts", "attempts", 1, 16)
                .done();
        Section prices = new Section(table, "prices", "", changes);
        for (String price : List.of("waste", "probe", "peer")) {
            prices.number(price, price, 0, 10);
        }
        prices.done();
        ConfigTable tiers = table.table("tier");
        if (tiers != null) {
            for (String name : tiers.keys()) {
                new Section(tiers, "tier", name, changes)
                        .range("nodes", "nodes", 1, 100_000, 1)
                        .range("proxies", "proxies", 1, 100_000, 1)
                        .done();
            }
        }
        table.done();
        return changes;
    }

    /** One section of the table of changes. */
    private static final class Section {
        private final ConfigTable table;
        private final String section;
        private final String tier;
        private final List<Change> changes;

        Section(ConfigTable parent, String section, String tier, List<Change> changes) {
            this.table = parent.tableOrEmpty(tier.isEmpty() ? section : tier);
            this.section = section;
            this.tier = tier;
            this.changes = changes;
        }

        private void add(String key, String setting, Object value) {
            changes.add(new Change(section, tier, setting, key, value));
        }

        Section flag(String key, String setting) {
            if (table.has(key)) {
                add(key, setting, table.flag(key, false));
            }
            return this;
        }

        Section whole(String key, String setting, int min, int max) {
            if (table.has(key)) {
                add(key, setting, (int) table.integer(key, min, max));
            }
            return this;
        }

        Section number(String key, String setting, double min, double max) {
            if (table.has(key)) {
                add(key, setting, table.number(key, min, max));
            }
            return this;
        }

        Section range(String key, String setting, double min, double max, double unit) {
            if (table.has(key)) {
                double[] ends = table.range(key, min, max, null);
                add(key, setting, new Draw(ends[0] * unit, ends[1] * unit));
            }
            return this;
        }

        void done() {
            table.done();
        }
    }

    /**
     * The scenario with this change made.
     *
     * @throws IllegalArgumentException if the scenario has no such tier, with the names of those it
     *     has
     */
    public Scenario apply(Scenario scenario) {
        if (tier.isEmpty()) {
            Record changed = with(get(scenario, section), setting, value);
            if (section.equals("arrivals")) {
                // One stands for the other. This avoids a change that is made and then not
                // looked at.
                changed = with(changed, setting.equals("share") ? "perSecond" : "share", null);
            }
            return (Scenario) with(scenario, section, changed);
        }
        List<Scenario.Tier> tiers = new ArrayList<>(scenario.tiers());
        List<String> names = tiers.stream().map(Scenario.Tier::name).toList();
        int at = names.indexOf(tier);
        if (at < 0) {
            throw new IllegalArgumentException(String.join(", ", names));
        }
        Scenario.Tier changed = (Scenario.Tier) with(tiers.get(at), setting, value);
        // A number of nodes may be told in multiples of the first tier; the changed one never is.
        tiers.set(
                at,
                setting.equals("nodes")
                        ? (Scenario.Tier) with(changed, "relative", false)
                        : changed);
        return (Scenario) with(scenario, "tiers", tiers);
    }

    private static Object get(Record of, String component) {
        return Arrays.stream(of.getClass().getRecordComponents())
                .filter(c -> c.getName().equals(component))
                .map(c -> read(of, c))
                .findAny()
                .orElseThrow();
    }

    /** A copy of a record with one component replaced. */
    static Record with(Object of, String component, Object value) {
        RecordComponent[] components = of.getClass().getRecordComponents();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Object[] values =
                Arrays.stream(components)
                        .map(c -> c.getName().equals(component) ? value : read(of, c))
                        .toArray();
        try {
            return (Record) of.getClass().getDeclaredConstructor(types).newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(of.getClass() + " can't be copied", e);
        }
    }

    private static Object read(Object of, RecordComponent component) {
        try {
            return component.getAccessor().invoke(of);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(component + " can't be read", e);
        }
    }

    @Override
    public String toString() {
        String shown =
                value instanceof Draw draw && draw.low() == draw.high()
                        ? String.valueOf(draw.low())
                        : value instanceof Draw draw
                                ? draw.low() + ".." + draw.high()
                                : String.valueOf(value);
        return List.of(section, tier, key).stream()
                        .filter(part -> !part.isEmpty())
                        .collect(Collectors.joining("."))
                + "="
                + shown;
    }
}
