package cedarrudder.lab.model;

import cedarrudder.lab.result.RunResult.Band;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.Scenario.Trouble;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Plays a run's faults. Which machines they strike is drawn ahead, from a source of its own. */
final class Faults {

    private final Run run;
    private final List<Band> bands = new ArrayList<>();
    private final RandomGenerator notices;

    Faults(Run run) {
        this.run = run;
        this.notices = run.streams.of(Streams.Concern.FAULTS, -1);
    }

    /** Draws all of them and schedules them. */
    void schedule() {
        List<Scenario.Fault> faults = run.scenario.faults();
        for (int i = 0; i < faults.size(); i++) {
            schedule(faults.get(i), run.streams.of(Streams.Concern.FAULTS, i));
        }
    }

    /** The faults as they were played. */
    List<Band> bands() {
        return List.copyOf(bands);
    }

    private void schedule(Scenario.Fault fault, RandomGenerator random) {
        long begins = run.start + (long) fault.at().draw(random);
        long length = (long) fault.length().draw(random);
        double part = fault.part() == null ? 0 : fault.part().draw(random);
        double size = Math.max(1, fault.size() == null ? 1 : fault.size().draw(random));
        long ends = begins + length;
        boolean ofProxies = fault.trouble() == Trouble.PROXY_CRASH;
        int machines = 0;
        if (fault.trouble() == Trouble.DISCOVERY_DOWN) {
            at(begins, run.directory::goDown);
            at(ends, run.directory::comeBack);
        } else if (ofProxies) {
            List<Proxy> proxies = struck(run.proxiesTo(0), part, random);
            machines = proxies.size();
            proxies.forEach(proxy -> crash(proxy, begins, ends));
        } else {
            List<Node> nodes = struck(run.nodesOf(Math.max(0, fault.tier())), part, random);
            machines = nodes.size();
            if (fault.trouble() == Trouble.RESTART_STORM) {
                storm(nodes, begins, length);
            } else {
                nodes.forEach(node -> strike(fault.trouble(), node, begins, ends, size));
            }
        }
        String tier =
                fault.trouble() == Trouble.DISCOVERY_DOWN
                        ? ""
                        : run.world.tiers.get(ofProxies ? 0 : Math.max(0, fault.tier())).name();
        bands.add(
                new Band(
                        fault.trouble().name(),
                        tier,
                        (begins - run.start) / 1e9,
                        (ends - run.start) / 1e9,
                        machines));
    }

    /** This many of them, at least one, as chance has it. */
    private static <T> List<T> struck(List<T> all, double part, RandomGenerator random) {
        int count = (int) Math.min(all.size(), Math.max(1, Math.round(part * all.size())));
        int[] order = World.shuffled(all.size(), random);
        List<T> some = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            some.add(all.get(order[i]));
        }
        return some;
    }

    private void strike(Trouble trouble, Node node, long begins, long ends, double size) {
        switch (trouble) {
            case CRASH -> restart(node, begins, ends);
            case SLOW -> {
                at(begins, () -> node.slower(size));
                at(ends, () -> node.quicker(size));
            }
            case SILENT -> {
                at(
                        begins,
                        () -> {
                            node.silent++;
                            run.changed(node);
                            run.directory.silence(node, true);
                        });
                at(
                        ends,
                        () -> {
                            node.silent--;
                            run.changed(node);
                            run.directory.silence(node, false);
                        });
            }
            case SINKHOLE -> during(node, begins, ends, n -> n.sinkhole++, n -> n.sinkhole--);
            case DECLINE -> during(node, begins, ends, n -> n.declining++, n -> n.declining--);
            case FROZEN_REPORTS -> during(node, begins, ends, n -> n.frozen++, n -> n.frozen--);
            case CUT_TO_NODES -> during(node, begins, ends, n -> n.cutTo++, n -> n.cutTo--);
            case CUT_FROM_NODES -> during(node, begins, ends, n -> n.cutFrom++, n -> n.cutFrom--);
            case DRAIN -> {
                at(
                        begins,
                        () -> {
                            if (node.up()) {
                                node.draining = true;
                                run.directory.draining(node);
                            }
                        });
                at(ends, () -> end(node, false));
            }
            case REPLACE -> {
                at(begins, () -> end(node, true));
                at(
                        ends,
                        () -> {
                            if (!node.up() && !node.fallen) {
                                node.start(run.nextEndpoint());
                                run.directory.started(node);
                            }
                        });
            }
            default -> throw new IllegalArgumentException(trouble + " strikes no node");
        }
    }

    private void during(
            Node node, long begins, long ends, Consumer<Node> begin, Consumer<Node> end) {
        at(
                begins,
                () -> {
                    node.advance();
                    begin.accept(node);
                    run.changed(node);
                });
        at(
                ends,
                () -> {
                    node.advance();
                    end.accept(node);
                    run.changed(node);
                });
    }

    /** One after another, evenly spread: each is down until the next one goes. */
    private void storm(List<Node> nodes, long begins, long length) {
        long each = length / nodes.size();
        for (int i = 0; i < nodes.size(); i++) {
            restart(nodes.get(i), begins + i * each, begins + (i + 1) * each);
        }
    }

    private void restart(Node node, long begins, long ends) {
        at(begins, () -> end(node, false));
        at(
                ends,
                () -> {
                    if (!node.up() && !node.fallen && !node.draining) {
                        node.start(node.endpoint);
                        run.directory.started(node);
                    }
                });
    }

    private void end(Node node, boolean silently) {
        if (node.up()) {
            node.end(silently);
            run.directory.ended(node, silently);
        }
    }

    /** A cold node has been pushed over: it stays down. */
    void fallOver(Node node) {
        node.fallen = true;
        run.ledger.tiers[node.tier].fallen++;
        end(node, false);
    }

    private void crash(Proxy proxy, long begins, long ends) {
        at(
                begins,
                () -> {
                    if (proxy.up()) {
                        proxy.die();
                        run.front.died(proxy, (long) run.scenario.front().notice().draw(notices));
                    }
                });
        at(
                ends,
                () -> {
                    if (!proxy.up()) {
                        proxy.start(() -> run.front.take(proxy));
                    }
                });
    }

    private void at(long instant, Runnable what) {
        run.agenda.at(
                instant,
                new Task() {
                    @Override
                    protected void run() {
                        what.run();
                    }
                });
    }
}
