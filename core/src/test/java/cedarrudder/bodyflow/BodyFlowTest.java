package cedarrudder.bodyflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests a flow into which pieces of any size are put. */
public class BodyFlowTest {

    /** A piece for each byte would need thirty times the memory of the window. */
    @Test
    public void windowOfSingleBytesIsBufferedInFewPieces() {
        BufferAccount account = new BufferAccount(BufferAccount.MAX);
        BodyFlow flow = new BodyFlow(account);
        while (!flow.isFull()) {
            flow.put(new byte[1]);
        }
        assertEquals(account.bufferedBytes(), BodyFlow.WINDOW);
        int pieces = 0;
        while (flow.take() != null) {
            pieces++;
        }
        assertEquals(pieces, 8);
        assertEquals(account.bufferedBytes(), 0);
    }

    /** Joining small pieces must not lose, repeat or reorder bytes. */
    @Test
    public void bytesAreTakenAsTheyWerePut() {
        long seed = 20261201;
        SplittableRandom random = new SplittableRandom(seed);
        BodyFlow flow = new BodyFlow(new BufferAccount(BufferAccount.MAX));
        ByteArrayOutputStream put = new ByteArrayOutputStream();
        ByteArrayOutputStream taken = new ByteArrayOutputStream();
        for (int i = 0; i < 20_000; i++) {
            if (random.nextInt(3) > 0) {
                byte[] piece =
                        new byte
                                [random.nextInt(10) > 0
                                        ? random.nextInt(5)
                                        : random.nextInt(20_000)];
                random.nextBytes(piece);
                put.writeBytes(piece);
                flow.put(piece);
            } else {
                byte[] piece = flow.take();
                taken.writeBytes(piece == null ? new byte[0] : piece);
            }
        }
        flow.end();
        for (byte[] piece = flow.take(); piece != null; piece = flow.take()) {
            taken.writeBytes(piece);
        }
        assertTrue(flow.isAtEnd());
        assertEquals(taken.toByteArray(), put.toByteArray(), "seed " + seed);
    }
}
