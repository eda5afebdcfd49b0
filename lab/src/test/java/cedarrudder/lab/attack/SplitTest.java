package cedarrudder.lab.attack;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * The daemon's reading of an attack doesn't depend on how its bytes come: who sends them may cut
 * them.
 */
public class SplitTest {

    private static final long SEED = 4711;
    private static final int SHORT = 2000;
    private static final int RANDOM_CUTS = 50;
    private static final RequestTemplates WORDS = new RequestTemplates("lookup", "order", "acme");

    /** What the decoder made of pieces: requests, then how it ended. */
    private static List<String> read(byte[] bytes, List<Integer> cuts) {
        HttpDecoder decoder = HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
        List<String> read = new ArrayList<>();
        int from = 0;
        for (int to : cuts) {
            ByteBuf in = Unpooled.wrappedBuffer(bytes, from, to - from);
            from = to;
            try {
                while (in.isReadable()) {
                    HttpMessage next = decoder.decode(in);
                    if (next != null) {
                        read.add(
                                next.head().method()
                                        + " "
                                        + next.head().target()
                                        + " "
                                        + next.head().fields().all()
                                        + new String(next.body(), StandardCharsets.ISO_8859_1));
                    }
                }
            } catch (MalformedMessageException e) {
                read.add("refused " + e.status());
                return read;
            }
        }
        read.add(decoder.between() ? "between" : "half");
        return read;
    }

    @Test
    public void everyCutOfAnAttackIsReadAlike() {
        SplittableRandom random = new SplittableRandom(SEED);
        int tried = 0;
        for (Attack attack : AttackCatalog.all()) {
            if (attack.text() == null) {
                continue;
            }
            byte[] bytes = WORDS.fill(attack.text(), "id").getBytes(StandardCharsets.ISO_8859_1);
            List<String> whole = read(bytes, List.of(bytes.length));
            for (int i = 1; i < bytes.length && bytes.length <= SHORT; i++) {
                assertEquals(
                        read(bytes, List.of(i, bytes.length)),
                        whole,
                        attack.name() + " cut at " + i);
                tried++;
            }
            for (int i = 0; i < RANDOM_CUTS; i++) {
                List<Integer> cuts = new ArrayList<>();
                for (int at = 0; at < bytes.length; at = cuts.get(cuts.size() - 1)) {
                    cuts.add(Math.min(bytes.length, at + 1 + random.nextInt(1 + bytes.length / 4)));
                }
                assertEquals(
                        read(bytes, cuts),
                        whole,
                        attack.name() + ", seed " + SEED + ", cuts " + cuts);
                tried++;
            }
        }
        assertTrue(tried > 10_000, "only " + tried);
    }
}
