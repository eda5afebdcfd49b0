package cedarrudder.lab.checker;

/**
 * One rule broken.
 *
 * @param rule its name, as the design has it: A1, D2
 * @param at when, on the clock of the events
 * @param why what was seen, in a sentence
 */
public record Violation(String rule, long at, String why) {}
