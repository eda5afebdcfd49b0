package cedarrudder.lab.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.membership.Member.State;
import cedarrudder.membership.MembershipSettings;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Tests SWIM membership among many instances in simulation, with provoked failures. Seeds are
 * fixed, so the results are reproducible.
 */
public class SwimSimulationTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final SwimSimulation.Network QUIET =
            new SwimSimulation.Network(0, MILLI / 10, 2 * MILLI);
    private static final SwimSimulation.Network LOSSY =
            new SwimSimulation.Network(0.3, MILLI / 10, 2 * MILLI);

    private static SwimSimulation mesh(int size, SwimSimulation.Network network, long seed) {
        return new SwimSimulation(size, network, MembershipSettings.DEFAULT, seed);
    }

    private static boolean allAgree(SwimSimulation mesh, int subject, boolean live) {
        return IntStream.range(0, mesh.size())
                .filter(i -> i != subject && mesh.runs(i))
                .allMatch(i -> mesh.view(i).member(subject).isLive() == live);
    }

    private static List<SwimSimulation.Change> deaths(SwimSimulation mesh) {
        return mesh.changes().stream().filter(c -> c.now().state() == State.DEAD).toList();
    }

    @Test
    public void oneSeedGivesOneHistory() {
        List<List<SwimSimulation.Change>> histories =
                List.of(1, 2).stream()
                        .map(
                                time -> {
                                    SwimSimulation m = mesh(20, LOSSY, 5);
                                    m.play(5 * SECOND);
                                    m.kill(3);
                                    m.play(30 * SECOND);
                                    return List.copyOf(m.changes());
                                })
                        .toList();
        assertEquals(histories.get(0), histories.get(1));
        assertFalse(histories.get(0).isEmpty());
    }

    @Test
    public void allSurvivorsDetectThatNearlyHalfDiedAtOnce() {
        for (long seed = 1; seed <= 3; seed++) {
            FailureDetectionTrial detection =
                    new FailureDetectionTrial(50, LOSSY, 0.48, MembershipSettings.DEFAULT, 20, 90);
            detection.play(seed);
            FailureDetectionTrial.Figures figures = detection.figures();
            assertEquals(figures.unseen(), 0, figures.toString());
            assertEquals(figures.falseDeaths(), 0, figures.toString());
        }
    }

    @Test
    public void anInstanceThatLeavesIsNotSuspected() {
        SwimSimulation mesh = mesh(30, QUIET, 2);
        mesh.play(10 * SECOND);
        mesh.leave(4);
        mesh.play(5 * SECOND);
        assertTrue(allAgree(mesh, 4, false));
        assertTrue(mesh.changes().stream().noneMatch(c -> c.now().state() == State.SUSPECT));
    }

    @Test
    public void anInstanceThatRestartsWithATooSmallIncarnationBecomesLive() {
        SwimSimulation mesh = mesh(20, QUIET, 3);
        mesh.play(10 * SECOND);
        mesh.kill(7);
        mesh.play(40 * SECOND);
        assertTrue(allAgree(mesh, 7, false));
        // Its clock went back, so its incarnation is too small: the others report this, and it
        // adopts a larger one.
        mesh.restart(7, 0);
        mesh.play(20 * SECOND);
        assertTrue(allAgree(mesh, 7, true));
        assertTrue(mesh.view(7).member(7).incarnation() > 1);
    }

    @Test
    public void anInstanceThatStartsLearnsWhoIsDead() {
        SwimSimulation mesh = mesh(20, QUIET, 4);
        mesh.play(5 * SECOND);
        mesh.kill(1);
        mesh.kill(2);
        mesh.play(60 * SECOND);
        mesh.kill(9);
        mesh.restart(9, 50);
        mesh.play(20 * SECOND);
        assertFalse(mesh.view(9).member(1).isLive());
        assertFalse(mesh.view(9).member(2).isLive());
        assertEquals(mesh.view(9).liveCount(), 18);
    }

    @Test
    public void twoHalvesRejoinAfterAPartition() {
        SwimSimulation mesh = mesh(20, QUIET, 6);
        mesh.play(5 * SECOND);
        mesh.cut(i -> i < 10);
        mesh.play(60 * SECOND);
        for (int i = 0; i < 20; i++) {
            assertEquals(mesh.view(i).liveCount(), 10, "seen by " + i);
        }
        mesh.heal();
        mesh.play(60 * SECOND);
        for (int i = 0; i < 20; i++) {
            assertEquals(mesh.view(i).liveCount(), 20, "seen by " + i);
        }
    }

    /**
     * The case that Lifeguard addresses: some instances are paused repeatedly, and no healthy
     * instance may be marked dead for it.
     */
    @Test
    public void pausedInstancesMarkNoHealthyOneDead() {
        SwimSimulation mesh = mesh(40, QUIET, 8);
        mesh.play(5 * SECOND);
        for (int round = 0; round < 20; round++) {
            for (int slow = 0; slow < 4; slow++) {
                mesh.stall(slow, SECOND * 9 / 10);
            }
            mesh.play(SECOND);
        }
        mesh.play(20 * SECOND);
        assertTrue(
                deaths(mesh).stream().noneMatch(c -> c.now().number() >= 4),
                deaths(mesh).toString());
        for (int i = 0; i < 40; i++) {
            assertEquals(mesh.view(i).liveCount(), 40, "seen by " + i);
        }
    }

    @Test
    public void theRateOfOneInstanceDoesNotGrowWithTheMesh() {
        double[] perSecond = new double[2];
        double[] bytes = new double[2];
        int[] sizes = {10, 200};
        for (int i = 0; i < 2; i++) {
            SwimSimulation mesh = mesh(sizes[i], QUIET, 9);
            mesh.play(30 * SECOND);
            perSecond[i] = mesh.messages() / 30.0 / sizes[i];
            bytes[i] = mesh.bytes() / 30.0 / sizes[i];
            mesh.kill(0);
            mesh.play(30 * SECOND);
            assertTrue(mesh.maxInSecond() <= 40, mesh.maxInSecond() + " messages in one second");
        }
        assertEquals(perSecond[1], perSecond[0], 0.5);
        assertTrue(bytes[1] <= 1.5 * bytes[0], bytes[0] + " and " + bytes[1] + " bytes per second");
    }

    /**
     * Even if many answers are lost, the bytes that an instance sends stay bounded in a larger
     * mesh.
     */
    @Test
    public void lossDoesNotMultiplyTheBytesSentInALargerMesh() {
        double[] bytes = new double[2];
        int[] sizes = {10, 200};
        for (int i = 0; i < 2; i++) {
            SwimSimulation mesh = mesh(sizes[i], LOSSY, 9);
            mesh.play(60 * SECOND);
            long before = mesh.bytes();
            mesh.play(20 * SECOND);
            bytes[i] = (mesh.bytes() - before) / 20.0 / sizes[i];
            // The requirement on membership: fewer than one false death in 10,000 pairs.
            assertTrue(
                    deaths(mesh).size() <= sizes[i] * (sizes[i] - 1) / 10_000,
                    deaths(mesh).toString());
        }
        assertTrue(bytes[1] <= 3 * bytes[0], bytes[0] + " and " + bytes[1] + " bytes per second");
    }

    /**
     * After each kind of temporary fault all instances agree again, and instances that were not
     * affected do not mark one another dead.
     */
    @Test
    public void allInstancesAgreeAgainAfterEachTemporaryFault() {
        for (TransientFaultTrial.Kind kind : TransientFaultTrial.Kind.values()) {
            TransientFaultTrial faultTrial =
                    new TransientFaultTrial(kind, 40, QUIET, MembershipSettings.DEFAULT);
            faultTrial.play(11);
            TransientFaultTrial.Figures figures = faultTrial.figures();
            assertEquals(figures.never(), 0, figures.toString());
            assertTrue(figures.worst() <= 15, figures.toString());
            assertEquals(figures.falseDeaths(), 0, figures.toString());
        }
    }
}
