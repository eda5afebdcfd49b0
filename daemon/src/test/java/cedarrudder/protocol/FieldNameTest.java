package cedarrudder.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.testng.annotations.Test;

/** Names from the table and newly created names must have the same properties. */
public class FieldNameTest {

    private static FieldName read(String text) {
        byte[] bytes = ("::" + text + "::").getBytes(StandardCharsets.ISO_8859_1);
        return FieldName.read(bytes, 2, bytes.length - 2);
    }

    @Test
    public void nameKeepsItsSpellingAndComparesInLowerCase() {
        long seed = System.nanoTime();
        System.out.println("names: seed " + seed);
        RandomGenerator random = new SplittableRandom(seed);
        List<String> names =
                List.of(
                        "Host",
                        "Req-Id",
                        "Req-Deadline-Ms",
                        "Connection",
                        "Content-Length",
                        "X",
                        "Srv-Declined",
                        "Cedar-Path",
                        "Transfer-Encoding",
                        "Accept-Language");
        for (int i = 0; i < 10_000; i++) {
            StringBuilder spelt = new StringBuilder();
            for (char c : names.get(random.nextInt(names.size())).toCharArray()) {
                spelt.append(
                        random.nextInt(4) == 0
                                ? Character.toUpperCase(c)
                                : random.nextInt(4) == 0 ? Character.toLowerCase(c) : c);
            }
            FieldName name = read(spelt.toString());
            String key = spelt.toString().toLowerCase(Locale.ROOT);
            assertEquals(name.text(), spelt.toString());
            assertEquals(name.key(), key);
            assertEquals(
                    name.isForwardable(),
                    !List.of("connection", "content-length", "transfer-encoding").contains(key),
                    key);
            assertEquals(name.isEndToEnd(), key.equals("host") || key.startsWith("req-"), key);
        }
    }

    @Test
    public void commonNamesAreSharedAndOthersAreEqual() {
        assertSame(read("Req-Id"), read("Req-Id"));
        assertSame(read("content-length"), FieldName.of("content-length"));
        assertEquals(read("X-Other"), read("X-Other"));
    }

    @Test
    public void nonTokenIsNotAName() {
        for (String text :
                List.of("", " Host", "Host ", "Ho st", "Host\t", "caf\u00e9", "a(b", "\0")) {
            assertNull(read(text), text);
        }
    }
}
