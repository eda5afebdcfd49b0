package cedarrudder.encoding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.testng.annotations.Test;

/** Integers of variable length: both writers produce the same bytes, and the reader reads them. */
public class VarintReaderTest {

    private static final long[] NUMBERS = {
        0, 1, 127, 128, 16_383, 16_384, Integer.MAX_VALUE, 1L << 62, Long.MAX_VALUE
    };

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int i = 0; i < values.length; i++) {
            bytes[i] = (byte) values[i];
        }
        return bytes;
    }

    @Test
    public void numbersAreReadAsTheyWereWritten() throws MalformedVarintException {
        for (long number : NUMBERS) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            Varint.write(out, number);
            byte[] written = out.toByteArray();

            VarintReader reader = new VarintReader(written, written.length);

            assertEquals(reader.nextShortest(), number);
            assertEquals(reader.remaining(), 0);
            assertEquals(written.length, Varint.size(number));
        }
    }

    @Test
    public void bothWritersProduceTheSameBytes() {
        for (long number : NUMBERS) {
            ByteArrayOutputStream stream = new ByteArrayOutputStream();
            Varint.write(stream, number);
            ByteBuffer buffer = ByteBuffer.allocate(stream.size());

            Varint.put(buffer, number);

            assertEquals(buffer.array(), stream.toByteArray());
            assertEquals(Varint.get(buffer.flip()), number);
        }
    }

    @Test
    public void aNumberThatDoesNotEndIsMalformed() {
        MalformedVarintException exception = exceptionFor(bytes(0x80, 0x80));

        assertEquals(exception.getMessage(), "found the end; allowed: a number");
    }

    @Test
    public void aNumberOfOver63BitsIsMalformed() {
        MalformedVarintException exception =
                exceptionFor(bytes(0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1));

        assertEquals(
                exception.getMessage(), "found a number of over 63 bits; allowed: up to 63 bits");
    }

    @Test
    public void aLongerFormIsReadUnlessTheShortestIsRequired() throws MalformedVarintException {
        byte[] sevenInTwoBytes = bytes(0x87, 0);

        assertEquals(new VarintReader(sevenInTwoBytes, 2).next(), 7);
        assertThrows(
                MalformedVarintException.class,
                () -> new VarintReader(sevenInTwoBytes, 2).nextShortest());
    }

    @Test
    public void nothingBeyondTheEndIsRead() {
        byte[] bytes = bytes(0x80, 1);

        assertThrows(MalformedVarintException.class, () -> new VarintReader(bytes, 1).next());
    }

    private static MalformedVarintException exceptionFor(byte[] bytes) {
        try {
            new VarintReader(bytes, bytes.length).next();
        } catch (MalformedVarintException e) {
            return e;
        }
        throw new AssertionError("the malformed number was read");
    }
}
