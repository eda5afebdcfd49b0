package cedarrudder.draining;

import cedarrudder.draining.DrainCommand.PolicyChunk;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Objects;
import java.util.zip.CRC32C;

/**
 * The policies that are being committed in chunks, of one revision at a time. A higher revision
 * replaces a lower one; of two sets of policies with one revision, the first committed applies.
 */
final class PolicyTransfer {
    static final int MAX_CHUNKS = PolicyCodec.MAX_BYTES / DrainCommand.CHUNK_BYTES + 1;

    private static final byte[] NO_BYTES = {};
    private static final byte[][] NO_CHUNKS = {};

    private long revision;
    private int checksum;
    private byte[][] chunks = NO_CHUNKS;

    /** Returns the revision that is being transferred, or was transferred last. */
    long revision() {
        return revision;
    }

    /** Returns the checksum of all policies of that revision. */
    int checksum() {
        return checksum;
    }

    /** Returns whether a chunk is already stored, or no longer needed. */
    boolean contains(PolicyChunk chunk) {
        return chunk.revision() < revision
                || isOfThisTransfer(chunk) && chunks[chunk.index()] != null;
    }

    private boolean isOfThisTransfer(PolicyChunk chunk) {
        return chunk.revision() == revision
                && chunk.checksum() == checksum
                && chunk.count() == chunks.length;
    }

    /** Adds a missing chunk; returns false if the chunk belongs to other policies. */
    boolean add(PolicyChunk chunk) {
        if (chunk.revision() > revision) {
            revision = chunk.revision();
            checksum = chunk.checksum();
            chunks = new byte[chunk.count()][];
        } else if (!isOfThisTransfer(chunk)) {
            return false;
        }
        chunks[chunk.index()] = chunk.bytes();
        return true;
    }

    /** Returns whether all chunks are stored. */
    boolean isComplete() {
        return Arrays.stream(chunks).allMatch(Objects::nonNull);
    }

    /** Removes and joins all chunks; returns null if the bytes don't match the checksum. */
    byte[] removeBytes() {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] chunk : chunks) {
            joined.writeBytes(chunk);
        }
        chunks = NO_CHUNKS;
        byte[] bytes = joined.toByteArray();
        return checksum(bytes) == checksum ? bytes : null;
    }

    /** Computes the checksum that distinguishes policies of one revision. */
    static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    /** Encodes the transfer as part of the state. */
    void writeTo(CompactCodec.Writer out) {
        out.put(revision).put(Integer.toUnsignedLong(checksum)).put(chunks.length);
        for (byte[] chunk : chunks) {
            out.put(chunk == null ? 0 : 1).put(chunk == null ? NO_BYTES : chunk);
        }
    }

    /** Decodes what {@link #writeTo} wrote. */
    static PolicyTransfer readFrom(CompactCodec.Reader in) {
        PolicyTransfer transfer = new PolicyTransfer();
        transfer.revision = in.longValue(Long.MAX_VALUE);
        transfer.checksum = (int) in.longValue(CompactCodec.MAX_UNSIGNED_INT);
        transfer.chunks = new byte[in.count(MAX_CHUNKS)][];
        for (int i = 0; i < transfer.chunks.length; i++) {
            boolean present = in.smallInt(1) == 1;
            byte[] bytes = in.block(DrainCommand.CHUNK_BYTES);
            transfer.chunks[i] = present ? bytes : null;
        }
        return transfer;
    }
}
