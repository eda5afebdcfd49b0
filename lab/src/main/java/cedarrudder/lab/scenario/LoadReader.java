package cedarrudder.lab.scenario;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.lab.scenario.Scenario.Arrivals;
import cedarrudder.lab.scenario.Scenario.Customer;
import cedarrudder.lab.scenario.Scenario.Recorded;
import cedarrudder.lab.scenario.Scenario.RequestKind;
import cedarrudder.lab.scenario.Scenario.Shape;
import cedarrudder.lab.scenario.Scenario.Spread;
import cedarrudder.toml.ConfigProblem;
import cedarrudder.toml.ConfigTable;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads what is asked for: classes, tenants and arrivals. */
final class LoadReader {

    /** The keys that belong to one shape of arrivals. */
    private static final Map<Shape, List<String>> OF_SHAPE =
            Map.of(
                    Shape.STEADY, List.of(),
                    Shape.BURSTY, List.of("swing", "burst_s"),
                    Shape.PAYDAY, List.of("peak", "rise_at_s", "rise_s", "hold_s"),
                    Shape.TRACE, List.of("trace"));

    private final Path folder;
    private final List<ConfigProblem> elsewhere;

    /**
     * @param folder where traces lie
     * @param elsewhere takes the problems of traces
     */
    LoadReader(Path folder, List<ConfigProblem> elsewhere) {
        this.folder = folder;
        this.elsewhere = elsewhere;
    }

    List<RequestKind> classes(ConfigTable top) {
        List<ConfigTable> tables = top.tables("class");
        if (tables.isEmpty()) {
            top.problem("class", "nothing", "at least one [[class]]");
        }
        Set<String> names = new HashSet<>();
        List<RequestKind> classes = new ArrayList<>();
        for (ConfigTable t : tables) {
            classes.add(requestKind(t, ScenarioReader.ownName(t, names)));
            t.done();
        }
        ScenarioReader.sum(top, "class", tables, classes.stream().map(RequestKind::share).toList());
        return classes;
    }

    private static RequestKind requestKind(ConfigTable t, String name) {
        Idempotency effect = t.choice("effect", Idempotency.class, null);
        KeyScope scope = t.choice("scope", KeyScope.class, KeyScope.ALL);
        long window = Figures.time(t, "repeat_window_ms", 1, 600_000, 10_000);
        if (effect != Idempotency.KEYED && t.sound("effect")) {
            unused(t, "scope", "where effect is keyed only");
            unused(t, "repeat_window_ms", "where effect is keyed only");
        }
        Draw share = Figures.draw(t, "share", 0, 1, 1);
        Draw work = Figures.draw(t, "work_ms", 0.001, 60_000);
        Spread spread = t.choice("spread", Spread.class, Spread.LOGNORMAL);
        Draw cv = Figures.draw(t, "cv", 0, 10, 1);
        if (t.sound("spread") && (spread == Spread.FIXED || spread == Spread.EXPONENTIAL)) {
            unused(t, "cv", "with the spreads lognormal and pareto only");
        }
        Draw noise = Figures.draw(t, "attempt_noise", 0, 2, 0.2);
        long aim = Figures.time(t, "aim_ms", 1, 600_000);
        long deadline = Figures.time(t, "deadline_ms", 1, 600_000);
        if (t.sound("aim_ms", "deadline_ms") && deadline < aim) {
            t.problem(
                    "deadline_ms",
                    Figures.shown("deadline_ms", deadline),
                    "no less than aim_ms, " + Figures.shown("aim_ms", aim));
        }
        return new RequestKind(
                name,
                effect,
                scope,
                share,
                work,
                spread,
                cv,
                noise,
                aim,
                deadline,
                t.number("worth", 0.001, 1000, 1),
                t.number("late_worth", 0, 1, 0),
                effect == Idempotency.KEYED ? window : 0);
    }

    List<Customer> tenants(ConfigTable top) {
        Set<String> names = new HashSet<>();
        List<Customer> tenants = new ArrayList<>();
        List<ConfigTable> tables = top.tables("tenant");
        for (ConfigTable t : tables) {
            tenants.add(
                    new Customer(
                            ScenarioReader.ownName(t, names),
                            t.number("share", 0.001, 1),
                            Figures.draw(t, "quota", 0.001, 10, 0.8),
                            Figures.draw(t, "usage", 0, 100, 1)));
            t.done();
        }
        ScenarioReader.sum(
                top,
                "tenant",
                tables,
                tenants.stream().map(each -> Draw.fixed(each.share())).toList());
        return tenants;
    }

    Arrivals arrivals(
            ConfigTable t, double shortest, List<RequestKind> classes, List<Customer> tenants) {
        Shape shape = t.choice("shape", Shape.class, Shape.STEADY);
        Draw share = Figures.drawOrNull(t, "share", 0.001, 10);
        Draw perSecond = Figures.drawOrNull(t, "rate_per_s", 0.001, 1_000_000);
        Draw swing = Figures.draw(t, "swing", 0, 1, 0.25);
        Draw burst = Figures.draw(t, "burst_s", 0.05, 600, 2);
        Draw peak = Figures.draw(t, "peak", 0.1, 100, 2);
        Draw riseAt = Figures.draw(t, "rise_at_s", 0, 3600, 10);
        Draw rise = Figures.draw(t, "rise_s", 0.1, 3600, 10);
        Draw hold = Figures.draw(t, "hold_s", 0, 3600, 10);
        String file = t.text("trace", "");
        boolean hints = t.flag("hints", true);
        double noise = t.number("hint_noise", 0, 3, 0.2);
        if (!hints) {
            unused(t, "hint_noise", "where hints is true");
        }
        if (t.sound("shape")) {
            fits(t, shape, share, perSecond);
        }
        if (shape == Shape.PAYDAY && riseAt.high() >= shortest) {
            t.problem(
                    "rise_at_s",
                    Figures.shown("rise_at_s", riseAt.high()),
                    ScenarioReader.beforeTheEnd(shortest));
        }
        List<Recorded> trace = List.of();
        if (shape == Shape.TRACE) {
            if (ScenarioReader.FILE.matcher(file).matches()) {
                trace = new TraceReader(folder.resolve(file), classes, tenants, elsewhere).read();
            } else {
                t.problem(
                        "trace",
                        file.isEmpty() ? "nothing" : "\"" + file + "\"",
                        "the name of a CSV file beside the scenario");
            }
        }
        t.done();
        return new Arrivals(
                shape,
                share,
                perSecond,
                swing,
                burst,
                peak,
                riseAt,
                rise,
                hold,
                trace,
                hints ? noise : -1);
    }

    /** Keys that another shape uses, and the load, which is given in one way. */
    private static void fits(ConfigTable t, Shape shape, Draw share, Draw perSecond) {
        for (Shape other : Shape.values()) {
            if (other != shape) {
                OF_SHAPE.get(other)
                        .forEach(
                                key ->
                                        unused(
                                                t,
                                                key,
                                                "with shape "
                                                        + ConfigTable.written(other)
                                                        + " only"));
            }
        }
        if (shape == Shape.TRACE) {
            unused(t, "share", "with the other shapes only: a trace has its own rate");
            unused(t, "rate_per_s", "with the other shapes only: a trace has its own rate");
        } else if (share != null && perSecond != null) {
            t.problem("rate_per_s", "a rate beside a share", "either share or rate_per_s");
        } else if (share == null && perSecond == null) {
            t.problem("share", "nothing", "either share or rate_per_s");
        }
    }

    private static void unused(ConfigTable t, String key, String where) {
        if (t.has(key)) {
            t.problem(key, "a key that is not used", where);
        }
    }
}
