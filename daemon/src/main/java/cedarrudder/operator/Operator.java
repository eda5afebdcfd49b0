package cedarrudder.operator;

import cedarrudder.toml.BadFileException;
import cedarrudder.toml.Document;
import cedarrudder.toml.Table;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The operator's file: one table a feature, each of which may be left out. Immutable.
 *
 * <p>Where there is no file, {@link #NONE} costs nothing: no class that reads TOML is loaded.
 */
public final class Operator {

    /** No file: every table is absent. */
    public static final Operator NONE = new Operator(Map.of());

    /** Shares are decimals, so that their sum may be a little off. */
    private static final double ROUNDING = 1e-9;

    private final Map<String, Object> values;

    private Operator(Map<String, Object> values) {
        this.values = values;
    }

    /** All tables that a file may have. */
    private static List<Section<?>> sections() {
        return List.of(
                LogTable.LOG,
                CallersTable.CALLERS,
                NodesTable.NODES,
                DiscoveryTable.DISCOVERY,
                BudgetTable.BUDGET,
                MembershipTable.MEMBERSHIP,
                HistoryTable.HISTORY,
                FootprintTable.FOOTPRINT,
                AgreementTable.AGREEMENT,
                DrainsTable.DRAINS,
                FailoverTable.FAILOVER);
    }

    /**
     * Reads a file.
     *
     * @throws BadFileException with all that is wrong with it
     */
    public static Operator read(Path file) throws BadFileException {
        return read(Document.read(file));
    }

    /**
     * Reads a text.
     *
     * @throws BadFileException with all that is wrong with it
     */
    public static Operator read(Document document) throws BadFileException {
        Table root = document.root();
        Map<String, Object> values = new HashMap<>();
        boolean sharesSound = true;
        for (Section<?> section : sections()) {
            Table table = root.table(section.name());
            if (table != null) {
                values.put(section.name(), section.read(table));
                table.done();
                sharesSound &= table.sound(Units.SHARE);
            }
        }
        Operator operator = new Operator(values);
        if (sharesSound) {
            operator.checkShares(root);
        }
        if (values.containsKey(AgreementTable.AGREEMENT.name())
                && !values.containsKey(MembershipTable.MEMBERSHIP.name())) {
            root.problem(
                    AgreementTable.AGREEMENT.name(),
                    "no [membership]",
                    "a table [membership] beside it, as copies have to know who lives");
        }
        if (values.containsKey(DrainsTable.DRAINS.name())
                && !values.containsKey(AgreementTable.AGREEMENT.name())) {
            root.problem(
                    DrainsTable.DRAINS.name(),
                    "no [agreement]",
                    "a table [agreement] beside it, as copies have to agree on who leaves");
        }
        if (values.containsKey(FailoverTable.FAILOVER.name())
                && !values.containsKey(AgreementTable.AGREEMENT.name())) {
            root.problem(
                    FailoverTable.FAILOVER.name(),
                    "no [agreement]",
                    "a table [agreement] beside it, as copies have to agree on where calls go");
        }
        root.done();
        document.check();
        return operator;
    }

    /**
     * Guards against callers and nodes together taking what discovery and the process itself need.
     */
    private void checkShares(Table root) {
        double callers = of(CallersTable.CALLERS).descriptorsShare();
        double nodes = of(NodesTable.NODES).descriptorsShare();
        if (callers + nodes > Units.MOST_SHARES + ROUNDING) {
            String where =
                    values.containsKey(NodesTable.NODES.name())
                            ? NodesTable.NODES.name()
                            : CallersTable.CALLERS.name();
            root.table(where)
                    .problem(
                            Units.SHARE,
                            callers + " of [callers] and " + nodes + " of [nodes]",
                            Units.MOST_SHARES + " for both together");
        }
    }

    /** What a table says, or what counts where it is absent. */
    public <T> T of(Section<T> section) {
        Object value = values.get(section.name());
        return value == null ? section.absent() : section.cast(value);
    }

    /** The same but for one table, which says this now. */
    public <T> Operator with(Section<T> section, T value) {
        Map<String, Object> changed = new HashMap<>(values);
        changed.put(section.name(), value);
        return new Operator(changed);
    }
}
