package cedarrudder.operator;

import cedarrudder.toml.ConfigDocument;
import cedarrudder.toml.ConfigTable;
import cedarrudder.toml.InvalidFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The operator's file: one optional table for each feature. Immutable.
 *
 * <p>Without a file, {@link #NONE} costs nothing: no class that reads TOML is loaded.
 */
public final class OperatorFile {

    /** The configuration without a file: every table is absent. */
    public static final OperatorFile NONE = new OperatorFile(Map.of());

    /** Tolerance for the sum of two decimal fractions, in which rounding errors occur. */
    private static final double ROUNDING = 1e-9;

    private final Map<String, Object> values;

    private OperatorFile(Map<String, Object> values) {
        this.values = values;
    }

    /** Returns all tables that a file may have. */
    private static List<OperatorSection<?>> sections() {
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
     * @throws InvalidFileException with all problems of the file
     */
    public static OperatorFile read(Path file) throws InvalidFileException {
        return read(ConfigDocument.read(file));
    }

    /**
     * Reads a document.
     *
     * @throws InvalidFileException with all problems of the document
     */
    public static OperatorFile read(ConfigDocument document) throws InvalidFileException {
        ConfigTable root = document.root();
        Map<String, Object> values = new HashMap<>();
        boolean sharesSound = true;
        for (OperatorSection<?> section : sections()) {
            ConfigTable table = root.table(section.name());
            if (table != null) {
                values.put(section.name(), section.read(table));
                table.done();
                sharesSound &= table.sound(CommonKeys.SHARE);
            }
        }
        OperatorFile operator = new OperatorFile(values);
        if (sharesSound) {
            operator.checkShares(root);
        }
        operator.checkRequiredTables(root);
        root.done();
        document.check();
        return operator;
    }

    /** Reports tables whose required table is missing. */
    private void checkRequiredTables(ConfigTable root) {
        requireTable(
                root,
                AgreementTable.AGREEMENT,
                MembershipTable.MEMBERSHIP,
                "since replicas have to know which of them are alive");
        requireTable(
                root,
                DrainsTable.DRAINS,
                AgreementTable.AGREEMENT,
                "since replicas have to agree on which endpoints are drained");
        requireTable(
                root,
                FailoverTable.FAILOVER,
                AgreementTable.AGREEMENT,
                "since replicas have to agree on where requests go");
    }

    private void requireTable(
            ConfigTable root, OperatorSection<?> section, OperatorSection<?> needed, String why) {
        if (values.containsKey(section.name()) && !values.containsKey(needed.name())) {
            root.problem(
                    section.name(),
                    "no [" + needed.name() + "]",
                    "a table [" + needed.name() + "] beside it, " + why);
        }
    }

    /**
     * Reports fractions of descriptors for clients and endpoints that together leave too few for
     * discovery and the process itself.
     */
    private void checkShares(ConfigTable root) {
        double callers = of(CallersTable.CALLERS).descriptorShare();
        double nodes = of(NodesTable.NODES).descriptorShare();
        if (callers + nodes > CommonKeys.MAX_SHARES + ROUNDING) {
            String where =
                    values.containsKey(NodesTable.NODES.name())
                            ? NodesTable.NODES.name()
                            : CallersTable.CALLERS.name();
            root.table(where)
                    .problem(
                            CommonKeys.SHARE,
                            callers + " of [callers] and " + nodes + " of [nodes]",
                            CommonKeys.MAX_SHARES + " for both together");
        }
    }

    /** Returns the settings of a table, or its defaults where the table is absent. */
    public <T> T of(OperatorSection<T> section) {
        Object value = values.get(section.name());
        return value == null ? section.absent() : section.cast(value);
    }

    /** Returns a copy in which one table has these settings. */
    public <T> OperatorFile with(OperatorSection<T> section, T value) {
        Map<String, Object> changed = new HashMap<>(values);
        changed.put(section.name(), value);
        return new OperatorFile(changed);
    }
}
