package cedarrudder.draining;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import cedarrudder.conventions.Golden;
import cedarrudder.draining.DrainCommand.BlockedBy;
import cedarrudder.draining.DrainCommand.Change;
import cedarrudder.draining.DrainCommand.DrainRequest;
import cedarrudder.draining.DrainCommand.RemainingRequests;
import cedarrudder.draining.DrainCommand.Step;
import cedarrudder.draining.DrainCommand.WaveStatus;
import cedarrudder.draining.DrainPolicy.DrainOrder;
import cedarrudder.draining.DrainPolicy.MaxUnavailable;
import cedarrudder.draining.DrainPolicy.MinAvailable;
import cedarrudder.draining.DrainPolicy.NodeSelector;
import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import cedarrudder.draining.DrainPolicy.Window;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Tests the encoding of the commands, reports and policies of drains, with malformed bytes. */
public class DrainCommandCodecTest {

    private static final DrainPolicy POLICY =
            new DrainPolicy(
                    "careful",
                    new NodeSelector("shops", "a", 3, "big", 0.5, 4, "weight > 2.0"),
                    new MaxUnavailable(1, 0.25),
                    MaxUnavailable.ANY,
                    new MaxUnavailable(9, 1),
                    new MinAvailable(1, 2, 3, 0.5),
                    DrainOrder.POD_BY_POD,
                    4,
                    5,
                    6,
                    "failed > 0.1",
                    "failed < 0.01",
                    "",
                    DrainPolicy.MIN_DEADLINE_NANOS,
                    OnDeadline.KEEP_WAITING,
                    OnRestart.OUT,
                    List.of(new Window(0b1011, 540, 1020), new Window(1, 1380, 60)));

    private static List<byte[]> validCommands() {
        List<Long> max =
                LongStream.range(0, DrainCommand.MAX_IDS)
                        .mapToObj(i -> DrainStateMachine.MAX_NODE - i)
                        .toList();
        return List.of(
                new DrainRequest(true, max).encode(),
                new DrainCommand.PolicyChunk(
                                Long.MAX_VALUE, -1, 1, 2, new byte[DrainCommand.CHUNK_BYTES])
                        .encode(),
                new Step(
                                3,
                                4,
                                List.of(new DrainCommand.Pause(2, true)),
                                List.of(
                                        Change.of(DrainEvent.GONE, 9),
                                        new Change(
                                                DrainEvent.BEGUN,
                                                1,
                                                2,
                                                3,
                                                OnDeadline.GIVE_BACK,
                                                OnRestart.OUT,
                                                -1),
                                        new Change(
                                                DrainEvent.RESTARTED_OUT,
                                                1,
                                                2,
                                                0,
                                                OnDeadline.LET_GO,
                                                OnRestart.BACK,
                                                0)),
                                new WaveStatus(
                                        List.of(new BlockedBy(-1, DrainCommand.Bound.PACE, 3)),
                                        List.of(new RemainingRequests(1, 2, -1))))
                        .encode());
    }

    @Test
    public void decodedValueEqualsEncodedValue() {
        validCommands().forEach(bytes -> assertEquals(DrainCommand.decode(bytes).encode(), bytes));
        assertEquals(PolicyCodec.decode(PolicyCodec.encode(List.of(POLICY))), List.of(POLICY));
        DrainReport report =
                new DrainReport(
                        9,
                        2,
                        9,
                        List.of(
                                new DrainReport.RequestsInFlight(4, 1),
                                new DrainReport.RequestsInFlight(9, 7)),
                        3,
                        List.of(5L, 6L),
                        new TrafficSample(10, 1, 2, 3));
        assertEquals(DrainReport.decode(report.encode()), report);
    }

    /** A changed encoding could not be decoded by another build in the same tier. */
    @Test
    public void encodingMatchesEarlierBuild() {
        StringBuilder encoded = new StringBuilder();
        validCommands().forEach(bytes -> encoded.append(Golden.hex(bytes)));
        encoded.append(Golden.hex(PolicyCodec.encode(List.of(POLICY))));
        encoded.append(
                Golden.hex(
                        new DrainReport(
                                        9,
                                        2,
                                        9,
                                        List.of(
                                                new DrainReport.RequestsInFlight(4, 1),
                                                new DrainReport.RequestsInFlight(9, 7)),
                                        3,
                                        List.of(5L, 6L),
                                        new TrafficSample(10, 1, 2, 3))
                                .encode()));
        Golden.check("drain-commands.txt", encoded.toString());
    }

    /** The largest command must fit a datagram, and the largest report one report part. */
    @Test
    public void largestCommandsAndReportsFit() {
        for (byte[] bytes : validCommands().subList(0, 2)) {
            assertEquals(bytes.length <= DrainCommand.MAX_BYTES, true, bytes.length + " bytes");
        }
        int max = Integer.MAX_VALUE;
        List<DrainReport.RequestsInFlight> inFlight =
                LongStream.range(0, DrainReport.maxSlots())
                        .mapToObj(
                                i -> new DrainReport.RequestsInFlight((int) (i * (max / 16)), max))
                        .toList();
        List<Long> some =
                LongStream.range(0, DrainReport.maxDisabledSample())
                        .mapToObj(i -> DrainStateMachine.MAX_NODE)
                        .toList();
        byte[] largest =
                new DrainReport(
                                1L << 40,
                                0,
                                max,
                                inFlight,
                                max,
                                some,
                                new TrafficSample(max, max, max, max))
                        .encode();
        assertNotNull(DrainReport.decode(largest), largest.length + " bytes");
    }

    @Test
    public void malformedBytesAreIgnoredWithoutException() {
        SplittableRandom random = new SplittableRandom(1);
        DrainCoordinator drains =
                new DrainCoordinator(
                        3,
                        0,
                        DrainSettings.DEFAULT,
                        DrainSimulation.CONDITIONS,
                        new DrainCoordinator.Actions() {
                            @Override
                            public void onDrainChange(DrainCoordinator.DrainChange change) {}
                        },
                        0);
        List<byte[]> valid = validCommands();
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes = valid.get(i % valid.size()).clone();
            if (i % 3 == 0) {
                random.nextBytes(bytes);
            } else {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            drains.apply(0, bytes);
            drains.onRestored(0, bytes);
            drains.onReport(0, random.nextInt(5) - 1, bytes);
            DrainReport.decode(bytes);
            PolicyCodec.decode(bytes);
        }
        assertNull(DrainCommand.decode(new byte[0]));
        drains.nextCommand(0, 0, List.of(), replica -> true);
        assertNotNull(drains.progress());
    }

    @Test
    public void windowThatEndsNextDayContainsBothParts() {
        Window night = new Window(0b0000001, 23 * 60, 60);
        long monday = 4 * 86_400_000L;
        assertEquals(night.contains(Window.minute(monday + 23 * 3_600_000L)), true);
        assertEquals(night.contains(Window.minute(monday + 24 * 3_600_000L)), true);
        assertEquals(night.contains(Window.minute(monday + 25 * 3_600_000L)), false);
        assertEquals(night.contains(Window.minute(monday)), false);
    }
}
