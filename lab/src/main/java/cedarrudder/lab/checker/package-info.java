/**
 * Checks the histories of many replicas against invariants; knows nothing of the code that wrote
 * them.
 *
 * <p>Uses nothing else of the project.
 */
package cedarrudder.lab.checker;
