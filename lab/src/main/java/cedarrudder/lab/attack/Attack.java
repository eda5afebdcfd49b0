package cedarrudder.lab.attack;

/**
 * A wrong of the client side's.
 *
 * @param name words joined by hyphens, unlike any other's
 * @param about what it does, in a sentence
 * @param text the bytes of one that is sent in one piece, Latin-1, with the places of {@link
 *     RequestTemplates}; null where only the script tells
 * @param owed what the other side owes it
 */
public record Attack(
        String name, Group group, String about, String text, Script script, ExpectedAnswer owed) {

    /** One that is sent in one piece. */
    static Attack of(String name, Group group, String about, String text, ExpectedAnswer owed) {
        return new Attack(name, group, about, text, wire -> wire.say(text), owed);
    }

    /** One that goes on for longer. */
    static Attack of(String name, String about, Script script, ExpectedAnswer owed) {
        return new Attack(name, Group.BEHAVIOUR, about, null, script, owed);
    }
}
