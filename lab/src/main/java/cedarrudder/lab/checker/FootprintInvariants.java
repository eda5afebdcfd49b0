package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * M1: no replica loads what its estimate refused; no estimate is under what the process then held
 * by more than a stated error. The last estimate of a load under a bound counts.
 *
 * <p>It reads {@code estimate}, {@code took}, {@code held}, and {@code table}, which takes the load
 * "table" with its number.
 */
public final class FootprintInvariants implements Invariant {

    private record Estimate(boolean fits, long needed) {}

    private final double error;
    private final Map<Long, Map<String, Map<String, Estimate>>> byLife = new HashMap<>();
    private final List<Violation> breaches = new ArrayList<>();

    /**
     * @param error the process may hold more than was estimated by this share of it
     */
    public FootprintInvariants(double error) {
        this.error = error;
    }

    @Override
    public void took(HistoryEvent event) {
        switch (event.what()) {
            case "estimate" ->
                    byLife.computeIfAbsent(event.incarnation(), incarnation -> new HashMap<>())
                            .computeIfAbsent(event.text("load"), load -> new HashMap<>())
                            .put(
                                    event.text("bound"),
                                    new Estimate(
                                            event.number("fits") == 1, event.number("needed")));
            case "took" -> loads(event, event.text("load"));
            case "table" -> loads(event, "table " + event.text("number"));
            case "held" -> {
                Estimate of = estimates(event, event.text("load")).get(event.text("bound"));
                if (of != null && event.number("now") > of.needed * (1 + error)) {
                    breach(
                            event,
                            "holds "
                                    + event.text("now")
                                    + " with "
                                    + event.text("load")
                                    + ", of which "
                                    + of.needed
                                    + " was estimated for "
                                    + event.text("bound"));
                }
            }
            case "ended" -> byLife.remove(event.incarnation());
            default -> {}
        }
    }

    private Map<String, Estimate> estimates(HistoryEvent event, String load) {
        return byLife.getOrDefault(event.incarnation(), Map.of()).getOrDefault(load, Map.of());
    }

    private void loads(HistoryEvent event, String load) {
        estimates(event, load)
                .forEach(
                        (bound, of) -> {
                            if (!of.fits) {
                                breach(event, "loads " + load + ", which " + bound + " refused");
                            }
                        });
    }

    private void breach(HistoryEvent event, String why) {
        breaches.add(new Violation("M1", event.at(), "copy " + event.replica() + " " + why));
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
