package cedarrudder.lab.consensus;

import cedarrudder.consensus.ConsensusEvent;
import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.LogPosition;
import cedarrudder.consensus.Proposal;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.consensus.RaftNode;
import cedarrudder.conventions.Golden;
import cedarrudder.coordination.CoordinationSettings;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.coordination.CoordinationSimulation;
import cedarrudder.lab.failover.FailoverRun;
import cedarrudder.lab.failover.World;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.IntConsumer;
import org.testng.annotations.Test;

/**
 * Compares the datagrams and events of seeded simulations with those recorded from an earlier
 * build. The digests cover every datagram, so two builds with equal digests can run in one tier.
 */
public class GoldenHistoriesTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final int SAMPLES = 120;
    private static final ConsensusSimulation.Network ROUGH =
            new ConsensusSimulation.Network(0.1, 0.05, 0.01, 2 * MILLI, 200 * MILLI);

    private final StringBuilder samples = new StringBuilder();
    private Golden.Digest digest = new Golden.Digest();
    private int sent;
    private int storedVoterSets;

    private void datagram(int from, int to, byte[] bytes) {
        digest.add(from + ">" + to).add(bytes);
        if (sent++ % 400 == 0 && sent < 400 * SAMPLES) {
            samples.append(Golden.hex(bytes));
        }
    }

    private void event(HistoryEvent event) {
        digest.add(
                event.at()
                        + " "
                        + event.replica()
                        + " "
                        + event.incarnation()
                        + " "
                        + event.what()
                        + " "
                        + new TreeMap<>(event.fields()));
    }

    /** Forwards all actions, and adds the sent datagrams to the digest. */
    private final class RecordingActions implements RaftNode.Actions {
        private final RaftNode.Actions to;
        private final int self;

        RecordingActions(int self, RaftNode.Actions to) {
            this.self = self;
            this.to = to;
        }

        @Override
        public void send(int replica, byte[] payload) {
            datagram(self, replica, payload);
            to.send(replica, payload);
        }

        @Override
        public void apply(LogPosition number, byte[] content) {
            to.apply(number, content);
        }

        @Override
        public byte[] state() {
            return to.state();
        }

        @Override
        public void restore(LogPosition number, byte[] state) {
            to.restore(number, state);
        }

        @Override
        public void onProposalSettled(
                Proposal proposal, ProposalOutcome outcome, LogPosition number) {
            to.onProposalSettled(proposal, outcome, number);
        }

        @Override
        public void record(ConsensusEvent consensusEvent) {
            storedVoterSets +=
                    consensusEvent instanceof ConsensusEvent.EntryStored stored
                                    && stored.entry().kind() == LogEntry.Kind.VOTERS
                            ? 1
                            : 0;
            to.record(consensusEvent);
        }
    }

    @Test
    public void faultStormsMatchTheEarlierBuild() {
        StringBuilder lines = new StringBuilder();
        for (long seed = 1; seed <= 12; seed++) {
            digest = new Golden.Digest();
            FaultStorm.Result result =
                    FaultStorm.play(
                            seed,
                            (zones, self, incarnation, settings, store, random, actions, now) ->
                                    new RaftNode(
                                            zones,
                                            self,
                                            incarnation,
                                            settings,
                                            store,
                                            random,
                                            new RecordingActions(self, actions),
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
                            + storedVoterSets
                            + " sent "
                            + digest
                            + "\n");
        }
        Golden.check("consensus-storms.txt", lines.toString() + samples);
    }

    @Test
    public void coordinatedReplicasMatchTheEarlierBuild() {
        StringBuilder lines = new StringBuilder();
        for (long seed = 1; seed <= 6; seed++) {
            digest = new Golden.Digest();
            CoordinationSimulation simulation =
                    new CoordinationSimulation(
                            new int[] {0, 1, 2, 0, 1, 2, 0},
                            ROUGH,
                            seed % 2 == 0,
                            seed,
                            CoordinationSimulation.plain(
                                    ConsensusSettings.DEFAULT, CoordinationSettings.DEFAULT),
                            this::event);
            simulation.filter(
                    (from, to, bytes) -> {
                        datagram(from, to, bytes);
                        return true;
                    });
            IntConsumer play = seconds -> simulation.play(seconds * SECOND);
            simulation.form(0);
            play.accept(15);
            simulation.kill(Math.max(0, simulation.leader()));
            play.accept(10);
            simulation.restart(firstStopped(simulation));
            simulation.propose(4, new byte[300], 5 * SECOND);
            play.accept(10);
            simulation.cutOff(List.of(1, 2));
            play.accept(15);
            simulation.heal();
            play.accept(15);
            List<Integer> outcomes = new ArrayList<>();
            simulation.settled(4).forEach(outcome -> outcomes.add(outcome.ordinal()));
            lines.append(seed + " " + outcomes + " " + digest + "\n");
        }
        Golden.check("coordination-worlds.txt", lines.toString());
    }

    private static int firstStopped(CoordinationSimulation simulation) {
        for (int i = 0; i < simulation.size(); i++) {
            if (!simulation.runs(i)) {
                return i;
            }
        }
        return 0;
    }

    @Test
    public void failoverRunsMatchTheEarlierBuild() {
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
                                + result.maxMoves()
                                + " "
                                + result.breaches().size()
                                + "\n");
            }
        }
        Golden.check("failover-worlds.txt", lines.toString());
    }
}
