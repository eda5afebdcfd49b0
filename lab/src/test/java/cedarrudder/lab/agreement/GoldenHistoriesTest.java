package cedarrudder.lab.agreement;

import cedarrudder.Golden;
import cedarrudder.agreement.Agreement;
import cedarrudder.agreement.AgreementSettings;
import cedarrudder.agreement.Entry;
import cedarrudder.agreement.LogNumber;
import cedarrudder.agreement.Note;
import cedarrudder.agreement.Outcome;
import cedarrudder.agreement.Proposal;
import cedarrudder.fleet.FleetSettings;
import cedarrudder.lab.failover.FailoverRun;
import cedarrudder.lab.failover.World;
import cedarrudder.lab.fleet.FleetWorld;
import cedarrudder.lab.judge.Event;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.IntConsumer;
import org.testng.annotations.Test;

/**
 * What copies that decide together send and do from a seed, held against an earlier build. Every
 * datagram is in the digests, so where they are the same the two builds may run in one tier.
 */
public class GoldenHistoriesTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final int SAMPLES = 120;
    private static final Copies.Network ROUGH =
            new Copies.Network(0.1, 0.05, 0.01, 2 * MILLI, 200 * MILLI);

    private final StringBuilder samples = new StringBuilder();
    private Golden.Digest digest = new Golden.Digest();
    private int sent;
    private int kinds;

    private void datagram(int from, int to, byte[] bytes) {
        digest.add(from + ">" + to).add(bytes);
        if (sent++ % 400 == 0 && sent < 400 * SAMPLES) {
            samples.append(Golden.hex(bytes));
        }
    }

    private void event(Event event) {
        digest.add(
                event.at()
                        + " "
                        + event.copy()
                        + " "
                        + event.life()
                        + " "
                        + event.what()
                        + " "
                        + new TreeMap<>(event.fields()));
    }

    /** Passes all on, and counts what is sent. */
    private final class Watched implements Agreement.Outlet {
        private final Agreement.Outlet to;
        private final int self;

        Watched(int self, Agreement.Outlet to) {
            this.self = self;
            this.to = to;
        }

        @Override
        public void send(int copy, byte[] piece) {
            datagram(self, copy, piece);
            to.send(copy, piece);
        }

        @Override
        public void loaded(LogNumber number, byte[] content) {
            to.loaded(number, content);
        }

        @Override
        public byte[] state() {
            return to.state();
        }

        @Override
        public void restored(LogNumber number, byte[] state) {
            to.restored(number, state);
        }

        @Override
        public void settled(Proposal proposal, Outcome outcome, LogNumber number) {
            to.settled(proposal, outcome, number);
        }

        @Override
        public void noted(Note note) {
            kinds +=
                    note instanceof Note.Stored stored && stored.entry().kind() == Entry.Kind.VOTERS
                            ? 1
                            : 0;
            to.noted(note);
        }
    }

    @Test
    public void stormsOfTheLogAreThoseOfTheEarlierBuild() {
        StringBuilder lines = new StringBuilder();
        for (long seed = 1; seed <= 12; seed++) {
            digest = new Golden.Digest();
            Storm.Result result =
                    Storm.play(
                            seed,
                            (zones, self, life, settings, store, random, outlet, now) ->
                                    new Agreement(
                                            zones,
                                            self,
                                            life,
                                            settings,
                                            store,
                                            random,
                                            new Watched(self, outlet),
                                            now));
            lines.append(
                    seed
                            + " loaded "
                            + result.loaded()
                            + " leaders "
                            + result.leaders()
                            + " answered "
                            + result.answered()
                            + " settled "
                            + result.settled()
                            + " voters "
                            + kinds
                            + " sent "
                            + digest
                            + "\n");
        }
        Golden.check("consensus-storms.txt", lines.toString() + samples);
    }

    @Test
    public void copiesThatDecideTogetherDoAsThoseOfTheEarlierBuild() {
        StringBuilder lines = new StringBuilder();
        for (long seed = 1; seed <= 6; seed++) {
            digest = new Golden.Digest();
            FleetWorld world =
                    new FleetWorld(
                            new int[] {0, 1, 2, 0, 1, 2, 0},
                            ROUGH,
                            seed % 2 == 0,
                            seed,
                            FleetWorld.plain(AgreementSettings.DEFAULT, FleetSettings.DEFAULT),
                            this::event);
            world.filter(
                    (from, to, bytes) -> {
                        datagram(from, to, bytes);
                        return true;
                    });
            IntConsumer play = seconds -> world.play(seconds * SECOND);
            world.form(0);
            play.accept(15);
            world.kill(Math.max(0, world.leader()));
            play.accept(10);
            world.restart(firstDown(world));
            world.propose(4, new byte[300], 5 * SECOND);
            play.accept(10);
            world.cutOff(List.of(1, 2));
            play.accept(15);
            world.heal();
            play.accept(15);
            List<Integer> outcomes = new ArrayList<>();
            world.settled(4).forEach(outcome -> outcomes.add(outcome.ordinal()));
            lines.append(seed + " " + outcomes + " " + digest + "\n");
        }
        Golden.check("coordination-worlds.txt", lines.toString());
    }

    private static int firstDown(FleetWorld world) {
        for (int i = 0; i < world.size(); i++) {
            if (!world.runs(i)) {
                return i;
            }
        }
        return 0;
    }

    @Test
    public void failoverDoesAsThatOfTheEarlierBuild() {
        StringBuilder lines = new StringBuilder();
        for (World world : World.values()) {
            List<String> policies =
                    world == World.FLAP_3 ? FailoverRun.policies() : List.of("TOGETHER");
            for (String policy : policies) {
                FailoverRun.Result result =
                        FailoverRun.play(world, policy, FailoverRun.Conditions.USUAL, 1);
                lines.append(
                        world.name()
                                + " "
                                + policy
                                + " "
                                + result.goodput()
                                + " "
                                + result.out()
                                + " "
                                + result.fallen()
                                + " "
                                + result.moves()
                                + " "
                                + result.mostMoves()
                                + " "
                                + result.breaches().size()
                                + "\n");
            }
        }
        Golden.check("failover-worlds.txt", lines.toString());
    }
}
