package cedarrudder.footprint;

/**
 * How the virtual machine lays out objects; sizes are bytes. Fields fill gaps, as in HotSpot since
 * 15.
 *
 * @param header size of the header of an object
 * @param arrayHeader size of the header of an array, including the array's length
 * @param reference size of one reference
 * @param alignment objects begin at multiples of this size
 */
public record ObjectLayout(int header, int arrayHeader, int reference, int alignment) {

    private static final int MARK_WORD_BYTES = 8;
    private static final int ARRAY_LENGTH_BYTES = 4;

    /** Returns the layout for the settings that the virtual machine reports. */
    public static ObjectLayout of(
            boolean compressedReferences, boolean compressedClassPointers, int alignment) {
        int header = MARK_WORD_BYTES + (compressedClassPointers ? 4 : 8);
        return new ObjectLayout(
                header, header + ARRAY_LENGTH_BYTES, compressedReferences ? 4 : 8, alignment);
    }

    /**
     * Returns the size of an object with this many references and this many bytes of other fields.
     */
    long object(int references, int bytes) {
        return aligned(header + (long) references * reference + bytes);
    }

    /** Returns the size of an array of this many elements of a size. */
    long array(long elements, int size) {
        return aligned(arrayHeader + elements * size);
    }

    /** Returns the size of a string of this many characters, all of them Latin-1. */
    long text(long chars) {
        return object(1, 5) + array(chars, 1);
    }

    /** Returns the size of an entry of a hash map, including its links if the map is ordered. */
    long entry(boolean ordered) {
        return object(ordered ? 5 : 3, 4);
    }

    /**
     * Returns the size of the table of a hash map that has grown to this many entries; one that
     * never had any has no table.
     */
    long hashTable(long entries) {
        if (entries == 0) {
            return 0;
        }
        long slots = 16;
        while (slots * 3 / 4 < entries) {
            slots *= 2;
        }
        return array(slots, reference);
    }

    /** Returns the size of a boxed number, as a key of a map. */
    long boxed() {
        return object(0, 8 + Math.floorMod(-header, 8));
    }

    private long aligned(long bytes) {
        return (bytes + alignment - 1) / alignment * alignment;
    }
}
