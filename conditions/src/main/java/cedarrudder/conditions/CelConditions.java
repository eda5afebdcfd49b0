package cedarrudder.conditions;

import cedarrudder.draining.ConditionCompiler;
import cedarrudder.draining.DrainableNode;
import cedarrudder.draining.InvalidConditionException;
import cedarrudder.draining.PolicyConditionInputs;
import dev.cel.checker.CelStandardDeclarations;
import dev.cel.common.CelAbstractSyntaxTree;
import dev.cel.common.CelIssue;
import dev.cel.common.CelOptions;
import dev.cel.common.CelValidationException;
import dev.cel.common.CelValidationResult;
import dev.cel.common.types.CelType;
import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerBuilder;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Conditions in CEL (the Common Expression Language), by Google's own library. Of the language
 * everything is there that takes a time bounded by the text's length: no macros, so nothing loops,
 * and no regular expressions. A condition that takes longer than {@link #MAX_NANOS} all the same
 * counts as one that can't be told.
 */
public final class CelConditions implements ConditionCompiler {

    /** The longest that one may take, in nanoseconds of this thread's own work. */
    public static final long MAX_NANOS = 50_000_000L;

    private static final CelOptions OPTIONS =
            CelOptions.current()
                    .enableHeterogeneousNumericComparisons(true)
                    .maxExpressionCodePointSize(1 << 10)
                    .maxParseRecursionDepth(64)
                    .build();

    private static final Map<String, CelType> OF_FIGURES = figures();

    private static final Map<String, CelType> OF_NODE = node();

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private static final PolicyConditionInputs CALM =
            new PolicyConditionInputs(0, 0, 0, 1, 1, 1, 0, 0);

    private static final DrainableNode SOME =
            new DrainableNode(0, "", "", 0, "", 1, DrainableNode.NodeStatus.SERVING, 0);

    private final CelRuntime runtime =
            CelRuntimeFactory.standardCelRuntimeBuilder().setOptions(OPTIONS).build();
    private CelCompiler overFigures;
    private CelCompiler overNode;

    private static Map<String, CelType> figures() {
        Map<String, CelType> types = new LinkedHashMap<>();
        for (PolicyConditionInputs.Name name : PolicyConditionInputs.Name.values()) {
            types.put(written(name), name.isFraction() ? SimpleType.DOUBLE : SimpleType.INT);
        }
        return types;
    }

    private static Map<String, CelType> node() {
        Map<String, CelType> types = new LinkedHashMap<>();
        types.put("tier", SimpleType.STRING);
        types.put("zone", SimpleType.STRING);
        types.put("pod", SimpleType.INT);
        types.put("kind", SimpleType.STRING);
        types.put("weight", SimpleType.DOUBLE);
        return types;
    }

    private static String written(PolicyConditionInputs.Name name) {
        return name.name().toLowerCase(Locale.ROOT);
    }

    private static CelCompiler compiler(Map<String, CelType> types) {
        CelCompilerBuilder builder =
                CelCompilerFactory.standardCelCompilerBuilder()
                        .setOptions(OPTIONS)
                        .setStandardEnvironmentEnabled(false)
                        .setStandardDeclarations(
                                CelStandardDeclarations.newBuilder()
                                        .excludeFunctions(
                                                CelStandardDeclarations.StandardFunction.MATCHES)
                                        .build());
        types.forEach(builder::addVar);
        return builder.build();
    }

    @Override
    public PolicyCondition compilePolicyCondition(String text) {
        overFigures = overFigures == null ? compiler(OF_FIGURES) : overFigures;
        CelRuntime.Program program = program(overFigures, OF_FIGURES, text);
        PolicyCondition condition =
                figures -> {
                    Map<String, Object> values = new HashMap<>();
                    for (PolicyConditionInputs.Name name : PolicyConditionInputs.Name.values()) {
                        values.put(written(name), figures.of(name));
                    }
                    return holds(program, values);
                };
        evaluateOnce(() -> condition.holds(CALM));
        return condition;
    }

    @Override
    public NodeCondition compileNodeCondition(String text) {
        overNode = overNode == null ? compiler(OF_NODE) : overNode;
        CelRuntime.Program program = program(overNode, OF_NODE, text);
        NodeCondition condition =
                node ->
                        holds(
                                program,
                                Map.of(
                                        "tier",
                                        node.tier(),
                                        "zone",
                                        node.zone(),
                                        "pod",
                                        (long) node.pod(),
                                        "kind",
                                        node.kind(),
                                        "weight",
                                        node.weight()));
        evaluateOnce(() -> condition.holds(SOME));
        return condition;
    }

    /** Loads the classes that an evaluation needs, so that the event loop never waits for them. */
    private static void evaluateOnce(Runnable evaluation) {
        try {
            evaluation.run();
        } catch (IllegalStateException e) {
            // It can't be decided for this sample; its classes are loaded all the same.
        }
    }

    private CelRuntime.Program program(
            CelCompiler compiler, Map<String, CelType> types, String text) {
        String allowed = "a condition of CEL over " + names(types);
        try {
            CelValidationResult result = compiler.compile(text);
            if (result.hasError()) {
                throw new InvalidConditionException(
                        found(text, result.getErrors().get(0)), allowed);
            }
            CelAbstractSyntaxTree tree = result.getAst();
            if (!tree.getResultType().equals(SimpleType.BOOL)) {
                throw new InvalidConditionException(
                        "'"
                                + shortened(text)
                                + "', which is of the type "
                                + tree.getResultType().name(),
                        "a condition that is true or false");
            }
            return runtime.createProgram(tree);
        } catch (CelValidationException | CelEvaluationException e) {
            throw new InvalidConditionException(
                    "'"
                            + shortened(text)
                            + "': "
                            + shortened(String.valueOf(e.getMessage()).replaceAll("\\R", " ")),
                    allowed);
        }
    }

    private static String found(String text, CelIssue issue) {
        String message =
                issue.getMessage()
                        .replaceFirst(" \\(candidates.*", "")
                        .replaceFirst(" \\(in container ''\\)", "")
                        .replaceAll("\\R", " ");
        return "'"
                + shortened(text)
                + "', at character "
                + (issue.getSourceLocation().getColumn() + 1)
                + " "
                + shortened(message);
    }

    private static String names(Map<String, CelType> types) {
        return types.entrySet().stream()
                .map(each -> each.getKey() + " (" + description(each.getValue()) + ")")
                .collect(Collectors.joining(", "));
    }

    private static String description(CelType type) {
        if (type == SimpleType.DOUBLE) {
            return "a number such as 0.02";
        }
        return type == SimpleType.INT ? "a whole number" : "a text";
    }

    private static String shortened(String text) {
        return text.length() > 100 ? text.substring(0, 100) + "..." : text;
    }

    private static boolean holds(CelRuntime.Program program, Map<String, ?> values) {
        try {
            // Not by the clock: this avoids a busy machine's pauses being taken for the
            // condition's.
            long begun = THREADS.getCurrentThreadCpuTime();
            boolean holds = (Boolean) program.eval(values);
            if (THREADS.getCurrentThreadCpuTime() - begun > MAX_NANOS) {
                throw new IllegalStateException("a condition took over " + MAX_NANOS + " ns");
            }
            return holds;
        } catch (CelEvaluationException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }
}
