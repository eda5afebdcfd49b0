package cedarrudder.operator;

import cedarrudder.toml.ConfigDocument;
import cedarrudder.toml.ConfigTable;
import cedarrudder.toml.InvalidFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The operator's file: one table a feature, each of which may be left out. Immutable.
 *
 * <p>Where there is no file, {@link #NONE} costs nothing: no class that reads TOML is loaded.
 */
public final class OperatorFile {

    /** No file: every table is absent. */
    public static final OperatorFile NONE = new OperatorFile(Map.of());

    /** Shares are decimals, so that their sum may be a little off. */
    private static final double ROUNDING = 1e-9;

    private final Map<String, Object> values;

    private OperatorFile(Map<String, Object> values) {
        this.values = values;
    }

    /** All tables that a file may have. */
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
     * @throws InvalidFileException with all that is wrong with it
     */
    public static OperatorFile read(Path file) throws InvalidFileException {
        return read(ConfigDocument.read(file));
    }

    /**
     * Reads a text.
     *
     * @throws InvalidFileException with all that is wrong with it
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
        operator.checkTablesBeside(root);
        root.done();
        document.check();
        return operator;
    }

    /** Some tables need another beside them. */
    private void checkTablesBeside(ConfigTable root) {
        requireBeside(
                root,
                AgreementTable.AGREEMENT,
                MembershipTable.MEMBERSHIP,
                "as copies have to know who lives");
        requireBeside(
                root,
                DrainsTable.DRAINS,
                AgreementTable.AGREEMENT,
                "as copies have to agree on who leaves");
        requireBeside(
                root,
                FailoverTable.FAILOVER,
                AgreementTable.AGREEMENT,
                "as copies have to agree on where calls go");
    }

    private void requireBeside(
            ConfigTable root, OperatorSection<?> section, OperatorSection<?> needed, String why) {
        if (values.containsKey(section.name()) && !values.containsKey(needed.name())) {
            root.problem(
                    section.name(),
                    "no [" + needed.name() + "]",
                    "a table [" + needed.name() + "] beside it, " + why);
        }
    }

    /**
     * This avoids clients and endpoints together taking what discovery and the process itself need.
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

    /** What a table says, or what counts where it is absent. */
    public <T> T of(OperatorSection<T> section) {
        Object value = values.get(section.name());
        return value == null ? section.absent() : section.cast(value);
    }

    /** The same but for one table, which says this now. */
    public <T> OperatorFile with(OperatorSection<T> section, T value) {
        Map<String, Object> changed = new HashMap<>(values);
        changed.put(section.name(), value);
        return new OperatorFile(changed);
    }
}
