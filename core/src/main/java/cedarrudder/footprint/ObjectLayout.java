package cedarrudder.footprint;

/**
 * How the virtual machine lays out objects; sizes are bytes. Fields fill gaps, as HotSpot has it
 * since 15.
 *
 * @param header of an object
 * @param arrayHeader of an array, its length with it
 * @param reference one reference
 * @param alignment objects begin at multiples of it
 */
public record ObjectLayout(int header, int arrayHeader, int reference, int alignment) {

    private static final int MARK = 8;
    private static final int LENGTH = 4;

    /** By what the virtual machine says of its own settings. */
    public static ObjectLayout of(
            boolean shortReferences, boolean shortClassPointers, int alignment) {
        int header = MARK + (shortClassPointers ? 4 : 8);
        return new ObjectLayout(header, header + LENGTH, shortReferences ? 4 : 8, alignment);
    }

    /** An object with this many references and this many bytes of other fields. */
    long object(int references, int bytes) {
        return aligned(header + (long) references * reference + bytes);
    }

    /** An array of this many elements of a size. */
    long array(long elements, int size) {
        return aligned(arrayHeader + elements * size);
    }

    /** A text of this many characters, all of them Latin. */
    long text(long chars) {
        return object(1, 5) + array(chars, 1);
    }

    /** An entry of a hash map; with its links where the map keeps an order. */
    long entry(boolean ordered) {
        return object(ordered ? 5 : 3, 4);
    }

    /**
     * The table of a hash map that has grown to this many entries; one that never had any has none.
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

    /** A number by which a map finds something. */
    long boxed() {
        return object(0, 8 + Math.floorMod(-header, 8));
    }

    private long aligned(long bytes) {
        return (bytes + alignment - 1) / alignment * alignment;
    }
}
