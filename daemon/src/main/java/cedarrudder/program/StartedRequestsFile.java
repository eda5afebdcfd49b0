package cedarrudder.program;

import cedarrudder.forwarding.StartedRequestIds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The file through which the processes of one proxy share the ids of started requests. */
final class StartedRequestsFile {

    /** Former versions, whose regions are smaller, use another name. */
    private static final String NAME = "started-request-ids";

    /** The bytes of one write, for which the virtual machine takes as much direct memory. */
    private static final int PIECE_BYTES = 16 * 1024;

    private StartedRequestsFile() {}

    /**
     * Maps the file into memory. All of it is written once before: a write to a mapped page for
     * which the disk has no space would be a fault of the process.
     *
     * @throws IOException if the folder or its disk does not allow that
     */
    static MappedByteBuffer map(Path folder) throws IOException {
        try (FileChannel file =
                FileChannel.open(
                        folder.resolve(NAME),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE)) {
            long size = file.size();
            ByteBuffer zeros = ByteBuffer.allocate(PIECE_BYTES);
            while (size < StartedRequestIds.SHARED_BYTES) {
                long rest = StartedRequestIds.SHARED_BYTES - size;
                zeros.clear().limit((int) Math.min(PIECE_BYTES, rest));
                size += file.write(zeros, size);
            }
            return file.map(FileChannel.MapMode.READ_WRITE, 0, StartedRequestIds.SHARED_BYTES);
        }
    }
}
