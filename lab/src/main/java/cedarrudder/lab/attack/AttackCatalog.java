package cedarrudder.lab.attack;

import java.util.ArrayList;
import java.util.List;

/** All attacks, in their groups. */
public final class AttackCatalog {

    private static final List<Attack> ALL = collect();

    private AttackCatalog() {}

    private static List<Attack> collect() {
        List<Attack> all = new ArrayList<>(StartLines.all());
        all.addAll(Targets.all());
        all.addAll(FieldLines.all());
        all.addAll(Framing.all());
        all.addAll(Connections.all());
        all.addAll(SustainedAttacks.all());
        return List.copyOf(all);
    }

    /** All of them, in one order. */
    public static List<Attack> all() {
        return ALL;
    }

    /**
     * Those of these names or groups, in the library's order; all where none is given.
     *
     * @throws IllegalArgumentException if one names nothing
     */
    public static List<Attack> named(List<String> names) {
        for (String name : names) {
            if (ALL.stream().noneMatch(attack -> goesBy(attack, name))) {
                throw new IllegalArgumentException(
                        "no attack, and no group of them, is called " + name);
            }
        }
        return names.isEmpty()
                ? ALL
                : ALL.stream()
                        .filter(attack -> names.stream().anyMatch(name -> goesBy(attack, name)))
                        .toList();
    }

    private static boolean goesBy(Attack attack, String name) {
        return attack.name().equals(name) || attack.group().name().equalsIgnoreCase(name);
    }
}
