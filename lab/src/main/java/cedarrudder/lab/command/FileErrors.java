package cedarrudder.lab.command;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.FileSystemException;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;

/** Errors of the file system in words; Java's own messages are often the file's name alone. */
final class FileErrors {

    private FileErrors() {}

    static String told(IOException error) {
        if (!(error instanceof FileSystemException at)) {
            return String.valueOf(error.getMessage());
        }
        String what =
                error instanceof NoSuchFileException
                        ? "no such file"
                        : error instanceof AccessDeniedException
                                ? "not allowed"
                                : error instanceof FileAlreadyExistsException
                                        ? "a file is in its place"
                                        : error instanceof NotDirectoryException
                                                ? "no directory"
                                                : at.getReason() != null
                                                        ? at.getReason()
                                                        : "can't be used";
        return at.getFile() + ": " + what;
    }
}
