package cedarrudder.lab.attack;

import static cedarrudder.lab.attack.Attack.of;
import static cedarrudder.lab.attack.ExpectedAnswer.refused;
import static cedarrudder.lab.attack.ExpectedAnswer.served;
import static cedarrudder.lab.attack.ExpectedAnswer.servedOr;

import java.util.List;

/** Attacks with the header fields, and with those that make a request. */
final class FieldLines {

    private static final String FIELD = "RFC 9112 5";
    private static final String VALUE = "RFC 9110 5.5";
    private static final String REQUEST = "our protocol: an RPC says what it is, once";
    private static final int LONG = 20_000;

    private FieldLines() {}

    static List<Attack> all() {
        Group group = Group.FIELDS;
        Group request = Group.RPC;
        return List.of(
                of(
                        "folded-field",
                        group,
                        "a field that goes on in the next line",
                        RequestTemplates.get("X-A: one", " two"),
                        refused("RFC 9112 5.2", 400)),
                of(
                        "folded-first-field",
                        group,
                        "a first field that goes on in the next line",
                        RequestTemplates.request(
                                "GET /api HTTP/1.1", " folded: x", RequestTemplates.SAFE, ""),
                        refused("RFC 9112 2.2", 400)),
                of(
                        "space-before-colon",
                        group,
                        "a space between name and colon",
                        RequestTemplates.get("X-A : one"),
                        refused("RFC 9112 5.1", 400)),
                of(
                        "no-colon",
                        group,
                        "a line without a colon",
                        RequestTemplates.get("X-A one"),
                        refused(FIELD, 400)),
                of(
                        "no-name",
                        group,
                        "a field without a name",
                        RequestTemplates.get(": one"),
                        refused(FIELD, 400)),
                of(
                        "bad-name",
                        group,
                        "a name with a character that none may have",
                        RequestTemplates.get("X(A: one"),
                        refused(FIELD, 400)),
                of(
                        "name-over-127",
                        group,
                        "a name with a byte over 127",
                        RequestTemplates.get("X-\u00e9: one"),
                        refused(FIELD, 400)),
                of(
                        "zero-in-value",
                        group,
                        "a byte of zero in a value",
                        RequestTemplates.get("X-A: o\0ne"),
                        refused(VALUE, 400)),
                of(
                        "carriage-return-in-value",
                        group,
                        "a bare carriage return in a value",
                        RequestTemplates.get("X-A: o\rX-B: ne"),
                        refused(VALUE, 400)),
                of(
                        "delete-in-value",
                        group,
                        "a control character in a value",
                        RequestTemplates.get("X-A: o\u007fne"),
                        servedOr(VALUE, 400)),
                of(
                        "byte-over-127-in-value",
                        group,
                        "a byte over 127 in a value, which passes on unchanged",
                        RequestTemplates.get("X-A: caf\u00e9"),
                        served(VALUE)),
                of(
                        "empty-value",
                        group,
                        "a field without a value",
                        RequestTemplates.get("X-A:"),
                        served(VALUE)),
                of(
                        "tabs-round-value",
                        group,
                        "tabs and spaces round a value",
                        RequestTemplates.get("X-A:\t one \t"),
                        served(VALUE)),
                of(
                        "many-fields",
                        group,
                        "900 short fields",
                        RequestTemplates.get(("X-A: b\r\n".repeat(899)) + "X-A: b"),
                        servedOr("RFC 6585 5", 431)),
                of(
                        "long-field",
                        group,
                        "a field over 16 KiB",
                        RequestTemplates.get("X-A: " + "b".repeat(LONG)),
                        refused("RFC 6585 5", 431)),
                of(
                        "two-ids",
                        request,
                        "two fields Req-Id",
                        RequestTemplates.get("Req-Id: {id}-hidden"),
                        refused(REQUEST, 400)),
                of(
                        "two-deadlines",
                        request,
                        "two fields Req-Deadline-Ms",
                        RequestTemplates.get("Req-Deadline-Ms: 9"),
                        refused(REQUEST, 400)),
                of(
                        "two-kinds",
                        request,
                        "two fields Req-Kind",
                        RequestTemplates.get("Req-Kind: {unsafe}"),
                        refused(REQUEST, 400)),
                of(
                        "two-keys",
                        request,
                        "two idempotency keys",
                        RequestTemplates.post(
                                "",
                                "Content-Length: 0",
                                "Idempotency-Key: a",
                                "Idempotency-Key: b"),
                        refused(REQUEST, 400)),
                of(
                        "no-id",
                        request,
                        "no Req-Id",
                        RequestTemplates.get().replace("Req-Id: {id}\r\n", ""),
                        refused(REQUEST, 400)),
                of(
                        "empty-id",
                        request,
                        "an empty Req-Id",
                        RequestTemplates.get().replace("Req-Id: {id}", "Req-Id:"),
                        refused(REQUEST, 400)),
                of(
                        "deadline-with-sign",
                        request,
                        "a deadline below zero",
                        RequestTemplates.get().replace("2500", "-2500"),
                        refused(REQUEST, 400)),
                of(
                        "deadline-overflows",
                        request,
                        "a deadline that overflows a number",
                        RequestTemplates.get().replace("2500", "9223372036854775808"),
                        refused(REQUEST, 400)),
                of(
                        "key-where-none-belongs",
                        request,
                        "an idempotency key on what has none",
                        RequestTemplates.get("Idempotency-Key: a"),
                        refused(REQUEST, 400)),
                of(
                        "body-of-a-get",
                        request,
                        "a body on what is safe to repeat",
                        RequestTemplates.get("Content-Length: 3") + "abc",
                        refused(REQUEST, 400)));
    }
}
